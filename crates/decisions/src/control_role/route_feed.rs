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
        // A host that has none reports version 0, too.
        let has_base = reads_changes && known > 0;
        let change = if has_base { self.change_from(known, table) } else { None };
        let forms = [self.whole.clone(), change];
        forms.into_iter().flatten().min_by_key(|packed| packed.packed_bytes())
    }

    /// The change to the configuration from an earlier version, if that is kept.
    fn change_from(&mut self, version: u64, table: &RouteTable) -> Option<Arc<PackedRoutes>> {
        if let Some(change) = self.changes.get(&version) {
            return Some(change.clone());
        }
        let base = self.earlier.iter().find(|earlier| earlier.version == version)?;
        let change = Arc::new(PackedRoutes::pack_change(base, table).ok()?);
        self.changes.insert(version, change.clone());
        Some(change)
    }
}
