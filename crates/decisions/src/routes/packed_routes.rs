use std::{
    io::{self, Read, Write},
    sync::Arc,
};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};

use super::RouteTable;

/// Largest configuration that is unpacked, in bytes.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024 * 1024;

/// A configuration as entry hosts get it: packed once for all of them, since
/// their links are narrow and thousands of routes differ in little. The
/// operator's text, which only control hosts read back, is left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRoutes {
    /// The operator's version.
    pub version: u64,
    #[serde(with = "serde_bytes")]
    packed: Vec<u8>,
}

impl PackedRoutes {
    /// Packs a configuration.
    ///
    /// # Errors
    /// An encoder's error.
    pub fn pack(table: &RouteTable) -> io::Result<Self> {
        let shown = RouteTable { source: Arc::from(""), ..table.clone() };
        let mut bytes = Vec::new();
        ciborium::into_writer(&shown, &mut bytes).map_err(io::Error::other)?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&bytes)?;
        Ok(Self { version: table.version, packed: encoder.finish()? })
    }

    /// Unpacks the configuration.
    ///
    /// # Errors
    /// `InvalidData` if the bytes are none.
    pub fn unpack(&self) -> io::Result<RouteTable> {
        let mut bytes = Vec::new();
        let decoder = DeflateDecoder::new(&*self.packed);
        decoder.take(MAX_UNPACKED_BYTES).read_to_end(&mut bytes)?;
        ciborium::from_reader(&*bytes).map_err(|error| {
            io::Error::new(io::ErrorKind::InvalidData, format!("packed routes: {error}"))
        })
    }

    /// Length of the packed bytes.
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}
