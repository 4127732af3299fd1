//! The number of pending jobs of a queue while the owner's count is outdated.

mod support;

use std::{rc::Rc, time::Duration};

use jackdawpier_entry::{clock, keys, pending::PendingCounter};
use serde_json::json;
use support::{Fake, QUEUE, WriteFault, put_job, run};

const ENTRIES: usize = 40;
const JOBS: u64 = 200;
/// The counts of an owner that stopped long ago.
const OUTDATED_COUNTS: &[u8] = br#"{"at_ms":1000,"counts":{}}"#;

/// Stores the jobs and outdated counts; returns the total size of the submissions.
fn put_jobs(fake: &Fake) -> usize {
    fake.put(keys::PENDING, OUTDATED_COUNTS);
    (0..JOBS).for_each(|number| put_job(fake, &format!("job-{number:03}")));
    let first = fake.value(&keys::submission("job-000")).expect("it was just put");
    first.len() * JOBS as usize
}

/// Queries each entry ten times a second; returns the counts that differ from `JOBS`.
async fn query_all_entries(fake: &Fake, time: Duration) -> Vec<Option<u64>> {
    let until = clock::now() + time;
    let queries: Vec<_> = (0..ENTRIES)
        .map(|_| {
            let (fake, pending) = (fake.clone(), Rc::new(PendingCounter::default()));
            tokio::task::spawn_local(async move {
                let mut wrong = Vec::new();
                while clock::now() < until {
                    let count = pending.count(&fake, &QUEUE.into()).await.ok();
                    if count != Some(JOBS) {
                        wrong.push(count);
                    }
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
                wrong
            })
        })
        .collect();
    let mut wrong = Vec::new();
    for query in queries {
        wrong.extend(query.await.expect("the task doesn't panic"));
    }
    wrong
}

/// Without an owner each entry read all jobs every second to count the pending ones. That saturated the link of
/// the store, so that queries for jobs and the lease renewals of the next owner got no answer.
#[test]
fn shared_count() {
    run(async {
        let fake = Fake::default();
        let bytes = put_jobs(&fake);
        let wrong = query_all_entries(&fake, Duration::from_millis(2500)).await;
        assert_eq!(wrong, Vec::new());
        let times = fake.listed_bytes() / bytes;
        assert!(times <= 4, "all jobs were read {times} times in 2.5 s");
    });
}

/// Jobs that were submitted since the last count are added to it.
#[test]
fn new_jobs() {
    run(async {
        let fake = Fake::default();
        put_jobs(&fake);
        assert_eq!(count(&fake).await, Some(JOBS));
        let reads = fake.reads();
        put_job(&fake, "new-1");
        put_job(&fake, "new-2");
        put_job(&fake, "cancelled");
        fake.put(&keys::cancellation("cancelled"), b"{}");
        // The first count is used for two seconds.
        tokio::time::sleep(Duration::from_millis(2100)).await;
        assert_eq!(count(&fake).await, Some(JOBS + 2));
        assert!(fake.reads() - reads <= 4, "the records were read again");
    });
}

/// When the caller that had started a count disconnected, the count for which all others waited was cancelled.
#[test]
fn caller_disconnects() {
    run(async {
        let fake = Fake::default();
        put_jobs(&fake);
        fake.set_delay(Duration::from_millis(40));
        let pending = PendingCounter::default();
        let queue = QUEUE.into();
        let query = pending.count(&fake, &queue);
        let disconnected = tokio::time::timeout(Duration::from_millis(150), query);
        assert!(disconnected.await.is_err());
        tokio::time::sleep(Duration::from_millis(600)).await;
        let listed = fake.listed_bytes();
        assert_eq!(count(&fake).await, Some(JOBS));
        assert_eq!(fake.listed_bytes(), listed, "it was counted again");
    });
}

/// An entry that has claimed the counting stops before it is finished.
#[test]
fn abandoned_claim() {
    run(async {
        let fake = Fake::default();
        put_jobs(&fake);
        let claimed = json!({ "at_ms": 1000, "counts": {}, "claimed_ms": clock::wall_ms() });
        fake.put(keys::PENDING, claimed.to_string().as_bytes());
        assert_eq!(count(&fake).await, None, "there is no count yet");
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert_eq!(count(&fake).await, Some(JOBS));
    });
}

/// Reading the jobs takes longer than the validity of a count: each reader was superseded by the next, and none
/// ever published its result.
#[test]
fn slow_lists() {
    run(async {
        let fake = Fake::default();
        put_jobs(&fake);
        fake.set_list_delay(Duration::from_millis(1200));
        let mut counts = Vec::new();
        let until = clock::now() + Duration::from_secs(7);
        while clock::now() < until {
            counts.push(count(&fake).await);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert!(counts.contains(&Some(JOBS)), "{counts:?}");
    });
}

/// The store takes half a second per answer: the first count took two reads and a claim, which is longer than
/// callers wait.
#[test]
fn slow_store() {
    run(async {
        let fake = Fake::default();
        put_jobs(&fake);
        fake.set_delay(Duration::from_millis(500));
        let pending = PendingCounter::default();
        let queue = QUEUE.into();
        let mut answered = 0;
        for _ in 0..12 {
            answered += u32::from(pending.count(&fake, &queue).await.ok() == Some(JOBS));
        }
        assert!(answered >= 6, "{answered} of 12 were answered");
    });
}

/// The write of a claim is applied but its answer lost: nobody counted until the claim had expired.
#[test]
fn unanswered_claim() {
    run(async {
        let fake = Fake::default();
        put_jobs(&fake);
        fake.fail_next_writes(&[WriteFault::AnswerLost]);
        assert_eq!(count(&fake).await, Some(JOBS));
    });
}

/// Queries an entry without any cached count.
async fn count(fake: &Fake) -> Option<u64> {
    PendingCounter::default().count(fake, &QUEUE.into()).await.ok()
}
