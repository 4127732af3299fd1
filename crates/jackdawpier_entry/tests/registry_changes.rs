//! Which updates of the registry are reported as changes.

mod support;

use jackdawpier_entry::{
    ports::Formats,
    registry::{Registry, RegistryChange},
};
use jackdawpier_fleet::executor::ExecutorInfo;
use support::Fake;

fn info(id: &str) -> ExecutorInfo {
    let read = Fake::default().read_executor("executors/executor-1", b"");
    ExecutorInfo { id: id.into(), ..read.expect("the entry can be read") }
}

/// A renewal is reported only if it changes the registration.
#[test]
fn renewed_entry() {
    let mut registry = Registry::default();
    let first = registry.put("a", Some(info("a")));
    assert_eq!(first, Some(RegistryChange::Registered(info("a"))));
    assert_eq!(registry.put("a", Some(info("a"))), None);
    let leaving = ExecutorInfo { is_draining: true, ..info("a") };
    let changed = registry.put("a", Some(leaving.clone()));
    assert_eq!(changed, Some(RegistryChange::Registered(leaving)));
}

/// An entry that becomes unreadable unregisters its executor once.
#[test]
fn unreadable_entry() {
    let mut registry = Registry::default();
    registry.put("a", Some(info("a")));
    assert_eq!(registry.put("a", None), Some(RegistryChange::Unregistered("a".into())));
    assert_eq!(registry.put("a", None), None);
    assert_eq!(registry.remove("a"), None);
}

/// A listing reports the changes that a watch missed, and nothing else.
#[test]
fn relisted_entries() {
    let mut registry = Registry::default();
    for id in ["a", "b", "c"] {
        registry.put(id, Some(info(id)));
    }
    let leaving = ExecutorInfo { is_draining: true, ..info("b") };
    let listed = [("a", info("a")), ("b", leaving.clone()), ("d", info("d"))];
    let listed = listed.map(|(key, info)| (key.to_owned(), Some(info))).to_vec();
    let changes = registry.replace(listed.clone());
    let expected = [
        RegistryChange::Registered(leaving),
        RegistryChange::Registered(info("d")),
        RegistryChange::Unregistered("c".into()),
    ];
    assert_eq!(changes, expected);
    assert!(registry.replace(listed).is_empty());
}
