//! Guards the caps of workspaces over all hosts: against too many operations in a
//! window, and against refusals of workspaces that keep to their caps.

mod usage_world;

use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    control_role::{
        ControlEffect, ControlEvent, ControlHost, ControlSettings, EntryReport, EntryUpdate,
        OperatorOrder,
    },
    identity::HostId,
    routes::{RouteTable, TrafficLimits, UsageCap},
    usage::{
        UsageAccount, UsageBounds, UsageBucket, UsageLedger, UsageNeed, UsageShare, UsageStep,
    },
};
use usage_world::{HOSTS, UsageWorld, allowed, busiest_window, rule};

const RATES: [f64; 9] = [1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0];
/// Demand of a workspace that keeps to its cap, as a part of it.
const USUAL_LOAD: f64 = 1.0 / 1.6;

fn burst_of(rate: f64) -> f64 {
    rate.max(4.0)
}

fn capped_world(seed: u64, rate: f64) -> UsageWorld {
    UsageWorld::new(seed, vec![rule("hot", rate, burst_of(rate))])
}

fn assert_bound(world: &UsageWorld, workspace: &str, rate: f64, case: &str) {
    let most = busiest_window(&world.tally(workspace).ran_us);
    let limit = allowed(rate, burst_of(rate));
    assert!(most <= limit, "{case}, rate {rate}: {most} operations in 5 s, allowed {limit}");
}

/// Operations from `from_ms` until the end of the load.
fn ran_since(world: &UsageWorld, workspace: &str, from_ms: u64) -> usize {
    world.tally(workspace).ran_us.iter().filter(|at| **at >= from_ms * 1_000).count()
}

/// Demand of 8 times the cap: neither more than the bound nor much less than the cap.
#[test]
fn cap_over_many_hosts() {
    for rate in RATES {
        let mut world = capped_world(rate as u64, rate);
        world.load("hot", rate * 8.0, 65_000);
        world.run_until_ms(66_000);
        assert_bound(&world, "hot", rate, "demand of 8 times the cap");
        let ran = ran_since(&world, "hot", 5_000);
        assert!(ran as f64 >= rate * 60.0 * 0.95, "rate {rate}: only {ran} operations in 60 s");
        let requests = world.requests / 65;
        assert!(requests <= 1_000, "rate {rate}: {requests} requests per second");
    }
}

/// Usual demand: tokens that expire unused on many hosts must not cause refusals.
#[test]
fn usual_load_is_not_refused() {
    for rate in RATES {
        for seed in 0..3 {
            let mut world = capped_world(100 + seed, rate);
            world.run_until_ms(1_000);
            world.load("hot", rate * USUAL_LOAD, 61_000);
            world.run_until_ms(62_000);
            let tally = world.tally("hot");
            assert_eq!(tally.refused, 0, "rate {rate}, seed {seed}, ran {}", tally.ran_us.len());
        }
    }
}

/// A host that uses a workspace regularly must rarely wait for a grant.
#[test]
fn regular_use_rarely_waits() {
    let mut world = capped_world(7, 4_000.0);
    world.run_until_ms(1_000);
    world.load("hot", 2_500.0, 21_000);
    world.run_until_ms(22_000);
    let tally = world.tally("hot");
    assert!(
        (tally.waited as usize) * 10 < tally.ran_us.len(),
        "{} of {} operations waited",
        tally.waited,
        tally.ran_us.len()
    );
    assert_eq!(tally.refused, 0);
}

#[test]
fn hot_workspace_beside_others() {
    let names: Vec<String> = (0..20).map(|number| format!("other-{number}")).collect();
    let mut rules = vec![rule("hot", 40.0, 40.0)];
    rules.extend(names.iter().map(|name| rule(name, 40.0, 40.0)));
    let mut world = UsageWorld::new(11, rules);
    world.run_until_ms(1_000);
    world.load("hot", 320.0, 41_000);
    names.iter().for_each(|name| world.load(name, 40.0 * USUAL_LOAD, 41_000));
    world.run_until_ms(42_000);
    assert_bound(&world, "hot", 40.0, "beside others");
    for name in &names {
        assert_eq!(world.tally(name).refused, 0, "{name}");
    }
}

