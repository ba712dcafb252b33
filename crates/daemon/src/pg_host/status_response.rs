use hawthornstack_decisions::{
    clock::Moment,
    control_state::{GroupPhase, GroupRecord, MemberRecord, MemberStanding},
    directory::{DatabaseRole, DatabaseView},
    identity::HostId,
    pg_host::{GroupView, HostState},
};
use hawthornstack_wire::operators::{GroupStatus, HostStatus, MemberStatus, StatusResponse};

/// Builds the response to a status request: the configuration as applied on this
/// host, and what it observes of the databases of the groups it is a gateway of.
pub(super) fn build_status(state: &HostState, host: HostId, now: Moment) -> StatusResponse {
    let control = state.control();
    StatusResponse {
        host,
        leader: state.leader(),
        is_current_leader: state.is_current_leader(now),
        has_lease: state.has_lease(now),
        version: control.version,
        applied: control.applied,
        services: control.services.clone().into_iter().collect(),
        groups: control
            .groups
            .values()
            .map(|record| build_group_status(record, state.groups().get(&record.name)))
            .collect(),
        hosts: control
            .hosts
            .values()
            .map(|record| HostStatus {
                host: record.id,
                peer_address: record.peer_address,
                data_centre: record.data_centre.clone(),
                draining: record.draining,
            })
            .collect(),
        workspaces: Vec::new(),
    }
}

fn build_group_status(record: &GroupRecord, view: Option<&GroupView>) -> GroupStatus {
    let phase = match &record.phase {
        GroupPhase::Steady => "steady",
        GroupPhase::Fencing { .. } => "fencing",
        GroupPhase::Promoting { .. } => "promoting",
    };
    GroupStatus {
        group: record.name.clone(),
        term: record.term,
        primary: record.primary.clone(),
        phase: phase.to_owned(),
        homes: record.gateways.clone(),
        members: record
            .members
            .values()
            .map(|member| {
                build_member_status(
                    member,
                    view.and_then(|view| view.databases.get(&member.database)),
                )
            })
            .collect(),
        waiting: view.map_or(0, GroupView::waiting_count),
    }
}

fn build_member_status(member: &MemberRecord, view: Option<&DatabaseView>) -> MemberStatus {
    let standing = match member.standing {
        MemberStanding::Counting => "counting",
        MemberStanding::Joining => "joining",
        MemberStanding::Draining => "draining",
        MemberStanding::Left => "left",
    };
    let status = view.and_then(|view| view.observed.as_ref()).map(|observed| &observed.status);
    let role = status.map_or("", |status| match status.role {
        DatabaseRole::Primary => "primary",
        DatabaseRole::Replica => "replica",
    });
    MemberStatus {
        database: member.database.clone(),
        address: member.address,
        data_centre: member.data_centre.clone(),
        standing: standing.to_owned(),
        role: role.to_owned(),
        position: status.map(|status| status.position.to_string()).unwrap_or_default(),
        in_use: view.map_or(0, |view| view.in_use),
    }
}
