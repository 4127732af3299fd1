//! A job that is over leaves its record and nothing else, and stays the same job.

mod support;

use std::{rc::Rc, time::Duration};

use jackdawpier_entry::{
    acceptance::{Acceptance, Intake, write_jobs},
    clock,
    configuration::Active,
    events::Events,
    keys,
    owner::{OwnerCell, own_when_free},
};
use jackdawpier_fleet::{
    fleet::JobView,
    record::{JobOutcome, JobRecord},
};
use support::{Fake, configuration, run, settings, submission};

fn start_owner(fake: &Fake, entry: &str) -> (OwnerCell, tokio::task::JoinHandle<()>) {
    fake.put("executors/executor-1", b"");
    let active = Active::default();
    active.offer(configuration(1), 1);
    let (cell, events) = (OwnerCell::default(), Events::new(entry));
    let (settings, life) = (Rc::new(settings(entry)), "life".to_owned());
    let owning = own_when_free(fake.clone(), settings, active, cell.clone(), events, life);
    (cell, tokio::task::spawn_local(owning))
}

async fn submit(intake: &Intake) -> Acceptance {
    let deadline = clock::now() + Duration::from_secs(1);
    intake.submit("job".into(), &submission(), deadline).await
}

async fn run_to_the_end(fake: &Fake) {
    for _ in 0..600 {
        if outcome(fake).is_some() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the job doesn't end");
}

fn outcome(fake: &Fake) -> Option<JobOutcome> {
    let record = fake.value(&keys::record("job"))?;
    serde_json::from_slice::<JobRecord>(&record).expect("the owner wrote it").outcome
}

#[test]
fn nothing_left() {
    run(async {
        let fake = Fake::default();
        let intake = Intake::default();
        tokio::task::spawn_local(write_jobs(fake.clone(), intake.clone()));
        let (_cell, _owning) = start_owner(&fake, "a");
        assert_eq!(submit(&intake).await, Acceptance::Accepted);
        run_to_the_end(&fake).await;
        assert!(fake.value(&keys::submission("job")).is_none());
    });
}

/// A caller that repeats itself after the end gets the same answer, and nothing runs again.
#[test]
fn repeated_submission() {
    run(async {
        let fake = Fake::default();
        let intake = Intake::default();
        tokio::task::spawn_local(write_jobs(fake.clone(), intake.clone()));
        let (_cell, _owning) = start_owner(&fake, "a");
        assert_eq!(submit(&intake).await, Acceptance::Accepted);
        run_to_the_end(&fake).await;
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
        let intake = Intake::default();
        tokio::task::spawn_local(write_jobs(fake.clone(), intake.clone()));
        let (first, owning) = start_owner(&fake, "a");
        assert_eq!(submit(&intake).await, Acceptance::Accepted);
        run_to_the_end(&fake).await;
        owning.abort();
        first.release(&fake).await;
        let (second, _owning) = start_owner(&fake, "b");
        for _ in 0..600 {
            if second.view("job").is_some() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(second.view("job"), Some(JobView::Over(JobOutcome::Completed)));
    });
}
