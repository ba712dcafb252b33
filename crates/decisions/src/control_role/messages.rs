use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    agreement::AgreementMessage,
    clock::Moment,
    identity::HostId,
    instances::{InstanceDeparture, InstanceRecord},
    primaries::ServiceTerm,
    routes::PackedRoutes,
};

/// Messages between control hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Agreement on the log.
    Agreement(AgreementMessage),
    /// Control hosts that the sender knows.
    Peers(Vec<HostId>),
    /// Databases announced themselves at the sender.
    Announced(Vec<InstanceRecord>),
    /// Databases said that they are gone.
    Departed(Vec<InstanceDeparture>),
    /// Databases were silent for too long; they may come back.
    Expired(Vec<InstanceDeparture>),
}

/// What an entry host tells a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryReport {
    /// Asks for a lease and says what is applied.
    Renew {
        /// When it asked, on its own clock; echoed.
        sent_at: Moment,
        /// Index of control's log that it has applied.
        applied: u64,
        /// Version of the configuration that it has.
        routes_version: u64,
        /// It is stopping and must not be a gateway.
        leaving: bool,
    },
    /// Whether it reaches a primary.
    PrimaryReachable {
        /// The service.
        service: Arc<str>,
        /// The term.
        number: u64,
        /// False if connections to it fail.
        reachable: bool,
    },
}

/// What a control host tells an entry host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryUpdate {
    /// A lease, counted from the moment it was asked for.
    Grant {
        /// Echo of the holder's time.
        sent_at: Moment,
        /// Length of the lease.
        duration: Duration,
        /// Index that must be applied before the lease counts.
        required_index: u64,
        /// Entry hosts that share the databases' connections.
        entry_hosts: u32,
    },
    /// The sender does not lead.
    NotLeader {
        /// The leader, if known.
        leader: Option<HostId>,
    },
    /// The committed state that entry hosts follow.
    State {
        /// Index of the log.
        index: u64,
        /// The configuration, if newer than what the host has.
        routes: Option<Arc<PackedRoutes>>,
        /// Primaries.
        terms: Vec<ServiceTerm>,
    },
    /// Control hosts that the sender knows.
    Hosts(Vec<HostId>),
    /// Entry hosts that may be gateways of databases.
    EntryHosts(Vec<HostId>),
    /// Databases announced themselves.
    Announced(Vec<InstanceRecord>),
    /// Databases said that they are gone.
    Departed(Vec<InstanceDeparture>),
    /// Databases were silent for too long; they may come back.
    Expired(Vec<InstanceDeparture>),
    /// Asks whether the host reaches a primary.
    Probe {
        /// The service.
        service: Arc<str>,
        /// The term.
        number: u64,
    },
}

/// Who opens a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkRole {
    /// A control host.
    Control,
    /// An entry host.
    Entry,
}

/// One frame between two hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LinkFrame {
    /// The first frame of a link.
    Hello {
        /// Who opens it.
        role: LinkRole,
        /// Number of the host.
        host: HostId,
    },
    /// Between control hosts.
    Control(Box<ControlMessage>),
    /// From an entry host.
    Report(EntryReport),
    /// To an entry host.
    Update(EntryUpdate),
}