/// A lowered cap binds one window after it is in force everywhere.
#[test]
fn cap_lowered() {
    for (from, to) in [(400.0, 10.0), (100.0, 50.0), (10.0, 1.0), (50.0, 0.0)] {
        let mut world = capped_world(13, from);
        world.load("hot", from * 8.0, 40_000);
        world.run_until_ms(20_000);
        let burst = if to == 0.0 { 0.0 } else { burst_of(to) };
        world.set_rules(vec![rule("hot", to, burst)]);
        world.run_until_ms(41_000);
        let ran = &world.tally("hot").ran_us;
        let after: Vec<u64> = ran.iter().copied().filter(|at| *at >= 20_000_000).collect();
        let most = busiest_window(&after);
        assert!(most <= allowed(to, burst), "{from} to {to}: {most} operations in 5 s");
        if to == 0.0 {
            let late = after.iter().filter(|at| **at >= 20_500_000).count();
            assert_eq!(late, 0, "a rate of 0 admits nothing");
        }
    }
}

/// Tokens that a bucket holds above a lowered burst are dropped.
#[test]
fn lowered_burst_drops_tokens() {
    let cap = |rate, burst| UsageCap::new(rate, burst).unwrap();
    let at = Moment::from_millis;
    let bounds = UsageBounds { start_tokens: 100, ..UsageBounds::default() };
    let mut bucket = UsageBucket::new(at(0), cap(10.0, 100.0), bounds);
    bucket.set_cap(at(0), cap(10.0, 5.0));
    assert_eq!(bucket.take(at(0), 100), 5);
    bucket.set_cap(at(0), cap(10.0, 100.0));
    assert_eq!(bucket.take(at(1_000), 100), 10);
}

/// A crash of the leader, with and without a gap: the old leader's tokens are still
/// valid, and the new one knows nothing of them.
#[test]
fn leader_changes() {
    for rate in RATES {
        for gap_ms in [0, 150, 600, 2_000, 6_000] {
            for demand in [8.0, 1.0, USUAL_LOAD] {
                let mut world = capped_world(17 + gap_ms, rate);
                world.load("hot", rate * demand, 40_000);
                world.run_until_ms(15_000);
                world.lose_leader();
                world.run_until_ms(15_000 + gap_ms);
                world.elect();
                world.run_until_ms(41_000);
                assert_bound(&world, "hot", rate, &format!("gap {gap_ms} ms, demand {demand}"));
                // Hosts must notice that there is a leader again.
                let after = ran_since(&world, "hot", 25_000) as f64;
                assert!(
                    after >= rate * 15.0 * demand.min(0.95) * 0.95 - 2.0,
                    "gap {gap_ms} ms, demand {demand}, rate {rate}: only {after} ran"
                );
            }
        }
    }
}

/// Two changes of leader within a window.
#[test]
fn leader_changes_twice() {
    for rate in RATES {
        let mut world = capped_world(19, rate);
        world.load("hot", rate * 8.0, 30_000);
        for at_ms in [15_000, 17_000] {
            world.run_until_ms(at_ms);
            world.elect();
        }
        world.run_until_ms(31_000);
        assert_bound(&world, "hot", rate, "two changes");
    }
}

/// Half of the hosts are cut off from the leader while the demand is above the cap;
/// they come back after 8 s.
#[test]
fn host_cut_off() {
    for rate in RATES {
        for demand in [8.0, 1.5] {
            let mut world = capped_world(23, rate);
            world.load("hot", rate * demand, 40_000);
            world.run_until_ms(15_000);
            world.cut(0..HOSTS / 2, true);
            world.run_until_ms(23_000);
            world.cut(0..HOSTS / 2, false);
            world.run_until_ms(41_000);
            assert_bound(&world, "hot", rate, &format!("demand {demand}, half cut off"));
        }
    }
}

/// A host that is cut off goes on at 80 % of its rate while it has a lease, and admits
/// nothing without one.
#[test]
fn cut_off_host_falls_back() {
    let mut world = capped_world(29, 1_000.0);
    world.run_until_ms(1_000);
    world.load("hot", 600.0, 40_000);
    world.run_until_ms(15_000);
    world.cut(0..HOSTS, true);
    world.run_until_ms(41_000);
    let ran = &world.tally("hot").ran_us;
    let with_lease = ran.iter().filter(|at| (15_500_000..18_500_000).contains(*at)).count();
    // At most 80 % of 600 operations per second for 3 s. Less, because the demand on a
    // host varies around its rate before.
    assert!((1_000..=1_440).contains(&with_lease), "{with_lease} operations in 3 s");
    let without = ran.iter().filter(|at| **at >= 18_600_000).count();
    assert_eq!(without, 0);
}

