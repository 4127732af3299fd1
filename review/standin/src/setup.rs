//! What all cases share: the platform, the configuration, the processes and the client's jobs.

use std::{
    io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    cloud::{Advisor, Cloud},
    entries::{Entries, PlatformAddresses},
    executor::{Executors, StepPlan},
    http::Server,
    record::Record,
    store::Store,
};

pub enum Outcome {
    Held,
    Broken(String),
    NotRun(String),
}

pub const HOST: &str = "jobs.example";

pub struct World {
    pub root: PathBuf,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub executors: Arc<Executors>,
    pub cloud: Arc<Cloud>,
}

/// A service with one queue of the same name, under the prefix `/NAME/`.
pub struct ServiceSpec {
    pub name: &'static str,
    pub advice: Option<Value>,
}

impl World {
    pub fn new(root: &Path, folder: &Path) -> io::Result<Self> {
        let record = Arc::new(Record::create(&folder.join("record.txt"))?);
        let store = Store::new();
        let executors = Executors::new(record.clone(), store.clone());
        let cloud = Cloud::new(record.clone(), executors.clone());
        Ok(Self { root: root.to_owned(), record, store, executors, cloud })
    }

    /// Writes the configuration, as the operator does.
    pub fn configure(&self, services: &[ServiceSpec]) {
        let route = |service: &ServiceSpec| {
            let name = service.name;
            let mut route = json!({
                "name": format!("r-{name}"), "host": HOST, "prefix": format!("/{name}/"),
                "kind": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 600, "priority": 0,
                "service": name, "maxAttempts": 4, "slackFactor": 1.6,
            });
            if let Some(advice) = &service.advice {
                route["advice"] = advice.clone();
            }
            route
        };
        let service = |service: &ServiceSpec| {
            json!({
                "name": service.name, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
                "tls": false, "enforcesCapacity": true, "standby": false,
            })
        };
        self.store.write(
            "op/config",
            &json!({
                "version": 7,
                "routes": services.iter().map(route).collect::<Vec<_>>(),
                "services": services.iter().map(service).collect::<Vec<_>>(),
                "limits": {
                    "maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            }),
        );
    }

    /// Opens the platform's ports for one process, so that it is known who calls.
    pub fn platform_for(
        &self,
        sender: usize,
        advisor: Option<&Arc<Advisor>>,
    ) -> io::Result<PlatformAddresses> {
        let (store, cloud) = (self.store.clone(), self.cloud.clone());
        let store = Server::start(move |request| store.answer(sender, &request))?;
        let cloud = Server::start(move |request| cloud.answer(&request))?;
        let (advisor, turn) = (advisor.cloned(), Mutex::new(()));
        let advisor = Server::start(move |request| advisor.as_ref()?.answer(&turn, &request))?;
        let [store, cloud, advisor] = [store, cloud, advisor].map(|server| server.address);
        Ok(PlatformAddresses { store, cloud, advisor })
    }
}

/// A job as the client sends it.
pub struct ClientJob {
    pub id: String,
    pub queue: &'static str,
}

/// Submits a job of one step; returns whether it was accepted.
pub fn submit(world: &World, entries: &Entries, job: &ClientJob, plan: &StepPlan) -> bool {
    world.executors.plan(&job.id, vec![plan.clone()]);
    let mut step = json!({
        "count": plan.count, "cpu": plan.cpu, "memMb": 256,
        "estDurationMs": plan.work.as_millis() as u64,
    });
    if plan.is_gang {
        step["gang"] = json!(true);
    }
    if plan.most_per_server > 0 {
        step["maxPerServer"] = json!(plan.most_per_server);
    }
    let body = json!({ "taskSpec": format!("work of {}", job.id), "steps": [step] });
    let path = format!("/{}/{}", job.queue, job.id);
    let answer = entries.request("POST", HOST, &path, &body.to_string());
    answer.is_some_and(|(status, _)| (200..300).contains(&status))
}

/// Returns a job's state as shown to its client, or the status if there is none.
pub fn state_of(entries: &Entries, job: &ClientJob) -> String {
    match entries.request("GET", HOST, &format!("/{}/{}", job.queue, job.id), "") {
        Some((200, body)) => {
            let body: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
            body["state"].as_str().unwrap_or("unreadable").to_owned()
        }
        Some((status, _)) => status.to_string(),
        None => "no answer".to_owned(),
    }
}

/// Waits until a job is shown in a state.
pub fn wait_for_state(entries: &Entries, job: &ClientJob, state: &str, max_wait: Duration) -> bool {
    let began_at = Instant::now();
    while began_at.elapsed() < max_wait {
        if state_of(entries, job) == state {
            return true;
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}
