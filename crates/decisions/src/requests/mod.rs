//! Requests of callers on their way through a host.

mod request_arrival;
mod request_record;

pub use request_arrival::{MarkSource, RequestArrival, RequestKind};
pub use request_record::{RequestPhase, RequestRecord};
