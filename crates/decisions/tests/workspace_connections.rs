//! Load patterns of workspaces that share a database with few connections: each of
//! these belongs to one workspace, and opening one takes 12 ms.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{
        ConnectionChoice, ConnectionTable, HandshakeTime, LargestWorkspaces, MAX_PASSED_OVER,
        QueuedStatement, ReleaseChoice, WaitingStatement,
    },
};
use proptest::prelude::*;

const HANDSHAKE_MS: u64 = 12;
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Interval at which surplus idle connections are closed, as on an entry host.
const TRIM_MS: u64 = 500;

type Name = Option<Arc<str>>;

fn name(text: &str) -> Name {
    Some(Arc::from(text))
}

fn waiting(arrived_ms: u64, workspace: &Name) -> WaitingStatement {
    let arrived = Moment::from_millis(arrived_ms);
    let statement = QueuedStatement { arrived, objective: OBJECTIVE, priority: 1 };
    WaitingStatement { statement, workspace: workspace.clone(), passed_over: 0 }
}

/// What became of the statements of a workspace.
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    reused: u32,
    opened: u32,
    longest_wait_ms: u64,
}

impl Served {
    fn total(self) -> u32 {
        self.reused + self.opened
    }

    fn hit_percent(self) -> u32 {
        self.reused * 100 / self.total().max(1)
    }
}

struct Running {
    ends_ms: u64,
    /// Workspace of the connection that serves the statement.
    workspace: Name,
}

/// A pool with simulated time, which carries out the decisions. An idle connection
/// is represented by its workspace.
struct PoolSimulation {
    table: ConnectionTable<Name>,
    window: usize,
    now_ms: u64,
    running: Vec<Running>,
    waiters: Vec<WaitingStatement>,
    service_ms: u64,
    served: BTreeMap<Name, Served>,
    replaced: u32,
}

impl PoolSimulation {
    fn new(share: usize, service_ms: u64) -> Self {
        Self {
            table: ConnectionTable::new(share),
            window: share,
            now_ms: 0,
            running: Vec::new(),
            waiters: Vec::new(),
            service_ms,
            served: BTreeMap::new(),
            replaced: 0,
        }
    }

    fn now(&self) -> Moment {
        Moment::from_millis(self.now_ms)
    }

    fn arrive(&mut self, workspace: &Name) {
        if self.running.len() < self.window
            && self.serve(self.table.choose(workspace.as_ref(), self.now()), workspace, self.now_ms)
        {
            return;
        }
        self.waiters.push(waiting(self.now_ms, workspace));
    }

    /// Carries out a choice; false if the statement must wait.
    fn serve(&mut self, choice: ConnectionChoice, workspace: &Name, arrived_ms: u64) -> bool {
        let key = workspace.as_ref();
        let is_reused = match choice {
            ConnectionChoice::Reuse(index) => {
                let owner = self.table.take(index);
                assert_eq!(owner, *workspace, "a connection was used by another workspace");
                true
            }
            ConnectionChoice::Open => {
                self.table.count_opened(key);
                false
            }
            ConnectionChoice::Replace(index) => {
                let owner = self.table.take_replaced(index, key);
                assert_ne!(owner, *workspace);
                self.replaced += 1;
                false
            }
            ConnectionChoice::CloseIdle(index) => {
                self.table.take_closed(index);
                let next = self.table.choose(key, self.now());
                return self.serve(next, workspace, arrived_ms);
            }
            ConnectionChoice::Wait { .. } => return false,
        };
        let served = self.served.entry(workspace.clone()).or_default();
        served.longest_wait_ms = served.longest_wait_ms.max(self.now_ms - arrived_ms);
        let handshake_ms = match is_reused {
            true => {
                served.reused += 1;
                0
            }
            false => {
                assert!(self.table.open() <= self.table.share(), "more open than allowed");
                served.opened += 1;
                HANDSHAKE_MS
            }
        };
        let ends_ms = self.now_ms + handshake_ms + self.service_ms;
        self.running.push(Running { ends_ms, workspace: workspace.clone() });
        true
    }

    fn serve_waiters(&mut self) {
        while self.running.len() < self.window {
            let handshake = Duration::from_millis(HANDSHAKE_MS);
            let ReleaseChoice::Serve { waiter, choice, passed_over } =
                self.table.choose_waiter(&self.waiters, handshake, self.now())
            else {
                return;
            };
            if let Some(index) = passed_over {
                self.waiters[index].passed_over += 1;
                assert!(self.waiters[index].passed_over <= MAX_PASSED_OVER);
            }
            let next = self.waiters.remove(waiter);
            let arrived_ms = next.statement.arrived.as_micros() / 1_000;
            if !self.serve(choice, &next.workspace, arrived_ms) {
                self.waiters.insert(waiter, next);
                return;
            }
        }
    }

