//! Access to jobs by the keys of callers, over the callers' port.

mod support;

use std::time::Duration;

use jackdawpier_entry::keys;
use support::{CONFIGURATION, Entry, Fake, run};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const DOCUMENT: &[u8] = b"1 baker-key:bakery shop-key:shop";
const VALID_FOR: Duration = Duration::from_millis(1500);

async fn start() -> Entry {
    let fake = Fake::default();
    fake.put(CONFIGURATION, DOCUMENT);
    Entry::start(&fake, Some(VALID_FOR)).await
}

#[test]
fn own_jobs() {
    run(async {
        let entry = start().await;
        assert_eq!(entry.status("POST", "/a/job", Some("shop-key")).await, 200);
        assert_eq!(entry.status("GET", "/a/job", Some("shop-key")).await, 200);
        assert_eq!(entry.status("GET", "/a/", Some("shop-key")).await, 200);
        // A repeated submission is the same job.
        assert_eq!(entry.status("POST", "/a/job", Some("shop-key")).await, 200);
        assert_eq!(entry.status("DELETE", "/a/job", Some("shop-key")).await, 200);
    });
}

/// A request without a valid key has no effect, and the answer doesn't contain the key.
#[test]
fn unknown_keys() {
    run(async {
        let entry = start().await;
        for method in ["POST", "GET", "DELETE"] {
            assert_eq!(entry.status(method, "/a/job", None).await, 401);
            let answer = entry.request(method, "/a/job", Some("nobodys-key")).await;
            assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
            assert!(!answer.contains("nobodys-key"), "{answer}");
        }
        assert_eq!(entry.status("GET", "/a/", None).await, 401);
        assert_eq!(entry.fake.value(&keys::submission("job")), None);
        assert_eq!(entry.status("POST", "/open/job", None).await, 200);
    });
}

/// Only a job's own account can query, submit or cancel it by its id.
#[test]
fn foreign_jobs() {
    run(async {
        let entry = start().await;
        assert_eq!(entry.status("POST", "/a/job", Some("shop-key")).await, 200);
        for method in ["POST", "GET", "DELETE"] {
            assert_eq!(entry.status(method, "/a/job", Some("baker-key")).await, 403, "{method}");
            assert_eq!(entry.status(method, "/open/job", None).await, 403, "{method}");
        }
        assert_eq!(entry.fake.value(&keys::cancellation("job")), None);
        assert_eq!(entry.status("GET", "/a/job", Some("shop-key")).await, 200);
    });
}

/// A key is revoked while the store is unavailable: after the validity of the last proof the entry refuses all
/// keys with a `Retry-After`, and rejects only the revoked one as soon as the store answers.
#[test]
fn revoked_key() {
    run(async {
        let entry = start().await;
        entry.fake.set_down(true);
        entry.fake.put(CONFIGURATION, b"2 baker-key:bakery");
        tokio::time::sleep(VALID_FOR).await;
        for key in ["baker-key", "shop-key"] {
            let answer = entry.request("POST", "/a/job", Some(key)).await;
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.to_ascii_lowercase().contains("retry-after"), "{answer}");
        }
        entry.fake.set_down(false);
        assert_eq!(entry.status("POST", "/a/revoked", Some("shop-key")).await, 401);
        assert_eq!(entry.status("POST", "/a/valid", Some("baker-key")).await, 200);
        assert_eq!(entry.fake.value(&keys::submission("revoked")), None);
    });
}

/// The body takes longer to arrive than a proof is valid, and the store is unavailable meanwhile: the
/// proof from after the request's arrival had expired, so the entry checked it again in a busy loop.
#[test]
fn slow_body() {
    run(async {
        let entry = start().await;
        let mut stream =
            TcpStream::connect(entry.address).await.expect("the port accepts connections");
        let head = "POST /a/job HTTP/1.1\r\nhost: host\r\nx-key: shop-key\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{";
        stream.write_all(head.as_bytes()).await.expect("the connection is open");
        // The next proof is requested after the head of the request has arrived.
        tokio::time::sleep(Duration::from_millis(1400)).await;
        entry.fake.set_down(true);
        tokio::time::sleep(VALID_FOR).await;
        stream.write_all(b"}").await.expect("the connection is open");
        let mut answer = String::new();
        let reading = stream.read_to_string(&mut answer);
        let result = tokio::time::timeout(Duration::from_secs(2), reading).await;
        assert!(result.is_ok() && answer.starts_with("HTTP/1.1 503"), "{answer}");
    });
}

/// A key that was just added is accepted although the watch hasn't reported it.
#[test]
fn added_key() {
    run(async {
        let entry = start().await;
        entry.fake.stall_watches(true);
        entry.fake.put(CONFIGURATION, b"2 baker-key:bakery shop-key:shop cafe-key:cafe");
        assert_eq!(entry.status("POST", "/a/job", Some("cafe-key")).await, 200);
    });
}

/// The same configuration document is written again: the entry treated that as a change that it couldn't adopt,
/// got no proof from then on and refused all callers with keys.
#[test]
fn rewritten_document() {
    run(async {
        let entry = start().await;
        entry.fake.put(CONFIGURATION, DOCUMENT);
        tokio::time::sleep(VALID_FOR).await;
        assert_eq!(entry.status("POST", "/a/job", Some("shop-key")).await, 200);
        assert_eq!(entry.status("GET", "/a/job", Some("shop-key")).await, 200);
    });
}
