//! How many jobs of a queue wait, where the owner's note is old.

mod support;

use std::{rc::Rc, time::Duration};

use jackdawpier_entry::{clock, keys, pending::PendingCounter};
use serde_json::json;
use support::{Fake, QUEUE, WriteFault, put_job, run};

const ENTRIES: usize = 40;
const JOBS: u64 = 200;
/// A note of an owner that has been gone for long.
const OLD_NOTE: &[u8] = br#"{"at_ms":1000,"counts":{}}"#;

/// Bytes of all that was handed in.
fn put_jobs(fake: &Fake) -> usize {
    fake.put(keys::PENDING, OLD_NOTE);
    (0..JOBS).for_each(|number| put_job(fake, &format!("job-{number:03}")));
    let first = fake.value(&keys::submission("job-000")).expect("it was just put");
    first.len() * JOBS as usize
}

/// Asks at each entry ten times a second; returns the counts that differ from `JOBS`.
async fn ask_everywhere(fake: &Fake, time: Duration) -> Vec<Option<u64>> {
    let until = clock::now() + time;
    let asking: Vec<_> = (0..ENTRIES)
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
    for one in asking {
        wrong.extend(one.await.expect("it doesn't panic"));
    }
    wrong
}

/// Without an owner each entry read all jobs each second to count those that wait. That filled the store's
/// link, so that questions for jobs and the next owner's renewals went without an answer.
#[test]
fn one_count() {
    run(async {
        let fake = Fake::default();
        let bytes = put_jobs(&fake);
        let wrong = ask_everywhere(&fake, Duration::from_millis(2500)).await;
        assert_eq!(wrong, Vec::new());
        let times = fake.listed_bytes() / bytes;
        assert!(times <= 4, "all jobs were read {times} times in 2.5 s");
    });
}

/// What has come since the last count is added to it.
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
        // The first count is good enough for two seconds.
        tokio::time::sleep(Duration::from_millis(2100)).await;
        assert_eq!(count(&fake).await, Some(JOBS + 2));
        assert!(fake.reads() - reads <= 4, "the records were read again");
    });
}

/// A caller that leaves takes the count along that all others wait for.
#[test]
fn caller_gone() {
    run(async {
        let fake = Fake::default();
        put_jobs(&fake);
        fake.set_delay(Duration::from_millis(40));
        let pending = PendingCounter::default();
        let queue = QUEUE.into();
        let asking = pending.count(&fake, &queue);
        let left = tokio::time::timeout(Duration::from_millis(150), asking);
        assert!(left.await.is_err());
        tokio::time::sleep(Duration::from_millis(600)).await;
        let listed = fake.listed_bytes();
        assert_eq!(count(&fake).await, Some(JOBS));
        assert_eq!(fake.listed_bytes(), listed, "it was counted again");
    });
}

/// An entry that has set about counting is gone.
#[test]
fn lost_claim() {
    run(async {
        let fake = Fake::default();
        put_jobs(&fake);
        let claimed = json!({ "at_ms": 1000, "counts": {}, "claimed_ms": clock::wall_ms() });
        fake.put(keys::PENDING, claimed.to_string().as_bytes());
        assert_eq!(count(&fake).await, None, "nobody knows it yet");
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert_eq!(count(&fake).await, Some(JOBS));
    });
}

/// Reading the jobs takes longer than a count may be old: each reader was overtaken by the next, and none ever
/// told what it had found.
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

/// The store takes half a second an answer: two readings and a claim came before the first count, and nobody
/// waits for so long.
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

/// The write of a claim is carried out and its answer lost: nobody counted until it had grown old.
#[test]
fn unanswered_claim() {
    run(async {
        let fake = Fake::default();
        put_jobs(&fake);
        fake.fail_next_writes(&[WriteFault::AnswerLost]);
        assert_eq!(count(&fake).await, Some(JOBS));
    });
}

/// Asks at an entry that knows nothing.
async fn count(fake: &Fake) -> Option<u64> {
    PendingCounter::default().count(fake, &QUEUE.into()).await.ok()
}
