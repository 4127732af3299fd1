//! Access by the key of a request and the freshness of the configuration.

mod support;

use std::time::Duration;

use jackdawpier_entry::{
    access::{Access, ApiKey, Proof, check_access},
    ports::{Configuration, Route},
};
use jackdawpier_kernel::Now;
use support::configuration;

const VALID_FOR: Duration = Duration::from_secs(5);
const ARRIVAL: Now = Duration::from_secs(100);

fn with_keys() -> Configuration {
    let keys = [(ApiKey::new(b"valid-key"), "shop".into())];
    Configuration { keys: Some(keys.into_iter().collect()), ..configuration(1) }
}

fn route(is_public: bool) -> Route {
    let routes = configuration(1).routes;
    routes
        .into_iter()
        .find(|route| route.is_public == is_public)
        .expect("there is a public and a protected route")
}

/// Checks a request that arrived at [`ARRIVAL`] and was received completely at `now`.
fn check_access_at(now: Now, key: Option<&str>, proved_at: Option<Now>) -> Access {
    let key = key.map(|key| ApiKey::new(key.as_bytes()));
    let proof = Proof { asked_at: proved_at, valid_for: Some(VALID_FOR) };
    check_access(&with_keys(), &route(false), key.as_ref(), proof, ARRIVAL, now)
}

#[test]
fn valid_key() {
    let proved_at = Some(ARRIVAL.saturating_sub(Duration::from_secs(4)));
    let access = check_access_at(ARRIVAL, Some("valid-key"), proved_at);
    assert_eq!(access, Access::Granted(Some("shop".into())));
}

/// After the validity of the proof, the key may have been revoked without the entry's knowledge.
#[test]
fn expired_proof() {
    let proved_at = Some(ARRIVAL.saturating_sub(VALID_FOR));
    assert_eq!(check_access_at(ARRIVAL, Some("valid-key"), proved_at), Access::Unverified);
    assert_eq!(check_access_at(ARRIVAL, Some("valid-key"), None), Access::Unverified);
}

/// An entry that is paused between reading the head and the body of a request reads the clock again.
#[test]
fn paused_entry() {
    let proved_at = Some(ARRIVAL);
    let resumed_at = ARRIVAL + VALID_FOR;
    assert_eq!(check_access_at(resumed_at, Some("valid-key"), proved_at), Access::Unverified);
}

/// An unknown key may be newer than the configuration; it is rejected only with a proof since the
/// request's arrival.
#[test]
fn newer_key() {
    let before = Some(ARRIVAL.saturating_sub(Duration::from_millis(1)));
    assert_eq!(check_access_at(ARRIVAL, Some("other"), before), Access::Unverified);
    assert_eq!(check_access_at(ARRIVAL, Some("other"), Some(ARRIVAL)), Access::UnknownKey);
    assert_eq!(check_access_at(ARRIVAL, None, None), Access::MissingKey);
}

#[test]
fn public_route() {
    let key = ApiKey::new(b"other");
    let proof = Proof { asked_at: None, valid_for: Some(VALID_FOR) };
    let access = check_access(&with_keys(), &route(true), Some(&key), proof, ARRIVAL, ARRIVAL);
    assert_eq!(access, Access::Granted(None));
}

/// Without accounts in the configuration no key is needed, and without a revocation deadline no proof.
#[test]
fn no_keys_or_deadline() {
    let proof = Proof { asked_at: None, valid_for: Some(VALID_FOR) };
    let access = check_access(&configuration(1), &route(false), None, proof, ARRIVAL, ARRIVAL);
    assert_eq!(access, Access::Granted(None));
    let key = ApiKey::new(b"valid-key");
    let access =
        check_access(&with_keys(), &route(false), Some(&key), Proof::default(), ARRIVAL, ARRIVAL);
    assert_eq!(access, Access::Granted(Some("shop".into())));
}

/// A key isn't readable in debug output.
#[test]
fn redacted_key() {
    let text = format!("{:?} {:?}", ApiKey::new(b"valid-key"), with_keys());
    assert!(!text.contains("valid-key"), "{text}");
}
