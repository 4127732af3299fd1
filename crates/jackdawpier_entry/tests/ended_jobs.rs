//! A job that is over leaves its record and nothing else, and stays the same job.

mod support;

use std::time::Duration;

use jackdawpier_entry::{
    acceptance::{Acceptance, Intake},
    clock, keys,
};
use jackdawpier_fleet::{fleet::JobView, record::JobOutcome};
use support::{Entry, Fake, outcome, run, start_intake, start_owner, submission, wait_until};

async fn submit(intake: &Intake) -> Acceptance {
    let deadline = clock::now() + Duration::from_secs(1);
    intake.submit("job".into(), &submission(), deadline).await
}

async fn run_to_the_end(fake: &Fake, intake: &Intake) {
    assert_eq!(submit(intake).await, Acceptance::Accepted);
    assert!(wait_until(|| outcome(fake, "job").is_some()).await);
}

#[test]
fn nothing_left() {
    run(async {
        let fake = Fake::default();
        let intake = start_intake(&fake);
        let (_cell, _owning) = start_owner(&fake, "a");
        run_to_the_end(&fake, &intake).await;
        assert!(fake.value(&keys::submission("job")).is_none());
    });
}

/// A caller that repeats itself after the end gets the same answer, and nothing runs again.
#[test]
fn repeated_submission() {
    run(async {
        let fake = Fake::default();
        let intake = start_intake(&fake);
        let (_cell, _owning) = start_owner(&fake, "a");
        run_to_the_end(&fake, &intake).await;
        let starts = fake.starts().len();
        assert_eq!(submit(&intake).await, Acceptance::Accepted);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(fake.value(&keys::submission("job")).is_none());
        assert_eq!(fake.starts().len(), starts);
    });
}

/// The next owner tells the outcome from the record alone.
#[test]
fn later_owner() {
    run(async {
        let fake = Fake::default();
        let intake = start_intake(&fake);
        let (first, owning) = start_owner(&fake, "a");
        run_to_the_end(&fake, &intake).await;
        owning.abort();
        first.release(&fake).await;
        let (second, _owning) = start_owner(&fake, "b");
        assert!(wait_until(|| second.view("job").is_some()).await);
        assert_eq!(second.view("job"), Some(JobView::Over(JobOutcome::Completed)));
    });
}

/// The store held the end already, so that other entries told of it, while the owner went on saying that the job
/// runs until the answer to its write came.
#[test]
fn end_on_its_way() {
    run(async {
        let fake = Fake::default();
        let intake = start_intake(&fake);
        let (cell, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        assert_eq!(submit(&intake).await, Acceptance::Accepted);
        let entry = Entry::start_with_owner(&fake, None, cell).await;
        fake.set_delay(Duration::from_millis(300));
        assert!(wait_until(|| outcome_of(&fake) == Some(JobOutcome::Completed)).await);
        let answer = entry.ask("GET", "/a/job", None).await;
        assert!(answer.contains("Over(Completed)"), "{answer}");
    });
}

/// The durable outcome of the job, if there is a record of it yet.
fn outcome_of(fake: &Fake) -> Option<JobOutcome> {
    fake.value(&keys::record("job")).and_then(|_| outcome(fake, "job"))
}
