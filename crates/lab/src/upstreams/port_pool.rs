use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

/// First port that is handed out. The range ends below the ports that systems
/// give to outgoing connections, so that a port can be opened again after its
/// process was stopped for a while.
const FIRST_PORT: u32 = 12_000;
/// Ports in the range.
const PORT_COUNT: u32 = 20_000;
/// Distance between the first ports of two processes.
const PROCESS_STRIDE: u32 = 173;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An address of loopback that is free and not handed out before by this
/// process.
///
/// # Errors
/// `AddrInUse` if the whole range is taken.
pub fn free_address() -> io::Result<SocketAddr> {
    let offset = std::process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let turn = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_add(turn) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}
