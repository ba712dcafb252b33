use std::{net::SocketAddr, sync::Arc, time::Duration};

use hawthornstack_decisions::identity::HostId;

/// What an entry host is told at its start.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of the host, for logs and databases.
    pub name: Arc<str>,
    /// Number of the host.
    pub me: HostId,
    /// Data centre that it stands in.
    pub data_centre: Arc<str>,
    /// Where it accepts callers.
    pub callers: SocketAddr,
    /// Control hosts that may be asked first.
    pub seeds: Vec<HostId>,
    /// Port on which control hosts accept links.
    pub link_port: u16,
    /// Port on which entry hosts take statements from each other.
    pub forward_port: u16,
    /// Time between a request to stop and the end of the process.
    pub grace: Duration,
}
