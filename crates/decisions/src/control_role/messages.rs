use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    agreement::AgreementMessage,
    clock::Moment,
    entry_role::DataCentreHosts,
    identity::HostId,
    instances::{InstanceDeparture, InstanceRecord},
    packing::PackedRecords,
    primaries::ServiceTerm,
    routes::PackedRoutes,
    usage::{UsageNeed, UsageShare},
};

/// Message between control hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Message of the agreement on the log.
    Agreement(AgreementMessage),
    /// Control hosts that the sender knows.
    Peers(Vec<HostId>),
    /// Databases that announced themselves to the sender.
    Announced(Vec<InstanceRecord>),
    /// Databases that announced their departure.
    Departed(Vec<InstanceDeparture>),
    /// Databases that sent no announcement for too long; they may announce
    /// themselves again.
    Expired(Vec<InstanceDeparture>),
    /// The sender stops shortly; older builds do not send it.
    Stopping,
}

/// Message from an entry host to a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryReport {
    /// Requests a lease and reports what the entry host has applied.
    Renew {
        /// Time of the request on the entry host's clock, echoed in the grant.
        sent_at: Moment,
        /// Index of the control log that it has applied.
        applied: u64,
        /// Index of the newest state that it has received. At least `applied`, which
        /// waits for open writes; older builds do not send it, and take all terms only.
        #[serde(default)]
        received: Option<u64>,
        /// Version of the configuration that it has.
        routes_version: u64,
        /// The leader whose grants it gets on an open link; older builds do not send it.
        #[serde(default)]
        follows: Option<HostId>,
        /// True if it is shutting down and must not be a gateway.
        leaving: bool,
    },
    /// Reports whether the entry host can reach a primary.
    PrimaryReachable {
        /// The service.
        service: Arc<str>,
        /// Number of the service's term.
        number: u64,
        /// False if connections to it fail.
        reachable: bool,
    },
    /// Requests tokens of workspaces with a cap.
    UsageRequest {
        /// Time of the request on the entry host's clock, echoed in the grant.
        sent_at: Moment,
        /// Workspaces that are short of tokens.
        needs: Vec<UsageNeed>,
    },
}

/// Message from a control host to an entry host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryUpdate {
    /// A lease, counted from the time of its request.
    Grant {
        /// Time of the request on the holder's clock.
        sent_at: Moment,
        /// Length of the lease.
        duration: Duration,
        /// Index that the holder must have applied for the lease to be valid.
        required_index: u64,
        /// Number of entry hosts that share the databases' connections.
        entry_hosts: u32,
    },
    /// Names the leader: sent on a new link, by a new leader, and in place of a
    /// grant.
    NotLeader {
        /// The leader, if known to the sender.
        leader: Option<HostId>,
    },
    /// Committed state that entry hosts apply.
    State {
        /// Index of the control log.
        index: u64,
        /// Index that the host must have received, as `terms` holds just the changes
        /// since then; 0 if `terms` is complete.
        #[serde(default)]
        since: u64,
        /// The configuration, if newer than the host's.
        routes: Option<Arc<PackedRoutes>>,
        /// Terms of the services that changed.
        terms: Vec<ServiceTerm>,
        /// The terms instead of `terms`, if they are many.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        packed_terms: Option<Arc<PackedRecords<ServiceTerm>>>,
    },
    /// Control hosts that the sender knows.
    Hosts(Vec<HostId>),
    /// Entry hosts that may be gateways of databases, to an entry host that did not
    /// name its data centre.
    EntryHosts(Vec<HostId>),
    /// Entry hosts that may be gateways of databases, by data centre.
    GatewayHosts(Vec<DataCentreHosts>),
    /// Databases that announced themselves.
    Announced(Vec<InstanceRecord>),
    /// Many databases that announced themselves.
    PackedInstances(Arc<PackedRecords<InstanceRecord>>),
    /// Databases that announced their departure.
    Departed(Vec<InstanceDeparture>),
    /// Databases that sent no announcement for too long; they may announce
    /// themselves again.
    Expired(Vec<InstanceDeparture>),
    /// Asks whether the entry host can reach a primary.
    Probe {
        /// The service.
        service: Arc<str>,
        /// Number of the service's term.
        number: u64,
    },
    /// Tokens for the workspaces of a [`EntryReport::UsageRequest`].
    UsageGrant {
        /// Time of the request on the holder's clock.
        sent_at: Moment,
        /// Time for which the tokens are valid, counted from the request.
        lifetime: Duration,
        /// Tokens by workspace.
        grants: Vec<UsageShare>,
    },
}

/// Role of the host that opens a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkRole {
    /// A control host.
    Control,
    /// An entry host.
    Entry,
}

/// Frame of a link between two hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LinkFrame {
    /// The first frame of a link.
    Hello {
        /// Role of the host that opens the link.
        role: LinkRole,
        /// Number of that host.
        host: HostId,
        /// Data centre of an entry host; older builds do not send it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        data_centre: Option<Arc<str>>,
        /// True from an entry host that reads packed records; older builds do not send it.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        unpacks_records: bool,
    },
    /// Message between control hosts.
    Control(Box<ControlMessage>),
    /// Message from an entry host.
    Report(EntryReport),
    /// Message to an entry host.
    Update(EntryUpdate),
}

impl LinkFrame {
    /// The kind of message, as metrics label it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Control(message) => message.kind(),
            Self::Report(_) => "report",
            Self::Update(update) => update.kind(),
        }
    }
}

impl ControlMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Agreement(AgreementMessage::Append(append)) if append.entries.is_empty() => {
                "heartbeat"
            }
            Self::Agreement(AgreementMessage::Append(_)) => "log_entries",
            Self::Agreement(AgreementMessage::InstallSnapshot { .. }) => "snapshot",
            Self::Agreement(_) => "agreement",
            Self::Peers(_) | Self::Stopping => "peers",
            Self::Announced(_) | Self::Departed(_) | Self::Expired(_) => "instances",
        }
    }
}

impl EntryUpdate {
    fn kind(&self) -> &'static str {
        match self {
            Self::Grant { .. } => "grant",
            Self::NotLeader { .. } => "leader",
            Self::State { routes: Some(_), .. } => "configuration",
            Self::State { routes: None, .. } => "terms",
            Self::Hosts(_) | Self::EntryHosts(_) | Self::GatewayHosts(_) => "hosts",
            Self::Announced(_)
            | Self::PackedInstances(_)
            | Self::Departed(_)
            | Self::Expired(_) => "instances",
            Self::Probe { .. } => "probe",
            Self::UsageGrant { .. } => "usage_grant",
        }
    }
}
