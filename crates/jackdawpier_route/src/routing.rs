//! Choice of the entry that decides on a request.
//!
//! A keyed request goes only to the recorded owner, since only the owner's cell may write the
//! intent. Any other request goes to the preferred *reachable* member. That works while the store
//! is unavailable, and no request waits for the lease of a dead owner. See
//! `docs/design/routing.md`.

use jackdawpier_kernel::ids::EntryId;

/// Entry that decides on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteTarget {
    /// This entry.
    Local,
    /// Another entry.
    Peer(EntryId),
    /// No entry can decide now.
    Unavailable,
}

/// Routes a request without a key, by the ranking of the service's candidates. A stopping entry
/// decides itself only if no other candidate is reachable, since the others avoid it too.
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

/// Routes a keyed request, given the recorded owner.
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
