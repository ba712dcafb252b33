use std::time::Duration;

use crate::clock::Moment;

/// Pause before a host opens a connection again after it closed one above its
/// share: long enough for several attempts of a host that has no connection.
const SURPLUS_REOPEN_PAUSE: Duration = Duration::from_millis(250);
/// Pause before a host tries again to open a connection to a database that is full;
/// doubled with each further refusal.
const FULL_RETRY_PAUSE: Duration = Duration::from_millis(30);
/// Limit for the doublings of `FULL_RETRY_PAUSE`.
const MAX_FULL_PAUSE_DOUBLINGS: u32 = 2;
/// The same pause for a workspace that has a connection already: it leaves the next
/// free slot to workspaces and hosts that have none.
const FULL_RETRY_PAUSE_WITH_LINK: Duration = Duration::from_millis(1_000);

/// Times before which a host opens or replaces no connection to a database that
/// accepts no more of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct OpenPauses {
    /// For all workspaces.
    open_until: Option<Moment>,
    /// For workspaces that have a connection.
    holder_until: Option<Moment>,
    replace_until: Option<Moment>,
    /// Times that the database was full since a connection was last opened.
    refusals: u32,
}

impl OpenPauses {
    /// Until when no connection may be opened, if that is in the future; `holds_some`
    /// if the workspace has a connection.
    pub fn open_pause(&self, holds_some: bool, now: Moment) -> Option<Moment> {
        let holder_until = self.holder_until.filter(|_| holds_some);
        self.open_until.max(holder_until).filter(|until| *until > now)
    }

    /// Until when no connection may be replaced, if that is in the future.
    pub fn replace_pause(&self, now: Moment) -> Option<Moment> {
        self.replace_until.filter(|until| *until > now)
    }

    /// Times that the database was full since a connection was last opened.
    pub fn refusals(&self) -> u32 {
        self.refusals
    }

    /// Records that the database was full. `replaced` if this host had closed a
    /// connection for it: another host took the slot, and closing more of them at once
    /// would give up all connections of this host.
    pub fn record_full(&mut self, replaced: bool, now: Moment) {
        let doublings = self.refusals.min(MAX_FULL_PAUSE_DOUBLINGS);
        let until = now + FULL_RETRY_PAUSE * 2u32.pow(doublings);
        self.open_until = Some(until);
        self.holder_until = Some(now + FULL_RETRY_PAUSE_WITH_LINK);
        if replaced {
            self.replace_until = Some(until);
        }
        self.refusals = self.refusals.saturating_add(1);
    }

    /// Records that a connection was opened.
    pub fn record_opened(&mut self) {
        self.refusals = 0;
    }

    /// Records that a connection above the share was closed: no other one is opened
    /// for a while, so that a host without any can take the slot.
    pub fn record_surplus_closed(&mut self, now: Moment) {
        self.open_until = Some(now + SURPLUS_REOPEN_PAUSE);
    }
}
