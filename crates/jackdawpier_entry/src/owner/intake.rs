//! Accepted jobs and cancellations as they come in.

use std::{collections::HashMap, rc::Rc, time::Duration};

use jackdawpier_kernel::ids::Revision;
use serde_json::json;

use super::{Owner, takeover::Source};
use crate::{
    clock, keys, link, pending,
    ports::{CallError, Change, Platform, Transaction},
};

/// How long a watch waits for changes; short, since a silent connection looks like a calm one.
const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// Pause after a failed watch.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);
/// A watch may miss changes without showing it; a full listing finds them this late.
pub(super) const LIST_INTERVAL: Duration = Duration::from_millis(2500);
/// Part of the link that listings may take where the watch gives no cause for them.
const LINK_PART: f64 = 0.1;
/// How often the silence of the watch is looked at.
const SILENCE_LOOK: Duration = Duration::from_millis(100);
/// How often the counts of jobs that haven't begun are written.
const PENDING_INTERVAL: Duration = Duration::from_millis(1000);

/// Time between two listings of this many bytes. In a burst what is open has 120 KB, half a second of a link
/// of 2 Mbit/s, and renewals that waited behind it cost the ownership.
fn list_interval(bytes: usize, link_mbps: f64) -> Duration {
    LIST_INTERVAL.max(link::transfer_time_of_values(bytes, link_mbps, LINK_PART))
}

impl<P: Platform> Owner<P> {
    pub(super) async fn follow_intake(self: Rc<Self>, mut after: Revision) {
        while self.is_valid() {
            match self.platform.watch(keys::INTAKE, after, WATCH_WAIT).await {
                Ok(changes) => {
                    after = changes.revision;
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
                        self.ingest(Source::Watch, items, &mut HashMap::new());
                        self.changed.notify_one();
                    }
                }
                Err(CallError::HistoryCompacted) => {
                    self.events.emit("watch_restarted", json!({ "after": after }));
                    if let Some(revision) = self.list_intake().await {
                        after = revision;
                    }
                }
                Err(_) => tokio::time::sleep(REPEAT_PAUSE).await,
            }
        }
    }

    /// Lists the intake now and then, and soon where the watch is suspiciously silent: a turn of demand
    /// that began while watches heard nothing was unseen for 1.3 s.
    pub(super) async fn relist_intake(self: Rc<Self>) {
        while self.is_valid() {
            let wait = self.intake_listings.borrow().time_until_listing(clock::now());
            if wait.is_zero() {
                self.list_intake().await;
            } else {
                tokio::time::sleep(wait.min(SILENCE_LOOK)).await;
            }
        }
    }

    async fn list_intake(&self) -> Option<Revision> {
        let listing = self.platform.list(keys::INTAKE).await;
        let Ok(listing) = listing else {
            // Not again before the next look, so that a failing store isn't pressed.
            self.intake_listings.borrow_mut().on_listed(clock::now(), 0);
            return None;
        };
        if !self.is_valid() {
            return None;
        }
        let bytes: usize = listing.items.iter().map(|item| item.value.len()).sum();
        let longest = list_interval(bytes, self.settings.link_mbps);
        self.intake_listings.borrow_mut().set_max_interval(longest);
        let found = self.ingest(Source::Listing, listing.items, &mut HashMap::new());
        self.intake_listings.borrow_mut().on_listed(clock::now(), found);
        if found > 0 {
            self.events.emit("listing_found", json!({ "jobs": found }));
        }
        self.changed.notify_one();
        Some(listing.revision)
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
            tokio::time::sleep(PENDING_INTERVAL).await;
        }
    }

    /// Removes what the store holds of a job that has been over for long.
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
