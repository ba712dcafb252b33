//! Case 12: a database that was chosen starts again with nothing before it leads, and is promoted
//! all the same.
#[path = "world.rs"]
mod world;

use std::{collections::HashSet, path::Path, sync::Arc};

use world::{FRONTS, World, run_case, sleep_ms};

/// Time for which the primary is dark, as in the standard days (`srv_crash`, `for_s = 7.0`).
const DARK_MS: u64 = 7_000;
/// Time from the first call that promotes the chosen database to its crash; it would lead after
/// 300 ms.
const CRASH_AFTER_MS: u64 = 100;
/// Time for which it is down.
const DOWN_MS: u64 = 300;

fn main() {
    run_case(play);
}

fn play(folder: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let first = ["i-5a", "i-6b", "i-7c"];
    let world = World::start(folder, &first, 1).map_err(|error| error.to_string())?;
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
        world.start_client(number, FRONTS[usize::from(number) % 2], 40);
    }
    if !world.wait_for_service(20_000) {
        return Err("no write is served".into());
    }
    sleep_ms(5_000);
    world.crash("i-5a");
    let until = world.now() + 10_000;
    let chosen = loop {
        if let Some(call) = world.calls.lock().unwrap().first() {
            break call.id.clone();
        }
        if world.now() > until {
            return Err("no database is promoted".into());
        }
        sleep_ms(2);
    };
    if trouble {
        sleep_ms(CRASH_AFTER_MS);
        world.crash(&chosen);
        sleep_ms(DOWN_MS);
        world.start_again(&chosen, false, 0).map_err(|error| error.to_string())?;
    }
    sleep_ms(DARK_MS);
    world.start_again("i-5a", true, 0).map_err(|error| error.to_string())?;
    sleep_ms(4_000);
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
        let lost = acked.iter().filter(|id| !promotion.held.contains(**id)).count();
        if lost > 0 {
            breaks.push(format!(
                "LOST: {} ms: {} is promoted (term {}) and lacks {lost} of {} acknowledged commits",
                promotion.at,
                promotion.id,
                promotion.term,
                acked.len()
            ));
        }
    }
    breaks.iter().for_each(|line| world.log(&format!("BROKEN {line}")));
    breaks
}
