//! The configuration in force at this entry: the highest version that it has received.

use std::{cell::RefCell, rc::Rc, time::Duration};

use jackdawpier_kernel::{Now, ids::Revision};
use serde_json::json;
use tokio::sync::Notify;

use crate::{
    access::Proof,
    clock,
    events::Events,
    freshness,
    ports::{CallError, CallResult, Change, Configuration, Item, Platform, Route},
    response_progress::ResponseProgress,
    unreadable_log::shorten,
};

/// How long a watch waits for a change, which has to be in force within two seconds. Reading the whole
/// configuration twice a second instead would need 18 kB/s of each entry's link with 30 routes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// The same if keys are required: the proofs for them also bring changes that the watch misses, and
/// show whether the store answers.
const WATCH_TIMEOUT_WITH_PROOFS: Duration = Duration::from_millis(5000);
/// Interval of checks whether the configuration has changed, independent of the watch.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// A proof that is not older than this replaces a check. Between two reads of the proof that entries share its
/// age reaches two and a half seconds.
const MAX_PROOF_AGE_FOR_CHECK: Duration = Duration::from_secs(3);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// After this long without an answer from the store the entry reports to the load balancer that it isn't ready.
const STALE_AFTER: Duration = Duration::from_millis(1800);

#[derive(Debug, Default)]
struct State {
    current: Option<Rc<Configuration>>,
    revision: Revision,
    /// When the latest request was sent that the store answered.
    answered_request_at: Option<Now>,
    proof: Proof,
    /// Progress of the answers that contain the configuration.
    document_progress: ResponseProgress,
}

/// The configuration in force.
#[derive(Debug, Clone, Default)]
pub struct ActiveConfiguration {
    state: Rc<RefCell<State>>,
    /// Notified when a newer proof is requested.
    proof_request: Rc<Notify>,
    /// Notified when there is a newer proof.
    new_proof: Rc<Notify>,
}

impl ActiveConfiguration {
    /// Creates an empty configuration whose keys may be accepted for `valid_for` after a proof; none
    /// for no limit.
    pub fn new(valid_for: Option<Duration>) -> Self {
        let active = Self::default();
        active.state.borrow_mut().proof.valid_for = valid_for;
        active
    }

    /// Returns the configuration; none before the first has been read.
    pub fn get(&self) -> Option<Rc<Configuration>> {
        self.state.borrow().current.clone()
    }

    /// Returns the revision of the store at which it was written.
    pub fn revision(&self) -> Revision {
        self.state.borrow().revision
    }

    /// Returns whether the store has answered recently or is answering, so that the configuration is current.
    pub fn is_current(&self, now: Now) -> bool {
        let state = self.state.borrow();
        let is_fresh = |at: Now| now.saturating_sub(at) < STALE_AFTER;
        let last_contact =
            state.answered_request_at.max(state.document_progress.last_received_at());
        state.current.is_some() && last_contact.is_some_and(is_fresh)
    }

    /// Sets where the progress of answers that contain the configuration is tracked.
    pub(crate) fn set_progress(&self, progress: ResponseProgress) {
        self.state.borrow_mut().document_progress = progress;
    }

    /// Returns whether an answer that contains the configuration is being received.
    pub(crate) fn is_receiving(&self) -> bool {
        self.state.borrow().document_progress.is_in_progress()
    }

    /// Returns whether the store has answered a request that was sent after `at`.
    pub fn has_store_answered_since(&self, at: Now) -> bool {
        self.state.borrow().answered_request_at.is_some_and(|asked_at| asked_at > at)
    }

    /// Notes that the store has answered a request that was sent at `asked_at`.
    pub fn on_store_answer(&self, asked_at: Now) {
        let mut state = self.state.borrow_mut();
        state.answered_request_at = state.answered_request_at.max(Some(asked_at));
    }

    /// Returns whether callers need keys.
    pub fn requires_keys(&self) -> bool {
        self.state.borrow().current.as_ref().is_some_and(|current| current.keys.is_some())
    }

