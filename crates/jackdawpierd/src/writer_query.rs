//! Queries the entry that wrote an intent for the outcome of the request.

use std::{sync::Arc, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{EntryId, RequestKey},
};
use jackdawpier_route::dedupe::KeyState;

use crate::{
    entry::Entry,
    messages::{PeerAnswer, PeerRequest},
    router,
    service::Service,
};

/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between two queries to the same entry.
const QUERY_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Reply to one query.
enum WriterReply {
    State(Option<KeyState>),
    NoAnswer,
}

/// A query about keys of a service.
pub(crate) struct WriterQuery<'a> {
    pub(crate) service: &'a Arc<Service>,
    /// The entry that wrote the intent.
    pub(crate) writer: &'a EntryId,
    /// Time at which this entry opened the cell.
    pub(crate) opened_at: Now,
    /// Deadline of the caller's request.
    pub(crate) deadline: Now,
}

impl WriterQuery<'_> {
    /// Queries the writer until it reports a final state or no state, or becomes unreachable.
    ///
    /// While the writer's request runs, the repeat waits for its outcome, as it would at a single
    /// owner. A writer that sends heartbeats but doesn't answer is queried for one lease after the
    /// takeover: after an outage of the store it may not be listed as a member again yet.
    pub(crate) async fn run(&self, entry: &Arc<Entry>, key: &RequestKey) -> Option<KeyState> {
        loop {
            let give_up_at = match self.query_once(entry, key).await {
                WriterReply::State(Some(KeyState::Intent { .. })) => self.deadline,
                WriterReply::State(state) => return state,
                WriterReply::NoAnswer if !router::has_recent_heartbeat(entry, self.writer) => {
                    return None;
                }
                WriterReply::NoAnswer => {
                    let rejoin_deadline = self.opened_at + entry.settings.timing.member_lease;
                    rejoin_deadline.min(self.deadline)
                }
            };
            if entry.now() + QUERY_RETRY_INTERVAL >= give_up_at {
                return None;
            }
            tokio::time::sleep(QUERY_RETRY_INTERVAL).await;
        }
    }

    async fn query_once(&self, entry: &Arc<Entry>, key: &RequestKey) -> WriterReply {
        if self.writer == entry.name() {
            // A previous incarnation of this entry wrote the intent; its state is lost.
            return WriterReply::State(None);
        }
        let address = {
            let coordination = entry.coordination();
            coordination.view.member(self.writer).map(|member| member.peer_address.parse())
        };
        let Some(Ok(address)) = address else { return WriterReply::NoAnswer };
        let request =
            PeerRequest::Recall { service: self.service.name.clone(), key: Arc::clone(key) };
        match entry.endpoint.call(address, &request, QUERY_TIMEOUT).await {
            Ok(PeerAnswer::Recalled(text)) => {
                WriterReply::State(text.and_then(|text| serde_json::from_str(&text).ok()))
            }
            _ => WriterReply::NoAnswer,
        }
    }
}
