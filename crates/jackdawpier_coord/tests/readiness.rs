//! When an entry that has just started may say that it serves.

use std::time::Duration;

use jackdawpier_coord::{
    configuration::{Configuration, Document, MembershipStatus, WriterId},
    keys,
    membership::{Member, View},
};
use jackdawpier_kernel::Now;
use jackdawpier_settings::declaration::{CeilingOptions, Declaration};
use jackdawpier_store::Record;

const ISOLATION_LIMIT: Duration = Duration::from_secs(2);
const STARTED_AT: Now = Duration::from_millis(100);

fn record_of_member(name: &str) -> Record {
    let member = Member {
        entry: name.into(),
        zone: "riga-1".into(),
        peer_address: String::new(),
        operator_address: String::new(),
        incarnation: 1,
        in_force: [("test".to_owned(), 1)].into(),
        is_stopping: false,
    };
    let value = serde_json::to_string(&member).expect("it is plain data");
    Record { key: keys::member(name), value, revision: 1, lease: None }
}

/// An entry that has read the store, in which `members` are recorded.
fn read_by_newcomer(members: &[&str]) -> Configuration {
    let mut view = View::default();
    members.iter().for_each(|name| view.apply_record(&record_of_member(name)));
    let mut configuration = Configuration::new(ISOLATION_LIMIT);
    let declaration = Declaration {
        deployment: "test".to_owned(),
        classes: Vec::new(),
        ceilings: CeilingOptions::default(),
    };
    let writer = WriterId { entry: "a".into(), incarnation: 1, sequence: 1 };
    configuration.adopt_if_newer(Document { revision: 1, writer, declaration });
    configuration.on_store_answer(STARTED_AT, &view);
    configuration
}

fn standing(member_until: Now) -> MembershipStatus {
    MembershipStatus { entry: "b".into(), member_until }
}

/// The store names a member that nobody has heard: its word may be newer than the store's, so its
/// documents are waited for, from the very reading that named it.
#[test]
fn unheard_member() {
    let mut configuration = read_by_newcomer(&["a"]);
    let member = standing(Duration::from_secs(8));
    assert!(!configuration.is_ready(STARTED_AT, &member));
    assert!(configuration.is_ready(STARTED_AT + ISOLATION_LIMIT, &member));
}

/// The store answers, so it isn't out: an entry without a lease waits for it and doesn't say that it
/// serves, only to refuse the next request.
#[test]
fn store_answers() {
    let mut configuration = read_by_newcomer(&[]);
    assert!(!configuration.is_ready(STARTED_AT, &standing(Now::ZERO)));
    assert!(configuration.is_ready(STARTED_AT, &standing(Duration::from_secs(8))));
}

/// A lease that runs out while the store is silent ends no service.
#[test]
fn store_out() {
    let mut configuration = read_by_newcomer(&[]);
    let member_until = Duration::from_secs(8);
    assert!(configuration.is_ready(STARTED_AT, &standing(member_until)));
    assert!(configuration.is_ready(Duration::from_secs(20), &standing(member_until)));
}
