//! How an entry keeps up with the configuration.

mod support;

use std::time::Duration;

use jackdawpier_entry::{
    clock,
    configuration::{ActiveConfiguration, follow},
    events::Events,
};
use support::{Fake, run, wait_until};

const KEY: &str = "configuration";

/// An entry that has the first version in force.
async fn start(fake: &Fake) -> ActiveConfiguration {
    fake.put(KEY, b"1");
    let active = ActiveConfiguration::default();
    tokio::task::spawn_local(follow(fake.clone(), active.clone(), Events::new("a")));
    assert!(wait_until(|| version(&active) == Some(1)).await);
    active
}

fn version(active: &ActiveConfiguration) -> Option<u64> {
    active.get().map(|current| current.version)
}

/// A change is in force at once, and the whole is seldom read, large as it may be.
#[test]
fn watched_change() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert!(fake.reads() <= 1, "{} readings in three seconds", fake.reads());
        assert!(active.is_current(clock::now()));
        fake.put(KEY, b"2");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(version(&active), Some(2));
    });
}

/// An entry whose store is gone isn't in touch, and is again soon after it is back.
#[test]
fn store_away() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake).await;
        fake.set_down(true);
        tokio::time::sleep(Duration::from_millis(3200)).await;
        assert!(!active.is_current(clock::now()));
        fake.put(KEY, b"2");
        fake.set_down(false);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(active.is_current(clock::now()));
        assert_eq!(version(&active), Some(2));
    });
}

/// Watches that are cut as soon as they wait don't make a process ask without a pause.
#[test]
fn cut_watch() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake).await;
        fake.end_watches_at_once(true);
        tokio::time::sleep(Duration::from_secs(2)).await;
        let before = fake.watches();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(fake.watches() - before <= 5, "{} in a second", fake.watches() - before);
        assert!(active.is_current(clock::now()));
    });
}
