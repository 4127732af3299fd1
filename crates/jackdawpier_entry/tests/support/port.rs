//! Test support: a port and its callers.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part of it")]

use std::{
    io,
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use jackdawpier_entry::{
    connections::{ConnectionLimits, Connections},
    http_server::{InFlight, Reply, serve_with_limits},
    request_body::Request,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

pub const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
pub const SLOW_REQUEST: &[u8] = b"GET /slow HTTP/1.1\r\nhost: x\r\n\r\n";
/// How long the answer to a slow request takes.
pub const SLOW_ANSWER_DELAY: Duration = Duration::from_millis(400);
pub const LARGE_REQUEST: &[u8] = b"GET /large HTTP/1.1\r\nhost: x\r\n\r\n";
/// More than the buffers of both sockets hold.
pub const LARGE_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// After this long a read fails, so that a test doesn't hang.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// Limits that no test reaches unless it lowers one.
pub fn wide_limits() -> ConnectionLimits {
    let long = Duration::from_secs(60);
    ConnectionLimits {
        max_open: 1000,
        header_timeout: long,
        idle_timeout: long,
        idle_margin: Duration::ZERO,
    }
}

pub struct Port {
    pub address: SocketAddr,
    pub connections: Connections,
    pub in_flight: InFlight,
    pub stop: watch::Sender<bool>,
}

async fn answer(request: Request) -> Reply {
    let body = match request.uri().path() {
        "/slow" => {
            tokio::time::sleep(SLOW_ANSWER_DELAY).await;
            Bytes::from("yes")
        }
        "/large" => Bytes::from(vec![b'x'; LARGE_ANSWER_BYTES]),
        _ => Bytes::from("yes"),
    };
    Response::new(Full::new(body))
}

/// Serves a free port.
pub fn serve_port(limits: ConnectionLimits) -> Port {
    serve_changing_port(move || limits)
}

/// Serves a free port whose limits may change.
pub fn serve_changing_port(limits: impl Fn() -> ConnectionLimits + 'static) -> Port {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    drop(listener);
    let (stop, stopping) = watch::channel(false);
    let (connections, in_flight) = (Connections::default(), InFlight::default());
    let serving = serve_with_limits(
        address,
        connections.clone(),
        limits,
        answer,
        in_flight.clone(),
        stopping,
    );
    tokio::task::spawn_local(serving);
    Port { address, connections, in_flight, stop }
}

impl Port {
    /// Opens a connection as soon as the port listens.
    pub async fn connect(&self) -> TcpStream {
        loop {
            match TcpStream::connect(self.address).await {
                Ok(stream) => return stream,
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }

    /// Opens a connection and waits for the answer to one request.
    pub async fn connect_and_ask(&self) -> TcpStream {
        let mut stream = self.connect().await;
        assert!(ask(&mut stream).await.starts_with("http/1.1 200"));
        stream
    }
}

/// Reads from a connection and returns the answer in lower case, an empty text if it was closed
/// gracefully, or the kind of the error.
pub async fn read(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 1024];
    let reading = tokio::time::timeout(READ_TIMEOUT, stream.read(&mut buffer));
    let read = reading.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    match read {
        Ok(count) => String::from_utf8_lossy(&buffer[..count]).to_ascii_lowercase(),
        Err(error) => format!("{:?}", error.kind()),
    }
}

/// Sends a request and returns the result of [`read`].
pub async fn ask(stream: &mut TcpStream) -> String {
    match stream.write_all(REQUEST).await {
        Ok(()) => read(stream).await,
        Err(error) => format!("{:?}", error.kind()),
    }
}

/// Sends a request without yielding to other tasks on this thread, so that the server can't have read it yet.
pub fn send_without_yield(stream: &TcpStream, request: &[u8]) {
    let count = stream.try_write(request).expect("the send buffer is empty");
    assert_eq!(count, request.len());
}
