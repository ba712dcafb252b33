use std::{net::SocketAddr, sync::Arc};

use super::{ControlMessage, EntryReport, EntryUpdate};
use crate::{
    agreement::JournalRecord,
    clock::Moment,
    identity::HostId,
    instances::{InstanceDeparture, InstanceKey, InstanceRecord},
    primaries::InstanceStatus,
    routes::RouteTable,
    usage::CapChange,
};

/// Order of an operator to a control host.
#[derive(Debug, Clone)]
pub enum OperatorOrder {
    /// Replace the configuration.
    ReplaceRoutes {
        /// The new configuration, already validated.
        table: Arc<RouteTable>,
        /// Wall-clock time, in milliseconds since 1970.
        at_unix_ms: u64,
    },
    /// Read the current configuration.
    ReadRoutes,
}

/// Answer to an [`OperatorOrder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAnswer {
    /// This configuration, or a newer one, is current and durable on a
    /// majority.
    Accepted {
        /// Version of the current configuration.
        version: u64,
    },
    /// The current configuration.
    Routes(Arc<RouteTable>),
    /// No configuration has been committed yet.
    NoRoutes,
    /// Another host is the leader.
    NotLeader(HostId),
    /// The order got no definite answer and may be repeated; a new
    /// configuration may still be committed.
    Unavailable,
}

/// Result of a call that promotes a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromoteResult {
    /// The database will become primary.
    Accepted,
    /// The database is not running.
    NotRunning,
    /// The call failed or gave no definite answer.
    Unclear,
}

/// What an entry host says of itself when it opens a link.
#[derive(Debug, Clone, Default)]
pub struct EntryHello {
    /// Its data centre; older builds do not name it.
    pub data_centre: Option<Arc<str>>,
    /// True if it reads packed records.
    pub unpacks_records: bool,
}

/// Input of a control host.
#[derive(Debug)]
pub enum ControlEvent {
    /// Time has passed.
    Tick,
    /// This process stops shortly.
    Stopping,
    /// Another control host opened a link.
    PeerLinked(HostId),
    /// Another control host sent a message.
    Peer(HostId, ControlMessage),
    /// An entry host opened a link.
    EntryLinked(HostId, EntryHello),
    /// The link of an entry host closed.
    EntryClosed(HostId),
    /// An entry host sent a report.
    Entry(HostId, EntryReport),
    /// Journal records up to this number are synced.
    Persisted(u64),
    /// A database announced itself to this host.
    Announced(InstanceRecord),
    /// A database announced its departure to this host.
    Departed(InstanceDeparture),
    /// A status request to a database ended.
    StatusAnswered {
        /// The database.
        key: InstanceKey,
        /// Time at which it was asked, from [`ControlEffect::AskStatus`].
        asked_at: Moment,
        /// Its answer, `None` if it gave none.
        status: Option<InstanceStatus>,
    },
    /// The call to promote a database ended.
    PromoteAnswered {
        /// The service.
        service: Arc<str>,
        /// The database.
        key: InstanceKey,
        /// Result of the call.
        result: PromoteResult,
    },
    /// An operator gave an order.
    OperatorOrdered {
        /// Number of the order on this host, repeated in
        /// [`ControlEffect::Answer`].
        ticket: u64,
        /// The order.
        order: OperatorOrder,
    },
}

/// Event that is written to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlLogEvent {
    /// This host became the leader of this term.
    LeadershipGained(u64),
    /// This host is no longer the leader.
    LeadershipLost,
    /// The voters changed.
    VotersChanged(Vec<HostId>),
    /// The configuration of this version is current.
    RoutesReplaced(u64),
    /// The primary of a service, or the phase of its term, changed.
    TermChanged {
        /// The service.
        service: Arc<str>,
        /// Number of the service's term.
        number: u64,
        /// The new state as text.
        what: Arc<str>,
    },
    /// The primary of a service drains and no other database can replace it.
    NoSuccessor {
        /// The service.
        service: Arc<str>,
        /// Number of the service's term.
        number: u64,
        /// The primary.
        primary: InstanceKey,
    },
    /// A database appeared or changed.
    InstanceChanged {
        /// The database.
        key: InstanceKey,
        /// The new state as text.
        what: &'static str,
    },
    /// An announcement was ignored: it names a database of a configured service under a
    /// service that is not configured.
    AnnouncementIgnored(InstanceKey),
    /// A workspace reached its cap, or has not reached it lately.
    CapChanged(CapChange),
}

/// Output of a control host; effects are executed in the order given.
#[derive(Debug)]
pub enum ControlEffect {
    /// Keep a link to this control host.
    Dial(HostId),
    /// Send a message to a control host.
    SendPeer(HostId, ControlMessage),
    /// Send an update to an entry host.
    SendEntry(HostId, EntryUpdate),
    /// Append records to the journal, sync it, then report the number with
    /// [`ControlEvent::Persisted`].
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
        /// Address of the database.
        address: SocketAddr,
        /// Time of the request on this host's clock, to be reported back.
        asked_at: Moment,
    },
    /// Ask the platform to promote a database. The call must end with the lead of the term
    /// `fence`, see [`ControlHost::lead`](super::ControlHost::lead): from then on another
    /// leader may promote another database.
    Promote {
        /// The service.
        service: Arc<str>,
        /// The database.
        key: InstanceKey,
        /// Fencing token, which grows with each leader.
        fence: u64,
    },
    /// End the calls that promote databases of this service; nothing of them may arrive from
    /// now on.
    EndPromotions(Arc<str>),
    /// Answer an order.
    Answer(u64, OrderAnswer),
    /// Write an event to the log.
    Log(ControlLogEvent),
}
