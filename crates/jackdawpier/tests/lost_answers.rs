//! Output and exit status of the tool when an entry's answer is slow or lost.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output},
    thread,
    time::Duration,
};

const EXIT_UNKNOWN: i32 = 5;
const EXIT_UNAVAILABLE: i32 = 4;
const CHUNK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of chunks whose transfer takes longer than the tool's I/O timeout.
const CHUNKS: usize = 17;

/// Starts an entry that reads the start of each call and then runs `respond`.
fn start_entry(respond: fn(&mut TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for mut caller in listener.incoming().flatten() {
            let _ = caller.read(&mut [0; 4096]);
            respond(&mut caller);
        }
    });
    address
}

fn run_tool(entry: SocketAddr, args: &[&str]) -> (Option<i32>, String, String) {
    let Output { status, stdout, stderr } = Command::new(env!("CARGO_BIN_EXE_jackdawpier"))
        .args(args)
        .env("JACKDAWPIER_ENTRY", entry.to_string())
        .output()
        .expect("the tool can be run");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (status.code(), text(stdout), text(stderr))
}

/// Guards against reporting that nothing changed although the request had been sent.
#[test]
fn change_answer_lost() {
    let entry = start_entry(|caller| drop(caller.shutdown(std::net::Shutdown::Both)));
    for args in [["wave", "start"].as_slice(), &["job", "cancel", "nightly", "id"]] {
        let (status, _, errors) = run_tool(entry, args);
        assert_eq!(status, Some(EXIT_UNKNOWN), "{errors}");
        assert!(errors.contains("may have been done") && errors.contains("next:"), "{errors}");
    }
}

#[test]
fn connection_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("the listener is bound");
    drop(listener);
    let (status, _, errors) = run_tool(address, &["wave", "start"]);
    assert_eq!(status, Some(EXIT_UNAVAILABLE), "{errors}");
}

/// Guards against a timeout for the whole call: a document that arrives slowly but steadily would
/// be aborted and fetched again from the beginning.
#[test]
fn slow_answer() {
    let entry = start_entry(|caller| {
        let _ = caller.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 19\r\n\r\n\"");
        for _ in 0..CHUNKS {
            thread::sleep(CHUNK_INTERVAL);
            let _ = caller.write_all(b"x");
        }
        let _ = caller.write_all(b"\"");
    });
    let (status, output, errors) = run_tool(entry, &["get", "test"]);
    assert_eq!((status, output.trim()), (Some(0), "\"xxxxxxxxxxxxxxxxx\""), "{errors}");
}
