//! Choice of the database that serves a request.

mod read_choice;

pub use read_choice::{DatabaseChoice, RouteQuery, choose_database};
