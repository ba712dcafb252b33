//! Announcements of databases for tests of one service.

#![allow(missing_docs)]

use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::instances::{InstanceKey, InstanceRecord, InstanceRole};

pub const SERVICE: &str = "books";

/// First announcement of a database of `SERVICE` that serves.
pub fn record(id: &str, role: InstanceRole, port: u16) -> InstanceRecord {
    InstanceRecord {
        key: InstanceKey { id: Arc::from(id), born_ms: 1 },
        sequence: 1,
        service: Arc::from(SERVICE),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: Arc::from("a"),
        slots: 2,
        draining: false,
        role,
        warm_up: Duration::ZERO,
    }
}
