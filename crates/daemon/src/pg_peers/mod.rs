//! Links to other hosts: CBOR messages in WebSocket frames.

mod peer_link;
mod peers_service;

pub use peers_service::{PeersArguments, PeersMessage, PeersService};
