//! Heartbeats between entries; they show which peers are reachable and which documents they have
//! in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use jackdawpier_coord::configuration::{Document, PeerReport};
use jackdawpier_kernel::ids::Revision;

use crate::{
    entry::{Entry, PeerContact},
    messages::{Heartbeat, PeerAnswer, PeerRequest},
};

const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without a byte after which a transfer of documents is aborted.
const DOCUMENTS_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of the documents attached to a heartbeat's answer, which must arrive within the
/// timeout on a slow link too.
const MAX_ATTACHED_BYTES: usize = 16 * 1024;
/// Maximum size of the documents in an answer to a request for documents; above the largest
/// document.
const MAX_REQUESTED_BYTES: usize = 4 * 1024 * 1024;

/// Starts sending heartbeats to all members, and to the seed peers while no member is known.
pub(crate) fn spawn(entry: &Arc<Entry>) {
    let entry = Arc::clone(entry);
    tokio::spawn(async move {
        loop {
            for address in targets(&entry) {
                let entry = Arc::clone(&entry);
                tokio::spawn(async move { send_heartbeat(&entry, address).await });
            }
            tokio::time::sleep(entry.settings.timing.heartbeat_interval).await;
        }
    });
}

fn targets(entry: &Entry) -> BTreeSet<SocketAddr> {
    let coordination = entry.coordination();
    let members: BTreeSet<SocketAddr> = coordination
        .view
        .members()
        .filter(|member| member.entry != *entry.name())
        .filter_map(|member| member.peer_address.parse().ok())
        .collect();
    if members.is_empty() { entry.settings.seed_peers.iter().copied().collect() } else { members }
}

/// Returns this entry's own heartbeat.
pub(crate) fn own_heartbeat(entry: &Entry) -> Heartbeat {
    let is_ready = entry.is_ready();
    let now = entry.now();
    let coordination = entry.coordination();
    Heartbeat {
        entry: entry.name().clone(),
        incarnation: entry.incarnation,
        is_ready,
        store_age: coordination.configuration.store_age(now),
        demand_milli: entry.demand().own_report(),
        in_force: coordination.configuration.revisions(),
    }
}

async fn send_heartbeat(entry: &Arc<Entry>, address: SocketAddr) {
    let request = PeerRequest::Heartbeat(own_heartbeat(entry));
    let answer = entry.endpoint.call(address, &request, HEARTBEAT_TIMEOUT).await;
    if let Ok(PeerAnswer::Heartbeat { heartbeat, newer }) = answer {
        on_heartbeat(entry, &heartbeat, newer);
        if entry.coordination().configuration.is_behind(&heartbeat.in_force) {
            fetch_documents(entry, address).await;
        }
    }
}

/// Returns newer documents than the peer's that are small enough to attach to a heartbeat.
pub(crate) fn attached_documents(
    entry: &Entry,
    peer_revisions: &BTreeMap<String, Revision>,
) -> Vec<Document> {
    entry.coordination().configuration.newer_than(peer_revisions, MAX_ATTACHED_BYTES)
}

/// Returns newer documents than the peer's, for its explicit request.
pub(crate) fn requested_documents(
    entry: &Entry,
    peer_revisions: &BTreeMap<String, Revision>,
) -> Vec<Document> {
    entry.coordination().configuration.newer_than(peer_revisions, MAX_REQUESTED_BYTES)
}

/// Fetches newer documents from the peer. Only one transfer runs at a time, so that a large document
/// doesn't occupy the link twice.
async fn fetch_documents(entry: &Arc<Entry>, address: SocketAddr) {
    let Ok(_fetch_guard) = entry.document_fetch.try_lock() else { return };
    let known = entry.coordination().configuration.revisions();
    let request = PeerRequest::Documents { known };
    let answer = entry.endpoint.fetch(address, &request, DOCUMENTS_IDLE_TIMEOUT).await;
    if let Ok(PeerAnswer::Documents(newer)) = answer
        && adopt_documents(entry, newer)
    {
        refresh_services(entry);
    }
}

/// Adopts the documents that are newer than those in force; returns whether there was one.
fn adopt_documents(entry: &Entry, documents: Vec<Document>) -> bool {
    let mut coordination = entry.coordination();
    documents.into_iter().fold(false, |is_changed, document| {
        coordination.configuration.adopt_if_newer(document) | is_changed
    })
}

/// Processes a heartbeat that a peer sent or answered with.
pub(crate) fn on_heartbeat(entry: &Arc<Entry>, heartbeat: &Heartbeat, newer: Vec<Document>) {
    let now = entry.now();
    entry.demand().on_peer_report(&heartbeat.entry, heartbeat.demand_milli.clone());
    let is_changed = adopt_documents(entry, newer);
    {
        let mut coordination = entry.coordination();
        let contact = PeerContact { last_heartbeat_at: now, is_ready: heartbeat.is_ready };
        coordination.contacts.insert(heartbeat.entry.clone(), contact);
        let report = PeerReport {
            peer: heartbeat.entry.clone(),
            is_ready: heartbeat.is_ready,
            store_age: heartbeat.store_age,
            in_force: heartbeat.in_force.clone(),
        };
        coordination.configuration.on_peer_report(now, report);
    }
    if is_changed {
        refresh_services(entry);
    }
}

/// Creates missing services and applies the configuration in force to all.
pub(crate) fn refresh_services(entry: &Arc<Entry>) {
    let names = entry.coordination().configuration.services();
    for name in names {
        entry.service(&name.into());
    }
    for service in entry.services() {
        service.refresh();
    }
}
