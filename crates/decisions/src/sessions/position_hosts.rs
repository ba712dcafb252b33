use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::identity::{HostId, SessionId};

/// Number of hosts that store each session's positions.
pub const POSITION_HOST_COUNT: usize = 2;

/// A host's score for a key in rendezvous hashing; the highest scores win.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RendezvousScore(u64);

impl RendezvousScore {
    /// The score of a host for `key`.
    pub fn of(key: &[u8], host: HostId) -> Self {
        Self(xxh3_64_with_seed(key, u64::from(host.0)))
    }
}

/// Orders hosts by their rendezvous scores for `key`, highest first.
///
/// Adding or removing a host moves only the keys that it gains or loses.
pub fn rank_hosts(key: &[u8], hosts: impl IntoIterator<Item = HostId>) -> Vec<HostId> {
    let mut ranked: Vec<(RendezvousScore, HostId)> =
        hosts.into_iter().map(|host| (RendezvousScore::of(key, host), host)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, host)| host).collect()
}

/// The hosts that store the positions of `session`, chosen among `hosts`.
pub fn session_position_hosts(
    session: &SessionId,
    hosts: impl IntoIterator<Item = HostId>,
) -> Vec<HostId> {
    let mut ranked = rank_hosts(session.as_str().as_bytes(), hosts);
    ranked.truncate(POSITION_HOST_COUNT);
    ranked
}
