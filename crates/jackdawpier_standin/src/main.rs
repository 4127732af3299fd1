//! Command line of the stand-ins; each is one process with its address from arguments.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use jackdawpier_kernel::instance::{Instance, InstanceRole, InstanceState};
use jackdawpier_standin::{
    executor, instance_list, keys,
    load::{self, LoadPlan, MixPart},
    load_report::ByCustomer,
    process::{any_port, block_on},
    store_server, worker,
};

/// Waiting for accepted jobs to run.
const JOB_POLLS: u32 = 300;
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Stand-ins for the platform and back ends, for development only
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// The platform's store
    #[bpaf(command)]
    Store {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"), fallback(any_port()))]
        listen: SocketAddr,
        /// Seed of the lost answers
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
    },
    /// The platform's instance list
    #[bpaf(command("instance-list"))]
    InstanceList {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"), fallback(any_port()))]
        listen: SocketAddr,
        /// Lag in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        lag_ms: u64,
    },
    /// A back-end executor
    #[bpaf(command)]
    Executor(#[bpaf(external(backend))] Backend),
    /// A worker
    #[bpaf(command)]
    Worker(#[bpaf(external(backend))] Backend),
    /// Drives callers and checks their answers
    #[bpaf(command)]
    Load(#[bpaf(external(load_args))] LoadArgs),
    /// Makes a private authority and the entries' certificates
    #[bpaf(command)]
    Keys {
        /// Folder to write to
        #[bpaf(argument("FOLDER"))]
        folder: PathBuf,
        /// Names of the entries
        #[bpaf(positional("NAME"), many)]
        names: Vec<String>,
    },
}

#[derive(Debug, Clone, Bpaf)]
struct Backend {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"), fallback(any_port()))]
    listen: SocketAddr,
    /// Id in the instance list
    #[bpaf(argument("ID"))]
    id: String,
    /// Service
    #[bpaf(argument("NAME"))]
    service: String,
    /// Availability zone
    #[bpaf(argument("NAME"))]
    zone: String,
    /// Rack
    #[bpaf(argument("NAME"), fallback("rack-1".to_owned()))]
    rack: String,
    /// URL of the instance list to register at
    #[bpaf(argument("URL"))]
    list: String,
    /// Slots of an executor
    #[bpaf(argument("N"), fallback(8))]
    slots: u32,
    /// Connections of an executor
    #[bpaf(argument("N"), fallback(64))]
    connections: u32,
}

impl Backend {
    fn register(&self, role: InstanceRole, address: SocketAddr) {
        let instance = Instance {
            id: self.id.as_str().into(),
            role,
            service: self.service.as_str().into(),
            pool: self.service.as_str().into(),
            address: address.to_string(),
            zone: self.zone.as_str().into(),
            rack: self.rack.as_str().into(),
            state: InstanceState::Live,
            last_order: String::new(),
            slots: self.slots,
            connections: self.connections,
            cores: 64,
            memory_gb: 256,
            accelerators: 0,
        };
        if let Err(error) = instance_list::register(&self.list, &instance) {
            eprintln!("not registered: {error}");
        }
        ready(address);
    }
}

#[derive(Debug, Clone, Bpaf)]
struct LoadArgs {
    /// Address of a callers' port; repeat it for each entry
    #[bpaf(argument("IP:PORT"), some("at least one target"))]
    target: Vec<SocketAddr>,
    /// Class in the mix as `NAME:SHARE:WORK_US`, with `:keyed` for requests with a key
    #[bpaf(argument::<String>("CLASS"), parse(parse_mix), some("at least one class"))]
    class: Vec<MixPart>,
    /// Requests in total
    #[bpaf(argument("N"), fallback(1000))]
    requests: u64,
    /// Callers at once
    #[bpaf(argument("N"), fallback(16))]
    callers: usize,
    /// Customers
    #[bpaf(argument("N"), fallback(10))]
    customers: u32,
    /// Times that the first customer sends as much as each other
    #[bpaf(argument("N"), fallback(1))]
    skew: u32,
    /// Requests a second of all callers; 0 is as fast as answers come
    #[bpaf(argument("N"), fallback(0))]
    rate: u64,
    /// Seed of the choices
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Executor whose counts are checked; repeat it for each
    #[bpaf(argument("IP:PORT"), many)]
    executor: Vec<String>,
    /// Worker whose counts are checked; repeat it for each
    #[bpaf(argument("IP:PORT"), many)]
    worker: Vec<String>,
    /// Some back end is killed during the run and takes its counts along
    lost_counters: bool,
    /// Also prints the latency of each customer
    by_customer: bool,
    /// Prints JSON
    json: bool,
}

fn parse_mix(text: String) -> Result<MixPart, String> {
    let mut parts = text.split(':');
    let number =
        |parts: &mut std::str::Split<'_, char>| -> Option<u64> { parts.next()?.parse().ok() };
    let class = parts.next().unwrap_or_default().to_owned();
    let share = number(&mut parts).ok_or("the share is missing: NAME:SHARE:WORK_US")?;
    let work_us = number(&mut parts).ok_or("the work is missing: NAME:SHARE:WORK_US")?;
    let is_keyed = parts.next() == Some("keyed");
    Ok(MixPart { class, share: share as u32, work_us, is_keyed })
}

fn ready(address: SocketAddr) {
    println!("ready {address}");
}

fn run_load(args: &LoadArgs) -> ExitCode {
    let plan = LoadPlan {
        targets: args.target.clone(),
        mix: args.class.clone(),
        requests: args.requests,
        callers: args.callers,
        customers: args.customers,
        skew: args.skew,
        rate_per_s: args.rate,
        seed: args.seed,
    };
    let mut report = load::run(&plan);
    let mut runs = load::fetch_runs(&args.executor, &args.worker);
    for _ in 0..JOB_POLLS {
        if report.jobs_done(&runs) {
            break;
        }
        std::thread::sleep(JOB_POLL_INTERVAL);
        runs = load::fetch_runs(&args.executor, &args.worker);
    }
    if !args.executor.is_empty() {
        report.check_runs(&runs, args.lost_counters);
    }
    if args.json {
        println!("{}", serde_json::to_string(&report).expect("reports are plain data"));
    } else {
        if args.by_customer {
            print!("{}", ByCustomer(&report));
        }
        println!("{report}");
    }
    if report.violations.is_zero() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Store { listen, seed } => {
            block_on(store_server::run(listen, seed, ready)).map(|()| ExitCode::SUCCESS)
        }
        Command::InstanceList { listen, lag_ms } => {
            let lag = Duration::from_millis(lag_ms);
            block_on(instance_list::run(listen, lag, ready)).map(|()| ExitCode::SUCCESS)
        }
        Command::Executor(backend) => {
            block_on(executor::run(backend.listen, backend.slots, backend.connections, |address| {
                backend.register(InstanceRole::Executor, address);
            }))
            .map(|()| ExitCode::SUCCESS)
        }
        Command::Worker(backend) => block_on(worker::run(backend.listen, |address| {
            backend.register(InstanceRole::Worker, address);
        }))
        .map(|()| ExitCode::SUCCESS),
        Command::Load(args) => Ok(run_load(&args)),
        Command::Keys { folder, names } => {
            keys::write_keys(&folder, &names).map(|()| ExitCode::SUCCESS)
        }
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::FAILURE
    })
}
