use std::{net::SocketAddr, time::Duration};

use super::{OperatorAnswer, PeerMessage};
use crate::{
    agreement::JournalRecord,
    failover::DatabaseOrder,
    identity::{DatabaseName, HostId, RequestId},
    outcomes::ResultCode,
    positions::LogPosition,
};

/// A gateway and the address at which it accepts forwarded requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayAddress {
    /// Number of the gateway.
    pub host: HostId,
    /// Its address for callers, which forwarded requests use too.
    pub address: SocketAddr,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestResult {
    /// Result code for the caller.
    pub result: ResultCode,
    /// New position of the session; `None` if it did not change.
    pub session_position: Option<LogPosition>,
    /// Expected wait of the queue, if the request was refused because it is full.
    pub retry_after: Option<Duration>,
}

/// Output of `HostState::step`; the effects must be executed in order.
#[derive(Debug, Clone)]
pub enum HostEffect {
    /// Send a message to another host.
    Send(HostId, PeerMessage),
    /// Append records to the journal, sync it, then return the number in
    /// `HostEvent::Persisted`.
    Persist {
        /// Number of these records, to be returned.
        number: u64,
        /// Records in order.
        records: Vec<JournalRecord>,
    },
    /// Start polling a database for its status.
    Watch {
        /// The database.
        database: DatabaseName,
        /// Where it accepts PostgreSQL connections.
        address: SocketAddr,
    },
    /// Stop polling a database and close idle connections to it.
    Unwatch(DatabaseName),
    /// Send an order to a database and return its answer in
    /// `HostEvent::OrderAnswered`.
    Order {
        /// The database.
        database: DatabaseName,
        /// Where it accepts PostgreSQL connections.
        address: SocketAddr,
        /// The order.
        order: DatabaseOrder,
    },
    /// Execute a request on a connection to this database.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The database.
        database: DatabaseName,
        /// Where it accepts PostgreSQL connections.
        address: SocketAddr,
        /// The database is the group's primary.
        is_primary: bool,
    },
    /// Forward a request to one of these gateways, nearest first. This host is
    /// not a gateway of the request's group and no longer tracks the request.
    Forward(RequestId, Vec<GatewayAddress>),
    /// Return the result of a request, which is finished.
    Complete(RequestId, RequestResult),
    /// Return the answer to an operator's question.
    Answer {
        /// Number of the question.
        ticket: u64,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// An operator started (true) or ended (false) the draining of this host.
    SetDraining(bool),
    /// An announcement was refused.
    AnnouncementRefused {
        /// The database.
        database: DatabaseName,
        /// Reason for the refusal.
        result: ResultCode,
    },
    /// Write an event to the log.
    Log(String),
}
