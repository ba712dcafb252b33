use tokio::time::Duration;

use super::upstream_link::AnswerEnd;
use crate::edges::{CallerRefusal, UpstreamCode};

/// Hint of the refusal by a host that is cut off from control.
pub(super) const CUT_OFF_HINT: &str =
    "this host is cut off from control; try again at once elsewhere";

/// Reply to a caller's statement.
pub(super) enum CallerReply {
    /// Success without involving a database.
    Done,
    /// The answer of a database, unchanged.
    Relayed {
        /// Encoded rows and result or refusal.
        body: Vec<u8>,
        /// Whether it is a result or a refusal.
        end: AnswerEnd,
    },
    /// Refused by this host, with a hint for the caller.
    Refused(CallerRefusal, &'static str),
    /// Refused by this host without being run; the hint states the reason and the time
    /// after which it may be tried again.
    RefusedFor(&'static str, Duration),
}

impl CallerReply {
    /// True for a refusal that promises that nothing was run.
    pub(super) fn is_not_run(&self) -> bool {
        match self {
            Self::Refused(CallerRefusal::NotRun, _) | Self::RefusedFor(..) => true,
            Self::Relayed { end, .. } => *end == AnswerEnd::Refused(UpstreamCode::Busy),
            Self::Done | Self::Refused(..) => false,
        }
    }
}
