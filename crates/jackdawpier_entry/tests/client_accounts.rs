//! What callers get by their keys, over the port that they use.

mod support;

use std::time::Duration;

use jackdawpier_entry::keys;
use support::{CONFIGURATION, Entry, Fake, run};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const DOCUMENT: &[u8] = b"1 baker-key:bakery shop-key:shop";
const HOLDS_FOR: Duration = Duration::from_millis(1500);

async fn start() -> Entry {
    let fake = Fake::default();
    fake.put(CONFIGURATION, DOCUMENT);
    Entry::start(&fake, Some(HOLDS_FOR)).await
}

#[test]
fn own_jobs() {
    run(async {
        let entry = start().await;
        assert_eq!(entry.status("POST", "/a/job", Some("shop-key")).await, 200);
        assert_eq!(entry.status("GET", "/a/job", Some("shop-key")).await, 200);
        assert_eq!(entry.status("GET", "/a/", Some("shop-key")).await, 200);
        // A repeat is the same job.
        assert_eq!(entry.status("POST", "/a/job", Some("shop-key")).await, 200);
        assert_eq!(entry.status("DELETE", "/a/job", Some("shop-key")).await, 200);
    });
}

/// Nothing is done for a caller without a key that stands, and it is told so without its key.
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

/// A job is shown to its own account only, and its id isn't another account's to use.
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

/// The store turns the entry away and a key is taken away meanwhile: the entry refuses both keys at once
/// when the promise is due, with when to come back, and knows which one stands as soon as it is served.
#[test]
fn taken_key() {
    run(async {
        let entry = start().await;
        entry.fake.set_down(true);
        entry.fake.put(CONFIGURATION, b"2 baker-key:bakery");
        tokio::time::sleep(HOLDS_FOR).await;
        for key in ["baker-key", "shop-key"] {
            let answer = entry.request("POST", "/a/job", Some(key)).await;
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.to_ascii_lowercase().contains("retry-after"), "{answer}");
        }
        entry.fake.set_down(false);
        assert_eq!(entry.status("POST", "/a/taken", Some("shop-key")).await, 401);
        assert_eq!(entry.status("POST", "/a/standing", Some("baker-key")).await, 200);
        assert_eq!(entry.fake.value(&keys::submission("taken")), None);
    });
}

/// A body takes longer to arrive than a proof holds, and the store is gone meanwhile: a proof from after the
/// request's arrival was there and too old, so the entry looked at it again and again and did nothing else.
#[test]
fn slow_body() {
    run(async {
        let entry = start().await;
        let mut stream = TcpStream::connect(entry.address).await.expect("it is served");
        let head = "POST /a/job HTTP/1.1\r\nhost: host\r\nx-key: shop-key\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{";
        stream.write_all(head.as_bytes()).await.expect("it is open");
        // The next proof is asked for after the request has come.
        tokio::time::sleep(Duration::from_millis(1400)).await;
        entry.fake.set_down(true);
        tokio::time::sleep(HOLDS_FOR).await;
        stream.write_all(b"}").await.expect("it is open");
        let mut answer = String::new();
        let reading = stream.read_to_string(&mut answer);
        let answered = tokio::time::timeout(Duration::from_secs(2), reading).await;
        assert!(answered.is_ok() && answer.starts_with("HTTP/1.1 503"), "{answer}");
    });
}

/// A key that has just been added is known though the watch hasn't told of it.
#[test]
fn added_key() {
    run(async {
        let entry = start().await;
        entry.fake.stall_watches(true);
        entry.fake.put(CONFIGURATION, b"2 baker-key:bakery shop-key:shop cafe-key:cafe");
        assert_eq!(entry.status("POST", "/a/job", Some("cafe-key")).await, 200);
    });
}

/// The operators' document is written again as it was: the entry took that for a change that it couldn't take
/// over, never proved a key again and refused all callers with keys.
#[test]
fn same_document_again() {
    run(async {
        let entry = start().await;
        entry.fake.put(CONFIGURATION, DOCUMENT);
        tokio::time::sleep(HOLDS_FOR).await;
        assert_eq!(entry.status("POST", "/a/job", Some("shop-key")).await, 200);
        assert_eq!(entry.status("GET", "/a/job", Some("shop-key")).await, 200);
    });
}
