//! An executor: a lease by its own clock, fence numbers, runs, ends until they are acknowledged.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{Reply, Request, Server},
    record::Record,
    store::Store,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Silence after which the platform drops an entry: three intervals of reports.
const DROPPED_AFTER: Duration = Duration::from_millis(4500);
const MAX_REPORTED_ENDS: usize = 500;
const STEP: Duration = Duration::from_millis(2);
/// Reading of the clock at the start.
const FIRST_CLOCK_MS: u64 = 4_000;

/// What stays the same over the lives of an executor's place.
#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    /// Whether starts that don't fit are rejected.
    pub guards: bool,
    pub hold_max: Duration,
    /// How long a stop takes, at most `stopTimeoutMs`.
    pub stop_time: Duration,
}

struct Run {
    number: u32,
    cpu: u64,
    began: Instant,
    /// Work of the run; none lasts until it is stopped.
    work: Option<Duration>,
    fails: bool,
    stops_at: Option<Instant>,
}

struct State {
    fence: u64,
    lease_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each work item that was stopped or ended here.
    barred: HashMap<String, u32>,
    ends: Vec<(u64, String, u32, &'static str)>,
    next_end: u64,
}

/// One life of an executor.
pub struct Life {
    pub setup: Setup,
    pub born_ms: u64,
    began: Instant,
    state: Mutex<State>,
    ended: Condvar,
    alive: AtomicBool,
    /// Number of answers to holds that listed ends.
    pub reports: AtomicU64,
    record: Arc<Record>,
    pub events: Arc<Events>,
}

/// What executors have begun and ended, for the checks.
#[derive(Default)]
pub struct Events(pub Mutex<Vec<Event>>);

#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub executor: String,
    pub task: String,
    pub run: u32,
    pub what: &'static str,
    /// CPU in use on the executor with this run, and its capacity.
    pub used: u64,
    pub labels: Vec<String>,
    pub capacity: u64,
}

