//! Entries of the registry that another writer has put there.

mod support;

use std::time::Duration;

use jackdawpier_entry::clock;
use jackdawpier_fleet::record::JobOutcome;
use support::{Fake, UNREADABLE, outcome, put_job, run, start_owner, wait_until};

const ENTRY: &str = "executors/executor-1";

/// An entry that turns unreadable names no executor, also when a watch brings it; the next one does.
#[test]
fn unreadable_entry() {
    run(async {
        let fake = Fake::default();
        let (_cell, _owning) = start_owner(&fake, "a");
        put_job(&fake, "before");
        assert!(wait_until(|| outcome(&fake, "before").is_some()).await);
        fake.put(ENTRY, UNREADABLE);
        tokio::time::sleep(Duration::from_millis(100)).await;
        put_job(&fake, "j");
        tokio::time::sleep(Duration::from_millis(800)).await;
        assert_eq!(fake.starts().len(), 2, "it isn't used");
        fake.put(ENTRY, b"");
        assert!(wait_until(|| outcome(&fake, "j") == Some(JobOutcome::Completed)).await);
    });
}

/// The others hold.
#[test]
fn foreign_entry() {
    run(async {
        let fake = Fake::default();
        fake.put("executors/foreign", UNREADABLE);
        let (_cell, _owning) = start_owner(&fake, "a");
        put_job(&fake, "j");
        assert!(wait_until(|| outcome(&fake, "j") == Some(JobOutcome::Completed)).await);
    });
}

/// A watch hears nothing while an executor turns unreadable, and nothing else changes: it is found out
/// within the two seconds for which a notice of leaving may go unheeded.
#[test]
fn deaf_watch() {
    run(async {
        let fake = Fake::default();
        let (_cell, _owning) = start_owner(&fake, "a");
        put_job(&fake, "before");
        assert!(wait_until(|| outcome(&fake, "before").is_some()).await);
        fake.stall_watches(true);
        fake.put(ENTRY, UNREADABLE);
        tokio::time::sleep(Duration::from_millis(1900)).await;
        fake.stall_watches(false);
        put_job(&fake, "j");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(fake.starts().len(), 2, "it isn't used");
    });
}

/// Reading a registry of thousands takes over a second: the watch was taken for silent once that was done, and
/// the whole was read again and again.
#[test]
fn long_list() {
    run(async {
        let fake = Fake::default();
        fake.set_list_delay(Duration::from_millis(1100));
        let (_cell, _owning) = start_owner(&fake, "a");
        assert!(wait_until(|| fake.listings_of("executors/") > 0).await);
        let until = clock::now() + Duration::from_secs(7);
        while clock::now() < until {
            fake.put(ENTRY, b"");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        let lists = fake.listings_of("executors/");
        assert!(lists <= 2, "read {lists} times in seven seconds");
    });
}
