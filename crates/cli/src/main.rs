//! `hawthornstack`, the command-line tool for operators.

mod commands;
mod console;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: commands::CliArguments = argh::from_env();
    match commands::run_command(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
