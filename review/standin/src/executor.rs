//! Stand-ins of the executors: they run work items for a set time and end them as their job says.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{Reply, Request, Server, reply},
    record::{Record, unix_ms},
    store::Store,
};

/// Longest lease that an executor grants (`holdMaxMs`).
pub const HOLD_MAX: Duration = Duration::from_millis(6000);
/// Longest time to stop a work item (`stopTimeoutMs`), and the time that it takes here.
pub const STOP_TIMEOUT_MS: u64 = 200;
const STOP_TIME: Duration = Duration::from_millis(50);
/// Time for which the members of a gang wait for each other (`gangTimeoutMs`).
pub const GANG_TIMEOUT: Duration = Duration::from_millis(3000);
/// Interval of liveness reports (`heartbeatMs`).
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
const TICK: Duration = Duration::from_millis(2);
const MAX_ENDS_PER_REPORT: usize = 500;
/// Memory of an executor.
const MEMORY_MB: u64 = 262_144;

/// What the work items of a step do.
#[derive(Clone)]
pub struct StepPlan {
    pub count: usize,
    pub cpu: u64,
    pub work: Duration,
    pub is_gang: bool,
    /// Most work items on one executor; 0 for no limit.
    pub most_per_server: usize,
    /// Runs that fail by the work item's own fault; the last work item of the step fails.
    pub failing_runs: u64,
}

struct Run {
    run: u64,
    cpu: u64,
    arrived_at: Instant,
    /// When the work began: at once, or once the whole gang is there.
    began_at: Option<Instant>,
    stops_at: Option<Instant>,
}

struct State {
    /// Millicores of all that runs.
    used: u64,
    fence: u64,
    /// End of the lease by the executor's clock.
    lease_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each work item that was stopped or has ended.
    over: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    sequence: u64,
    state: &'static str,
    is_up: bool,
}

pub struct Executor {
    pub id: String,
    pub service: String,
    /// Kind of its machine, which a pool of another kind doesn't take.
    pub kind: &'static str,
    pub capacity: u64,
    born_ms: u64,
    started_at: Instant,
    server: Mutex<Option<Server>>,
    state: Mutex<State>,
    has_ends: Condvar,
}

/// All executors, and what their work items do.
pub struct Executors {
    record: Arc<Record>,
    store: Arc<Store>,
    all: Mutex<Vec<Arc<Executor>>>,
    plans: Mutex<HashMap<String, Vec<StepPlan>>>,
    /// Services whose queues need tickets.
    pub ticketed: Mutex<Vec<String>>,
}

