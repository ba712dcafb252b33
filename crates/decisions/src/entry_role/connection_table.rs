use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::open_pauses::OpenPauses;
use crate::clock::Moment;

/// Idle time after which a connection above the number that a host keeps is closed, so
/// that another host may open one.
const SURPLUS_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A host keeps its share divided by this number open while idle. For some seconds
/// databases still hold the connections of hosts that lost power, and only the rest
/// is available to these hosts when they return.
const IDLE_SHARE_DIVISOR: usize = 4;
/// The same for connections of workspaces, each for `WORKSPACE_IDLE_TIMEOUT`. An idle
/// connection serves one workspace only, so that more of them are needed; the other
/// half of the share stays available to hosts that return.
const WORKSPACE_IDLE_DIVISOR: usize = 2;
/// Idle time after which a connection of a workspace above the share's quarter is
/// closed: several times the interval of a workspace that sends a statement or two per
/// second to a service, and short enough that a quiet host soon falls back to a quarter.
const WORKSPACE_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// An idle connection; `L` is what the process keeps of it.
#[derive(Debug)]
pub struct IdleConnection<L> {
    pub(super) link: L,
    /// Workspace to which it belongs, if it belongs to one.
    pub workspace: Option<Arc<str>>,
    /// When it was released.
    pub last_used: Moment,
}

/// The connections of one host to one database, by workspace. A connection belongs to
/// one workspace, or to none, for its whole lifetime.
#[derive(Debug)]
pub struct ConnectionTable<L> {
    share: usize,
    open: usize,
    /// The last used one is at the end.
    idle: Vec<IdleConnection<L>>,
    /// Number of connections that are open or being opened; no entry is 0.
    held: BTreeMap<Option<Arc<str>>, usize>,
    pauses: OpenPauses,
}

impl<L> ConnectionTable<L> {
    /// An empty table for at most `share` connections; at least one, so that
    /// statements that the host has accepted can run.
    pub fn new(share: usize) -> Self {
        Self {
            share: share.max(1),
            open: 0,
            idle: Vec::new(),
            held: BTreeMap::new(),
            pauses: OpenPauses::default(),
        }
    }

    /// Limit for the connections of this host. The shares of all hosts together stay
    /// within the connection limit of the database, except while hosts join or leave.
    pub fn share(&self) -> usize {
        self.share
    }

    /// Sets the limit; at least one.
    pub fn set_share(&mut self, share: usize) {
        self.share = share.max(1);
    }

    /// Connections that are open, being opened, or being closed to open another one.
    pub fn open(&self) -> usize {
        self.open
    }

    /// The idle connections, the last used one at the end.
    pub fn idle(&self) -> &[IdleConnection<L>] {
        &self.idle
    }

    /// Connections of a workspace that are open or being opened.
    pub fn held(&self, workspace: Option<&Arc<str>>) -> usize {
        match (workspace, self.held.len()) {
            (_, 0) => 0,
            _ => self.held.get(&workspace.cloned()).copied().unwrap_or(0),
        }
    }

    /// The workspaces with connections, and how many they hold.
    pub fn held_by_workspace(&self) -> impl Iterator<Item = (Option<&Arc<str>>, usize)> {
        self.held.iter().map(|(workspace, count)| (workspace.as_ref(), *count))
    }

    /// Times at which connections may be opened or replaced again.
    pub fn pauses(&self) -> &OpenPauses {
        &self.pauses
    }

    /// The same, to record refusals.
    pub fn pauses_mut(&mut self) -> &mut OpenPauses {
        &mut self.pauses
    }

    /// Counts a connection that is about to be opened.
    pub fn count_opened(&mut self, workspace: Option<&Arc<str>>) {
        self.open += 1;
        self.add_held(workspace);
    }

    /// Counts a connection that was closed, or could not be opened.
    pub fn count_closed(&mut self, workspace: Option<&Arc<str>>) {
        self.open = self.open.saturating_sub(1);
        self.subtract_held(workspace);
    }

    /// Takes an idle connection for use; it stays counted.
    pub fn take(&mut self, index: usize) -> L {
        self.idle.remove(index).link
    }

