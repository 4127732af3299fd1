//! A small deployment on loopback: stand-ins run in the test's process, daemons in processes of
//! their own.

#![allow(dead_code, reason = "each test program uses a part of this module")]

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::mpsc,
    time::{Duration, Instant},
};

use jackdawpier_kernel::instance::{Instance, InstanceRole, InstanceState};
use jackdawpier_standin::{
    executor, instance_list, keys,
    load::{self, LoadPlan, MixPart},
    load_report::Report,
    process::{any_port, spawn as spawn_standin},
    relay::{Cut, Relay},
    store_server, worker,
};
use serde_json::{Value, json};

/// Timeout of waiting for a condition; generous, as no test checks how fast conditions are met.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running daemon.
pub(crate) struct Daemon {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
    child: Child,
}

impl Daemon {
    /// Returns the id of its process.
    pub(crate) fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether its process still runs.
    pub(crate) fn is_alive(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// Sends a signal by name.
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()
            .expect("kill can be run");
        assert!(status.success(), "{} got no {name}", self.name);
    }

    /// Suspends the process, and returns once all its threads are stopped.
    pub(crate) fn suspend(&self) {
        self.signal("STOP");
        let threads = format!("/proc/{}/task", self.child.id());
        let is_stopped = |thread: std::fs::DirEntry| {
            let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            stat.rsplit(')').next().is_some_and(|fields| fields.trim_start().starts_with('T'))
        };
        wait_for("the process to be suspended", || {
            let mut threads = std::fs::read_dir(&threads).expect("it is ours");
            threads.all(|thread| thread.is_ok_and(is_stopped))
        });
    }

    /// Waits for the process to end; returns whether its exit status is success.
    pub(crate) fn wait(&mut self) -> bool {
        wait_for("the daemon to end", || self.child.try_wait().expect("it is ours").is_some());
        self.child.wait().expect("it is ours").success()
    }

    /// Sends a GET request to the operators' port.
    pub(crate) fn get(&self, path: &str) -> (u16, Value) {
        http("GET", self.operators, path, &[], b"").unwrap_or((0, Value::Null))
    }

