use hawthornstack_decisions::{control_state::AuditRecord, routes::UsageCap};
use hawthornstack_wire::operators::{PlanResponse, StatusResponse};

use crate::console::TextTable;

pub(super) fn format_plan(plan: &PlanResponse) -> String {
    if plan.changes.is_empty() {
        return format!("Nothing to change; version {} is as declared.\n", plan.base_version);
    }
    let mut text = format!("Plan {} on version {}:\n", plan.id, plan.base_version);
    for step in &plan.steps {
        text.push_str(&format!("  - {step}\n"));
    }
    text.push_str(&format!("Confirm with: hawthornstack confirm {}\n", plan.id));
    text
}

/// Formats the state of the answering daemon and a table of all groups.
pub(super) fn format_status(status: &StatusResponse) -> String {
    let leader = status.leader.map_or("unknown".to_owned(), |leader| leader.to_string());
    let lease = if status.has_lease { "may serve" } else { "has no lease" };
    let mut text = format!(
        "Host {} {lease}. Leader {leader}. Version {}, {} entries applied.\n",
        status.host, status.version, status.applied
    );
    let mut table = TextTable::new(&["GROUP", "PHASE", "TERM", "PRIMARY", "HOMES", "WAITING"]);
    for group in &status.groups {
        let homes: Vec<String> = group.homes.iter().map(ToString::to_string).collect();
        table.push(vec![
            group.group.to_string(),
            group.phase.clone(),
            group.term.to_string(),
            group.primary.to_string(),
            homes.join(","),
            group.waiting.to_string(),
        ]);
    }
    text.push_str(&table.render());
    if !status.workspaces.is_empty() {
        text.push_str(&format_workspaces(status));
    }
    text
}

fn format_workspaces(status: &StatusResponse) -> String {
    let mut table = TextTable::new(&["WORKSPACE", "KEYS", "PER SECOND", "BURST"]);
    for workspace in &status.workspaces {
        let show = |value: fn(UsageCap) -> f64| {
            workspace.cap.map_or("no limit".to_owned(), |cap| value(cap).to_string())
        };
        table.push(vec![
            workspace.name.to_string(),
            workspace.keys.to_string(),
            show(UsageCap::per_second),
            show(UsageCap::burst),
        ]);
    }
    table.render()
}

pub(super) fn format_services(status: &StatusResponse) -> String {
    let mut table = TextTable::new(&["SERVICE", "INSTANCES", "DATABASES", "MAX WAITING"]);
    for (name, service) in &status.services {
        table.push(vec![
            name.to_string(),
            service.instances.to_string(),
            service.databases.to_string(),
            service.max_waiting.to_string(),
        ]);
    }
    table.render()
}

/// Formats a table of the databases of all groups.
pub(super) fn format_upstreams(status: &StatusResponse) -> String {
    let headings =
        ["DATABASE", "GROUP", "ADDRESS", "DATA CENTRE", "STANDING", "ROLE", "POSITION", "IN USE"];
    let mut table = TextTable::new(&headings);
    for group in &status.groups {
        for member in &group.members {
            table.push(vec![
                member.database.to_string(),
                group.group.to_string(),
                member.address.to_string(),
                member.data_centre.to_string(),
                member.standing.clone(),
                member.role.clone(),
                member.position.clone(),
                member.in_use.to_string(),
            ]);
        }
    }
    table.render()
}

pub(super) fn format_hosts(status: &StatusResponse) -> String {
    let mut table = TextTable::new(&["HOST", "PEER ADDRESS", "DATA CENTRE", "STATE"]);
    for host in &status.hosts {
        let state = if host.draining { "draining" } else { "serving" };
        table.push(vec![
            host.host.to_string(),
            host.peer_address.to_string(),
            host.data_centre.to_string(),
            state.to_owned(),
        ]);
    }
    table.render()
}

pub(super) fn format_audit_trail(records: &[AuditRecord]) -> String {
    let mut table = TextTable::new(&["#", "UNIX MS", "OPERATOR", "PLAN", "RESULT", "CHANGES"]);
    for record in records {
        let changes: Vec<String> = record.changes.iter().map(ToString::to_string).collect();
        table.push(vec![
            record.sequence.to_string(),
            record.at_unix_ms.to_string(),
            record.operator.to_string(),
            record.plan.to_string(),
            record.result.number().to_string(),
            changes.join("; "),
        ]);
    }
    table.render()
}
