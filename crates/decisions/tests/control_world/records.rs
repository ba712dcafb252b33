use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    control_role::EntryReport,
    identity::HostId,
    instances::{InstanceDeparture, InstanceKey, InstanceRecord, InstanceRole},
    routes::{RouteTable, ServiceRule, TrafficLimits},
};

/// A configuration without routes.
pub fn table(version: u64) -> RouteTable {
    RouteTable {
        version,
        routes: Vec::new(),
        services: vec![ServiceRule {
            name: Arc::from("books"),
            max_connections: 16,
            sync_replicas: 0,
        }],
        limits: TrafficLimits { transaction_idle: Duration::from_secs(3) },
        workspaces: None,
        source: Arc::from(format!("{{\"version\":{version}}}")),
    }
}

/// A database of the service `books`.
pub fn instance(id: &str, born_ms: u64, role: InstanceRole) -> InstanceRecord {
    let port = 8_000 + id.bytes().map(u16::from).sum::<u16>() + (born_ms % 100) as u16;
    InstanceRecord {
        key: InstanceKey { id: Arc::from(id), born_ms },
        sequence: 1,
        service: Arc::from("books"),
        address: ([10, 0, 0, 9], port).into(),
        data_centre: Arc::from("a"),
        slots: 2,
        draining: false,
        role,
        warm_up: Duration::ZERO,
    }
}

/// One of many databases, with an address of its own.
pub fn numbered_instance(number: u64, role: InstanceRole) -> InstanceRecord {
    InstanceRecord {
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 5_432).into(),
        ..instance(&format!("i-{number}"), 1, role)
    }
}

/// The renewal of an entry host that has received and applied the state at this index.
pub fn renewal(
    sent_at: Moment,
    applied: u64,
    routes_version: u64,
    follows: Option<HostId>,
) -> EntryReport {
    let received = Some(applied);
    EntryReport::Renew { sent_at, applied, received, routes_version, follows, leaving: false }
}

/// The departure of a database.
pub fn departure_of(record: &InstanceRecord) -> InstanceDeparture {
    InstanceDeparture { id: record.key.id.clone(), born_ms: Some(record.key.born_ms) }
}
