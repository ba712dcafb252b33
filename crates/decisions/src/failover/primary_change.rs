use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::DatabaseOrder;
use crate::{
    clock::Moment,
    control_state::{ControlCommand, GroupPhase, GroupRecord, MemberRecord, MemberStanding},
    directory::{DatabaseRole, DatabaseStatus},
    identity::{DatabaseName, HostId},
    leases::LeaseTable,
};

/// Time after which an unanswered order is sent again.
const ORDER_RETRY: Duration = Duration::from_millis(150);
/// Time after which a chosen database that did not become primary is given up.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that a planned change waits for the successor to catch up.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(3);

/// What the leader does next for one change of primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeStep {
    /// Send an order to a member.
    Order(DatabaseName, DatabaseOrder),
    /// Commit a command.
    Propose(ControlCommand),
}

/// The leader's state of one change of primary.
///
/// All that must survive the leader is in the committed record; the next leader
/// gathers this state again.
#[derive(Debug)]
pub struct PrimaryChange {
    /// The term that the change leads to.
    pub next_term: u64,
    started_at: Moment,
    fenced_homes: BTreeSet<HostId>,
    /// When each home's lease runs out that was granted before the change. A
    /// later lease counts only for a home that has applied the change.
    lease_ends: BTreeMap<HostId, Moment>,
    statuses: BTreeMap<DatabaseName, DatabaseStatus>,
    ordered_at: BTreeMap<DatabaseName, Moment>,
    proposed: bool,
}

impl PrimaryChange {
    /// State for the change in `record` that this leader begins to drive.
    pub fn new(now: Moment, record: &GroupRecord, leases: &LeaseTable) -> Self {
        let lease_ends = record.gateways.iter().map(|home| (*home, leases.expires_at(*home)));
        Self {
            lease_ends: lease_ends.collect(),
            next_term: record.highest_term(),
            started_at: now,
            fenced_homes: BTreeSet::new(),
            statuses: BTreeMap::new(),
            ordered_at: BTreeMap::new(),
            proposed: false,
        }
    }

    /// Records that a gateway acknowledges nothing below `term`.
    pub fn record_fenced(&mut self, home: HostId, term: u64) {
        if term >= self.next_term {
            self.fenced_homes.insert(home);
        }
    }

    /// Records the status with which a database answered an order.
    pub fn record_status(&mut self, database: DatabaseName, status: DatabaseStatus) {
        self.statuses.insert(database, status);
    }

    /// The phase moved on: orders and proposals of the old phase are done.
    pub fn enter_phase(&mut self, now: Moment) {
        self.started_at = now;
        self.ordered_at.clear();
        self.proposed = false;
    }

    /// What to do now, given the committed record.
    pub fn next_steps(&mut self, now: Moment, record: &GroupRecord) -> Vec<ChangeStep> {
        match &record.phase {
            GroupPhase::Steady => Vec::new(),
            GroupPhase::Fencing { planned, .. } => self.fence(now, record, *planned),
            GroupPhase::Promoting { chosen, .. } => self.promote(now, record, chosen),
        }
    }

    fn fence(&mut self, now: Moment, record: &GroupRecord, planned: bool) -> Vec<ChangeStep> {
        let homes_done = record.gateways.iter().all(|home| self.is_home_done(now, *home));
        if planned && !self.has_successor(now, record) {
            return if homes_done { self.catch_up(now, record) } else { Vec::new() };
        }
        let mut steps = Vec::new();
        let order = DatabaseOrder::Fence { term: self.next_term };
        for member in record.counting_members() {
            if !self.is_fenced(&member.database) {
                steps.extend(self.order(now, &member.database, &order));
            }
        }
        let fenced = record.counting_members().filter(|m| self.is_fenced(&m.database)).count();
        if !homes_done || fenced < record.majority() || self.proposed {
            return steps;
        }
        if let Some(chosen) = self.choose(record, planned) {
            self.proposed = true;
            steps.push(ChangeStep::Propose(ControlCommand::PrimaryChosen {
                group: record.name.clone(),
                next_term: self.next_term,
                chosen,
            }));
        }
        steps
    }

