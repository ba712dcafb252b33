use std::{collections::BTreeMap, sync::Arc};

use crate::{packing::SharedRecords, primaries::ServiceTerm};

/// Index of the last change of each service's term since some start, from which an
/// entry host is sent only the terms that it lacks.
#[derive(Debug)]
pub(super) struct TermHistory {
    start: u64,
    changes: BTreeMap<Arc<str>, u64>,
}

impl TermHistory {
    /// Changes up to and including the index `start` are not known.
    pub(super) fn starting_at(start: u64) -> Self {
        Self { start, changes: BTreeMap::new() }
    }

    pub(super) fn record(&mut self, service: Arc<str>, index: u64) {
        self.changes.insert(service, index);
    }

    /// Services whose terms changed after `index`; `None` if not all of them are known,
    /// and for a host without any state.
    pub(super) fn changed_since(&self, index: u64) -> Option<impl Iterator<Item = &Arc<str>>> {
        let changed = self.changes.iter().filter(move |(_, at)| **at > index);
        (index > 0 && index >= self.start).then(|| changed.map(|(service, _)| service))
    }
}

/// Terms for the hosts that have received the same state.
#[derive(Debug, Clone)]
pub(super) struct SharedTerms {
    /// Index of the state that the hosts have received.
    pub(super) received: u64,
    /// Index of the state with these terms.
    pub(super) index: u64,
    /// `received`, or 0 if these are all terms.
    pub(super) since: u64,
    pub(super) terms: SharedRecords<ServiceTerm>,
}