/// What a client writes into `taskSpec` for these executors.
/// `work=MS cpu=N [fails=N]`: the first N runs fail.
fn field(spec: &str, name: &str) -> Option<u64> {
    let word = spec.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='))?;
    word.parse().ok()
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Life {
    fn clock_ms(&self) -> u64 {
        FIRST_CLOCK_MS + self.began.elapsed().as_millis() as u64
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn event(&self, what: &'static str, task: &str, run: u32, used: u64) {
        let at = self.record.now();
        let id = &self.setup.id;
        self.record.line(&format!(
            "executor {id} (born {}): {what} {task} run {run}; {used} of {} in use",
            self.born_ms, self.setup.cpu
        ));
        self.events.0.lock().unwrap().push(Event {
            at,
            executor: id.clone(),
            task: task.to_owned(),
            run,
            what,
            used,
            labels: self.setup.labels.clone(),
            capacity: self.setup.cpu,
        });
    }

    fn used(state: &State) -> u64 {
        state.running.values().map(|run| run.cpu).sum()
    }

    /// Ends runs when their time has come, for as long as this life lasts.
    fn work(self: Arc<Self>) {
        while self.is_alive() {
            thread::sleep(STEP);
            let now = Instant::now();
            let mut state = self.state.lock().unwrap();
            let lapsed = self.clock_ms() > state.lease_ms;
            let over: Vec<(String, &'static str)> = state
                .running
                .iter()
                .filter_map(|(task, run)| {
                    let done = run.work.is_some_and(|work| now >= run.began + work);
                    let stopped = run.stops_at.is_some_and(|at| now >= at);
                    let how = match (done, stopped, lapsed) {
                        (true, ..) if run.fails => "failed",
                        (true, ..) => "done",
                        (_, true, _) => "stopped",
                        (_, _, true) => "lapsed",
                        _ => return None,
                    };
                    Some((task.clone(), how))
                })
                .collect();
            let any = !over.is_empty();
            for (task, how) in over {
                self.end(&mut state, &task, how);
            }
            drop(state);
            if any {
                self.ended.notify_all();
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        let barred = state.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(run.number);
        let number = state.next_end;
        state.next_end += 1;
        state.ends.push((number, task.to_owned(), run.number, how));
        let used = Self::used(state);
        self.event(how, task, run.number, used);
    }

    /// Returns what runs here.
    pub fn tasks(&self) -> Vec<String> {
        self.state.lock().unwrap().running.keys().cloned().collect()
    }

    fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        let running: Vec<(String, u32)> =
            state.running.iter().map(|(task, run)| (task.clone(), run.number)).collect();
        state.running.clear();
        drop(state);
        for (task, run) in running {
            self.event("crashed", &task, run, 0);
        }
        self.ended.notify_all();
    }

    fn handle(&self, request: &Request) -> Reply {
        if request.header("x-jackdawpier-target-instance").is_some_and(|id| id != self.setup.id) {
            return Reply::Json(421, json!({ "clockMs": self.clock_ms() }));
        }
        if request.method == "GET" {
            return Reply::Json(200, json!({}));
        }
        let body = request.json();
        let mut state = self.state.lock().unwrap();
        if !self.is_alive() {
            return Reply::Silence(Duration::ZERO);
        }
        let fence = body["fenceToken"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0) as u32;
        match request.path.as_str() {
            "/run-start" => self.start(&mut state, &body, &task, run),
            "/run-stop" => {
                match state.running.get_mut(&task) {
                    Some(one) if one.number <= run => {
                        one.stops_at.get_or_insert(Instant::now() + self.setup.stop_time);
                    }
                    _ => {
                        let barred = state.barred.entry(task).or_default();
                        *barred = (*barred).max(run);
                    }
                }
                Reply::Json(200, json!({ "clockMs": self.clock_ms() }))
            }
            "/pace" => Reply::Json(200, json!({ "clockMs": self.clock_ms() })),
            "/hold" => {
                self.extend_lease(&mut state, &body);
                let cursor = body["ackCursor"].as_u64().unwrap_or(0);
                let noted: Vec<_> =
                    state.ends.extract_if(.., |(number, ..)| *number <= cursor).collect();
                for (_, task, run, how) in noted {
                    let used = Self::used(&state);
                    self.event(
                        if how == "done" { "done-noted" } else { "noted" },
                        &task,
                        run,
                        used,
                    );
                }
                let wait_ms = body["waitMs"].as_u64().unwrap_or(0).min(2000);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() || !state.ends.is_empty() || !self.is_alive() {
                        if !state.ends.is_empty() {
                            self.reports.fetch_add(1, Ordering::SeqCst);
                        }
                        return Reply::Json(200, self.report(&state));
                    }
                    state = self.ended.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Reply::Json(404, json!({})),
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        Reply::Json(409, json!({ "clockMs": self.clock_ms(), "reason": reason }))
    }

    fn extend_lease(&self, state: &mut State, body: &Value) {
        let longest = self.clock_ms() + self.setup.hold_max.as_millis() as u64;
        let asked = body["deadlineMs"].as_u64().unwrap_or(0).min(longest);
        state.lease_ms = state.lease_ms.max(asked);
    }

    fn start(&self, state: &mut State, body: &Value, task: &str, run: u32) -> Reply {
        let spec = body["taskSpec"].as_str().unwrap_or_default();
        let here = state.running.get(task).map(|one| one.number);
        if here == Some(run) {
            return Reply::Json(200, json!({ "clockMs": self.clock_ms() }));
        }
        if here.is_some() || state.barred.get(task).is_some_and(|barred| *barred >= run) {
            self.extend_lease(state, body);
            return self.refuse("old");
        }
        if body["deadlineMs"].as_u64().unwrap_or(0) <= self.clock_ms() {
            return self.refuse("late");
        }
        let cpu = field(spec, "cpu").unwrap_or(0);
        let used = Self::used(state) + cpu;
        self.extend_lease(state, body);
        if self.setup.guards && used > self.setup.cpu {
            return self.refuse("room");
        }
        let work = field(spec, "work").filter(|ms| *ms > 0).map(Duration::from_millis);
        let fails = field(spec, "fails").is_some_and(|first| u64::from(run) <= first);
        let began = Instant::now();
        let one = Run { number: run, cpu, began, work, fails, stops_at: None };
        state.running.insert(task.to_owned(), one);
        self.event("start", task, run, used);
        Reply::Json(200, json!({ "clockMs": self.clock_ms() }))
    }

    fn report(&self, state: &State) -> Value {
        let running: Vec<Value> =
            state.running.iter().map(|(task, run)| json!([task, run.number, "", 100, 0])).collect();
        let ends = state.ends.iter().take(MAX_REPORTED_ENDS);
        let ends: Vec<Value> =
            ends.map(|(number, task, run, how)| json!([number, task, run, how, ""])).collect();
        json!({
            "clockMs": self.clock_ms(), "born": self.born_ms, "running": running, "endedRuns": ends,
        })
    }

    /// Writes the entry in the store: at the start, then every [`HEARTBEAT`].
    fn beat(&self, store: &Store, sequence: u64, state: &str) {
        let setup = &self.setup;
        let entry = json!({
            "service": setup.service, "address": setup.address.to_string(), "zone": setup.zone,
            "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
            "capacity": { "cpu": setup.cpu, "memMb": 65536, "gpu": 0 },
            "labels": setup.labels, "clockMs": self.clock_ms(), "born": self.born_ms,
            "sequence": sequence,
        });
        store.put(&format!("servers/{}", setup.id), entry.to_string().as_bytes());
    }
}

/// An executor's place: one life after the other.
pub struct Place {
    pub life: Mutex<Option<(Arc<Life>, Server)>>,
    silent: Mutex<Option<Server>>,
    record: Arc<Record>,
    events: Arc<Events>,
    store: Arc<Store>,
}

impl Place {
    pub fn new(record: Arc<Record>, events: Arc<Events>, store: Arc<Store>) -> Arc<Self> {
        let (life, silent) = (Mutex::new(None), Mutex::new(None));
        Arc::new(Self { life, silent, record, events, store })
    }

    pub fn current(&self) -> Option<Arc<Life>> {
        self.life.lock().unwrap().as_ref().map(|(life, _)| life.clone())
    }

    /// Starts a life: it takes calls, and enters itself in the store.
    pub fn start(self: &Arc<Self>, setup: Setup) {
        if let Some(silent) = self.silent.lock().unwrap().take() {
            silent.stop_accepting();
        }
        let state = State {
            fence: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            barred: HashMap::new(),
            ends: Vec::new(),
            next_end: 1,
        };
        let life = Arc::new(Life {
            setup: setup.clone(),
            born_ms: unix_ms(),
            began: Instant::now(),
            state: Mutex::new(state),
            ended: Condvar::new(),
            alive: AtomicBool::new(true),
            reports: AtomicU64::new(0),
            record: self.record.clone(),
            events: self.events.clone(),
        });
        let serving = life.clone();
        let server =
            Server::start(setup.address, Arc::new(move |request| serving.handle(&request)))
                .expect("the executor's port is free");
        let (working, beating, store) = (life.clone(), life.clone(), self.store.clone());
        thread::spawn(move || working.work());
        self.record.line(&format!(
            "executor {} starts: born {}, labels {:?}, cpu {}",
            setup.id, life.born_ms, setup.labels, setup.cpu
        ));
        *self.life.lock().unwrap() = Some((life, server));
        beating.beat(&store, 1, "ready");
        thread::spawn(move || {
            let mut sequence = 1;
            loop {
                thread::sleep(HEARTBEAT);
                if !beating.is_alive() {
                    return;
                }
                sequence += 1;
                beating.beat(&store, sequence, "ready");
            }
        });
    }

    /// Ends the life without a word. With `dark` the machine is silent afterwards, else its port is closed.
    pub fn crash(&self, dark: bool) {
        let Some((life, server)) = self.life.lock().unwrap().take() else { return };
        self.record.line(&format!("executor {} crashes (born {})", life.setup.id, life.born_ms));
        life.crash();
        let (store, key, born) =
            (self.store.clone(), format!("servers/{}", life.setup.id), life.born_ms);
        thread::spawn(move || {
            thread::sleep(DROPPED_AFTER);
            if store.read(&key).is_some_and(|entry| entry["born"] == born) {
                store.remove(&key);
            }
        });
        if dark {
            server.silence();
            let limit = Duration::from_secs(20);
            let silent =
                Server::start(life.setup.address, Arc::new(move |_| Reply::Silence(limit)));
            *self.silent.lock().unwrap() = silent.ok();
        } else {
            server.close();
        }
    }
}
