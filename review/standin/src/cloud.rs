//! Stand-ins of the platform's machine interface and of the advisor.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    executor::Executors,
    http::{Reply, Request, reply},
    record::Record,
};

/// Duration of an upkeep (`maintenanceS`).
const UPKEEP: Duration = Duration::from_secs(2);

/// An order for a machine, as it reached the platform.
#[derive(Clone)]
pub struct Order {
    pub at: Duration,
    pub machine: String,
    pub holder: String,
    pub fence: u64,
}

pub struct Cloud {
    record: Arc<Record>,
    executors: Arc<Executors>,
    /// Machines that run no executor, each with its pool.
    pub spare: Mutex<Vec<(String, String)>>,
    /// The last upkeep of each machine: its wave and its end.
    upkeeps: Mutex<HashMap<String, (u64, Instant)>>,
    orders: Mutex<Vec<Order>>,
}

impl Cloud {
    pub fn new(record: Arc<Record>, executors: Arc<Executors>) -> Arc<Self> {
        let (spare, upkeeps, orders) = (Mutex::default(), Mutex::default(), Mutex::default());
        Arc::new(Self { record, executors, spare, upkeeps, orders })
    }

    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().unwrap().clone()
    }

    pub fn answer(&self, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machines") => {
                reply(200, json!({ "machines": self.machines(), "nextToken": null }))
            }
            ("POST", "/machine-move") => {
                // Each pool is one of machines of its own kind.
                self.note_order(request);
                reply(400, json!({}))
            }
            ("POST", "/machine-upkeep") => {
                let machine = self.note_order(request);
                let wave = request.json()["wave"].as_u64().unwrap_or(0);
                let mut upkeeps = self.upkeeps.lock().unwrap();
                // An upkeep that is already done isn't done again.
                let is_done = upkeeps.get(&machine).is_some_and(|(done, _)| *done == wave);
                if !is_done {
                    upkeeps.insert(machine, (wave, Instant::now() + UPKEEP));
                }
                reply(200, json!({}))
            }
            _ => reply(400, json!({})),
        }
    }

    fn note_order(&self, request: &Request) -> String {
        let machine = request.json()["machine"].as_str().unwrap_or_default().to_owned();
        let holder = request.header("X-Jackdawpier-Duty-Holder").unwrap_or_default().to_owned();
        let fence = request.header("X-Jackdawpier-Fencing-Token");
        let fence = fence.and_then(|fence| fence.parse().ok()).unwrap_or(0);
        self.record
            .say(&format!("platform: {} {machine} by {holder} with fence {fence}", request.path));
        let order = Order { at: self.record.now(), machine: machine.clone(), holder, fence };
        self.orders.lock().unwrap().push(order);
        machine
    }

    fn machines(&self) -> Vec<Value> {
        let upkeeps = self.upkeeps.lock().unwrap();
        let is_away =
            |machine: &str| upkeeps.get(machine).is_some_and(|(_, end)| *end > Instant::now());
        let of_executors = self.executors.list().into_iter().map(|executor| {
            let is_up = executor.is_up();
            json!({
                "machine": format!("m-{}", executor.id), "pool": executor.service,
                "state": if is_up { "up" } else { "down" }, "zone": "zone-a", "labels": [executor.kind, "r1-1"],
                "capacity": { "cpu": executor.capacity, "memMb": 262_144, "gpu": 0 },
                "id": is_up.then(|| executor.id.clone()),
            })
        });
        let spare = self.spare.lock().unwrap().clone();
        let spare = spare.into_iter().map(|(machine, pool)| {
            json!({
                "machine": machine, "pool": pool, "state": if is_away(&machine) { "upkeep" } else { "up" },
                "zone": "zone-a", "labels": ["a", "r1-1"],
                "capacity": { "cpu": 32_000, "memMb": 262_144, "gpu": 0 }, "id": null,
            })
        });
        of_executors.chain(spare).collect()
    }
}

/// The advisor: it allows a fixed set of executors, and handles one call of a process at a time.
pub struct Advisor {
    record: Arc<Record>,
    executors: Arc<Executors>,
    allowed: Vec<String>,
    decision: Duration,
    per_worker: Duration,
    validity_ms: u64,
}

impl Advisor {
    pub fn new(
        record: Arc<Record>,
        executors: Arc<Executors>,
        allowed: Vec<String>,
        advice: &Value,
    ) -> Arc<Self> {
        let millis = |name: &str| Duration::from_millis(advice[name].as_u64().unwrap_or(0));
        let (decision, per_worker) = (millis("decisionMs"), millis("perWorkerMs"));
        let validity_ms = advice["validityMs"].as_u64().unwrap_or(0);
        Arc::new(Self { record, executors, allowed, decision, per_worker, validity_ms })
    }

    /// Answers a call; `turn` is the lock of the calling process.
    pub fn answer(&self, turn: &Mutex<()>, request: &Request) -> Reply {
        let _turn = turn.lock().unwrap();
        let body = request.json();
        let step = body["step"].as_str().unwrap_or_default();
        let workers: Vec<&str> =
            body["workers"].as_array()?.iter().filter_map(Value::as_str).collect();
        if workers.len() > 100 {
            return reply(400, json!({}));
        }
        std::thread::sleep(self.decision + self.per_worker * workers.len() as u32);
        let all = self.executors.list();
        let approved: Vec<Value> = all
            .iter()
            .filter(|one| workers.contains(&one.id.as_str()) && self.allowed.contains(&one.id))
            .map(|one| json!([one.id, one.ticket(step)]))
            .collect();
        self.record.note(&format!(
            "advisor: step {step}, {} workers named, {} approved",
            workers.len(),
            approved.len()
        ));
        reply(200, json!({ "approved": approved, "validityMs": self.validity_ms }))
    }
}
