//! Histories of concurrent operations, and checks of their consistency.

mod checker;
mod recorded_operation;

pub use checker::{FinalState, HistoryReport, check_history};
pub use recorded_operation::{OperationKind, OperationResult, RecordedOperation};
