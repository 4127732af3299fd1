//! Callers that take their time to send a body.

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
/// Well above the time after which a caller who sends nothing is given up.
const SILENCE_BOUND: Duration = Duration::from_millis(1_500);

/// Answers with the length of the body.
#[derive(Clone)]
struct Length;

impl Handler for Length {
    async fn handle(&self, request: IncomingRequest) -> Reply {
        Reply::new(200, "text/plain", request.body.len().to_string())
    }
}

/// Announces a body of `length`, sends `pieces` of `piece_bytes` with a pause after each, and
/// returns the answer's first line and body.
async fn send(length: usize, pieces: usize, piece_bytes: usize) -> (String, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("there is a free port");
    let address = listener.local_addr().expect("it is bound");
    let (_keep, stop) = watch::channel(false);
    tokio::spawn(serve(listener, LIMITS, Length, stop));
    let caller = TcpStream::connect(address).await.expect("it listens");
    let (mut answers, mut requests) = caller.into_split();
    let sending = async move {
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
        requests.write_all(head.as_bytes()).await.expect("it is open");
        for _ in 0..pieces {
            if requests.write_all(&vec![b'x'; piece_bytes]).await.is_err() {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
        requests
    };
    let sending = tokio::spawn(sending);
    let mut answer = vec![0; 4096];
    let count = answers.read(&mut answer).await.expect("it answers");
    sending.abort();
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    let line = answer.lines().next().unwrap_or_default().to_owned();
    let body = answer.rsplit("\r\n\r\n").next().unwrap_or_default().to_owned();
    (line, body)
}

/// A body that took longer than the limit on silence was refused, though it arrived without a pause.
#[tokio::test]
async fn steady_body() {
    let (line, body) = send(400_000, 20, 20_000).await;
    assert_eq!((line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "400000"));
}

#[tokio::test]
async fn silent_caller() {
    for pieces in [0, 1] {
        let started_at = Instant::now();
        let (line, _) = send(400_000, pieces, 20_000).await;
        assert_eq!(line, "HTTP/1.1 408 Request Timeout");
        assert!(started_at.elapsed() < SILENCE_BOUND, "given up after {:?}", started_at.elapsed());
    }
}

/// A byte now and then doesn't hold a connection.
#[tokio::test]
async fn trickling_caller() {
    let started_at = Instant::now();
    let (line, _) = send(400_000, 100, 1).await;
    assert_eq!(line, "HTTP/1.1 408 Request Timeout");
    assert!(started_at.elapsed() < SILENCE_BOUND, "given up after {:?}", started_at.elapsed());
}
