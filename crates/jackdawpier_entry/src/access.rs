//! Who may call: whether a request's key stands, and how sure that is.
//!
//! A key that was taken away must not serve anybody a fixed time later, also at an entry that hears of
//! nothing. So a key counts only together with a proof: the time of a question to the store whose answer
//! shows that the configuration which names the key was still the newest then. See
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

/// Part of the time for which a proof holds that is left unused, since clocks differ in rate.
const RATE_MARGIN_PERCENT: u32 = 2;

/// A secret that a caller shows. It is never printed, and comparing it takes the same time wherever two
/// keys differ.
#[derive(Clone)]
pub struct ApiKey(Box<[u8]>);

impl ApiKey {
    /// Takes a key over.
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

/// The keys that stand, with the client account of each. The map's hash is keyed by a secret of the
/// process, so how long a look takes says nothing of the keys in it.
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

/// How sure an entry is that its configuration is the newest.
#[derive(Debug, Clone, Copy, Default)]
pub struct Proof {
    /// When the latest question left whose answer shows it; none before the first.
    pub asked_at: Option<Now>,
    /// For how long after it a key may be relied on; none for as long as the entry hears of no change.
    pub valid_for: Option<Duration>,
}

impl Proof {
    /// Whether a key that stands in the configuration may be relied on.
    pub fn holds(&self, now: Now) -> bool {
        let Some(valid_for) = self.valid_for else { return true };
        let usable = valid_for * (100 - RATE_MARGIN_PERCENT) / 100;
        self.asked_at.is_some_and(|asked_at| now < asked_at + usable)
    }

    /// Whether the configuration is known to be no older than something that happened at `at`.
    fn is_since(&self, at: Now) -> bool {
        self.asked_at.is_some_and(|asked_at| asked_at >= at)
    }
}

/// Whether a request may be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// It may, in the name of this client account; none where no key is asked for.
    Granted(Option<AccountName>),
    /// It shows no key though one is asked for.
    MissingKey,
    /// Its key didn't stand when it arrived.
    UnknownKey,
    /// Whether its key stands can't be said before the store has been asked again.
    Unverified,
}

/// Judges a request that arrived at `arrived_at`. `now` has to be read after the request was, so that it
/// was sent before.
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
        Some(account) if proof.holds(now) => Access::Granted(Some(account.clone())),
        // A newer configuration than this one may name it.
        None if proof.is_since(arrived_at) => Access::UnknownKey,
        Some(_) | None => Access::Unverified,
    }
}
