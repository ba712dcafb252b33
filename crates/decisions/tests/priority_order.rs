//! Load pattern: more statements of several priorities than a database can answer, sent by
//! several gateways that each see only a part of them.

mod priority_load;

use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{
        EntryView, InflightWindow, PoolPriorities, QueueForecast, QueueTurns, QueuedStatement,
        RankedStatement, may_end_idle,
    },
    routes::{RouteKind, RouteRule, RouteTable, TrafficLimits},
};
use priority_load::{CONNECTIONS, HOSTS, Kind, Load, Policy, SECOND_US, SLOTS};

const SETTLEMENT: usize = 0;
const LOOKUP: usize = 1;

/// Statements of 4.5 ms with priority 0, steady.
fn settlements() -> Kind {
    Kind {
        workspace: None,
        priority: 0,
        work_us: 4_500,
        objective: Duration::from_millis(150),
        connect: Duration::from_millis(400),
        deadline: Duration::from_millis(1_000),
        rate: |_| 60.0,
    }
}

/// Lookups of 22 ms, which need 60 % of the database at their usual rate and 1.5 of it at
/// 2.5 times that rate, from the second to the eighth second.
fn lookups() -> Kind {
    Kind {
        workspace: None,
        priority: 2,
        work_us: 22_000,
        objective: Duration::from_millis(800),
        connect: Duration::from_millis(750),
        deadline: Duration::from_millis(2_500),
        rate: |now_us| match now_us / SECOND_US {
            2..8 => 275.0,
            _ => 110.0,
        },
    }
}

/// Guards against urgent statements that wait behind a database's queue of less urgent
/// ones.
#[test]
fn lookups_flood_settlements_pass() {
    let share = |policy| {
        let load = Load::new(policy, vec![settlements(), lookups()]).run(8);
        load.share_in_time(SETTLEMENT, 2, 8)
    };
    let by_priority = share(Policy::ByPriority);
    assert!(by_priority >= 0.95, "{by_priority} of the settlements in time");
    let before = share(Policy::GrowUntilRefused);
    assert!(before < 0.95, "{before} of the settlements in time without the new window");
}

/// Guards against a window that stays small after an overload, or leaves slots idle under
/// it.
#[test]
fn lookups_use_what_settlements_leave() {
    let load = Load::new(Policy::ByPriority, vec![settlements(), lookups()]).run(8);
    let capacity = (SLOTS as f64 - 60.0 * 0.0045) * 6.0 / 0.022;
    let answers = load.answers(LOOKUP, 2, 8) as f64;
    assert!(answers >= 0.95 * capacity, "{answers} lookups of {capacity} that could run");
}

/// Guards against one workspace that takes the places of all others of its priority.
#[test]
fn hot_workspace_beside_small_ones() {
    let lowest_share = |name_of: fn(&str) -> Option<Arc<str>>| {
        let small = |name: &str| Kind { workspace: name_of(name), rate: |_| 10.0, ..lookups() };
        let hot = Kind {
            workspace: name_of("hot"),
            rate: |now_us| if now_us >= 2 * SECOND_US { 240.0 } else { 40.0 },
            ..lookups()
        };
        let kinds = vec![settlements(), hot, small("a"), small("b"), small("c")];
        let load = Load::new(Policy::ByPriority, kinds).run(8);
        (2..5).map(|kind| load.share_in_time(kind, 2, 7)).fold(1.0, f64::min)
    };
    let fair = lowest_share(|name| Some(name.into()));
    assert!(fair >= 0.95, "{fair} of a small workspace's statements in time");
    let unknown = lowest_share(|_| None);
    assert!(unknown < 0.95, "{unknown} in time where the pool knows no workspaces");
}

/// Guards against refused callers that return together, and against refusals that leave
/// the database idle.
#[test]
fn returns_after_refusal() {
    let load = Load::new(Policy::ByPriority, vec![settlements(), lookups()]).run(8);
    let returns: Vec<u64> =
        load.stated.iter().map(|(at, after)| at + after.as_micros() as u64).collect();
    assert!(returns.len() > 100, "{} early refusals", returns.len());
    let mut per_bin = vec![0; 8 * 20 * 4];
    for at in returns.iter().filter(|at| (3 * SECOND_US..8 * SECOND_US).contains(*at)) {
        per_bin[(at / 50_000) as usize] += 1;
    }
    let bins = &per_bin[60..160];
    let mean = bins.iter().sum::<usize>() as f64 / bins.len() as f64;
    let most = *bins.iter().max().unwrap() as f64;
    assert!(most <= 4.0 * mean.max(1.0), "{most} returns in 50 ms, {mean} on average");
    for second in 3..8 {
        let answers = load.answers(LOOKUP, second, second + 1) as f64;
        let capacity = (SLOTS as f64 - 60.0 * 0.0045) / 0.022;
        assert!(answers >= 0.9 * capacity, "{answers} of {capacity} lookups in second {second}");
    }
}

/// Guards against an overload that outlasts its cause.
#[test]
fn overload_ends() {
    let goodput = |policy| {
        let load = Load::new(policy, vec![settlements(), lookups()]).run(13);
        load.share_in_time(LOOKUP, 10, 12)
    };
    let with_pauses = goodput(Policy::ByPriority);
    assert!(with_pauses >= 0.95, "{with_pauses} in time two seconds after the overload");
    let immediate = goodput(Policy::ImmediateRetries);
    assert!(immediate < 0.95, "{immediate} in time with immediate retries");
}

