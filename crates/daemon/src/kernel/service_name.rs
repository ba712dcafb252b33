use hawthornstack_decisions::identity::HostId;
use ractor::{ActorRef, Message};

/// Services of a daemon that are registered by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceName {
    /// The service that runs the host's state machine.
    Host,
    /// The journal of a voter; other hosts have none.
    Journal,
    /// The links to other hosts.
    Peers,
    /// Polls databases for reports and sends them orders.
    Upstreams,
}

impl ServiceName {
    /// Last part of the registry name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Journal => "journal",
            Self::Peers => "peers",
            Self::Upstreams => "upstreams",
        }
    }

    /// Name in the actor registry: `HOST/RUN/NAME`, with the run in hexadecimal. The
    /// run keeps it unique if one process runs several daemons.
    pub fn registry_name(self, host: HostId, run_id: u64) -> String {
        format!("{host}/{run_id:x}/{}", self.as_str())
    }

    /// Looks up a daemon's service in the registry; `None` before it starts and after
    /// it stops.
    pub fn find<M: Message>(self, host: HostId, run_id: u64) -> Option<ActorRef<M>> {
        ActorRef::where_is(self.registry_name(host, run_id))
    }
}
