mod callers;
mod faults;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use hawthornstack_decisions::{
    agreement::JournalRecord,
    clock::Moment,
    control_state::HostRecord,
    directory::{Announcement, DatabaseStatus},
    failover::DatabaseOrder,
    identity::{DataCentre, DatabaseName, GroupName, HostId, RequestId},
    outcomes::{Outcome, ResultCode},
    pg_host::{
        ExecutionReport, HostEffect, HostEvent, HostSettings, HostState, OperatorQuestion,
        PeerMessage,
    },
    positions::{BranchHistory, BranchStart},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    fake_database::{FakeDatabase, FakeEntry},
    schedule_verdict::{CallerOperation, ScheduleVerdict},
};

/// Microseconds in a millisecond; all times of a schedule are in microseconds.
const MILLI: u64 = 1_000;
const TICK: u64 = 10 * MILLI;
const REPORT_INTERVAL: u64 = 20 * MILLI;
const FAULTS_FROM: u64 = 2_500 * MILLI;
const FAULTS_UNTIL: u64 = 7_000 * MILLI;
const CALLERS_UNTIL: u64 = 9_000 * MILLI;
const END: u64 = 13_000 * MILLI;
const SESSIONS: usize = 4;
/// Number of actions above which a schedule fails as a message storm.
const MAX_ACTIONS: u64 = 200_000;
const EXECUTION_TIMEOUT: u64 = 1_000 * MILLI;

/// A safeguard that is removed on purpose, to test that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sabotage {
    Nothing,
    /// Databases ignore fences, and the leader gets forged fence confirmations
    /// for all gateways at once. With only one of the two, the other fence still
    /// protects the writes.
    NoFences,
    /// Replicas report the position of their primary as their own.
    ClaimAhead,
    /// Databases report a history in which all terms start at offset 0.
    FlattenBranches,
    /// Reads lose their connection when their deadline is reached, and shortly
    /// after each dispatch past it, like a caller's task that has no time left.
    SlowReads,
    /// Disks lose the records that they reported as synced.
    ForgetSyncs,
}

enum Action {
    Tick(usize),
    Deliver {
        from: usize,
        to: usize,
        message: PeerMessage,
        epoch: u64,
    },
    ForgeFence {
        from: usize,
        to: usize,
        term: u64,
        epoch: u64,
    },
    Persisted {
        host: usize,
        number: u64,
        records: Vec<JournalRecord>,
        epoch: u64,
    },
    AskReport {
        host: usize,
        database: usize,
        epoch: u64,
        watch: u64,
    },
    Reported {
        host: usize,
        database: usize,
        sent_at: Moment,
        status: Option<DatabaseStatus>,
        epoch: u64,
        watch: u64,
    },
    Order {
        host: usize,
        database: usize,
        order: DatabaseOrder,
        epoch: u64,
    },
    Ordered {
        host: usize,
        database: usize,
        status: DatabaseStatus,
        epoch: u64,
    },
    Execute {
        host: usize,
        request: RequestId,
        database: usize,
        epoch: u64,
    },
    Executed {
        host: usize,
        request: RequestId,
        report: ExecutionReport,
        found: u64,
        epoch: u64,
    },
    Replicate(usize),
    Announce(usize),
    NextOperation(usize),
    RunOperators,
    InjectFault,
    RestartHost {
        host: usize,
        wiped: bool,
    },
    HealLinks,
    HealDatabase(usize),
    Unpause(usize),
}

struct FakeHost {
    state: Option<HostState>,
    journal: Vec<JournalRecord>,
    epoch: u64,
    /// Offset of its clock in microseconds; the hosts' clocks differ.
    skew: u64,
    paused: bool,
    delayed: Vec<Action>,
    watched: BTreeMap<usize, u64>,
    served_version: u64,
    seen_applied: u64,
    synced_at: u64,
}

