use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    clock::Moment,
    control_state::{GroupPhase, GroupRecord, MemberRecord, MemberStanding},
    directory::DatabaseView,
    identity::{DatabaseName, RequestId},
    positions::{LogPosition, PrimarySamples},
    requests::FairQueue,
};

/// A write that waits for a majority; ordered by position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnconfirmedWrite {
    /// Position of the write.
    pub position: LogPosition,
    /// The request.
    pub request: RequestId,
}

/// What a gateway knows of one group.
#[derive(Debug)]
pub struct GroupView {
    /// The committed record, as last applied here.
    pub record: GroupRecord,
    /// Other gateways replaced this host; it only finishes what runs.
    pub retiring: bool,
    /// The databases that may be used or watched.
    pub databases: BTreeMap<DatabaseName, DatabaseView>,
    /// What the primary was seen to hold.
    pub samples: PrimarySamples,
    /// Writes that wait for the primary.
    pub writes: FairQueue,
    /// Reads that wait for a database.
    pub reads: FairQueue,
    /// Writes that wait for a majority, by position.
    pub unconfirmed: BTreeSet<UnconfirmedWrite>,
    /// When the primary last reported in its term.
    pub primary_reported_at: Moment,
    /// Failures to reach the primary since then.
    pub primary_failures: u32,
    /// Highest position that a majority was seen to hold.
    pub majority_position: LogPosition,
    /// When that last moved, or was level with the primary.
    pub majority_moved_at: Moment,
    /// Result of a full queue for this group.
    pub max_waiting: usize,
    /// When the leader was last told of members.
    pub members_reported_at: Moment,
    /// When the leader was last notified of a suspicion or a fence.
    pub leader_notified_at: Moment,
}

impl GroupView {
    /// A group of which nothing was heard yet.
    pub fn new(now: Moment, record: GroupRecord) -> Self {
        Self {
            record,
            retiring: false,
            databases: BTreeMap::new(),
            samples: PrimarySamples::default(),
            writes: FairQueue::default(),
            reads: FairQueue::default(),
            unconfirmed: BTreeSet::new(),
            primary_reported_at: now,
            primary_failures: 0,
            majority_position: LogPosition::default(),
            majority_moved_at: now,
            max_waiting: 0,
            members_reported_at: Moment::ZERO,
            leader_notified_at: Moment::ZERO,
        }
    }

    /// True if the primary of the record's term may accept writes.
    pub fn is_steady(&self) -> bool {
        self.record.phase == GroupPhase::Steady
    }

    /// The primary, unless it is being replaced.
    pub fn confirmed_primary(&self) -> Option<&DatabaseName> {
        self.is_steady().then_some(&self.record.primary)
    }

    /// True if `position` is held by a majority of the counting databases, and
    /// by one of those that will remain once the draining ones have left.
    pub fn is_held_by_majority(&self, position: LogPosition) -> bool {
        let counting: Vec<&MemberRecord> = self.record.counting_members().collect();
        let staying: Vec<&MemberRecord> = counting
            .iter()
            .copied()
            .filter(|member| member.standing == MemberStanding::Counting)
            .collect();
        self.majority_holds(&counting, position)
            && (staying.is_empty() || self.majority_holds(&staying, position))
    }

    fn majority_holds(&self, members: &[&MemberRecord], position: LogPosition) -> bool {
        let holders = members.iter().filter(|member| self.holds(member, position));
        holders.count() > members.len() / 2
    }

    /// The primary holds what it wrote itself, before it next reports.
    fn holds(&self, member: &MemberRecord, position: LogPosition) -> bool {
        let wrote = member.database == self.record.primary && position.term == self.record.term;
        let view = self.databases.get(&member.database);
        wrote || view.is_some_and(|view| view.covers(position))
    }

    /// The primary's position in its last report of the term in force.
    pub fn primary_position(&self) -> Option<LogPosition> {
        let observed = self.databases.get(&self.record.primary)?.observed.as_ref()?;
        (observed.status.term == self.record.term).then_some(observed.status.position)
    }

    /// True if any database has a free connection.
    pub fn has_free_connection(&self, now: Moment) -> bool {
        self.databases.values().any(|view| view.is_available(now, true))
    }

    /// Mean service time of the fastest database.
    pub fn min_service_time(&self) -> Duration {
        let times = self.databases.values().map(DatabaseView::service_time);
        times.min().unwrap_or(Duration::ZERO)
    }

    /// Time that a request which arrives now would wait, from the requests
    /// before it and the pace of the databases that serve them.
    pub fn expected_wait(&self, is_write: bool) -> Duration {
        let serving = self.databases.values().filter(|view| match is_write {
            true => view.record.database == self.record.primary,
            false => view.record.accepts_work(),
        });
        let pace: f64 = serving
            .map(|view| {
                f64::from(view.connection_share.min(view.record.slots))
                    / view.service_time().as_secs_f64().max(1e-6)
            })
            .sum();
        let ahead = if is_write { self.writes.len() } else { self.waiting_count() };
        match pace > 0.0 {
            true => Duration::from_secs_f64((ahead as f64 / pace).min(3_600.0)),
            false => Duration::ZERO,
        }
    }

    /// Requests that wait for a database.
    pub fn waiting_count(&self) -> usize {
        self.writes.len() + self.reads.len()
    }
}
