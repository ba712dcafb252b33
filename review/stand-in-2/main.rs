//! Stand-ins of the second review: the databases of a service, the platform's promotion
//! API, an operator and clients. The program starts the hosts under test as processes of
//! their own, with the commands of deploy/system.toml, plays one case and checks one rule.
//!
//! `stand-in CASE FOLDER`, from the root of the repository. Exit code 1: the rule was
//! broken, 0: it held, 2: the case could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod clients;
mod databases;
mod hosts;
mod http;
mod record;

use std::{env, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: stand-in CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::play(case, Path::new(folder), trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
