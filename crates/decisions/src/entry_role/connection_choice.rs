use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    connection_table::ConnectionTable,
    queue_order::{QueuedStatement, next_in_queue},
};
use crate::clock::Moment;

/// Time since its last use in which the last idle connection of a workspace is kept
/// from a workspace that holds half of the host's share or more.
pub const LAST_CONNECTION_KEPT: Duration = Duration::from_secs(1);
/// Times that a waiting statement may be passed over because another one can use a
/// connection without a handshake. It bounds the wait where the newest goes first.
pub const MAX_PASSED_OVER: u32 = 4;
/// A statement of a workspace without any connection goes first within its priority
/// once it has waited for its objective divided by this number.
const UNSERVED_WAIT_DIVISOR: u32 = 4;

/// What a statement of a workspace does to get a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Use the idle connection with this index.
    Reuse(usize),
    /// Open one.
    Open,
    /// Close the idle connection with this index, then open one.
    Replace(usize),
    /// Close the idle connection with this index, since the host has more than its
    /// share, and choose again.
    CloseIdle(usize),
    /// Wait for a released connection, or until this time if it comes first.
    Wait {
        /// When a connection may be opened or replaced.
        until: Option<Moment>,
    },
}

/// A statement that waits for a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingStatement {
    /// What determines its order in the queue.
    pub statement: QueuedStatement,
    /// Workspace to which its connection must belong.
    pub workspace: Option<Arc<str>>,
    /// Times that it was passed over for one that needed no handshake.
    pub passed_over: u32,
}

/// Which waiting statement is served when a connection was released or closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseChoice {
    /// The waiting statement with index `waiter` is served.
    Serve {
        /// Index in the queue.
        waiter: usize,
        /// How; never `Wait`.
        choice: ConnectionChoice,
        /// Index of the statement that was passed over for it.
        passed_over: Option<usize>,
    },
    /// No waiting statement can be served; idle connections stay idle.
    KeepIdle,
}

impl<L> ConnectionTable<L> {
    /// Chooses how a statement of a workspace gets a connection.
    ///
    /// A connection is replaced before the host waits, also while the database is full:
    /// the number of connections stays the same.
    pub fn choose(&self, workspace: Option<&Arc<str>>, now: Moment) -> ConnectionChoice {
        if let Some(index) = self.last_used_of(workspace) {
            return ConnectionChoice::Reuse(index);
        }
        let has_room = self.open() < self.share();
        let paused = self.pauses().open_pause(self.held(workspace) > 0, now);
        if has_room && paused.is_none() {
            return ConnectionChoice::Open;
        }
        match self.find_replaceable(workspace, now) {
            Ok(index) if self.open() > self.share() => ConnectionChoice::CloseIdle(index),
            Ok(index) => ConnectionChoice::Replace(index),
            Err(until) => {
                let paused = paused.filter(|_| has_room);
                ConnectionChoice::Wait { until: paused.into_iter().chain(until).min() }
            }
        }
    }

    /// The idle connection that a statement of `workspace` may replace: the least
    /// recently used one, of the workspace with the most idle connections; or when
    /// there may be one.
    ///
    /// A workspace that holds half of the share takes no connection that is another
    /// workspace's last idle one and was used lately: it would pay a handshake to gain
    /// little, and the other workspace one more.
    fn find_replaceable(
        &self,
        workspace: Option<&Arc<str>>,
        now: Moment,
    ) -> Result<usize, Option<Moment>> {
        if self.idle().is_empty() {
            return Err(None);
        }
        if let Some(until) = self.pauses().replace_pause(now) {
            return Err(Some(until));
        }
        let holds_half = self.held(workspace) * 2 >= self.share();
        let counts = self.idle_counts();
        let mut found: Option<(usize, usize)> = None;
        let mut kept_until: Option<Moment> = None;
        for (index, idle) in self.idle().iter().enumerate() {
            let count = counts.get(&idle.workspace.as_ref()).copied().unwrap_or(0);
            let until = idle.last_used + LAST_CONNECTION_KEPT;
            if holds_half && count == 1 && now < until {
                kept_until = kept_until.into_iter().chain([until]).min();
            } else if found.is_none_or(|(_, most)| count > most) {
                found = Some((index, count));
            }
        }
        found.map(|(index, _)| index).ok_or(kept_until)
    }

