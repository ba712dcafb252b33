use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{
    AuditRecord, ControlCommand, GroupPhase, GroupRecord, HostRecord, Intent, MemberRecord,
    MemberStanding, Plan, PlannedChange, ServiceDeclaration, plan::diff_services,
};
use crate::{
    identity::{DatabaseName, GroupName, HostId},
    instances::InstanceRecord,
    outcomes::ResultCode,
    primaries::ServiceTerm,
    routes::RouteTable,
};

/// Most plans that can be confirmed; the oldest is dropped first.
const MAX_PLANS: usize = 256;
/// Most results kept for repeated requests; the oldest is dropped first.
const MAX_ANSWERS: usize = 4_096;
/// Most audit records kept in memory; older ones are in the journal's snapshots.
const MAX_AUDIT_RECORDS: usize = 10_000;

/// Result of a confirmation, kept to answer repeated requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationResult {
    /// Whether the plan was applied, or why not.
    pub result: ResultCode,
    /// Configuration version after the confirmation.
    pub version: u64,
    /// Changes since the plan's base version, if the plan was refused as
    /// outdated.
    pub changed_since: Vec<PlannedChange>,
}

/// The replicated control state; it is the same on every host that has applied
/// the same commands.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ControlState {
    /// Log index of the last applied command.
    pub applied: u64,
    /// Configuration version: the number of confirmed plans that had changes.
    pub version: u64,
    /// Incremented whenever a host joins, leaves or announces a changed record.
    pub hosts_version: u64,
    /// Declared services by name.
    pub services: BTreeMap<Arc<str>, ServiceDeclaration>,
    /// Formed groups by name.
    pub groups: BTreeMap<GroupName, GroupRecord>,
    /// Hosts of the system by number.
    pub hosts: BTreeMap<HostId, HostRecord>,
    /// Plans that can be confirmed, by id.
    pub plans: IndexMap<Arc<str>, Plan>,
    /// Results of confirmations by request id.
    pub answers: IndexMap<Arc<str>, ConfirmationResult>,
    /// Audit trail, oldest record first.
    pub audit: Vec<AuditRecord>,
    /// Current route table, set by operators as a whole; `None` before the first.
    #[serde(default)]
    pub routes: Option<Arc<RouteTable>>,
    /// Primaries and their terms by service.
    #[serde(default)]
    pub terms: BTreeMap<Arc<str>, ServiceTerm>,
    /// Databases by id, as last announced to the control leader.
    #[serde(default)]
    pub instances: BTreeMap<Arc<str>, InstanceRecord>,
    /// Hosts that may be granted leases.
    #[serde(default)]
    pub holders: BTreeSet<HostId>,
}

