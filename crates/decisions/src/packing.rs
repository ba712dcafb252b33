//! Compression of values that many hosts are sent over narrow links.

use std::{
    io::{self, Read, Write},
    marker::PhantomData,
    sync::Arc,
};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Largest uncompressed value that is read, in bytes.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024 * 1024;

/// Fewest records that are packed; fewer do not shrink much.
const MIN_PACKED_RECORDS: usize = 4;

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

    /// Size of the compressed records, in bytes.
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}

/// Records for many hosts, in the forms in which builds read them.
#[derive(Debug, Clone)]
pub(crate) struct SharedRecords<T> {
    records: Arc<[T]>,
    packed: Option<Arc<PackedRecords<T>>>,
}

impl<T: Clone + Serialize + DeserializeOwned> SharedRecords<T> {
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

    pub(crate) fn to_vec(&self) -> Vec<T> {
        self.records.to_vec()
    }
}

/// Encodes and compresses a value.
///
/// # Errors
/// Fails if the value cannot be encoded or compressed.
pub(crate) fn pack(value: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(io::Error::other)?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&bytes)?;
    encoder.finish()
}

/// Decompresses and decodes a value.
///
/// # Errors
/// Fails if the bytes cannot be decompressed, with `InvalidData` if the result is not such
/// a value.
pub(crate) fn unpack<T: DeserializeOwned>(packed: &[u8]) -> io::Result<T> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed).take(MAX_UNPACKED_BYTES).read_to_end(&mut bytes)?;
    // The decoder's text is left out, as it may quote a key.
    ciborium::from_reader(&*bytes)
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "cannot decode a packed value"))
}
