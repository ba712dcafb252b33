use std::time::Duration;

use super::EntryHello;
use crate::{clock::Moment, identity::HostId};

/// Time without a confirmation after which states are sent again. It is longer than the
/// largest configuration takes on a narrow link, where repeats would delay what follows.
const STATE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// State of an entry host as last reported.
#[derive(Debug, Clone)]
pub(super) struct EntryProgress {
    /// What it said of itself when it opened the link.
    pub(super) hello: EntryHello,
    /// Index up to which it has confirmed all states.
    pub(super) applied: u64,
    /// Index of the newest state that has arrived; at least `applied`.
    pub(super) received: u64,
    /// False for older builds, which take the terms of a state for all of them.
    pub(super) takes_changes: bool,
    pub(super) routes_version: u64,
    /// The leader whose grants it gets, and from which it learns of databases.
    pub(super) follows: Option<HostId>,
    /// What its current link carries that it has not confirmed yet.
    pub(super) sent_state: Option<SentState>,
    /// Time up to which it has been sent all changes of databases, or the leader that it
    /// follows has sent them; `None` if it may lack any database.
    pub(super) instances_until: Option<Moment>,
    pub(super) linked: bool,
    pub(super) leaving: bool,
    pub(super) last_heard_at: Moment,
    /// Hash of the list of entry hosts last sent to it.
    pub(super) sent_hosts_hash: u64,
}

impl EntryProgress {
    /// State of a host that has opened a link and reported nothing yet.
    pub(super) fn linked(now: Moment, hello: EntryHello) -> Self {
        Self {
            hello,
            applied: 0,
            received: 0,
            takes_changes: false,
            routes_version: 0,
            follows: None,
            sent_state: None,
            instances_until: None,
            linked: true,
            leaving: false,
            last_heard_at: now,
            sent_hosts_hash: 0,
        }
    }

    /// This state after the host has reported that all states up to `received` have
    /// arrived.
    pub(super) fn confirmed(self, now: Moment, received: u64) -> Self {
        let awaited = self.sent_state.filter(|sent| sent.index > received);
        let sent_state = awaited.map(|sent| match received > self.received {
            true => SentState { progress_at: now, ..sent },
            false => sent,
        });
        Self { received, sent_state, ..self }
    }

    /// What the host has, or what its link carries to it; the next state follows that.
    pub(super) fn known_state(&self, now: Moment) -> SentState {
        let awaited =
            self.sent_state.filter(|sent| now.since(sent.progress_at) < STATE_RETRY_INTERVAL);
        let confirmed = SentState {
            index: self.received,
            routes_version: self.routes_version,
            progress_at: now,
        };
        awaited.map_or(confirmed, |sent| SentState {
            routes_version: sent.routes_version.max(self.routes_version),
            ..sent
        })
    }
}

/// The newest state sent to an entry host. The link keeps the order, so that the next
/// one holds what has changed since.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentState {
    pub(super) index: u64,
    pub(super) routes_version: u64,
    /// Time of the last send after which nothing was awaited, or of the last
    /// confirmation.
    pub(super) progress_at: Moment,
}
