use std::hash::{DefaultHasher, Hash, Hasher};

use hawthornstack_decisions::clock::Moment;
use tokio::time::{Duration, Instant};

use crate::edges::CallerStatement;

/// Time within which a caller repeats an operation that was refused. One that comes
/// later counts as new.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// An operation that was refused without being run. If its caller repeats it, it goes on
/// waiting since its first attempt: what can no longer be answered within its objective
/// does not go before operations that can.
#[derive(Debug)]
pub(super) struct RefusedOperation {
    /// Hash of the text of its first statement; the text itself may be long.
    text_hash: u64,
    /// When its first attempt began to wait.
    pub(super) arrived: Moment,
    refused_at: Instant,
}

impl RefusedOperation {
    pub(super) fn new(statement: &CallerStatement, arrived: Moment) -> Self {
        Self { text_hash: hash_text(statement), arrived, refused_at: Instant::now() }
    }

    /// True if the statement begins the same operation again.
    pub(super) fn is_repeated_by(&self, statement: &CallerStatement) -> bool {
        self.refused_at.elapsed() < RETURN_TIME && self.text_hash == hash_text(statement)
    }
}

fn hash_text(statement: &CallerStatement) -> u64 {
    let mut hasher = DefaultHasher::new();
    statement.text.hash(&mut hasher);
    hasher.finish()
}