    /// Stops the old primary of a planned change and watches the replicas
    /// take over the end of its log.
    fn catch_up(&mut self, now: Moment, record: &GroupRecord) -> Vec<ChangeStep> {
        let fence = DatabaseOrder::Fence { term: self.next_term };
        let members: Vec<DatabaseName> =
            record.counting_members().map(|member| member.database.clone()).collect();
        members
            .into_iter()
            .filter_map(|database| {
                let is_primary = database == record.primary;
                if is_primary && self.is_fenced(&database) {
                    return None;
                }
                let order = if is_primary { &fence } else { &DatabaseOrder::Report };
                self.order(now, &database, order)
            })
            .collect()
    }

    /// True once a member that stays holds all that the stopped primary had,
    /// or the wait for one has lasted long enough.
    fn has_successor(&self, now: Moment, record: &GroupRecord) -> bool {
        if now.since(self.started_at) >= CATCH_UP_TIMEOUT {
            return true;
        }
        let Some(last) = self.statuses.get(&record.primary) else {
            return false;
        };
        self.is_fenced(&record.primary)
            && record
                .counting_members()
                .filter(|member| member.database != record.primary && stays(member))
                .filter_map(|member| self.statuses.get(&member.database))
                .any(|status| status.covers(last.position))
    }

    /// True if the home confirmed the fence, or cannot act on an old lease.
    fn is_home_done(&self, now: Moment, home: HostId) -> bool {
        let lease_end = self.lease_ends.get(&home).copied().unwrap_or(Moment::ZERO);
        self.fenced_homes.contains(&home) || now >= lease_end
    }

    fn is_fenced(&self, database: &DatabaseName) -> bool {
        self.statuses.get(database).is_some_and(|status| status.fenced_below >= self.next_term)
    }

    /// The furthest fenced database. Any acknowledged write is held by a
    /// majority, and so by one of any fenced majority.
    fn choose(&self, record: &GroupRecord, planned: bool) -> Option<DatabaseName> {
        let fenced: Vec<(&MemberRecord, &DatabaseStatus)> = record
            .counting_members()
            .filter(|member| self.is_fenced(&member.database))
            .filter_map(|member| Some((member, self.statuses.get(&member.database)?)))
            .collect();
        let furthest = fenced.iter().map(|(_, status)| status.position).max()?;
        fenced
            .iter()
            .filter(|(_, status)| status.position == furthest)
            .max_by_key(|(member, status)| {
                let is_primary = member.database == record.primary;
                let was_primary = status.role == DatabaseRole::Primary;
                (stays(member), planned != is_primary, was_primary)
            })
            .map(|(member, _)| member.database.clone())
    }

    fn promote(
        &mut self,
        now: Moment,
        record: &GroupRecord,
        chosen: &DatabaseName,
    ) -> Vec<ChangeStep> {
        if self.proposed {
            return Vec::new();
        }
        let promoted = self.statuses.get(chosen).is_some_and(|status| {
            status.role == DatabaseRole::Primary && status.term == self.next_term
        });
        if promoted {
            self.proposed = true;
            return vec![ChangeStep::Propose(ControlCommand::TermStarted {
                group: record.name.clone(),
                term: self.next_term,
            })];
        }
        if now.since(self.started_at) >= PROMOTION_TIMEOUT {
            self.proposed = true;
            return vec![ChangeStep::Propose(ControlCommand::TermEnded {
                group: record.name.clone(),
                expected: self.next_term,
                planned: false,
            })];
        }
        let order = DatabaseOrder::Promote { term: self.next_term };
        self.order(now, chosen, &order).into_iter().collect()
    }

    fn order(
        &mut self,
        now: Moment,
        database: &DatabaseName,
        order: &DatabaseOrder,
    ) -> Option<ChangeStep> {
        let last = self.ordered_at.get(database);
        if last.is_some_and(|at| now.since(*at) < ORDER_RETRY) {
            return None;
        }
        self.ordered_at.insert(database.clone(), now);
        Some(ChangeStep::Order(database.clone(), order.clone()))
    }
}

fn stays(member: &MemberRecord) -> bool {
    member.standing != MemberStanding::Draining
}
