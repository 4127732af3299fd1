//! The configuration in force only rises, and routes go by their longest prefix.

mod support;

use jackdawpier_entry::configuration::Active;
use support::configuration;

#[test]
fn rising_versions() {
    let active = Active::default();
    assert!(active.offer(configuration(3), 10));
    assert!(!active.offer(configuration(2), 11));
    assert!(active.offer(configuration(4), 12));
    assert_eq!(active.get().map(|current| current.version), Some(4));
}

#[test]
fn longest_prefix() {
    let active = Active::default();
    active.offer(configuration(1), 1);
    let queue =
        |host: &str, path: &str| active.route(host, path).map(|route| route.queue.name.to_string());
    assert_eq!(queue("host", "/a/x"), Some("queue".to_owned()));
    assert_eq!(queue("HOST:80", "/a/long/x"), Some("longer".to_owned()));
    assert_eq!(queue("other", "/a/x"), None);
    assert_eq!(queue("host", "/b"), None);
}
