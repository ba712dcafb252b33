//! The commands of the operators' tool.

mod arguments;
mod execution;
mod pages;

pub use arguments::CliArguments;
pub use execution::run;
