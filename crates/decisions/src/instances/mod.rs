//! Directory of databases, which announce themselves by id and start.

mod instance_directory;
mod instance_record;

pub use instance_directory::{DirectoryChange, InstanceDirectory};
pub use instance_record::{InstanceDeparture, InstanceKey, InstanceRecord, InstanceRole};
