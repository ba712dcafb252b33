use hawthornstack_decisions::{
    clock::Moment,
    control_role::ControlHost,
    identity::{DataCentre, DatabaseName, GroupName, HostId, NameError},
    instances::{InstanceRecord, InstanceRole},
    primaries::{ServiceTerm, TermPhase},
    routes::{RouteTable, WorkspaceRule},
};
use hawthornstack_wire::operators::{
    GroupStatus, HostStatus, MemberStatus, StatusResponse, WorkspaceStatus,
};

use crate::links::host_address;

/// Builds the status page of a control host. Each service is shown as one group;
/// the hosts are the voters and the entry hosts. `has_lease` is true while this
/// host is connected, that is, a current leader or a follower of a leader.
///
/// Services and databases whose names are not valid on a status page are left out: anybody
/// may announce a database.
pub(super) fn build_status_page(
    control_host: &ControlHost,
    own_id: HostId,
    link_port: u16,
    is_connected: bool,
    now: Moment,
) -> StatusResponse {
    let (control, agreement) = (control_host.control(), control_host.agreement());
    let unknown = DataCentre::unknown();
    let hosts = agreement.voters().union(&control.holders).map(|host| HostStatus {
        host: *host,
        peer_address: host_address(*host, link_port),
        data_centre: unknown.clone(),
        draining: false,
    });
    let terms = control.terms.values();
    let groups = terms.filter_map(|term| build_group_status(control_host, term).ok());
    StatusResponse {
        host: own_id,
        leader: agreement.leader(),
        is_current_leader: control_host.is_current_leader(now),
        has_lease: is_connected,
        version: control.routes_version(),
        applied: control.applied,
        services: Vec::new(),
        groups: groups.collect(),
        hosts: hosts.collect(),
        workspaces: control.routes.as_deref().map_or_else(Vec::new, list_workspaces),
    }
}

fn list_workspaces(table: &RouteTable) -> Vec<WorkspaceStatus> {
    let rules = table.workspaces.iter().flatten();
    let to_status = |rule: &WorkspaceRule| WorkspaceStatus {
        name: rule.name.clone(),
        keys: rule.keys.len(),
        cap: rule.cap,
    };
    rules.map(to_status).collect()
}

fn build_group_status(
    control_host: &ControlHost,
    term: &ServiceTerm,
) -> Result<GroupStatus, NameError> {
    let phase = match &term.phase {
        TermPhase::Steady => "steady",
        TermPhase::Fencing { .. } => "fencing",
        TermPhase::Promoting { .. } => "promoting",
    };
    let members = control_host
        .directory()
        .instances_of_service(&term.service)
        .filter_map(|record| build_member_status(record).ok());
    Ok(GroupStatus {
        group: GroupName::new(&term.service)?,
        term: term.number,
        primary: DatabaseName::new(&term.primary.id)?,
        phase: phase.to_owned(),
        homes: Vec::new(),
        members: members.collect(),
        waiting: 0,
    })
}

fn build_member_status(record: &InstanceRecord) -> Result<MemberStatus, NameError> {
    let role = match record.role {
        InstanceRole::Primary => "primary",
        InstanceRole::Replica => "replica",
    };
    let standing = if record.draining { "draining" } else { "counting" };
    Ok(MemberStatus {
        database: DatabaseName::new(&record.key.id)?,
        address: record.address,
        data_centre: DataCentre::new(&record.data_centre)?,
        standing: standing.to_owned(),
        role: role.to_owned(),
        position: String::new(),
        in_use: 0,
    })
}