    /// Returns whether it serves callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.get("/readyz").0 == 200
    }

    /// Applies a declaration on top of revision `base`.
    pub(crate) fn apply(&self, base: u64, text: &str) -> (u16, Value) {
        let body = json!({ "base": base, "file": "test.yaml", "text": text }).to_string();
        http("POST", self.operators, "/v1/apply", &[], body.as_bytes()).expect("it answers")
    }

    /// Returns the services whose cells this entry has open.
    pub(crate) fn owned(&self) -> Vec<String> {
        let status = self.get("/v1/status").1;
        let services = status["services"].as_object().cloned().unwrap_or_default();
        services
            .into_iter()
            .filter(|(_, figures)| figures["owns_cell"] == true)
            .map(|(name, _)| name)
            .collect()
    }

    /// Returns the revision in force.
    pub(crate) fn revision(&self) -> u64 {
        self.get("/v1/status").1["documents"][0]["revision"].as_u64().unwrap_or(0)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-ins of the platform and the backend servers, and a folder for keys and settings.
pub(crate) struct Deployment {
    pub(crate) store: SocketAddr,
    pub(crate) list: SocketAddr,
    pub(crate) executors: Vec<(String, SocketAddr)>,
    pub(crate) workers: Vec<SocketAddr>,
    folder: PathBuf,
    timing: &'static str,
    store_relays: BTreeMap<&'static str, Relay>,
}

/// Timing for tests in which no lease has to expire. The lease is long enough for an entry to keep it
/// on a machine that is overloaded for a second or two.
const LONG_LEASE_TIMING: &str = "timing: { member_lease_ms: 10000 }";

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The classes that the tests use.
pub(crate) const DECLARATION: &str = "
deployment: test
classes:
  - { name: render, service: widgets, kind: quick, idempotent: true, finish_within_ms: 2000, capacity_instances: 2 }
  - { name: update, service: widgets, kind: quick, finish_within_ms: 5000, capacity_instances: 2 }
  - { name: export, service: widgets, kind: report, finish_within_ms: 20000, capacity_instances: 2 }
  - { name: ledger, service: refresh, kind: refresh, finish_within_ms: 600000, capacity_instances: 1 }
  - { name: nightly, service: refresh, kind: refresh, idempotent: true, finish_within_ms: 600000, capacity_instances: 1 }
";

impl Deployment {
    /// Starts the stand-ins: a store, a list, executors of `widgets` and workers of `refresh`.
    pub(crate) fn new(test: &str, executors: u32, workers: u32) -> Self {
        let folder =
            std::env::temp_dir().join(format!("jackdawpier-{test}-{}", std::process::id()));
        let names: Vec<String> = ["a", "b", "c"].map(str::to_owned).to_vec();
        keys::write_keys(&folder, &names).expect("the folder can be written");
        let store =
            spawn_standin(|ready| store_server::run(any_port(), 1, move |at| send(&ready, at)));
        let list = spawn_standin(|ready| {
            instance_list::run(any_port(), Duration::ZERO, move |at| send(&ready, at))
        });
        let mut deployment = Self {
            store,
            list,
            executors: Vec::new(),
            workers: Vec::new(),
            folder,
            timing: LONG_LEASE_TIMING,
            store_relays: BTreeMap::new(),
        };
        for index in 0..executors {
            let address =
                spawn_standin(|ready| executor::run(any_port(), 8, 64, move |at| send(&ready, at)));
            let id = format!("widgets-{index}");
            deployment.register(&id, InstanceRole::Executor, "widgets", address);
            deployment.executors.push((id, address));
        }
        for index in 0..workers {
            let address =
                spawn_standin(|ready| worker::run(any_port(), move |at| send(&ready, at)));
            deployment.register(
                &format!("worker-{index}"),
                InstanceRole::Worker,
                "refresh",
                address,
            );
            deployment.workers.push(address);
        }
        deployment
    }

    /// Uses the default lease, for tests in which it has to expire.
    pub(crate) fn with_default_timing(mut self) -> Self {
        self.timing = "";
        self
    }

    /// Connects each entry to the store through a relay of its own, which can be cut.
    pub(crate) fn with_store_relays(mut self) -> Self {
        let relay = |name| (name, Relay::start(self.store).expect("there is a free port"));
        self.store_relays = ["a", "b", "c"].map(relay).into();
        self
    }

    /// Sets the partition between an entry and the store.
    pub(crate) fn cut_from_store(&self, name: &str, cut: Cut) {
        self.store_relays[name].set(cut);
    }

    /// Adds `more` instances of 10 KB each to the instance list, and serves it over a link with this
    /// many bytes a second.
    pub(crate) fn with_slow_list(mut self, more: usize, bytes_per_s: u32) -> Self {
        for index in 0..more {
            let id = format!("others-{index}");
            let mut instance = instance(&id, InstanceRole::Executor, "others", any_port());
            instance.rack = "r".repeat(10_000).as_str().into();
            instance_list::register(&format!("http://{}", self.list), &instance)
                .expect("the list is up");
        }
        let link = Relay::start_slow(self.list, bytes_per_s).expect("there is a free port");
        self.list = link.address;
        self
    }

    fn register(&self, id: &str, role: InstanceRole, service: &str, address: SocketAddr) {
        let instance = instance(id, role, service, address);
        instance_list::register(&format!("http://{}", self.list), &instance)
            .expect("the list is up");
    }

    /// Returns the path of a file in the deployment's folder.
    pub(crate) fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Returns the settings of the entry `name`, with `more` lines at the end.
    pub(crate) fn settings(&self, name: &str, more: &str) -> String {
        let folder = self.folder.display();
        let store = self.store_relays.get(name).map_or(self.store, |relay| relay.address);
        format!(
            "entry: entry-{name}\nzone: riga-1\nlisten: {{ callers: \"127.0.0.1:0\", operators: \"127.0.0.1:0\", peers: \"127.0.0.1:0\" }}\nstore_url: http://{}\ninstance_list_url: http://{}\npeer_tls: {{ authority_file: {folder}/authority.pem, certificate_file: {folder}/{name}.pem, key_file: {folder}/{name}.key }}\n{more}\n{}\n",
            store, self.list, self.timing
        )
    }

    /// Starts the entry `name` and waits for its addresses.
    pub(crate) fn start(&self, name: &str, more: &str) -> Daemon {
        let path = self.file(&format!("{name}.yaml"));
        std::fs::write(&path, self.settings(name, more)).expect("the folder can be written");
        spawn(name, &path)
    }

    /// Starts `count` entries with the declaration in force at each of them.
    pub(crate) fn start_all(&self, count: usize) -> Vec<Daemon> {
        self.start_all_with(count, "")
    }

    /// Like `start_all`, with `more` lines at the end of the settings of each.
    pub(crate) fn start_all_with(&self, count: usize, more: &str) -> Vec<Daemon> {
        let daemons: Vec<Daemon> =
            ["a", "b", "c"][..count].iter().map(|name| self.start(name, more)).collect();
        wait_for("the declaration to be accepted", || daemons[0].apply(0, DECLARATION).0 != 503);
        for daemon in &daemons {
            wait_for("an entry to be ready", || daemon.is_ready());
        }
        wait_for("every cell to be open", || {
            daemons.iter().map(|daemon| daemon.owned().len()).sum::<usize>() == 2
        });
        wait_for("heartbeats between all entries", || {
            daemons.iter().all(|daemon| {
                let members = daemon.get("/v1/status").1["members"].clone();
                let members = members.as_array().cloned().unwrap_or_default();
                members.len() == count && members.iter().all(|m| m["is_reachable"] == true)
            })
        });
        daemons
    }

    /// Returns the number of runs of each nonce, over all executors and workers.
    pub(crate) fn runs(&self) -> BTreeMap<u64, u32> {
        let executors: Vec<String> =
            self.executors.iter().map(|(_, address)| address.to_string()).collect();
        let workers: Vec<String> = self.workers.iter().map(ToString::to_string).collect();
        load::fetch_runs(&executors, &workers)
    }

    /// Generates load from callers, and checks their answers against the runs.
    pub(crate) fn load(
        &self,
        targets: Vec<SocketAddr>,
        mix: Vec<MixPart>,
        requests: u64,
        seed: u64,
    ) -> Report {
        self.load_with(targets, mix, requests, seed, 8)
    }

    /// Like `load`, with this many concurrent callers.
    pub(crate) fn load_with(
        &self,
        targets: Vec<SocketAddr>,
        mix: Vec<MixPart>,
        requests: u64,
        seed: u64,
        callers: usize,
    ) -> Report {
        let plan = LoadPlan {
            targets,
            mix,
            requests,
            callers,
            customers: 5,
            skew: 1,
            rate_per_s: 0,
            seed,
        };
        let mut report = load::run(&plan);
        wait_for("accepted jobs to run", || report.jobs_done(&self.runs()));
        report.check_runs(&self.runs(), false);
        report
    }
}

fn instance(id: &str, role: InstanceRole, service: &str, address: SocketAddr) -> Instance {
    Instance {
        id: id.into(),
        role,
        service: service.into(),
        pool: service.into(),
        address: address.to_string(),
        zone: "riga-1".into(),
        rack: "rack-1".into(),
        state: InstanceState::Live,
        last_order: String::new(),
        slots: 8,
        connections: 64,
        cores: 64,
        memory_gb: 256,
        accelerators: 0,
    }
}

fn send(ready: &mpsc::Sender<SocketAddr>, address: SocketAddr) {
    ready.send(address).expect("the test waits for it");
}

/// Returns a part of a load mix.
pub(crate) fn part(class: &str, work_us: u64, is_keyed: bool) -> MixPart {
    MixPart { class: class.to_owned(), share: 1, work_us, is_keyed }
}

fn spawn(name: &str, settings: &Path) -> Daemon {
    let mut child = Command::new(env!("CARGO_BIN_EXE_jackdawpierd"))
        .arg(settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the daemon can be run");
    let mut line = String::new();
    let output = child.stdout.take().expect("it is piped");
    BufReader::new(output).read_line(&mut line).expect("it writes its addresses");
    let address = |key: &str| {
        line.split_whitespace()
            .find_map(|word| word.strip_prefix(key)?.parse().ok())
            .unwrap_or_else(|| panic!("no {key} in {line:?}"))
    };
    Daemon {
        name: name.to_owned(),
        callers: address("callers="),
        operators: address("operators="),
        peers: address("peers="),
        child,
    }
}

/// Polls until `is_met` returns true; fails the test after a timeout.
pub(crate) fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !is_met() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Sends an HTTP request; returns the status, and the body as JSON, or as a string if it isn't JSON.
pub(crate) fn http(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<(u16, Value)> {
    let (status, _, text) = http_full(method, address, path, headers, body)?;
    let value = serde_json::from_slice(&text)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&text).into_owned()));
    Some((status, value))
}

/// Sends an HTTP request; returns the status, the headers and the raw body.
pub(crate) fn http_full(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<(u16, ureq::http::HeaderMap, Vec<u8>)> {
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(WAIT_TIMEOUT))
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .build()
        .new_agent();
    let mut request =
        ureq::http::Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut response = agent.run(request.body(body.to_vec()).ok()?).ok()?;
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let text = response.body_mut().read_to_vec().ok()?;
    Some((status, headers, text))
}

/// Sets the faults of a stand-in.
pub(crate) fn set_faults(address: SocketAddr, faults: &Value) {
    let body = faults.to_string();
    let answer = http("POST", address, "/admin/faults", &[], body.as_bytes());
    assert_eq!(answer.expect("the stand-in answers").0, 200);
}

/// Returns the body of a request that makes an executor or worker work for `work_us`.
pub(crate) fn work(nonce: u64, work_us: u64) -> Vec<u8> {
    json!({ "nonce": nonce, "work_us": work_us }).to_string().into_bytes()
}
