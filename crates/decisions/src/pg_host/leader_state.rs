use std::{collections::BTreeMap, time::Duration};

use super::{HostEffect, HostState, PeerMessage};
use crate::{
    clock::Moment,
    control_state::{
        ControlCommand, GroupPhase, GroupRecord, HostRecord, MemberRecord, MemberStanding,
    },
    directory::{Announcement, DatabaseRole, DatabaseStatus},
    failover::{ChangeStep, DatabaseOrder, PrimaryChange, SuspicionTable},
    identity::{DatabaseName, GroupName, HostId},
    leases::LeaseTable,
    outcomes::ResultCode,
    sessions::rank_hosts,
};

/// Time after which an announcement that was not repeated expires.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(5);
/// Interval between `Follow` orders to one database.
const FOLLOW_RETRY: Duration = Duration::from_millis(200);
/// Time after which the leader stops sending `Follow` orders to a database that
/// has not confirmed that it follows.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(5);
/// Deduplication window: time for which an equal command is not proposed again.
const PROPOSAL_DEDUP_WINDOW: Duration = Duration::from_millis(500);
/// Time without a lease after which a gateway is replaced.
const GATEWAY_REPLACEMENT_DELAY: Duration = Duration::from_secs(3);
/// Time without a lease after which a host is removed from the control state.
const HOST_RETENTION: Duration = Duration::from_secs(5);
/// Interval of the periodic check of hosts and gateways.
const HOST_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// `Follow` orders that a database gets until it follows its group's primary.
#[derive(Debug)]
struct PendingFollow {
    group: GroupName,
    since: Moment,
    ordered_at: Option<Moment>,
}

#[derive(Debug)]
struct ReceivedAnnouncement {
    announcement: Announcement,
    at: Moment,
}

/// Volatile state of the control leader. A new leader starts with an empty one.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) leases: LeaseTable,
    suspicions: SuspicionTable,
    changes: BTreeMap<GroupName, PrimaryChange>,
    followers: BTreeMap<DatabaseName, PendingFollow>,
    announcements: BTreeMap<DatabaseName, ReceivedAnnouncement>,
    proposals: Vec<RecentProposal>,
    host_check_due: Moment,
    /// A group may be changing its primary or need to; otherwise the leader skips
    /// the check of all groups.
    groups_need_check: bool,
}

#[derive(Debug)]
struct RecentProposal {
    command: ControlCommand,
    until: Moment,
}

impl HostState {
    pub(super) fn start_leading(&mut self, now: Moment, term: u64) {
        self.leader = Some(self.settings.id());
        self.leader_state = Some(LeaderState {
            leases: LeaseTable::new(now, self.settings.lease_duration),
            suspicions: SuspicionTable::default(),
            changes: BTreeMap::new(),
            followers: BTreeMap::new(),
            announcements: BTreeMap::new(),
            proposals: Vec::new(),
            host_check_due: now,
            groups_need_check: true,
        });
        let text = format!("This host became control leader in term {term}; it now grants leases.");
        self.effects.push(HostEffect::Log(text));
    }

    pub(super) fn stop_leading(&mut self) {
        self.leader_state = None;
        self.leader = None;
        let text = "This host is no longer control leader; it grants no more leases.";
        self.effects.push(HostEffect::Log(text.to_owned()));
    }

