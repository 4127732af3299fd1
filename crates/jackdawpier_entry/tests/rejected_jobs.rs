//! Rejection of jobs while queues are overloaded, over the callers' port.

mod support;

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_entry::{admission::NoteCache, clock, events::Events, keys, owner::NoteSchedule};
use jackdawpier_fleet::admission::{AccountLoad, LoadNote, QueueLoad};
use support::{CONFIGURATION, Entry, Fake, QUEUE, WriteFault, run, start_owner, wait_until};

const DOCUMENT: &[u8] = b"1 loud-key:loud quiet-key:quiet loud=10 quiet=1";

/// A note that rejects all jobs of the loud account.
fn note() -> LoadNote {
    let load = AccountLoad { admitted_permille: 0, retry_after_ms: 1000 };
    let queue = QueueLoad { priority: 0, accounts: [("loud".into(), load)].into() };
    LoadNote { at_ms: clock::wall_ms(), queues: [(QUEUE.into(), queue)].into() }
}

fn put_note(fake: &Fake) {
    fake.put(keys::LOAD, &serde_json::to_vec(&note()).expect("a note can be written as JSON"));
}

async fn start(document: &[u8]) -> Entry {
    let fake = Fake::default();
    fake.put(CONFIGURATION, document);
    Entry::start(&fake, None).await
}

