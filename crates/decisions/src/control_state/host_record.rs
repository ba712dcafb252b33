use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::{DataCentre, HostId};

/// Committed record of one host of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Number of the host, unique in the system.
    pub id: HostId,
    /// Address for connections from other hosts.
    pub peer_address: SocketAddr,
    /// Address for callers, and for hosts that forward requests to it.
    pub caller_address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// The host is draining: it accepts no new callers.
    pub draining: bool,
}
