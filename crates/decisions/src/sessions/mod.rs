//! Sessions: tokens, marks and the hosts that keep marks.

mod keepers;
mod mark_store;
mod session_token;

pub use keepers::{HostScore, KEEPER_COUNT, rank_hosts, session_keepers};
pub use mark_store::{MarkStore, StoredMark};
pub use session_token::{SessionToken, TokenError, TokenKey};
