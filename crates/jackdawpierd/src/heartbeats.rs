//! Heartbeats between entries: who is reachable, and which documents are in force.

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
/// Silence after which a peer that sends documents is given up.
const DOCUMENTS_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Most bytes of documents beside a heartbeat, which has to be back in time on a slow link too.
const MAX_ATTACHED_BYTES: usize = 16 * 1024;
/// Most bytes of documents in an answer of their own; above the largest one.
const MAX_REQUESTED_BYTES: usize = 4 * 1024 * 1024;

/// Starts the heartbeats to all members, and to the seeds while no member is known.
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

/// What this entry says of itself.
pub(crate) fn own_heartbeat(entry: &Entry) -> Heartbeat {
    let is_ready = entry.is_ready();
    let now = entry.now();
    let coordination = entry.coordination();
    Heartbeat {
        entry: entry.name().clone(),
        incarnation: entry.incarnation,
        is_ready,
        store_age: coordination.configuration.store_age(now),
        demand_milli: entry.demand().own(),
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

/// Documents that the peer lacks and that are small enough to go beside a heartbeat.
pub(crate) fn attached_documents(
    entry: &Entry,
    peer_revisions: &BTreeMap<String, Revision>,
) -> Vec<Document> {
    entry.coordination().configuration.newer_than(peer_revisions, MAX_ATTACHED_BYTES)
}

/// Documents that the peer lacks and has asked for.
pub(crate) fn requested_documents(
    entry: &Entry,
    peer_revisions: &BTreeMap<String, Revision>,
) -> Vec<Document> {
    entry.coordination().configuration.newer_than(peer_revisions, MAX_REQUESTED_BYTES)
}

/// Asks the peer for the documents that are newer there. One peer is asked at a time, so that a
/// document that fills the link isn't on its way twice.
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

/// Adopts documents that are newer than what is in force; returns whether one was.
fn adopt_documents(entry: &Entry, documents: Vec<Document>) -> bool {
    let mut coordination = entry.coordination();
    documents.into_iter().fold(false, |is_changed, document| {
        coordination.configuration.adopt_if_newer(document) | is_changed
    })
}

/// Learns from a heartbeat, in either direction.
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

/// Makes every service follow the configuration in force.
pub(crate) fn refresh_services(entry: &Arc<Entry>) {
    let names = entry.coordination().configuration.services();
    for name in names {
        entry.service(&name.into());
    }
    for service in entry.services() {
        service.refresh();
    }
}
