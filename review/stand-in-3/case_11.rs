//! Case 11: a promotion that a former leader had on its way arrives after its successor's.
#[path = "world.rs"]
mod world;

use std::{path::Path, sync::atomic::Ordering};

use world::{FRONTS, World, run_case, sleep_ms};

/// Length of the cut, as in the standard days (`core_cut`, `for_s = 5.5`).
const CUT_MS: u128 = 5_500;
/// Time between two replacements of a rolling release.
const GAP_MS: u128 = 2_000;

fn main() {
    run_case(play);
}

fn play(folder: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let first = ["i-5a", "i-6b", "i-7c"];
    let world = World::start(folder, &first, 0).map_err(|error| error.to_string())?;
    let result = run(&world, trouble);
    world.end_hosts();
    world.write_history();
    result?;
    Ok(judge(&world))
}

fn run(world: &std::sync::Arc<World>, trouble: bool) -> Result<(), String> {
    if !world.send_config() {
        return Err("the first config is not acknowledged".into());
    }
    for number in 0..6 {
        world.start_client(number, FRONTS[usize::from(number) % 2], 60);
    }
    if !world.wait_for_service(20_000) {
        return Err("no write is served".into());
    }
    sleep_ms(3_000);
    // A rolling release: the new database starts first, the old one drains.
    world.start_db("i-1d", 23, false).map_err(|error| error.to_string())?;
    sleep_ms(1_500);
    world.aim.store(trouble, Ordering::SeqCst);
    let released = world.now();
    world.drain("i-5a");
    let second = wait_for(world, 10_000, || world.leader().filter(|id| id != "i-5a"))
        .ok_or("the first primary is not replaced")?;
    if !world.wait_for_service(10_000) {
        return Err("no write is served after the first replacement".into());
    }
    while world.now() < released + GAP_MS {
        sleep_ms(5);
    }
    world.start_db("i-2e", 24, false).map_err(|error| error.to_string())?;
    world.drain(&second);
    wait_for(world, 10_000, || world.leader().filter(|id| *id != second && id != "i-5a"))
        .ok_or("the second primary is not replaced")?;
    world.wait_for_service(10_000);
    if trouble {
        let cut = world.aimed_at.lock().unwrap().ok_or("no call was on its way")?;
        while world.now() < released + CUT_MS {
            sleep_ms(5);
        }
        world.log(&format!("core-{cut} is joined again"));
        world.cut_off(cut, false);
    }
    sleep_ms(5_000);
    Ok(())
}

fn wait_for<T>(world: &World, limit_ms: u128, found: impl Fn() -> Option<T>) -> Option<T> {
    let until = world.now() + limit_ms;
    while world.now() < until {
        if let Some(value) = found() {
            return Some(value);
        }
        sleep_ms(5);
    }
    None
}

/// ONE: the platform sees a lower fence than it has seen; or a write is committed at the old
/// primary after a promotion has taken effect, and acknowledged.
fn judge(world: &World) -> Vec<String> {
    let mut breaks = Vec::new();
    let mut highest = 0;
    for call in world.calls.lock().unwrap().iter() {
        if call.fence < highest {
            breaks.push(format!(
                "ONE: {} ms: {} sends POST /promotion {} with fence {} after the platform has seen {highest}",
                call.at, call.holder, call.id, call.fence
            ));
        }
        highest = highest.max(call.fence);
    }
    let promotions = world.promotions.lock().unwrap();
    let answers = world.answers.lock().unwrap();
    let acked: std::collections::HashSet<&str> = answers
        .iter()
        .filter(|answer| answer.text.starts_with("COMPLETE"))
        .map(|answer| answer.id.as_str())
        .collect();
    for commit in world.commits.lock().unwrap().iter() {
        let newer = promotions.iter().find(|p| p.term > commit.term && p.at < commit.at);
        if let Some(newer) = newer.filter(|_| acked.contains(commit.id.as_str())) {
            breaks.push(format!(
                "ONE: {} ms: {} is committed at {} in term {} and acknowledged, though {} leads term {} since {} ms",
                commit.at, commit.id, commit.db, commit.term, newer.id, newer.term, newer.at
            ));
        }
    }
    breaks.iter().for_each(|line| world.log(&format!("BROKEN {line}")));
    breaks
}
