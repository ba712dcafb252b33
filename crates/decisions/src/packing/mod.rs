//! Compression of values that many hosts are sent over narrow links.

mod compression;
mod packed_records;
mod shared_records;

pub(crate) use compression::{encoded_len, pack, unpack};
pub use packed_records::PackedRecords;
pub(crate) use shared_records::SharedRecords;
