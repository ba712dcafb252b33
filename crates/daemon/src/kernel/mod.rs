//! Starts the daemon's services, registers them by name so that they find each
//! other, and stops them.

mod daemon_kernel;
mod host_clock;
pub(crate) mod kernel_error;
mod service_name;

pub use daemon_kernel::DaemonKernel;
pub use host_clock::HostClock;
pub use kernel_error::KernelError;
pub use service_name::ServiceName;
