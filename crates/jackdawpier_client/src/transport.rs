//! TCP connections with a small send buffer, for `ureq`.
//!
//! Its own connections leave the send buffer to the system, which grows it to megabytes.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use socket2::SockRef;
use ureq::{
    Error, Timeout,
    unversioned::transport::{
        Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
    },
};

/// Send buffer of a connection. What was written but not sent looks to the client like bytes that
/// have arrived, so a large one would hide that an upload is still under way.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Opens connections with a small send buffer.
#[derive(Debug)]
pub(crate) struct SmallBufferConnector;

impl Connector for SmallBufferConnector {
    type Out = SmallBufferTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _chained: Option<()>,
    ) -> Result<Option<SmallBufferTransport>, Error> {
        let limit = limit(details.timeout);
        let mut failure = Error::ConnectionFailed;
        for address in &details.addrs {
            match open(*address, limit) {
                Ok(stream) => {
                    let config = details.config;
                    let buffers =
                        LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
                    return Ok(Some(SmallBufferTransport { stream, buffers }));
                }
                Err(error) => failure = timeout_or(error, Timeout::Connect),
            }
        }
        Err(failure)
    }
}

fn open(address: SocketAddr, limit: Option<Duration>) -> io::Result<TcpStream> {
    let stream = match limit {
        Some(limit) => TcpStream::connect_timeout(&address, limit)?,
        None => TcpStream::connect(address)?,
    };
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
    Ok(stream)
}

/// One connection.
#[derive(Debug)]
pub(crate) struct SmallBufferTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
}

impl Transport for SmallBufferTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    /// Each write to the socket has the whole time, so only a pause ends the call.
    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let timeout = timeout.for_write();
        self.stream.set_write_timeout(limit(timeout))?;
        let output = &self.buffers.output()[..amount];
        self.stream.write_all(output).map_err(|error| timeout_or(error, timeout.reason))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let timeout = timeout.for_read();
        self.stream.set_read_timeout(limit(timeout))?;
        let input = self.buffers.input_append_buf();
        let count = loop {
            match self.stream.read(input) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other.map_err(|error| timeout_or(error, timeout.reason))?,
            }
        };
        self.buffers.input_appended(count);
        Ok(count > 0)
    }

    /// An idle connection is open as long as there is nothing to read, not even its end.
    fn is_open(&mut self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut [0]);
        let is_quiet = peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_ok() && is_quiet
    }
}

fn limit(timeout: NextTimeout) -> Option<Duration> {
    timeout.not_zero().map(|limit| *limit)
}

/// A socket whose time is over says that it would block, or that it timed out.
fn timeout_or(error: io::Error, reason: Timeout) -> Error {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Error::Timeout(reason),
        _ => Error::Io(error),
    }
}
