//! Directory of databases, which announce themselves by id and start.
//!
//! An instance is one database in `hawthornstack-platform`. In the declarations of
//! `hawthornstackd`, an instance of a service is a whole group of databases.

mod instance_directory;
mod instance_record;

pub use instance_directory::{DirectoryChange, InstanceDirectory};
pub use instance_record::{InstanceDeparture, InstanceKey, InstanceRecord, InstanceRole};
