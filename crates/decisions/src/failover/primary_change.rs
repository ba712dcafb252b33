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

/// Minimum interval between two orders to one database.
const ORDER_INTERVAL: Duration = Duration::from_millis(150);
/// Time that the chosen database has to become primary before its term is ended.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that a planned change waits for a replica to catch up with the primary.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(3);

/// A step of the control leader in one change of primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeStep {
    /// Send an order to a member.
    Order(DatabaseName, DatabaseOrder),
    /// Propose a command to the control log.
    Propose(ControlCommand),
}

/// The control leader's volatile state of one change of primary.
///
/// Everything that must survive the leader is in the committed record; a new
/// leader collects this state again.
#[derive(Debug)]
pub struct PrimaryChange {
    /// The term that the change leads to.
    pub next_term: u64,
    started_at: Moment,
    fenced_gateways: BTreeSet<HostId>,
    /// Expiry of each gateway's last lease from before the change. A lease
    /// granted later is valid only once the gateway has applied the change.
    lease_ends: BTreeMap<HostId, Moment>,
    statuses: BTreeMap<DatabaseName, DatabaseStatus>,
    ordered_at: BTreeMap<DatabaseName, Moment>,
    proposed: bool,
}

impl PrimaryChange {
    /// Creates the state of the change in `record`, which this leader starts to
    /// drive.
    pub fn new(now: Moment, record: &GroupRecord, leases: &LeaseTable) -> Self {
        let lease_ends =
            record.gateways.iter().map(|gateway| (*gateway, leases.expires_at(*gateway)));
        Self {
            lease_ends: lease_ends.collect(),
            next_term: record.highest_term(),
            started_at: now,
            fenced_gateways: BTreeSet::new(),
            statuses: BTreeMap::new(),
            ordered_at: BTreeMap::new(),
            proposed: false,
        }
    }

    /// Records that a gateway acknowledges no requests of terms below `term`.
    pub fn record_fenced(&mut self, gateway: HostId, term: u64) {
        if term >= self.next_term {
            self.fenced_gateways.insert(gateway);
        }
    }

    /// Records the status with which a database answered an order.
    pub fn record_status(&mut self, database: DatabaseName, status: DatabaseStatus) {
        self.statuses.insert(database, status);
    }

    /// Starts the next phase: restarts its timer and clears the orders and the
    /// proposal of the previous one.
    pub fn enter_phase(&mut self, now: Moment) {
        self.started_at = now;
        self.ordered_at.clear();
        self.proposed = false;
    }

    /// Returns the steps that are due, given the committed record.
    pub fn next_steps(&mut self, now: Moment, record: &GroupRecord) -> Vec<ChangeStep> {
        match &record.phase {
            GroupPhase::Steady => Vec::new(),
            GroupPhase::Fencing { planned, .. } => self.fence_members(now, record, *planned),
            GroupPhase::Promoting { chosen, .. } => self.promote_chosen(now, record, chosen),
        }
    }

    fn fence_members(
        &mut self,
        now: Moment,
        record: &GroupRecord,
        planned: bool,
    ) -> Vec<ChangeStep> {
        let gateways_fenced =
            record.gateways.iter().all(|gateway| self.is_gateway_fenced(now, *gateway));
        if planned && !self.has_successor(now, record) {
            return if gateways_fenced { self.order_catch_up(now, record) } else { Vec::new() };
        }
        let mut steps = Vec::new();
        let order = DatabaseOrder::Fence { term: self.next_term };
        for member in record.counting_members() {
            if !self.is_database_fenced(&member.database) {
                steps.extend(self.order_if_due(now, &member.database, &order));
            }
        }
        let fenced =
            record.counting_members().filter(|m| self.is_database_fenced(&m.database)).count();
        if !gateways_fenced || fenced < record.majority() || self.proposed {
            return steps;
        }
        if let Some(chosen) = self.choose_primary(record, planned) {
            self.proposed = true;
            steps.push(ChangeStep::Propose(ControlCommand::PrimaryChosen {
                group: record.name.clone(),
                next_term: self.next_term,
                chosen,
            }));
        }
        steps
    }

    /// Fences the old primary of a planned change and polls the replicas until
    /// one holds the end of its log.
    fn order_catch_up(&mut self, now: Moment, record: &GroupRecord) -> Vec<ChangeStep> {
        let fence = DatabaseOrder::Fence { term: self.next_term };
        let members: Vec<DatabaseName> =
            record.counting_members().map(|member| member.database.clone()).collect();
        members
            .into_iter()
            .filter_map(|database| {
                let is_primary = database == record.primary;
                if is_primary && self.is_database_fenced(&database) {
                    return None;
                }
                let order = if is_primary { &fence } else { &DatabaseOrder::Report };
                self.order_if_due(now, &database, order)
            })
            .collect()
    }

    /// True once a member that is not draining holds the whole log of the fenced
    /// primary, or after `CATCH_UP_TIMEOUT`.
    fn has_successor(&self, now: Moment, record: &GroupRecord) -> bool {
        if now.since(self.started_at) >= CATCH_UP_TIMEOUT {
            return true;
        }
        let Some(last) = self.statuses.get(&record.primary) else {
            return false;
        };
        self.is_database_fenced(&record.primary)
            && record
                .counting_members()
                .filter(|member| member.database != record.primary && is_staying(member))
                .filter_map(|member| self.statuses.get(&member.database))
                .any(|status| status.covers(last.position))
    }

    /// True if the gateway confirmed the fence, or its lease from before the
    /// change has expired.
    fn is_gateway_fenced(&self, now: Moment, gateway: HostId) -> bool {
        let lease_end = self.lease_ends.get(&gateway).copied().unwrap_or(Moment::ZERO);
        self.fenced_gateways.contains(&gateway) || now >= lease_end
    }

    fn is_database_fenced(&self, database: &DatabaseName) -> bool {
        self.statuses.get(database).is_some_and(|status| status.fenced_below >= self.next_term)
    }

    /// Chooses the fenced database with the highest position. Every acknowledged
    /// write is held by a majority, and so by at least one database of any fenced
    /// majority.
    fn choose_primary(&self, record: &GroupRecord, planned: bool) -> Option<DatabaseName> {
        let fenced: Vec<(&MemberRecord, &DatabaseStatus)> = record
            .counting_members()
            .filter(|member| self.is_database_fenced(&member.database))
            .filter_map(|member| Some((member, self.statuses.get(&member.database)?)))
            .collect();
        let furthest = fenced.iter().map(|(_, status)| status.position).max()?;
        fenced
            .iter()
            .filter(|(_, status)| status.position == furthest)
            .max_by_key(|(member, status)| {
                let is_primary = member.database == record.primary;
                let was_primary = status.role == DatabaseRole::Primary;
                (is_staying(member), planned != is_primary, was_primary)
            })
            .map(|(member, _)| member.database.clone())
    }

    fn promote_chosen(
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
        self.order_if_due(now, chosen, &order).into_iter().collect()
    }

    fn order_if_due(
        &mut self,
        now: Moment,
        database: &DatabaseName,
        order: &DatabaseOrder,
    ) -> Option<ChangeStep> {
        let last = self.ordered_at.get(database);
        if last.is_some_and(|at| now.since(*at) < ORDER_INTERVAL) {
            return None;
        }
        self.ordered_at.insert(database.clone(), now);
        Some(ChangeStep::Order(database.clone(), order.clone()))
    }
}

fn is_staying(member: &MemberRecord) -> bool {
    member.standing != MemberStanding::Draining
}
