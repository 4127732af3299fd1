//! An entry follows changes of the configuration.

mod support;

use std::time::Duration;

use jackdawpier_entry::{
    clock,
    configuration::{ActiveConfiguration, follow},
    events::Events,
};
use support::{Fake, run, wait_until};

const KEY: &str = "configuration";

/// Starts an entry and waits until the first version is in force.
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

/// A change is in force immediately, and the whole configuration, which may be large, is rarely read.
#[test]
fn watched_change() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert!(fake.reads() <= 1, "{} reads in three seconds", fake.reads());
        assert!(active.is_current(clock::now()));
        fake.put(KEY, b"2");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(version(&active), Some(2));
    });
}

/// The configuration isn't current while the store is unavailable, and is current soon after its return.
#[test]
fn store_unavailable() {
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

/// Watches that end immediately aren't repeated without a delay.
#[test]
fn cut_watch() {
    run(async {
        let fake = Fake::default();
        let active = start(&fake).await;
        fake.end_watches_at_once(true);
        tokio::time::sleep(Duration::from_secs(2)).await;
        let before = fake.watches();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(fake.watches() - before <= 5, "{} watches in a second", fake.watches() - before);
        assert!(active.is_current(clock::now()));
    });
}