    /// Chooses the waiting statement to serve next, after a released connection was
    /// added to the idle ones. `handshake` is the time to open a connection; the queue
    /// is in order of arrival.
    ///
    /// Statements go in the order of [`next_in_queue`], with two exceptions among equal
    /// priorities. One that can use an idle connection goes before one that must open
    /// one and arrived less than a handshake earlier. One whose workspace has no
    /// connection goes first after a quarter of its objective, so that a workspace with
    /// many statements cannot pass its connections on to itself for ever.
    pub fn choose_waiter(
        &self,
        waiters: &[WaitingStatement],
        handshake: Duration,
        now: Moment,
    ) -> ReleaseChoice {
        self.choose_waiter_by(waiters, handshake, now, |servable| {
            let queue: Vec<QueuedStatement> =
                servable.iter().map(|index| waiters[*index].statement).collect();
            next_in_queue(&queue, now, Duration::ZERO)
        })
    }

    /// The same with an order of its own: `next_of_servable` is given the indices of the
    /// waiting statements that can be served, and returns the position of the first one in
    /// that list, or nothing if none may be served now.
    pub fn choose_waiter_by(
        &self,
        waiters: &[WaitingStatement],
        handshake: Duration,
        now: Moment,
        next_of_servable: impl FnOnce(&[usize]) -> Option<usize>,
    ) -> ReleaseChoice {
        let servable = self.servable(waiters, now);
        let indices: Vec<usize> = servable.iter().map(|entry| entry.index).collect();
        let Some(first) = next_of_servable(&indices).map(|position| servable[position]) else {
            return ReleaseChoice::KeepIdle;
        };
        let serve = |entry: &Servable<'_>, passed_over| ReleaseChoice::Serve {
            waiter: entry.index,
            choice: entry.choice,
            passed_over,
        };
        let priority = first.waiter.statement.priority;
        let equals: Vec<Servable<'_>> = servable
            .iter()
            .filter(|entry| entry.waiter.statement.priority == priority)
            .copied()
            .collect();
        if self.held(first.waiter.workspace.as_ref()) > 0
            && let Some(unserved) = equals.iter().find(|entry| self.is_unserved(entry.waiter, now))
        {
            return serve(unserved, None);
        }
        let needs_handshake = !matches!(first.choice, ConnectionChoice::Reuse(_));
        if needs_handshake
            && first.waiter.passed_over < MAX_PASSED_OVER
            && !self.is_unserved(first.waiter, now)
        {
            let reusing: Vec<Servable<'_>> = equals
                .into_iter()
                .filter(|entry| matches!(entry.choice, ConnectionChoice::Reuse(_)))
                .collect();
            let arrived = first.waiter.statement.arrived;
            if let Some(next) = next_of(&reusing, now)
                && next.waiter.statement.arrived.since(arrived) < handshake
            {
                return serve(&next, Some(first.index));
            }
        }
        serve(&first, None)
    }

    /// The waiting statements that need not wait any longer. All statements of a
    /// workspace have the same choice, which is computed once.
    fn servable<'a>(&self, waiters: &'a [WaitingStatement], now: Moment) -> Vec<Servable<'a>> {
        let mut choices: BTreeMap<Option<&Arc<str>>, ConnectionChoice> = BTreeMap::new();
        let mut servable = Vec::new();
        for (index, waiter) in waiters.iter().enumerate() {
            let workspace = waiter.workspace.as_ref();
            let choice = *choices.entry(workspace).or_insert_with(|| self.choose(workspace, now));
            if !matches!(choice, ConnectionChoice::Wait { .. }) {
                servable.push(Servable { index, waiter, choice });
            }
        }
        servable
    }

    /// True if the workspace has no connection and the statement, which can still meet
    /// its objective, has waited for a quarter of it.
    fn is_unserved(&self, waiter: &WaitingStatement, now: Moment) -> bool {
        let waited = now.since(waiter.statement.arrived);
        let objective = waiter.statement.objective;
        self.held(waiter.workspace.as_ref()) == 0
            && waited >= objective / UNSERVED_WAIT_DIVISOR
            && waited <= objective
    }
}

/// A waiting statement that can be served now.
#[derive(Debug, Clone, Copy)]
struct Servable<'a> {
    /// Index in the queue.
    index: usize,
    waiter: &'a WaitingStatement,
    choice: ConnectionChoice,
}

fn next_of<'a>(servable: &[Servable<'a>], now: Moment) -> Option<Servable<'a>> {
    let queue: Vec<QueuedStatement> = servable.iter().map(|entry| entry.waiter.statement).collect();
    next_in_queue(&queue, now, Duration::ZERO).map(|index| servable[index])
}
