//! Which entry decides for a service.
//!
//! A keyed request goes to the recorded owner alone, since only its cell may write the intent. Any
//! other request goes to the preferred *reachable* member: the store need not be up for that, and
//! a dead owner costs no wait for its lease. See `docs/design/routing.md`.

use jackdawpier_kernel::ids::EntryId;

/// Where a request is decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteTarget {
    /// At this entry.
    Local,
    /// At another entry.
    Peer(EntryId),
    /// Nowhere at the moment.
    Unavailable,
}

/// Chooses the place for a request without a key, from the ranking of the service's candidates.
/// An entry that is stopping decides only where nobody else can, as the others leave it out too.
pub fn route_unkeyed(
    ranking: &[EntryId],
    own: &str,
    is_stopping: bool,
    is_reachable: impl Fn(&str) -> bool,
) -> RouteTarget {
    let is_usable = |name: &str| if name == own { !is_stopping } else { is_reachable(name) };
    match ranking.iter().find(|name| is_usable(name)) {
        Some(name) if **name != *own => RouteTarget::Peer(name.clone()),
        _ => RouteTarget::Local,
    }
}

/// Chooses the place for a keyed request, given the recorded owner.
pub fn route_keyed(
    own: &str,
    owner: Option<&str>,
    is_reachable: impl Fn(&str) -> bool,
) -> RouteTarget {
    match owner {
        Some(name) if name == own => RouteTarget::Local,
        Some(name) if is_reachable(name) => RouteTarget::Peer(name.into()),
        _ => RouteTarget::Unavailable,
    }
}
