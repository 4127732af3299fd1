//! Calls to a store over a link so slow that a transfer takes seconds.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use jackdawpier_standin::{
    process::{any_port, spawn},
    relay::Relay,
    store_server,
};
use jackdawpier_store::{Condition, Request, Response, StoreClient, StoreError};

/// Transfers a record of [`RECORD_BYTES`] in two seconds.
const LINK_BYTES_PER_S: u32 = 200_000;
const RECORD_BYTES: usize = 400_000;
const KEY: &str = "cells/orders/1";
/// Well above the client's I/O timeout, and well below twice that of an answer.
const MAX_STALL: Duration = Duration::from_millis(2_500);

fn store() -> SocketAddr {
    spawn(|ready| {
        store_server::run(any_port(), 1, move |at| {
            ready.send(at).expect("the test receives the address");
        })
    })
}

fn client(store: SocketAddr) -> StoreClient {
    StoreClient::new(&format!("http://{store}"))
}

fn slow_client(store: SocketAddr) -> StoreClient {
    let link = Relay::start_slow(store, LINK_BYTES_PER_S).expect("there is a free port");
    client(link.address)
}

fn put() -> Request {
    Request::Put {
        key: KEY.to_owned(),
        value: "x".repeat(RECORD_BYTES),
        condition: Condition::Absent,
        lease: None,
    }
}

fn get() -> Request {
    Request::Get { key: KEY.to_owned() }
}

/// Starts a store that answers every call with `start` and then sends nothing more.
fn stalling_store(start: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("there is a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let mut open = Vec::new();
        for mut caller in listener.incoming().flatten() {
            let _ = caller.read(&mut [0; 4096]);
            let _ = caller.write_all(start);
            open.push(caller);
        }
    });
    address
}

/// Guards against a timeout for the whole read: an answer that takes longer would be fetched again
/// and again, so that the cell never opens.
#[test]
fn slow_download() {
    let store = store();
    client(store).call(&put()).expect("the direct connection is fast");
    let answer = slow_client(store).call(&get()).expect("the answer arrives without a stall");
    let Response::Record { record: Some(record), .. } = answer else { panic!("{answer:?}") };
    assert_eq!(record.value.len(), RECORD_BYTES);
}

/// Guards against counting the upload towards the answer's timeout: a large write would fail and be
/// sent again and again.
#[test]
fn slow_upload() {
    let store = store();
    let answer = slow_client(store).call(&put()).expect("the body is sent without a stall");
    assert_eq!(answer, Response::Written { revision: 1 });
    let found = client(store).call(&get()).expect("the direct connection is fast");
    assert!(matches!(found, Response::Record { record: Some(_), .. }));
}

#[test]
fn stalled_store() {
    let starts: [&[u8]; 2] = [b"", b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"is\""];
    for start in starts {
        let started_at = Instant::now();
        let error =
            client(stalling_store(start)).call(&get()).expect_err("the answer is never complete");
        assert!(matches!(error, StoreError::Ambiguous { .. }), "{error}");
        assert!(started_at.elapsed() < MAX_STALL, "failed only after {:?}", started_at.elapsed());
    }
}

/// A watch may receive nothing during its wait time.
#[test]
fn idle_watch() {
    let prefix = "coord/".to_owned();
    let watch = Request::Watch { prefix, after_revision: 0, wait_ms: 1_500 };
    let answer = client(store()).call(&watch).expect("it answers after the wait");
    assert!(matches!(answer, Response::Changes { .. }));
}
