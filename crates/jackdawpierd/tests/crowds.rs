//! Crowds of clients whose large request bodies don't end, at the daemon.
//!
//! The tests measure memory, so they run one at a time; `cargo test` runs no other test program meanwhile.

mod support;

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use jackdawpier_standin::{
    crowd::{Crowd, Framing},
    process_usage::{ProcessUsage, record_peak},
};
use support::{Daemon, Deployment, http, work};
use tokio::{runtime::Runtime, time::sleep};

/// Held by the running test.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const MB: usize = 1024 * 1024;
/// Memory of a machine in the settings: what the process may take without callers, and what a crowd may add.
const MEMORY_MB: usize = EMPTY_PROCESS_MB + CROWD_MB;
const EMPTY_PROCESS_MB: usize = 48;
const CROWD_MB: usize = 48;
const MAX_BODY_BYTES: usize = 262_144;
/// More than the connections of peers, executors and the crowd.
const MAX_DESCRIPTORS: usize = 2_000;
/// Size of a write of a client that sends as fast as it can.
const WHOLE: usize = 64 * 1024;
/// A daemon has read what the crowd has sent if its memory hasn't grown for this long.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Attempts of an ordinary caller, and the pause after one that wasn't served, as a refusal asks for.
const CALL_ATTEMPTS: usize = 4;
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Clients that stop one byte before the end of the largest legal body.
fn unfinished(clients: usize, framing: Framing, write_bytes: usize) -> Crowd {
    Crowd { clients, body: vec![b' '; MAX_BODY_BYTES], unsent_bytes: 1, framing, write_bytes }
}

/// The highest use of a process.
#[derive(Debug, Default)]
struct Peak {
    memory_bytes: AtomicUsize,
    descriptors: AtomicUsize,
}

impl Peak {
    fn update(&self, usage: ProcessUsage) {
        self.memory_bytes.fetch_max(usage.memory_bytes, Ordering::Relaxed);
        self.descriptors.fetch_max(usage.descriptors, Ordering::Relaxed);
    }

    fn memory_bytes(&self) -> usize {
        self.memory_bytes.load(Ordering::Relaxed)
    }

    async fn wait_until_steady(&self) {
        let began_at = Instant::now();
        let mut last = 0;
        while began_at.elapsed() < SETTLE_TIMEOUT && last != self.memory_bytes() {
            last = self.memory_bytes();
            sleep(SETTLE_TIME).await;
        }
    }
}

fn is_ordinary_served(daemon: &Daemon) -> bool {
    (0..CALL_ATTEMPTS).any(|_| {
        let answer = http("POST", daemon.callers, "/render/x", &[], &work(1, 100));
        let is_served = answer.is_some_and(|(status, _)| status == 200);
        if !is_served {
            std::thread::sleep(RETRY_DELAY);
        }
        is_served
    })
}

/// Lets a crowd come to each of two daemons in turn; one of them decides about its requests.
fn check(name: &str, crowd: &Crowd) {
    let _running = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let deployment = Deployment::new(&format!("crowd-{name}"), 2, 0);
    let limits = format!(
        "limits: {{ memory_mb: {MEMORY_MB}, body_bytes: {MAX_BODY_BYTES}, read_timeout_ms: 60000 }}"
    );
    let mut daemons = deployment.start_all_with(2, &limits);
    assert!(daemons.iter().all(is_ordinary_served), "before the crowd");
    let runtime = Runtime::new().expect("the runtime starts");
    for daemon in &mut daemons {
        let process_id = daemon.process_id();
        let ports = [daemon.callers.port()];
        let empty = ProcessUsage::read(process_id, &ports).expect("the process runs");
        let peak = Peak::default();
        let head = |number| format!("POST /render/{number} HTTP/1.1\r\nhost: x\r\n");
        let come = async {
            let clients = crowd.send(daemon.callers, head).await;
            peak.wait_until_steady().await;
            clients
        };
        let clients = runtime.block_on(async {
            tokio::select! {
                clients = come => clients,
                () = record_peak(process_id, &ports, |usage| peak.update(usage)) => Vec::new(),
            }
        });
        let shown = format!(
            "empty {} MB, peak {} MB, {peak:?}",
            empty.memory_bytes / MB,
            peak.memory_bytes() / MB
        );
        println!("{shown}");
        assert!(daemon.is_alive(), "the process ended: {shown}");
        assert!(empty.memory_bytes <= EMPTY_PROCESS_MB * MB, "without callers: {shown}");
        assert!(peak.memory_bytes() <= MEMORY_MB * MB, "over the machine's memory: {shown}");
        assert!(peak.descriptors.load(Ordering::Relaxed) <= MAX_DESCRIPTORS, "{shown}");
        assert!(is_ordinary_served(daemon), "an ordinary caller isn't served: {shown}");
        drop(clients);
    }
}

/// Many large bodies that stopped short of their end took more than the machine's memory.
#[test]
fn large_bodies() {
    check("large-bodies", &unfinished(500, Framing::Length, WHOLE));
}

/// Bodies that came in small pieces took more than the machine's memory.
#[test]
fn bodies_in_pieces() {
    check("bodies-in-pieces", &unfinished(500, Framing::Length, 1024));
}

/// Many chunked bodies that stopped short of their end took more than the machine's memory.
#[test]
fn large_chunks() {
    let framing = Framing::Chunked { chunk_bytes: 16 * 1024 };
    check("large-chunks", &unfinished(500, framing, WHOLE));
}

/// Bodies in very small chunks took more than the machine's memory.
#[test]
fn tiny_chunks() {
    let framing = Framing::Chunked { chunk_bytes: 4 };
    check("tiny-chunks", &unfinished(500, framing, WHOLE));
}
