use std::{
    fmt,
    io::{self, Read, Write},
    sync::Arc,
};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};

use super::RouteTable;

/// Largest uncompressed configuration that is read, in bytes.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024 * 1024;

/// A compressed configuration, as sent to entry hosts.
///
/// It is compressed once for all of them, since their links are narrow and
/// thousands of routes differ little. The operator's text is left out, since only
/// control hosts read it back.
///
/// `Debug` leaves out the compressed bytes, which hold the keys of callers.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRoutes {
    /// The operator's version.
    pub version: u64,
    #[serde(with = "serde_bytes")]
    packed: Vec<u8>,
}

impl fmt::Debug for PackedRoutes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PackedRoutes")
            .field("version", &self.version)
            .field("packed_bytes", &self.packed.len())
            .finish()
    }
}

impl PackedRoutes {
    /// Compresses a configuration.
    ///
    /// # Errors
    /// Fails if the configuration cannot be encoded or compressed.
    pub fn pack(table: &RouteTable) -> io::Result<Self> {
        let without_source = RouteTable { source: Arc::from(""), ..table.clone() };
        let mut bytes = Vec::new();
        ciborium::into_writer(&without_source, &mut bytes).map_err(io::Error::other)?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&bytes)?;
        Ok(Self { version: table.version, packed: encoder.finish()? })
    }

    /// Decompresses the configuration, without the operator's text.
    ///
    /// # Errors
    /// Fails if the bytes cannot be decompressed, with `InvalidData` if the result
    /// is not a configuration.
    pub fn unpack(&self) -> io::Result<RouteTable> {
        let mut bytes = Vec::new();
        let decoder = DeflateDecoder::new(&*self.packed);
        decoder.take(MAX_UNPACKED_BYTES).read_to_end(&mut bytes)?;
        // The decoder's text is left out, as it may quote a key.
        ciborium::from_reader(&*bytes)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "cannot decode packed routes"))
    }

    /// Size of the compressed configuration, in bytes.
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}
