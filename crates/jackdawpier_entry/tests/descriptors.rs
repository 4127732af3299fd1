//! New connections when the process has no free file descriptor. The test lowers the limit of its own process,
//! so it needs a test binary of its own.

#[path = "support/port.rs"]
mod port;
mod support;

use std::fs::File;

use nix::sys::resource::{Resource, getrlimit, setrlimit};
use port::{ask, read, serve_port, wide_limits};
use support::run;
use tokio::net::TcpSocket;

/// Limit of file descriptors of the process.
const MAX_DESCRIPTORS: u64 = 64;

/// Idle connections used all file descriptors, so that nobody else was answered until they were closed.
#[test]
fn no_free_descriptor() {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("every process has this limit");
    setrlimit(Resource::RLIMIT_NOFILE, MAX_DESCRIPTORS, hard).expect("the limit is lowered");
    run(async {
        let port = serve_port(wide_limits());
        let mut idle = Vec::new();
        for _ in 0..4 {
            idle.push(port.connect_and_ask().await);
        }
        let new_callers = [(); 2].map(|()| TcpSocket::new_v4().expect("descriptors are free"));
        let mut files = Vec::new();
        while let Ok(file) = File::open("/dev/null") {
            files.push(file);
        }
        let mut accepted = Vec::new();
        for new_caller in new_callers {
            let mut new_caller = new_caller.connect(port.address).await.expect("the port listens");
            let answer = ask(&mut new_caller).await;
            assert!(answer.starts_with("http/1.1 200"), "{answer}");
            accepted.push(new_caller);
        }
        drop(files);
        assert_eq!(
            read(&mut idle[0]).await,
            "",
            "the longest idle connection is closed gracefully"
        );
        assert!(ask(&mut idle[3]).await.starts_with("http/1.1 200"));
    });
}
