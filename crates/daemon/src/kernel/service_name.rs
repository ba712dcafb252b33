use hawthornstack_decisions::identity::HostId;
use ractor::{ActorRef, Message};

/// Services of a daemon, by the name under which they find each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceName {
    /// The host's decisions.
    Host,
    /// The voter's journal.
    Journal,
    /// Links to other hosts.
    Peers,
    /// Reports of and orders to databases.
    Upstreams,
}

impl ServiceName {
    /// The word for it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Journal => "journal",
            Self::Peers => "peers",
            Self::Upstreams => "upstreams",
        }
    }

    /// The name in the registry, unique also with several daemons in one
    /// process.
    pub fn path(self, host: HostId, run: u64) -> String {
        format!("{host}/{run:x}/{}", self.as_str())
    }

    /// Finds the service of a daemon; `None` before its start and after its
    /// end.
    pub fn find<M: Message>(self, host: HostId, run: u64) -> Option<ActorRef<M>> {
        ActorRef::where_is(self.path(host, run))
    }
}
