use std::{fmt, sync::Arc};

use hawthornstack_decisions::{
    identity::HostId,
    instances::{InstanceKey, InstanceRecord},
};

/// What the connections of a pool are used for.
#[derive(Debug, Clone)]
pub(super) enum PoolTarget {
    /// Statements at one database.
    Database(InstanceRecord),
    /// Reads of a service, for which a gateway chooses the database.
    Service(Arc<str>),
}

impl PoolTarget {
    pub(super) fn service(&self) -> &Arc<str> {
        match self {
            Self::Database(record) => &record.service,
            Self::Service(service) => service,
        }
    }

    pub(super) fn instance_id(&self) -> Option<&str> {
        self.record().map(|record| &*record.key.id)
    }

    pub(super) fn record(&self) -> Option<&InstanceRecord> {
        match self {
            Self::Database(record) => Some(record),
            Self::Service(_) => None,
        }
    }

    /// Slots of the database, for the first size of the window of statements. A gateway
    /// that chooses the database stands for several, and is assumed to have one until its
    /// answers tell: with an open window, bursts reached gateways that could not place
    /// them.
    pub(super) fn slots(&self) -> u32 {
        self.record().map_or(1, |record| record.slots)
    }

    pub(super) fn key(&self) -> TargetKey {
        match self {
            Self::Database(record) => TargetKey::Database(record.key.clone()),
            Self::Service(service) => TargetKey::Service(service.clone()),
        }
    }
}

/// Identity of a [`PoolTarget`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum TargetKey {
    Database(InstanceKey),
    Service(Arc<str>),
}

impl fmt::Display for TargetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Database(key) => key.fmt(f),
            Self::Service(service) => service.fmt(f),
        }
    }
}

/// A target and the gateway through which it is reached, if any.
pub(super) type PoolKey = (TargetKey, Option<HostId>);
