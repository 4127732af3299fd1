//! Readiness of an entry that has just started.

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

fn member_record(name: &str) -> Record {
    let member = Member {
        entry: name.into(),
        zone: "riga-1".into(),
        peer_address: String::new(),
        operator_address: String::new(),
        incarnation: 1,
        in_force: [("test".to_owned(), 1)].into(),
        is_stopping: false,
    };
    let value = serde_json::to_string(&member).expect("member records serialize");
    Record { key: keys::member(name), value, revision: 1, lease: None }
}

/// Returns the configuration of an entry that has just read the store, which contains `members`.
fn newly_read_configuration(members: &[&str]) -> Configuration {
    let mut view = View::default();
    members.iter().for_each(|name| view.apply_record(&member_record(name)));
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

fn status(member_until: Now) -> MembershipStatus {
    MembershipStatus { entry: "b".into(), member_until }
}

/// Guards against reporting readiness before another member has sent its documents, which may be
/// newer than the store's. The entry waits for them from the read that returned the member.
#[test]
fn waits_for_member() {
    let mut configuration = newly_read_configuration(&["a"]);
    let member = status(Duration::from_secs(8));
    assert!(!configuration.is_ready(STARTED_AT, &member));
    assert!(configuration.is_ready(STARTED_AT + ISOLATION_LIMIT, &member));
}

/// Guards against reporting readiness without a lease while the store answers: the entry would then
/// refuse the next request.
#[test]
fn waits_for_lease() {
    let mut configuration = newly_read_configuration(&[]);
    assert!(!configuration.is_ready(STARTED_AT, &status(Now::ZERO)));
    assert!(configuration.is_ready(STARTED_AT, &status(Duration::from_secs(8))));
}

/// Guards against losing readiness if the lease expires during a store outage.
#[test]
fn store_outage() {
    let mut configuration = newly_read_configuration(&[]);
    let member_until = Duration::from_secs(8);
    assert!(configuration.is_ready(STARTED_AT, &status(member_until)));
    assert!(configuration.is_ready(Duration::from_secs(20), &status(member_until)));
}