    /// Returns the latest proof that the configuration is the newest.
    pub fn proof(&self) -> Proof {
        self.state.borrow().proof
    }

    /// Returns how long ago the configuration was last known to be the newest; none before the first proof, and
    /// if no keys are required.
    pub fn proof_age(&self) -> Option<Duration> {
        self.proof().asked_at.filter(|_| self.requires_keys()).map(clock::since)
    }

    /// Returns whether callers with a valid key can be served.
    pub fn can_verify_keys(&self, now: Now) -> bool {
        !self.requires_keys() || self.proof().is_valid(now)
    }

    /// Notes that a request sent at `asked_at` has shown that the configuration in force was the newest.
    pub(crate) fn on_proof(&self, asked_at: Now) {
        let last = self.proof().asked_at.unwrap_or_default();
        self.state.borrow_mut().proof.asked_at = Some(last.max(asked_at));
        self.new_proof.notify_waiters();
    }

    /// Requests a newer proof and waits for it.
    pub(crate) async fn request_proof(&self) {
        let new_proof = self.new_proof.notified();
        self.proof_request.notify_one();
        new_proof.await;
    }

    /// Waits until a newer proof is requested.
    pub(crate) async fn proof_requested(&self) {
        self.proof_request.notified().await;
    }

    /// Adopts a version if it is higher than the one in force, and returns whether it is. If the same version
    /// is written again, the latest write is adopted.
    pub fn adopt_if_newer(&self, configuration: Configuration, revision: Revision) -> bool {
        let mut state = self.state.borrow_mut();
        let known = state.current.as_ref().map(|current| current.version);
        let is_newer = known.is_none_or(|version| configuration.version > version);
        let is_rewritten = known == Some(configuration.version) && revision > state.revision;
        if is_newer || is_rewritten {
            state.current = Some(Rc::new(configuration));
            state.revision = revision;
        }
        is_newer
    }

    /// Returns the route of a request: the one of its host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<Route> {
        let current = self.get()?;
        let host = host.split(':').next().unwrap_or(host);
        current
            .routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
            .cloned()
    }
}

/// Up to where changes of the configuration have been received.
#[derive(Debug, Clone, Copy)]
struct Position {
    revision: Revision,
    /// When it was last verified that no change was missed; none if it has to be verified now.
    checked_at: Option<Now>,
}

impl Position {
    fn is_checked(&self) -> bool {
        self.checked_at.is_some_and(|at| clock::since(at) < CHECK_INTERVAL)
    }
}