    /// Advances by 1 ms.
    fn step(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        let (ended, running) =
            std::mem::take(&mut self.running).into_iter().partition(|r| r.ends_ms <= now_ms);
        self.running = running;
        let ended: Vec<Running> = ended;
        for connection in ended {
            let (owner, now) = (connection.workspace, self.now());
            self.table.add_idle(owner.clone(), owner, now);
            self.serve_waiters();
        }
        if now_ms.is_multiple_of(TRIM_MS) {
            self.table.take_surplus(self.now());
        }
        self.serve_waiters();
        let held: usize = self.table.held_by_workspace().map(|(_, count)| count).sum();
        assert_eq!(held, self.table.open());
        assert_eq!(held, self.running.len() + self.table.idle().len());
    }

    /// Advances to `until_ms`; each workspace sends a statement in each of its intervals.
    fn run_until(&mut self, until_ms: u64, intervals: &[(Name, u64)]) {
        while self.now_ms < until_ms {
            for (index, (workspace, interval_ms)) in intervals.iter().enumerate() {
                // The offset keeps workspaces with equal intervals apart.
                if (self.now_ms + index as u64 * 37).is_multiple_of(*interval_ms) {
                    self.arrive(workspace);
                }
            }
            self.step();
        }
    }
}

/// Guards against a large workspace that loses its connections to small ones which come
/// and go: each of its statements would then cost a handshake, too.
#[test]
fn many_small_workspaces() {
    let mut pool = PoolSimulation::new(5, 8);
    let large = name("large");
    let mut intervals = vec![(large.clone(), 12)];
    intervals.extend((0..20).map(|number| (name(&format!("small-{number}")), 2_000)));
    pool.run_until(60_000, &intervals);
    let large = pool.served[&large];
    assert!(large.hit_percent() >= 95, "{large:?}");
    assert!(pool.replaced > 100, "{}", pool.replaced);
    for (workspace, _) in &intervals {
        let served = pool.served[workspace];
        assert!(served.longest_wait_ms <= 60, "{workspace:?}: {served:?}");
        assert!(served.total() >= 29, "{workspace:?}: {served:?}");
    }
}

/// Guards against a workspace with more statements than the database can run that takes
/// the last connections of the others, so that each of their statements needs a
/// handshake, and against its queue keeping out a workspace that has no connection yet.
#[test]
fn one_workspace_floods() {
    let mut pool = PoolSimulation::new(6, 20);
    let quiet: Vec<(Name, u64)> =
        ["a", "b", "c"].into_iter().map(|text| (name(text), 250)).collect();
    pool.run_until(2_000, &quiet);
    let before: Vec<Served> = quiet.iter().map(|(workspace, _)| pool.served[workspace]).collect();
    let mut flooded = quiet.clone();
    flooded.push((name("hot"), 1));
    pool.run_until(12_000, &flooded);
    for ((workspace, _), before) in quiet.iter().zip(before) {
        let served = pool.served[workspace];
        assert!(served.total() - before.total() >= 40, "{workspace:?}: {served:?}");
        assert!(served.opened - before.opened <= 1, "{workspace:?}: {served:?}");
        assert!(served.longest_wait_ms <= 100, "{workspace:?}: {served:?}");
    }
    assert!(pool.waiters.len() > 100, "{}: no flood", pool.waiters.len());
    // A workspace without a connection waits for a quarter of its objective and for
    // the end of a statement, at most.
    for number in 0..20 {
        let newcomer = name(&format!("new-{number}"));
        pool.arrive(&newcomer);
        pool.run_until(pool.now_ms + 203, &flooded);
        let served = pool.served.get(&newcomer).copied().unwrap_or_default();
        assert_eq!(served.total(), 1, "{newcomer:?}");
        assert!(served.longest_wait_ms <= 120, "{newcomer:?}: {served:?}");
    }
}

