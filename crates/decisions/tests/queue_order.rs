//! Load pattern: after an outage, more statements wait than can be answered within
//! their objective.

use std::time::Duration;

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{InflightWindow, QueuedStatement, next_in_queue},
};

const OBJECTIVE: Duration = Duration::from_millis(200);
const SERVICE_TIME: Duration = Duration::from_millis(10);

fn statement(arrived_ms: u64, priority: u32) -> QueuedStatement {
    QueuedStatement { arrived: Moment::from_millis(arrived_ms), objective: OBJECTIVE, priority }
}

#[test]
fn oldest_goes_first_without_backlog() {
    let queue = [statement(100, 1), statement(110, 1), statement(120, 1)];
    assert_eq!(next_in_queue(&queue, Moment::from_millis(130), SERVICE_TIME), Some(0));
}

#[test]
fn urgent_goes_before_older() {
    let queue = [statement(100, 2), statement(110, 1), statement(120, 2)];
    assert_eq!(next_in_queue(&queue, Moment::from_millis(130), SERVICE_TIME), Some(1));
}

#[test]
fn late_goes_after_those_that_can_meet_their_objective() {
    let queue = [statement(0, 1), statement(300, 2)];
    assert_eq!(next_in_queue(&queue, Moment::from_millis(310), SERVICE_TIME), Some(1));
    assert_eq!(next_in_queue(&queue[..1], Moment::from_millis(310), SERVICE_TIME), Some(0));
    assert_eq!(next_in_queue(&[], Moment::from_millis(310), SERVICE_TIME), None);
}

fn with_objective(arrived_ms: u64, objective_ms: u64) -> QueuedStatement {
    let objective = Duration::from_millis(objective_ms);
    QueuedStatement { objective, ..statement(arrived_ms, 1) }
}

/// Guards against statements with a long objective that make those with a short one late.
#[test]
fn first_objective_to_end_goes_first() {
    let queue = [with_objective(100, 500), with_objective(120, 200)];
    assert_eq!(next_in_queue(&queue, Moment::from_millis(130), SERVICE_TIME), Some(1));
    let queue = [with_objective(100, 300), with_objective(210, 200)];
    assert_eq!(next_in_queue(&queue, Moment::from_millis(240), SERVICE_TIME), Some(0));
}

/// Guards against a backlog in which each statement is answered just too late, whatever
/// the objectives.
#[test]
fn shortest_objective_goes_first_in_a_backlog() {
    let queue = [with_objective(100, 500), with_objective(300, 200), with_objective(390, 200)];
    assert_eq!(next_in_queue(&queue, Moment::from_millis(420), SERVICE_TIME), Some(2));
    assert_eq!(next_in_queue(&queue[..1], Moment::from_millis(420), SERVICE_TIME), Some(0));
}

/// Serves one statement per `SERVICE_TIME`, starting with a backlog of one second's
/// arrivals. Returns how many of the statements that arrived after the outage met
/// their objective.
fn count_served_in_time(select: impl Fn(&[QueuedStatement], Moment) -> Option<usize>) -> usize {
    let arrival_gap = 12;
    let mut queue: Vec<QueuedStatement> = Vec::new();
    let mut in_time = 0;
    let mut next_arrival = 0;
    for tick in 0..300 {
        let now = Moment::from_millis(1_000 + tick * SERVICE_TIME.as_millis() as u64);
        while Moment::from_millis(next_arrival) <= now {
            queue.push(statement(next_arrival, 1));
            next_arrival += arrival_gap;
        }
        if let Some(index) = select(&queue, now) {
            let done = queue.remove(index);
            let is_fresh = done.arrived >= Moment::from_millis(1_000);
            in_time +=
                usize::from(is_fresh && (now + SERVICE_TIME).since(done.arrived) <= OBJECTIVE);
        }
    }
    in_time
}

#[test]
fn backlog_does_not_make_fresh_statements_late() {
    let in_order = count_served_in_time(|queue, _| (!queue.is_empty()).then_some(0));
    let by_objective = count_served_in_time(|queue, now| next_in_queue(queue, now, SERVICE_TIME));
    let fresh = 3_000 / 12;
    assert!(by_objective * 10 >= fresh * 9, "{by_objective} of {fresh} in time");
    assert!(by_objective > 2 * in_order, "{by_objective} against {in_order} in order of arrival");
}

#[test]
fn window_shrinks_once_for_refusals_of_one_round() {
    let mut window = InflightWindow::new(5, 1, 40);
    let before = window.limit();
    for _ in 0..before {
        window.record_answer(before);
    }
    window.record_refusal();
    let after = window.limit();
    assert!(after < before);
    window.record_refusal();
    assert_eq!(window.limit(), after);
}

#[test]
fn window_grows_only_while_it_is_used() {
    let mut window = InflightWindow::new(2, 9, 8);
    let before = window.limit();
    for _ in 0..100 {
        window.record_answer(0);
    }
    assert_eq!(window.limit(), before);
    for _ in 0..100 {
        window.record_answer(window.limit());
    }
    assert_eq!(window.limit(), 8);
    window.set_max(3);
    assert_eq!(window.limit(), 3);
}

/// Guards against windows that shrink for slow answers until the few hosts at a database
/// with many slots leave most of these idle.
#[test]
fn few_hosts_use_all_slots() {
    let (slots, hosts) = (16, 2);
    let mut window = InflightWindow::new(slots, hosts, 40);
    (0..1_000).for_each(|_| window.record_slow_answer());
    assert!(window.limit() as u32 * hosts >= slots, "{} places a host", window.limit());
    let mut window = InflightWindow::new(3, 9, 3);
    (0..1_000).for_each(|_| window.record_slow_answer());
    assert_eq!(window.limit(), 2, "one place and one for urgent statements");
}
