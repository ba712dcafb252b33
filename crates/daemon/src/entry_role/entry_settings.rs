use std::{net::SocketAddr, sync::Arc, time::Duration};

use hawthornstack_decisions::identity::HostId;

/// Settings of an entry host, fixed when it starts.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of the host; databases see it as the name of their client.
    pub name: Arc<str>,
    /// Identifier of this host, from which its address is derived.
    pub host: HostId,
    /// Data centre of the host; reads prefer databases in it.
    pub data_centre: Arc<str>,
    /// Address on which it accepts callers.
    pub callers: SocketAddr,
    /// Control hosts to contact first; they name the others.
    pub seeds: Vec<HostId>,
    /// Port on which control hosts accept links.
    pub link_port: u16,
    /// Port on which entry hosts accept forwarded statements from each other.
    pub forward_port: u16,
    /// Time between the stop request and the exit of the process.
    pub grace: Duration,
}
