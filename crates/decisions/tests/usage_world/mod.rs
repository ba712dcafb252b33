//! Entry hosts and a leader in simulated time, with message delays, for the tests of
//! usage caps. Each host has a clock of its own.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use hawthornstack_decisions::{
    clock::Moment,
    routes::{UsageCap, WorkspaceRule},
    usage::{UsageAccount, UsageBounds, UsageLedger, UsageNeed, UsageShare, UsageStep},
};

pub const HOSTS: usize = 76;
pub const WINDOW_MS: u64 = 5_000;
/// Time for which an operation waits for a grant.
const WAIT_MS: u64 = 400;
/// Time for which a host without a leader keeps its lease.
const LEASE_MS: u64 = 3_500;

/// A generator of fixed sequences (SplitMix64).
#[derive(Debug)]
pub struct Dice(u64);

impl Dice {
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)) % limit
    }
}

#[derive(Debug)]
enum Event {
    Arrival { load: usize, end_us: u64 },
    Flush { host: usize },
    Request { host: usize, sent_at: Moment, needs: Vec<UsageNeed> },
    Grant { host: usize, sent_at: Moment, lifetime: Duration, shares: Vec<UsageShare> },
    Retry { host: usize },
}

#[derive(Debug)]
struct SimHost {
    account: UsageAccount,
    clock_offset_us: u64,
    cut_at_us: Option<u64>,
    flush_pending: bool,
    waiting: VecDeque<(Arc<str>, u64)>,
}

/// Results of one workspace.
#[derive(Debug, Default)]
pub struct Tally {
    pub ran_us: Vec<u64>,
    pub refused: u32,
    pub waited: u32,
}

struct Load {
    workspace: Arc<str>,
    interval_us: u64,
    /// Start of the slot of the next arrival, which is anywhere in it.
    slot_us: u64,
}

pub struct UsageWorld {
    pub now_us: u64,
    pub ledger: Option<UsageLedger>,
    pub bounds: UsageBounds,
    leader_lost_us: u64,
    pub rules: Vec<WorkspaceRule>,
    pub tallies: BTreeMap<Arc<str>, Tally>,
    /// Percentage of messages that are lost.
    pub lost_percent: u64,
    /// Grants before this time arrive at this time.
    pub grants_stall_until_us: u64,
    pub requests: u64,
    hosts: Vec<SimHost>,
    loads: Vec<Load>,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    version: u64,
    dice: Dice,
}

pub fn rule(name: &str, rate: f64, burst: f64) -> WorkspaceRule {
    WorkspaceRule { name: Arc::from(name), keys: Vec::new(), cap: UsageCap::new(rate, burst) }
}

/// Operations that may run in any window of 5 s.
pub fn allowed(rate: f64, burst: f64) -> usize {
    ((rate * 5.0 + burst) * 1.1 + 20.0) as usize
}

