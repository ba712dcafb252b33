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

/// Time for which an announcement counts.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(5);
/// Time between two orders to follow, to one database.
const FOLLOW_RETRY: Duration = Duration::from_millis(200);
/// Time after which the leader stops telling a silent database to follow.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a command is not proposed again.
const PROPOSAL_QUIET: Duration = Duration::from_millis(500);
/// Time without a lease after which a home is replaced.
const HOME_REPLACEMENT: Duration = Duration::from_secs(3);
/// Time without a lease after which a host is forgotten.
const HOST_RETENTION: Duration = Duration::from_secs(5);
/// Time between looks at homes and hosts.
const SURVEY_INTERVAL: Duration = Duration::from_millis(250);

/// A database that is to follow its group's primary.
#[derive(Debug)]
struct FollowDuty {
    group: GroupName,
    since: Moment,
    ordered_at: Option<Moment>,
}

#[derive(Debug)]
struct HeardAnnouncement {
    announcement: Announcement,
    at: Moment,
}

/// State of control's leader besides the configuration. A new leader starts with
/// an empty one.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) leases: LeaseTable,
    suspicions: SuspicionTable,
    changes: BTreeMap<GroupName, PrimaryChange>,
    followers: BTreeMap<DatabaseName, FollowDuty>,
    announcements: BTreeMap<DatabaseName, HeardAnnouncement>,
    proposals: Vec<RecentProposal>,
    survey_due: Moment,
    /// A group may need the leader; else the groups need not be looked at.
    restless: bool,
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
            survey_due: now,
            restless: true,
        });
        self.effects.push(HostEffect::Log(format!("This host leads control in term {term}.")));
    }

    pub(super) fn stop_leading(&mut self) {
        self.leader_state = None;
        self.leader = None;
        self.effects.push(HostEffect::Log("This host no longer leads control.".to_owned()));
    }

    /// Proposes a command unless the same was proposed a moment ago.
    pub(super) fn propose_once(&mut self, now: Moment, command: ControlCommand) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.proposals.retain(|proposal| proposal.until > now);
        if leader_state.proposals.iter().any(|proposal| proposal.command == command) {
            return;
        }
        let until = now + PROPOSAL_QUIET;
        leader_state.proposals.push(RecentProposal { command: command.clone(), until });
        self.propose(now, command);
    }

    /// The leader's work at each tick.
    pub(super) fn lead(&mut self, now: Moment) {
        if !self.is_current_leader(now) {
            return;
        }
        if self.may_be_needed(now) {
            self.end_suspected_terms(now);
            self.drive_changes(now);
            self.note_rest();
        }
        self.order_followers(now);
        self.survey(now);
    }

    fn may_be_needed(&mut self, now: Moment) -> bool {
        self.leader_state
            .as_mut()
            .is_some_and(|leader_state| leader_state.suspicions.prune(now) || leader_state.restless)
    }

    /// Notes whether any group still changes its primary, or should.
    fn note_rest(&mut self) {
        let mut groups = self.control.groups.values();
        let restless =
            groups.any(|record| record.phase != GroupPhase::Steady || record.wants_other_primary());
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.restless = restless;
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
                let planned = record.wants_other_primary();
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

    fn drive_changes(&mut self, now: Moment) {
        let changing: Vec<GroupRecord> = self
            .control
            .groups
            .values()
            .filter(|record| record.phase != GroupPhase::Steady)
            .cloned()
            .collect();
        for record in changing {
            self.drive_change(now, &record);
        }
    }

    fn drive_change(&mut self, now: Moment, record: &GroupRecord) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let change = leader_state.change(now, record);
        for step in change.next_steps(now, record) {
            match step {
                ChangeStep::Order(database, order) => self.order(record, database, order),
                ChangeStep::Propose(command) => {
                    self.propose(now, command);
                }
            }
        }
    }

    fn order(&mut self, record: &GroupRecord, database: DatabaseName, order: DatabaseOrder) {
        if let Some(member) = record.members.get(&database) {
            let address = member.address;
            self.effects.push(HostEffect::Order { database, address, order });
        }
    }

    pub(super) fn order_answered(
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
                self.drive_change(now, &group);
            }
        }
    }

    pub(super) fn suspected(&mut self, now: Moment, from: HostId, group: &GroupName, term: u64) {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.suspicions.record(now, group, term, from);
            self.lead(now);
        }
    }

    pub(super) fn fenced(&mut self, now: Moment, from: HostId, group: &GroupName, term: u64) {
        let Some(record) = self.control.groups.get(group).cloned() else {
            return;
        };
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.change(now, &record).record_fenced(from, term);
        if record.phase != GroupPhase::Steady && self.is_current_leader(now) {
            self.drive_change(now, &record);
        }
    }

    /// Reacts to a committed command as leader.
    pub(super) fn leader_applied(&mut self, now: Moment, command: &ControlCommand) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.restless = true;
        match command {
            ControlCommand::TermEnded { group, .. } => {
                if let Some(record) = self.control.groups.get(group) {
                    leader_state.change(now, record);
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
                            FollowDuty { group: group.clone(), since: now, ordered_at: None };
                        leader_state.followers.insert(database.clone(), follow);
                    }
                }
            }
            _ => return,
        }
        self.lead(now);
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
                self.order(&record, database, order);
            }
        }
    }

    pub(super) fn members_reported(
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
            leader_state.followers.entry(database).or_insert_with(|| FollowDuty {
                group: group.clone(),
                since: now,
                ordered_at: None,
            });
        }
        let leaving: Vec<DatabaseName> = removable
            .into_iter()
            .filter(|database| {
                let heard = leader_state.announcements.get(database);
                heard.is_some_and(|heard| heard.announcement.leaving)
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

    pub(super) fn announced(&mut self, now: Moment, announcement: Announcement) {
        let database = announcement.database.clone();
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
        self.take_announcement(now, announcement);
    }

    fn take_announcement(&mut self, now: Moment, announcement: Announcement) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let group = announcement.group.clone();
        let heard = HeardAnnouncement { announcement: announcement.clone(), at: now };
        leader_state.announcements.insert(announcement.database.clone(), heard);
        leader_state.announcements.retain(|_, heard| now.since(heard.at) < ANNOUNCEMENT_LIFETIME);
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
        let homes = self.wanted_homes(now, name, &[]);
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let announced: Vec<&Announcement> = leader_state
            .announcements
            .values()
            .map(|heard| &heard.announcement)
            .filter(|announcement| announcement.group == *name && !announcement.leaving)
            .collect();
        let primary = announced
            .iter()
            .filter(|announcement| announcement.role == DatabaseRole::Primary)
            .max_by_key(|announcement| announcement.term);
        let Some(primary) = primary.filter(|_| announced.len() >= needed && !homes.is_empty())
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
            gateways: homes,
            gateway_shares: self.settings.gateways_per_group as u32 + 1,
        };
        self.propose_once(now, ControlCommand::GroupFormed(record));
    }

    // Homes and hosts.

    fn survey(&mut self, now: Moment) {
        let Some(leader_state) =
            self.leader_state.as_mut().filter(|leader_state| now >= leader_state.survey_due)
        else {
            return;
        };
        leader_state.survey_due = now + SURVEY_INTERVAL;
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
                let homes = self.wanted_homes(now, &record.name, &record.gateways);
                let differs = homes != record.gateways && !homes.is_empty();
                differs.then(|| ControlCommand::GatewaysAssigned(record.name.clone(), homes))
            })
            .collect();
        for command in changes {
            self.propose_once(now, command);
        }
    }

    /// The homes that a group should have: those it has, less the ones that
    /// are gone or draining, filled up with the best-ranked live hosts.
    fn wanted_homes(&self, now: Moment, name: &GroupName, current: &[HostId]) -> Vec<HostId> {
        let Some(leader_state) = &self.leader_state else {
            return Vec::new();
        };
        let usable =
            |host: &HostRecord| !host.draining && leader_state.leases.has_live_lease(now, host.id);
        let keep = |host: &HostId| {
            let record = self.control.hosts.get(host);
            record.is_some_and(|record| !record.draining)
                && leader_state.leases.time_since_expiry(now, *host) < HOME_REPLACEMENT
        };
        let mut homes: Vec<HostId> = current.iter().copied().filter(keep).collect();
        let live = self.control.hosts.values().filter(|host| usable(host)).map(|host| host.id);
        for host in rank_hosts(name.as_str().as_bytes(), live) {
            if homes.len() >= self.settings.gateways_per_group {
                break;
            }
            if !homes.contains(&host) {
                homes.push(host);
            }
        }
        homes
    }
}

impl LeaderState {
    /// The notes on a group's change of primary, new ones for a new term.
    fn change(&mut self, now: Moment, record: &GroupRecord) -> &mut PrimaryChange {
        let fresh = || PrimaryChange::new(now, record, &self.leases);
        let change = self.changes.entry(record.name.clone()).or_insert_with(fresh);
        if change.next_term != record.highest_term() {
            *change = PrimaryChange::new(now, record, &self.leases);
        }
        change
    }
}

impl GroupRecord {
    /// True if the primary is draining and another member could take over.
    fn wants_other_primary(&self) -> bool {
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