    /// Proposes a command unless an equal one was proposed within the deduplication
    /// window.
    pub(super) fn propose_once(&mut self, now: Moment, command: ControlCommand) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.proposals.retain(|proposal| proposal.until > now);
        if leader_state.proposals.iter().any(|proposal| proposal.command == command) {
            return;
        }
        let until = now + PROPOSAL_DEDUP_WINDOW;
        leader_state.proposals.push(RecentProposal { command: command.clone(), until });
        self.propose(now, command);
    }

    /// Runs the leader's tasks, if this host is the control leader.
    pub(super) fn run_leader_tasks(&mut self, now: Moment) {
        if !self.is_current_leader(now) {
            return;
        }
        if self.needs_group_check(now) {
            self.end_suspected_terms(now);
            self.advance_changes(now);
            self.update_check_flag();
        }
        self.order_followers(now);
        self.check_hosts(now);
    }

    fn needs_group_check(&mut self, now: Moment) -> bool {
        self.leader_state.as_mut().is_some_and(|leader_state| {
            leader_state.suspicions.prune(now) || leader_state.groups_need_check
        })
    }

    /// Records whether any group is changing its primary or needs a planned change.
    fn update_check_flag(&mut self) {
        let mut groups = self.control.groups.values();
        let groups_need_check = groups
            .any(|record| record.phase != GroupPhase::Steady || record.needs_planned_change());
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.groups_need_check = groups_need_check;
        }
    }

    fn end_suspected_terms(&mut self, now: Moment) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let ended: Vec<ControlCommand> = self
            .control
            .groups
            .values()
            .filter(|record| record.phase == GroupPhase::Steady)
            .filter_map(|record| {
                let suspected =
                    leader_state.suspicions.is_confirmed(now, record, &leader_state.leases);
                let planned = record.needs_planned_change();
                (suspected || planned).then(|| ControlCommand::TermEnded {
                    group: record.name.clone(),
                    expected: record.highest_term(),
                    planned: !suspected,
                })
            })
            .collect();
        for command in ended {
            self.propose_once(now, command);
        }
    }

    fn advance_changes(&mut self, now: Moment) {
        let changing: Vec<GroupRecord> = self
            .control
            .groups
            .values()
            .filter(|record| record.phase != GroupPhase::Steady)
            .cloned()
            .collect();
        for record in changing {
            self.advance_change(now, &record);
        }
    }

    fn advance_change(&mut self, now: Moment, record: &GroupRecord) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let change = leader_state.change_for(now, record);
        for step in change.next_steps(now, record) {
            match step {
                ChangeStep::Order(database, order) => self.send_order(record, database, order),
                ChangeStep::Propose(command) => {
                    self.propose(now, command);
                }
            }
        }
    }

    fn send_order(&mut self, record: &GroupRecord, database: DatabaseName, order: DatabaseOrder) {
        if let Some(member) = record.members.get(&database) {
            let address = member.address;
            self.effects.push(HostEffect::Order { database, address, order });
        }
    }

    pub(super) fn handle_order_answer(
        &mut self,
        now: Moment,
        database: DatabaseName,
        status: DatabaseStatus,
    ) {
        let Some(group) = self.control.group_of(&database).cloned() else {
            return;
        };
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let follows = status.term == group.term && status.role == DatabaseRole::Replica;
        if follows || group.primary == database {
            leader_state.followers.remove(&database);
        }
        if let Some(change) = leader_state.changes.get_mut(&group.name) {
            change.record_status(database, status);
            if group.phase != GroupPhase::Steady {
                self.advance_change(now, &group);
            }
        }
    }

    pub(super) fn record_suspicion(
        &mut self,
        now: Moment,
        from: HostId,
        group: &GroupName,
        term: u64,
    ) {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.suspicions.record(now, group, term, from);
            self.run_leader_tasks(now);
        }
    }

    pub(super) fn record_fence(&mut self, now: Moment, from: HostId, group: &GroupName, term: u64) {
        let Some(record) = self.control.groups.get(group).cloned() else {
            return;
        };
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.change_for(now, &record).record_fenced(from, term);
        if record.phase != GroupPhase::Steady && self.is_current_leader(now) {
            self.advance_change(now, &record);
        }
    }

    /// Updates the leader state, if this host leads, after a committed command.
    pub(super) fn update_leader_state(&mut self, now: Moment, command: &ControlCommand) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.groups_need_check = true;
        match command {
            ControlCommand::TermEnded { group, .. } => {
                if let Some(record) = self.control.groups.get(group) {
                    leader_state.change_for(now, record);
                }
            }
            ControlCommand::PrimaryChosen { group, .. } => {
                if let Some(change) = leader_state.changes.get_mut(group) {
                    change.enter_phase(now);
                }
            }
            ControlCommand::TermStarted { group, .. } => {
                leader_state.changes.remove(group);
                if let Some(record) = self.control.groups.get(group) {
                    for database in record.members.keys().filter(|d| **d != record.primary) {
                        let follow =
                            PendingFollow { group: group.clone(), since: now, ordered_at: None };
                        leader_state.followers.insert(database.clone(), follow);
                    }
                }
            }
            _ => return,
        }
        self.run_leader_tasks(now);
    }

    fn order_followers(&mut self, now: Moment) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.followers.retain(|_, follow| now.since(follow.since) < FOLLOW_TIMEOUT);
        let mut orders = Vec::new();
        for (database, follow) in &mut leader_state.followers {
            let due = follow.ordered_at.is_none_or(|at| now.since(at) >= FOLLOW_RETRY);
            let record = self.control.groups.get(&follow.group);
            let steady = record.filter(|record| record.phase == GroupPhase::Steady);
            if let Some(record) = steady.filter(|_| due) {
                follow.ordered_at = Some(now);
                orders.push((record.clone(), database.clone()));
            }
        }
        for (record, database) in orders {
            if let Some(primary) = record.members.get(&record.primary) {
                let order = DatabaseOrder::Follow { term: record.term, primary: primary.address };
                self.send_order(&record, database, order);
            }
        }
    }

    pub(super) fn apply_member_report(
        &mut self,
        now: Moment,
        group: &GroupName,
        astray: Vec<DatabaseName>,
        caught_up: Vec<DatabaseName>,
        removable: Vec<DatabaseName>,
    ) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for database in astray {
            leader_state.followers.entry(database).or_insert_with(|| PendingFollow {
                group: group.clone(),
                since: now,
                ordered_at: None,
            });
        }
        let leaving: Vec<DatabaseName> = removable
            .into_iter()
            .filter(|database| {
                let received = leader_state.announcements.get(database);
                received.is_some_and(|received| received.announcement.leaving)
            })
            .collect();
        for database in caught_up {
            self.propose_once(now, ControlCommand::MemberCounts(group.clone(), database));
        }
        for database in leaving {
            self.propose_once(now, ControlCommand::MemberLeft(group.clone(), database));
        }
    }

    // Announcements.

    pub(super) fn handle_announcement(&mut self, now: Moment, announcement: Announcement) {
        let database = announcement.database.clone();
        if !announcement.is_valid() {
            let result = ResultCode::UnusableAnnouncement;
            return self.effects.push(HostEffect::AnnouncementRefused { database, result });
        }
        let known = self
            .control
            .group_of(&database)
            .and_then(|group| group.members.get(&database).map(|member| (group, member)));
        if let Some((group, member)) = known {
            let elsewhere =
                group.name != announcement.group || member.address != announcement.address;
            if elsewhere && member.standing != MemberStanding::Left {
                let result = ResultCode::AnnouncedElsewhere;
                return self.effects.push(HostEffect::AnnouncementRefused { database, result });
            }
            if member.standing != MemberStanding::Left && !announcement.leaving {
                return;
            }
        }
        if !self.is_current_leader(now) {
            let to_leader = self.leader.filter(|leader| *leader != self.settings.id());
            if let Some(leader) = to_leader {
                self.send(leader, PeerMessage::Announced(announcement));
            }
            return;
        }
        self.apply_announcement(now, announcement);
    }

    fn apply_announcement(&mut self, now: Moment, announcement: Announcement) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let group = announcement.group.clone();
        let received = ReceivedAnnouncement { announcement: announcement.clone(), at: now };
        leader_state.announcements.insert(announcement.database.clone(), received);
        leader_state
            .announcements
            .retain(|_, received| now.since(received.at) < ANNOUNCEMENT_LIFETIME);
        if !self.control.is_declared(&group) {
            return;
        }
        let Some(record) = self.control.groups.get(&group) else {
            return self.form_group(now, &group);
        };
        let standing = record.members.get(&announcement.database).map(|member| member.standing);
        let database = announcement.database.clone();
        match standing {
            None | Some(MemberStanding::Left) if !announcement.leaving => {
                let member = announcement.member(MemberStanding::Joining);
                self.propose_once(now, ControlCommand::MemberJoined(group, member));
            }
            Some(MemberStanding::Counting) if announcement.leaving => {
                self.propose_once(now, ControlCommand::MemberDraining(group, database));
            }
            Some(MemberStanding::Joining) if announcement.leaving => {
                self.propose_once(now, ControlCommand::MemberLeft(group, database));
            }
            _ => {}
        }
    }

    fn form_group(&mut self, now: Moment, name: &GroupName) {
        let needed = self.control.declaration_of(name).map_or(usize::MAX, |d| d.databases as usize);
        let gateways = self.select_gateways(now, name, &[]);
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let announced: Vec<&Announcement> = leader_state
            .announcements
            .values()
            .map(|received| &received.announcement)
            .filter(|announcement| announcement.group == *name && !announcement.leaving)
            .collect();
        let primary = announced
            .iter()
            .filter(|announcement| announcement.role == DatabaseRole::Primary)
            .max_by_key(|announcement| announcement.term);
        let Some(primary) = primary.filter(|_| announced.len() >= needed && !gateways.is_empty())
        else {
            return;
        };
        let members = announced
            .iter()
            .map(|a| (a.database.clone(), a.member(MemberStanding::Counting)))
            .collect();
        let record = GroupRecord {
            name: name.clone(),
            term: primary.term,
            primary: primary.database.clone(),
            phase: GroupPhase::Steady,
            members,
            gateways,
            gateway_shares: self.settings.gateways_per_group as u32 + 1,
        };
        self.propose_once(now, ControlCommand::GroupFormed(record));
    }

    // Gateways and hosts.

    fn check_hosts(&mut self, now: Moment) {
        let Some(leader_state) =
            self.leader_state.as_mut().filter(|leader_state| now >= leader_state.host_check_due)
        else {
            return;
        };
        leader_state.host_check_due = now + HOST_CHECK_INTERVAL;
        let leases = &leader_state.leases;
        let gone: Vec<HostId> = self
            .control
            .hosts
            .keys()
            .copied()
            .filter(|host| leases.time_since_expiry(now, *host) > HOST_RETENTION)
            .collect();
        for host in gone {
            self.propose_once(now, ControlCommand::HostLeft(host));
        }
        let changes: Vec<ControlCommand> = self
            .control
            .groups
            .values()
            .filter_map(|record| {
                let gateways = self.select_gateways(now, &record.name, &record.gateways);
                let differs = gateways != record.gateways && !gateways.is_empty();
                differs.then(|| ControlCommand::GatewaysAssigned(record.name.clone(), gateways))
            })
            .collect();
        for command in changes {
            self.propose_once(now, command);
        }
    }

    /// Selects the gateways of a group: the current ones except those that are gone
    /// or draining, then the highest-ranked live hosts up to the wanted number.
    fn select_gateways(&self, now: Moment, name: &GroupName, current: &[HostId]) -> Vec<HostId> {
        let Some(leader_state) = &self.leader_state else {
            return Vec::new();
        };
        let usable =
            |host: &HostRecord| !host.draining && leader_state.leases.has_live_lease(now, host.id);
        let keep = |host: &HostId| {
            let record = self.control.hosts.get(host);
            record.is_some_and(|record| !record.draining)
                && leader_state.leases.time_since_expiry(now, *host) < GATEWAY_REPLACEMENT_DELAY
        };
        let mut gateways: Vec<HostId> = current.iter().copied().filter(keep).collect();
        let live = self.control.hosts.values().filter(|host| usable(host)).map(|host| host.id);
        for host in rank_hosts(name.as_str().as_bytes(), live) {
            if gateways.len() >= self.settings.gateways_per_group {
                break;
            }
            if !gateways.contains(&host) {
                gateways.push(host);
            }
        }
        gateways
    }
}

impl LeaderState {
    /// The state of a group's change of primary, a new one for each term.
    fn change_for(&mut self, now: Moment, record: &GroupRecord) -> &mut PrimaryChange {
        let new_change = || PrimaryChange::new(now, record, &self.leases);
        let change = self.changes.entry(record.name.clone()).or_insert_with(new_change);
        if change.next_term != record.highest_term() {
            *change = PrimaryChange::new(now, record, &self.leases);
        }
        change
    }
}

impl GroupRecord {
    /// True if the primary is draining and another member could take over.
    fn needs_planned_change(&self) -> bool {
        let draining = self
            .members
            .get(&self.primary)
            .is_some_and(|member| member.standing == MemberStanding::Draining);
        let others = self.members.values();
        draining && others.into_iter().any(|m| m.standing == MemberStanding::Counting)
    }
}

impl Announcement {
    fn member(&self, standing: MemberStanding) -> MemberRecord {
        MemberRecord {
            database: self.database.clone(),
            address: self.address,
            data_centre: self.data_centre.clone(),
            connections: self.connections,
            slots: self.slots,
            standing,
        }
    }
}