/// All grants of 3 s arrive at once: their tokens have expired.
#[test]
fn late_grants() {
    for rate in RATES {
        let mut world = capped_world(31, rate);
        world.load("hot", rate * 8.0, 40_000);
        world.run_until_ms(15_000);
        world.grants_stall_until_us = 18_000_000;
        world.run_until_ms(41_000);
        assert_bound(&world, "hot", rate, "grants of 3 s at once");
    }
}

#[test]
fn lost_grants() {
    for rate in RATES {
        let mut world = capped_world(37, rate);
        world.lost_percent = 10;
        world.load("hot", rate * 8.0, 40_000);
        world.run_until_ms(41_000);
        assert_bound(&world, "hot", rate, "a tenth of the messages lost");
    }
}

/// Removing a workspace and adding it again gives it no second burst.
#[test]
fn workspace_added_again() {
    for rate in RATES {
        let mut world = capped_world(41, rate);
        world.run_until_ms(10_000);
        world.load("hot", rate * 8.0, 30_000);
        for round in 0..8 {
            world.run_until_ms(12_000 + round * 1_000);
            let rules = std::mem::take(&mut world.rules);
            world.set_rules(Vec::new());
            world.set_rules(rules);
        }
        world.run_until_ms(31_000);
        assert_bound(&world, "hot", rate, "removed and added again");
    }
}

fn admits(account: &mut UsageAccount, at_ms: u64) -> bool {
    let step = account.take(Moment::from_millis(at_ms), &Arc::from("hot"), true);
    matches!(step, UsageStep::Admit(_))
}

/// Tokens expire one lifetime after the request, also if their operation gave them back.
#[test]
fn returned_token_expires() {
    let at = Moment::from_millis;
    let hot: Arc<str> = Arc::from("hot");
    let mut account = UsageAccount::default();
    account.follow(Some(&[rule("hot", 10.0, 10.0)]));
    assert!(matches!(account.take(at(1_000), &hot, true), UsageStep::Wait { .. }));
    account.next_request(at(1_000));
    let share = UsageShare { workspace: hot.clone(), tokens: 2, retry_after: Duration::ZERO };
    account.apply_grant(at(1_010), at(1_000), Duration::from_millis(500), &[share]);
    let UsageStep::Admit(token) = account.take(at(1_020), &hot, true) else {
        panic!("no token");
    };
    account.give_back(at(1_100), "hot", token);
    assert!(admits(&mut account, 1_200));
    account.give_back(at(1_300), "hot", token);
    assert!(!admits(&mut account, 1_500));
}

/// A refusal states when the leader has the next token, and the host asks no sooner.
#[test]
fn refusal_states_time() {
    let at = Moment::from_millis;
    let hot: Arc<str> = Arc::from("hot");
    let rules = [rule("hot", 2.0, 1.0)];
    let mut ledger = UsageLedger::new(UsageBounds::new(Duration::from_secs(5), 0.1, 20));
    ledger.follow(at(0), 1, Some(&rules));
    let need = UsageNeed { workspace: hot.clone(), tokens: 1 };
    assert_eq!(ledger.grant(at(0), std::slice::from_ref(&need))[0].tokens, 1);
    let shares = ledger.grant(at(100), &[need]);
    assert_eq!((shares[0].tokens, shares[0].retry_after), (0, Duration::from_millis(400)));
    let mut account = UsageAccount::default();
    account.follow(Some(&rules));
    account.take(at(5_000), &hot, true);
    account.next_request(at(5_000));
    account.apply_grant(at(5_010), at(5_000), ledger.lifetime(), &shares);
    let step = account.take(at(5_110), &hot, true);
    assert_eq!(step, UsageStep::Refuse { retry_after: Duration::from_millis(300) });
    assert!(!account.has_request());
    assert!(matches!(account.take(at(5_410), &hot, true), UsageStep::Wait { .. }));
    assert!(account.has_request());
}

