//! Names and numbers of hosts, groups, databases, sessions and requests.

mod names;
mod numbers;

pub use names::{DataCentre, DatabaseName, GroupName, NameError, SessionId};
pub use numbers::{HostId, RequestId};