/// Submits jobs of the loud account until one is rejected; returns its number and the answer.
async fn first_rejected(entry: &Entry) -> Option<(usize, String)> {
    for number in 0..40 {
        let answer = entry.request("POST", &format!("/a/job-{number}"), Some("loud-key")).await;
        if answer.starts_with("HTTP/1.1 429") {
            return Some((number, answer));
        }
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}

/// A rejected job isn't stored and is answered with a time to return. Guards against rejections of other accounts, of
/// jobs without an account, of long-running jobs, of jobs that may be stored, and of requests with another fault.
#[test]
fn only_over_share() {
    run(async {
        let entry = start(DOCUMENT).await;
        put_note(&entry.fake);
        let (number, answer) = first_rejected(&entry).await.expect("the note takes effect");
        assert!(number > 0, "the first job waited for the note");
        let answer = answer.to_ascii_lowercase();
        let is_given = |seconds| answer.contains(&format!("retry-after: {seconds}\r\n"));
        assert!((1..=4).any(is_given), "{answer}");
        assert_eq!(entry.fake.value(&keys::submission(&format!("job-{number}"))), None);

        assert_eq!(entry.status("POST", "/a/quiet", Some("quiet-key")).await, 200);
        assert_eq!(entry.status("POST", "/open/open", None).await, 200);
        assert_eq!(entry.status("POST", "/a/job-0", Some("loud-key")).await, 200);
        assert_eq!(entry.status("POST", "/a/unknown", Some("no-key")).await, 401);
        entry.fake.set_long_running(true);
        assert_eq!(entry.status("POST", "/a/long", Some("loud-key")).await, 200);
        tokio::time::sleep(Duration::from_millis(1200)).await;
        let text = entry.events.metrics().text();
        for line in [
            "jackdawpier_jobs_turned_away_total{queue=\"queue\",account=\"loud\"} 1",
            "jackdawpier_events_total{event=\"job_in\",outcome=\"TurnedAway\"} 1",
            "jackdawpier_events_total{event=\"turned_away\",outcome=\"\"} 1",
        ] {
            assert!(text.contains(line), "{text}");
        }
    });
}

/// A job that another entry has stored, whose caller got no answer and repeats it, is accepted. Guards against the
/// rejection of a job that runs.
#[test]
fn stored_elsewhere() {
    run(async {
        let entry = start(DOCUMENT).await;
        put_note(&entry.fake);
        assert!(first_rejected(&entry).await.is_some());
        entry.fake.put(&keys::submission("stored"), b"{\"account\":\"loud\"}");
        entry.fake.put(&keys::record("ended"), b"{\"account\":\"loud\"}");
        assert_eq!(entry.status("POST", "/a/stored", Some("loud-key")).await, 200);
        assert_eq!(entry.status("POST", "/a/ended", Some("loud-key")).await, 200);
        assert_eq!(entry.status("POST", "/a/unknown", Some("loud-key")).await, 429);
    });
}

/// Guards against a job that runs though its caller was told with 429 that it never will: another entry's write of it,
/// which got no answer, is applied after the rejection.
#[test]
fn late_write_after_rejection() {
    run(async {
        let entry = start(DOCUMENT).await;
        put_note(&entry.fake);
        assert!(first_rejected(&entry).await.is_some());
        let other = Entry::start(&entry.fake.with_own_connection(), None).await;
        entry.fake.fail_next_writes(&[WriteFault::Delayed; 400]);
        assert_eq!(other.status("POST", "/a/repeated", Some("loud-key")).await, 504);
        assert_eq!(entry.status("POST", "/a/repeated", Some("loud-key")).await, 429);
        entry.fake.apply_delayed_writes();
        assert_eq!(entry.fake.value(&keys::submission("repeated")), None);
    });
}

/// The owner no longer replaces the note, or this entry can't read it: the note ends by its age.
#[test]
fn outdated_note() {
    run(async {
        let entry = start(DOCUMENT).await;
        put_note(&entry.fake);
        assert!(first_rejected(&entry).await.is_some());
        tokio::time::sleep(Duration::from_millis(2100)).await;
        assert_eq!(entry.status("POST", "/a/later", Some("loud-key")).await, 200);
    });
}

/// An unreadable note: all jobs are admitted.
#[test]
fn unreadable_note() {
    run(async {
        let entry = start(DOCUMENT).await;
        entry.fake.put(keys::LOAD, b"{\"at_ms\":");
        assert!(first_rejected(&entry).await.is_none());
    });
}

/// The store answers slowly, or rejects three of four reads: no submission waits for the note, and the note still
/// takes effect.
#[test]
fn hindered_reads() {
    run(async {
        let entry = start(DOCUMENT).await;
        put_note(&entry.fake);
        entry.fake.set_delay(Duration::from_millis(300));
        let began_at = clock::now();
        assert_eq!(entry.status("POST", "/a/first", Some("loud-key")).await, 200);
        let took = clock::since(began_at);
        assert!(took < Duration::from_millis(500), "{took:?} for one write of 300 ms");
        assert!(first_rejected(&entry).await.is_some());

        let entry = start(DOCUMENT).await;
        entry.fake.serve_one_in(4);
        let mut is_rejected = false;
        for number in 0..100 {
            put_note(&entry.fake);
            let path = format!("/a/other-{number}");
            is_rejected |= entry.status("POST", &path, Some("loud-key")).await == 429;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert!(is_rejected);
    });
}

/// Without accounts with a weight no note is written, and none is read.
#[test]
fn no_weights() {
    run(async {
        let entry = start(b"1 loud-key:loud quiet-key:quiet loud=0").await;
        let (_handle, _owning) = start_owner(&entry.fake, "a");
        assert!(wait_until(|| entry.fake.value(keys::OWNER).is_some()).await);
        assert!(first_rejected(&entry).await.is_none());
        assert_eq!(entry.fake.value(keys::LOAD), None);
        assert_eq!(entry.fake.reads_of(keys::LOAD), 0);
    });
}

/// Guards against reads of the note by each job, or for each one that waits, and against a note that stays in force
/// because the same one is read again.
#[test]
fn cached_note() {
    let at = Duration::from_millis;
    let (mut cache, note) = (NoteCache::default(), note());
    assert!(cache.begin_fetch(at(0)));
    assert!(!cache.begin_fetch(at(900)), "a read is in flight");
    cache.end_fetch(at(900), Some(note.clone()));
    assert!(cache.begin_fetch(at(900)));
    cache.end_fetch(at(950), Some(note.clone()));
    assert!(!cache.begin_fetch(at(1300)));
    assert_eq!(cache.latest(at(1900)), (Some(&note), at(1000)));
    assert!(cache.begin_fetch(at(1900)));
    cache.fail_fetch();
    assert_eq!(cache.latest(at(2900)), (Some(&note), at(2000)));
}

/// Guards against writes without an overload, more often than every half second, or of an older note after a newer
/// one, and against an overload whose end isn't published since a write failed.
#[test]
fn written_notes() {
    let at = Duration::from_millis;
    let (mut schedule, overloaded, none) =
        (NoteSchedule::default(), note().queues, BTreeMap::new());
    assert!(!schedule.begin_write(at(0), &none));
    assert!(schedule.begin_write(at(250), &overloaded));
    assert!(!schedule.begin_write(at(1000), &overloaded), "a write is in flight");
    schedule.end_write(false);
    assert!(schedule.begin_write(at(1000), &overloaded));
    schedule.end_write(true);
    assert!(!schedule.begin_write(at(1250), &overloaded), "too early");
    assert!(schedule.begin_write(at(1250), &none), "the end is published at once");
    schedule.end_write(false);
    assert!(!schedule.begin_write(at(1500), &none), "too early");
    assert!(schedule.begin_write(at(1750), &none));
    schedule.end_write(true);
    assert!(!schedule.begin_write(at(9000), &none));
}

/// Guards against a series of the metrics for each of thousands of accounts.
#[test]
fn bounded_labels() {
    let metrics = Events::new("a").metrics();
    (0..1000).for_each(|number| metrics.count_rejection(QUEUE, &format!("account-{number}")));
    metrics.count_rejection(QUEUE, "account-0");
    let text = metrics.text();
    let lines: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("jackdawpier_jobs_turned_away_total"))
        .collect();
    assert_eq!(lines.len(), 201);
    assert!(lines.iter().any(|line| line.contains("\"account-0\"} 2")), "{text}");
    assert!(lines.iter().any(|line| line.contains("account=\"other\"} 800")), "{text}");
}
