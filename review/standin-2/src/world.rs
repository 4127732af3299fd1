//! The platform around the entries: machines, the advisor's absence, entries as processes, clients.

use std::{
    collections::BTreeMap,
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{SigSet, Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};

use crate::{
    executor::{Event, Events, Place, Setup},
    http::{Reply, Request, Server, call},
    record::Record,
    store::Store,
};

pub const HOST: &str = "pule25.example";
pub const PREFIX: &str = "/puxa400/";
/// Patience of the clients, as on the sheets.
pub const DEADLINE: Duration = Duration::from_millis(3000);
/// An upkeep takes this long, as on the sheets.
const UPKEEP: Duration = Duration::from_secs(2);
/// An answer of the machines' interface takes this long.
const CLOUD_ANSWER_MS: u64 = 5;
const FIRST_PORT: u16 = 11_000;

fn first_ephemeral_port() -> u16 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let first = range.ok().and_then(|text| text.split_whitespace().next()?.parse().ok());
    first.unwrap_or(32_768)
}

/// Hands out free loopback ports below the system's own, of a block that no other run uses.
pub struct Ports {
    next: u16,
    end: u16,
    /// The first port of the block stays bound while the block is in use.
    _lock: TcpListener,
}

const BLOCK: u16 = 128;

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

impl Ports {
    pub fn new() -> Option<Self> {
        let blocks = first_ephemeral_port().saturating_sub(FIRST_PORT) / BLOCK;
        let preferred = std::process::id() as u16;
        (0..blocks).find_map(|number| {
            let block = preferred.wrapping_add(number) % blocks;
            let first = FIRST_PORT + block * BLOCK;
            let lock = TcpListener::bind(loopback(first)).ok()?;
            Some(Self { next: first, end: first + BLOCK, _lock: lock })
        })
    }

    pub fn next(&mut self) -> SocketAddr {
        loop {
            self.next += 1;
            assert!(self.next < self.end, "no free port is left");
            if TcpListener::bind(loopback(self.next)).is_ok() {
                return loopback(self.next);
            }
        }
    }
}

/// The entries' processes that run now.
static PROCESSES: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and this one: the case couldn't run.
pub fn give_up(why: &str) -> ! {
    eprintln!("standin_2: {why}");
    let processes = PROCESSES.lock().map(|list| list.clone()).unwrap_or_default();
    for process in processes {
        let _ = kill(Pid::from_raw(process), Signal::SIGKILL);
    }
    std::process::exit(2)
}

fn has_ended(child: &Child) {
    if let Ok(mut processes) = PROCESSES.lock() {
        processes.retain(|one| *one != child.id() as i32);
    }
}

/// Bounds of the settings that differ between the cases.
#[derive(Clone)]
pub struct Bounds {
    pub stop_timeout_ms: u64,
    pub hold_max_ms: u64,
    pub finish_s: u64,
}

struct Machine {
    place: Arc<Place>,
    zone: String,
    labels: Vec<String>,
    cpu: u64,
    pool: String,
    /// Waves of which the machine has had its upkeep.
    waves: Vec<u64>,
    is_in_upkeep: bool,
}

/// The machines, as the platform lists them.
pub struct Machines {
    machines: Mutex<BTreeMap<String, Machine>>,
    /// Factor on the time of each answer.
    pub slowness: AtomicU64,
    /// Whether calls get no answer, and nothing is done.
    pub silent: AtomicBool,
    lives: AtomicU64,
    store: Arc<Store>,
    record: Arc<Record>,
}

impl Machines {
    fn listing(&self) -> Value {
        let machines = self.machines.lock().unwrap();
        let rows: Vec<Value> = machines
            .iter()
            .map(|(name, machine)| {
                let life = machine.place.current();
                let id = life.map_or(String::new(), |life| life.setup.id.clone());
                let state = match (machine.is_in_upkeep, id.is_empty()) {
                    (true, _) => "upkeep",
                    (false, true) => "down",
                    (false, false) => "up",
                };
                json!({
                    "machine": name, "pool": machine.pool, "state": state, "zone": machine.zone,
                    "labels": machine.labels,
                    "capacity": { "cpu": machine.cpu, "memMb": 65536, "gpu": 0 }, "id": id,
                })
            })
            .collect();
        json!({ "machines": rows, "nextToken": null })
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        let is_order = request.method == "POST";
        let text = || format!("{} {}", request.path, request.json());
        if self.silent.load(Ordering::SeqCst) {
            if is_order {
                self.record.line(&format!("machines: {} gets no answer, nothing is done", text()));
            }
            return Reply::Silence(Duration::from_secs(3));
        }
        // Read when the call arrives, answered later.
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machines") => Reply::Json(200, self.listing()),
            ("POST", path) => {
                let (status, body) = self.order(path, &request.json());
                self.record.line(&format!("machines: {} is answered {status} {body}", text()));
                Reply::Json(status, body)
            }
            _ => Reply::Json(404, json!({})),
        };
        let factor = self.slowness.load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(CLOUD_ANSWER_MS * factor));
        reply
    }

    /// Carries out an upkeep. No machine moves in these cases.
    fn order(self: &Arc<Self>, path: &str, body: &Value) -> (u16, Value) {
        let name = body["machine"].as_str().unwrap_or_default().to_owned();
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.get_mut(&name) else { return (400, json!({})) };
        let Some(wave) = body["wave"].as_u64().filter(|_| path == "/machine-upkeep") else {
            return (409, json!({ "reason": "busy" }));
        };
        if machine.waves.contains(&wave) {
            return (200, json!({}));
        }
        let Some(life) = machine.place.current().filter(|_| !machine.is_in_upkeep) else {
            return (409, json!({ "reason": "busy" }));
        };
        machine.waves.push(wave);
        machine.is_in_upkeep = true;
        let (place, all) = (machine.place.clone(), self.clone());
        drop(machines);
        place.crash(false);
        self.store.remove(&format!("servers/{}", life.setup.id));
        let number = self.lives.fetch_add(1, Ordering::SeqCst);
        let setup = Setup { id: format!("{}-{number}", life.setup.id), ..life.setup.clone() };
        thread::spawn(move || {
            thread::sleep(UPKEEP);
            place.start(setup);
            if let Some(machine) = all.machines.lock().unwrap().get_mut(&name) {
                machine.is_in_upkeep = false;
            }
        });
        (200, json!({}))
    }
}

