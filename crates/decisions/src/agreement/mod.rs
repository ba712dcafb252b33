//! Agreement among the control voters on one log of commands.
//!
//! Elections use a pre-vote and a leader lease, a leader steps down without a
//! quorum, and nothing counts before it is synced.

mod agreement_effect;
mod agreement_message;
mod agreement_state;
mod election;
mod entry_log;
mod journal_record;
mod replication;
mod start_inquiry;

pub use agreement_effect::{AgreementEffect, AgreementEvent};
pub use agreement_message::{
    AgreementMessage, AppendMessage, AppendReply, InquiryReply, VoteReply, VoteRequest,
};
pub use agreement_state::{AgreementSettings, AgreementState, COMPACTION_ENTRIES, ProposeError};
pub use entry_log::EntryLog;
pub use journal_record::{
    AdmittedVoter, EntryPayload, HardState, JournalRecord, LogEntry, StateSnapshot,
};
