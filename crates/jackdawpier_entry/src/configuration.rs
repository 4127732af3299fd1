//! The configuration in force at this entry: the highest version that it has seen, never a lower.

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
};

/// How long a watch waits for a change, which has to be in force within two seconds. Reading the whole
/// twice a second instead took 18 kB a second of each entry's link with 30 routes.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// The same where keys are asked for: the proofs that they need bring what the watch misses, and tell whether
/// the store answers.
const PROVED_WATCH_WAIT: Duration = Duration::from_millis(5000);
/// Whether the configuration has changed is asked after this long, whatever the watch hears.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// A proof of the keys that is this young says as much as a check. Between two looks at the proof that the entries share
/// it grows to two and a half seconds.
const PROVED_LATELY: Duration = Duration::from_secs(3);
/// Pause after the store didn't answer.
const REPEAT_PAUSE: Duration = Duration::from_millis(250);
/// The balancer is told that this entry is out of touch after this long without the store.
const OUT_OF_TOUCH_AFTER: Duration = Duration::from_millis(1800);

#[derive(Debug, Default)]
struct State {
    current: Option<Rc<Configuration>>,
    revision: Revision,
    heard_at: Option<Now>,
    proof: Proof,
    /// Answers with the document that are on their way.
    arrivals: ResponseProgress,
}

/// The configuration in force.
#[derive(Debug, Clone, Default)]
pub struct ActiveConfiguration {
    state: Rc<RefCell<State>>,
    /// Somebody waits for a newer proof.
    wanted: Rc<Notify>,
    /// There is a newer proof.
    proved: Rc<Notify>,
}

impl ActiveConfiguration {
    /// The configuration of an entry whose keys have to be proved that often; none for never.
    pub fn new(valid_for: Option<Duration>) -> Self {
        let active = Self::default();
        active.state.borrow_mut().proof.valid_for = valid_for;
        active
    }

    /// The configuration; none before the first has been read.
    pub fn get(&self) -> Option<Rc<Configuration>> {
        self.state.borrow().current.clone()
    }

    /// Revision of the store at which it was written.
    pub fn revision(&self) -> Revision {
        self.state.borrow().revision
    }

    /// Whether the store has answered lately, so that the configuration is known to be current, or is answering.
    pub fn is_current(&self, now: Now) -> bool {
        let state = self.state.borrow();
        let is_fresh = |at: Now| now.saturating_sub(at) < OUT_OF_TOUCH_AFTER;
        let last_sign = state.heard_at.max(state.arrivals.last_received_at());
        state.current.is_some() && last_sign.is_some_and(is_fresh)
    }

    /// Has answers with the document noted while they come.
    pub(crate) fn set_progress(&self, arrivals: ResponseProgress) {
        self.state.borrow_mut().arrivals = arrivals;
    }

    /// Whether an answer with the document has begun to come and isn't whole yet.
    pub(crate) fn is_receiving(&self) -> bool {
        self.state.borrow().arrivals.is_in_progress()
    }

    /// Whether the store has answered a question that was asked after `at`.
    pub fn has_store_answered_since(&self, at: Now) -> bool {
        self.state.borrow().heard_at.is_some_and(|heard_at| heard_at > at)
    }

    /// The store has answered a question that was asked at `asked_at`.
    pub fn on_store_answer(&self, asked_at: Now) {
        let mut state = self.state.borrow_mut();
        state.heard_at = state.heard_at.max(Some(asked_at));
    }

    /// Whether callers need keys.
    pub fn requires_keys(&self) -> bool {
        self.state.borrow().current.as_ref().is_some_and(|current| current.keys.is_some())
    }

    /// How sure it is that no newer configuration stands.
    pub fn proof(&self) -> Proof {
        self.state.borrow().proof
    }

    /// How long ago the configuration was last known to be the newest; none before the first proof, and
    /// where no keys are asked for.
    pub fn proof_age(&self) -> Option<Duration> {
        self.proof().asked_at.filter(|_| self.requires_keys()).map(clock::since)
    }

    /// Whether callers with a key that stands can be served.
    pub fn can_verify_keys(&self, now: Now) -> bool {
        !self.requires_keys() || self.proof().is_valid(now)
    }

    /// A question that left at `asked_at` has shown that the configuration in force was the newest.
    pub(crate) fn on_proof(&self, asked_at: Now) {
        let last = self.proof().asked_at.unwrap_or_default();
        self.state.borrow_mut().proof.asked_at = Some(last.max(asked_at));
        self.proved.notify_waiters();
    }

    /// Asks for a newer proof and waits for one.
    pub(crate) async fn request_proof(&self) {
        let proved = self.proved.notified();
        self.wanted.notify_one();
        proved.await;
    }