/// Guards against idle transactions that keep every connection from urgent statements, and
/// against ends of transactions that are active or more urgent.
#[test]
fn idle_transactions_hold_connections() {
    let limit = Duration::from_millis(3_000);
    let idle = Duration::from_millis(1_600);
    assert!(may_end_idle(idle, limit, 2, Some(0)));
    assert!(may_end_idle(idle, limit, 0, Some(0)));
    assert!(!may_end_idle(idle, limit, 0, Some(1)), "more urgent than what waits");
    assert!(!may_end_idle(idle, limit, 2, None), "nothing waits");
    assert!(!may_end_idle(Duration::from_millis(1_500), limit, 2, Some(0)), "not idle for long");
}

fn ranked(arrived_ms: u64, priority: u32, recent_work_ms: u64) -> RankedStatement {
    let statement = QueuedStatement {
        arrived: Moment::from_millis(arrived_ms),
        objective: Duration::from_millis(200),
        priority,
    };
    RankedStatement { statement, recent_work: Duration::from_millis(recent_work_ms) }
}

/// Guards against statements of the least urgent priority that wait without bound, and
/// against a turn of theirs that takes the place left to the most urgent priority.
#[test]
fn oldest_gets_one_place_in_eight() {
    let mut turns = QueueTurns::default();
    let queue = [ranked(0, 2, 0), ranked(10, 0, 0)];
    let now = Moment::from_millis(20);
    let chosen: Vec<Option<usize>> = (0..16).map(|_| turns.next(&queue, now, None)).collect();
    assert_eq!(chosen.iter().filter(|index| **index == Some(0)).count(), 2, "{chosen:?}");
    let reserved: Vec<Option<usize>> = (0..16).map(|_| turns.next(&queue, now, Some(0))).collect();
    assert!(reserved.iter().all(|index| *index == Some(1)), "{reserved:?}");
    assert_eq!(turns.next(&queue[..1], now, Some(0)), None);
}

/// Guards against an order by workspace while no one waits for long, or over priorities.
#[test]
fn least_work_goes_first_after_a_quarter_of_the_objective() {
    let queue = [ranked(0, 1, 50), ranked(10, 1, 5), ranked(20, 2, 0)];
    let next = |ms| QueueTurns::default().next(&queue, Moment::from_millis(ms), None);
    assert_eq!(next(40), Some(0));
    assert_eq!(next(60), Some(1));
}

/// Guards against refusals without enough answers for an estimate, of statements that find
/// room, and of urgent ones because of less urgent ones.
#[test]
fn refuses_only_with_evidence() {
    let mut priorities = PoolPriorities::default();
    priorities.set_most_urgent(Some(0));
    let mut window = InflightWindow::new(4, HOSTS, CONNECTIONS);
    let queue = [ranked(0, 2, 0); 40];
    let now = Moment::from_millis(1);
    let forecast = |priorities: &PoolPriorities, window: &InflightWindow, running, priority| {
        let statement = ranked(1, priority, 0);
        let left = Duration::from_millis(200);
        let others = queue.iter().copied();
        priorities.forecast(window, running, others, &statement, now, left, 0)
    };
    for _ in 0..7 {
        priorities.record_answer(&mut window, 0, 2, Duration::from_millis(22));
    }
    let full = window.limit();
    assert_eq!(forecast(&priorities, &window, full, 2), QueueForecast::Wait);
    priorities.record_answer(&mut window, 0, 2, Duration::from_millis(22));
    let refused = forecast(&priorities, &window, full, 2);
    let retry_after = Duration::from_millis(22 * 40 / full as u64);
    assert_eq!(refused, QueueForecast::Refuse { retry_after });
    assert_eq!(forecast(&priorities, &window, 0, 2), QueueForecast::Wait);
    assert_eq!(forecast(&priorities, &window, full, 0), QueueForecast::Wait);
    priorities.set_most_urgent(None);
    assert_eq!(forecast(&priorities, &window, full, 2), QueueForecast::Wait);
}

/// Guards against a change of the window where all statements have one priority.
#[test]
fn one_priority_keeps_the_window() {
    let (mut plain, mut window) =
        (InflightWindow::new(4, 1, CONNECTIONS), InflightWindow::new(4, 1, CONNECTIONS));
    let mut priorities = PoolPriorities::default();
    for answer in 0..200_u64 {
        let running = (answer % 9) as usize;
        plain.record_answer(running);
        let took = Duration::from_millis(5 + answer * 5);
        priorities.record_answer(&mut window, running, 1, took);
        assert_eq!(window.limit(), plain.limit());
        assert_eq!(priorities.has_room(&window, running, 1), running < plain.limit());
    }
}

fn route(service: &str, priority: u32) -> RouteRule {
    RouteRule {
        name: format!("{service}-{priority}").into(),
        service: service.into(),
        database: format!("{service}-{priority}").into(),
        path: format!("{service}-{priority}").into(),
        kind: RouteKind::Primary,
        timeout: Duration::from_millis(800),
        objective: Duration::from_millis(150),
        priority,
        anonymous: false,
    }
}

/// Guards against other rules for services whose routes have one priority only.
#[test]
fn services_with_several_priorities() {
    let table = RouteTable {
        version: 1,
        services: Vec::new(),
        routes: vec![route("mixed", 2), route("mixed", 1), route("plain", 3), route("plain", 3)],
        limits: TrafficLimits { transaction_idle: Duration::from_secs(3) },
        workspaces: None,
        source: "".into(),
    };
    let mut view = EntryView::new("dc".into());
    assert_eq!(view.urgent_priority("mixed"), None);
    view.apply_state(1, 0, Some(Arc::new(table)), Vec::new());
    assert_eq!(view.urgent_priority("mixed"), Some(1));
    assert_eq!(view.urgent_priority("plain"), None);
}
