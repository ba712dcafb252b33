use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::clock::Moment;

/// Time in which recorded work loses half of its weight.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Work below which a workspace is forgotten, in milliseconds.
const FORGOTTEN_MS: f64 = 0.1;
/// Workspaces that are tracked at most; further ones count as having done no work.
const MAX_WORKSPACES: usize = 512;

/// Time that each workspace's statements took at a database in about the last second.
#[derive(Debug, Default)]
pub struct WorkspaceWork {
    /// Work in milliseconds, and when it was recorded.
    by_workspace: BTreeMap<Arc<str>, (f64, Moment)>,
}

impl WorkspaceWork {
    /// Records the time that a statement of a workspace took.
    pub fn record(&mut self, now: Moment, workspace: &Arc<str>, took: Duration) {
        let known = self.by_workspace.contains_key(workspace);
        if !known && self.by_workspace.len() >= MAX_WORKSPACES {
            self.by_workspace.retain(|_, entry| decayed_ms(*entry, now) >= FORGOTTEN_MS);
            if self.by_workspace.len() >= MAX_WORKSPACES {
                return;
            }
        }
        let entry = self.by_workspace.entry(workspace.clone()).or_insert((0.0, now));
        *entry = (decayed_ms(*entry, now) + took.as_secs_f64() * 1_000.0, now);
    }

    /// Recent work of a workspace, in whole milliseconds; zero without a workspace.
    pub fn recent(&self, now: Moment, workspace: Option<&Arc<str>>) -> Duration {
        let entry = workspace.and_then(|workspace| self.by_workspace.get(workspace));
        Duration::from_millis(entry.map_or(0.0, |entry| decayed_ms(*entry, now)) as u64)
    }
}

fn decayed_ms((work_ms, at): (f64, Moment), now: Moment) -> f64 {
    work_ms * (-now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}
