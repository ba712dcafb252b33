use std::io;

use serde::{Deserialize, Serialize};

use super::InstanceRecord;
use crate::packing::{pack, unpack};

/// Compressed announcements, as sent to entry hosts.
///
/// They are compressed once for all of them: the records of a large deployment repeat
/// services, data centres and the names of fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedInstances {
    #[serde(with = "serde_bytes")]
    packed: Vec<u8>,
}

impl PackedInstances {
    /// Compresses the records.
    ///
    /// # Errors
    /// Fails if the records cannot be encoded or compressed.
    pub fn pack(records: &[InstanceRecord]) -> io::Result<Self> {
        Ok(Self { packed: pack(&records)? })
    }

    /// Decompresses the records.
    ///
    /// # Errors
    /// Fails if the bytes cannot be decompressed, with `InvalidData` if the result is not a
    /// list of records.
    pub fn unpack(&self) -> io::Result<Vec<InstanceRecord>> {
        unpack(&self.packed)
    }

    /// Size of the compressed records, in bytes.
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}
