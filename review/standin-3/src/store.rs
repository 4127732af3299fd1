//! The platform's store: transactions, leases, listings by pages, watches over a history.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::http::{Reply, Request, serve};

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
/// Items and bytes of a page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
const MAX_ROWS: usize = 32;
const MAX_VALUE_BYTES: usize = 1_048_576;

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: Arc<str>,
    revision: u64,
    created_at: u64,
    lease: u64,
}

struct Lease {
    until: Instant,
    ttl: Duration,
}

enum Event {
    Put(Item),
    Deleted,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: Vec<(u64, String, Event)>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createdAt\":{},\"leaseId\":{}}}",
        json!(key),
        item.value,
        item.revision,
        item.created_at,
        item.lease
    )
}

fn event_text((revision, key, event): &(u64, String, Event)) -> String {
    match event {
        Event::Put(item) => item_text(key, item),
        Event::Deleted => json!({ "key": key, "revision": revision, "deleted": true }).to_string(),
    }
}

impl State {
    fn apply(&mut self, puts: &[(String, Arc<str>, u64)], removes: &[String]) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        for (key, value, lease) in puts {
            let created_at = self.items.get(key).map_or(revision, |item| item.created_at);
            let item = Item { value: value.clone(), revision, created_at, lease: *lease };
            self.history.push((revision, key.clone(), Event::Put(item.clone())));
            self.items.insert(key.clone(), item);
        }
        for key in removes {
            if self.items.remove(key).is_some() {
                self.history.push((revision, key.clone(), Event::Deleted));
            }
        }
        revision
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let was_known = self.leases.remove(&lease).is_some();
        let attached = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.apply(&[], &keys);
        }
        was_known
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self::default());
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let now = Instant::now();
                let mut state = expiring.state.lock().unwrap();
                let expired = state.leases.iter().filter(|(_, lease)| lease.until <= now);
                let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
                for lease in &expired {
                    state.end_lease(*lease);
                }
                drop(state);
                if !expired.is_empty() {
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    /// Serves one machine at an address of its own.
    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let store = self.clone();
        serve(move |request| {
            thread::sleep(ANSWER);
            store.handle(&request)
        })
    }

    /// Writes for an operator or an executor.
    pub fn write(&self, key: &str, value: &Value) {
        let value: Arc<str> = STANDARD.encode(value.to_string()).into();
        self.state.lock().unwrap().apply(&[(key.to_owned(), value, 0)], &[]);
        self.changed.notify_all();
    }

    /// Returns the text of a value.
    pub fn read(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let value = STANDARD.decode(state.items.get(key)?.value.as_bytes()).ok()?;
        String::from_utf8(value).ok()
    }

    /// Returns the name of the entry that owns the fleet.
    pub fn owner(&self) -> Option<String> {
        let value: Value = serde_json::from_str(&self.read("owner")?).ok()?;
        Some(value["entry"].as_str()?.to_owned())
    }

    pub fn handle(&self, request: &Request) -> Reply {
        let empty = |status| Reply::Json(status, "{}".to_owned());
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => {
                let key = request.query.get("key").cloned().unwrap_or_default();
                let state = self.state.lock().unwrap();
                match state.items.get(&key) {
                    Some(item) => {
                        let mut text = item_text(&key, item);
                        text.pop();
                        Reply::Json(200, format!("{text},\"atRev\":{}}}", state.revision))
                    }
                    None => Reply::Json(404, format!("{{\"atRev\":{}}}", state.revision)),
                }
            }
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(&request.body),
            ("POST", "/kv-lease") => {
                let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
                let Some(ttl_ms) = body["ttlMs"].as_u64() else { return empty(400) };
                let ttl = Duration::from_millis(ttl_ms.clamp(1_000, 600_000));
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let id = 77_000 + state.next_lease;
                state.leases.insert(id, Lease { until: Instant::now() + ttl, ttl });
                let body = json!({ "leaseId": id, "ttlMs": ttl.as_millis() as u64 });
                Reply::Json(200, body.to_string())
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let id = path["/kv-keep/".len()..].parse().unwrap_or(0u64);
                let mut state = self.state.lock().unwrap();
                let Some(lease) = state.leases.get_mut(&id) else { return empty(404) };
                lease.until = Instant::now() + lease.ttl;
                Reply::Json(200, json!({ "ttlMs": lease.ttl.as_millis() as u64 }).to_string())
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let id = path["/kv-lease-end/".len()..].parse().unwrap_or(0u64);
                let was_known = self.state.lock().unwrap().end_lease(id);
                self.changed.notify_all();
                empty(if was_known { 200 } else { 404 })
            }
            _ => empty(404),
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (prefix, after) = (text("prefix"), text("after"));
        let state = self.state.lock().unwrap();
        let mut rows = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, item) in state.items.range(prefix.clone()..) {
            if !key.starts_with(&prefix) {
                break;
            }
            if *key <= after {
                continue;
            }
            if rows.len() >= PAGE_ITEMS || (bytes > 0 && bytes + item.value.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            rows.push(item_text(key, item));
        }
        let rows = rows.join(",");
        let revision = state.revision;
        Reply::Json(
            200,
            format!("{{\"items\":[{rows}],\"hasMore\":{has_more},\"atRev\":{revision}}}"),
        )
    }

    fn watch(&self, request: &Request) -> Reply {
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let prefix = text("prefix");
        let after: u64 = text("after").parse().unwrap_or(0);
        let wait_ms: u64 = text("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let first = state.history.partition_point(|(revision, ..)| *revision <= after);
            let events: Vec<String> = state.history[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(event_text)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return Reply::Json(200, format!("{{\"events\":[{events}],\"atRev\":{revision}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> Reply {
        let bad = |why: &str| Reply::Json(400, json!({ "error": why }).to_string());
        let Ok(body) = serde_json::from_slice::<Value>(body) else { return bad("not JSON") };
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expect, puts, remove) = (list("expect"), list("puts"), list("remove"));
        if expect.len() + puts.len() + remove.len() > MAX_ROWS {
            return bad("too many entries");
        }
        let key_of = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
        let puts: Vec<(String, Arc<str>, u64)> = puts
            .iter()
            .map(|put| {
                let value = put["value"].as_str().unwrap_or_default();
                (key_of(put), value.into(), put["leaseId"].as_u64().unwrap_or(0))
            })
            .collect();
        if puts.iter().any(|(_, value, _)| value.len() / 4 * 3 > MAX_VALUE_BYTES + 2) {
            return bad("a value is too large");
        }
        let removes: Vec<String> =
            remove.iter().filter_map(|key| Some(key.as_str()?.to_owned())).collect();
        let mut state = self.state.lock().unwrap();
        let is_met = |row: &Value| {
            let revision = state.items.get(&key_of(row)).map_or(0, |item| item.revision);
            Some(revision) == row["revision"].as_u64()
        };
        if !expect.iter().all(is_met) {
            let rows = expect.iter().filter_map(|row| {
                let key = key_of(row);
                state.items.get(&key).map(|item| item_text(&key, item))
            });
            let rows = rows.collect::<Vec<_>>().join(",");
            return Reply::Json(412, format!("{{\"items\":[{rows}]}}"));
        }
        if puts.iter().any(|(_, _, lease)| *lease != 0 && !state.leases.contains_key(lease)) {
            return Reply::Json(404, "{}".to_owned());
        }
        let revision = state.apply(&puts, &removes);
        drop(state);
        self.changed.notify_all();
        Reply::Json(200, json!({ "revision": revision }).to_string())
    }
}
