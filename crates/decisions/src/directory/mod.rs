//! Upstream databases: their announcements, their reports, and their observed load
//! and health.

mod announcement;
mod database_status;
mod database_view;

pub use announcement::Announcement;
pub use database_status::{DatabaseRole, DatabaseStatus};
pub use database_view::{DatabaseView, ObservedStatus};
