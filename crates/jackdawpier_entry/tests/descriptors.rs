//! A process without a free descriptor takes newcomers in. The test lowers the limit of its own process, so
//! it stands alone.

#[path = "support/port.rs"]
mod port;
mod support;

use std::fs::File;

use nix::sys::resource::{Resource, getrlimit, setrlimit};
use port::{ask, read, serve_port, wide_limits};
use support::run;
use tokio::net::TcpSocket;

/// Descriptors that the process may have.
const MOST_DESCRIPTORS: u64 = 64;

/// Idle connections held all descriptors: nobody else was answered until they ended.
#[test]
fn no_descriptor() {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("every process has it");
    setrlimit(Resource::RLIMIT_NOFILE, MOST_DESCRIPTORS, hard).expect("it is lower");
    run(async {
        let port = serve_port(wide_limits());
        let mut idle = Vec::new();
        for _ in 0..4 {
            idle.push(port.connect_and_ask().await);
        }
        let newcomers = [(); 2].map(|()| TcpSocket::new_v4().expect("descriptors are free"));
        let mut files = Vec::new();
        while let Ok(file) = File::open("/dev/null") {
            files.push(file);
        }
        let mut let_in = Vec::new();
        for newcomer in newcomers {
            let mut newcomer = newcomer.connect(port.address).await.expect("the port listens");
            let answer = ask(&mut newcomer).await;
            assert!(answer.starts_with("http/1.1 200"), "{answer}");
            let_in.push(newcomer);
        }
        drop(files);
        assert_eq!(read(&mut idle[0]).await, "", "the one idle for longest is closed in order");
        assert!(ask(&mut idle[3]).await.starts_with("http/1.1 200"));
    });
}
