//! Answers between entries over a link that takes seconds for them.

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
const SILENCE: Duration = Duration::from_millis(800);

/// Answers with as many bytes as it is asked for, and a request for none never.
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
    std::fs::remove_dir_all(&folder).expect("it is ours");
    endpoint
}

/// An endpoint that calls itself, and the addresses at which it is reached at once and slowly.
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
            endpoint.fetch(link, &ANSWER_BYTES, SILENCE).await.expect("it arrives steadily");
        assert_eq!(answer.len(), ANSWER_BYTES);
        let call = endpoint.call::<_, Vec<u8>>(link, &ANSWER_BYTES, SILENCE).await;
        assert!(matches!(call, Err(PeerError::Lost { .. })), "a call keeps its limit");
    });
}

#[test]
fn silent_peer() {
    block_on(async {
        let (endpoint, address, _) = spawn("silent-peer");
        let started_at = Instant::now();
        let answer = endpoint.fetch::<_, Vec<u8>>(address, &0, SILENCE).await;
        assert!(matches!(answer, Err(PeerError::Lost { .. })), "{answer:?}");
        assert!(started_at.elapsed() < 2 * SILENCE, "given up after {:?}", started_at.elapsed());
    });
}