    /// Takes an idle connection, to be closed before one of `workspace` is opened in
    /// its place. The place stays counted throughout, so that nobody else takes it.
    pub fn take_replaced(&mut self, index: usize, workspace: Option<&Arc<str>>) -> L {
        let idle = self.idle.remove(index);
        self.subtract_held(idle.workspace.as_ref());
        self.add_held(workspace);
        idle.link
    }

    /// Takes an idle connection that is to be closed.
    pub fn take_closed(&mut self, index: usize) -> L {
        let idle = self.idle.remove(index);
        self.count_closed(idle.workspace.as_ref());
        idle.link
    }

    /// Adds a released connection to the idle ones.
    pub fn add_idle(&mut self, link: L, workspace: Option<Arc<str>>, now: Moment) {
        self.idle.push(IdleConnection { link, workspace, last_used: now });
    }

    /// Takes all idle connections, to be closed: the database is gone.
    pub fn take_all_idle(&mut self) -> Vec<L> {
        let mut closed = Vec::new();
        while !self.idle.is_empty() {
            closed.push(self.take_closed(0));
        }
        closed
    }

    /// Takes the idle connections that `is_broken` names, to be closed.
    pub fn take_broken(&mut self, is_broken: impl Fn(&L) -> bool) -> Vec<L> {
        let mut closed = Vec::new();
        let mut index = 0;
        while let Some(idle) = self.idle.get(index) {
            match is_broken(&idle.link) {
                true => closed.push(self.take_closed(index)),
                false => index += 1,
            }
        }
        closed
    }

    /// Takes the idle connections that are to be closed because the host keeps too many
    /// or because nobody used them for long.
    pub fn take_surplus(&mut self, now: Moment) -> Vec<L> {
        let mut closed = Vec::new();
        while let Some(index) = self.find_surplus(now) {
            closed.push(self.take_closed(index));
        }
        closed
    }

    /// The next idle connection to close. Among those above the number to keep it is one
    /// of the workspace with the most idle connections.
    fn find_surplus(&self, now: Moment) -> Option<usize> {
        if self.open <= (self.share / IDLE_SHARE_DIVISOR).max(1) {
            return None;
        }
        let oldest = self.idle.first()?;
        let has_workspaces = self.held.keys().any(Option::is_some);
        let timeout = match has_workspaces {
            true => WORKSPACE_IDLE_TIMEOUT,
            false => SURPLUS_IDLE_TIMEOUT,
        };
        if now.since(oldest.last_used) >= timeout {
            return Some(0);
        }
        let kept = (self.share / WORKSPACE_IDLE_DIVISOR).max(1);
        if !has_workspaces || self.idle.len() <= kept {
            return None;
        }
        let counts = self.idle_counts();
        let is_expired =
            |idle: &IdleConnection<L>| now.since(idle.last_used) >= SURPLUS_IDLE_TIMEOUT;
        let count_of =
            |idle: &IdleConnection<L>| counts.get(&idle.workspace.as_ref()).copied().unwrap_or(0);
        let expired = self.idle.iter().enumerate().filter(|(_, idle)| is_expired(idle));
        // Of equal counts the first is the least recently used one.
        expired.rev().max_by_key(|(_, idle)| count_of(idle)).map(|(index, _)| index)
    }

    /// The last used idle connection of a workspace.
    pub(super) fn last_used_of(&self, workspace: Option<&Arc<str>>) -> Option<usize> {
        self.idle.iter().rposition(|idle| idle.workspace.as_ref() == workspace)
    }

    /// Number of idle connections by workspace.
    pub(super) fn idle_counts(&self) -> BTreeMap<Option<&Arc<str>>, usize> {
        let mut counts = BTreeMap::new();
        for idle in &self.idle {
            *counts.entry(idle.workspace.as_ref()).or_default() += 1;
        }
        counts
    }

    fn add_held(&mut self, workspace: Option<&Arc<str>>) {
        *self.held.entry(workspace.cloned()).or_default() += 1;
    }

    fn subtract_held(&mut self, workspace: Option<&Arc<str>>) {
        let key = workspace.cloned();
        if let Some(count) = self.held.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.held.remove(&key);
            }
        }
    }
}
