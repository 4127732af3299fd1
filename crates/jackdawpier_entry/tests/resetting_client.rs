//! An HTTP client that resets its connections when it closes them.

mod support;

use std::{
    io::{ErrorKind, Read},
    net::{TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

use hyper::Method;
use jackdawpier_entry::http_client::{Call, HttpClient};
use support::run;

const TIMEOUT: Duration = Duration::from_millis(100);

/// Sends a request to a host that doesn't answer, and returns the host's end of the connection once the client has
/// given up.
fn unanswered_request(client: HttpClient) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let host: Arc<str> = listener.local_addr().expect("the listener is bound").to_string().into();
    run(async move {
        let call = Call::new(Method::POST, "/order").body(b"{}".to_vec());
        assert!(client.call(&host, &call, TIMEOUT).await.is_err());
        // The connection is closed by a task of its own.
        tokio::time::sleep(TIMEOUT).await;
    });
    let (stream, _) = listener.accept().expect("the client has connected");
    stream.set_read_timeout(Some(TIMEOUT)).expect("the timeout is valid");
    stream
}

/// Guards against orders that a network partition holds up and delivers after the sender's term: a reset drops them.
#[test]
fn reset_after_timeout() {
    let mut stream = unanswered_request(HttpClient::resetting());
    let error = stream.read_to_end(&mut Vec::new()).expect_err("the connection was reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

/// A connection of any other client ends in order, after all that was sent.
#[test]
fn orderly_end() {
    let mut stream = unanswered_request(HttpClient::default());
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("the connection ends in order");
    assert!(received.starts_with(b"POST /order"));
}
