//! What the tool says when an entry's answer is late or lost.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output},
    thread,
    time::Duration,
};

const UNKNOWN: i32 = 5;
const UNAVAILABLE: i32 = 4;
const SECOND: Duration = Duration::from_secs(1);
/// Above the tool's patience with a silent entry.
const PIECES: usize = 17;

/// An entry that reads the start of each call and does `act`.
fn entry(act: fn(&mut TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for mut caller in listener.incoming().flatten() {
            let _ = caller.read(&mut [0; 4096]);
            act(&mut caller);
        }
    });
    address
}

fn run(entry: SocketAddr, args: &[&str]) -> (Option<i32>, String, String) {
    let Output { status, stdout, stderr } = Command::new(env!("CARGO_BIN_EXE_jackdawpier"))
        .args(args)
        .env("JACKDAWPIER_ENTRY", entry.to_string())
        .output()
        .expect("the tool can be run");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (status.code(), text(stdout), text(stderr))
}

/// The tool said that nothing was changed.
#[test]
fn lost_change() {
    let entry = entry(|caller| drop(caller.shutdown(std::net::Shutdown::Both)));
    for args in [["wave", "start"].as_slice(), &["job", "cancel", "nightly", "id"]] {
        let (status, _, errors) = run(entry, args);
        assert_eq!(status, Some(UNKNOWN), "{errors}");
        assert!(errors.contains("may have been done") && errors.contains("next:"), "{errors}");
    }
}

#[test]
fn nothing_sent() {
    let unused = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = unused.local_addr().expect("it is bound");
    drop(unused);
    let (status, _, errors) = run(address, &["wave", "start"]);
    assert_eq!(status, Some(UNAVAILABLE), "{errors}");
}

/// A document that takes long on the operator's line was given up and began again from its start.
#[test]
fn long_answer() {
    let entry = entry(|caller| {
        let _ = caller.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 19\r\n\r\n\"");
        for _ in 0..PIECES {
            thread::sleep(SECOND);
            let _ = caller.write_all(b"x");
        }
        let _ = caller.write_all(b"\"");
    });
    let (status, shown, errors) = run(entry, &["get", "test"]);
    assert_eq!((status, shown.trim()), (Some(0), "\"xxxxxxxxxxxxxxxxx\""), "{errors}");
}
