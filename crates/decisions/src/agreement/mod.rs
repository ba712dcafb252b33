//! Consensus among the control voters on one replicated log of commands.
//!
//! Elections use a pre-vote and a leader lease. A leader that loses contact
//! with a quorum steps down. Votes and entries count only once they are synced
//! to disk.

mod agreement_effect;
mod agreement_message;
mod agreement_state;
mod election;
mod entry_log;
mod journal_record;
mod leader_inquiry;
mod replication;
mod voter_changes;
mod voter_quorum;

pub use agreement_effect::{AgreementEffect, AgreementEvent};
pub use agreement_message::{
    AgreementMessage, AppendMessage, AppendReply, InquiryReply, VoteReply, VoteRequest,
};
pub use agreement_state::{AgreementSettings, AgreementState, COMPACTION_ENTRIES, ProposeError};
pub use entry_log::EntryLog;
pub use journal_record::{
    AdmittedVoter, EntryPayload, HardState, JournalRecord, LogEntry, StateSnapshot,
};
