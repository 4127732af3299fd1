//! Calls to a store behind a link that takes seconds for what they carry.

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

/// Carries a record of [`RECORD_BYTES`] in two seconds.
const LINK_BYTES_PER_S: u32 = 200_000;
const RECORD_BYTES: usize = 400_000;
const KEY: &str = "cells/orders/1";
/// Well above the time after which a silent store is given up, well below twice an answer's.
const SILENCE_BOUND: Duration = Duration::from_millis(2_500);

fn store() -> SocketAddr {
    spawn(|ready| {
        store_server::run(any_port(), 1, move |at| ready.send(at).expect("the test waits for it"))
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

/// A store that answers every call with `start` and then says nothing, for as long as the test runs.
fn silent_after(start: &'static [u8]) -> SocketAddr {
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

/// A reading that never arrived whole was begun again for ever, and no cell could be opened.
#[test]
fn long_answer() {
    let store = store();
    client(store).call(&put()).expect("nothing is slow here");
    let answer = slow_client(store).call(&get()).expect("the answer arrives without a pause");
    let Response::Record { record: Some(record), .. } = answer else { panic!("{answer:?}") };
    assert_eq!(record.value.len(), RECORD_BYTES);
}

/// A write that took longer to send than its answer may take was lost and sent again for ever.
#[test]
fn long_upload() {
    let store = store();
    let answer = slow_client(store).call(&put()).expect("the body leaves without a pause");
    assert_eq!(answer, Response::Written { revision: 1 });
    let found = client(store).call(&get()).expect("nothing is slow here");
    assert!(matches!(found, Response::Record { record: Some(_), .. }));
}

#[test]
fn silent_store() {
    let starts: [&[u8]; 2] = [b"", b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"is\""];
    for start in starts {
        let started_at = Instant::now();
        let error = client(silent_after(start)).call(&get()).expect_err("it never ends");
        assert!(matches!(error, StoreError::Ambiguous { .. }), "{error}");
        assert!(started_at.elapsed() < SILENCE_BOUND, "given up after {:?}", started_at.elapsed());
    }
}

/// A watch may be silent for as long as it waits.
#[test]
fn quiet_watch() {
    let prefix = "coord/".to_owned();
    let watch = Request::Watch { prefix, after_revision: 0, wait_ms: 1_500 };
    let answer = client(store()).call(&watch).expect("it waits and answers");
    assert!(matches!(answer, Response::Changes { .. }));
}
