//! Case 13: after a kill of all processes a database that had left is back, and a service
//! that loses its primary gets no other one, since that database might hold a commit alone.
#[path = "world.rs"]
mod world;

use std::{path::Path, sync::Arc};

use world::{CORES, FRONTS, World, run_case, sleep_ms};

/// Configs sent before the release: control replaces its log by a snapshot after 64 entries.
const CONFIGS: u32 = 80;
/// `drain_ms`, after which the drained database leaves.
const DRAIN_MS: u64 = 7_000;
/// Time for which the killed processes are down: "back within a second".
const DOWN_MS: u64 = 500;
/// `recovery_s`.
const RECOVERY_MS: u64 = 12_000;
/// Time for which requests are counted after it.
const COUNTED_MS: u64 = 30_000;

fn main() {
    run_case(play);
}

fn play(folder: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let first = ["i-5a", "i-6b", "i-7c"];
    let world = World::start(folder, &first, 1).map_err(|error| error.to_string())?;
    let result = run(&world, trouble);
    world.end_hosts();
    world.write_history();
    let counted_from = result?;
    Ok(judge(&world, counted_from))
}

/// Returns the time from which requests are counted.
fn run(world: &Arc<World>, trouble: bool) -> Result<u128, String> {
    for _ in 0..CONFIGS {
        if !world.send_config() {
            return Err("a config is not acknowledged".into());
        }
    }
    for number in 0..4 {
        world.start_client(number, FRONTS[usize::from(number) % 2], 100);
    }
    if !world.wait_for_service(20_000) {
        return Err("no write is served".into());
    }
    sleep_ms(2_000);
    // A release of one replica: the new one starts first, the old one drains and leaves.
    world.start_db("i-8d", 23, false).map_err(|error| error.to_string())?;
    sleep_ms(1_500);
    world.drain("i-7c");
    sleep_ms(DRAIN_MS + 500);
    world.leave("i-7c");
    // More than `contact_ms`, and longer than a silent database is remembered.
    sleep_ms(15_000);
    if trouble {
        if !world.send_config() {
            return Err("the last config is not acknowledged".into());
        }
        world.log("all processes are killed");
        let hosts = || CORES.into_iter().chain(FRONTS);
        hosts().for_each(|host| world.signal(host, "KILL"));
        sleep_ms(DOWN_MS);
        for host in hosts() {
            world.start_host(host, false).map_err(|error| error.to_string())?;
        }
        world.log("they are back");
    }
    sleep_ms(1_000);
    world.crash("i-5a");
    sleep_ms(RECOVERY_MS);
    let counted_from = world.now();
    sleep_ms(COUNTED_MS);
    Ok(counted_from)
}

/// RECOVER: of the requests sent later than `recovery_s` after the machines are back, less than a
/// quarter is served.
fn judge(world: &World, counted_from: u128) -> Vec<String> {
    let answers = world.answers.lock().unwrap();
    let counted: Vec<_> = answers.iter().filter(|answer| answer.sent >= counted_from).collect();
    let served = counted.iter().filter(|answer| answer.text.starts_with("COMPLETE")).count();
    let mut breaks = Vec::new();
    if served * 4 < counted.len() {
        breaks.push(format!("RECOVER: {served} of {} requests are served", counted.len()));
    }
    world.log(&format!("{served} of {} requests are served", counted.len()));
    breaks.iter().for_each(|line| world.log(&format!("BROKEN {line}")));
    breaks
}
