//! Queries for jobs that are slow or fail are logged, so that they can be traced by the job's id.

mod support;

use std::{sync::Arc, time::Duration};

use hyper::Method;
use jackdawpier_entry::http_client::{Call, HttpClient, NoAnswer, SendFailure};
use support::{CONFIGURATION, Entry, Fake, put_job, run};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const TIMEOUT: Duration = Duration::from_secs(1);

fn is_counted(entry: &Entry, outcome: u16) -> bool {
    let line = format!("jackdawpier_events_total{{event=\"question\",outcome=\"{outcome}\"}} 1");
    entry.events.metrics().text().contains(&line)
}

#[test]
fn unresponsive_store() {
    run(async {
        let entry = Entry::start(&Fake::default(), None).await;
        put_job(&entry.fake, "job");
        entry.fake.set_down(true);
        assert_eq!(entry.status("GET", "/a/job", None).await, 503);
        assert!(is_counted(&entry, 503));
    });
}

#[test]
fn slow_store() {
    run(async {
        let entry = Entry::start(&Fake::default(), None).await;
        put_job(&entry.fake, "job");
        assert_eq!(entry.status("GET", "/a/job", None).await, 200);
        assert!(!is_counted(&entry, 200), "it took milliseconds");
        entry.fake.set_delay(Duration::from_millis(250));
        assert_eq!(entry.status("GET", "/a/job", None).await, 200);
        assert!(is_counted(&entry, 200));
    });
}

/// The log line of a query whose key couldn't be verified was missing.
#[test]
fn unverified_key() {
    run(async {
        let fake = Fake::default();
        fake.put(CONFIGURATION, b"1 shop-key:shop");
        let entry = Entry::start(&fake, Some(Duration::from_millis(300))).await;
        fake.set_down(true);
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(entry.status("GET", "/a/job", Some("shop-key")).await, 503);
        assert!(is_counted(&entry, 503));
    });
}

/// A refused connection, an unresponsive host and a lack of file descriptors were all reported as
/// "can't be reached".
#[test]
fn refused_connection() {
    run(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let host: Arc<str> =
            listener.local_addr().expect("the listener is bound").to_string().into();
        drop(listener);
        let call = Call::new(Method::GET, "/");
        let answer = HttpClient::default().call(&host, &call, TIMEOUT).await;
        assert_eq!(answer.err(), Some(NoAnswer::NotSent(SendFailure::Refused)));
    });
}

/// A caller that never sent the rest of a body kept its connection open and blocked a graceful shutdown without
/// limit.
#[test]
fn partial_body() {
    run(async {
        let entry = Entry::start(&Fake::default(), None).await;
        let mut stream =
            TcpStream::connect(entry.address).await.expect("the port accepts connections");
        let head = "POST /a/job HTTP/1.1\r\nhost: host\r\nx-deadline-ms: 600\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{";
        stream.write_all(head.as_bytes()).await.expect("the connection is open");
        let mut answer = String::new();
        let reading = tokio::time::timeout(TIMEOUT, stream.read_to_string(&mut answer));
        assert!(reading.await.is_ok() && answer.starts_with("HTTP/1.1 408"), "{answer}");
    });
}

/// A pending job has no record, and after a failed read of its submission the query began again with
/// the record. With every second read failing, no query was ever answered.
#[test]
fn alternating_failures() {
    run(async {
        let entry = Entry::start(&Fake::default(), None).await;
        put_job(&entry.fake, "job");
        entry.fake.serve_one_in(2);
        for _ in 0..4 {
            assert_eq!(entry.status("GET", "/a/job", None).await, 200);
        }
    });
}
