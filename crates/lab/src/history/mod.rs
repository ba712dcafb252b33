//! Recorded histories of concurrent runs, and what they prove.

mod checker;
mod recorded_event;

pub use checker::{FinalState, HistoryReport, check_history};
pub use recorded_event::{OperationKind, OperationResult, RecordedOperation};