/// Follows the configuration until it is cancelled. The whole configuration is read only if nothing
/// smaller shows whether it has changed: it may be large, and hundreds of instances read it over one
/// link of the store.
pub async fn follow<P: Platform>(platform: P, active: ActiveConfiguration, events: Events) {
    active.set_progress(platform.response_progress());
    let mut was_current = false;
    let mut position = None;
    loop {
        let step = match position {
            None => read(&platform, &active, &events).await,
            Some(position) if Position::is_checked(&position) => {
                watch(&platform, &active, &events, position).await
            }
            Some(position) => check(&platform, &active, &events, position).await,
        };
        match step {
            Ok(reached) => position = Some(reached),
            Err(error) => {
                position = after_failure(position, &error);
                if was_current && error != CallError::HistoryCompacted {
                    let fields = json!({ "for": "configuration", "why": error.to_string() });
                    events.emit("store_missed", fields);
                }
                if error != CallError::HistoryCompacted {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        let is_current = active.is_current(clock::now());
        if is_current != was_current {
            let event = if is_current { "store_regained" } else { "store_lost" };
            events.emit(event, json!({ "revision": active.revision() }));
            was_current = is_current;
        }
        if active.get().is_none() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Returns the position after a failed step: a failed watch is followed by a check, a failed check by a read.
fn after_failure(position: Option<Position>, error: &CallError) -> Option<Position> {
    let was_watching = position.filter(Position::is_checked);
    let is_history_available = *error != CallError::HistoryCompacted;
    was_watching
        .filter(|_| is_history_available)
        .map(|position| Position { checked_at: None, ..position })
}

/// Verifies that no change was missed, by a recent proof if there is one.
async fn check<P: Platform>(
    platform: &P,
    active: &ActiveConfiguration,
    events: &Events,
    from: Position,
) -> CallResult<Position> {
    let asked_at = clock::now();
    let proved_at =
        active.proof().asked_at.filter(|at| clock::since(*at) < MAX_PROOF_AGE_FOR_CHECK);
    if proved_at.is_none() {
        freshness::check_for_change(platform, active, events).await?;
    }
    let revision = from.revision.max(active.revision());
    Ok(Position { revision, checked_at: Some(proved_at.unwrap_or(asked_at)) })
}

/// Reads the whole configuration.
async fn read<P: Platform>(
    platform: &P,
    active: &ActiveConfiguration,
    events: &Events,
) -> CallResult<Position> {
    let read_at = clock::now();
    let listing = platform.list(platform.configuration_key()).await?;
    active.on_store_answer(read_at);
    listing.items.iter().for_each(|item| adopt_item(platform, active, events, item));
    let key = platform.configuration_key();
    if listing.items.iter().any(|item| item.key == key && item.revision == active.revision()) {
        active.on_proof(read_at);
    }
    Ok(Position { revision: listing.revision, checked_at: Some(read_at) })
}

/// Waits for a change for a limited time.
async fn watch<P: Platform>(
    platform: &P,
    active: &ActiveConfiguration,
    events: &Events,
    from: Position,
) -> CallResult<Position> {
    let asked_at = clock::now();
    let key = platform.configuration_key();
    let wait = if active.requires_keys() { WATCH_TIMEOUT_WITH_PROOFS } else { WATCH_TIMEOUT };
    // A proof may have brought a change that the watch hasn't reported yet.
    let after = from.revision.max(active.revision());
    let answer = platform.watch(key, after, wait).await?;
    let took = clock::since(asked_at);
    // An empty answer after the whole wait shows that nothing had changed by its end. One that came earlier
    // was cut short and shows only that the store answered the request.
    let is_full_wait = answer.changes.is_empty() && took >= wait;
    active.on_store_answer(if is_full_wait { asked_at + wait } else { asked_at });
    if answer.changes.is_empty() && !is_full_wait {
        tokio::time::sleep(RETRY_DELAY).await;
    }
    for change in &answer.changes {
        if let Change::Put(item) = change {
            adopt_item(platform, active, events, item);
        }
    }
    Ok(Position { revision: answer.revision, ..from })
}

/// Adopts an item of the store if it is a newer configuration.
pub(crate) fn adopt_item<P: Platform>(
    platform: &P,
    active: &ActiveConfiguration,
    events: &Events,
    item: &Item,
) {
    if item.key == platform.configuration_key() && item.revision != active.revision() {
        adopt(platform, active, events, &item.value, item.revision);
    }
}

fn adopt<P: Platform>(
    platform: &P,
    active: &ActiveConfiguration,
    events: &Events,
    value: &[u8],
    revision: Revision,
) {
    match platform.read_configuration(value) {
        Ok(configuration) => {
            let (version, routes) = (configuration.version, configuration.routes.len());
            if active.adopt_if_newer(configuration, revision) {
                let fields = json!({ "version": version, "revision": revision, "routes": routes });
                events.emit("configuration", fields);
            }
            let in_force = active.get().map_or(0, |current| current.version);
            if version < in_force {
                let fields =
                    json!({ "version": version, "revision": revision, "in_force": in_force });
                events.emit("configuration_ignored", fields);
            }
        }
        Err(error) => {
            let why = shorten(&error.to_string());
            let fields = json!({ "revision": revision, "why": why });
            events.emit("configuration_unreadable", fields);
        }
    }
}
