//! The owner runs stored jobs on executors and writes their outcomes, whichever answers the store loses.

mod support;

use std::{rc::Rc, time::Duration};

use jackdawpier_entry::{keys, pending::PendingCounter};
use jackdawpier_fleet::{fleet::JobView, record::JobOutcome, spec::Resources};
use support::{
    Fake, QUEUE, WriteFault, outcome, put_job, run, start_owner, submission, wait_until,
};

#[test]
fn completed_job() {
    run(async {
        let fake = Fake::default();
        let (handle, _owning) = start_owner(&fake, "a");
        put_job(&fake, "j");
        let completed = Some(JobView::Over(JobOutcome::Completed));
        assert!(wait_until(|| handle.view("j") == completed).await);
        assert_eq!(outcome(&fake, "j"), Some(JobOutcome::Completed));
        assert_eq!(fake.starts().len(), 2);
    });
}

#[test]
fn failed_writes() {
    run(async {
        let fake = Fake::default();
        let (_handle, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        let fates = [
            WriteFault::AnswerLost,
            WriteFault::Lost,
            WriteFault::Refused,
            WriteFault::AnswerLost,
            WriteFault::AnswerLost,
        ];
        fake.fail_next_writes(&fates);
        put_job(&fake, "j");
        assert!(wait_until(|| outcome(&fake, "j") == Some(JobOutcome::Completed)).await);
        assert_eq!(fake.starts().len(), 2, "no task is started twice");
    });
}

#[test]
fn after_takeover() {
    run(async {
        let fake = Fake::default();
        let (handle, owning) = start_owner(&fake, "a");
        put_job(&fake, "j");
        assert!(wait_until(|| outcome(&fake, "j").is_some()).await);
        owning.abort();
        handle.release(&fake).await;
        let (next, _owning) = start_owner(&fake, "b");
        put_job(&fake, "k");
        assert!(wait_until(|| outcome(&fake, "k").is_some()).await);
        assert_eq!(next.view("j"), Some(JobView::Over(JobOutcome::Completed)));
        assert_eq!(fake.starts().len(), 4, "ended tasks aren't started again");
    });
}

#[test]
fn cancelled_before_start() {
    run(async {
        let fake = Fake::default();
        put_job(&fake, "j");
        fake.put(&keys::cancellation("j"), b"{}");
        let (_handle, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| outcome(&fake, "j") == Some(JobOutcome::Cancelled)).await);
        assert!(fake.starts().is_empty());
    });
}

/// The last owner's counts are stale: the jobs are counted instead.
#[test]
fn stale_counts() {
    run(async {
        let fake = Fake::default();
        fake.put(keys::PENDING, br#"{"at_ms":1000,"counts":{}}"#);
        put_job(&fake, "j");
        put_job(&fake, "k");
        fake.put(&keys::cancellation("k"), b"{}");
        assert_eq!(PendingCounter::default().count(&fake, &QUEUE.into()).await, Ok(1));
    });
}

/// Concurrent callers share one count while there is no owner: reading a day's records saturates a slow link.
#[test]
fn shared_count() {
    run(async {
        let fake = Fake::default();
        put_job(&fake, "j");
        let pending = Rc::new(PendingCounter::default());
        let asking: Vec<_> = (0..20)
            .map(|_| {
                let (fake, pending) = (fake.clone(), pending.clone());
                let count = async move { pending.count(&fake, &QUEUE.into()).await };
                tokio::task::spawn_local(count)
            })
            .collect();
        for count in asking {
            assert_eq!(count.await.expect("the task doesn't panic"), Ok(1));
        }
        assert_eq!(fake.listings(), 2, "one of submissions, one of records");
    });
}

/// The watch misses a burst of jobs after many reported ones: an early listing finds them.
#[test]
fn stalled_watch() {
    run(async {
        let fake = Fake::default();
        let (handle, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        for number in 0..40 {
            put_job(&fake, &format!("before-{number}"));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        fake.stall_watches(true);
        for number in 0..10 {
            put_job(&fake, &format!("missed-{number}"));
        }
        tokio::time::sleep(Duration::from_millis(900)).await;
        let known = (0..10).filter(|number| handle.view(&format!("missed-{number}")).is_some());
        assert_eq!(known.count(), 10);
    });
}

/// A burst of demand arrives while the store takes 0.32 s per answer. Each job needs two consecutive writes, which
/// must not wait for the writes of hundreds of other jobs.
#[test]
fn slow_store_burst() {
    run(async {
        let fake = Fake::default();
        let (_handle, _owning) = start_owner(&fake, "a");
        put_job(&fake, "before");
        assert!(wait_until(|| outcome(&fake, "before").is_some()).await);
        fake.set_delay(Duration::from_millis(320));
        let mut small = submission();
        small.spec.steps.iter_mut().for_each(|step| step.need = Resources::default());
        let value = serde_json::to_vec(&small).expect("a submission can be written as JSON");
        (0..400).for_each(|number| fake.put(&keys::submission(&format!("j-{number}")), &value));
        tokio::time::sleep(Duration::from_secs(4)).await;
        let ended = (0..400).filter(|number| outcome(&fake, &format!("j-{number}")).is_some());
        assert_eq!(ended.count(), 400, "jobs that ended within four seconds");
    });
}
