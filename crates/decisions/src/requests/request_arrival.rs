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
    /// A database that holds the session's mark.
    SessionRead,
    /// A database that holds the session's mark and is at most this old.
    AgedRead(Duration),
}

/// Where the session's mark comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MarkSource {
    /// The caller's connection or token holds it.
    Known(LogPosition),
    /// Other proxies may serve the same session; its keepers are asked. The
    /// mark is at least the one given.
    Keepers(LogPosition),
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
    /// Where its session's mark comes from.
    pub mark: MarkSource,
    /// The session under which marks are kept, if the caller named one.
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
