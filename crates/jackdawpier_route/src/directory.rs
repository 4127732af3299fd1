//! Which entry decides for a service.
//!
//! A keyed request goes to the recorded owner alone, since only its cell may write the intent. Any
//! other request goes to the preferred *reachable* member: the store need not be up for that, and
//! a dead owner costs no wait for its lease. See `docs/design/routing.md`.

use jackdawpier_kernel::{ids::EntryId, rendezvous};

/// Where a request is decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// At this entry.
    Here,
    /// At another entry.
    Peer(EntryId),
    /// Nowhere at the moment.
    Nowhere,
}

/// Chooses the place for a request without a key. An entry that is stopping decides only where
/// nobody else can, as the others leave it out too.
pub fn place_unkeyed<'a>(
    service: &str,
    own: &'a str,
    is_stopping: bool,
    candidates: impl Iterator<Item = &'a str>,
    is_reachable: impl Fn(&str) -> bool,
) -> Place {
    let usable = candidates.filter(|name| *name != own && is_reachable(name));
    let own_candidate = (!is_stopping).then_some(own);
    match rendezvous::owner(service, usable.chain(own_candidate)) {
        Some(name) if name != own => Place::Peer(name.into()),
        _ => Place::Here,
    }
}

/// Chooses the place for a keyed request, given the recorded owner.
pub fn place_keyed(own: &str, owner: Option<&str>, is_reachable: impl Fn(&str) -> bool) -> Place {
    match owner {
        Some(name) if name == own => Place::Here,
        Some(name) if is_reachable(name) => Place::Peer(name.into()),
        _ => Place::Nowhere,
    }
}
