use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use hawthornstack_decisions::identity::HostId;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};

/// New connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time between keep-alive probes on a connection without traffic.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Sends at once, and notices within `silence` that the other end is gone.
///
/// # Errors
/// The system's error if an option is refused.
pub fn prepare_socket(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Listens on an address that may have been in use a moment ago.
///
/// # Errors
/// The system's error.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts connections for good and hands each to `serve`; `who` names those who
/// connect, for the log.
pub async fn accept_each(listener: TcpListener, who: &'static str, serve: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                tracing::warn!(target: "links", who, %error, "a connection was not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// The address of a host that is numbered by its IPv4 address.
pub fn host_address(host: HostId, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(host.0), port))
}