/// One request covers all workspaces that are short, each with one request in flight.
#[test]
fn one_request_for_all() {
    let at = Moment::from_millis;
    let mut account = UsageAccount::default();
    account.follow(Some(&[rule("a", 9.0, 9.0), rule("b", 9.0, 9.0)]));
    for name in ["a", "a", "b"] {
        account.take(at(1), &Arc::from(name), true);
        account.begin_wait(name);
    }
    let needs = account.next_request(at(2));
    let needs: Vec<(&str, u32)> = needs.iter().map(|n| (&*n.workspace, n.tokens)).collect();
    assert_eq!(needs, [("a", 2), ("b", 1)]);
    account.take(at(3), &Arc::from("a"), true);
    assert!(!account.has_request(), "a request is in flight");
    assert_eq!(account.take(at(3), &Arc::from("c"), true), UsageStep::Uncapped);
}

/// A change between capped and not capped is reported once, and no flood of them.
#[test]
fn cap_changes_are_bounded() {
    let at = Moment::from_millis;
    let names: Vec<String> = (0..50).map(|number| format!("w-{number}")).collect();
    let rules: Vec<_> = names.iter().map(|name| rule(name, 1.0, 1.0)).collect();
    let mut ledger = UsageLedger::new(UsageBounds::default());
    ledger.follow(at(0), 1, Some(&rules));
    let needs = [UsageNeed { workspace: Arc::from("w-0"), tokens: 5 }];
    ledger.grant(at(20_000), &needs);
    ledger.grant(at(20_010), &needs);
    let changes = ledger.take_changes(at(20_010));
    assert_eq!(changes.iter().map(|c| c.capped).collect::<Vec<_>>(), [true]);
    let changes = ledger.take_changes(at(26_000));
    assert_eq!(changes.iter().map(|c| c.capped).collect::<Vec<_>>(), [false]);
    let all: Vec<UsageNeed> = names
        .iter()
        .map(|name| UsageNeed { workspace: Arc::from(name.as_str()), tokens: 5 })
        .collect();
    ledger.grant(at(40_000), &all);
    assert_eq!(ledger.take_changes(at(40_000)).len(), 20);
}

/// A control host with itself as the only seed, which is not a leader yet.
fn lone_control_host(at: Moment) -> ControlHost {
    let seeds = [HostId(1)].into();
    let interval = Duration::from_millis(1_200);
    let settings = ControlSettings::new(HostId(1), seeds, true, interval, None, 5)
        .with_usage_bounds(UsageBounds::new(Duration::from_secs(5), 0.1, 20));
    ControlHost::new(settings, [], at)
}

/// Steps a host and confirms what it writes; returns its updates to entry hosts.
fn step(host: &mut ControlHost, at: Moment, event: ControlEvent) -> Vec<EntryUpdate> {
    let mut updates = Vec::new();
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        for effect in host.step(at, event) {
            match effect {
                ControlEffect::Persist { number, .. } => {
                    events.push(ControlEvent::Persisted(number));
                }
                ControlEffect::SendEntry(_, update) => updates.push(update),
                _ => {}
            }
        }
    }
    updates
}

/// Only a current leader grants tokens; other control hosts name the leader, as they do
/// for renewals.
#[test]
fn only_leader_grants() {
    let request = || {
        let needs = vec![UsageNeed { workspace: Arc::from("hot"), tokens: 3 }];
        ControlEvent::Entry(HostId(9), EntryReport::UsageRequest { sent_at: Moment::ZERO, needs })
    };
    let mut now = Moment::from_millis(1);
    let mut host = lone_control_host(now);
    let updates = step(&mut host, now, request());
    assert_eq!(updates, [EntryUpdate::NotLeader { leader: None }]);
    while !host.is_current_leader(now) {
        now = now + Duration::from_millis(10);
        assert!(now < Moment::from_millis(10_000), "no leader");
        step(&mut host, now, ControlEvent::Tick);
    }
    let table = RouteTable {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits: TrafficLimits { transaction_idle: Duration::from_secs(3) },
        workspaces: Some(vec![rule("hot", 10.0, 2.0)]),
        source: Arc::from("{}"),
    };
    let order = OperatorOrder::ReplaceRoutes { table: Arc::new(table), at_unix_ms: 1 };
    step(&mut host, now, ControlEvent::OperatorOrdered { ticket: 1, order });
    let share = UsageShare { workspace: Arc::from("hot"), tokens: 2, retry_after: Duration::ZERO };
    let (sent_at, lifetime) = (Moment::ZERO, Duration::from_millis(500));
    let grant = EntryUpdate::UsageGrant { sent_at, lifetime, grants: vec![share] };
    assert_eq!(step(&mut host, now, request()), [grant]);
}
