//! Stand-in of the platform's metadata store.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::http::{Reply, Request, reply};

/// Time of an answer.
const LATENCY: Duration = Duration::from_millis(4);
const MAX_ITEMS_PER_PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created_at: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    /// The revision counter starts above 0.
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    events: Vec<(u64, String, Value)>,
}

/// A transaction that has been carried out.
pub struct Committed<'a> {
    /// The process that sent it.
    pub sender: usize,
    /// Keys with their decoded values.
    pub puts: &'a [(String, String)],
}

type CommitHook = Box<dyn Fn(&Committed<'_>) + Send + Sync>;

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    on_commit: Mutex<Option<CommitHook>>,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created_at = self.items.get(key).map_or(revision, |item| item.created_at);
        let item = Item { value: value.to_owned(), revision, created_at, lease };
        self.events.push((revision, key.to_owned(), show(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({ "key": key, "revision": self.revision, "deleted": true });
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

fn show(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": item.value, "revision": item.revision,
        "createdAt": item.created_at, "leaseId": item.lease,
    })
}

impl Store {
    pub fn new() -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 100;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                let mut state = expiring.state.lock().unwrap();
                let now = Instant::now();
                let ended = state.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
                let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
                ended.iter().for_each(|id| state.end_lease(*id));
                if !ended.is_empty() {
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    /// Calls `hook` right after each transaction, before it is answered.
    pub fn on_commit(&self, hook: impl Fn(&Committed<'_>) + Send + Sync + 'static) {
        *self.on_commit.lock().unwrap() = Some(Box::new(hook));
    }

    /// Writes an item, as operators and executors do.
    pub fn write(&self, key: &str, value: &Value) {
        self.state.lock().unwrap().put(key, &STANDARD.encode(value.to_string()), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    /// Answers a call of a process.
    pub fn answer(&self, sender: usize, request: &Request) -> Reply {
        thread::sleep(LATENCY);
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => {
                let key = request.parameter("key")?;
                let state = self.state.lock().unwrap();
                match state.items.get(&key) {
                    Some(item) => {
                        let mut shown = show(&key, item);
                        shown["atRev"] = json!(state.revision);
                        reply(200, shown)
                    }
                    None => reply(404, json!({ "atRev": state.revision })),
                }
            }
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.commit(sender, &request.json()),
            ("POST", "/kv-lease") => {
                let ttl_ms = request.json()["ttlMs"].as_u64().unwrap_or(0).max(1000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.state.lock().unwrap();
                state.revision += 1;
                let id = 70_000 + state.revision;
                state.leases.insert(id, Lease { ttl, ends_at: Instant::now() + ttl });
                reply(200, json!({ "leaseId": id, "ttlMs": ttl_ms }))
            }
            ("POST", _) => {
                let id = path.strip_prefix("/kv-keep/")?.parse().ok()?;
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends_at = Instant::now() + lease.ttl;
                        reply(200, json!({ "ttlMs": lease.ttl.as_millis() as u64 }))
                    }
                    None => reply(404, json!({})),
                }
            }
            ("DELETE", _) => {
                let id = path.strip_prefix("/kv-lease-end/")?.parse().ok()?;
                let mut state = self.state.lock().unwrap();
                let is_known = state.leases.contains_key(&id);
                state.end_lease(id);
                self.changed.notify_all();
                reply(if is_known { 200 } else { 404 }, json!({}))
            }
            _ => reply(400, json!({})),
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let prefix = request.parameter("prefix")?;
        let after = request.parameter("after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let all = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let found: Vec<Value> =
            all.take(MAX_ITEMS_PER_PAGE + 1).map(|(key, item)| show(key, item)).collect();
        let has_more = found.len() > MAX_ITEMS_PER_PAGE;
        let page = &found[..found.len().min(MAX_ITEMS_PER_PAGE)];
        reply(200, json!({ "items": page, "hasMore": has_more, "atRev": state.revision }))
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.parameter("prefix")?;
        let after: u64 = request.parameter("after")?.parse().ok()?;
        let wait_ms = request.parameter("waitMs")?.parse().ok()?;
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let recent = state.events.iter().rev().take_while(|(revision, ..)| *revision > after);
            let found = recent.filter(|(_, key, _)| key.starts_with(&prefix));
            let mut events: Vec<Value> = found.map(|(.., event)| event.clone()).collect();
            events.reverse();
            let time_left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || time_left.is_zero() {
                return reply(200, json!({ "events": events, "atRev": state.revision }));
            }
            state = self.changed.wait_timeout(state, time_left).unwrap().0;
        }
    }

    fn commit(&self, sender: usize, transaction: &Value) -> Reply {
        let rows = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let mut state = self.state.lock().unwrap();
        let expect = rows("expect");
        let revision_of =
            |state: &State, key: &str| state.items.get(key).map_or(0, |one| one.revision);
        let holds = |row: &Value| {
            revision_of(&state, &text(&row["key"])) == row["revision"].as_u64().unwrap_or(0)
        };
        if !expect.iter().all(holds) {
            let keys = expect.iter().map(|row| text(&row["key"]));
            let items: Vec<Value> =
                keys.filter_map(|key| Some(show(&key, state.items.get(&key)?))).collect();
            return reply(412, json!({ "items": items }));
        }
        let puts = rows("puts");
        let lease_of = |row: &Value| row["leaseId"].as_u64().unwrap_or(0);
        if puts.iter().map(lease_of).any(|lease| lease > 0 && !state.leases.contains_key(&lease)) {
            return reply(404, json!({}));
        }
        // All changes of a transaction have one revision.
        let revision = state.revision + 1;
        for row in &puts {
            state.revision = revision - 1;
            state.put(&text(&row["key"]), &text(&row["value"]), lease_of(row));
        }
        for key in rows("remove") {
            state.revision = revision - 1;
            state.remove(&text(&key));
        }
        state.revision = revision;
        let decode = |row: &Value| {
            let value = STANDARD.decode(text(&row["value"])).unwrap_or_default();
            (text(&row["key"]), String::from_utf8_lossy(&value).into_owned())
        };
        let puts: Vec<(String, String)> = puts.iter().map(decode).collect();
        if let Some(hook) = &*self.on_commit.lock().unwrap() {
            hook(&Committed { sender, puts: &puts });
        }
        drop(state);
        self.changed.notify_all();
        reply(200, json!({ "revision": revision }))
    }
}
