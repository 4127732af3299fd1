//! Routes a request to the entry that decides on it: this one or a peer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jackdawpier_kernel::{
    ids::EntryId,
    outcome::{Outcome, RefusalReason},
};
use jackdawpier_peer::PeerError;
use jackdawpier_route::routing::{RouteTarget, route_keyed, route_unkeyed};

use crate::{
    entry::{Coordination, Entry, PeerContact},
    messages::{PeerAnswer, PeerRequest, WorkRequest},
    service::OWNER_RETRY_AFTER,
};

/// Maximum number of attempts to reach an owner while a shard changes owners.
const OWNER_ATTEMPTS: u32 = 8;
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Added to a request's remaining time, for the transfer of the answer.
const PEER_MARGIN: Duration = Duration::from_millis(200);
/// Number of heartbeat intervals without a heartbeat after which a peer counts as unreachable.
const MISSED_HEARTBEATS: u32 = 3;

/// Returns the contact with `peer` if its last heartbeat is recent.
fn recent_contact<'a>(
    entry: &Entry,
    coordination: &'a Coordination,
    peer: &str,
) -> Option<&'a PeerContact> {
    let limit = entry.settings.timing.heartbeat_interval * MISSED_HEARTBEATS;
    coordination
        .contacts
        .get(peer)
        .filter(|contact| entry.now() < contact.last_heartbeat_at + limit)
}

/// Returns whether `peer` sent a heartbeat recently, so that its process runs.
pub(crate) fn has_recent_heartbeat(entry: &Entry, peer: &str) -> bool {
    recent_contact(entry, &entry.coordination(), peer).is_some()
}

/// Returns whether `peer` sent a heartbeat recently and is ready to serve.
pub(crate) fn is_reachable(entry: &Entry, coordination: &Coordination, peer: &str) -> bool {
    recent_contact(entry, coordination, peer).is_some_and(|contact| contact.is_ready)
}

fn choose_target(
    entry: &Entry,
    work: &WorkRequest,
    needs_owner: bool,
) -> (RouteTarget, Option<SocketAddr>) {
    let mut coordination = entry.coordination();
    let ranking = coordination.view.ranking(&work.service);
    let view = &coordination.view;
    let reachable = |peer: &str| is_reachable(entry, &coordination, peer);
    let target = if needs_owner {
        let owner = view.owner(&work.service).map(|owner| &*owner.entry);
        route_keyed(entry.name(), owner, reachable)
    } else {
        route_unkeyed(&ranking, entry.name(), entry.is_stopping(), reachable)
    };
    let address = match &target {
        RouteTarget::Peer(peer) => {
            view.member(peer).and_then(|member| member.peer_address.parse().ok())
        }
        _ => None,
    };
    (target, address)
}

/// Routes `work` and returns its outcome. `needs_owner` is set for work that needs a durable record,
/// `is_repeatable` for work that can be sent twice (idempotent, or deduplicated by its key).
pub(crate) async fn route(
    entry: &Arc<Entry>,
    mut work: WorkRequest,
    needs_owner: bool,
    is_repeatable: bool,
) -> Outcome {
    let deadline = entry.now() + work.time_left;
    let mut last_outcome = Outcome::NotRun {
        reason: RefusalReason::NoOwner,
        retry_after: entry.settings.timing.member_lease,
    };
    for _ in 0..OWNER_ATTEMPTS {
        work.time_left = deadline.saturating_sub(entry.now());
        if work.time_left.is_zero() {
            return last_outcome;
        }
        match choose_target(entry, &work, needs_owner) {
            (RouteTarget::Local, _) => {
                let outcome = entry.service(&work.service).submit(work.clone()).await;
                if !is_owner_unsettled(&outcome) {
                    return outcome;
                }
            }
            (RouteTarget::Peer(peer), Some(address)) => {
                match forward(entry, &peer, address, &work).await {
                    Ok(outcome) if is_owner_unsettled(&outcome) => {}
                    Ok(outcome) => return outcome,
                    Err(PeerError::NotSent { .. }) => remove_contact(entry, &peer),
                    Err(error @ PeerError::Lost { .. }) => {
                        remove_contact(entry, &peer);
                        last_outcome = Outcome::Unknown { detail: error.to_string() };
                        if !is_repeatable {
                            return last_outcome;
                        }
                        continue;
                    }
                }
            }
            _ => {}
        }
        if needs_owner {
            tokio::time::sleep(OWNER_RETRY_INTERVAL).await;
        }
    }
    last_outcome
}

/// Returns whether the entry refused the work because its shard is changing owners.
fn is_owner_unsettled(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::NotRun { reason: RefusalReason::NoOwner, retry_after } if *retry_after == OWNER_RETRY_AFTER)
}

fn remove_contact(entry: &Entry, peer: &EntryId) {
    entry.coordination().contacts.remove(peer);
}

async fn forward(
    entry: &Entry,
    peer: &EntryId,
    address: SocketAddr,
    work: &WorkRequest,
) -> Result<Outcome, PeerError> {
    let span = entry.traces.start("peer", work.trace, &[("peer", peer)]);
    let work = WorkRequest { trace: span.context(), ..work.clone() };
    let limit = work.time_left + PEER_MARGIN;
    let answer = entry.endpoint.call(address, &PeerRequest::Work(work), limit).await;
    let outcome = match answer {
        Ok(PeerAnswer::Outcome(outcome)) => Ok(outcome),
        Ok(_) => Err(PeerError::Lost { address, detail: "an answer of another kind".to_owned() }),
        Err(error) => Err(error),
    };
    entry.metrics.count_forward(outcome.is_ok());
    span.end(outcome.as_ref().map_or("lost", Outcome::name));
    outcome
}
