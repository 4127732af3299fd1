//! Callers that send a body slowly or not at all.

use std::time::{Duration, Instant};

use jackdawpier_http::{Handler, IncomingRequest, Reply, ServerLimits, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

const LIMITS: ServerLimits = ServerLimits {
    max_connections: 16,
    read_timeout: Duration::from_millis(500),
    max_body_bytes: 1 << 20,
};
const PAUSE: Duration = Duration::from_millis(100);
/// Well above the server's read timeout.
const MAX_STALL: Duration = Duration::from_millis(1_500);

/// Replies with the length of the body.
#[derive(Clone)]
struct BodyLength;

impl Handler for BodyLength {
    async fn handle(&self, request: IncomingRequest) -> Reply {
        Reply::new(200, "text/plain", request.body.len().to_string())
    }
}

/// Declares a body of `length` bytes, sends `chunks` of `chunk_bytes` with a pause after each, and
/// returns the reply's status line and body.
async fn send(length: usize, chunks: usize, chunk_bytes: usize) -> (String, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("there is a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let (_stop_sender, stop) = watch::channel(false);
    tokio::spawn(serve(listener, LIMITS, BodyLength, stop));
    let caller = TcpStream::connect(address).await.expect("the server listens");
    let (mut answers, mut requests) = caller.into_split();
    let sending = async move {
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
        requests.write_all(head.as_bytes()).await.expect("the connection is open");
        for _ in 0..chunks {
            if requests.write_all(&vec![b'x'; chunk_bytes]).await.is_err() {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
        requests
    };
    let sending = tokio::spawn(sending);
    let mut answer = vec![0; 4096];
    let count = answers.read(&mut answer).await.expect("the server replies");
    sending.abort();
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    let status_line = answer.lines().next().unwrap_or_default().to_owned();
    let body = answer.rsplit("\r\n\r\n").next().unwrap_or_default().to_owned();
    (status_line, body)
}

/// Guards against applying the read timeout to a whole body: one that arrives steadily but takes
/// longer would be rejected.
#[tokio::test]
async fn steady_body() {
    let (status_line, body) = send(400_000, 20, 20_000).await;
    assert_eq!((status_line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "400000"));
}

#[tokio::test]
async fn stalled_caller() {
    for chunks in [0, 1] {
        let started_at = Instant::now();
        let (status_line, _) = send(400_000, chunks, 20_000).await;
        assert_eq!(status_line, "HTTP/1.1 408 Request Timeout");
        assert!(
            started_at.elapsed() < MAX_STALL,
            "timed out only after {:?}",
            started_at.elapsed()
        );
    }
}

/// A caller that sends single bytes at intervals can't hold a connection open.
#[tokio::test]
async fn trickling_caller() {
    let started_at = Instant::now();
    let (status_line, _) = send(400_000, 100, 1).await;
    assert_eq!(status_line, "HTTP/1.1 408 Request Timeout");
    assert!(started_at.elapsed() < MAX_STALL, "timed out only after {:?}", started_at.elapsed());
}
