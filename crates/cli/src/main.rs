//! `hawthornstack`, the operators' tool.

mod commands;
mod console;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: commands::CliArguments = argh::from_env();
    match commands::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
