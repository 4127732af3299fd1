//! Asks the entry that wrote an intent what became of the request.

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

/// Longest wait for one answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Wait before an entry that lives is asked again.
const QUERY_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// What an entry that was asked once said.
enum WriterReply {
    State(Option<KeyState>),
    NoAnswer,
}

/// One question about keys of a service.
pub(crate) struct WriterQuery<'a> {
    pub(crate) service: &'a Arc<Service>,
    /// The entry that wrote the intent.
    pub(crate) writer: &'a EntryId,
    /// When the cell was opened here.
    pub(crate) opened_at: Now,
    /// When the caller's time is over.
    pub(crate) deadline: Now,
}

impl WriterQuery<'_> {
    /// Asks until the entry has an end to tell, is found to know nothing, or is gone.
    ///
    /// While its request runs, the repeat waits for it as at one owner. An entry that is heard but
    /// is not back among the members is waited for during one lease after the takeover: both come
    /// from the same outage of the store.
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
            // An earlier start of this entry wrote it; its memory is gone.
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
