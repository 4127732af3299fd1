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
const ASK_LIMIT: Duration = Duration::from_millis(800);
/// Wait before an entry that lives is asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// What an entry that was asked once said.
enum Word {
    State(Option<KeyState>),
    NoAnswer,
}

/// One question about keys of a service.
pub(crate) struct Recall<'a> {
    pub(crate) service: &'a Arc<Service>,
    /// The entry that wrote the intent.
    pub(crate) asked: &'a EntryId,
    /// When the cell was opened here.
    pub(crate) opened_at: Now,
    /// When the caller's time is over.
    pub(crate) deadline: Now,
}

impl Recall<'_> {
    /// Asks until the entry has an end to tell, is found to know nothing, or is gone.
    ///
    /// While its request runs, the repeat waits for it as at one owner. An entry that is heard but
    /// is not back among the members is waited for during one lease after the takeover: both come
    /// from the same outage of the store.
    pub(crate) async fn ask(&self, entry: &Arc<Entry>, key: &RequestKey) -> Option<KeyState> {
        loop {
            let ends_at = match self.ask_once(entry, key).await {
                Word::State(Some(KeyState::Intent { .. })) => self.deadline,
                Word::State(state) => return state,
                Word::NoAnswer if !router::is_heard(entry, self.asked) => return None,
                Word::NoAnswer => {
                    let returns_by = self.opened_at + entry.settings.timing.member_lease;
                    returns_by.min(self.deadline)
                }
            };
            if entry.now() + ASK_INTERVAL >= ends_at {
                return None;
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    }

    async fn ask_once(&self, entry: &Arc<Entry>, key: &RequestKey) -> Word {
        if self.asked == entry.name() {
            // An earlier start of this entry wrote it; its memory is gone.
            return Word::State(None);
        }
        let address = {
            let coordination = entry.coordination();
            coordination.view.member(self.asked).map(|member| member.peer_address.parse())
        };
        let Some(Ok(address)) = address else { return Word::NoAnswer };
        let request =
            PeerRequest::Recall { service: self.service.name.clone(), key: Arc::clone(key) };
        match entry.endpoint.call(address, &request, ASK_LIMIT).await {
            Ok(PeerAnswer::Recalled(text)) => {
                Word::State(text.and_then(|text| serde_json::from_str(&text).ok()))
            }
            _ => Word::NoAnswer,
        }
    }
}
