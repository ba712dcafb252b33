use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use crate::routes::{PackedRoutes, RouteTable};

/// Earlier configurations that are kept, of which entry hosts may have one: those that
/// follow each other within the time that hosts take to confirm one.
const KEPT_CONFIGURATIONS: usize = 4;

/// The configuration in the forms in which entry hosts are sent it. Each is packed once,
/// when it is first sent.
#[derive(Debug, Default)]
pub(super) struct RouteFeed {
    whole: Option<Arc<PackedRoutes>>,
    /// Changes to the configuration, by the version that they change.
    changes: BTreeMap<u64, Arc<PackedRoutes>>,
    earlier: VecDeque<Arc<RouteTable>>,
}

impl RouteFeed {
    /// Keeps a configuration that was replaced.
    pub(super) fn record_replaced(&mut self, table: Arc<RouteTable>) {
        self.whole = None;
        self.changes.clear();
        self.earlier.push_back(table);
        while self.earlier.len() > KEPT_CONFIGURATIONS {
            self.earlier.pop_front();
        }
    }

    /// The configuration for a host that has version `known` and reads changes if
    /// `reads_changes`; a change is sent only if it is smaller.
    pub(super) fn packed_for(
        &mut self,
        table: &RouteTable,
        known: u64,
        reads_changes: bool,
    ) -> Option<Arc<PackedRoutes>> {
        if self.whole.as_ref().is_none_or(|packed| packed.version != table.version) {
            // Encoding into memory cannot fail, here and below.
            self.whole = PackedRoutes::pack(table).ok().map(Arc::new);
            self.changes.clear();
        }
        let base = self.earlier.iter().find(|earlier| earlier.version == known);
        if let (true, Some(base)) = (reads_changes, base) {
            if !self.changes.contains_key(&known)
                && let Ok(packed) = PackedRoutes::pack_change(base, table)
            {
                self.changes.insert(known, Arc::new(packed));
            }
            let whole_bytes = self.whole.as_ref().map_or(usize::MAX, |whole| whole.packed_bytes());
            let change = self.changes.get(&known);
            if let Some(change) = change.filter(|change| change.packed_bytes() < whole_bytes) {
                return Some(change.clone());
            }
        }
        self.whole.clone()
    }
}
