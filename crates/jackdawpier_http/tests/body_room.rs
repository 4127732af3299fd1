//! Request bodies that don't fit into the memory for all of them, or that don't come to their end.

use std::{net::SocketAddr, time::Duration};

use jackdawpier_http::{
    Handler, IncomingRequest, Reply, ServerLimits, request_body::BodyMemory, serve_within,
};
use jackdawpier_kernel::body_budget::BodyLimits;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

const LIMITS: ServerLimits = ServerLimits {
    max_connections: 16,
    read_timeout: Duration::from_secs(60),
    max_body_bytes: LARGE_BYTES,
};
const LARGE_BYTES: usize = 1 << 20;
const ORDINARY_BYTES: usize = 4_000;
/// More than the time after which a body that makes no progress may be evicted.
const STALL: Duration = Duration::from_millis(1100);
/// After this long a test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Replies with the length of the body.
#[derive(Clone)]
struct BodyLength;

impl Handler for BodyLength {
    async fn handle(&self, request: IncomingRequest) -> Reply {
        Reply::new(200, "text/plain", request.body.len().to_string())
    }
}

/// A server with room for one large body.
struct Server {
    address: SocketAddr,
    bodies: BodyMemory,
    _stop: watch::Sender<bool>,
}

impl Server {
    async fn start(max_connections: usize) -> Self {
        Self::start_with(max_connections, BodyLimits::new(LARGE_BYTES)).await
    }

    async fn start_with(max_connections: usize, limits: BodyLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("there is a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let (stop, stopping) = watch::channel(false);
        let bodies = BodyMemory::new(limits);
        let limits = ServerLimits { max_connections, ..LIMITS };
        tokio::spawn(serve_within(listener, limits, bodies.clone(), BodyLength, stopping));
        Self { address, bodies, _stop: stop }
    }

    /// Sends a request whose last `unsent` bytes are left out.
    async fn send(&self, length: usize, unsent: usize) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("the server listens");
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("the connection is open");
        let body = vec![b' '; length - unsent];
        stream.write_all(&body).await.expect("the server reads the body");
        stream
    }

    async fn ask(&self, length: usize) -> String {
        answer(&mut self.send(length, 0).await).await
    }

    async fn wait_for_bodies(&self, count: usize) {
        while self.bodies.count() != count {
            sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn answer(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 4096];
    let reading = timeout(READ_TIMEOUT, stream.read(&mut buffer));
    let count = reading.await.expect("an answer or the end of the connection").unwrap_or(0);
    String::from_utf8_lossy(&buffer[..count]).to_ascii_lowercase()
}

fn is_served(answer: &str) -> bool {
    answer.starts_with("http/1.1 200")
}

/// A client that sends a large body while another one takes the room is told to come back, also if it sends the whole
/// body before it reads.
#[tokio::test]
async fn no_room() {
    let limits = BodyLimits { max_stall: Duration::MAX, ..BodyLimits::new(LARGE_BYTES) };
    let server = Server::start_with(16, limits).await;
    let mut first = server.send(LARGE_BYTES, 1).await;
    server.wait_for_bodies(1).await;
    let refusal = server.ask(LARGE_BYTES / 4).await;
    assert!(refusal.starts_with("http/1.1 503"), "{refusal}");
    assert!(refusal.contains("retry-after: 1"), "{refusal}");
    assert!(is_served(&server.ask(ORDINARY_BYTES).await));
    first.write_all(b" ").await.expect("the connection is open");
    assert!(is_served(&answer(&mut first).await));
    assert!(is_served(&server.ask(LARGE_BYTES / 4).await));
}

#[tokio::test]
async fn stalled_body() {
    let server = Server::start(16).await;
    let mut stalled = server.send(LARGE_BYTES, 1).await;
    server.wait_for_bodies(1).await;
    sleep(STALL).await;
    assert!(is_served(&server.ask(LARGE_BYTES).await));
    assert!(answer(&mut stalled).await.starts_with("http/1.1 503"));
}

#[tokio::test]
async fn room_given_back() {
    let server = Server::start(16).await;
    assert!(is_served(&server.ask(LARGE_BYTES).await));
    server.wait_for_bodies(0).await;
    let broken_off = server.send(LARGE_BYTES, 1).await;
    server.wait_for_bodies(1).await;
    drop(broken_off);
    server.wait_for_bodies(0).await;
    assert_eq!(server.bodies.held_bytes(), 0);
}

/// Requests whose bodies didn't come filled the port until their timeouts.
#[tokio::test]
async fn full_port() {
    let server = Server::start(2).await;
    let _stalled = [server.send(ORDINARY_BYTES, 1).await, server.send(ORDINARY_BYTES, 1).await];
    server.wait_for_bodies(2).await;
    assert!(is_served(&server.ask(ORDINARY_BYTES).await));
}

/// One slow request in a calm server keeps its connection, however long it takes.
#[tokio::test]
async fn slow_body() {
    let server = Server::start(1).await;
    let mut slow = server.send(LARGE_BYTES, 3).await;
    for _ in 0..3 {
        sleep(STALL).await;
        slow.write_all(b" ").await.expect("the connection is open");
    }
    assert!(is_served(&answer(&mut slow).await));
}
