//! Executors, machines, entries and the record of what they and the clients see.

use std::{
    collections::{BTreeMap, HashMap},
    fs::{File, OpenOptions},
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{Reply, Request, free_address, serve},
    store::Store,
};

/// `record.txt` of a case: what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    began_at: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt")).expect("the case's folder is writable");
        Arc::new(Self { file: Mutex::new(file), began_at: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }

    /// A line that is printed as well.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// What executors know of the work items that clients submit.
#[derive(Clone, Copy, Debug)]
pub struct StepWork {
    pub cpu: u64,
    pub duration_ms: u64,
}

/// The jobs that clients have sent, and what ran of them.
#[derive(Default)]
pub struct Ledger {
    state: Mutex<LedgerState>,
}

#[derive(Default)]
struct LedgerState {
    jobs: HashMap<String, Vec<StepWork>>,
    /// Executor, task, run, start, end and how it ended.
    runs: Vec<RunSeen>,
    /// Positions of the runs by executor, work item and run.
    positions: HashMap<(String, String, u64), usize>,
}

impl LedgerState {
    fn run(&mut self, executor: &str, task: &str, run: u64) -> Option<&mut RunSeen> {
        let position = *self.positions.get(&(executor.to_owned(), task.to_owned(), run))?;
        self.runs.get_mut(position)
    }
}

#[derive(Clone, Debug)]
pub struct RunSeen {
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub started: Instant,
    pub ended: Option<(Instant, &'static str)>,
    /// When `ackCursor` reached the end, unless the lease had lapsed in between.
    pub noted: Option<Instant>,
}

impl Ledger {
    pub fn add_job(&self, id: &str, steps: Vec<StepWork>) {
        self.state.lock().unwrap().jobs.insert(id.to_owned(), steps);
    }

    fn work(&self, task: &str) -> Option<StepWork> {
        let mut parts = task.split('.');
        let id = parts.next()?;
        let step: usize = parts.nth(1)?.parse().ok()?;
        self.state.lock().unwrap().jobs.get(id)?.get(step).copied()
    }

    fn started(&self, executor: &str, task: &str, run: u64) {
        let seen = RunSeen {
            executor: executor.to_owned(),
            task: task.to_owned(),
            run,
            started: Instant::now(),
            ended: None,
            noted: None,
        };
        let mut state = self.state.lock().unwrap();
        let position = state.runs.len();
        state.positions.insert((executor.to_owned(), task.to_owned(), run), position);
        state.runs.push(seen);
    }

    fn ended(&self, executor: &str, task: &str, run: u64, how: &'static str) {
        let mut state = self.state.lock().unwrap();
        if let Some(seen) = state.run(executor, task, run) {
            seen.ended = Some((Instant::now(), how));
        }
    }

    fn noted(&self, executor: &str, task: &str, run: u64) {
        let mut state = self.state.lock().unwrap();
        if let Some(seen) = state.run(executor, task, run) {
            seen.noted = Some(Instant::now());
        }
    }

    /// The rule TWICE: runs of one work item at the same time, and starts after an end `done` that is taken note of.
    pub fn twice(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let mut by_task: HashMap<&str, Vec<&RunSeen>> = HashMap::new();
        for seen in &state.runs {
            by_task.entry(&seen.task).or_default().push(seen);
        }
        let mut found = Vec::new();
        for (task, runs) in by_task {
            for (number, later) in runs.iter().enumerate() {
                for earlier in &runs[..number] {
                    let is_over = earlier.ended.is_some_and(|(at, _)| at <= later.started);
                    let is_done = earlier.ended.is_some_and(|(_, how)| how == "done");
                    if !is_over {
                        found.push(format!(
                            "TWICE: {task} run {} starts on {} while run {} works on {}",
                            later.run, later.executor, earlier.run, earlier.executor
                        ));
                    } else if is_done && earlier.noted.is_some() {
                        found.push(format!("TWICE: {task} run {} starts on {} after run {} has ended done on {}, which is taken note of", later.run, later.executor, earlier.run, earlier.executor));
                    }
                }
            }
        }
        found
    }

    pub fn runs_of(&self, job: &str) -> Vec<RunSeen> {
        let state = self.state.lock().unwrap();
        let prefix = format!("{job}.");
        state.runs.iter().filter(|seen| seen.task.starts_with(&prefix)).cloned().collect()
    }

    pub fn run_count(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }
}

struct Run {
    number: u64,
    cpu: u64,
    ends_at: Instant,
    stops_at: Option<Instant>,
    began_at: Instant,
}

struct ExecutorState {
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    barred: HashMap<String, u64>,
    /// Number, work item, run, how it ended, and whether the lease has lapsed since.
    ends: Vec<(u64, String, u64, &'static str, bool)>,
    next_end: u64,
}

/// An executor that guards its capacity.
pub struct Executor {
    pub id: String,
    pub address: SocketAddr,
    capacity: u64,
    hold_max_ms: u64,
    began_at: Instant,
    /// Unix millisecond of its start.
    born: u64,
    state: Mutex<ExecutorState>,
    ended: Condvar,
    ledger: Arc<Ledger>,
    record: Arc<Record>,
}

const STOP: Duration = Duration::from_millis(100);

impl Executor {
    fn start(id: &str, capacity: u64, ledger: Arc<Ledger>, record: Arc<Record>) -> Arc<Self> {
        let slot: Arc<Mutex<Option<Arc<Self>>>> = Arc::default();
        let served = slot.clone();
        let address = serve(move |request| {
            let executor = served.lock().unwrap().clone();
            executor.map_or(Reply::Close, |executor| executor.handle(&request))
        });
        let executor = Arc::new(Self {
            id: id.to_owned(),
            address,
            capacity,
            hold_max_ms: 6_000,
            began_at: Instant::now(),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |it| it.as_millis() as u64),
            state: Mutex::new(ExecutorState {
                fence: 0,
                lease_until_ms: 0,
                running: BTreeMap::new(),
                barred: HashMap::new(),
                ends: Vec::new(),
                next_end: 1,
            }),
            ended: Condvar::new(),
            ledger,
            record,
        });
        *slot.lock().unwrap() = Some(executor.clone());
        let working = executor.clone();
        thread::spawn(move || {
            let mut last_at = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(5));
                working.end_runs();
                let late_ms = last_at.elapsed().as_millis();
                last_at = Instant::now();
                if late_ms > 200 {
                    working
                        .record
                        .line(format!("{} was {late_ms} ms late with its ends", working.id));
                }
            }
        });
        executor
    }

    fn used(&self) -> u64 {
        self.state.lock().unwrap().running.values().map(|run| run.cpu).sum()
    }

    fn clock_ms(&self) -> u64 {
        5_000 + self.began_at.elapsed().as_millis() as u64
    }

    fn end_runs(&self) {
        let (now, clock) = (Instant::now(), self.clock_ms());
        let mut state = self.state.lock().unwrap();
        let has_lapsed = clock > state.lease_until_ms;
        if has_lapsed {
            state.ends.iter_mut().for_each(|end| end.4 = true);
        }
        let over = |run: &Run| {
            let is_due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
            has_lapsed || run.ends_at <= now || is_due(run.stops_at)
        };
        let ended: Vec<String> = state
            .running
            .iter()
            .filter(|(_, run)| over(run))
            .map(|(task, _)| task.clone())
            .collect();
        for task in &ended {
            let run = state.running.remove(task).unwrap();
            let how = if run.ends_at <= now {
                "done"
            } else if run.stops_at.is_some() {
                "stopped"
            } else {
                "lapsed"
            };
            state.barred.insert(task.clone(), run.number);
            let number = state.next_end;
            state.next_end += 1;
            state.ends.push((number, task.clone(), run.number, how, false));
            self.ledger.ended(&self.id, task, run.number, how);
            self.record.line(format!("{} ends {task} run {} {how}", self.id, run.number));
        }
        drop(state);
        if !ended.is_empty() {
            self.ended.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let target = request.headers.get("x-jackdawpier-target-instance");
        if target.is_some_and(|target| *target != self.id) {
            return Reply::Json(421, "{}".to_owned());
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return Reply::Json(400, "{}".to_owned());
        };
        let clock = || json!({ "clockMs": self.clock_ms() }).to_string();
        let refuse = |why: &str| {
            Reply::Json(409, json!({ "clockMs": self.clock_ms(), "reason": why }).to_string())
        };
        let fence = body["fenceToken"].as_u64().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if fence < state.fence {
            return refuse("fence");
        }
        state.fence = fence;
        let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
        let extended = deadline.min(self.clock_ms() + self.hold_max_ms).max(state.lease_until_ms);
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        match request.path.as_str() {
            "/run-start" => {
                let Some(work) = self.ledger.work(&task) else {
                    return Reply::Json(400, "{}".to_owned());
                };
                let running = state.running.get(&task).map(|run| run.number);
                if running == Some(number) {
                    state.lease_until_ms = extended;
                    return Reply::Json(200, clock());
                }
                if running.is_some() || state.barred.get(&task).is_some_and(|last| *last >= number)
                {
                    state.lease_until_ms = extended;
                    return refuse("old");
                }
                if deadline <= self.clock_ms() {
                    return refuse("late");
                }
                state.lease_until_ms = extended;
                let used: u64 = state.running.values().map(|run| run.cpu).sum();
                if used + work.cpu > self.capacity {
                    return refuse("room");
                }
                let now = Instant::now();
                let ends_at = now + Duration::from_millis(work.duration_ms);
                let run = Run { number, cpu: work.cpu, ends_at, stops_at: None, began_at: now };
                state.running.insert(task.clone(), run);
                self.ledger.started(&self.id, &task, number);
                self.record.line(format!("{} starts {task} run {number}, fence {fence}", self.id));
                Reply::Json(200, clock())
            }
            "/run-stop" => {
                match state.running.get_mut(&task) {
                    Some(run) if run.number <= number => {
                        run.stops_at.get_or_insert(Instant::now() + STOP);
                    }
                    _ => {
                        let last = state.barred.entry(task).or_default();
                        *last = (*last).max(number);
                    }
                }
                Reply::Json(200, clock())
            }
            "/hold" => {
                state.lease_until_ms = extended;
                let cursor = body["ackCursor"].as_u64().unwrap_or(0);
                for (_, task, run, how, has_lapsed) in
                    state.ends.iter().filter(|end| end.0 <= cursor)
                {
                    if *how == "done" && !has_lapsed {
                        self.ledger.noted(&self.id, task, *run);
                    }
                }
                state.ends.retain(|(number, ..)| *number > cursor);
                let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2_000));
                let until = Instant::now() + wait;
                while state.ends.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = self.ended.wait_timeout(state, left).unwrap().0;
                }
                let running: Vec<Value> = state
                    .running
                    .iter()
                    .map(|(task, run)| {
                        let percent = if run.began_at.elapsed() > Duration::from_millis(200) {
                            100
                        } else {
                            0
                        };
                        json!([task, run.number, "", percent, 0])
                    })
                    .collect();
                let ends: Vec<Value> = state
                    .ends
                    .iter()
                    .take(500)
                    .map(|(number, task, run, how, _)| json!([number, task, run, how, ""]))
                    .collect();
                let body = json!({ "clockMs": self.clock_ms(), "born": self.born, "running": running, "endedRuns": ends });
                Reply::Json(200, body.to_string())
            }
            "/pace" => Reply::Json(200, clock()),
            _ => Reply::Json(404, "{}".to_owned()),
        }
    }
}

