use std::{io, marker::PhantomData};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{pack, unpack};

/// A compressed list of records, as sent to entry hosts.
///
/// It is compressed once for all of them: the records of a large deployment repeat
/// services, data centres and the names of fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRecords<T> {
    #[serde(with = "serde_bytes")]
    packed: Vec<u8>,
    #[serde(skip)]
    records: PhantomData<T>,
}

impl<T: Serialize + DeserializeOwned> PackedRecords<T> {
    /// Compresses the records.
    ///
    /// # Errors
    /// Fails if the records cannot be encoded or compressed.
    pub fn pack(records: &[T]) -> io::Result<Self> {
        Ok(Self { packed: pack(&records)?, records: PhantomData })
    }

    /// Decompresses the records.
    ///
    /// # Errors
    /// Fails if the bytes cannot be decompressed, with `InvalidData` if the result is not a
    /// list of such records.
    pub fn unpack(&self) -> io::Result<Vec<T>> {
        unpack(&self.packed)
    }

    /// The records of a message that holds them either packed or plain.
    ///
    /// # Errors
    /// As [`unpack`](Self::unpack).
    pub fn unpack_or(packed: Option<&Self>, plain: Vec<T>) -> io::Result<Vec<T>> {
        packed.map_or(Ok(plain), Self::unpack)
    }

    /// Size of the compressed records, in bytes.
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}
