use std::{net::SocketAddr, time::Duration};

use super::{OperatorAnswer, PeerMessage};
use crate::{
    agreement::JournalRecord,
    failover::DatabaseOrder,
    identity::{DatabaseName, HostId, RequestId},
    outcomes::ResultCode,
    positions::LogPosition,
};

/// A gateway and where it accepts forwarded requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayAddress {
    /// The gateway.
    pub host: HostId,
    /// Where it accepts callers.
    pub address: SocketAddr,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestResult {
    /// How it ended.
    pub result: ResultCode,
    /// The session's position from now on, if it changed.
    pub session_position: Option<LogPosition>,
    /// When a refused request has a chance again.
    pub retry_after: Option<Duration>,
}

/// Output of a host, in the order in which it must be carried out.
#[derive(Debug, Clone)]
pub enum HostEffect {
    /// Send a message to another host.
    Send(HostId, PeerMessage),
    /// Append records to the journal, sync, then report the number.
    Persist {
        /// Number to report back.
        number: u64,
        /// Records in order.
        records: Vec<JournalRecord>,
    },
    /// Keep asking a database for its report.
    Watch {
        /// The database.
        database: DatabaseName,
        /// Where it is.
        address: SocketAddr,
    },
    /// Stop asking, and close idle connections to it.
    Unwatch(DatabaseName),
    /// Give an order to a database and report its answer.
    Order {
        /// The database.
        database: DatabaseName,
        /// Where it is.
        address: SocketAddr,
        /// The order.
        order: DatabaseOrder,
    },
    /// The request may use a connection to this database.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The database.
        database: DatabaseName,
        /// Where it is.
        address: SocketAddr,
        /// The database is the group's primary.
        is_primary: bool,
    },
    /// This host is no gateway of the request's group: one of these is to run it,
    /// the nearest first. The request is over here.
    Forward(RequestId, Vec<GatewayAddress>),
    /// The request is over.
    Complete(RequestId, RequestResult),
    /// Answer to an operator's question.
    Answer {
        /// Number of the question.
        ticket: u64,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// An operator drains this host, or takes it back.
    SetDraining(bool),
    /// An announcement was refused.
    AnnouncementRefused {
        /// The database.
        database: DatabaseName,
        /// Why.
        result: ResultCode,
    },
    /// Write an event to the log.
    Log(String),
}
