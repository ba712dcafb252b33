//! Upstream databases: what they announce, what they report, how they fare.

mod announcement;
mod database_status;
mod database_view;

pub use announcement::Announcement;
pub use database_status::{DatabaseRole, DatabaseStatus};
pub use database_view::{DatabaseView, ObservedStatus};
