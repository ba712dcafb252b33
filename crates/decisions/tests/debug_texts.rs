//! Guards against a change of Debug texts that are printed in logs, or that are
//! hashed into plan ids and the audit trail, on which hosts of two releases must
//! agree. Renaming a type, a variant or a field changes them.

use std::{fmt::Debug, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    control_role::PromoteResult,
    control_state::{AuditRecord, ControlCommand, ControlState, Plan, PlannedChange},
    directory::DatabaseRole,
    failover::DatabaseOrder,
    instances::InstanceRole,
    outcomes::Outcome,
    positions::LogPosition,
    primaries::{InstanceStatus, TermPhase},
    routes::{RouteTable, TrafficLimits},
};
use serde::de::DeserializeOwned;

const CHANGES: &str = r#"[
    {"AddService": ["books", {"instances": 2, "databases": 3, "max_waiting": 50}]},
    {"ChangeService": ["books", {"instances": 2, "databases": 3, "max_waiting": 50},
        {"instances": 4, "databases": 5, "max_waiting": 60}]},
    {"RemoveService": "books"},
    {"SetDatabaseDraining": ["books-1-a", true]},
    {"SetDatabaseDraining": ["books-1-a", false]},
    {"SetHostDraining": [3, true]},
    {"SetHostDraining": [3, false]},
    {"ReplaceRoutes": 17}
]"#;

fn decode<T: DeserializeOwned>(json: &str) -> T {
    serde_json::from_str(json).expect(json)
}

fn debug_lines<T: Debug>(name: &str, values: &[T]) -> String {
    values.iter().map(|value| format!("{name}: {value:?}\n")).collect()
}

fn changes() -> Vec<PlannedChange> {
    let changes: Vec<PlannedChange> = decode(CHANGES);
    // This match does not compile with a new variant, which is to be added to `CHANGES`
    // as well.
    for change in &changes {
        match change {
            PlannedChange::AddService(..)
            | PlannedChange::ChangeService(..)
            | PlannedChange::RemoveService(_)
            | PlannedChange::SetDatabaseDraining(..)
            | PlannedChange::SetHostDraining(..)
            | PlannedChange::ReplaceRoutes(_) => {}
        }
    }
    changes
}

fn debug_of_states() -> String {
    let phases: Vec<TermPhase> = decode(
        r#"["Steady", {"Fencing": {"planned": true}}, {"Fencing": {"planned": false}},
            {"Promoting": {"chosen": {"id": "i-7f", "born_ms": 1700}}}]"#,
    );
    let orders: Vec<DatabaseOrder> = decode(
        r#"["Report", {"Fence": {"term": 4}}, {"Promote": {"term": 5}},
            {"Follow": {"term": 6, "primary": "127.0.0.1:5432"}}]"#,
    );
    let outcomes: Vec<Outcome> = decode(r#"["Ran", "DidNotRun", "Unknown"]"#);
    let roles: Vec<DatabaseRole> = decode(r#"["Primary", "Replica"]"#);
    let results = [PromoteResult::Accepted, PromoteResult::NotRunning, PromoteResult::Unclear];
    let status = |role| InstanceStatus { role, term: 8, received: LogPosition::new(7, 123) };
    let statuses = [InstanceRole::Primary, InstanceRole::Replica].map(status);
    [
        debug_lines("phase of a term", &phases),
        debug_lines("answer to a promotion", &results),
        debug_lines("order to a database", &orders),
        debug_lines("status of a database", &statuses),
        debug_lines("outcome", &outcomes),
        debug_lines("role", &roles),
    ]
    .concat()
}

#[test]
fn debug_texts() {
    let changes = debug_lines("planned change", &changes());
    insta::assert_snapshot!("debug", changes + &debug_of_states());
}

#[test]
fn planned_changes_display() {
    let lines: Vec<String> = changes().iter().map(ToString::to_string).collect();
    insta::assert_snapshot!("planned_changes", lines.join("\n"));
}

#[test]
fn plan_ids() {
    let whole = Plan::new(7, changes());
    let mut lines = vec![format!("all changes: {}", whole.id)];
    for change in changes() {
        lines.push(format!("{change}: {}", Plan::new(7, vec![change.clone()]).id));
    }
    insta::assert_snapshot!("plan_ids", lines.join("\n"));
}

fn replace_routes() -> ControlCommand {
    let table = RouteTable {
        version: 5,
        routes: Vec::new(),
        services: Vec::new(),
        limits: TrafficLimits { transaction_idle: Duration::from_secs(3) },
        workspaces: None,
        source: Arc::from("{}"),
    };
    ControlCommand::RoutesReplaced { table: Arc::new(table), at_unix_ms: 1_000 }
}

fn confirm(request: &str, plan: &Arc<str>) -> ControlCommand {
    ControlCommand::PlanConfirmed {
        request: Arc::from(request),
        plan: plan.clone(),
        operator: Arc::from("somebody"),
        at_unix_ms: 2_000,
    }
}

fn audit_lines(records: &[AuditRecord]) -> String {
    let line = |record: &AuditRecord| {
        let (sequence, operator, plan) = (record.sequence, &record.operator, &record.plan);
        let (result, chain) = (record.result.number(), &record.chain);
        format!("{sequence} operator {operator}, plan {plan}, result {result}\n    {chain}\n")
    };
    records.iter().map(line).collect()
}

#[test]
fn audit_chain() {
    let mut control = ControlState::default();
    control.apply(1, &replace_routes());
    let plan = Plan::new(control.version, changes());
    control.apply(2, &ControlCommand::PlanMade(plan.clone()));
    control.apply(3, &confirm("first", &plan.id));
    // Refused: the first confirmation changed the version that the plan is based on.
    control.apply(4, &confirm("second", &plan.id));
    control.apply(5, &confirm("third", &Arc::from("no such plan")));
    insta::assert_snapshot!("audit_chain", audit_lines(&control.audit));
}