/// The largest number of operations in a window of 5 s.
pub fn busiest_window(ran_us: &[u64]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (index, at) in ran_us.iter().enumerate() {
        while at - ran_us[first] >= WINDOW_MS * 1_000 {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

impl UsageWorld {
    pub fn new(seed: u64, rules: Vec<WorkspaceRule>) -> Self {
        let mut dice = Dice(seed);
        let hosts = (0..HOSTS).map(|_| SimHost {
            account: UsageAccount::default(),
            clock_offset_us: dice.below(1_000_000_000),
            cut_at_us: None,
            flush_pending: false,
            waiting: VecDeque::new(),
        });
        let mut world = Self {
            now_us: 0,
            ledger: None,
            bounds: UsageBounds::new(Duration::from_secs(5), 0.1, 20),
            leader_lost_us: 0,
            rules: Vec::new(),
            tallies: BTreeMap::new(),
            lost_percent: 0,
            grants_stall_until_us: 0,
            requests: 0,
            hosts: hosts.collect(),
            loads: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            version: 0,
            dice,
        };
        world.elect();
        world.set_rules(rules);
        world
    }

    /// Starts a leader without a history.
    pub fn elect(&mut self) {
        let mut ledger = UsageLedger::new(self.bounds);
        let now = Moment::from_micros(self.now_us);
        ledger.follow(now, self.version, Some(&self.rules));
        self.ledger = Some(ledger);
    }

    /// Ends the leader; leases are no longer renewed.
    pub fn lose_leader(&mut self) {
        self.ledger = None;
        self.leader_lost_us = self.now_us;
    }

    /// Puts a configuration in force at the leader and all hosts.
    pub fn set_rules(&mut self, rules: Vec<WorkspaceRule>) {
        self.version += 1;
        let now = Moment::from_micros(self.now_us);
        if let Some(ledger) = &mut self.ledger {
            ledger.follow(now, self.version, Some(&rules));
        }
        self.hosts.iter_mut().for_each(|host| host.account.follow(Some(&rules)));
        self.rules = rules;
    }

    /// Sends operations of a workspace to random hosts, `per_second` until `end_ms`.
    pub fn load(&mut self, workspace: &str, per_second: f64, end_ms: u64) {
        let interval_us = (1e6 / per_second) as u64;
        let load = Load { workspace: Arc::from(workspace), interval_us, slot_us: self.now_us };
        self.loads.push(load);
        self.schedule_arrival(self.loads.len() - 1, end_ms * 1_000);
    }

    pub fn cut(&mut self, hosts: std::ops::Range<usize>, cut: bool) {
        let now_us = self.now_us;
        for host in &mut self.hosts[hosts] {
            host.cut_at_us = cut.then_some(now_us);
        }
    }

    pub fn tally(&self, workspace: &str) -> &Tally {
        &self.tallies[workspace]
    }

    pub fn run_until_ms(&mut self, end_ms: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end_ms * 1_000 {
                break;
            }
            self.now_us = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now_us = end_ms * 1_000;
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at_us, self.event_count), event);
    }

    fn schedule_arrival(&mut self, index: usize, end_us: u64) {
        let jitter = self.dice.below(self.loads[index].interval_us);
        let load = &mut self.loads[index];
        let at_us = load.slot_us + jitter;
        load.slot_us += load.interval_us;
        if at_us < end_us {
            self.schedule(at_us, Event::Arrival { load: index, end_us });
        }
    }

    fn clock(&self, host: usize) -> Moment {
        Moment::from_micros(self.now_us + self.hosts[host].clock_offset_us)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { load, end_us } => {
                self.schedule_arrival(load, end_us);
                let host = self.dice.below(HOSTS as u64) as usize;
                let workspace = self.loads[load].workspace.clone();
                self.decide(host, workspace, self.now_us, true);
            }
            Event::Flush { host } => {
                let now = self.clock(host);
                self.hosts[host].flush_pending = false;
                let needs = self.hosts[host].account.next_request(now);
                if !needs.is_empty() {
                    self.send(host, Event::Request { host, sent_at: now, needs });
                }
            }
            Event::Request { host, sent_at, needs } => {
                self.requests += 1;
                let now = Moment::from_micros(self.now_us);
                if let Some(ledger) = &mut self.ledger {
                    let (shares, lifetime) = (ledger.grant(now, &needs), ledger.lifetime());
                    ledger.take_changes(now);
                    self.send(host, Event::Grant { host, sent_at, lifetime, shares });
                }
            }
            Event::Grant { host, sent_at, lifetime, shares } => {
                let now = self.clock(host);
                self.hosts[host].account.apply_grant(now, sent_at, lifetime, &shares);
                self.retry_waiting(host);
            }
            Event::Retry { host } => self.retry_waiting(host),
        }
    }

    /// Delivers a message after 1 to 3 ms, unless it is lost.
    fn send(&mut self, host: usize, event: Event) {
        let is_cut = self.hosts[host].cut_at_us.is_some();
        if is_cut || self.dice.below(100) < self.lost_percent {
            return;
        }
        let mut at_us = self.now_us + 1_000 + self.dice.below(2_000);
        if matches!(event, Event::Grant { .. }) {
            at_us = at_us.max(self.grants_stall_until_us);
        }
        self.schedule(at_us, event);
    }

    fn retry_waiting(&mut self, host: usize) {
        for (workspace, arrived_us) in std::mem::take(&mut self.hosts[host].waiting) {
            self.hosts[host].account.end_wait(&workspace);
            self.decide(host, workspace, arrived_us, false);
        }
    }

    fn decide(&mut self, host: usize, workspace: Arc<str>, arrived_us: u64, is_new: bool) {
        let now = self.clock(host);
        let now_us = self.now_us;
        let lost_us = self.ledger.is_none().then_some(self.leader_lost_us);
        let sim = &mut self.hosts[host];
        let has_lease = sim.cut_at_us.or(lost_us).is_none_or(|at| now_us - at < LEASE_MS * 1_000);
        let step = sim.account.take(now, &workspace, has_lease);
        let deadline_us = arrived_us + WAIT_MS * 1_000;
        let tally = self.tallies.entry(workspace.clone()).or_default();
        match step {
            UsageStep::Uncapped | UsageStep::Admit(_) => tally.ran_us.push(now_us),
            UsageStep::Wait { until } if now_us < deadline_us => {
                tally.waited += u32::from(is_new);
                sim.account.begin_wait(&workspace);
                sim.waiting.push_back((workspace, arrived_us));
                let retry_us = now_us + until.since(now).as_micros() as u64;
                let retry_us = retry_us.max(now_us + 1_000).min(deadline_us);
                self.schedule(retry_us, Event::Retry { host });
            }
            UsageStep::Wait { .. } | UsageStep::Refuse { .. } | UsageStep::Unanswered { .. } => {
                tally.refused += 1;
            }
        }
        let sim = &mut self.hosts[host];
        if sim.account.has_request() && !sim.flush_pending {
            sim.flush_pending = true;
            self.schedule(now_us + 100, Event::Flush { host });
        }
    }
}
