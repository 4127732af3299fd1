//! Valid and invalid requests at the callers' port, and untrusted peers.

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use jackdawpier_peer::{PeerEndpoint, PeerError, TlsFiles};
use support::{Deployment, http, http_full, work};

const READ_TIMEOUT: Duration = Duration::from_secs(20);

fn raw(daemon: &support::Daemon, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(daemon.callers).expect("it listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("it can be set");
    stream.write_all(text).expect("the daemon reads");
    let mut answer = vec![0; 4096];
    let count = stream.read(&mut answer).unwrap_or(0);
    String::from_utf8_lossy(&answer[..count]).into_owned()
}

#[test]
fn reused_connections() {
    let deployment = Deployment::new("reused-connections", 2, 0);
    let daemons = deployment.start_all(1);
    let body = work(1, 100);
    let head =
        format!("POST /render/x HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
    for _ in 0..10 {
        let mut streams: Vec<TcpStream> =
            (0..32).map(|_| TcpStream::connect(daemons[0].callers).expect("it listens")).collect();
        for stream in &mut streams {
            stream.set_read_timeout(Some(READ_TIMEOUT)).expect("it can be set");
            stream.write_all(head.as_bytes()).expect("the daemon reads");
            stream.write_all(&body).expect("the daemon reads");
        }
        for stream in &mut streams {
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).expect("no reused connection stalls");
            assert_eq!(&answer, b"HTTP/1.1 200");
        }
    }
}

#[test]
fn slow_callers() {
    let deployment = Deployment::new("slow-callers", 1, 0);
    let daemons = deployment.start_all(1);
    let slow: Vec<TcpStream> = (0..300)
        .map(|_| {
            let mut stream = TcpStream::connect(daemons[0].callers).expect("it listens");
            stream.write_all(b"POST /render/x HTTP/1.1\r\nhost:").expect("the daemon reads");
            stream
        })
        .collect();
    let answer = http("POST", daemons[0].callers, "/render/x", &[], &work(1, 100));
    assert_eq!(answer.expect("other callers are served").0, 200);
    for mut stream in slow {
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("it can be set");
        let mut rest = Vec::new();
        let ended = stream.read_to_end(&mut rest);
        let is_timeout = ended.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!is_timeout, "the connection of an incomplete request is closed");
    }
}

#[test]
fn connection_limit() {
    let deployment = Deployment::new("connection-limit", 1, 0);
    drop(deployment.start_all(1));
    let daemon = deployment.start("b", "limits: { connections: 4, read_timeout_ms: 500 }");
    support::wait_for("it to be ready", || daemon.is_ready());
    let connections: Vec<TcpStream> =
        (0..20).map(|_| TcpStream::connect(daemon.callers).expect("it listens")).collect();
    drop(connections);
    let answer = http("POST", daemon.callers, "/render/x", &[], &work(1, 100));
    let (status, body) = answer.expect("it accepts callers again");
    assert_eq!(status, 200, "{body}");
}

