//! A database with a few slots and a queue in order of arrival, used by gateways that each
//! see only a part of its statements. Time is simulated.

// Each test file uses a part of the policies.
#![allow(dead_code)]

use std::{collections::VecDeque, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{
        InflightWindow, PoolPriorities, QueueForecast, QueuedStatement, RankedStatement,
        next_in_queue,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK_US: u64 = 500;
pub const SLOTS: usize = 4;
/// Statements that a database queues before it refuses further ones.
const DATABASE_QUEUE: usize = 32;
const GATEWAYS: usize = 8;
pub const CONNECTIONS: usize = 8;
/// Entry hosts that share the database, which sets the initial windows.
pub const HOSTS: u32 = 69;
/// Interval in which waiting statements are checked again for whether they can be served.
const RECHECK_US: u64 = 100_000;
pub const SECOND_US: u64 = 1_000_000;
/// Shortest time after which a refused caller returns.
const RETURN_PAUSE_US: u64 = 75_000;

/// One kind of statement, with its share of the load.
#[derive(Debug, Clone)]
pub struct Kind {
    pub workspace: Option<Arc<str>>,
    pub priority: u32,
    pub work_us: u64,
    pub objective: Duration,
    /// Time for which it waits for a connection.
    pub connect: Duration,
    /// Time after which its caller gives up.
    pub deadline: Duration,
    /// Statements per second in the second that begins at this time.
    pub rate: fn(u64) -> f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Answered { took: Duration, at_us: u64 },
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    kind: usize,
    first_us: u64,
    /// When its present attempt began.
    attempt_us: u64,
    /// Since when it counts as waiting.
    arrived_us: u64,
    sent_us: u64,
    gateway: usize,
}

/// What pools do about priorities, and callers about refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Windows that grow until the database refuses; statements wait until their connect
    /// deadline and refused callers return at once.
    GrowUntilRefused,
    /// The pools' new rules; refused callers return after the stated time.
    ByPriority,
    /// The pools' new rules; refused callers return at once and never give up.
    ImmediateRetries,
    /// As `ByPriority`, but each attempt of a refused caller counts as a new statement.
    AttemptsAsNew,
}

struct Gateway {
    queue: Vec<Call>,
    running: usize,
    window: InflightWindow,
    priorities: PoolPriorities,
}

pub struct Load {
    policy: Policy,
    kinds: Vec<Kind>,
    gateways: Vec<Gateway>,
    /// Times at which the database's slots are free again, and what they run.
    slots: [Option<(u64, Call)>; SLOTS],
    database_queue: VecDeque<Call>,
    /// Callers that wait to return.
    returning: Vec<(u64, Call)>,
    outcomes: Vec<(usize, u64, Outcome)>,
    /// Attempts that were refused early, and the times to return that were stated.
    pub stated: Vec<(u64, Duration)>,
    random: ChaCha8Rng,
}

impl Load {
    pub fn new(policy: Policy, kinds: Vec<Kind>) -> Self {
        let urgent = kinds.iter().map(|kind| kind.priority).min();
        let gateway = |_| {
            let mut priorities = PoolPriorities::default();
            priorities.set_most_urgent(urgent.filter(|_| policy != Policy::GrowUntilRefused));
            let window = InflightWindow::new(SLOTS as u32, HOSTS, CONNECTIONS);
            Gateway { queue: Vec::new(), running: 0, window, priorities }
        };
        Self {
            policy,
            kinds,
            gateways: (0..GATEWAYS).map(gateway).collect(),
            slots: [None; SLOTS],
            database_queue: VecDeque::new(),
            returning: Vec::new(),
            outcomes: Vec::new(),
            stated: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(4),
        }
    }

    pub fn run(mut self, seconds: u64) -> Self {
        for now_us in (0..seconds * SECOND_US).step_by(TICK_US as usize) {
            self.finish_answers(now_us);
            self.add_arrivals(now_us);
            self.expire_waiting(now_us);
            (0..GATEWAYS).for_each(|gateway| self.send_waiting(gateway, now_us));
            self.start_statements(now_us);
        }
        self
    }

    fn add_arrivals(&mut self, now_us: u64) {
        for kind in 0..self.kinds.len() {
            let chance = (self.kinds[kind].rate)(now_us) * TICK_US as f64 / SECOND_US as f64;
            if self.random.random_bool(chance) {
                let gateway = self.random.random_range(0..GATEWAYS);
                let call = Call {
                    kind,
                    first_us: now_us,
                    attempt_us: now_us,
                    arrived_us: now_us,
                    sent_us: 0,
                    gateway,
                };
                self.arrive(call, now_us);
            }
        }
        let due: Vec<Call> =
            self.returning.extract_if(.., |(at, _)| *at <= now_us).map(|(_, call)| call).collect();
        for call in due {
            let arrived_us = match self.policy {
                Policy::ByPriority => call.first_us,
                _ => now_us,
            };
            self.arrive(Call { attempt_us: now_us, arrived_us, ..call }, now_us);
        }
    }

    fn ranked(&self, call: &Call, now_us: u64) -> RankedStatement {
        let kind = &self.kinds[call.kind];
        let statement = QueuedStatement {
            arrived: Moment::from_micros(call.arrived_us),
            objective: kind.objective,
            priority: kind.priority,
        };
        let priorities = &self.gateways[call.gateway].priorities;
        let now = Moment::from_micros(now_us);
        priorities.rank(now, statement, kind.workspace.as_ref())
    }

    fn forecast(&mut self, call: &Call, now_us: u64) -> QueueForecast {
        let deadline_us = call.attempt_us + self.kinds[call.kind].connect.as_micros() as u64;
        let left = Duration::from_micros(deadline_us.saturating_sub(now_us));
        let spread = self.random.random_range(0..1_000);
        let gateway = &self.gateways[call.gateway];
        let others = gateway
            .queue
            .iter()
            .filter(|other| (other.first_us, other.kind) != (call.first_us, call.kind))
            .map(|other| self.ranked(other, now_us));
        gateway.priorities.forecast(
            &gateway.window,
            gateway.running,
            others,
            &self.ranked(call, now_us),
            Moment::from_micros(now_us),
            left,
            spread,
        )
    }

    fn arrive(&mut self, call: Call, now_us: u64) {
        match self.forecast(&call, now_us) {
            QueueForecast::Wait => self.gateways[call.gateway].queue.push(call),
            QueueForecast::Refuse { retry_after } => {
                self.stated.push((now_us, retry_after));
                self.refuse(call, now_us, retry_after);
            }
        }
    }

    fn recheck(&mut self, call: Call, now_us: u64) {
        if let QueueForecast::Refuse { retry_after } = self.forecast(&call, now_us) {
            let queue = &mut self.gateways[call.gateway].queue;
            queue.retain(|other| (other.first_us, other.kind) != (call.first_us, call.kind));
            self.stated.push((now_us, retry_after));
            self.refuse(call, now_us, retry_after);
        }
    }

    /// The caller returns after a refusal, if its deadline leaves time for that.
    fn refuse(&mut self, call: Call, now_us: u64, retry_after: Duration) {
        let pause_us = match self.policy {
            Policy::ByPriority | Policy::AttemptsAsNew => {
                (retry_after.as_micros() as u64).max(RETURN_PAUSE_US)
            }
            Policy::GrowUntilRefused | Policy::ImmediateRetries => TICK_US,
        };
        let deadline_us = call.first_us + self.kinds[call.kind].deadline.as_micros() as u64;
        let gives_up = matches!(self.policy, Policy::ByPriority | Policy::AttemptsAsNew);
        match gives_up && now_us + pause_us > deadline_us {
            true => self.outcomes.push((call.kind, call.first_us, Outcome::Refused)),
            false => self.returning.push((now_us + pause_us, call)),
        }
    }

    /// Refuses what waited until its connect deadline, and each 100 ms what cannot be
    /// served before.
    fn expire_waiting(&mut self, now_us: u64) {
        for gateway in 0..GATEWAYS {
            let calls = std::mem::take(&mut self.gateways[gateway].queue);
            let (late, waiting): (Vec<Call>, Vec<Call>) = calls.into_iter().partition(|call| {
                let waited = Duration::from_micros(now_us - call.attempt_us);
                waited >= self.kinds[call.kind].connect
            });
            self.gateways[gateway].queue = waiting;
            late.into_iter().for_each(|call| self.refuse(call, now_us, Duration::ZERO));
            if now_us.is_multiple_of(RECHECK_US) {
                let waiting = std::mem::take(&mut self.gateways[gateway].queue);
                self.gateways[gateway].queue.extend_from_slice(&waiting);
                waiting.iter().for_each(|call| self.recheck(*call, now_us));
            }
        }
    }

    fn send_waiting(&mut self, index: usize, now_us: u64) {
        let now = Moment::from_micros(now_us);
        loop {
            let gateway = &self.gateways[index];
            let ranked: Vec<RankedStatement> =
                gateway.queue.iter().map(|call| self.ranked(call, now_us)).collect();
            let gateway = &mut self.gateways[index];
            let next = match self.policy {
                Policy::GrowUntilRefused if gateway.running >= gateway.window.limit() => None,
                Policy::GrowUntilRefused => {
                    let queue: Vec<QueuedStatement> = ranked.iter().map(|r| r.statement).collect();
                    next_in_queue(&queue, now, Duration::ZERO)
                }
                _ => gateway.priorities.next_waiter(&gateway.window, gateway.running, &ranked, now),
            };
            let Some(position) = next else {
                return;
            };
            let mut call = gateway.queue.remove(position);
            if self.database_queue.len() >= DATABASE_QUEUE {
                gateway.window.record_refusal();
                gateway.queue.insert(position, call);
                return;
            }
            gateway.running += 1;
            call.sent_us = now_us;
            self.database_queue.push_back(call);
        }
    }

    fn start_statements(&mut self, now_us: u64) {
        for slot in self.slots.iter_mut().filter(|slot| slot.is_none()) {
            *slot = self
                .database_queue
                .pop_front()
                .map(|call| (now_us + self.kinds[call.kind].work_us, call));
        }
    }

    fn finish_answers(&mut self, now_us: u64) {
        for slot in 0..SLOTS {
            let Some((_, call)) = self.slots[slot].take_if(|(until, _)| *until <= now_us) else {
                continue;
            };
            let kind = &self.kinds[call.kind];
            let gateway = &mut self.gateways[call.gateway];
            let took = Duration::from_micros(now_us - call.sent_us);
            let (window, running) = (&mut gateway.window, gateway.running);
            gateway.priorities.record_answer(window, running, kind.priority, took);
            let now = Moment::from_micros(now_us);
            gateway.priorities.record_work(now, kind.workspace.as_ref(), took);
            gateway.running -= 1;
            let took = Duration::from_micros(now_us - call.first_us);
            let answered = Outcome::Answered { took, at_us: now_us };
            self.outcomes.push((call.kind, call.first_us, answered));
        }
    }

    /// Share of the statements of a kind, asked for in `from_s..to_s`, that were answered
    /// within its objective.
    pub fn share_in_time(&self, kind: usize, from_s: u64, to_s: u64) -> f64 {
        let asked = from_s * SECOND_US..to_s * SECOND_US;
        let in_time = self.outcomes.iter().filter(|(of, first_us, outcome)| {
            let met = matches!(outcome, Outcome::Answered { took, .. }
                if *took <= self.kinds[kind].objective);
            *of == kind && asked.contains(first_us) && met
        });
        let pending = self.pending().filter(|call| call.kind == kind);
        let pending = pending.filter(|call| asked.contains(&call.first_us)).count();
        let ended = self
            .outcomes
            .iter()
            .filter(|(of, first_us, _)| *of == kind && asked.contains(first_us));
        in_time.count() as f64 / (ended.count() + pending).max(1) as f64
    }

    fn pending(&self) -> impl Iterator<Item = &Call> {
        let waiting = self.gateways.iter().flat_map(|gateway| &gateway.queue);
        let running = self.slots.iter().flatten().map(|(_, call)| call);
        let returning = self.returning.iter().map(|(_, call)| call);
        waiting.chain(running).chain(returning).chain(&self.database_queue)
    }

    /// Statements of a kind that were answered in `from_s..to_s`.
    pub fn answers(&self, kind: usize, from_s: u64, to_s: u64) -> usize {
        let window = from_s * SECOND_US..to_s * SECOND_US;
        let is_counted = |(of, _, outcome): &&(usize, u64, Outcome)| {
            *of == kind
                && matches!(outcome, Outcome::Answered { at_us, .. } if window.contains(at_us))
        };
        self.outcomes.iter().filter(is_counted).count()
    }
}
