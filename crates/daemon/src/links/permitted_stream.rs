use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::edges::LeadPermit;

/// A connection that sends only while a [`LeadPermit`] lasts. Unless it is closed, it is reset
/// when it is dropped and when its process ends, so that what is still on its way is lost.
#[derive(Debug)]
pub struct PermittedStream {
    stream: TcpStream,
    permit: LeadPermit,
}

impl PermittedStream {
    /// Connects without a time limit.
    ///
    /// # Errors
    /// The system's error.
    pub async fn connect(address: SocketAddr, permit: LeadPermit) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        Ok(Self { stream, permit })
    }

    /// Closes the connection in order: the peer has answered, so nothing is on its way.
    ///
    /// # Errors
    /// The system's error if the socket option is refused; the connection is then reset.
    pub fn close(self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(None)
    }

    /// Fails once the permit has ended. Limits how long sent data may stay unacknowledged to the
    /// rest of the permit: the system then drops it even if this process is suspended.
    fn prepare_write(&self) -> io::Result<()> {
        let remaining = self.permit.remaining().ok_or_else(permit_ended)?;
        SockRef::from(&self.stream).set_tcp_user_timeout(Some(remaining))?;
        // The process may have been suspended since the first look at the clock.
        self.permit.remaining().map(drop).ok_or_else(permit_ended)
    }
}

fn permit_ended() -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, "the lead has ended")
}

impl AsyncRead for PermittedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for PermittedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
