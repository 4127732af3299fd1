//! The platform's store: items, transactions, leases, watches.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{
        Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::http::{Reply, Request};

/// Longest value, as in the settings.
pub const MAX_VALUE_BYTES: usize = 1_048_576;
const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;
const MAX_ROWS: usize = 32;
/// An answer takes this long, as on the sheets.
const ANSWER_MS: u64 = 4;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Factor on the time of each answer.
    pub slowness: AtomicU64,
    /// Entries, by number, that are partitioned from the store: what they send is lost.
    pub cut: Mutex<BTreeSet<usize>>,
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": item.value, "revision": item.revision,
        "createdAt": item.created, "leaseId": item.lease,
    })
}

impl State {
    fn apply(&mut self, puts: &[(String, String, u64)], removes: &[String]) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        for (key, value, lease) in puts {
            let created = self.items.get(key).map_or(revision, |item| item.created);
            let item = Item { value: value.clone(), revision, created, lease: *lease };
            self.items.insert(key.clone(), item.clone());
            self.history.push((revision, key.clone(), Some(item)));
        }
        for key in removes {
            if self.items.remove(key).is_some() {
                self.history.push((revision, key.clone(), None));
            }
        }
        revision
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        ended.iter().for_each(|id| self.end_lease(*id));
        !ended.is_empty()
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.apply(&[], &keys);
        }
    }
}

impl Store {
    pub fn new() -> Self {
        Self {
            state: Mutex::new(State { revision: 100, ..State::default() }),
            changed: Condvar::new(),
            slowness: AtomicU64::new(1),
            cut: Mutex::default(),
        }
    }

    /// Writes on behalf of the operator or an executor.
    pub fn put(&self, key: &str, value: &[u8]) {
        let put = (key.to_owned(), STANDARD.encode(value), 0);
        self.state.lock().unwrap().apply(&[put], &[]);
        self.changed.notify_all();
    }

    /// Removes a key on behalf of the platform.
    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().apply(&[], &[key.to_owned()]);
        self.changed.notify_all();
    }

    /// Returns the JSON value of an item.
    pub fn read(&self, key: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        let bytes = STANDARD.decode(&state.items.get(key)?.value).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Ends leases whose time is over, for as long as the process runs.
    pub fn keep_expiring(&self) {
        loop {
            thread::sleep(Duration::from_millis(10));
            if self.state.lock().unwrap().expire() {
                self.changed.notify_all();
            }
        }
    }

    fn delay(&self) {
        let factor = self.slowness.load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(ANSWER_MS * factor));
    }

    /// Handles a call of the entry with this number.
    pub fn handle(&self, entry: usize, request: Request) -> Reply {
        if self.cut.lock().unwrap().contains(&entry) {
            return Reply::Silence(Duration::from_secs(3));
        }
        let reply = self.answer(request);
        if self.cut.lock().unwrap().contains(&entry) {
            return Reply::Silence(Duration::from_secs(3));
        }
        reply
    }

    fn answer(&self, request: Request) -> Reply {
        if request.path == "/kv-watch" {
            let reply = self.watch(&request);
            self.delay();
            return reply;
        }
        // Done when the call arrives, answered after the usual time.
        let reply = self.execute(&request);
        self.delay();
        reply
    }

    fn execute(&self, request: &Request) -> Reply {
        let path = request.path.as_str();
        let mut state = self.state.lock().unwrap();
        state.expire();
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => {
                let key = request.query("key");
                match state.items.get(key) {
                    Some(item) => {
                        let mut body = item_json(key, item);
                        body["atRev"] = json!(state.revision);
                        Reply::Json(200, body)
                    }
                    None => Reply::Json(404, json!({ "atRev": state.revision })),
                }
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
                for (key, item) in &state.items {
                    if !key.starts_with(prefix) || key.as_str() <= after && !after.is_empty() {
                        continue;
                    }
                    if items.len() == MAX_PAGE_ITEMS || bytes > MAX_PAGE_BYTES {
                        has_more = true;
                        break;
                    }
                    bytes += item.value.len();
                    items.push(item_json(key, item));
                }
                let body = json!({ "items": items, "hasMore": has_more, "atRev": state.revision });
                Reply::Json(200, body)
            }
            ("POST", "/kv-txn") => {
                let reply = transact(&mut state, &request.json());
                drop(state);
                self.changed.notify_all();
                reply
            }
            ("POST", "/kv-lease") => {
                let ttl_ms = request.json()["ttlMs"].as_u64().unwrap_or(1000).max(1000);
                state.next_lease += 1;
                let (id, ttl) = (state.next_lease, Duration::from_millis(ttl_ms));
                state.leases.insert(id, (Instant::now() + ttl, ttl));
                Reply::Json(200, json!({ "leaseId": id, "ttlMs": ttl_ms }))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let id: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        Reply::Json(200, json!({ "ttlMs": ttl.as_millis() as u64 }))
                    }
                    None => Reply::Json(404, json!({})),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let id: u64 = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.end_lease(id);
                drop(state);
                self.changed.notify_all();
                Reply::Json(200, json!({}))
            }
            _ => Reply::Json(404, json!({})),
        }
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let first = state.history.partition_point(|(revision, ..)| *revision <= after);
            let events: Vec<Value> = state.history[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => json!({ "key": key, "revision": revision, "deleted": true }),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Reply::Json(200, json!({ "events": events, "atRev": state.revision }));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn rows(body: &Value, name: &str) -> Vec<Value> {
    body[name].as_array().cloned().unwrap_or_default()
}

fn transact(state: &mut State, body: &Value) -> Reply {
    let (expect, puts, removes) = (rows(body, "expect"), rows(body, "puts"), rows(body, "remove"));
    if expect.len() + puts.len() + removes.len() > MAX_ROWS {
        return Reply::Json(400, json!({ "reason": "rows" }));
    }
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let is_met = |row: &Value| {
        let revision = state.items.get(&text(&row["key"])).map_or(0, |item| item.revision);
        revision == row["revision"].as_u64().unwrap_or(0)
    };
    if !expect.iter().all(is_met) {
        let items: Vec<Value> = expect
            .iter()
            .filter_map(|row| {
                let key = text(&row["key"]);
                state.items.get(&key).map(|item| item_json(&key, item))
            })
            .collect();
        return Reply::Json(412, json!({ "items": items }));
    }
    let puts: Vec<(String, String, u64)> = puts
        .iter()
        .map(|row| (text(&row["key"]), text(&row["value"]), row["leaseId"].as_u64().unwrap_or(0)))
        .collect();
    if puts.iter().any(|(_, value, _)| value.len() / 4 * 3 > MAX_VALUE_BYTES) {
        return Reply::Json(400, json!({ "reason": "value" }));
    }
    if puts.iter().any(|(_, _, lease)| *lease != 0 && !state.leases.contains_key(lease)) {
        return Reply::Json(404, json!({}));
    }
    let removes: Vec<String> = removes.iter().map(text).collect();
    let revision = state.apply(&puts, &removes);
    Reply::Json(200, json!({ "revision": revision }))
}
