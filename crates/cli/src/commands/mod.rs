//! The commands of the operators' tool.

mod arguments;
mod execution;
mod pages;
mod request_timeline;

pub use arguments::CliArguments;
pub use execution::run;
