//! Encodings of the messages between processes: CBOR between hosts, JSON for
//! operators and upstreams, and the text form of database reports.

pub mod operators;
pub mod peers;
pub mod reports;