impl Executor {
    fn clock_ms(&self) -> u64 {
        1000 + self.started_at.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn is_up(&self) -> bool {
        self.lock().is_up
    }

    pub fn is_idle(&self) -> bool {
        self.lock().running.is_empty()
    }

    /// The advisor's ticket for a step on this executor.
    pub fn ticket(&self, step: &str) -> String {
        format!("{}-{step}", self.id)
    }
}

impl Executors {
    pub fn new(record: Arc<Record>, store: Arc<Store>) -> Arc<Self> {
        let executors = Arc::new(Self {
            record,
            store,
            all: Mutex::default(),
            plans: Mutex::default(),
            ticketed: Mutex::default(),
        });
        let (ticking, beating) = (executors.clone(), executors.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.tick();
            }
        });
        thread::spawn(move || {
            loop {
                for executor in beating.list() {
                    beating.beat(&executor);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        executors
    }

    pub fn list(&self) -> Vec<Arc<Executor>> {
        self.all.lock().unwrap().clone()
    }

    pub fn of_service(&self, service: &str) -> Vec<Arc<Executor>> {
        self.list().into_iter().filter(|one| one.service == service).collect()
    }

    /// Tells what the work items of a job do.
    pub fn plan(&self, job: &str, steps: Vec<StepPlan>) {
        self.plans.lock().unwrap().insert(job.to_owned(), steps);
    }

    pub fn add(
        self: &Arc<Self>,
        id: &str,
        service: &str,
        kind: &'static str,
        capacity: u64,
    ) -> io::Result<()> {
        let state = State {
            used: 0,
            fence: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            over: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            sequence: 0,
            state: "ready",
            is_up: true,
        };
        let executor = Arc::new(Executor {
            id: id.to_owned(),
            service: service.to_owned(),
            kind,
            capacity,
            born_ms: unix_ms(),
            started_at: Instant::now(),
            server: Mutex::default(),
            state: Mutex::new(state),
            has_ends: Condvar::new(),
        });
        let (world, serving) = (self.clone(), executor.clone());
        let server = Server::start(move |request| world.answer(&serving, &request))?;
        *executor.server.lock().unwrap() = Some(server);
        self.all.lock().unwrap().push(executor.clone());
        self.beat(&executor);
        Ok(())
    }

    /// Crashes an executor for good: its port is closed, all that it runs ends, and its entry goes after three
    /// intervals of silence.
    pub fn crash(self: &Arc<Self>, executor: &Arc<Executor>) {
        self.record.note(&format!("executor {} crashes", executor.id));
        {
            let mut state = executor.lock();
            state.is_up = false;
            state.running.clear();
            state.used = 0;
        }
        executor.has_ends.notify_all();
        if let Some(server) = executor.server.lock().unwrap().take() {
            server.stop();
        }
        let (store, key) = (self.store.clone(), format!("servers/{}", executor.id));
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.delete(&key);
        });
    }

    fn beat(&self, executor: &Executor) {
        let address = executor.server.lock().unwrap().as_ref().map(|server| server.address);
        let mut state = executor.lock();
        let Some(address) = address.filter(|_| state.is_up) else { return };
        state.sequence += 1;
        let report = json!({
            "service": executor.service, "address": address.to_string(), "zone": "zone-a",
            "version": "v1", "slots": 8, "state": state.state, "coldLeftMs": 0,
            "capacity": { "cpu": executor.capacity, "memMb": MEMORY_MB, "gpu": 0 },
            "labels": [executor.kind, "r1-1"], "clockMs": executor.clock_ms(), "born": executor.born_ms,
            "sequence": state.sequence,
        });
        self.store.write(&format!("servers/{}", executor.id), &report);
    }

    fn note_run(&self, executor: &Executor, task: &str, run: u64, end: Option<&str>) {
        let what = end.map_or("begins".to_owned(), |end| format!("ends {end}"));
        self.record.note(&format!("executor {}: {task} run {run} {what}", executor.id));
    }

    fn step_plan(&self, task: &str) -> Option<(StepPlan, usize)> {
        let mut parts = task.split('.');
        let plans = self.plans.lock().unwrap();
        let steps = plans.get(parts.next()?)?;
        let step: usize = parts.nth(1)?.parse().ok()?;
        Some((steps.get(step)?.clone(), parts.next()?.parse().ok()?))
    }

    fn answer(&self, executor: &Executor, request: &Request) -> Reply {
        let clock_ms = executor.clock_ms();
        let refuse =
            |status, reason: &str| reply(status, json!({ "clockMs": clock_ms, "reason": reason }));
        if request.method == "GET" && request.path == "/health" {
            return reply(200, json!({}));
        }
        if request.header("X-Jackdawpier-Target-Instance").is_some_and(|id| id != executor.id) {
            return refuse(421, "instance");
        }
        let body = request.json();
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let mut state = executor.lock();
        if number("fenceToken") < state.fence {
            return refuse(409, "fence");
        }
        state.fence = number("fenceToken");
        let lease_ms = number("deadlineMs").min(clock_ms + HOLD_MAX.as_millis() as u64);
        let task = body["task"].as_str().unwrap_or_default();
        let run = number("run");
        match request.path.as_str() {
            "/run-start" => {
                if state.running.get(task).is_some_and(|one| one.run == run) {
                    return reply(200, json!({ "clockMs": clock_ms }));
                }
                if number("deadlineMs") <= clock_ms {
                    return refuse(409, "late");
                }
                state.lease_ms = state.lease_ms.max(lease_ms);
                if state.running.contains_key(task)
                    || state.over.get(task).is_some_and(|over| *over >= run)
                {
                    return refuse(409, "old");
                }
                let step = task.rsplit_once('.').map_or("", |(step, _)| step);
                let is_ticketed = self.ticketed.lock().unwrap().contains(&executor.service);
                if is_ticketed && body["ticket"].as_str() != Some(&executor.ticket(step)) {
                    return refuse(409, "ticket");
                }
                let Some((plan, _)) = self.step_plan(task) else {
                    return refuse(400, "nobody sent this job");
                };
                if state.used + plan.cpu > executor.capacity {
                    return refuse(409, "room");
                }
                state.used += plan.cpu;
                let now = Instant::now();
                let began_at = (!plan.is_gang).then_some(now);
                let started = Run { run, cpu: plan.cpu, arrived_at: now, began_at, stops_at: None };
                state.running.insert(task.to_owned(), started);
                drop(state);
                self.note_run(executor, task, run, None);
                reply(200, json!({ "clockMs": clock_ms }))
            }
            "/run-stop" => {
                match state.running.get_mut(task).filter(|one| one.run == run) {
                    Some(running) => {
                        running.stops_at.get_or_insert(Instant::now() + STOP_TIME);
                    }
                    None => {
                        let over = state.over.entry(task.to_owned()).or_default();
                        *over = (*over).max(run);
                    }
                }
                reply(200, json!({ "clockMs": clock_ms }))
            }
            "/hold" => {
                state.lease_ms = state.lease_ms.max(lease_ms);
                let cursor = number("ackCursor");
                let before = state.ended.len();
                state.ended.retain(|(sequence, ..)| *sequence > cursor);
                if state.ended.len() < before {
                    self.record.note(&format!(
                        "executor {}: ends up to {cursor} are taken note of",
                        executor.id
                    ));
                }
                let until = Instant::now() + Duration::from_millis(number("waitMs"));
                loop {
                    let time_left = until.saturating_duration_since(Instant::now());
                    if !state.is_up {
                        return None;
                    }
                    if !state.ended.is_empty() || time_left.is_zero() {
                        break;
                    }
                    state = executor.has_ends.wait_timeout(state, time_left).unwrap().0;
                }
                let running = state.running.iter();
                let running: Vec<Value> =
                    running.map(|(task, one)| json!([task, one.run, "", 100, one.cpu])).collect();
                let ended = state.ended.iter().take(MAX_ENDS_PER_REPORT);
                let ended: Vec<Value> = ended
                    .map(|(sequence, task, run, how)| json!([sequence, task, run, how, ""]))
                    .collect();
                let (clock_ms, born_ms) = (executor.clock_ms(), executor.born_ms);
                reply(
                    200,
                    json!({ "clockMs": clock_ms, "born": born_ms, "running": running, "endedRuns": ended }),
                )
            }
            "/pace" => reply(200, json!({ "clockMs": clock_ms })),
            _ => reply(400, json!({ "clockMs": clock_ms })),
        }
    }

    /// Begins the work of complete gangs, and ends what is due.
    fn tick(&self) {
        let executors = self.list();
        let now = Instant::now();
        let mut due: Vec<(usize, String, &'static str)> = Vec::new();
        let mut gangs: HashMap<(String, u64), Vec<(usize, String)>> = HashMap::new();
        for (place, executor) in executors.iter().enumerate() {
            let mut state = executor.lock();
            let is_lapsed = executor.clock_ms() >= state.lease_ms;
            for (task, run) in &mut state.running {
                let Some((plan, index)) = self.step_plan(task) else { continue };
                if is_lapsed {
                    due.push((place, task.clone(), "lapsed"));
                } else if run.stops_at.is_some_and(|at| at <= now) {
                    due.push((place, task.clone(), "stopped"));
                } else if run.began_at.is_some_and(|at| at + plan.work <= now) {
                    let fails = run.run <= plan.failing_runs && index + 1 == plan.count;
                    let broken = plan.is_gang && run.run <= plan.failing_runs;
                    let how = if fails {
                        "failed"
                    } else if broken {
                        "broken"
                    } else {
                        "done"
                    };
                    due.push((place, task.clone(), how));
                } else if plan.is_gang && run.began_at.is_none() && run.stops_at.is_none() {
                    if run.arrived_at + GANG_TIMEOUT <= now {
                        due.push((place, task.clone(), "alone"));
                        continue;
                    }
                    let step = task.rsplit_once('.').map_or(task.as_str(), |(step, _)| step);
                    let gang = gangs.entry((step.to_owned(), run.run)).or_default();
                    gang.push((place, task.clone()));
                }
            }
        }
        for members in gangs.into_values() {
            let count = self.step_plan(&members[0].1).map_or(0, |(plan, _)| plan.count);
            if members.len() == count {
                for (place, task) in members {
                    if let Some(run) = executors[place].lock().running.get_mut(&task) {
                        run.began_at = Some(now);
                    }
                }
            }
        }
        // The members of a gang end together: all ends are listed before the first one is shown.
        let mut ended: Vec<(usize, String, u64, &'static str)> = Vec::new();
        for (place, task, how) in due {
            let mut state = executors[place].lock();
            let Some(run) = state.running.remove(&task) else { continue };
            state.used -= run.cpu;
            state.last_end += 1;
            let sequence = state.last_end;
            state.ended.push((sequence, task.clone(), run.run, how));
            let over = state.over.entry(task.clone()).or_default();
            *over = (*over).max(run.run);
            ended.push((place, task, run.run, how));
        }
        for (place, ..) in &ended {
            executors[*place].has_ends.notify_all();
        }
        for (place, task, run, how) in ended {
            self.note_run(&executors[place], &task, run, Some(how));
        }
    }
}
