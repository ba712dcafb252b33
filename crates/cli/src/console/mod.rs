//! Client of the daemons, errors shown to the operator and tables of text.

mod console_error;
mod daemon_client;
mod text_table;

pub use console_error::ConsoleError;
pub(crate) use console_error::{FileSnafu, RefusedSnafu, UnknownCodeSnafu};
pub use daemon_client::DaemonClient;
pub use text_table::TextTable;
