//! How many jobs of a queue wait, where the owner's note is old.

mod support;

use std::{rc::Rc, time::Duration};

use jackdawpier_entry::{clock, keys, pending::Pending};
use support::{Fake, QUEUE, put_job, run};

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
            let (fake, pending) = (fake.clone(), Rc::new(Pending::default()));
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
