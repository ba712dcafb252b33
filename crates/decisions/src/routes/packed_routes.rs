use std::{fmt, io, sync::Arc};

use serde::{Deserialize, Serialize};

use super::RouteTable;
use crate::packing::{pack, unpack};

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
        Ok(Self { version: table.version, packed: pack(&without_source)? })
    }

    /// Decompresses the configuration, without the operator's text.
    ///
    /// # Errors
    /// Fails if the bytes cannot be decompressed, with `InvalidData` if the result
    /// is not a configuration.
    pub fn unpack(&self) -> io::Result<RouteTable> {
        unpack(&self.packed)
    }

    /// Size of the compressed configuration, in bytes.
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}
