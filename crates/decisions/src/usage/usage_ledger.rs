use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{UsageBounds, UsageBucket, UsageNeed, UsageShare};
use crate::{clock::Moment, routes::WorkspaceRule};

/// Shortest time after which a host that got no token requests again: 76 hosts then
/// send at most 760 requests per second for workspaces that demand more than their cap.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// Longest time stated to a host; slow rates are requested again after it.
const MAX_RETRY: Duration = Duration::from_secs(5);
/// Time for which the bucket of a workspace without a cap is kept, so that removing a
/// workspace and adding it again gives it no tokens.
const REMOVED_RETENTION: Duration = Duration::from_secs(5);
/// Removed workspaces that are kept at most.
const MAX_REMOVED: usize = 4_096;
/// Time without a shortage after which a workspace counts as not capped.
const CAPPED_QUIET: Duration = Duration::from_secs(5);
/// Changes between capped and not capped that are reported at most in `CHANGE_PERIOD`.
const MAX_CHANGES: u32 = 20;
/// Period of `MAX_CHANGES`.
const CHANGE_PERIOD: Duration = Duration::from_secs(10);

/// A change between capped and not capped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapChange {
    /// The workspace.
    pub workspace: Arc<str>,
    /// True if its bucket ran out, false if it did not run out lately.
    pub capped: bool,
}

#[derive(Debug)]
struct KnownWorkspace {
    bucket: UsageBucket,
    removed_at: Option<Moment>,
    /// Time of the last shortage, while the workspace counts as capped.
    short_at: Option<Moment>,
}

/// The leader's token buckets by workspace.
#[derive(Debug)]
pub struct UsageLedger {
    bounds: UsageBounds,
    version: Option<u64>,
    known: HashMap<Arc<str>, KnownWorkspace>,
    /// Number of workspaces that count as capped.
    capped: usize,
    changes: Vec<CapChange>,
    /// Start of the current `CHANGE_PERIOD`, and the changes reported in it.
    reported: (Moment, u32),
}

impl UsageLedger {
    /// A ledger without a configuration.
    pub fn new(bounds: UsageBounds) -> Self {
        Self {
            bounds,
            version: None,
            known: HashMap::new(),
            capped: 0,
            changes: Vec::new(),
            reported: (Moment::ZERO, 0),
        }
    }

    /// Applies the caps of the configuration of this version, unless it is in force.
    pub fn follow(&mut self, now: Moment, version: u64, rules: Option<&[WorkspaceRule]>) {
        if self.version == Some(version) {
            return;
        }
        self.version = Some(version);
        for known in self.known.values_mut() {
            known.removed_at = known.removed_at.or(Some(now));
        }
        for rule in rules.unwrap_or_default() {
            let Some(cap) = rule.cap else {
                continue;
            };
            match self.known.get_mut(&rule.name) {
                Some(known) => {
                    known.bucket.set_cap(now, cap);
                    known.removed_at = None;
                }
                None => {
                    let bucket = UsageBucket::new(now, cap, self.bounds);
                    let known = KnownWorkspace { bucket, removed_at: None, short_at: None };
                    self.known.insert(rule.name.clone(), known);
                }
            }
        }
        self.drop_removed(now);
    }

    fn drop_removed(&mut self, now: Moment) {
        let mut kept = 0;
        self.known.retain(|_, known| match known.removed_at {
            None => true,
            Some(at) => {
                kept += 1;
                kept <= MAX_REMOVED && now.since(at) <= REMOVED_RETENTION
            }
        });
        self.capped = self.known.values().filter(|known| known.short_at.is_some()).count();
    }

    /// Takes tokens for an entry host.
    pub fn grant(&mut self, now: Moment, needs: &[UsageNeed]) -> Vec<UsageShare> {
        needs.iter().map(|need| self.grant_one(now, need)).collect()
    }

    fn grant_one(&mut self, now: Moment, need: &UsageNeed) -> UsageShare {
        let workspace = need.workspace.clone();
        let known = self.known.get_mut(&workspace).filter(|known| known.removed_at.is_none());
        let Some(known) = known else {
            // The host has an older configuration and will soon have this one.
            return UsageShare { workspace, tokens: 0, retry_after: MIN_RETRY };
        };
        let tokens = known.bucket.take(now, need.tokens);
        if tokens < need.tokens && known.short_at.replace(now).is_none() {
            self.capped += 1;
            self.changes.push(CapChange { workspace: workspace.clone(), capped: true });
        }
        let retry_after = match tokens {
            0 => known.bucket.next_token(now).unwrap_or(MAX_RETRY).clamp(MIN_RETRY, MAX_RETRY),
            _ => Duration::ZERO,
        };
        UsageShare { workspace, tokens, retry_after }
    }

    /// Time for which granted tokens are valid.
    pub fn lifetime(&self) -> Duration {
        self.bounds.lifetime
    }

    /// Changes between capped and not capped since the last call, for the log; no more
    /// than `MAX_CHANGES` in each `CHANGE_PERIOD`.
    pub fn take_changes(&mut self, now: Moment) -> Vec<CapChange> {
        if self.capped > 0 {
            self.end_quiet_caps(now);
        }
        if self.changes.is_empty() {
            return Vec::new();
        }
        let mut changes = std::mem::take(&mut self.changes);
        if now.since(self.reported.0) >= CHANGE_PERIOD {
            self.reported = (now, 0);
        }
        changes.truncate((MAX_CHANGES - self.reported.1) as usize);
        self.reported.1 += changes.len() as u32;
        changes
    }

    fn end_quiet_caps(&mut self, now: Moment) {
        for (workspace, known) in &mut self.known {
            if known.short_at.is_some_and(|at| now.since(at) > CAPPED_QUIET) {
                known.short_at = None;
                self.capped -= 1;
                self.changes.push(CapChange { workspace: workspace.clone(), capped: false });
            }
        }
    }
}
