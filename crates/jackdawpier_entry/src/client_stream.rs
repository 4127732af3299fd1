//! A client's connection, and what becomes of its undelivered bytes when it is closed.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// What becomes of bytes that were sent and not delivered when a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Closing {
    /// They may be delivered later, even after the end of this process.
    Orderly,
    /// They are dropped.
    Reset,
}

/// A connection that is closed as set.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    closing: Closing,
}

impl ClientStream {
    pub(crate) fn new(stream: TcpStream, closing: Closing) -> io::Result<Self> {
        if closing == Closing::Reset {
            stream.set_zero_linger()?;
        }
        Ok(Self { stream, closing })
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.closing {
            Closing::Orderly => Pin::new(&mut self.stream).poll_shutdown(context),
            // The end of the stream would be delivered with all bytes before it.
            Closing::Reset => Poll::Ready(Ok(())),
        }
    }
}
