//! Names and numbers of hosts, groups, databases, sessions and requests.

mod announced_values;
mod caller_key;
mod names;
mod numbers;

pub use announced_values::{is_exact_number, is_reachable_address};
pub use caller_key::CallerKey;
pub use names::{DataCentre, DatabaseName, GroupName, NameError, SessionId};
pub use numbers::{HostId, RequestId};