/// An entry of the system: a process of the deploy file's command.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub machines: Arc<Machines>,
    pub events: Arc<Events>,
    pub places: Vec<(Setup, Arc<Place>)>,
    pub entries: Vec<Entry>,
    pub bounds: Bounds,
    pub folder: PathBuf,
    program: PathBuf,
    next_job: AtomicU64,
    _servers: Vec<Server>,
}

pub struct Plan<'a> {
    pub entries: usize,
    pub executors: Vec<Setup>,
    pub routes: Vec<Value>,
    pub services: Vec<Value>,
    pub bounds: Bounds,
    pub record: &'a str,
    pub program: &'a Path,
}

impl World {
    pub fn start(ports: &mut Ports, plan: Plan<'_>) -> std::io::Result<Arc<Self>> {
        let record = Arc::new(Record::new(plan.record)?);
        let folder = std::env::temp_dir().join(format!("review-standin-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Arc::new(Store::new());
        let events = Arc::<Events>::default();
        let machines = Arc::new(Machines {
            machines: Mutex::default(),
            slowness: AtomicU64::new(1),
            silent: AtomicBool::new(false),
            lives: AtomicU64::new(0),
            store: store.clone(),
            record: record.clone(),
        });
        let mut servers = Vec::new();
        // The store has an address for each entry, so that one can be partitioned.
        let store_addresses: Vec<SocketAddr> = (0..plan.entries).map(|_| ports.next()).collect();
        for (number, address) in store_addresses.iter().enumerate() {
            let served = store.clone();
            let handler = move |request| served.handle(number, request);
            servers.push(Server::start(*address, Arc::new(handler))?);
        }
        let cloud_address = ports.next();
        let served = machines.clone();
        servers
            .push(Server::start(cloud_address, Arc::new(move |request| served.handle(&request)))?);
        let expiring = store.clone();
        thread::spawn(move || expiring.keep_expiring());
        let config = json!({
            "version": 7, "routes": plan.routes, "services": plan.services,
            "limits": { "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000 },
        });
        store.put("op/config", config.to_string().as_bytes());
        let mut places = Vec::new();
        for (number, setup) in plan.executors.iter().enumerate() {
            let place = Place::new(record.clone(), events.clone(), store.clone());
            place.start(setup.clone());
            let machine = Machine {
                place: place.clone(),
                zone: setup.zone.clone(),
                labels: setup.labels.clone(),
                cpu: setup.cpu,
                pool: setup.service.clone(),
                waves: Vec::new(),
                is_in_upkeep: false,
            };
            machines.machines.lock().unwrap().insert(format!("m-{number:03}"), machine);
            places.push((setup.clone(), place));
        }
        let mut entries = Vec::new();
        for number in 0..plan.entries {
            let name = format!("edge-{number}");
            let entry = Entry {
                front: ports.next(),
                ready: ports.next(),
                settings: folder.join(format!("{name}.toml")),
                log: folder.join(format!("{name}.log")),
                name,
                child: Mutex::new(None),
            };
            let internal = ports.next().port();
            let text =
                settings(&entry, internal, store_addresses[number], cloud_address, &plan.bounds);
            std::fs::write(&entry.settings, text)?;
            entries.push(entry);
        }
        let world = Arc::new(Self {
            record,
            store,
            machines,
            events,
            places,
            entries,
            bounds: plan.bounds,
            folder,
            program: plan.program.to_owned(),
            next_job: AtomicU64::new(1),
            _servers: servers,
        });
        for entry in &world.entries {
            world.spawn(entry)?;
        }
        Ok(world)
    }

    fn spawn(&self, entry: &Entry) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&entry.log)?;
        let mut command = Command::new(&self.program);
        command
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("JACKDAWPIER_BOOT", &entry.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: the closure only sets the signal mask, which is allowed between fork and exec.
        unsafe {
            command.pre_exec(|| Ok(SigSet::empty().thread_set_mask()?));
        }
        let child = command.spawn()?;
        if let Ok(mut processes) = PROCESSES.lock() {
            processes.push(child.id() as i32);
        }
        self.record.line(&format!("{} starts", entry.name));
        *entry.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Sends a signal to an entry's process, waits for its end and starts it again.
    pub fn restart(&self, entry: &Entry, signal: Signal, grace: Duration) {
        let Some(mut child) = entry.child.lock().unwrap().take() else { return };
        self.record.line(&format!("{} gets {signal}", entry.name));
        let _ = kill(Pid::from_raw(child.id() as i32), signal);
        let until = Instant::now() + grace;
        while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        has_ended(&child);
        self.record.line(&format!("{} has ended", entry.name));
        thread::sleep(Duration::from_millis(300));
        let _ = self.spawn(entry);
    }

    /// Returns the entry that owns the fleet.
    pub fn owner(&self) -> Option<&Entry> {
        let owner = self.store.read("owner")?;
        self.entries.iter().find(|entry| owner["entry"] == entry.name.as_str())
    }

    /// Waits until all entries are ready and one owns the fleet.
    pub fn wait_until_up(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let short = Duration::from_millis(500);
            let is_ready = |entry: &Entry| {
                call(entry.ready, "GET", "/ready", "x", "", short)
                    .is_some_and(|(code, _)| code == 200)
            };
            if self.owner().is_some() && self.entries.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn new_id(&self) -> String {
        let number = self.next_job.fetch_add(1, Ordering::SeqCst);
        format!("{:08x}{number:08x}", std::process::id())
    }

    /// Hands a job in at the entries in turn, until one has answered 2xx; returns whether one has.
    pub fn submit(&self, prefix: &str, id: &str, body: &Value) -> bool {
        for attempt in 0..5 {
            let number = id.bytes().last().unwrap_or(0) as usize + attempt;
            let entry = &self.entries[number % self.entries.len()];
            let path = format!("{prefix}{id}");
            let answer = call(entry.front, "POST", &path, HOST, &body.to_string(), DEADLINE);
            let status = answer.map(|(status, _)| status);
            self.record.line(&format!("client: POST {path} at {}: {status:?}", entry.name));
            if status.is_some_and(|status| (200..300).contains(&status)) {
                return true;
            }
            thread::sleep(Duration::from_millis(1000));
        }
        false
    }

    pub fn cancel(&self, prefix: &str, id: &str) -> Option<u16> {
        for entry in &self.entries {
            let path = format!("{prefix}{id}");
            let answer = call(entry.front, "DELETE", &path, HOST, "", DEADLINE);
            let status = answer.map(|(status, _)| status);
            self.record.line(&format!("client: DELETE {path} at {}: {status:?}", entry.name));
            if status.is_some_and(|status| (200..300).contains(&status) || status == 410) {
                return status;
            }
        }
        None
    }

    /// Asks each entry for a job's state.
    pub fn states(&self, prefix: &str, id: &str) -> Vec<String> {
        let path = format!("{prefix}{id}");
        let of_entry = |entry: &Entry| {
            let answer = call(entry.front, "GET", &path, HOST, "", DEADLINE);
            let text = answer.map_or("no answer".to_owned(), |(status, body)| {
                let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                format!("{status} {}", body["state"].as_str().unwrap_or("-"))
            });
            self.record.line(&format!("client: GET {path} at {}: {text}", entry.name));
            text
        };
        self.entries.iter().map(of_entry).collect()
    }

    pub fn all_events(&self) -> Vec<Event> {
        self.events.0.lock().unwrap().clone()
    }

    /// Ends all processes. The folder with their logs stays if it is asked for by KEEP_LOGS.
    pub fn stop(&self) {
        for entry in &self.entries {
            if let Some(mut child) = entry.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
                has_ended(&child);
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
    }
}

fn settings(
    entry: &Entry,
    internal: u16,
    store: SocketAddr,
    cloud: SocketAddr,
    bounds: &Bounds,
) -> String {
    let Entry { name, front, ready, .. } = entry;
    let Bounds { stop_timeout_ms, hold_max_ms, finish_s } = bounds;
    format!(
        r#"node = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "z1"
region = "r"
internalPorts = [{internal},{internal}]
seeds = []
isBootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","upkeep","sharing"]
controlMode = "call"
[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stabilityMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
recoveryS = 12
holdMaxMs = {hold_max_ms}
stopTimeoutMs = {stop_timeout_ms}
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = {finish_s}
status_s = 120
remoteFactor = 1.5
checkpointS = 1
restoreMs = 250
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
fencingEnforced = false
leaseMs = 3000
thawSlackMs = 300
paceMs = 100
impactMs = 4000
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
address = "{cloud}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
"#
    )
}
