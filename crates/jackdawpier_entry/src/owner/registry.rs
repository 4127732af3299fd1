//! Keeping up with the executors that are registered in the store.
//!
//! A listing of 95 executors takes a quarter of a second on a link of 2 Mbit/s, and all else waits behind
//! it. So changes are watched, and the whole is read again only where the watch may have missed some.

use std::time::Duration;

use jackdawpier_fleet::executor::ExecutorInfo;
use jackdawpier_kernel::{Now, ids::Revision};

use super::Owner;
use crate::{
    clock,
    ports::{CallError, CallResult, Change, Item, Platform},
    registry::{Registry, RegistryChange},
};

/// How long a watch waits for changes; short, since a silent connection looks like a calm one.
const WATCH_WAIT: Duration = Duration::from_millis(600);
/// A watch that hears nothing for this long isn't trusted: each executor renews its entry every second or
/// two, and its notice of leaving counts two seconds after the store has it.
const SILENT_AFTER: Duration = Duration::from_millis(1000);
/// The whole registry is read again after this long, whatever the watch hears.
const LIST_INTERVAL: Duration = Duration::from_millis(8000);

/// The registry as far as it has been polled_executors.
#[derive(Debug, Default)]
pub(super) struct RegistryWatch {
    registry: Registry,
    revision: Revision,
    /// When the whole was last read; none if it has to be read now.
    listed_at: Option<Now>,
    /// When the watch, or a listing, last told of anything.
    heard_at: Now,
}

impl RegistryWatch {
    /// Waits for news for a while and returns them.
    pub(super) async fn follow<P: Platform>(
        &mut self,
        owner: &Owner<P>,
    ) -> CallResult<Vec<RegistryChange>> {
        let is_old = |at| clock::since(at) >= LIST_INTERVAL;
        let is_silent = clock::since(self.heard_at) >= SILENT_AFTER;
        if is_silent || self.listed_at.is_none_or(is_old) {
            return self.list(owner).await;
        }
        let prefix = owner.platform.executor_prefix();
        match owner.platform.watch(prefix, self.revision, WATCH_WAIT).await {
            Ok(news) => {
                self.revision = news.revision;
                if !news.changes.is_empty() {
                    self.heard_at = clock::now();
                }
                let changes = news.changes.into_iter();
                Ok(changes.filter_map(|change| self.take(owner, change)).collect())
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
        let entries = listing.items.into_iter().map(|item| {
            let info = read_entry(owner, &item);
            (item.key, info)
        });
        let changes = self.registry.replace(entries.collect());
        self.revision = listing.revision;
        self.listed_at = Some(asked_at);
        // The next watch begins where the list did, so it tells of all that came meanwhile.
        self.heard_at = clock::now();
        Ok(changes)
    }

    fn take<P: Platform>(&mut self, owner: &Owner<P>, change: Change) -> Option<RegistryChange> {
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
