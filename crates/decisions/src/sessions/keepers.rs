use crate::identity::{HostId, SessionId};

/// Hosts that keep each session's mark.
pub const KEEPER_COUNT: usize = 2;

/// Orders hosts by rendezvous hash for `key`, best first.
///
/// Adding or removing a host moves only the keys that it wins or held.
pub fn rank_hosts(key: &[u8], hosts: impl IntoIterator<Item = HostId>) -> Vec<HostId> {
    let mut ranked: Vec<(u64, HostId)> =
        hosts.into_iter().map(|host| (score(key, host), host)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, host)| host).collect()
}

/// The hosts that keep the marks of `session`.
pub fn session_keepers(
    session: &SessionId,
    hosts: impl IntoIterator<Item = HostId>,
) -> Vec<HostId> {
    let mut ranked = rank_hosts(session.as_str().as_bytes(), hosts);
    ranked.truncate(KEEPER_COUNT);
    ranked
}

fn score(key: &[u8], host: HostId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key);
    hasher.update(&host.0.to_be_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(first)
}
