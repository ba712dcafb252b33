//! Command-line arguments, and the commands that they select.

mod arguments;
mod execution;
mod request_timeline;
mod text_output;

pub use arguments::CliArguments;
pub use execution::run_command;
