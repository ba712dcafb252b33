//! The audit trail keeps only its newest records. Its hash chain must still
//! verify without the older ones, and must reveal changed and missing records.

use std::sync::Arc;

use hawthornstack_decisions::{
    control_state::{AuditRecord, ControlCommand, ControlState, verify_chain},
    routes::{RouteTable, TrafficLimits},
};

/// Audit records that the control state keeps.
const MAX_AUDIT_RECORDS: u64 = 10_000;

fn build_trail(replacements: u64) -> Vec<AuditRecord> {
    let mut control = ControlState::default();
    for version in 1..=replacements {
        let table = RouteTable {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            limits: TrafficLimits { transaction_idle: std::time::Duration::from_secs(3) },
            workspaces: None,
            source: Arc::from("{}"),
        };
        let command =
            ControlCommand::RoutesReplaced { table: Arc::new(table), at_unix_ms: version };
        control.apply(version, &command);
    }
    control.audit
}

#[test]
fn trail_without_oldest_records_verifies() {
    let mut records = build_trail(MAX_AUDIT_RECORDS + 5);
    assert_eq!((records.len() as u64, records[0].sequence), (MAX_AUDIT_RECORDS, 6));
    assert_eq!(verify_chain(&records), None);
    records[100].at_unix_ms += 1;
    assert_eq!(verify_chain(&records), Some(106));
}

#[test]
fn missing_and_changed_records_are_detected() {
    let records = build_trail(5);
    assert_eq!(verify_chain(&records), None);
    let mut missing = records.clone();
    missing.remove(2);
    assert_eq!(verify_chain(&missing), Some(4));
    let mut changed = records;
    changed[0].operator = Arc::from("somebody else");
    assert_eq!(verify_chain(&changed), Some(1));
}
