use serde::{Deserialize, Serialize};

/// What is known about a request when it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran; a write is held by a majority of its group.
    Ran,
    /// The request did not take effect and can safely be sent again.
    DidNotRun,
    /// The request may have run.
    Unknown,
}
