//! Handles the requests of other entries.

use std::sync::Arc;

use jackdawpier_peer::PeerService;

use crate::{
    entry::Entry,
    heartbeats,
    messages::{PeerAnswer, PeerRequest},
};

#[derive(Clone)]
struct PeerHandler {
    entry: Arc<Entry>,
}

/// Starts serving peers.
pub(crate) fn spawn(entry: &Arc<Entry>) {
    let service = PeerHandler { entry: Arc::clone(entry) };
    let endpoint = entry.endpoint.clone();
    tokio::spawn(async move { endpoint.serve(service).await });
}

impl PeerService for PeerHandler {
    type Request = PeerRequest;
    type Answer = PeerAnswer;

    async fn handle(&self, request: PeerRequest) -> PeerAnswer {
        let entry = &self.entry;
        match request {
            PeerRequest::Work(mut work) => {
                let span = entry.traces.start("decide", work.trace, &[("class", &work.class)]);
                work.trace = span.context();
                let outcome = entry.service(&work.service).submit(work).await;
                span.end(outcome.name());
                PeerAnswer::Outcome(outcome)
            }
            PeerRequest::Heartbeat(heartbeat) => {
                heartbeats::on_heartbeat(entry, &heartbeat, Vec::new());
                let newer = heartbeats::attached_documents(entry, &heartbeat.in_force);
                PeerAnswer::Heartbeat { heartbeat: heartbeats::own_heartbeat(entry), newer }
            }
            PeerRequest::Documents { known } => {
                PeerAnswer::Documents(heartbeats::requested_documents(entry, &known))
            }
            PeerRequest::Wave(action) => PeerAnswer::Capacity(entry.capacity.wave(entry, action)),
            PeerRequest::Days => PeerAnswer::Capacity(entry.capacity.days()),
            PeerRequest::Pools => PeerAnswer::Capacity(entry.capacity.pools()),
            PeerRequest::Explain { service } => {
                PeerAnswer::Capacity(entry.capacity.explain(&service))
            }
            PeerRequest::Recall { service, key } => {
                PeerAnswer::Recalled(entry.service(&service).lost_key_state(&key))
            }
            PeerRequest::Job { service, job, action } => {
                PeerAnswer::Job(entry.service(&service).job(&job, action))
            }
        }
    }
}
