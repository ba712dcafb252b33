use crate::{instances::InstanceRecord, positions::LogPosition};

/// What a read must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRequirement {
    /// Every acknowledged commit; only the primary guarantees that.
    Latest,
    /// Every commit up to this position.
    Position {
        /// The position.
        position: LogPosition,
        /// True if replicas without unusual lag hold the position.
        likely_replicated: bool,
    },
}

/// Database that a read is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadTarget {
    /// The primary, if it may be used.
    Primary,
    /// This replica, which must hold the position.
    Replica {
        /// The replica.
        record: InstanceRecord,
        /// The position.
        position: LogPosition,
    },
}
