//! The voter's journal: checksummed records that count only once they are
//! synced.

mod journal_file;
mod journal_service;

pub use journal_file::JournalFile;
pub use journal_service::{JournalArguments, JournalMessage, JournalService};
