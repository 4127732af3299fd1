//! Follows the executors that are registered in the store.
//!
//! A listing of 95 executors takes a quarter of a second on a link of 2 Mbit/s, and delays everything else. So
//! changes are watched, and the registry is listed again only if the watch may have missed some.

use std::time::Duration;

use jackdawpier_fleet::executor::ExecutorInfo;
use jackdawpier_kernel::{Now, ids::Revision};

use super::Owner;
use crate::{
    clock,
    ports::{CallError, CallResult, Change, Item, Platform},
    registry::{Registry, RegistryChange},
};

/// Maximum duration of a watch; short, since a broken connection looks like one without changes.
const WATCH_WAIT: Duration = Duration::from_millis(600);
/// A watch without changes for this long is considered broken: each executor renews its entry every second or
/// two, and its notice of leaving takes effect two seconds after it is stored.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum time between two listings, regardless of the watch.
const MAX_LIST_INTERVAL: Duration = Duration::from_millis(8000);

/// The registry as last read, and the position of the watch.
#[derive(Debug, Default)]
pub(super) struct RegistryWatch {
    registry: Registry,
    revision: Revision,
    /// When the last listing was requested; `None` if a listing is due.
    listed_at: Option<Now>,
    /// When the watch last reported a change, or a listing was completed.
    last_activity_at: Now,
}

impl RegistryWatch {
    /// Waits for changes, at most [`WATCH_WAIT`], and returns them.
    pub(super) async fn next_changes<P: Platform>(
        &mut self,
        owner: &Owner<P>,
    ) -> CallResult<Vec<RegistryChange>> {
        let is_old = |at| clock::since(at) >= MAX_LIST_INTERVAL;
        let is_watch_stale = clock::since(self.last_activity_at) >= WATCH_TIMEOUT;
        if is_watch_stale || self.listed_at.is_none_or(is_old) {
            return self.list(owner).await;
        }
        let prefix = owner.platform.executor_prefix();
        match owner.platform.watch(prefix, self.revision, WATCH_WAIT).await {
            Ok(answer) => {
                self.revision = answer.revision;
                owner.log_left_out(&answer.unreadable);
                if !answer.changes.is_empty() {
                    self.last_activity_at = clock::now();
                }
                let changes = answer.changes.into_iter();
                Ok(changes.filter_map(|change| self.apply(owner, change)).collect())
            }
            Err(CallError::HistoryCompacted) => {
                self.listed_at = None;
                Ok(Vec::new())
            }
            Err(error) => {
                self.listed_at = None;
                Err(error)
            }
        }
    }

    async fn list<P: Platform>(&mut self, owner: &Owner<P>) -> CallResult<Vec<RegistryChange>> {
        let asked_at = clock::now();
        let listing = owner.platform.list(owner.platform.executor_prefix()).await?;
        owner.log_left_out(&listing.unreadable);
        let entries = listing.items.into_iter().map(|item| {
            let info = read_entry(owner, &item);
            (item.key, info)
        });
        let changes = self.registry.replace(entries.collect());
        self.revision = listing.revision;
        self.listed_at = Some(asked_at);
        // The next watch starts at the listing's revision, so it reports all changes made meanwhile.
        self.last_activity_at = clock::now();
        Ok(changes)
    }

    fn apply<P: Platform>(&mut self, owner: &Owner<P>, change: Change) -> Option<RegistryChange> {
        match change {
            Change::Put(item) => self.registry.put(&item.key, read_entry(owner, &item)),
            Change::Removed(key) => self.registry.remove(&key),
        }
    }
}

fn read_entry<P: Platform>(owner: &Owner<P>, item: &Item) -> Option<ExecutorInfo> {
    let read = owner.platform.read_executor(&item.key, &item.value);
    read.inspect_err(|error| owner.log_unreadable(&item.key, &error.to_string())).ok()
}
