use super::{AgreementMessage, EntryPayload, JournalRecord, StateSnapshot};
use crate::identity::HostId;

/// Input of the agreement.
#[derive(Debug, Clone)]
pub enum AgreementEvent {
    /// Time passed.
    Tick,
    /// A voter sent a message.
    Received(HostId, AgreementMessage),
    /// All records up to this persist number are synced.
    Persisted(u64),
}

/// Output of the agreement, in the order in which it must be carried out.
#[derive(Debug, Clone, PartialEq)]
pub enum AgreementEffect {
    /// Send a message to a voter.
    Send(HostId, AgreementMessage),
    /// Append the records to the journal, sync, then report the number.
    Persist {
        /// Number to report back.
        number: u64,
        /// Records in order.
        records: Vec<JournalRecord>,
    },
    /// An entry is committed; comes once each, in order.
    Committed {
        /// Index of the entry.
        index: u64,
        /// What it carries.
        payload: EntryPayload,
    },
    /// The configuration is replaced by a snapshot.
    Installed(Box<StateSnapshot>),
    /// This host became leader of the term.
    Elected(u64),
    /// This host is no longer leader.
    SteppedDown,
}
