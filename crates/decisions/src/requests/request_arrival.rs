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
    /// A database that holds the session's position and is at most this old.
    BoundedStaleness(Duration),
}

/// Where the session's position comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PositionSource {
    /// The caller's connection or token holds it.
    Known(LogPosition),
    /// Other proxies may serve the same session; its position hosts are
    /// asked. The position is at least the one given.
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
    /// Where its session's position comes from.
    pub position_source: PositionSource,
    /// The session under which positions are stored, if the caller named one.
    pub session: Option<SessionId>,
    /// It opens a transaction, which holds its connection between statements.
    pub transaction: bool,
    /// Who sends it; waiting requests of different names take turns.
    pub caller: Arc<str>,
    /// Another host forwarded it, so that it is served here or refused.
    pub forwarded: bool,
    /// When the answer must be given.
    pub deadline: Moment,
}
