use std::{sync::Arc, time::Duration};

use crate::{
    clock::Moment,
    identity::{GroupName, RequestId, SessionId},
    positions::LogPosition,
};

/// Which databases may serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// The primary only.
    Write,
    /// A database that holds the session's position.
    SessionRead,
    /// A database that holds the session's position and whose data is at most this
    /// old.
    BoundedStaleness(Duration),
}

/// Source of the session's position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PositionSource {
    /// The caller's connection or token holds it.
    Known(LogPosition),
    /// Other hosts may serve the same session, so its position hosts are asked.
    /// The position is at least the one given.
    PositionHosts(LogPosition),
}

/// A request that needs a connection to a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestArrival {
    /// Number of the request on this host.
    pub request: RequestId,
    /// The group it is for.
    pub group: GroupName,
    /// Which databases may serve it.
    pub kind: RequestKind,
    /// Source of its session's position.
    pub position_source: PositionSource,
    /// The session under which positions are stored, if the caller named one.
    pub session: Option<SessionId>,
    /// True if it opens a transaction, which holds its connection between statements.
    pub transaction: bool,
    /// Name of the caller; waiting requests of different callers take turns.
    pub caller: Arc<str>,
    /// True if another host forwarded it: it is served here or refused, not forwarded
    /// again.
    pub forwarded: bool,
    /// Time by which it must be answered.
    pub deadline: Moment,
}
