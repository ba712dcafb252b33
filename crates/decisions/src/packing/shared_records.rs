use std::sync::Arc;

use serde::{Serialize, de::DeserializeOwned};

use super::PackedRecords;

/// Fewest records that are packed; fewer do not shrink much.
const MIN_PACKED_RECORDS: usize = 4;

/// Records for many hosts, in the forms in which builds read them.
#[derive(Debug, Clone)]
pub(crate) struct SharedRecords<T> {
    records: Arc<[T]>,
    packed: Option<Arc<PackedRecords<T>>>,
}

impl<T: Clone + Serialize + DeserializeOwned> SharedRecords<T> {
    /// Packs the records once, unless they are few.
    pub(crate) fn new(records: Vec<T>) -> Self {
        let is_long = records.len() >= MIN_PACKED_RECORDS;
        // Encoding into memory cannot fail.
        let packed = is_long.then(|| PackedRecords::pack(&records).ok()).flatten();
        Self { records: records.into(), packed: packed.map(Arc::new) }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The packed records for a host that reads them, unless they are too few.
    pub(crate) fn packed_for(&self, unpacks_records: bool) -> Option<Arc<PackedRecords<T>>> {
        self.packed.clone().filter(|_| unpacks_records)
    }

    /// The records for a host that does not read packed ones.
    pub(crate) fn to_vec(&self) -> Vec<T> {
        self.records.to_vec()
    }
}
