//! The owner carries jobs from the store to the executors and back, whatever the store loses.

mod support;

use std::{rc::Rc, time::Duration};

use jackdawpier_entry::{keys, pending::PendingCounter};
use jackdawpier_fleet::{fleet::JobView, record::JobOutcome, spec::Resources};
use support::{
    Fake, QUEUE, WriteFault, outcome, put_job, run, start_owner, submission, wait_until,
};

#[test]
fn whole_path() {
    run(async {
        let fake = Fake::default();
        let (cell, _owning) = start_owner(&fake, "a");
        put_job(&fake, "j");
        let completed = Some(JobView::Over(JobOutcome::Completed));
        assert!(wait_until(|| cell.view("j") == completed).await);
        assert_eq!(outcome(&fake, "j"), Some(JobOutcome::Completed));
        assert_eq!(fake.starts().len(), 2);
    });
}

#[test]
fn lost_writes() {
    run(async {
        let fake = Fake::default();
        let (_cell, _owning) = start_owner(&fake, "a");
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
fn next_owner() {
    run(async {
        let fake = Fake::default();
        let (cell, owning) = start_owner(&fake, "a");
        put_job(&fake, "j");
        assert!(wait_until(|| outcome(&fake, "j").is_some()).await);
        owning.abort();
        cell.release(&fake).await;
        let (next, _owning) = start_owner(&fake, "b");
        put_job(&fake, "k");
        assert!(wait_until(|| outcome(&fake, "k").is_some()).await);
        assert_eq!(next.view("j"), Some(JobView::Over(JobOutcome::Completed)));
        assert_eq!(fake.starts().len(), 4, "what was done isn't done again");
    });
}

#[test]
fn cancelled_before() {
    run(async {
        let fake = Fake::default();
        put_job(&fake, "j");
        fake.put(&keys::cancellation("j"), b"{}");
        let (_cell, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| outcome(&fake, "j") == Some(JobOutcome::Cancelled)).await);
        assert!(fake.starts().is_empty());
    });
}

/// An owner that is gone leaves a note behind that grows old.
#[test]
fn old_note() {
    run(async {
        let fake = Fake::default();
        fake.put(keys::PENDING, br#"{"at_ms":1000,"counts":{}}"#);
        put_job(&fake, "j");
        put_job(&fake, "k");
        fake.put(&keys::cancellation("k"), b"{}");
        assert_eq!(PendingCounter::default().count(&fake, &QUEUE.into()).await, Ok(1));
    });
}

/// All who ask while there is no owner share one count: a day's records fill a thin link.
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
        for one in asking {
            assert_eq!(one.await.expect("it doesn't panic"), Ok(1));
        }
        assert_eq!(fake.listings(), 2, "one of what was handed in, one of records");
    });
}

/// Watches that hear nothing just when much comes in: what is handed in then begins all the same.
#[test]
fn deaf_watch() {
    run(async {
        let fake = Fake::default();
        let (cell, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        for number in 0..40 {
            put_job(&fake, &format!("before-{number}"));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        fake.stall_watches(true);
        for number in 0..10 {
            put_job(&fake, &format!("unheard-{number}"));
        }
        tokio::time::sleep(Duration::from_millis(900)).await;
        let known = (0..10).filter(|number| cell.view(&format!("unheard-{number}")).is_some());
        assert_eq!(known.count(), 10);
    });
}

/// A turn of demand comes while the store takes 0.32 s an answer: each job needs two records written, one
/// after the other, and must not wait for those of hundreds of others.
#[test]
fn slow_records() {
    run(async {
        let fake = Fake::default();
        let (_cell, _owning) = start_owner(&fake, "a");
        put_job(&fake, "before");
        assert!(wait_until(|| outcome(&fake, "before").is_some()).await);
        fake.set_delay(Duration::from_millis(320));
        let mut small = submission();
        small.spec.steps.iter_mut().for_each(|step| step.need = Resources::default());
        let value = serde_json::to_vec(&small).expect("it is plain data");
        (0..400).for_each(|number| fake.put(&keys::submission(&format!("j-{number}")), &value));
        tokio::time::sleep(Duration::from_secs(4)).await;
        let over = (0..400).filter(|number| outcome(&fake, &format!("j-{number}")).is_some());
        assert_eq!(over.count(), 400, "a turn lasts four seconds");
    });
}
