//! Callers that don't read their answers, or read them slowly.

use std::{net::SocketAddr, time::Duration};

use jackdawpier_http::{Handler, IncomingRequest, Reply, ServerLimits, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

/// More than the buffers of both sockets hold.
const ANSWER_BYTES: usize = 32 << 20;
const LIMITS: ServerLimits = ServerLimits {
    max_connections: 1,
    read_timeout: Duration::from_millis(500),
    max_body_bytes: 1000,
};
/// After this long a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct LargeAnswer;

impl Handler for LargeAnswer {
    async fn handle(&self, _: IncomingRequest) -> Reply {
        Reply::new(200, "text/plain", vec![b'x'; ANSWER_BYTES])
    }
}

async fn start() -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("there is a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(serve(listener, LIMITS, LargeAnswer, stopping));
    (address, stop)
}

async fn ask(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the server listens");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("the connection is open");
    stream
}

/// An answer that its caller didn't read kept its connection and its memory for good, and a port full of them let nobody in.
#[tokio::test]
async fn full_port() {
    let (address, _stop) = start().await;
    let _unread = ask(address).await;
    let mut other = ask(address).await;
    let mut answer = [0; 12];
    let reading = timeout(TEST_TIMEOUT, other.read_exact(&mut answer));
    reading.await.expect("the port makes room").expect("the connection is open");
    assert_eq!(&answer, b"HTTP/1.1 200");
}

/// An answer that is read with pauses is complete, however long that takes altogether.
#[tokio::test]
async fn slow_reader() {
    let (address, _stop) = start().await;
    let mut reader = ask(address).await;
    let mut missing = ANSWER_BYTES;
    while missing > 0 {
        let count = reader.read(&mut vec![0; 4 << 20]).await.expect("the connection stays open");
        assert!(count > 0, "{missing} bytes are missing");
        missing = missing.saturating_sub(count);
        sleep(Duration::from_millis(50)).await;
    }
}
