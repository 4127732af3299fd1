//! A question that is late or isn't answered can be followed from the job's id.

mod support;

use std::{sync::Arc, time::Duration};

use hyper::Method;
use jackdawpier_entry::http_client::{Call, HttpClient, NoAnswer, SendFailure};
use support::{CONFIGURATION, Entry, Fake, put_job, run};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const PATIENCE: Duration = Duration::from_secs(1);

fn counted(entry: &Entry, outcome: u16) -> bool {
    let line = format!("jackdawpier_events_total{{event=\"question\",outcome=\"{outcome}\"}} 1");
    entry.events.metrics().text().contains(&line)
}

#[test]
fn silent_store() {
    run(async {
        let entry = Entry::start(&Fake::default(), None).await;
        put_job(&entry.fake, "job");
        entry.fake.set_down(true);
        assert_eq!(entry.status("GET", "/a/job", None).await, 503);
        assert!(counted(&entry, 503));
    });
}

#[test]
fn slow_store() {
    run(async {
        let entry = Entry::start(&Fake::default(), None).await;
        put_job(&entry.fake, "job");
        assert_eq!(entry.status("GET", "/a/job", None).await, 200);
        assert!(!counted(&entry, 200), "it took milliseconds");
        entry.fake.set_delay(Duration::from_millis(250));
        assert_eq!(entry.status("GET", "/a/job", None).await, 200);
        assert!(counted(&entry, 200));
    });
}

/// The line of a question whose key couldn't be checked was missing.
#[test]
fn unproved_key() {
    run(async {
        let fake = Fake::default();
        fake.put(CONFIGURATION, b"1 shop-key:shop");
        let entry = Entry::start(&fake, Some(Duration::from_millis(300))).await;
        fake.set_down(true);
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(entry.status("GET", "/a/job", Some("shop-key")).await, 503);
        assert!(counted(&entry, 503));
    });
}

/// A host that turns connections away, a silent one and a want of descriptors were all "can't be reached".
#[test]
fn named_obstacle() {
    run(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let host: Arc<str> = listener.local_addr().expect("it is bound").to_string().into();
        drop(listener);
        let call = Call::new(Method::GET, "/");
        let answer = HttpClient::default().call(&host, &call, PATIENCE).await;
        assert_eq!(answer.err(), Some(NoAnswer::NotSent(SendFailure::Refused)));
    });
}

/// A caller that never sends the rest of a body held its connection, one of those that the port may have, and a
/// planned stop, for ever.
#[test]
fn half_sent_body() {
    run(async {
        let entry = Entry::start(&Fake::default(), None).await;
        let mut stream = TcpStream::connect(entry.address).await.expect("it is served");
        let head = "POST /a/job HTTP/1.1\r\nhost: host\r\nx-deadline-ms: 600\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{";
        stream.write_all(head.as_bytes()).await.expect("it is open");
        let mut answer = String::new();
        let reading = tokio::time::timeout(PATIENCE, stream.read_to_string(&mut answer));
        assert!(reading.await.is_ok() && answer.starts_with("HTTP/1.1 408"), "{answer}");
    });
}

/// A job that waits has no record, and a refused reading of what was handed in began again at the record: no two
/// readings in a row are served here, so no question was answered, however often it was repeated.
#[test]
fn one_reading_in_two() {
    run(async {
        let entry = Entry::start(&Fake::default(), None).await;
        put_job(&entry.fake, "job");
        entry.fake.serve_one_in(2);
        for _ in 0..4 {
            assert_eq!(entry.status("GET", "/a/job", None).await, 200);
        }
    });
}
