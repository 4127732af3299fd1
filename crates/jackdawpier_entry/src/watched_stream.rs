//! A caller's stream that reports to its [`Connection`] what it waits for, and closes on the connection's request.

use std::{
    io,
    os::fd::AsFd,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use tokio::net::TcpStream;

use crate::connections::{CloseMode, Connection};

/// Whether something can be read or accepted at once, even if the runtime hasn't been notified yet.
pub(crate) fn is_readable(socket: &impl AsFd) -> bool {
    let mut sockets = [PollFd::new(socket.as_fd(), PollFlags::POLLIN)];
    poll(&mut sockets, PollTimeout::ZERO).is_ok_and(|count| count > 0)
}

/// The stream of a connection.
pub(crate) struct WatchedStream {
    stream: TokioIo<TcpStream>,
    connection: Rc<Connection>,
}

impl WatchedStream {
    pub(crate) fn new(stream: TcpStream, connection: Rc<Connection>) -> Self {
        Self { stream: TokioIo::new(stream), connection }
    }

    fn stream(&mut self) -> Pin<&mut TokioIo<TcpStream>> {
        Pin::new(&mut self.stream)
    }

    /// Returns the result of a write, or aborts the connection if the peer takes too long to read.
    fn check_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if written.is_pending() && self.connection.on_write_pending() {
            self.connection.close();
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        written
    }
}

impl Read for WatchedStream {
    /// Reads the end of the stream if the connection is to close in order, as if the peer had closed it. Received bytes
    /// are read first.
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.is_discard_ended() {
            self.connection.close();
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        if let Poll::Ready(read) = self.stream().poll_read(context, buffer) {
            self.connection.on_bytes_received();
            return Poll::Ready(read);
        }
        if !self.connection.on_read_pending() {
            return Poll::Pending;
        }
        if is_readable(self.stream.inner()) {
            // The runtime will be notified and wake this task.
            self.connection.cancel_close();
            return Poll::Pending;
        }
        Poll::Ready(match self.connection.close() {
            CloseMode::Graceful => Ok(()),
            CloseMode::Abort => Err(io::ErrorKind::TimedOut.into()),
        })
    }
}

impl Write for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream().poll_write(context, bytes);
        self.check_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream().poll_write_vectored(context, slices);
        self.check_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called when everything has been written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.stream().poll_flush(context))?;
        self.connection.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(context)
    }
}
