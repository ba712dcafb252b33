use serde::{Deserialize, Serialize};

/// What is known of a request when its answer is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran; a write is held by a majority of its group.
    Ran,
    /// The request certainly did not run and can be sent again.
    DidNotRun,
    /// The request may have run.
    Unknown,
}