/// The machines of one service, each with an executor.
pub struct Fleet {
    executors: Vec<Arc<Executor>>,
    /// Address of the list of machines.
    pub machines: SocketAddr,
}

impl Fleet {
    pub fn start(
        store: &Arc<Store>,
        service: &str,
        count: usize,
        capacity: u64,
        ledger: &Arc<Ledger>,
        record: &Arc<Record>,
    ) -> Self {
        let executors: Vec<Arc<Executor>> = (0..count)
            .map(|number| {
                let id = format!("i-{:08x}", 0x7f3a_91c2 + number as u64 * 7_919);
                Executor::start(&id, capacity, ledger.clone(), record.clone())
            })
            .collect();
        let rows: Vec<Value> = executors
            .iter()
            .enumerate()
            .map(|(number, executor)| {
                json!({ "machine": format!("m-{number:05}"), "pool": service, "state": "up", "zone": "z-a",
                    "labels": ["a", format!("r1-{}", number / 4)],
                    "capacity": { "cpu": capacity, "memMb": 32_768, "gpu": 0 }, "id": executor.id })
            })
            .collect();
        let listing = json!({ "machines": rows, "nextToken": null }).to_string();
        let machines = serve(move |request| match request.path.as_str() {
            "/machines" => Reply::Json(200, listing.clone()),
            // Nothing here asks for moves or upkeep.
            _ => Reply::Json(409, "{\"reason\":\"busy\"}".to_owned()),
        });
        let beats: Vec<(String, SocketAddr, u64, usize)> = executors
            .iter()
            .enumerate()
            .map(|(number, executor)| {
                (executor.id.clone(), executor.address, executor.born, number)
            })
            .collect();
        let (store, service) = (store.clone(), service.to_owned());
        thread::spawn(move || {
            for sequence in 1u64.. {
                for (id, address, born, number) in &beats {
                    let entry = json!({ "service": service, "address": address.to_string(), "zone": "z-a",
                        "born": born, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
                        "capacity": { "cpu": capacity, "memMb": 32_768, "gpu": 0 },
                        "labels": ["a", format!("r1-{}", number / 4)], "clockMs": 0, "sequence": sequence });
                    store.write(&format!("servers/{id}"), &entry);
                }
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        Self { executors, machines }
    }

    /// Returns the share of the service's capacity that is in use.
    pub fn used_share(&self) -> f64 {
        let total: u64 = self.executors.iter().map(|executor| executor.capacity).sum();
        let used: u64 = self.executors.iter().map(|executor| executor.used()).sum();
        used as f64 / total as f64
    }
}

/// The configuration of one queue.
pub fn configuration(version: u64, service: &str) -> Value {
    json!({ "version": version,
        "routes": [{ "name": "r-8pjbvk9", "host": "jepu9.example", "prefix": "/puxa400/",
            "kind": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 600, "priority": 0,
            "service": service, "maxAttempts": 3, "slackFactor": 1.6 }],
        "services": [{ "name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
            "tls": false, "enforcesCapacity": true, "standby": false }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000 } })
}

pub const HOST: &str = "jepu9.example";
pub const PREFIX: &str = "/puxa400/";
pub const MEMORY_MB: u64 = 260;
/// The "short delay" after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(2);

struct EntryProcess {
    child: Option<Child>,
    starts: u32,
    /// Whether the case itself ends the process.
    is_ending: bool,
    peak_kb: u64,
    over_memory: u32,
    own_ends: u32,
}

/// A daemon on a machine of its own, run as the platform runs it.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    logs: PathBuf,
    process: Mutex<EntryProcess>,
    record: Arc<Record>,
}

impl Entry {
    /// Starts the process, restarts it whenever it ends, and kills it when it takes more memory than its machine has.
    pub fn start(
        name: &str,
        folder: &Path,
        store: SocketAddr,
        machines: SocketAddr,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let (front, ready) = (free_address(), free_address());
        let settings = format!(
            "node = \"{name}\"\nrole = \"entry\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\nip = \"127.0.0.1\"\n\
             zone = \"z-a\"\nregion = \"z\"\nseeds = []\nisBootstrap = true\nfaultCounted = false\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\ncontrolMode = \"call\"\n[zones]\nz-a = \"z\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = {MEMORY_MB}\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [bounds]\nseedLagS = 3\naddrReuseS = 2\nstabilityMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\n\
             graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\n\
             recoveryS = 12\nholdMaxMs = 6000\nstopTimeoutMs = 200\ngangTimeoutMs = 3000\ncancel_ms = 3000\n\
             visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremoteFactor = 1.5\ncheckpointS = 1\n\
             restoreMs = 250\nnoticeMs = 4500\nmigrateS = 1.5\nmaintenanceS = 2\nfencingEnforced = false\n\
             leaseMs = 3000\nthawSlackMs = 300\npaceMs = 100\nimpactMs = 4000\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n\
             maxValueBytes = 1048576\nttlMinMs = 1000\n\
             [cloudApi]\naddress = \"{machines}\"\nratePerS = 64.0\nduties = []\ndutyPerS = 64.0\n"
        );
        let settings_path = folder.join(format!("{name}.toml"));
        std::fs::write(&settings_path, settings).expect("the temporary folder is writable");
        let root =
            std::env::var("REPOSITORY").map(PathBuf::from).expect("run.sh names the repository");
        let entry = Arc::new(Self {
            name: name.to_owned(),
            front,
            ready,
            program: root.join("target/release/jackdawpier-platform"),
            settings: settings_path,
            logs: folder.to_owned(),
            process: Mutex::new(EntryProcess {
                child: None,
                starts: 0,
                is_ending: false,
                peak_kb: 0,
                over_memory: 0,
                own_ends: 0,
            }),
            record: record.clone(),
        });
        entry.spawn();
        let watching = entry.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                if !watching.watch() {
                    return;
                }
            }
        });
        entry
    }

    fn spawn(&self) {
        let mut process = self.process.lock().unwrap();
        // The play may have ended during the delay.
        if process.is_ending {
            return;
        }
        process.starts += 1;
        let log = File::create(self.logs.join(format!("{}-{}.log", self.name, process.starts)));
        let log = log.expect("the temporary folder is writable");
        let root = self.program.ancestors().nth(3).expect("it lies in target/release").to_owned();
        let child = Command::new(&self.program)
            .env_clear()
            .env("JACKDAWPIER_BOOT", &self.settings)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor is free"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file is built");
        self.record.line(format!("{} starts as process {}", self.name, child.id()));
        let list = OpenOptions::new().append(true).create(true).open(self.logs.join("processes"));
        let _ = list.and_then(|mut list| writeln!(list, "{}", child.id()));
        process.child = Some(child);
    }

    /// Looks at the process once; false once it is over for good.
    fn watch(&self) -> bool {
        let mut process = self.process.lock().unwrap();
        let is_ending = process.is_ending;
        let Some(child) = &mut process.child else { return !is_ending };
        let kb = resident_kb(child.id());
        let ended = child.try_wait().ok().flatten();
        if let Some(status) = ended {
            process.child = None;
            if is_ending {
                self.record.line(format!("{} has ended: {status}", self.name));
                return false;
            }
            process.own_ends += 1;
            drop(process);
            self.record.line(format!("{} ended by itself or over its memory: {status}", self.name));
            thread::sleep(RESTART_DELAY);
            self.spawn();
            return true;
        }
        process.peak_kb = process.peak_kb.max(kb);
        if kb > MEMORY_MB * 1024 {
            process.over_memory += 1;
            self.record.line(format!(
                "{} takes {} MB of {MEMORY_MB}: the platform kills it",
                self.name,
                kb / 1024
            ));
            if let Some(child) = &mut process.child {
                let _ = child.kill();
            }
        }
        true
    }

    pub fn is_ready(&self) -> bool {
        let answer = crate::http::call(self.ready, "GET", "x", "/ready", 1_000, "");
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Times that the process was over its memory, ended in any other way, and its highest memory in MB.
    pub fn ends(&self) -> (u32, u32, u64) {
        let process = self.process.lock().unwrap();
        (
            process.over_memory,
            process.own_ends.saturating_sub(process.over_memory),
            process.peak_kb / 1024,
        )
    }

    /// Ends the process.
    pub fn end(&self) {
        let mut process = self.process.lock().unwrap();
        process.is_ending = true;
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

/// Waits until a condition holds.
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
