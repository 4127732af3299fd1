//! Answers between entries over a link on which they take seconds.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawpier_peer::{PeerEndpoint, PeerError, PeerService, TlsFiles};
use jackdawpier_standin::{
    keys,
    process::{any_port, block_on},
    udp_link,
};

const LINK_BYTES_PER_S: u32 = 200_000;
const ANSWER_BYTES: usize = 400_000;
const IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Answers with the requested number of bytes, and never answers a request for none.
#[derive(Clone)]
struct Bytes;

impl PeerService for Bytes {
    type Request = usize;
    type Answer = Vec<u8>;

    async fn handle(&self, request: usize) -> Vec<u8> {
        if request == 0 {
            std::future::pending::<()>().await;
        }
        vec![7; request]
    }
}

fn endpoint(test: &str) -> PeerEndpoint {
    let folder = std::env::temp_dir().join(format!("jackdawpier-{test}-{}", std::process::id()));
    keys::write_keys(&folder, &["a".to_owned()]).expect("the folder can be written");
    let file = |name: &str| folder.join(name).display().to_string();
    let files = TlsFiles {
        authority_file: file("authority.pem"),
        certificate_file: file("a.pem"),
        key_file: file("a.key"),
    };
    let endpoint = PeerEndpoint::bind(any_port(), &files).expect("there is a free port");
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
    endpoint
}

/// Starts an endpoint that calls itself; returns it with its direct address and the address of a
/// slow link to it.
fn spawn(test: &str) -> (PeerEndpoint, SocketAddr, SocketAddr) {
    let endpoint = endpoint(test);
    let serving = endpoint.clone();
    tokio::spawn(async move { serving.serve(Bytes).await });
    let address = endpoint.local_address();
    let link = udp_link::start(address, LINK_BYTES_PER_S).expect("there is a free port");
    (endpoint, address, link)
}

#[test]
fn long_answer() {
    block_on(async {
        let (endpoint, _, link) = spawn("long-answer");
        let answer: Vec<u8> =
            endpoint.fetch(link, &ANSWER_BYTES, IDLE_TIMEOUT).await.expect("it arrives steadily");
        assert_eq!(answer.len(), ANSWER_BYTES);
        let call = endpoint.call::<_, Vec<u8>>(link, &ANSWER_BYTES, IDLE_TIMEOUT).await;
        assert!(matches!(call, Err(PeerError::Lost { .. })), "a call keeps its timeout");
    });
}

#[test]
fn unresponsive_peer() {
    block_on(async {
        let (endpoint, address, _) = spawn("unresponsive-peer");
        let started_at = Instant::now();
        let answer = endpoint.fetch::<_, Vec<u8>>(address, &0, IDLE_TIMEOUT).await;
        assert!(matches!(answer, Err(PeerError::Lost { .. })), "{answer:?}");
        assert!(
            started_at.elapsed() < 2 * IDLE_TIMEOUT,
            "given up after {:?}",
            started_at.elapsed()
        );
    });
}