    /// Waits until somebody asks for a newer proof.
    pub(crate) async fn proof_requested(&self) {
        self.wanted.notified().await;
    }

    /// Takes over a version if it is higher than the one in force, and returns whether it is. The same
    /// version may be written again; then its latest writing stands.
    pub fn adopt_if_newer(&self, configuration: Configuration, revision: Revision) -> bool {
        let mut state = self.state.borrow_mut();
        let known = state.current.as_ref().map(|current| current.version);
        let is_newer = known.is_none_or(|version| configuration.version > version);
        let is_again = known == Some(configuration.version) && revision > state.revision;
        if is_newer || is_again {
            state.current = Some(Rc::new(configuration));
            state.revision = revision;
        }
        is_newer
    }

    /// The route of a request: the longest prefix of its host that the path begins with.
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

/// Where the configuration has been followed to.
#[derive(Debug, Clone, Copy)]
struct Position {
    revision: Revision,
    /// When it was last made sure that nothing was missed; none if it has to be now.
    checked_at: Option<Now>,
}

impl Position {
    fn is_checked(&self) -> bool {
        self.checked_at.is_some_and(|at| clock::since(at) < CHECK_INTERVAL)
    }
}

/// Follows the configuration for as long as the process lives. It is read whole only where nothing less tells
/// whether it has changed: it may be large, and each instance of hundreds reads it over one link of the store.
pub async fn follow<P: Platform>(platform: P, active: ActiveConfiguration, events: Events) {
    active.set_progress(platform.arrivals());
    let mut was_in_touch = false;
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
                if was_in_touch && error != CallError::HistoryCompacted {
                    let fields = json!({ "for": "configuration", "why": error.to_string() });
                    events.emit("store_missed", fields);
                }
                if error != CallError::HistoryCompacted {
                    tokio::time::sleep(REPEAT_PAUSE).await;
                }
            }
        }
        let is_current = active.is_current(clock::now());
        if is_current != was_in_touch {
            let event = if is_current { "store_regained" } else { "store_lost" };
            events.emit(event, json!({ "revision": active.revision() }));
            was_in_touch = is_current;
        }
        if active.get().is_none() {
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }
}

/// Where to go on after a step has failed: a watch that failed is followed by a check, a check by a reading.
fn after_failure(position: Option<Position>, error: &CallError) -> Option<Position> {
    let was_watching = position.filter(Position::is_checked);
    let is_known = *error != CallError::HistoryCompacted;
    was_watching.filter(|_| is_known).map(|position| Position { checked_at: None, ..position })
}

/// Makes sure that nothing was missed, by what proves the keys if that was done lately.
async fn check<P: Platform>(
    platform: &P,
    active: &ActiveConfiguration,
    events: &Events,
    from: Position,
) -> CallResult<Position> {
    let asked_at = clock::now();
    let proved_at = active.proof().asked_at.filter(|at| clock::since(*at) < PROVED_LATELY);
    if proved_at.is_none() {
        freshness::check_for_change(platform, active, events).await?;
    }
    let revision = from.revision.max(active.revision());
    Ok(Position { revision, checked_at: Some(proved_at.unwrap_or(asked_at)) })
}

/// Reads the configuration as it is.
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

/// Waits a while for a change.
async fn watch<P: Platform>(
    platform: &P,
    active: &ActiveConfiguration,
    events: &Events,
    from: Position,
) -> CallResult<Position> {
    let asked_at = clock::now();
    let key = platform.configuration_key();
    let wait = if active.requires_keys() { PROVED_WATCH_WAIT } else { WATCH_WAIT };
    // A proof may have brought what the watch hasn't told of yet.
    let after = from.revision.max(active.revision());
    let news = platform.watch(key, after, wait).await?;
    let took = clock::since(asked_at);
    // An answer without news left the store when the wait was over, and nothing had changed by then; one
    // that came sooner was cut short and says no more than that the store was asked.
    let is_waited_for = news.changes.is_empty() && took >= wait;
    active.on_store_answer(if is_waited_for { asked_at + wait } else { asked_at });
    if news.changes.is_empty() && !is_waited_for {
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
    for change in &news.changes {
        if let Change::Put(item) = change {
            adopt_item(platform, active, events, item);
        }
    }
    Ok(Position { revision: news.revision, ..from })
}

/// Takes an item of the store over if it is a newer configuration.
pub(crate) fn adopt_item<P: Platform>(
    platform: &P,
    active: &ActiveConfiguration,
    events: &Events,
    item: &Item,
) {
    if item.key == platform.configuration_key() && item.revision != active.revision() {
        take(platform, active, events, &item.value, item.revision);
    }
}

fn take<P: Platform>(
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
            let fields = json!({ "revision": revision, "why": error.to_string() });
            events.emit("configuration_unreadable", fields);
        }
    }
}
