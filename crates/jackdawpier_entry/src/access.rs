//! Access control: checks the API key of a request against the configuration.
//!
//! A revoked key must be rejected everywhere within a fixed time, also by an entry that is cut off from
//! the store. So a key is accepted only together with a recent proof of freshness: the time of a request
//! to the store whose answer showed that the configuration with the key was still the newest. See
//! `docs/design/accounts.md`.

use std::{
    collections::HashMap,
    fmt::{self, Debug, Formatter},
    hash::{Hash, Hasher},
    time::Duration,
};

use jackdawpier_kernel::{Now, ids::AccountName};
use subtle::ConstantTimeEq;

use crate::ports::{Configuration, Route};

/// Share of a proof's validity that is left unused, since clocks run at different rates.
const CLOCK_RATE_MARGIN_PERCENT: u32 = 2;

/// The secret API key of a caller. It is never printed, and comparisons take constant time.
#[derive(Clone)]
pub struct ApiKey(Box<[u8]>);

impl ApiKey {
    /// Wraps the bytes of a key.
    pub fn new(key: &[u8]) -> Self {
        Self(key.into())
    }
}

impl PartialEq for ApiKey {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for ApiKey {}

impl Hash for ApiKey {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl Debug for ApiKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// The valid keys, with the client account of each. The map's hash is keyed by a secret of the process, so
/// the duration of a lookup reveals nothing about the keys in it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClientKeys(HashMap<ApiKey, AccountName>);

impl ClientKeys {
    fn account(&self, key: &ApiKey) -> Option<&AccountName> {
        self.0.get(key)
    }
}

impl FromIterator<(ApiKey, AccountName)> for ClientKeys {
    fn from_iter<T: IntoIterator<Item = (ApiKey, AccountName)>>(keys: T) -> Self {
        Self(keys.into_iter().collect())
    }
}

/// The latest evidence that the configuration of an entry is the newest.
#[derive(Debug, Clone, Copy, Default)]
pub struct Proof {
    /// When the latest request was sent whose answer showed it; none before the first.
    pub asked_at: Option<Now>,
    /// For how long after that a key may be accepted; none means until a change is received.
    pub valid_for: Option<Duration>,
}

impl Proof {
    /// Returns whether a key of the configuration may be accepted.
    pub fn is_valid(&self, now: Now) -> bool {
        let Some(valid_for) = self.valid_for else { return true };
        let usable_for = valid_for * (100 - CLOCK_RATE_MARGIN_PERCENT) / 100;
        self.asked_at.is_some_and(|asked_at| now < asked_at + usable_for)
    }

    /// Returns whether the configuration was the newest at `at` or later.
    fn covers(&self, at: Now) -> bool {
        self.asked_at.is_some_and(|asked_at| asked_at >= at)
    }
}

/// Whether a request may be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// The request may be served for this client account; none where no key is required.
    Granted(Option<AccountName>),
    /// The request has no key though one is required.
    MissingKey,
    /// The key wasn't valid when the request arrived.
    UnknownKey,
    /// Whether the key is valid isn't known before the store has been asked again.
    Unverified,
}

/// Checks the access of a request that arrived at `arrived_at`. `now` has to be read after the request was
/// received, so that the request was sent before it.
pub fn check_access(
    configuration: &Configuration,
    route: &Route,
    key: Option<&ApiKey>,
    proof: Proof,
    arrived_at: Now,
    now: Now,
) -> Access {
    let Some(keys) = configuration.keys.as_ref().filter(|_| !route.is_public) else {
        return Access::Granted(None);
    };
    let Some(key) = key else { return Access::MissingKey };
    match keys.account(key) {
        Some(account) if proof.is_valid(now) => Access::Granted(Some(account.clone())),
        // Without a proof since the arrival a newer configuration may contain the key.
        None if proof.covers(arrived_at) => Access::UnknownKey,
        Some(_) | None => Access::Unverified,
    }
}
