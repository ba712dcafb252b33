//! Links to other hosts: WebSocket frames of CBOR.

mod peer_link;
mod peers_service;

pub use peers_service::{PeersArguments, PeersMessage, PeersService};
