use std::{fmt, io, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{RouteTable, route_change::RouteChange};
use crate::packing::{pack, unpack};

/// A compressed configuration, or its change from an earlier one, as sent to entry hosts.
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
    /// Version of the configuration that is changed; `None` if this is a whole one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    since: Option<u64>,
    #[serde(with = "serde_bytes")]
    packed: Vec<u8>,
}

impl fmt::Debug for PackedRoutes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PackedRoutes")
            .field("version", &self.version)
            .field("since", &self.since)
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
        Ok(Self { version: table.version, since: None, packed: pack(&without_source)? })
    }

    /// Compresses the change from `old` to `new`.
    ///
    /// # Errors
    /// Fails if the change cannot be encoded or compressed.
    pub fn pack_change(old: &RouteTable, new: &RouteTable) -> io::Result<Self> {
        let packed = pack(&RouteChange::between(old, new))?;
        Ok(Self { version: new.version, since: Some(old.version), packed })
    }

    /// Decompresses the configuration, without the operator's text; a change is applied to
    /// `current`.
    ///
    /// # Errors
    /// Fails if the bytes cannot be decompressed, with `InvalidData` if the result
    /// is not a configuration, or a change of another one than `current`.
    pub fn unpack(&self, current: Option<&RouteTable>) -> io::Result<RouteTable> {
        let Some(since) = self.since else {
            return unpack(&self.packed);
        };
        let change: RouteChange = unpack(&self.packed)?;
        let known = current.filter(|table| table.version == since);
        known.and_then(|table| change.apply(table)).ok_or_else(|| {
            io::Error::new(io::ErrorKind::InvalidData, "the change is of another configuration")
        })
    }

    /// Size of the compressed configuration, in bytes.
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}
