//! A caller's stream whose writes fail once the caller has read nothing for too long.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Sleep, sleep},
};

/// A stream with a timeout for each pause in which nothing can be written.
pub(crate) struct AnswerTimeout {
    stream: TokioIo<TcpStream>,
    max_pause: Duration,
    /// Set while nothing can be written.
    pause: Option<Pin<Box<Sleep>>>,
}

impl AnswerTimeout {
    pub(crate) fn new(stream: TcpStream, max_pause: Duration) -> Self {
        Self { stream: TokioIo::new(stream), max_pause, pause: None }
    }

    fn stream(&mut self) -> Pin<&mut TokioIo<TcpStream>> {
        Pin::new(&mut self.stream)
    }

    /// Returns the result of a write, or an error if the pause has become too long.
    fn check(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.pause = None;
            return written;
        }
        let max_pause = self.max_pause;
        let pause = self.pause.get_or_insert_with(|| Box::pin(sleep(max_pause)));
        pause.as_mut().poll(context).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Read for AnswerTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream().poll_read(context, buffer)
    }
}

impl Write for AnswerTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream().poll_write(context, bytes);
        self.check(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream().poll_write_vectored(context, slices);
        self.check(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(context)
    }
}
