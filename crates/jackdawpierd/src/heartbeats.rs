//! Heartbeats between entries: who is reachable, and which documents are in force.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use jackdawpier_coord::configuration::{Document, PeerReport};

use crate::{
    entry::{Entry, PeerContact},
    messages::{Heartbeat, PeerAnswer, PeerRequest},
};

const HEARTBEAT_LIMIT: Duration = Duration::from_millis(800);

/// Starts the heartbeats to all members, and to the seeds while no member is known.
pub(crate) fn spawn(entry: &Arc<Entry>) {
    let entry = Arc::clone(entry);
    tokio::spawn(async move {
        loop {
            for address in targets(&entry) {
                let entry = Arc::clone(&entry);
                tokio::spawn(async move { beat(&entry, address).await });
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

async fn beat(entry: &Arc<Entry>, address: SocketAddr) {
    let request = PeerRequest::Heartbeat(own_heartbeat(entry));
    let answer = entry.endpoint.call(address, &request, HEARTBEAT_LIMIT).await;
    if let Ok(PeerAnswer::Heartbeat { heartbeat, newer }) = answer {
        take(entry, &heartbeat, newer);
    }
}

/// Learns from a heartbeat, in either direction.
pub(crate) fn take(entry: &Arc<Entry>, heartbeat: &Heartbeat, newer: Vec<Document>) {
    let now = entry.now();
    entry.demand().heard(&heartbeat.entry, heartbeat.demand_milli.clone());
    let is_changed = {
        let mut coordination = entry.coordination();
        let contact = PeerContact { heard_at: now, is_ready: heartbeat.is_ready };
        coordination.contacts.insert(heartbeat.entry.clone(), contact);
        let mut is_changed = false;
        for document in newer {
            is_changed |= coordination.configuration.offer(document);
        }
        let report = PeerReport {
            peer: heartbeat.entry.clone(),
            is_ready: heartbeat.is_ready,
            store_age: heartbeat.store_age,
            in_force: heartbeat.in_force.clone(),
        };
        coordination.configuration.heard_peer(now, report);
        is_changed
    };
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