#[test]
fn bad_requests() {
    let deployment = Deployment::new("bad-requests", 1, 0);
    let daemons = deployment.start_all(1);
    let callers = daemons[0].callers;
    let status = |method, path, headers: &[(&str, &str)], body: &[u8]| {
        http_full(method, callers, path, headers, body).expect("it answers").0
    };
    assert_eq!(status("POST", "/nothing/x", &[], b""), 404);
    assert_eq!(status("POST", "/render/x", &[("x-deadline-ms", "soon")], b""), 400);
    assert_eq!(status("POST", "/render/x", &[("idempotency-key", "")], b""), 400);
    let long = "k".repeat(300);
    assert_eq!(status("POST", "/render/x", &[("x-customer", long.as_str())], b""), 400);
    assert_eq!(status("POST", "/render/x", &[], &vec![b'x'; (1 << 20) + 1]), 413);
    for path in ["/metrics", "/v1/status", "/v1/apply", "/readyz"] {
        assert_eq!(status("GET", path, &[], b""), 404, "operators have a separate port");
    }
    let head =
        format!("GET /render/x HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n", "y".repeat(70_000));
    assert!(raw(&daemons[0], head.as_bytes()).starts_with("HTTP/1.1 431"));
    assert!(raw(&daemons[0], b"\x00\xff nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    assert_eq!(
        status("POST", "/render/x", &[], &work(1, 100)),
        200,
        "valid requests are still served"
    );
}

/// A body for which there is no memory is refused as not run, or as unknown if an earlier request with its key may have
/// run.
#[test]
fn no_memory() {
    const BODY_BYTES: usize = 600_000;
    let deployment = Deployment::new("no-memory", 1, 0);
    let daemons = deployment.start_all_with(1, "limits: { memory_mb: 16 }");
    let callers = daemons[0].callers;
    // The body that takes the room counts as stalled after a second, and the request is then served.
    let refused = |headers: &[(&str, &str)]| {
        (0..20).find_map(|_| {
            let mut other = TcpStream::connect(callers).expect("it listens");
            let head = "POST /render/x HTTP/1.1\r\nhost: x\r\ncontent-length: 600000\r\n\r\n ";
            other.write_all(head.as_bytes()).expect("the daemon reads");
            std::thread::sleep(Duration::from_millis(100));
            let body = vec![b' '; BODY_BYTES];
            let (status, headers, _) = http_full("POST", callers, "/render/x", headers, &body)?;
            let outcome = headers.get("x-outcome")?.to_str().ok()?.to_owned();
            (outcome != "answered").then_some((status, outcome))
        })
    };
    assert_eq!(refused(&[]), Some((503, "not_run".to_owned())));
    assert_eq!(refused(&[("idempotency-key", "k")]), Some((504, "unknown".to_owned())));
    let answer = http("POST", callers, "/render/x", &[], &work(1, 100));
    assert_eq!(answer.expect("it answers").0, 200);
}

#[test]
fn untrusted_peer() {
    let deployment = Deployment::new("untrusted-peer", 1, 0);
    let daemons = deployment.start_all(1);
    let folder = deployment.file("untrusted");
    jackdawpier_standin::keys::write_keys(&folder, &["x".to_owned()]).expect("it can be written");
    let own = |file: &str| deployment.file(file).display().to_string();
    let untrusted = |file: &str| folder.join(file).display().to_string();
    let files = TlsFiles {
        authority_file: own("authority.pem"),
        certificate_file: untrusted("x.pem"),
        key_file: untrusted("x.key"),
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be built");
    runtime.block_on(async {
        let address = "127.0.0.1:0".parse().expect("it is an address");
        let endpoint = PeerEndpoint::bind(address, &files).expect("it can be bound");
        let answer: Result<u32, PeerError> =
            endpoint.call(daemons[0].peers, &1_u32, Duration::from_secs(2)).await;
        assert!(answer.is_err(), "a peer without the right certificate is refused");
        endpoint.close().await;
    });
    assert!(daemons[0].is_ready());
}

#[test]
fn malformed_messages() {
    let deployment = Deployment::new("malformed-messages", 1, 0);
    let daemons = deployment.start_all(1);
    let own = |file: &str| deployment.file(file).display().to_string();
    let files = TlsFiles {
        authority_file: own("authority.pem"),
        certificate_file: own("b.pem"),
        key_file: own("b.key"),
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be built");
    runtime.block_on(async {
        let address = "127.0.0.1:0".parse().expect("it is an address");
        let endpoint = PeerEndpoint::bind(address, &files).expect("it can be bound");
        for length in 0..200_u32 {
            let garbage: Vec<u8> = (0..length).map(|at| (at * 31 + length * 17) as u8).collect();
            let limit = Duration::from_millis(200);
            let _: Result<u32, PeerError> =
                endpoint.call(daemons[0].peers, &byte_pairs(garbage), limit).await;
        }
        endpoint.close().await;
    });
    let answer = http("POST", daemons[0].callers, "/render/x", &[], &work(1, 100));
    assert_eq!(answer.expect("it answers").0, 200, "malformed messages of a peer affect no caller");
}

/// Pairs the bytes up, so that `postcard` writes them without a length in front of each.
fn byte_pairs(bytes: Vec<u8>) -> Vec<(u8, u8)> {
    bytes.chunks(2).map(|pair| (pair[0], *pair.last().expect("chunks are not empty"))).collect()
}
