//! The executors that are registered in the store, kept up by a watch.
//!
//! A listing of 350 executors has 140 KB: read several times a second it fills the link of a small
//! machine. So changes are watched, and the whole is read only now and then, since a watch may miss
//! some without showing it.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_fleet::executor::ExecutorInfo;
use jackdawpier_kernel::{Now, ids::Revision};

use super::Owner;
use crate::{
    clock,
    ports::{CallError, CallResult, Change, Item, Platform},
};

/// How long a watch waits for changes; short, since a silent connection looks like a calm one.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// The whole registry is read again after this long: an executor's notice of leaving counts two
/// seconds after the store has it.
const LIST_INTERVAL: Duration = Duration::from_millis(1600);

/// What is known of the registry.
#[derive(Debug, Default)]
pub(super) struct Registry {
    executors: BTreeMap<String, ExecutorInfo>,
    revision: Revision,
    /// When the whole was last read; none if it has to be read now.
    listed_at: Option<Now>,
}

impl Registry {
    /// The executors that are registered.
    pub(super) fn executors(&self) -> Vec<ExecutorInfo> {
        self.executors.values().cloned().collect()
    }

    /// Waits for news for a while and returns whether there are any.
    pub(super) async fn follow<P: Platform>(&mut self, owner: &Owner<P>) -> CallResult<bool> {
        let is_old = |at| clock::since(at) >= LIST_INTERVAL;
        if self.listed_at.is_none_or(is_old) {
            self.list(owner).await?;
            return Ok(true);
        }
        let prefix = owner.platform.executor_prefix();
        match owner.platform.watch(prefix, self.revision, WATCH_WAIT).await {
            Ok(news) => {
                self.revision = news.revision;
                let has_news = !news.changes.is_empty();
                news.changes.into_iter().for_each(|change| self.take(owner, change));
                Ok(has_news)
            }
            Err(CallError::HistoryGone) => {
                self.listed_at = None;
                Ok(false)
            }
            Err(error) => {
                self.listed_at = None;
                Err(error)
            }
        }
    }

    async fn list<P: Platform>(&mut self, owner: &Owner<P>) -> CallResult<()> {
        let asked_at = clock::now();
        let listing = owner.platform.list(owner.platform.executor_prefix()).await?;
        self.executors.clear();
        listing.items.into_iter().for_each(|item| self.put(owner, item));
        self.revision = listing.revision;
        self.listed_at = Some(asked_at);
        Ok(())
    }

    fn take<P: Platform>(&mut self, owner: &Owner<P>, change: Change) {
        match change {
            Change::Put(item) => self.put(owner, item),
            Change::Removed(key) => drop(self.executors.remove(&key)),
        }
    }

    /// Takes over an entry. One that can't be read names no executor to use, and neither does what it
    /// named before; what runs there is followed until it ends.
    fn put<P: Platform>(&mut self, owner: &Owner<P>, item: Item) {
        match owner.platform.read_executor(&item.key, &item.value) {
            Ok(info) => drop(self.executors.insert(item.key, info)),
            Err(error) => {
                owner.unreadable(&item.key, &error.to_string());
                self.executors.remove(&item.key);
            }
        }
    }
}
