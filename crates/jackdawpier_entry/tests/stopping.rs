//! A stopping process answers requests on open connections, and asks callers to close them.

mod support;

use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use jackdawpier_entry::{
    clock,
    http_server::{InFlight, serve},
    run::drain,
};
use support::run;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().expect("the listener is bound")
}

async fn connect(address: SocketAddr) -> TcpStream {
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => return stream,
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

async fn ask(stream: &mut TcpStream) -> String {
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("the connection is open");
    let mut buffer = [0; 1024];
    let count = stream.read(&mut buffer).await.expect("the request is answered");
    String::from_utf8_lossy(&buffer[..count]).to_ascii_lowercase()
}

#[test]
fn open_connection() {
    run(async {
        let address = free_address();
        let (stop, stopping) = watch::channel(false);
        let handler = |_| async { Response::new(Full::new(Bytes::from("yes"))) };
        tokio::task::spawn_local(serve(address, handler, InFlight::default(), stopping));
        let mut idle = connect(address).await;
        assert!(!ask(&mut idle).await.contains("connection: close"));
        stop.send(true).expect("the server watches");
        tokio::task::yield_now().await;
        let answer = ask(&mut idle).await;
        assert!(answer.starts_with("http/1.1 200"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        let mut rest = Vec::new();
        let count = idle.read_to_end(&mut rest).await.expect("the connection is closed in order");
        assert_eq!(count, 0);
    });
}

/// Guards against aborting a request that arrives in the last tenth of a second of a stopping process and waits for the
/// store to verify its key.
#[test]
fn last_request() {
    run(async {
        let address = free_address();
        let (_stop, stopping) = watch::channel(true);
        let in_flight = InFlight::default();
        let handler = |_| async {
            tokio::time::sleep(Duration::from_millis(400)).await;
            Response::new(Full::new(Bytes::from("yes")))
        };
        tokio::task::spawn_local(serve(address, handler, in_flight.clone(), stopping));
        let mut idle = connect(address).await;
        let asking = async move { ask(&mut idle).await };
        let (answered, answer) = tokio::sync::oneshot::channel();
        let report = move || {
            tokio::task::spawn_local(async move { answered.send(asking.await) });
        };
        let now = clock::now();
        drain(&in_flight, now, now + Duration::from_secs(3), report).await;
        assert!(
            clock::since(now) >= Duration::from_millis(400),
            "the process exited before the answer"
        );
        assert!(answer.await.expect("the request was sent").starts_with("http/1.1 200"));
    });
}
