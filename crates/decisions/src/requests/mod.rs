//! Callers' requests, their processing phases and their queue on a host.

mod fair_queue;
mod request_arrival;
mod request_record;

pub use fair_queue::FairQueue;
pub use request_arrival::{PositionSource, RequestArrival, RequestKind};
pub use request_record::{RequestPhase, RequestRecord};