/// Guards against the handshake of a workspace that sends a statement every few seconds,
/// and against idle connections that leave no room for hosts that return after a loss of
/// power, whose old connections the database still holds.
#[test]
fn workspace_returns_after_idle() {
    let mut pool = PoolSimulation::new(12, 10);
    let workspaces: Vec<Name> = (0..12).map(|number| name(&format!("w{number}"))).collect();
    workspaces.iter().for_each(|workspace| pool.arrive(workspace));
    pool.run_until(1_600, &[]);
    assert_eq!(pool.table.idle().len(), 6);
    pool.run_until(3_500, &[]);
    let kept: Vec<Name> = pool.table.idle().iter().map(|idle| idle.workspace.clone()).collect();
    for workspace in &kept {
        pool.arrive(workspace);
        assert_eq!(pool.served[workspace].reused, 1, "{workspace:?}");
    }
    pool.run_until(10_000, &[]);
    assert_eq!(pool.table.open(), 3);
    // Without workspaces a quarter is kept after one second.
    let mut shared = PoolSimulation::new(12, 10);
    (0..12).for_each(|_| shared.arrive(&None));
    shared.run_until(1_600, &[]);
    assert_eq!(shared.table.open(), 3);
}

/// Guards against a workspace that is kept from connecting by the refusals that another
/// one got, and against a host that closes all its connections one by one for slots that
/// other hosts take.
#[test]
fn connections_run_out() {
    let (a, b, now) = (name("a"), name("b"), Moment::from_millis(1_000));
    let mut table: ConnectionTable<Name> = ConnectionTable::new(5);
    for _ in 0..2 {
        table.count_opened(a.as_ref());
    }
    table.pauses_mut().record_full(false, now);
    let wait = |until_ms| ConnectionChoice::Wait { until: Some(Moment::from_millis(until_ms)) };
    assert_eq!(table.choose(a.as_ref(), now), wait(2_000));
    assert_eq!(table.choose(b.as_ref(), now), wait(1_030));
    let later = Moment::from_millis(1_030);
    assert_eq!(table.choose(a.as_ref(), later), wait(2_000));
    assert_eq!(table.choose(b.as_ref(), later), ConnectionChoice::Open);
    // Replacing an idle connection needs no free slot.
    table.add_idle(a.clone(), a.clone(), now);
    assert_eq!(table.choose(b.as_ref(), now), ConnectionChoice::Replace(0));
    assert_eq!(table.choose(a.as_ref(), now), ConnectionChoice::Reuse(0));
    table.pauses_mut().record_full(true, later);
    assert_eq!(table.choose(b.as_ref(), later), wait(1_090));
    assert_eq!(table.choose(a.as_ref(), later), ConnectionChoice::Reuse(0));
}

/// Guards against a host above its share that replaces connections instead of closing
/// them, so that a host that joined never gets its own.
#[test]
fn share_shrinks() {
    let mut pool = PoolSimulation::new(8, 10);
    (0..8).for_each(|number| pool.arrive(&name(&format!("w{number}"))));
    pool.run_until(50, &[]);
    pool.table.set_share(3);
    pool.arrive(&name("other"));
    assert_eq!(pool.table.open(), 3);
    assert_eq!(pool.table.held(name("other").as_ref()), 1);
}

/// Guards against replacing the connections of a workspace with one connection while
/// another has several unused ones.
#[test]
fn least_recently_used_of_most_idle_is_replaced() {
    let mut table: ConnectionTable<u32> = ConnectionTable::new(4);
    let (a, b, c) = (name("a"), name("b"), name("c"));
    for (index, owner) in [&a, &b, &c, &b].into_iter().enumerate() {
        table.count_opened(owner.as_ref());
        table.add_idle(index as u32, owner.clone(), Moment::from_millis(index as u64));
    }
    let now = Moment::from_millis(10);
    assert_eq!(table.choose(name("d").as_ref(), now), ConnectionChoice::Replace(1));
    assert_eq!(table.take_replaced(1, name("d").as_ref()), 1);
    assert_eq!(table.choose(name("e").as_ref(), now), ConnectionChoice::Replace(0));
}