/// One schedule: hosts, databases, callers and faults under one seed.
pub struct ScheduleRun {
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Action>,
    rng: ChaCha8Rng,
    hosts: Vec<FakeHost>,
    databases: Vec<FakeDatabase>,
    cut_links: BTreeSet<(usize, usize)>,
    /// Pairs of a host and a database that the host cannot reach.
    cut_paths: BTreeSet<(usize, usize)>,
    operations: Vec<CallerOperation>,
    running: BTreeMap<(usize, RequestId), usize>,
    numbers: Vec<u64>,
    next_request: u64,
    sabotage: Sabotage,
    leaders: BTreeMap<u64, BTreeSet<HostId>>,
    state_hashes: BTreeMap<u64, u64>,
    applied_plans: BTreeMap<u64, BTreeSet<Arc<str>>>,
    plans: BTreeMap<u64, (Arc<str>, u64)>,
    answers: BTreeMap<Arc<str>, (ResultCode, u64)>,
    next_ticket: u64,
    tickets: BTreeMap<u64, OperatorQuestion>,
    verdict: ScheduleVerdict,
}

fn group() -> GroupName {
    GroupName::new("shiftbook.1").unwrap()
}

fn database_name(index: usize) -> DatabaseName {
    DatabaseName::new(&format!("db-{index}")).unwrap()
}

fn database_index(name: &DatabaseName) -> usize {
    name.as_str()[3..].parse().unwrap()
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 5_000 + index as u16))
}

fn settings(index: usize, voters: usize, seed: u64) -> HostSettings {
    HostSettings {
        record: HostRecord {
            id: HostId(index as u32),
            peer_address: SocketAddr::from(([10, 0, 0, 2], 7_000 + index as u16)),
            caller_address: SocketAddr::from(([10, 0, 0, 2], 6_000 + index as u16)),
            data_centre: DataCentre::new("tx-1").unwrap(),
            draining: false,
        },
        voters: (0..voters as u32).map(HostId).collect(),
        lease_duration: Duration::from_millis(600),
        lease_renewal: Duration::from_millis(150),
        suspect_after: Duration::from_millis(400),
        stall_after: Duration::from_millis(1_500),
        gateways_per_group: 3,
        election_timeout: Duration::from_millis(300),
        heartbeat_interval: Duration::from_millis(50),
        seed,
    }
}

impl ScheduleRun {
    /// Prepares a schedule of `hosts` hosts, of which the first `voters` vote.
    pub fn new(seed: u64, hosts: usize, voters: usize, sabotage: Sabotage) -> Self {
        let mut run = Self {
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            databases: (0..3).map(FakeDatabase::new).collect(),
            cut_links: BTreeSet::new(),
            cut_paths: BTreeSet::new(),
            operations: Vec::new(),
            running: BTreeMap::new(),
            numbers: vec![0; SESSIONS],
            next_request: 0,
            sabotage,
            leaders: BTreeMap::new(),
            state_hashes: BTreeMap::new(),
            applied_plans: BTreeMap::new(),
            plans: BTreeMap::new(),
            answers: BTreeMap::new(),
            next_ticket: 0,
            tickets: BTreeMap::new(),
            verdict: ScheduleVerdict::default(),
        };
        for index in 0..hosts {
            let skew = run.rng.random_range(0..1_000_000_000);
            let state = HostState::new(
                settings(index, voters, seed),
                Vec::new(),
                Moment::from_micros(skew),
            );
            run.hosts.push(FakeHost {
                state: Some(state),
                journal: Vec::new(),
                epoch: 0,
                skew,
                paused: false,
                delayed: Vec::new(),
                watched: BTreeMap::new(),
                served_version: 0,
                seen_applied: 0,
                synced_at: 0,
            });
            run.after(index as u64 * MILLI, Action::Tick(index));
        }
        for index in 0..3 {
            run.after(5 * MILLI, Action::Replicate(index));
            run.after(index as u64 * MILLI, Action::Announce(index));
        }
        for session in 0..SESSIONS {
            run.after(1_500 * MILLI, Action::NextOperation(session));
        }
        run.after(800 * MILLI, Action::RunOperators);
        run.after(FAULTS_FROM, Action::InjectFault);
        run
    }

