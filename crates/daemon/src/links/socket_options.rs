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

/// Connections that the system queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Delay after a failed accept, such as for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between keep-alive probes on a connection without traffic.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Disables Nagle's algorithm, and enables keep-alive probes and a limit of
/// `ack_timeout` for unacknowledged data, so that a dead peer is detected.
///
/// # Errors
/// The system's error if a socket option is refused.
pub fn prepare_socket(stream: &TcpStream, ack_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(ack_timeout))?;
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Listens on an IPv4 address, even if closed connections of an earlier listener
/// are still in TIME_WAIT.
///
/// # Errors
/// The system's error.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts connections without end and passes each to `serve`; `client_kind` says
/// in the log who connects.
pub async fn accept_connections(
    listener: TcpListener,
    client_kind: &'static str,
    serve: impl Fn(TcpStream),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                tracing::warn!(
                    target: "links", who = client_kind, %error,
                    "accepting a connection failed; retrying"
                );
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Address of a port on `host`, whose id is its IPv4 address as a number.
pub fn host_address(host: HostId, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(host.0), port))
}
