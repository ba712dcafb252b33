//! Names and numbers of hosts, groups, databases, sessions and requests.

mod caller_key;
mod names;
mod numbers;

pub use caller_key::CallerKey;
pub use names::{DataCentre, DatabaseName, GroupName, NameError, SessionId};
pub use numbers::{HostId, RequestId};
