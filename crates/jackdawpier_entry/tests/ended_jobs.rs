//! An ended job leaves only its record, and repeating its submission doesn't run it again.

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

async fn run_until_ended(fake: &Fake, intake: &Intake) {
    assert_eq!(submit(intake).await, Acceptance::Accepted);
    assert!(wait_until(|| outcome(fake, "job").is_some()).await);
}

#[test]
fn submission_removed() {
    run(async {
        let fake = Fake::default();
        let intake = start_intake(&fake);
        let (_handle, _owning) = start_owner(&fake, "a");
        run_until_ended(&fake, &intake).await;
        assert!(fake.value(&keys::submission("job")).is_none());
    });
}

/// A submission that is repeated after the job's end gets the same answer, and no task runs again.
#[test]
fn repeated_submission() {
    run(async {
        let fake = Fake::default();
        let intake = start_intake(&fake);
        let (_handle, _owning) = start_owner(&fake, "a");
        run_until_ended(&fake, &intake).await;
        let starts = fake.starts().len();
        assert_eq!(submit(&intake).await, Acceptance::Accepted);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(fake.value(&keys::submission("job")).is_none());
        assert_eq!(fake.starts().len(), starts);
    });
}

/// The next owner knows the outcome from the record alone.
#[test]
fn later_owner() {
    run(async {
        let fake = Fake::default();
        let intake = start_intake(&fake);
        let (first, owning) = start_owner(&fake, "a");
        run_until_ended(&fake, &intake).await;
        owning.abort();
        first.release(&fake).await;
        let (second, _owning) = start_owner(&fake, "b");
        assert!(wait_until(|| second.view("job").is_some()).await);
        assert_eq!(second.view("job"), Some(JobView::Over(JobOutcome::Completed)));
    });
}

/// Guards against an owner that answers that a job runs while its end is already stored and other entries report it,
/// because the answer to the owner's write is still in flight.
#[test]
fn end_being_written() {
    run(async {
        let fake = Fake::default();
        let intake = start_intake(&fake);
        let (handle, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        assert_eq!(submit(&intake).await, Acceptance::Accepted);
        let entry = Entry::start_with_owner(&fake, None, handle).await;
        fake.set_delay(Duration::from_millis(300));
        assert!(wait_until(|| outcome_of(&fake) == Some(JobOutcome::Completed)).await);
        let answer = entry.request("GET", "/a/job", None).await;
        assert!(answer.contains("Over(Completed)"), "{answer}");
    });
}

/// Guards against the same answer when the store refuses the read of the record: the query waits for the write.
#[test]
fn end_unreadable() {
    run(async {
        let fake = Fake::default();
        let intake = start_intake(&fake);
        let (handle, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.value(keys::OWNER).is_some()).await);
        assert_eq!(submit(&intake).await, Acceptance::Accepted);
        let entry = Entry::start_with_owner(&fake, None, handle.clone()).await;
        fake.set_delay(Duration::from_millis(300));
        assert!(wait_until(|| outcome_of(&fake) == Some(JobOutcome::Completed)).await);
        assert!(handle.is_ending("job"));
        fake.serve_one_in(usize::MAX);
        let answer = entry.request("GET", "/a/job", None).await;
        assert!(answer.contains("Over(Completed)"), "{answer}");
    });
}

/// Returns the durable outcome of the job, if there is a record of it.
fn outcome_of(fake: &Fake) -> Option<JobOutcome> {
    fake.value(&keys::record("job")).and_then(|_| outcome(fake, "job"))
}
