//! Case 13: the status of a database that has started again with nothing counts as that of its
//! earlier start, so that a replica is promoted that lacks acknowledged commits.
#[path = "world.rs"]
mod world;

use std::{collections::HashSet, path::Path, sync::Arc};

use world::{FRONTS, World, run_case, sleep_ms};

/// Time for which the primary is dark, as in the standard days (`srv_crash`, `for_s = 7.0`).
const DARK_MS: u64 = 7_000;
/// Time for which the replica is down.
const DOWN_MS: u64 = 1_500;
/// Time by which the other replica receives commits later: "replicas 60 ms behind".
const LAG_MS: u128 = 60;
/// First ping of a database that has started again; pings come about every 1,200 ms (`heartbeat_ms`).
const FIRST_PING_MS: u64 = 300;

fn main() {
    run_case(play);
}

fn play(folder: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let first = ["i-5a", "i-6b", "i-7c"];
    let world = World::start(folder, &first, 1).map_err(|error| error.to_string())?;
    world.with_db("i-6b", |db| db.lag_ms = LAG_MS);
    let result = run(&world, trouble);
    world.end_hosts();
    world.write_history();
    result?;
    Ok(judge(&world))
}

fn run(world: &Arc<World>, trouble: bool) -> Result<(), String> {
    if !world.send_config() {
        return Err("the first config is not acknowledged".into());
    }
    for number in 0..6 {
        world.start_client(number, FRONTS[usize::from(number) % 2], 20);
    }
    if !world.wait_for_service(20_000) {
        return Err("no write is served".into());
    }
    sleep_ms(5_000);
    if trouble {
        world.crash("i-5a");
        world.crash("i-7c");
        sleep_ms(DOWN_MS);
        world.start_again("i-7c", false, FIRST_PING_MS).map_err(|error| error.to_string())?;
        sleep_ms(DARK_MS - DOWN_MS);
        world.start_again("i-5a", true, 0).map_err(|error| error.to_string())?;
    } else {
        sleep_ms(DARK_MS);
    }
    sleep_ms(6_000);
    world.wait_for_service(20_000).then_some(()).ok_or_else(|| "no write is served at the end".into())
}

/// LOST: an acknowledged commit isn't in the log of the database that is promoted.
fn judge(world: &World) -> Vec<String> {
    let answers = world.answers.lock().unwrap();
    let mut breaks = Vec::new();
    for promotion in world.promotions.lock().unwrap().iter() {
        let acked: HashSet<&str> = answers
            .iter()
            .filter(|answer| answer.text.starts_with("COMPLETE") && answer.at < promotion.at)
            .map(|answer| answer.id.as_str())
            .collect();
        let mut lost: Vec<&str> =
            acked.into_iter().filter(|id| !promotion.held.contains(*id)).collect();
        lost.sort_unstable();
        if !lost.is_empty() {
            breaks.push(format!(
                "LOST: {} ms: {} is promoted (term {}) and lacks {} acknowledged commits: {}",
                promotion.at,
                promotion.id,
                promotion.term,
                lost.len(),
                lost.join(" ")
            ));
        }
    }
    breaks.iter().for_each(|line| world.log(&format!("BROKEN {line}")));
    breaks
}
