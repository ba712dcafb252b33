use std::net::SocketAddr;

/// Largest number that every JSON reader holds exactly.
const MAX_EXACT_NUMBER: u64 = (1 << 53) - 1;

/// True if a database can be reached at the address.
pub fn is_reachable_address(address: SocketAddr) -> bool {
    let ip = address.ip();
    address.port() > 0 && !(ip.is_unspecified() || ip.is_multicast())
}

/// True if the number can be that of a term, a start or an announcement: larger ones are
/// neither exact for every reader nor can they be counted on.
pub fn is_exact_number(number: u64) -> bool {
    number <= MAX_EXACT_NUMBER
}
