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

/// A committed write that waits until a majority holds it; ordered by position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnconfirmedWrite {
    /// Position of the write.
    pub position: LogPosition,
    /// The request that is answered then.
    pub request: RequestId,
}

/// A gateway's view of one group.
#[derive(Debug)]
pub struct GroupView {
    /// The committed record, as last applied here.
    pub record: GroupRecord,
    /// This host is no longer a gateway of the group and only finishes the
    /// requests that run.
    pub retiring: bool,
    /// The databases that count for the majority or accept work.
    pub databases: BTreeMap<DatabaseName, DatabaseView>,
    /// Positions that the primary reported in the record's term.
    pub samples: PrimarySamples,
    /// Writes that wait for the primary.
    pub writes: FairQueue,
    /// Reads that wait for a database.
    pub reads: FairQueue,
    /// Committed writes that wait for a majority, by position.
    pub unconfirmed: BTreeSet<UnconfirmedWrite>,
    /// When the primary last reported in its term.
    pub primary_reported_at: Moment,
    /// Failed status queries to the primary since then.
    pub primary_failures: u32,
    /// Highest position that a majority was seen to hold.
    pub majority_position: LogPosition,
    /// When `majority_position` last advanced or was level with the primary.
    pub majority_moved_at: Moment,
    /// Number of waiting requests at which further ones are refused.
    pub max_waiting: usize,
    /// When the last `MemberReport` was sent to the leader.
    pub members_reported_at: Moment,
    /// When the last `SuspectPrimary` or `TermFenced` was sent to the leader.
    pub leader_notified_at: Moment,
}

impl GroupView {
    /// Creates the view of a group whose databases have not reported yet.
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
    /// by a majority of those that remain once the draining ones have left.
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

    /// True if the member holds `position`. The primary holds its own writes of
    /// the term even before it next reports.
    fn holds(&self, member: &MemberRecord, position: LogPosition) -> bool {
        let is_own_write =
            member.database == self.record.primary && position.term == self.record.term;
        let view = self.databases.get(&member.database);
        is_own_write || view.is_some_and(|view| view.covers(position))
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

    /// Expected wait of a request that arrives now: the requests queued before
    /// it, divided by the service rate of the databases that serve them.
    pub fn expected_wait(&self, is_write: bool) -> Duration {
        let serving = self.databases.values().filter(|view| match is_write {
            true => view.record.database == self.record.primary,
            false => view.record.accepts_work(),
        });
        let requests_per_second: f64 = serving
            .map(|view| {
                f64::from(view.connection_share.min(view.record.slots))
                    / view.service_time().as_secs_f64().max(1e-6)
            })
            .sum();
        let queued = if is_write { self.writes.len() } else { self.waiting_count() };
        match requests_per_second > 0.0 {
            true => Duration::from_secs_f64((queued as f64 / requests_per_second).min(3_600.0)),
            false => Duration::ZERO,
        }
    }

    /// Number of requests that wait for a database.
    pub fn waiting_count(&self) -> usize {
        self.writes.len() + self.reads.len()
    }
}
