use std::time::Duration;

use super::{GroupView, HostState, PeerMessage};
use crate::{
    clock::Moment,
    control_state::MemberStanding,
    directory::{DatabaseRole, DatabaseStatus, ObservedStatus},
    identity::{DatabaseName, GroupName},
    positions::LogPosition,
};

/// Minimum interval between suspicions or fences that are sent to the leader for
/// one group.
const LEADER_NOTICE_INTERVAL: Duration = Duration::from_millis(60);
/// Minimum interval between reports on one group's members.
const MEMBER_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Failed status queries after which the primary is suspected early, that is
/// after `MIN_REFUSAL_SILENCE`.
const FAILURES_TO_SUSPECT: u32 = 2;
/// Minimum silence of a primary that refuses connections before it is suspected.
const MIN_REFUSAL_SILENCE: Duration = Duration::from_millis(150);

impl HostState {
    pub(super) fn record_report(
        &mut self,
        now: Moment,
        database: &DatabaseName,
        sent_at: Moment,
        status: DatabaseStatus,
    ) {
        let Some(name) = self.database_groups.get(database).cloned() else {
            return;
        };
        let Some(group) = self.groups.get_mut(&name) else {
            return;
        };
        let is_primary = *database == group.record.primary
            && status.role == DatabaseRole::Primary
            && status.term == group.record.term;
        if is_primary {
            group.primary_reported_at = now;
            group.primary_failures = 0;
            group.samples.record(sent_at, status.position);
        }
        if let Some(view) = group.databases.get_mut(database) {
            view.record_report(ObservedStatus { status, sent_at, received_at: now });
        }
        group.update_majority(now);
        self.confirm_writes(now, &name);
        self.dispatch_waiting(now, &name);
    }

    pub(super) fn record_report_failure(&mut self, now: Moment, database: &DatabaseName) {
        let Some(name) = self.database_groups.get(database) else {
            return;
        };
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        if *database == group.record.primary {
            group.primary_failures = group.primary_failures.saturating_add(1);
        }
        if let Some(view) = group.databases.get_mut(database) {
            view.record_failure(now);
        }
    }

    pub(super) fn check_groups(&mut self, now: Moment) {
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in names {
            self.notify_leader(now, &name);
            self.retire_group(now, &name);
        }
    }

    /// Sends the leader what is due for a group: a report on its members, the
    /// confirmation of a fence or a suspicion of its primary.
    pub(super) fn notify_leader(&mut self, now: Moment, name: &GroupName) {
        let has_lease = self.has_lease(now);
        let suspect_after = self.settings.suspect_after;
        let stall_after = self.settings.stall_after;
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        if now.since(group.members_reported_at) >= MEMBER_REPORT_INTERVAL
            && let Some(report) = group.member_report()
        {
            group.members_reported_at = now;
            return self.send_to_leader(now, report);
        }
        if now.since(group.leader_notified_at) < LEADER_NOTICE_INTERVAL {
            return;
        }
        if !group.is_steady() {
            group.leader_notified_at = now;
            let term = group.record.highest_term();
            let message = PeerMessage::TermFenced { group: name.clone(), term };
            return self.send_to_leader(now, message);
        }
        if has_lease && group.suspects_primary(now, suspect_after, stall_after) {
            group.leader_notified_at = now;
            let term = group.record.term;
            let message = PeerMessage::SuspectPrimary { group: name.clone(), term };
            self.send_to_leader(now, message);
        }
    }
}

impl GroupView {
    /// Updates the highest position that a majority holds, and the time at which
    /// it last advanced or was level with the primary.
    fn update_majority(&mut self, now: Moment) {
        let Some(last) = self.primary_position() else {
            return;
        };
        let mut held: Vec<LogPosition> = self
            .record
            .counting_members()
            .filter_map(|member| self.databases.get(&member.database)?.observed.as_ref())
            .map(|observed| observed.status.position)
            .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let majority = held.get(self.record.majority() - 1).copied().unwrap_or_default();
        if majority > self.majority_position || majority >= last {
            self.majority_moved_at = now;
        }
        self.majority_position = self.majority_position.max(majority);
    }

    fn suspects_primary(&self, now: Moment, after: Duration, stall_after: Duration) -> bool {
        let silence = now.since(self.primary_reported_at);
        let refused =
            self.primary_failures >= FAILURES_TO_SUSPECT && silence >= MIN_REFUSAL_SILENCE;
        let stalled =
            now.since(self.majority_moved_at) >= stall_after && self.has_reporting_majority(now);
        refused || silence >= after || stalled
    }

    /// True if enough replicas for a majority report to this host. If replication
    /// stalls nevertheless, the primary is cut off from them but not from this
    /// host.
    fn has_reporting_majority(&self, now: Moment) -> bool {
        let reporting = self
            .record
            .counting_members()
            .filter(|member| member.database != self.record.primary)
            .filter_map(|member| self.databases.get(&member.database)?.observed.as_ref())
            .filter(|observed| now.since(observed.received_at) < Duration::from_millis(500))
            .count();
        reporting + 1 >= self.record.majority()
    }

    /// A report on the members that need an order or a change of standing; `None`
    /// if there are none.
    fn member_report(&self) -> Option<PeerMessage> {
        if !self.is_steady() {
            return None;
        }
        let last = self.primary_position();
        let mut astray = Vec::new();
        let mut caught_up = Vec::new();
        let mut removable = Vec::new();
        for (database, view) in &self.databases {
            let Some(observed) = &view.observed else {
                continue;
            };
            let status = &observed.status;
            let is_primary = *database == self.record.primary;
            let follows = status.term == self.record.term && status.role == DatabaseRole::Replica;
            if !is_primary && !follows {
                astray.push(database.clone());
            }
            let Some(last) = last else {
                continue;
            };
            match view.record.standing {
                MemberStanding::Joining if follows && status.covers(last) => {
                    caught_up.push(database.clone());
                }
                MemberStanding::Draining if !is_primary && self.is_held_by_majority(last) => {
                    removable.push(database.clone());
                }
                _ => {}
            }
        }
        let empty = astray.is_empty() && caught_up.is_empty() && removable.is_empty();
        let group = self.record.name.clone();
        (!empty).then_some(PeerMessage::MemberReport { group, astray, caught_up, removable })
    }
}
