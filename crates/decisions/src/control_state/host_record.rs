use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::{DataCentre, HostId};

/// Committed facts of one host of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Number of the host.
    pub id: HostId,
    /// Where other hosts reach it.
    pub peer_address: SocketAddr,
    /// Where callers, and hosts that forward to it, reach it.
    pub caller_address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: DataCentre,
    /// The host is being emptied and takes no new callers.
    pub draining: bool,
}
