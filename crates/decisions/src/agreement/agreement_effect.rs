use super::{AgreementMessage, EntryPayload, JournalRecord, StateSnapshot};
use crate::identity::HostId;

/// An input of [`AgreementState::step`](super::AgreementState::step).
#[derive(Debug, Clone)]
pub enum AgreementEvent {
    /// A timer may have expired.
    Tick,
    /// A message arrived from this voter or learner.
    Received(HostId, AgreementMessage),
    /// The journal has synced all records up to this persist number.
    Persisted(u64),
}

/// An output of the agreement; effects must be executed in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum AgreementEffect {
    /// Send a message to a voter or learner.
    Send(HostId, AgreementMessage),
    /// Append the records to the journal, sync it, then report the number with
    /// [`AgreementEvent::Persisted`].
    Persist {
        /// Persist number, one higher for each batch.
        number: u64,
        /// Records in the order of the journal.
        records: Vec<JournalRecord>,
    },
    /// An entry is committed; reported once per entry, in log order.
    Committed {
        /// Log index of the entry.
        index: u64,
        /// Content of the entry.
        payload: EntryPayload,
    },
    /// A snapshot from the leader replaces the replicated state.
    Installed(Box<StateSnapshot>),
    /// This host became leader of this term.
    Elected(u64),
    /// This host is no longer leader.
    SteppedDown,
}
