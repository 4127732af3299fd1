//! The version in force never decreases, and the route with the longest prefix is chosen.

mod support;

use jackdawpier_entry::configuration::ActiveConfiguration;
use support::configuration;

#[test]
fn increasing_versions() {
    let active = ActiveConfiguration::default();
    assert!(active.adopt_if_newer(configuration(3), 10));
    assert!(!active.adopt_if_newer(configuration(2), 11));
    assert!(active.adopt_if_newer(configuration(4), 12));
    assert_eq!(active.get().map(|current| current.version), Some(4));
}

#[test]
fn longest_prefix() {
    let active = ActiveConfiguration::default();
    active.adopt_if_newer(configuration(1), 1);
    let queue =
        |host: &str, path: &str| active.route(host, path).map(|route| route.queue.name.to_string());
    assert_eq!(queue("host", "/a/x"), Some("queue".to_owned()));
    assert_eq!(queue("HOST:80", "/a/long/x"), Some("longer".to_owned()));
    assert_eq!(queue("other", "/a/x"), None);
    assert_eq!(queue("host", "/b"), None);
}