impl ControlState {
    /// About the size of the state in a message, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        let routes = self.routes.as_ref().map_or(0, |table| table.approximate_bytes());
        let records = self.services.len()
            + self.groups.len()
            + self.hosts.len()
            + self.plans.len()
            + self.answers.len()
            + self.audit.len()
            + self.terms.len()
            + self.instances.len();
        routes + records * ControlCommand::SMALL_BYTES
    }

    /// Applies the command at a log index. An index at or below `applied` was
    /// applied before and has no effect.
    pub fn apply(&mut self, index: u64, command: &ControlCommand) {
        if index <= self.applied {
            return;
        }
        self.applied = index;
        match command {
            ControlCommand::LeaderElected => {}
            ControlCommand::HostJoined(record) => self.join_host(record),
            ControlCommand::HostLeft(host) => self.remove_host(*host),
            ControlCommand::GroupFormed(record) => self.form_group(record),
            ControlCommand::MemberJoined(group, member) => self.join_member(group, member),
            ControlCommand::MemberCounts(group, database) => {
                self.change_standing(
                    group,
                    database,
                    MemberStanding::Joining,
                    MemberStanding::Counting,
                );
            }
            ControlCommand::MemberDraining(group, database) => {
                self.change_standing(
                    group,
                    database,
                    MemberStanding::Counting,
                    MemberStanding::Draining,
                );
            }
            ControlCommand::MemberLeft(group, database) => self.remove_member(group, database),
            ControlCommand::GatewaysAssigned(group, gateways) => {
                if let Some(record) = self.groups.get_mut(group) {
                    record.gateways.clone_from(gateways);
                }
            }
            ControlCommand::TermEnded { group, expected, planned } => {
                self.end_term(group, *expected, *planned);
            }
            ControlCommand::PrimaryChosen { group, next_term, chosen } => {
                self.choose_primary(group, *next_term, chosen);
            }
            ControlCommand::TermStarted { group, term } => self.start_term(group, *term),
            ControlCommand::PlanMade(plan) => self.store_plan(plan),
            ControlCommand::PlanConfirmed { request, plan, operator, at_unix_ms } => {
                self.confirm_plan(request, plan, operator, *at_unix_ms);
            }
            ControlCommand::RoutesReplaced { table, at_unix_ms } => {
                self.replace_routes(table, *at_unix_ms);
            }
            ControlCommand::InstanceSeen(record) => self.record_instance(record),
            ControlCommand::InstanceGone(departure) => self.remove_instance(departure),
            ControlCommand::HolderJoined(host) => {
                self.holders.insert(*host);
            }
            ControlCommand::HolderLeft(host) => {
                self.holders.remove(host);
            }
            ControlCommand::ServicePrimaryKnown { service, primary } => {
                self.record_primary(service, primary);
            }
            ControlCommand::ServiceTermEnded { service, number, planned } => {
                self.end_service_term(service, *number, *planned);
            }
            ControlCommand::ServicePrimaryChosen { service, number, chosen, above_term } => {
                self.choose_service_primary(service, *number, chosen, *above_term);
            }
            ControlCommand::ServiceTermStarted { service, number, drained } => {
                self.start_service_term(service, *number, *drained);
            }
            ControlCommand::ServiceLossCovered { service, number, lost } => {
                self.forget_lost_databases(service, *number, lost);
            }
        }
    }

    /// Computes the plan for an intent on the current version.
    ///
    /// # Errors
    /// A message that says what is wrong with the intent.
    pub fn make_plan(&self, intent: &Intent) -> Result<Plan, String> {
        let changes = match intent {
            Intent::Declare(declaration) => {
                declaration.check().map_err(|error| error.to_string())?;
                diff_services(&self.services, declaration)
            }
            Intent::DrainDatabase(database) => self.database_draining_change(database, true)?,
            Intent::RestoreDatabase(database) => self.database_draining_change(database, false)?,
            Intent::DrainHost(host) => self.host_draining_change(*host, true)?,
            Intent::RestoreHost(host) => self.host_draining_change(*host, false)?,
            Intent::ChangeWaitingLimit { service, max_waiting } => {
                self.waiting_limit_change(service, *max_waiting)?
            }
        };
        Ok(Plan::new(self.version, changes))
    }

    /// The group that has the database as a member, also if it has left.
    pub fn group_of(&self, database: &DatabaseName) -> Option<&GroupRecord> {
        self.groups.values().find(|group| group.members.contains_key(database))
    }

    /// True if the group is an instance of a declared service.
    pub fn is_declared(&self, group: &GroupName) -> bool {
        self.declaration_of(group).is_some()
    }

    /// The declaration of the group's service; `None` if the service or this
    /// instance of it is not declared.
    pub fn declaration_of(&self, group: &GroupName) -> Option<&ServiceDeclaration> {
        let (service, instance) = group.as_str().rsplit_once('.')?;
        let number: u32 = instance.parse().ok()?;
        self.services.get(service).filter(|declared| (1..=declared.instances).contains(&number))
    }

    fn join_host(&mut self, record: &HostRecord) {
        let draining = self.hosts.get(&record.id).is_some_and(|known| known.draining);
        let joined = HostRecord { draining, ..record.clone() };
        if self.hosts.get(&record.id) != Some(&joined) {
            self.hosts.insert(record.id, joined);
            self.hosts_version += 1;
        }
    }

    fn remove_host(&mut self, host: HostId) {
        if self.hosts.remove(&host).is_some() {
            self.hosts_version += 1;
        }
    }

    fn form_group(&mut self, record: &GroupRecord) {
        if self.is_declared(&record.name) && !self.groups.contains_key(&record.name) {
            self.groups.insert(record.name.clone(), record.clone());
        }
    }

    fn join_member(&mut self, group: &GroupName, member: &MemberRecord) {
        let in_other_group = self.group_of(&member.database).is_some_and(|g| g.name != *group);
        let Some(record) = self.groups.get_mut(group) else {
            return;
        };
        let can_join = record
            .members
            .get(&member.database)
            .is_none_or(|known| known.standing == MemberStanding::Left);
        if can_join && !in_other_group {
            let standing = MemberStanding::Joining;
            let joined = MemberRecord { standing, ..member.clone() };
            record.members.insert(member.database.clone(), joined);
        }
    }

    fn change_standing(
        &mut self,
        group: &GroupName,
        database: &DatabaseName,
        from: MemberStanding,
        to: MemberStanding,
    ) {
        let member = self
            .groups
            .get_mut(group)
            .filter(|record| record.phase == GroupPhase::Steady)
            .and_then(|record| record.members.get_mut(database));
        if let Some(member) = member.filter(|member| member.standing == from) {
            member.standing = to;
        }
    }

    /// Removes a member, unless it is the primary or a change of primary is in
    /// progress. A counting member must drain first, so that it has stopped
    /// counting for acknowledgements.
    fn remove_member(&mut self, group: &GroupName, database: &DatabaseName) {
        let is_primary = self.groups.get(group).is_some_and(|g| g.primary == *database);
        if is_primary {
            return;
        }
        self.change_standing(group, database, MemberStanding::Draining, MemberStanding::Left);
        self.change_standing(group, database, MemberStanding::Joining, MemberStanding::Left);
    }

    fn end_term(&mut self, group: &GroupName, expected: u64, planned: bool) {
        if let Some(record) = self.groups.get_mut(group)
            && record.highest_term() == expected
        {
            record.phase = GroupPhase::Fencing { next_term: expected.saturating_add(1), planned };
        }
    }

    fn choose_primary(&mut self, group: &GroupName, next_term: u64, chosen: &DatabaseName) {
        if let Some(record) = self.groups.get_mut(group)
            && matches!(record.phase, GroupPhase::Fencing { next_term: n, .. } if n == next_term)
            && record.members.contains_key(chosen)
        {
            record.phase = GroupPhase::Promoting { next_term, chosen: chosen.clone() };
        }
    }

    fn start_term(&mut self, group: &GroupName, term: u64) {
        let Some(record) = self.groups.get_mut(group) else {
            return;
        };
        if let GroupPhase::Promoting { next_term, chosen } = &record.phase
            && *next_term == term
        {
            record.primary = chosen.clone();
            record.term = term;
            record.phase = GroupPhase::Steady;
        }
    }

    fn store_plan(&mut self, plan: &Plan) {
        self.plans.insert(plan.id.clone(), plan.clone());
        if self.plans.len() > MAX_PLANS {
            self.plans.shift_remove_index(0);
        }
    }

    fn confirm_plan(
        &mut self,
        request: &Arc<str>,
        plan_id: &Arc<str>,
        operator: &Arc<str>,
        at_unix_ms: u64,
    ) {
        if self.answers.contains_key(request) {
            return;
        }
        let (result, changes) = match self.plans.get(plan_id).cloned() {
            None => (ResultCode::UnknownPlan, Vec::new()),
            Some(plan) if plan.base_version != self.version => {
                (ResultCode::PlanOutdated, Vec::new())
            }
            Some(plan) => (ResultCode::Done, plan.changes),
        };
        let changed_since = match result {
            ResultCode::PlanOutdated => self.changes_since(plan_id),
            _ => Vec::new(),
        };
        if !changes.is_empty() {
            changes.iter().for_each(|change| self.apply_change(change));
            self.version += 1;
        }
        self.record_audit(operator, plan_id, changes, result, at_unix_ms);
        let answer = ConfirmationResult { result, version: self.version, changed_since };
        self.answers.insert(request.clone(), answer);
        if self.answers.len() > MAX_ANSWERS {
            self.answers.shift_remove_index(0);
        }
    }

    fn changes_since(&self, plan_id: &Arc<str>) -> Vec<PlannedChange> {
        let base = self.plans.get(plan_id).map_or(0, |plan| plan.base_version);
        let accepted = self.audit.iter().filter(|record| !record.changes.is_empty());
        let newer = (self.version - base) as usize;
        let skipped = accepted.clone().count().saturating_sub(newer);
        accepted.skip(skipped).flat_map(|record| record.changes.clone()).collect()
    }

    pub(super) fn record_audit(
        &mut self,
        operator: &Arc<str>,
        plan: &Arc<str>,
        changes: Vec<PlannedChange>,
        result: ResultCode,
        at_unix_ms: u64,
    ) {
        let (sequence, previous) = match self.audit.last() {
            Some(last) => (last.sequence + 1, last.chain.clone()),
            None => (1, Arc::from("")),
        };
        let record = AuditRecord {
            sequence,
            at_unix_ms,
            operator: operator.clone(),
            plan: plan.clone(),
            changes,
            result,
            chain: Arc::from(""),
        };
        self.audit.push(record.set_chain_hash(&previous));
        if self.audit.len() > MAX_AUDIT_RECORDS {
            self.audit.remove(0);
        }
    }

    fn apply_change(&mut self, change: &PlannedChange) {
        match change {
            PlannedChange::AddService(name, service)
            | PlannedChange::ChangeService(name, _, service) => {
                self.services.insert(name.clone(), service.clone());
            }
            PlannedChange::RemoveService(name) => {
                self.services.remove(name);
            }
            PlannedChange::ReplaceRoutes(_) => {}
            PlannedChange::SetDatabaseDraining(database, draining) => {
                self.set_draining(database, *draining);
            }
            PlannedChange::SetHostDraining(host, draining) => {
                if let Some(record) = self.hosts.get_mut(host) {
                    record.draining = *draining;
                }
            }
        }
    }

    fn set_draining(&mut self, database: &DatabaseName, draining: bool) {
        let member = self.groups.values_mut().find_map(|group| group.members.get_mut(database));
        let Some(member) = member else {
            return;
        };
        member.standing = match (draining, member.standing) {
            (true, MemberStanding::Counting) => MemberStanding::Draining,
            (false, MemberStanding::Draining) => MemberStanding::Counting,
            (_, standing) => standing,
        };
    }

    fn database_draining_change(
        &self,
        database: &DatabaseName,
        draining: bool,
    ) -> Result<Vec<PlannedChange>, String> {
        let group = self
            .group_of(database)
            .ok_or_else(|| format!("no database {database}; see `hawthornstack upstreams`"))?;
        let standing = group.members[database].standing;
        let differs = match draining {
            true => standing == MemberStanding::Counting,
            false => standing == MemberStanding::Draining,
        };
        let change = PlannedChange::SetDatabaseDraining(database.clone(), draining);
        Ok(differs.then_some(change).into_iter().collect())
    }

    fn host_draining_change(
        &self,
        host: HostId,
        draining: bool,
    ) -> Result<Vec<PlannedChange>, String> {
        let record = self
            .hosts
            .get(&host)
            .ok_or_else(|| format!("no host {host}; see `hawthornstack hosts`"))?;
        let change = PlannedChange::SetHostDraining(host, draining);
        Ok((record.draining != draining).then_some(change).into_iter().collect())
    }

    fn waiting_limit_change(
        &self,
        name: &Arc<str>,
        max_waiting: u32,
    ) -> Result<Vec<PlannedChange>, String> {
        let before = self
            .services
            .get(name)
            .ok_or_else(|| format!("no service {name}; see `hawthornstack services`"))?;
        let after = ServiceDeclaration { max_waiting, ..before.clone() };
        let mut declared = super::Declaration { services: self.services.clone() };
        declared.services.insert(name.clone(), after);
        declared.check().map_err(|error| error.to_string())?;
        Ok(diff_services(&self.services, &declared))
    }
}
