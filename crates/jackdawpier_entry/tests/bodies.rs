//! Request bodies that are large, slow or unfinished, at the callers' port.

mod support;

use std::{cell::Cell, time::Duration};

use jackdawpier_entry::connections::ConnectionLimits;
use jackdawpier_kernel::body_budget::BodyLimits;
use support::{Entry, EntryOptions, Fake, MAX_BODY_BYTES, run, wait_until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// After this long a read fails, so that a test doesn't hang.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// More than the time after which a body that makes no progress may be evicted.
const STALL: Duration = Duration::from_millis(1100);
/// Room for one body of the largest size.
const ONE_BODY: usize = MAX_BODY_BYTES;
/// Size of an ordinary body.
const ORDINARY_BYTES: usize = 4_500;

/// Starts an entry with room for this many bytes, whose bodies don't count as stalled.
async fn start(body_bytes: usize) -> Entry {
    let bodies = BodyLimits { max_stall: Duration::MAX, ..BodyLimits::new(body_bytes) };
    Entry::start_with(&Fake::default(), EntryOptions { bodies, ..EntryOptions::default() }).await
}

async fn start_with_connections(max_open: usize) -> Entry {
    let header_timeout = Duration::from_secs(60);
    let limits = ConnectionLimits { max_open, header_timeout, ..ConnectionLimits::default() };
    Entry::start_with(&Fake::default(), EntryOptions { limits, ..EntryOptions::default() }).await
}

/// A connection with its jobs' ids.
struct Client {
    stream: TcpStream,
    jobs: Cell<u32>,
}

impl Client {
    async fn connect(entry: &Entry) -> Self {
        Self { stream: entry.connect().await, jobs: Cell::default() }
    }

    async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("the connection is open");
    }

    /// Sends the head of a submission; `framing` is the header that says where the body ends.
    async fn send_head(&mut self, framing: &str) {
        self.jobs.set(self.jobs.get() + 1);
        let port = self.stream.local_addr().expect("it is connected").port();
        let head = format!("POST /a/{port}-{} HTTP/1.1\r\nhost: host\r\n", self.jobs.get());
        self.send(format!("{head}{framing}\r\n\r\n").as_bytes()).await;
    }

    /// Sends a submission with a body of `length` bytes, of which the last `unsent` are left out.
    async fn send_body(&mut self, length: usize, unsent: usize) {
        self.send_head(&format!("content-length: {length}")).await;
        self.send(&vec![b' '; length - unsent]).await;
    }

    /// Returns the next answer, or an empty text if the connection was closed.
    async fn answer(&mut self) -> String {
        let mut buffer = [0; 4096];
        let reading = timeout(READ_TIMEOUT, self.stream.read(&mut buffer));
        let count = reading.await.expect("an answer or the end of the connection").unwrap_or(0);
        String::from_utf8_lossy(&buffer[..count]).to_ascii_lowercase()
    }

    async fn status(&mut self) -> u16 {
        let answer = self.answer().await;
        answer.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// The header of a body of the largest size.
fn largest_length() -> String {
    format!("content-length: {MAX_BODY_BYTES}")
}

/// Opens a connection and takes the room of a body of the largest size, which isn't sent yet.
async fn take_room(entry: &Entry) -> Client {
    let mut client = Client::connect(entry).await;
    client.send_head(&largest_length()).await;
    wait_for_bodies(entry, 1).await;
    client
}

/// Submits a job with a body of `length` bytes over a new connection.
async fn submit(entry: &Entry, length: usize) -> u16 {
    let mut client = Client::connect(entry).await;
    client.send_body(length, 0).await;
    client.status().await
}

/// Waits until as many bodies are being received.
async fn wait_for_bodies(entry: &Entry, count: usize) {
    assert!(wait_until(|| entry.connections.bodies().count() == count).await);
}

async fn assert_no_room_is_held(entry: &Entry) {
    wait_for_bodies(entry, 0).await;
    assert_eq!(entry.connections.bodies().held_bytes(), 0);
}

#[test]
fn largest_body() {
    run(async {
        let entry = start(ONE_BODY).await;
        assert_eq!(submit(&entry, MAX_BODY_BYTES).await, 200);
        assert_no_room_is_held(&entry).await;
        assert_eq!(submit(&entry, MAX_BODY_BYTES + 1).await, 413);
    });
}

/// A body that comes slowly is received as long as nobody needs its room.
#[test]
fn slow_body() {
    run(async {
        let entry = start(ONE_BODY).await;
        let mut client = Client::connect(&entry).await;
        client.send_body(MAX_BODY_BYTES, 3).await;
        for _ in 0..3 {
            tokio::time::sleep(STALL).await;
            client.send(b" ").await;
        }
        assert_eq!(client.status().await, 200);
    });
}

/// The frames of a body kept many times its size.
#[test]
fn tiny_chunks() {
    run(async {
        let entry = start(ONE_BODY).await;
        let mut client = Client::connect(&entry).await;
        client.send_head("transfer-encoding: chunked").await;
        client.send(&b"1\r\n \r\n".repeat(MAX_BODY_BYTES)).await;
        assert!(entry.connections.bodies().held_bytes() <= MAX_BODY_BYTES);
        client.send(b"0\r\n\r\n").await;
        assert_eq!(client.status().await, 200);
        assert_no_room_is_held(&entry).await;
    });
}

/// A chunked body beyond the limit is refused before its end.
#[test]
fn endless_chunks() {
    run(async {
        let entry = start(2 * ONE_BODY).await;
        let mut client = Client::connect(&entry).await;
        client.send_head("transfer-encoding: chunked").await;
        client
            .send(
                &b"400\r\n"
                    .iter()
                    .chain(&[b' '; 1024])
                    .chain(b"\r\n")
                    .copied()
                    .collect::<Vec<_>>()
                    .repeat(300),
            )
            .await;
        assert_eq!(client.status().await, 413);
        assert_no_room_is_held(&entry).await;
    });
}

/// A caller that stated a deadline of a day held memory for as long.
#[test]
fn deadline_of_a_day() {
    run(async {
        let max_timeout = Duration::from_millis(300);
        let options = EntryOptions { max_timeout, ..EntryOptions::default() };
        let entry = Entry::start_with(&Fake::default(), options).await;
        let mut client = Client::connect(&entry).await;
        client.send_head("x-deadline-ms: 86400000\r\ncontent-length: 1000").await;
        client.send(&[b' '; 999]).await;
        assert_eq!(client.status().await, 408);
        assert_no_room_is_held(&entry).await;
    });
}

/// A body whose stated length doesn't fit is refused at its head, and the client may come back.
#[test]
fn refused_at_head() {
    run(async {
        let entry = start(ONE_BODY).await;
        let mut first = take_room(&entry).await;
        let mut second = Client::connect(&entry).await;
        second.send_head(&largest_length()).await;
        let answer = second.answer().await;
        assert!(answer.starts_with("http/1.1 503"), "{answer}");
        assert!(answer.contains("retry-after: 1"), "{answer}");
        first.send(&vec![b' '; MAX_BODY_BYTES]).await;
        assert_eq!(first.status().await, 200);
    });
}

/// A client that sends its whole body before it reads receives the refusal, and can use its connection again.
#[test]
fn refusal_during_body() {
    run(async {
        let entry = start(ONE_BODY).await;
        let _first = take_room(&entry).await;
        let mut second = Client::connect(&entry).await;
        second.send_body(MAX_BODY_BYTES, 0).await;
        assert_eq!(second.status().await, 503);
        second.send_body(ORDINARY_BYTES, 0).await;
        assert_eq!(second.status().await, 200);
    });
}

/// A refusal would claim that the job never runs, though an earlier request with its id has stored it.
#[test]
fn refused_repeat() {
    run(async {
        let entry = start(ONE_BODY).await;
        let request = format!(
            "POST /a/job HTTP/1.1\r\nhost: host\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n"
        );
        let mut earlier = Client::connect(&entry).await;
        earlier.send(request.as_bytes()).await;
        earlier.send(&vec![b' '; MAX_BODY_BYTES]).await;
        assert_eq!(earlier.status().await, 200);
        let _other = take_room(&entry).await;
        earlier.send(request.as_bytes()).await;
        assert_eq!(earlier.status().await, 504);
    });
}

/// A refusal claims that the job never runs, though another entry has stored it.
#[test]
fn no_room_for_stored_elsewhere() {
    run(async {
        let fake = Fake::default();
        let other = Entry::start(&fake, None).await;
        let bodies = BodyLimits { max_stall: Duration::MAX, ..BodyLimits::new(ONE_BODY) };
        let entry =
            Entry::start_with(&fake, EntryOptions { bodies, ..EntryOptions::default() }).await;
        assert_eq!(other.status("POST", "/a/job", None).await, 200);
        let _large = take_room(&entry).await;
        let mut repeat = Client::connect(&entry).await;
        let head = format!("POST /a/job HTTP/1.1\r\nhost: host\r\n{}\r\n\r\n", largest_length());
        repeat.send(head.as_bytes()).await;
        let status = repeat.status().await;
        assert_ne!(status, 503, "the job is stored and will run");
    });
}

/// A body that has stalled gives way to one that arrives, and its client gets an answer.
#[test]
fn stalled_body() {
    run(async {
        let bodies = BodyLimits::new(ONE_BODY);
        let options = EntryOptions { bodies, ..EntryOptions::default() };
        let entry = Entry::start_with(&Fake::default(), options).await;
        let mut stalled = take_room(&entry).await;
        stalled.send(&vec![b' '; MAX_BODY_BYTES - 1]).await;
        tokio::time::sleep(STALL).await;
        assert_eq!(submit(&entry, MAX_BODY_BYTES).await, 200);
        assert_eq!(stalled.status().await, 503);
        assert_no_room_is_held(&entry).await;
    });
}

/// Ordinary callers are served while large bodies take all the room, also before any of these has stalled.
#[test]
fn ordinary_beside_large() {
    run(async {
        let entry = start(ONE_BODY).await;
        let mut large = take_room(&entry).await;
        large.send(&vec![b' '; MAX_BODY_BYTES - 1]).await;
        for _ in 0..20 {
            assert_eq!(submit(&entry, ORDINARY_BYTES).await, 200);
        }
        large.send(b" ").await;
        assert_eq!(large.status().await, 200);
    });
}

/// The room of a body is given back however its request ends.
#[test]
fn room_given_back() {
    run(async {
        let max_timeout = Duration::from_millis(500);
        let options = EntryOptions { max_timeout, ..EntryOptions::default() };
        let entry = Entry::start_with(&Fake::default(), options).await;
        assert_eq!(submit(&entry, MAX_BODY_BYTES).await, 200);
        assert_no_room_is_held(&entry).await;

        let mut broken_off = Client::connect(&entry).await;
        broken_off.send_body(MAX_BODY_BYTES, 1).await;
        wait_for_bodies(&entry, 1).await;
        drop(broken_off);
        assert_no_room_is_held(&entry).await;

        let mut late = Client::connect(&entry).await;
        late.send_head(&format!("x-deadline-ms: 60000\r\ncontent-length: {MAX_BODY_BYTES}")).await;
        assert_eq!(late.status().await, 408);
        assert_no_room_is_held(&entry).await;

        let mut malformed = Client::connect(&entry).await;
        malformed.send_head("transfer-encoding: chunked").await;
        malformed.send(b"no chunk\r\n").await;
        malformed.answer().await;
        assert_no_room_is_held(&entry).await;

        entry.fake.set_down(true);
        assert_ne!(submit(&entry, MAX_BODY_BYTES).await, 200);
        assert_no_room_is_held(&entry).await;
    });
}

/// Requests whose bodies didn't come filled the port, and new callers waited for their deadlines.
#[test]
fn port_full_of_bodies() {
    run(async {
        let entry = start_with_connections(4).await;
        let mut unfinished = Vec::new();
        for _ in 0..4 {
            let mut client = Client::connect(&entry).await;
            client.send_head("x-deadline-ms: 60000\r\ncontent-length: 1000").await;
            unfinished.push(client);
        }
        wait_for_bodies(&entry, 4).await;
        assert_eq!(submit(&entry, ORDINARY_BYTES).await, 200);
        // All but the evicted one still have their connections.
        for client in &mut unfinished[1..] {
            client.send(&[b' '; 1000]).await;
            assert_eq!(client.status().await, 200);
        }
    });
}

/// A trickling body occupied its connection for as long as its client liked.
#[test]
fn port_full_of_trickling_bodies() {
    run(async {
        let entry = start_with_connections(1).await;
        let mut trickling = Client::connect(&entry).await;
        trickling.send_head("x-deadline-ms: 60000\r\ncontent-length: 100000").await;
        wait_for_bodies(&entry, 1).await;
        let trickle = async {
            while trickling.stream.write_all(b" ").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::select! {
            status = submit(&entry, ORDINARY_BYTES) => assert_eq!(status, 200),
            () = trickle => unreachable!("the newcomer is answered before the evicted client sees its end"),
        }
    });
}

/// Half request heads filled the port, and new callers waited for the header timeout.
#[test]
fn port_full_of_heads() {
    run(async {
        let entry = start_with_connections(2).await;
        let mut partial = Vec::new();
        for _ in 0..2 {
            let mut client = Client::connect(&entry).await;
            client.send(b"POST /a/job HT").await;
            partial.push(client);
        }
        assert!(wait_until(|| entry.connections.counts().open == 2).await);
        assert_eq!(submit(&entry, ORDINARY_BYTES).await, 200);
    });
}

/// A body on a request that takes none doesn't disturb the next request of its connection.
#[test]
fn body_of_a_query() {
    run(async {
        let entry = start(ONE_BODY).await;
        let mut client = Client::connect(&entry).await;
        for (method, path, status) in [
            ("GET", "/a/unknown", 410),
            ("DELETE", "/a/unknown", 410),
            ("POST", "/none/job", 404),
            ("PUT", "/a/job", 405),
        ] {
            let head = format!(
                "{method} {path} HTTP/1.1\r\nhost: host\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n"
            );
            client.send(head.as_bytes()).await;
            client.send(&vec![b' '; MAX_BODY_BYTES]).await;
            assert_eq!(client.status().await, status, "{method} {path}");
        }
        assert_no_room_is_held(&entry).await;
    });
}

/// A refused body that doesn't end doesn't occupy its connection.
#[test]
fn unfinished_refused_body() {
    run(async {
        let entry = start_with_connections(1).await;
        let mut refused = Client::connect(&entry).await;
        refused.send(b"GET /a/unknown HTTP/1.1\r\nhost: host\r\ncontent-length: 9\r\n\r\n").await;
        assert_eq!(refused.status().await, 410);
        assert_eq!(submit(&entry, ORDINARY_BYTES).await, 200);
        assert_eq!(refused.answer().await, "");
    });
}