    /// Runs the schedule to its end and returns the violations found.
    pub fn run(mut self) -> ScheduleVerdict {
        while let Some(((at, _), action)) = self.queue.pop_first() {
            if at > END {
                break;
            }
            self.now = at;
            self.run_action(action);
            if self.sequence > MAX_ACTIONS {
                self.verdict
                    .record_violation(format!("storm of messages at {} ms", self.now / MILLI));
                break;
            }
        }
        self.check_end_state();
        self.verdict
    }

    fn after(&mut self, delay: u64, action: Action) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), action);
    }

    fn delay(&mut self) -> u64 {
        match self.rng.random_range(0..100) {
            0..2 => self.rng.random_range(20 * MILLI..80 * MILLI),
            _ => self.rng.random_range(200..2_000),
        }
    }

    fn moment(&self, host: usize) -> Moment {
        Moment::from_micros(self.hosts[host].skew + self.now)
    }

    fn step(&mut self, host: usize, event: HostEvent) {
        let now = self.moment(host);
        let Some(state) = &mut self.hosts[host].state else {
            return;
        };
        let effects = state.step(now, event);
        self.check_step(host);
        for effect in effects {
            self.execute_effect(host, effect);
        }
    }

    /// Checks the invariants that hold after every step of a host.
    fn check_step(&mut self, host: usize) {
        let now = self.moment(host);
        let fake = &mut self.hosts[host];
        let Some(state) = &fake.state else {
            return;
        };
        let control = state.control();
        if let Some(agreement) = state.agreement()
            && agreement.is_leader()
        {
            let term = agreement.term();
            self.verdict.check_leader(&mut self.leaders, term, HostId(host as u32));
        }
        if state.has_lease(now) {
            if control.version < fake.served_version {
                self.verdict.record_violation(format!("host {host} serves an older version again"));
            }
            fake.served_version = fake.served_version.max(control.version);
        }
        if control.applied == fake.seen_applied {
            return;
        }
        fake.seen_applied = control.applied;
        let trail = control.audit.last().map(|record| record.chain.clone());
        let hash = hash_of(&format!("{:?}{}{trail:?}", control.groups, control.version));
        let known = *self.state_hashes.entry(control.applied).or_insert(hash);
        if known != hash {
            self.verdict.record_violation(format!(
                "hosts differ in their state after entry {}",
                control.applied
            ));
        }
    }

    fn execute_effect(&mut self, host: usize, effect: HostEffect) {
        let epoch = self.hosts[host].epoch;
        match effect {
            HostEffect::Send(to, message) => self.send_message(host, to.0 as usize, message),
            HostEffect::Persist { number, records } => {
                // A journal syncs its batches one after the other.
                let delay = self.rng.random_range(500..4_000);
                let synced_at = self.hosts[host].synced_at.max(self.now) + delay;
                self.hosts[host].synced_at = synced_at;
                let delay = synced_at - self.now;
                self.after(delay, Action::Persisted { host, number, records, epoch });
            }
            HostEffect::Watch { database, .. } => {
                let database = database_index(&database);
                self.sequence += 1;
                let watch = self.sequence;
                self.hosts[host].watched.insert(database, watch);
                self.after(1, Action::AskReport { host, database, epoch, watch });
            }
            HostEffect::Unwatch(database) => {
                self.hosts[host].watched.remove(&database_index(&database));
            }
            HostEffect::Order { database, order, .. } => {
                let database = database_index(&database);
                if let (Sabotage::NoFences, DatabaseOrder::Fence { term }) = (self.sabotage, &order)
                {
                    self.forge_fence_messages(host, *term, epoch);
                }
                let mut delay = self.delay();
                if self.sabotage == Sabotage::NoFences
                    && matches!(order, DatabaseOrder::Follow { .. })
                {
                    // The delay keeps a replica at the old primary long enough
                    // for the missing fence to be detected.
                    delay += 400 * MILLI;
                }
                self.after(delay, Action::Order { host, database, order, epoch });
            }
            HostEffect::Dispatch { request, database, .. } => {
                let database = database_index(&database);
                let delay = self.delay();
                self.after(delay, Action::Execute { host, request, database, epoch });
            }
            HostEffect::Forward(request, gateways) => {
                self.forward_request(host, request, &gateways);
            }
            HostEffect::Complete(request, result) => {
                self.complete_operation(host, request, result.result);
            }
            HostEffect::Answer { ticket, answer } => self.handle_answer(ticket, answer),
            HostEffect::AnnouncementRefused { .. }
            | HostEffect::SetDraining(_)
            | HostEffect::Log(_) => {}
        }
    }

    fn forge_fence_messages(&mut self, to: usize, term: u64, epoch: u64) {
        for from in 0..self.hosts.len() {
            self.after(1, Action::ForgeFence { from, to, term, epoch });
        }
    }

    fn send_message(&mut self, from: usize, to: usize, message: PeerMessage) {
        let epoch = self.hosts[to].epoch;
        let copies = match self.rng.random_range(0..100) {
            0..1 => 0,
            1..3 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = self.delay();
            self.after(delay, Action::Deliver { from, to, message: message.clone(), epoch });
        }
    }

    fn run_action(&mut self, action: Action) {
        if let Some(host) = action.host()
            && self.hosts[host].paused
        {
            return self.hosts[host].delayed.push(action);
        }
        if let Some((host, epoch)) = action.epoch()
            && self.hosts[host].epoch != epoch
        {
            return;
        }
        match action {
            Action::Tick(host) => {
                self.step(host, HostEvent::Tick);
                self.after(TICK, Action::Tick(host));
            }
            Action::Deliver { from, to, message, .. } => {
                if !self.cut_links.contains(&(from, to)) {
                    self.step(to, HostEvent::Peer(HostId(from as u32), message));
                }
            }
            Action::ForgeFence { from, to, term, .. } => {
                let message = PeerMessage::TermFenced { group: group(), term };
                self.step(to, HostEvent::Peer(HostId(from as u32), message));
            }
            Action::Persisted { host, number, records, .. } => {
                if self.sabotage != Sabotage::ForgetSyncs {
                    self.hosts[host].journal.extend(records);
                }
                self.step(host, HostEvent::Persisted(number));
            }
            Action::AskReport { host, database, epoch, watch } => {
                self.ask_report(host, database, epoch, watch);
            }
            Action::Reported { host, database, sent_at, status, epoch, watch } => {
                let name = database_name(database);
                match status {
                    Some(status) => {
                        self.step(
                            host,
                            HostEvent::DatabaseReported { database: name, sent_at, status },
                        );
                    }
                    None => self.step(host, HostEvent::ReportFailed(name)),
                }
                self.after(REPORT_INTERVAL, Action::AskReport { host, database, epoch, watch });
            }
            Action::Order { host, database, order, epoch } => {
                self.deliver_order(host, database, &order, epoch);
            }
            Action::Ordered { host, database, status, .. } => {
                let database = database_name(database);
                self.step(host, HostEvent::OrderAnswered { database, status });
            }
            Action::Execute { host, request, database, epoch } => {
                self.execute_request(host, request, database, epoch);
            }
            Action::Executed { host, request, report, found, .. } => {
                if let Some(operation) = self.running.get(&(host, request)) {
                    self.operations[*operation].found = found;
                }
                self.step(host, HostEvent::RequestExecuted(request, report));
            }
            Action::Replicate(database) => self.replicate_log(database),
            Action::Announce(database) => self.announce_database(database),
            Action::NextOperation(session) => self.start_operation(session),
            Action::RunOperators => self.run_operators(),
            Action::InjectFault => self.inject_fault(),
            Action::RestartHost { host, wiped } => self.restart_host(host, wiped),
            Action::HealLinks => {
                self.cut_links.clear();
                self.cut_paths.clear();
            }
            Action::HealDatabase(database) => {
                let database = &mut self.databases[database];
                (database.stopped, database.cut_from_hosts, database.cut_from_group) =
                    (false, false, false);
            }
            Action::Unpause(host) => {
                self.hosts[host].paused = false;
                for action in std::mem::take(&mut self.hosts[host].delayed) {
                    self.run_action(action);
                }
            }
        }
    }

    /// The status that a database reports, falsified by some sabotages.
    fn status_of(&self, database: usize) -> DatabaseStatus {
        let fake = &self.databases[database];
        let mut status = fake.status();
        match self.sabotage {
            Sabotage::ClaimAhead => {
                if let Some(primary) = fake.follows.map(|index| &self.databases[index]) {
                    status.position = primary.position();
                }
            }
            Sabotage::FlattenBranches => {
                let starts = (1..=status.term).map(|term| BranchStart { term, base_offset: 0 });
                status.history = BranchHistory::new(starts);
            }
            _ => {}
        }
        status
    }

    fn ask_report(&mut self, host: usize, database: usize, epoch: u64, watch: u64) {
        if self.hosts[host].watched.get(&database) != Some(&watch) {
            return;
        }
        let sent_at = self.moment(host);
        let fake = &self.databases[database];
        if fake.stopped {
            let failed = Action::Reported { host, database, sent_at, status: None, epoch, watch };
            return self.after(40 * MILLI, failed);
        }
        if !fake.answers() || self.cut_paths.contains(&(host, database)) {
            return self.after(100 * MILLI, Action::AskReport { host, database, epoch, watch });
        }
        let status = Some(self.status_of(database));
        let delay = self.delay();
        self.after(delay, Action::Reported { host, database, sent_at, status, epoch, watch });
    }

    fn deliver_order(&mut self, host: usize, database: usize, order: &DatabaseOrder, epoch: u64) {
        if !self.databases[database].answers() || self.cut_paths.contains(&(host, database)) {
            return;
        }
        if let DatabaseOrder::Follow { term, primary } = order {
            let index = usize::from(primary.port()) - 5_000;
            let primary = self.databases[index].clone();
            let fake = &mut self.databases[database];
            let fits = primary.term == *term && primary.accepts_writes();
            let newer = *term >= fake.term && *term >= fake.fenced_below;
            if index != database && primary.replicates() && fits && newer {
                fake.follow(index, &primary);
            } else {
                return;
            }
        }
        let ignores = self.sabotage == Sabotage::NoFences;
        if self.databases[database].apply_order(order, ignores).is_some() {
            let mut status = self.status_of(database);
            if ignores {
                // The database confirms the fence but keeps accepting writes.
                if let DatabaseOrder::Fence { term } = order {
                    status.fenced_below = *term;
                }
                self.databases[database].fenced_below = 0;
            }
            let delay = self.delay();
            self.after(delay, Action::Ordered { host, database, status, epoch });
        }
    }

    fn execute_request(&mut self, host: usize, request: RequestId, database: usize, epoch: u64) {
        let Some(operation) = self.running.get(&(host, request)).copied() else {
            return;
        };
        let CallerOperation { session, number, .. } = self.operations[operation].clone();
        self.verdict.dispatches += 1;
        if self.sabotage == Sabotage::SlowReads && number.is_none() {
            let report = ExecutionReport::ConnectionLost;
            let used = self.now - self.operations[operation].sent_at;
            let delay = (2_000 * MILLI).saturating_sub(used).max(500);
            let failed = Action::Executed { host, request, report, found: 0, epoch };
            return self.after(delay, failed);
        }
        let fake = &mut self.databases[database];
        if fake.stopped {
            let report = ExecutionReport::NotRun;
            let failed = Action::Executed { host, request, report, found: 0, epoch };
            return self.after(5 * MILLI, failed);
        }
        if fake.cut_from_hosts || self.cut_paths.contains(&(host, database)) {
            let report = ExecutionReport::ConnectionLost;
            let failed = Action::Executed { host, request, report, found: 0, epoch };
            return self.after(EXECUTION_TIMEOUT, failed);
        }
        let (report, found) = match number {
            Some(_) if !fake.accepts_writes() => (ExecutionReport::NotRun, 0),
            Some(number) => {
                let entry = FakeEntry { term: fake.term, operation, session, number };
                fake.log.push(entry);
                (ExecutionReport::Written(fake.position()), 0)
            }
            None => (ExecutionReport::Read(Some(fake.position())), fake.highest(session)),
        };
        // One answer in fifty is lost on its way to the host.
        let lost = self.rng.random_range(0..50) == 0;
        let (report, delay) = match lost {
            true => (ExecutionReport::ConnectionLost, 30 * MILLI),
            false => (report, self.delay()),
        };
        self.after(delay, Action::Executed { host, request, report, found, epoch });
    }

    fn replicate_log(&mut self, database: usize) {
        let delay = self.rng.random_range(3 * MILLI..12 * MILLI);
        self.after(delay, Action::Replicate(database));
        let fake = &self.databases[database];
        let Some(index) = fake.follows.filter(|_| fake.replicates()) else {
            return;
        };
        let primary = &self.databases[index];
        let in_term = primary.term == fake.term && fake.term >= fake.fenced_below;
        let prefix = primary.log.get(..fake.log.len()) == Some(&fake.log[..]);
        if index != database && primary.replicates() && in_term && prefix {
            let missing: Vec<FakeEntry> =
                primary.log[fake.log.len()..].iter().take(3).copied().collect();
            self.databases[database].log.extend(missing);
        }
    }

    fn announce_database(&mut self, database: usize) {
        self.after(300 * MILLI, Action::Announce(database));
        let fake = &self.databases[database];
        if !fake.answers() {
            return;
        }
        let announcement = Announcement {
            database: database_name(database),
            group: group(),
            address: address(database),
            data_centre: DataCentre::new("tx-1").unwrap(),
            connections: 30,
            slots: 2,
            role: fake.role,
            term: fake.term,
            leaving: false,
        };
        let host = self.rng.random_range(0..self.hosts.len());
        self.step(host, HostEvent::Announced(announcement));
    }

    fn check_end_state(&mut self) {
        let newest = self.databases.iter().filter(|database| database.accepts_writes());
        let Some(primary) = newest.max_by_key(|database| database.term).cloned() else {
            return self.verdict.record_violation("no primary at the end".to_owned());
        };
        let operations = std::mem::take(&mut self.operations);
        self.verdict.check_history(&operations, &primary);
        // Late operations are selected by their answers and not by when they were
        // sent: all callers may be waiting for the host that recovers last.
        let late = operations
            .iter()
            .filter(|o| o.answered_at.is_some_and(|at| at > CALLERS_UNTIL - 1_000 * MILLI))
            .filter(|o| o.outcome == Outcome::Ran)
            .count();
        if late == 0 {
            self.verdict
                .record_violation("nothing is served after all faults are healed".to_owned());
        }
    }
}

impl Action {
    /// The host whose pause delays this action.
    fn host(&self) -> Option<usize> {
        match self {
            Self::Tick(host)
            | Self::Deliver { to: host, .. }
            | Self::Persisted { host, .. }
            | Self::Reported { host, .. }
            | Self::Ordered { host, .. }
            | Self::Executed { host, .. } => Some(*host),
            _ => None,
        }
    }

    /// The host and the epoch in which this action is valid; it is dropped after a
    /// crash of the host.
    fn epoch(&self) -> Option<(usize, u64)> {
        match self {
            Self::Deliver { to: host, epoch, .. }
            | Self::ForgeFence { to: host, epoch, .. }
            | Self::Persisted { host, epoch, .. }
            | Self::AskReport { host, epoch, .. }
            | Self::Reported { host, epoch, .. }
            | Self::Order { host, epoch, .. }
            | Self::Ordered { host, epoch, .. }
            | Self::Execute { host, epoch, .. }
            | Self::Executed { host, epoch, .. } => Some((*host, *epoch)),
            _ => None,
        }
    }
}

fn hash_of(text: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
