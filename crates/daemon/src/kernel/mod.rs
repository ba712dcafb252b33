//! The micro-kernel: starts services, lets them find each other by name, and
//! stops them.

mod daemon_kernel;
mod host_clock;
pub(crate) mod kernel_error;
mod service_name;

pub use daemon_kernel::DaemonKernel;
pub use host_clock::HostClock;
pub use kernel_error::KernelError;
pub use service_name::ServiceName;
