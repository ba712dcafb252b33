//! Sessions: their tokens, their positions and the hosts that store these.

mod position_hosts;
mod position_store;
mod session_token;

pub use position_hosts::{
    POSITION_HOST_COUNT, RendezvousScore, rank_hosts, session_position_hosts,
};
pub use position_store::{PositionStore, StoredPosition};
pub use session_token::{SessionToken, TokenError, TokenKey};
