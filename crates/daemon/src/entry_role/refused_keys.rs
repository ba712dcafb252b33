use std::cell::Cell;

use super::{caller_admission::StatementCaller, entry_shared::EntryShared};

/// Lines about refused keys and closed sessions that are written in one second: a
/// removed key can end thousands of sessions at once.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Counts and logs refused keys.
#[derive(Debug, Default)]
pub(super) struct RefusedKeys {
    second: Cell<u64>,
    written: Cell<u32>,
}

impl RefusedKeys {
    /// Records that a caller was refused: at its session's start if it has no
    /// workspace yet, else because its key was removed or moved.
    pub(super) fn record(&self, shared: &EntryShared, database: &str, caller: &StatementCaller) {
        shared.metrics.count_refused_key(caller.workspace.is_some());
        if !self.reserve_line(shared) {
            shared.metrics.count_left_out("key", 1);
            return;
        }
        let key = caller.key.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string);
        let version = shared.view.borrow().routes_version();
        match &caller.workspace {
            Some(workspace) => tracing::info!(
                target: "entry",
                key,
                %workspace,
                database,
                version,
                "key removed or moved to another workspace; session closed"
            ),
            None => tracing::info!(
                target: "entry",
                key,
                database,
                version,
                "key belongs to no workspace; session refused"
            ),
        }
    }

    fn reserve_line(&self, shared: &EntryShared) -> bool {
        let second = shared.now().as_micros() / 1_000_000;
        if second != self.second.replace(second) {
            self.written.set(0);
        }
        let written = self.written.get();
        self.written.set(written.saturating_add(1));
        written < MAX_LINES_PER_SECOND
    }
}
