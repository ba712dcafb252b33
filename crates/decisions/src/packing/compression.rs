use std::io::{self, Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};

/// Largest uncompressed value that is read, in bytes.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024 * 1024;

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

/// Length of a value once it is encoded, in bytes.
///
/// # Errors
/// Fails if the value cannot be encoded.
pub(crate) fn encoded_len(value: &impl Serialize) -> io::Result<usize> {
    let mut counter = ByteCounter(0);
    ciborium::into_writer(value, &mut counter).map_err(io::Error::other)?;
    Ok(counter.0)
}

/// Counts the bytes that are written.
struct ByteCounter(usize);

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
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
