use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

/// First port of the range. The range ends below the ephemeral ports that
/// operating systems assign to outgoing connections. Otherwise such a connection
/// could occupy the port of a stopped process before the process restarts.
const FIRST_PORT: u32 = 12_000;
/// Number of ports in the range.
const PORT_COUNT: u32 = 20_000;
/// Distance between the first ports that processes with consecutive ids try.
const PROCESS_STRIDE: u32 = 173;

/// Number of ports that this process has tried.
static TRIED_PORTS: AtomicU32 = AtomicU32::new(0);

/// Returns a free loopback address. Tries every port of the range once before it
/// returns a port again.
///
/// # Errors
/// `AddrInUse` if no port of the range is free.
pub fn free_address() -> io::Result<SocketAddr> {
    let offset = std::process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let tried = TRIED_PORTS.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_add(tried) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}
