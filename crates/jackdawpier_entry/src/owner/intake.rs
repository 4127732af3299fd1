//! Follows accepted jobs and cancellations in the store, and maintains what is derived from them.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use jackdawpier_kernel::ids::Revision;
use serde_json::json;

use super::{Owner, takeover::JobSource};
use crate::{
    clock, keys, link, pending,
    ports::{CallError, Change, Item, Platform, Transaction},
};

/// Maximum duration of a watch; short, since a broken connection looks like one without changes.
const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// Delay before a failed watch is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum time between two full listings, which find changes that the watch missed.
pub(super) const MAX_LIST_INTERVAL: Duration = Duration::from_millis(2500);
/// Share of the link that routine listings may use.
const LINK_SHARE: f64 = 0.1;
/// Interval at which the time of the next listing is checked.
const LISTING_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between writes of the counts of pending jobs.
const PENDING_COUNTS_INTERVAL: Duration = Duration::from_millis(1000);

/// Returns the time between two listings of this many bytes. In a burst the open jobs have 120 KB, half a second
/// of a link of 2 Mbit/s, and lease renewals that waited behind a listing lost the ownership.
fn list_interval(bytes: usize, link_mbps: f64) -> Duration {
    MAX_LIST_INTERVAL.max(link::transfer_time_of_values(bytes, link_mbps, LINK_SHARE))
}

impl<P: Platform> Owner<P> {
    pub(super) async fn follow_intake(self: Rc<Self>, mut after: Revision) {
        while self.is_valid() {
            match self.platform.watch(keys::INTAKE, after, WATCH_WAIT).await {
                Ok(changes) => {
                    after = changes.revision;
                    self.log_left_out(&changes.unreadable);
                    self.intake_listings
                        .borrow_mut()
                        .on_changes(clock::now(), changes.changes.len());
                    let items: Vec<_> = changes
                        .changes
                        .into_iter()
                        .filter_map(|change| match change {
                            Change::Put(item) => Some(item),
                            Change::Removed(_) => None,
                        })
                        .collect();
                    if !items.is_empty() && self.is_valid() {
                        self.ingest(JobSource::Watch, items);
                        self.tick_requested.notify_one();
                    }
                }
                Err(CallError::HistoryCompacted) => {
                    self.events.emit("watch_restarted", json!({ "after": after }));
                    if let Some(revision) = self.list_intake().await {
                        after = revision;
                    }
                }
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Lists the intake at intervals, and early if the watch has unexpectedly reported nothing: a burst of jobs
    /// that the watches missed would otherwise go unnoticed for 1.3 s.
    pub(super) async fn relist_intake(self: Rc<Self>) {
        while self.is_valid() {
            let wait = self.intake_listings.borrow().time_until_listing(clock::now());
            if wait.is_zero() {
                self.list_intake().await;
            } else {
                tokio::time::sleep(wait.min(LISTING_CHECK_INTERVAL)).await;
            }
        }
    }

    async fn list_intake(&self) -> Option<Revision> {
        let (mut bytes, mut found) = (0, 0);
        let mut cancelled = BTreeSet::new();
        let on_page = |items: Vec<Item>| {
            if self.is_valid() {
                bytes += items.iter().map(|item| item.value.len()).sum::<usize>();
                found += self.ingest_submissions(JobSource::Listing, items, &mut cancelled);
            }
        };
        let listed = self.platform.list_pages(keys::INTAKE, on_page).await;
        self.cancel_jobs(&cancelled);
        let Ok(end) = listed else {
            // Counts as a listing, so that a failing store isn't overloaded by retries.
            self.intake_listings.borrow_mut().on_listed(clock::now(), 0);
            return None;
        };
        if !self.is_valid() {
            return None;
        }
        self.log_left_out(&end.unreadable);
        let max_interval = list_interval(bytes, self.settings.link_mbps);
        self.intake_listings.borrow_mut().set_max_interval(max_interval);
        self.intake_listings.borrow_mut().on_listed(clock::now(), found);
        if found > 0 {
            self.events.emit("listing_found", json!({ "jobs": found }));
        }
        self.tick_requested.notify_one();
        Some(end.revision)
    }

    pub(super) async fn publish_pending_counts(self: Rc<Self>) {
        while self.is_valid() {
            let counts = self.fleet.borrow().pending();
            let value = pending::encode(&counts);
            let transaction = Transaction {
                expect: vec![(keys::OWNER.to_owned(), self.term.fence)],
                puts: vec![(keys::PENDING.to_owned(), value, None)],
                removes: Vec::new(),
            };
            if let Err(error) = self.platform.commit(&transaction).await {
                self.events.emit("pending_unpublished", json!({ "why": error.to_string() }));
            }
            tokio::time::sleep(PENDING_COUNTS_INTERVAL).await;
        }
    }

    /// Removes the store's items of a job whose retention is over.
    pub(super) async fn remove_job(&self, job: &str) {
        let transaction = Transaction {
            expect: vec![(keys::OWNER.to_owned(), self.term.fence)],
            puts: Vec::new(),
            removes: vec![keys::submission(job), keys::cancellation(job), keys::record(job)],
        };
        if let Err(error) = self.platform.commit(&transaction).await {
            let fields = json!({ "job": job, "why": error.to_string(), "up_ms": clock::now().as_millis() as u64 });
            self.events.emit("not_forgotten", fields);
        }
    }
}
