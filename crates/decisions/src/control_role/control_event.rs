use std::{net::SocketAddr, sync::Arc};

use super::{ControlMessage, EntryReport, EntryUpdate};
use crate::{
    agreement::JournalRecord,
    identity::HostId,
    instances::{InstanceDeparture, InstanceKey, InstanceRecord},
    primaries::InstanceStatus,
    routes::RouteTable,
};

/// What an operator asks of a control host.
#[derive(Debug, Clone)]
pub enum OperatorOrder {
    /// Put this configuration in force.
    ReplaceRoutes {
        /// The configuration, already checked.
        table: Arc<RouteTable>,
        /// Wall-clock time, in milliseconds since 1970.
        at_unix_ms: u64,
    },
    /// Read the configuration in force.
    ReadRoutes,
}

/// Answer to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is in force, or a newer one is; durable on a majority.
    Accepted {
        /// Version in force.
        version: u64,
    },
    /// The newest configuration.
    Routes(Arc<RouteTable>),
    /// No configuration was given yet.
    NoRoutes,
    /// Another host leads.
    NotLeader(HostId),
    /// This host cannot tell; ask again.
    Unavailable,
}

/// Answer of the call that promotes a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromoteResult {
    /// The database will lead.
    Accepted,
    /// The database does not run.
    NotRunning,
    /// No clear answer.
    Unclear,
}

/// Input of a control host.
#[derive(Debug)]
pub enum ControlEvent {
    /// Time passed.
    Tick,
    /// Another control host opened a link.
    PeerLinked(HostId),
    /// Another control host sent a message.
    Peer(HostId, ControlMessage),
    /// An entry host opened a link.
    EntryLinked(HostId),
    /// The link of an entry host closed.
    EntryClosed(HostId),
    /// An entry host reported.
    Entry(HostId, EntryReport),
    /// Journal records up to this number are synced.
    Persisted(u64),
    /// A database announced itself here.
    Announced(InstanceRecord),
    /// A database said here that it is gone.
    Departed(InstanceDeparture),
    /// A database answered a question for its status, or did not.
    StatusAnswered(InstanceKey, Option<InstanceStatus>),
    /// The call to promote a database ended.
    PromoteAnswered {
        /// The service.
        service: Arc<str>,
        /// The database.
        key: InstanceKey,
        /// How it ended.
        result: PromoteResult,
    },
    /// An operator asks.
    OperatorOrdered {
        /// Number of the order on this host.
        ticket: u64,
        /// The order.
        order: OperatorOrder,
    },
}

/// An event that is written to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlLogEvent {
    /// This host leads from this term on.
    LeadershipGained(u64),
    /// This host no longer leads.
    LeadershipLost,
    /// The voters changed.
    VotersChanged(Vec<HostId>),
    /// A configuration is in force.
    RoutesReplaced(u64),
    /// The primary of a service, or what is done about it, changed.
    TermChanged {
        /// The service.
        service: Arc<str>,
        /// Count of changes.
        number: u64,
        /// What happened, in words.
        what: Arc<str>,
    },
    /// A database appeared or changed.
    InstanceChanged {
        /// The database.
        key: InstanceKey,
        /// What happened, in words.
        what: &'static str,
    },
}

/// Output of a control host, in the order in which it must be carried out.
#[derive(Debug)]
pub enum ControlEffect {
    /// Keep a link to this control host.
    Dial(HostId),
    /// Send a message to a control host.
    SendPeer(HostId, ControlMessage),
    /// Send an update to an entry host.
    SendEntry(HostId, EntryUpdate),
    /// Append records to the journal, sync, then report the number.
    Persist {
        /// Number to report back.
        number: u64,
        /// Records in order.
        records: Vec<JournalRecord>,
    },
    /// Ask a database for its status.
    AskStatus {
        /// The database.
        key: InstanceKey,
        /// Its service.
        service: Arc<str>,
        /// Where it is.
        address: SocketAddr,
    },
    /// Call for the promotion of a database.
    Promote {
        /// The service.
        service: Arc<str>,
        /// The database.
        key: InstanceKey,
        /// Grows with each leader.
        fence: u64,
    },
    /// Answer an order.
    Answer(u64, OrderAnswer),
    /// Write an event to the log.
    Log(ControlLogEvent),
}
