//! Whether a request may be served, by its key and by how sure the entry is of its configuration.

mod support;

use std::time::Duration;

use jackdawpier_entry::{
    access::{Access, ApiKey, Proof, check_access},
    ports::{Configuration, Route},
};
use jackdawpier_kernel::Now;
use support::configuration;

const HOLDS_FOR: Duration = Duration::from_secs(5);
const ARRIVAL: Now = Duration::from_secs(100);

fn with_keys() -> Configuration {
    let keys = [(ApiKey::new(b"standing"), "shop".into())];
    Configuration { keys: Some(keys.into_iter().collect()), ..configuration(1) }
}

fn route(is_public: bool) -> Route {
    let routes = configuration(1).routes;
    routes.into_iter().find(|route| route.is_public == is_public).expect("there is one of each")
}

/// Judges a request that arrived at [`ARRIVAL`] and was read whole at `now`.
fn check_access_at(now: Now, key: Option<&str>, proved_at: Option<Now>) -> Access {
    let key = key.map(|key| ApiKey::new(key.as_bytes()));
    let proof = Proof { asked_at: proved_at, valid_for: Some(HOLDS_FOR) };
    check_access(&with_keys(), &route(false), key.as_ref(), proof, ARRIVAL, now)
}

#[test]
fn standing_key() {
    let proved_at = Some(ARRIVAL.saturating_sub(Duration::from_secs(4)));
    let access = check_access_at(ARRIVAL, Some("standing"), proved_at);
    assert_eq!(access, Access::Granted(Some("shop".into())));
}

/// The entry may have heard nothing for as long as the promise lasts, so the key may be dead.
#[test]
fn old_proof() {
    let proved_at = Some(ARRIVAL.saturating_sub(HOLDS_FOR));
    assert_eq!(check_access_at(ARRIVAL, Some("standing"), proved_at), Access::Unverified);
    assert_eq!(check_access_at(ARRIVAL, Some("standing"), None), Access::Unverified);
}

/// An entry that is paused between reading the head and the rest of a request looks at the clock again.
#[test]
fn paused_entry() {
    let proved_at = Some(ARRIVAL);
    let later = ARRIVAL + HOLDS_FOR;
    assert_eq!(check_access_at(later, Some("standing"), proved_at), Access::Unverified);
}

/// A key that isn't known may be newer than the configuration; only a newer look can tell.
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
    let proof = Proof { asked_at: None, valid_for: Some(HOLDS_FOR) };
    let access = check_access(&with_keys(), &route(true), Some(&key), proof, ARRIVAL, ARRIVAL);
    assert_eq!(access, Access::Granted(None));
}

/// Where the operators have no accounts nobody needs a key, and where revocation is no promise no proof.
#[test]
fn lesser_promises() {
    let proof = Proof { asked_at: None, valid_for: Some(HOLDS_FOR) };
    let access = check_access(&configuration(1), &route(false), None, proof, ARRIVAL, ARRIVAL);
    assert_eq!(access, Access::Granted(None));
    let key = ApiKey::new(b"standing");
    let access =
        check_access(&with_keys(), &route(false), Some(&key), Proof::default(), ARRIVAL, ARRIVAL);
    assert_eq!(access, Access::Granted(Some("shop".into())));
}

/// A key that gets into a message by mistake isn't readable there.
#[test]
fn hidden_key() {
    let text = format!("{:?} {:?}", ApiKey::new(b"standing"), with_keys());
    assert!(!text.contains("standing"), "{text}");
}