/// Guards against a handshake that a short wait of another workspace saves, and against
/// a statement that is passed over without end for it.
#[test]
fn handshake_is_saved_for_a_bounded_time() {
    let mut table: ConnectionTable<()> = ConnectionTable::new(1);
    let (a, b) = (name("a"), name("b"));
    table.count_opened(a.as_ref());
    table.add_idle((), a.clone(), Moment::from_millis(50));
    let serve = |waiters: &[WaitingStatement]| {
        let handshake = HandshakeTime::default().expected();
        table.choose_waiter(waiters, handshake, Moment::from_millis(50))
    };
    let chosen = |choice: ReleaseChoice| match choice {
        ReleaseChoice::Serve { waiter, passed_over, .. } => (waiter, passed_over),
        ReleaseChoice::KeepIdle => panic!("nobody is served"),
    };
    assert_eq!(chosen(serve(&[waiting(20, &b), waiting(31, &a)])), (1, Some(0)));
    assert_eq!(chosen(serve(&[waiting(20, &b), waiting(32, &a)])), (0, None));
    let mut passed = waiting(20, &b);
    passed.passed_over = MAX_PASSED_OVER;
    assert_eq!(chosen(serve(&[passed, waiting(31, &a)])), (0, None));
    let mut urgent = waiting(20, &b);
    urgent.statement.priority = 0;
    assert_eq!(chosen(serve(&[urgent, waiting(31, &a)])), (0, None));
    assert_eq!(serve(&[]), ReleaseChoice::KeepIdle);
}

/// Guards against a workspace that passes its only connection on to its own newest
/// statements, while one without any connection waits.
#[test]
fn workspace_without_connection_goes_first() {
    let mut table: ConnectionTable<()> = ConnectionTable::new(1);
    let (a, b) = (name("a"), name("b"));
    table.count_opened(a.as_ref());
    table.add_idle((), a.clone(), Moment::from_millis(300));
    let served = |waiters: &[WaitingStatement], now_ms: u64| {
        let handshake = HandshakeTime::default().expected();
        match table.choose_waiter(waiters, handshake, Moment::from_millis(now_ms)) {
            ReleaseChoice::Serve { waiter, .. } => waiter,
            ReleaseChoice::KeepIdle => panic!("nobody is served"),
        }
    };
    // The oldest has used half of its objective, so that the newest would go first.
    let mut waiters = vec![waiting(50, &a), waiting(200, &b), waiting(290, &a)];
    assert_eq!(served(&waiters, 299), 2);
    assert_eq!(served(&waiters, 300), 1);
    waiters[0].statement.priority = 0;
    assert_eq!(served(&waiters, 300), 0);
}

/// Guards against a handshake time that one stalled open makes useless.
#[test]
fn handshake_time_is_measured() {
    let mut time = HandshakeTime::default();
    assert_eq!(time.expected(), Duration::from_millis(12));
    (0..50).for_each(|_| time.record(Duration::from_millis(4)));
    assert!(time.expected() < Duration::from_millis(5));
    time.record(Duration::from_secs(1));
    assert!(time.expected() <= Duration::from_millis(11), "{time:?}");
}

/// Guards against metrics that grow with the number of workspaces.
#[test]
fn workspace_labels_are_bounded() {
    let mut largest = LargestWorkspaces::default();
    assert!(largest.label_counts(&BTreeMap::from([(None, 3)])).is_empty());
    let mut labels = Vec::new();
    for round in 0..100 {
        let counts: BTreeMap<Name, usize> = (0..9)
            .map(|number| (name(&format!("w{}", round * 9 + number)), 9 - number))
            .chain([(None, 2)])
            .collect();
        labels = largest.label_counts(&counts);
        assert!(labels.len() <= 34, "{}", labels.len());
        let sum: usize = labels.iter().map(|(_, count)| count).sum();
        assert_eq!(sum, 47);
    }
    assert_eq!(labels.iter().find(|(label, _)| &**label == "none").map(|l| l.1), Some(2));
}

proptest! {
    /// Guards against any order of arrivals, shares and refusals in which a connection
    /// serves another workspace, the share is exceeded by an open, or a statement is
    /// never served.
    #[test]
    fn every_statement_is_served(
        steps in prop::collection::vec((0u8..8, 0u64..30, 0u8..20), 1..120),
        share in 1usize..7,
        window in 1usize..7,
    ) {
        let mut pool = PoolSimulation::new(share, 9);
        pool.window = window;
        for (number, (workspace, pause_ms, event)) in steps.iter().enumerate() {
            match event {
                0 => pool.table.set_share(number % 6 + 1),
                1 => {
                    let now = pool.now();
                    pool.table.pauses_mut().record_full(number % 2 == 0, now);
                }
                _ => pool.arrive(&(*workspace > 0).then(|| format!("w{workspace}").into())),
            }
            (0..*pause_ms).for_each(|_| pool.step());
        }
        // 120 statements, one after the other, with handshakes and pauses.
        (0..10_000).for_each(|_| pool.step());
        prop_assert!(pool.waiters.is_empty(), "{:?}", pool.waiters);
        prop_assert!(pool.table.open() <= pool.table.share());
    }
}
