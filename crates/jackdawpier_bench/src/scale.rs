//! Slopes: time and memory of each role at several sizes, the fit, and the figures at the size
//! aimed at. `docs/CAPACITY.md` is written from this output.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use jackdawpier_capacity::{
    PoolIx,
    fleet::{Fleet, Location, Phase, PoolTarget},
    planner::{Ceilings, Planner, ShrinkPolicy},
    wave::Wave,
};
use jackdawpier_coord::{
    configuration::{Document, WriterId},
    membership::{Member, View},
};
use jackdawpier_jobs::{
    job::{Job, JobState},
    queue::JobQueue,
    workers::WorkerInfo,
};
use jackdawpier_kernel::{
    Now,
    ids::{ClassName, RequestKey},
    instance::{Instance, InstanceList, InstanceRole, InstanceState},
    task::TaskResources,
};
use jackdawpier_route::{
    dedupe::Dedupe,
    dispatcher::{AttemptOutcome, Command, Dispatcher, RequestInfo},
    executors::ExecutorInfo,
    routing::{self, route_unkeyed},
};
use jackdawpier_settings::declaration::{
    CeilingOptions, Class, Declaration, FailureDomain, WorkKind,
};
use jackdawpier_store::{Change, Record};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region};

use crate::fit::Line;

/// Sizes of the fleet at which everything is measured.
pub const FLEET_SIZES: [u32; 4] = [50, 500, 5_000, 32_000];
/// Pools at each of them.
const POOLS: [u32; 4] = [5, 12, 40, 115];
/// Zones at each of them.
const ZONES: [u32; 4] = [3, 6, 15, 47];
const EXECUTOR_COUNTS: [u32; 4] = [50, 200, 1_000, 5_000];
const SERVICES: [&str; 4] = ["widgets", "reports", "rooms", "keys"];
const ENTRY_COUNTS: [u32; 4] = [8, 32, 200, 800];
const KEY_COUNTS: [u32; 4] = [1_000, 10_000, 60_000, 300_000];
const JOB_COUNTS: [u32; 4] = [500, 5_000, 50_000, 200_000];
const CLASS_COUNTS: [u32; 4] = [5, 50, 200, 800];

/// Builds a value and returns it with the memory that it holds, by the allocator's own count.
fn with_memory<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    let value = build();
    let change = region.change();
    let held = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (value, held.max(1.0))
}

/// Mean time of `act` over enough repeats to be steady.
fn mean_time(repeats: u32, mut act: impl FnMut(u32)) -> f64 {
    let started_at = Instant::now();
    (0..repeats).for_each(&mut act);
    started_at.elapsed().as_secs_f64() / f64::from(repeats)
}

/// A fleet of `instances` with its pools, all free.
pub fn fleet(instances: u32, pools: u32, zones: u32) -> Fleet {
    let mut fleet = Fleet::new();
    for ix in 0..instances {
        let zone = ix % zones;
        let rack = (ix / zones / 4) * zones + zone;
        fleet.add_instance(Location { zone, switch: rack / 8, rack });
    }
    for _ in 0..pools {
        let need = instances * 6 / 10 / pools;
        fleet.add_pool(PoolTarget {
            need,
            cautious_need: need,
            may_lose: 1,
            survive: FailureDomain::Zone,
        });
    }
    fleet
}

/// Plans a fleet from nothing and brings every instance into service.
pub fn plan_from_nothing(fleet: &mut Fleet, planner: &mut Planner) -> usize {
    (0..fleet.pools().len() as PoolIx).for_each(|pool| planner.mark_changed(pool));
    let moves = planner.replan(Now::ZERO, fleet, |_| ShrinkPolicy::default());
    for decided in &moves {
        fleet.assign(decided.instance, decided.to, Phase::Serving);
    }
    moves.len()
}

/// Plans again after the failure of one serving instance; returns the moves.
pub fn replan_after_failure(fleet: &mut Fleet, planner: &mut Planner, step: u32) -> usize {
    let count = fleet.instances().len() as u32;
    let failed = (0..count)
        .map(|offset| (step * 7919 + offset) % count)
        .find(|ix| fleet.instance(*ix).phase == Phase::Serving)
        .expect("some instance serves");
    let pool = fleet.instance(failed).pool.expect("a serving instance has a pool");
    fleet.assign(failed, None, Phase::Down);
    planner.mark_changed(pool);
    let moves = planner.replan(Now::ZERO, fleet, |_| ShrinkPolicy::default());
    for decided in &moves {
        fleet.assign(decided.instance, decided.to, Phase::Serving);
    }
    fleet.assign(failed, None, Phase::Free);
    moves.len()
}

/// A dispatcher with its executors, and requests that flow through it.
pub fn dispatcher(executors: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(256);
    dispatcher.set_classes([&class("render", "widgets")]);
    for index in 0..executors {
        let info = ExecutorInfo {
            id: format!("executor-{index}").into(),
            zone: format!("zone-{}", index % 47).into(),
            slots: 8,
            connections: 64,
            is_leaving: false,
        };
        dispatcher.upsert_executor(Now::ZERO, info);
    }
    dispatcher
}

/// One request through a dispatcher: admission, choice of an executor, end.
pub fn route_one(dispatcher: &mut Dispatcher, ticket: u64) {
    let now = Duration::from_micros(ticket);
    let info = RequestInfo {
        ticket,
        class: ClassName::from("render"),
        customer: format!("customer-{}", ticket % 40).into(),
        deadline: now + Duration::from_secs(1),
        is_idempotent: true,
    };
    for command in dispatcher.submit(now, info) {
        if let Command::Send { ticket, .. } = command {
            black_box(dispatcher.finish_attempt(now, ticket, AttemptOutcome::Answered));
        }
    }
}

/// A view of `entries` members.
pub fn view(entries: u32) -> View {
    let mut view = View::default();
    for ix in 0..entries {
        let value = serde_json::to_string(&member(ix)).expect("members are plain data");
        let key = format!("coord/members/entry-{ix}");
        view.apply_record(&Record { key, value, revision: u64::from(ix), lease: Some(1) });
    }
    view
}

/// Chooses the deciding entry of one of four services, as seen by the first entry.
pub fn choose_entry(view: &mut View, step: u32) -> routing::RouteTarget {
    let ranking = view.ranking(SERVICES[(step % 4) as usize]);
    route_unkeyed(&ranking, "entry-0", false, |_| true)
}

fn class(name: &str, service: &str) -> Class {
    Class {
        name: name.into(),
        service: service.into(),
        kind: WorkKind::Quick,
        idempotent: true,
        finish_within_ms: 1_000,
        capacity_instances: 10,
        may_lose_instances: 1,
        survive: FailureDomain::Zone,
    }
}

fn document(classes: u32, revision: u64) -> Document {
    let classes =
        (0..classes).map(|ix| class(&format!("class-{ix}"), &format!("service-{}", ix / 4)));
    Document {
        revision,
        writer: WriterId { entry: "entry-0".into(), incarnation: 1, sequence: 1 },
        declaration: Declaration {
            deployment: "d".to_owned(),
            classes: classes.collect(),
            ceilings: CeilingOptions::default(),
        },
    }
}

fn member(index: u32) -> Member {
    Member {
        entry: format!("entry-{index}").into(),
        zone: format!("zone-{}", index % 47).into(),
        peer_address: "127.0.0.1:40000".to_owned(),
        operator_address: "127.0.0.1:40001".to_owned(),
        incarnation: u64::from(index),
        in_force: std::iter::once(("d".to_owned(), 1)).collect(),
        is_stopping: false,
    }
}

fn job(index: u32) -> Job {
    Job {
        id: format!("job-{index}").into(),
        class: "nightly".into(),
        customer: format!("customer-{}", index % 170).into(),
        is_idempotent: true,
        declared: TaskResources { cores_milli: 1_000, memory_mb: 1_024, accelerators: 0 },
        payload: "{}".to_owned(),
        attempts: 0,
        state: JobState::Queued,
    }
}

struct Row {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
    target: f64,
}

impl Row {
    fn print(&self) {
        let line = Line::fit(&self.points);
        let points: Vec<String> =
            self.points.iter().map(|(x, y)| format!("{x:.0}: {}", figure(*y))).collect();
        println!(
            "| {} | {} | {} | {} + {} x | {:.0}% | {:.0} | {} |",
            self.name,
            self.unit,
            points.join(", "),
            figure(line.intercept),
            figure(line.slope),
            line.relative_error * 100.0,
            self.target,
            figure(line.at(self.target))
        );
    }
}

fn figure(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 {
        "0".to_owned()
    } else if size >= 1_000_000.0 {
        format!("{:.1}M", value / 1e6)
    } else if size >= 100.0 {
        format!("{value:.0}")
    } else if size >= 0.01 {
        format!("{value:.2}")
    } else {
        format!("{value:.1e}")
    }
}

fn capacity_rows() -> Vec<Row> {
    let mut plan = Vec::new();
    let mut replan = Vec::new();
    let mut memory = Vec::new();
    let mut wave = Vec::new();
    let mut seen = Vec::new();
    for ((instances, pools), zones) in FLEET_SIZES.into_iter().zip(POOLS).zip(ZONES) {
        let size = f64::from(instances);
        let (mut ready, bytes) = with_memory(|| {
            let mut fleet = fleet(instances, pools, zones);
            plan_from_nothing(&mut fleet, &mut Planner::new(Ceilings::default()));
            fleet
        });
        memory.push((size, bytes));
        let time = mean_time(3, |_| {
            let mut fresh = fleet(instances, pools, zones);
            black_box(plan_from_nothing(&mut fresh, &mut Planner::new(Ceilings::default())));
        });
        plan.push((size, time * 1e3));
        let mut planner = Planner::new(Ceilings::default());
        let time = mean_time(500, |step| {
            black_box(replan_after_failure(&mut ready, &mut planner, step));
        });
        replan.push((size, time * 1e6));
        seen.push((size, planner.candidates_examined as f64 / 500.0));
        let time = mean_time(3, |_| {
            let mut fleet = ready.clone();
            let mut wave = Wave::new(0..instances);
            black_box(wave.start_steps(&mut fleet));
        });
        wave.push((size, time * 1e3));
    }
    let target = 32_000.0;
    let row = |name, unit, points| Row { name, unit, points, target };
    vec![
        row("capacity: plan from nothing", "ms", plan),
        row("capacity: re-plan after a failure", "us", replan),
        row("capacity: candidates looked at", "count", seen),
        row("capacity: state", "bytes", memory),
        row("waves: one tick over the fleet", "ms", wave),
    ]
}

fn routing_rows() -> Vec<Row> {
    let mut route = Vec::new();
    let mut memory = Vec::new();
    for executors in EXECUTOR_COUNTS {
        let (mut all, bytes) = with_memory(|| dispatcher(executors));
        memory.push((f64::from(executors), bytes));
        let time = mean_time(20_000, |ticket| route_one(&mut all, u64::from(ticket)));
        route.push((f64::from(executors), time * 1e6));
    }
    let mut lookup = Vec::new();
    let mut keys_memory = Vec::new();
    for keys in KEY_COUNTS {
        let key = |ix: u32| RequestKey::from(format!("k/export/key-{ix}"));
        let (mut dedupe, bytes) = with_memory(|| {
            let mut dedupe = Dedupe::new("entry".into(), Duration::from_secs(300));
            (0..keys).for_each(|ix| {
                dedupe.begin(&key(ix), 1, u64::from(ix));
            });
            dedupe
        });
        keys_memory.push((f64::from(keys), bytes));
        let time = mean_time(20_000, |ix| {
            black_box(dedupe.begin(&key(ix % keys), 2, 0));
        });
        lookup.push((f64::from(keys), time * 1e6));
    }
    vec![
        Row { name: "request path: one decision", unit: "us", points: route, target: 5_000.0 },
        Row { name: "request path: state", unit: "bytes", points: memory, target: 5_000.0 },
        Row { name: "request path: key look-up", unit: "us", points: lookup, target: 300_000.0 },
        Row {
            name: "request path: keys kept",
            unit: "bytes",
            points: keys_memory,
            target: 300_000.0,
        },
    ]
}

fn coordination_rows() -> Vec<Row> {
    let mut apply = Vec::new();
    let mut place = Vec::new();
    let mut memory = Vec::new();
    let mut record_bytes = Vec::new();
    for entries in ENTRY_COUNTS {
        let changes: Vec<Change> = (0..entries)
            .map(|ix| {
                let value = serde_json::to_string(&member(ix)).expect("members are plain data");
                let key = format!("coord/members/entry-{ix}");
                Change::Put(Record { key, value, revision: u64::from(ix), lease: Some(1) })
            })
            .collect();
        let (mut view, bytes) = with_memory(|| {
            let mut view = View::default();
            changes.iter().for_each(|change| view.apply_change(change));
            view
        });
        memory.push((f64::from(entries), bytes));
        let time = mean_time(5_000, |ix| view.apply_change(&changes[(ix % entries) as usize]));
        apply.push((f64::from(entries), time * 1e6));
        let sent: usize =
            changes.iter().map(|c| serde_json::to_string(c).map_or(0, |t| t.len())).sum();
        record_bytes.push((f64::from(entries), sent as f64));
        let time = mean_time(20_000, |ix| {
            black_box(choose_entry(&mut view, ix));
        });
        place.push((f64::from(entries), time * 1e6));
    }
    let mut parse = Vec::new();
    let mut size = Vec::new();
    for classes in CLASS_COUNTS {
        let text = serde_json::to_string(&document(classes, 1)).expect("documents are plain data");
        size.push((f64::from(classes), text.len() as f64));
        let time = mean_time(200, |_| {
            black_box(serde_json::from_str::<Document>(&text).expect("it was written whole"));
        });
        parse.push((f64::from(classes), time * 1e6));
    }
    vec![
        Row { name: "request path: choice of the entry", unit: "us", points: place, target: 800.0 },
        Row {
            name: "membership: one change of the view",
            unit: "us",
            points: apply,
            target: 800.0,
        },
        Row { name: "membership: state", unit: "bytes", points: memory, target: 800.0 },
        Row {
            name: "membership: whole view on the wire",
            unit: "bytes",
            points: record_bytes,
            target: 800.0,
        },
        Row { name: "configuration: parse a document", unit: "us", points: parse, target: 460.0 },
        Row {
            name: "configuration: size of a document",
            unit: "bytes",
            points: size,
            target: 460.0,
        },
    ]
}

fn job_rows() -> Vec<Row> {
    let mut place = Vec::new();
    let mut memory = Vec::new();
    for workers in FLEET_SIZES {
        let mut queue = JobQueue::new(Duration::from_secs(5), Duration::from_secs(300));
        let ((), bytes) = with_memory(|| {
            for ix in 0..workers {
                queue.upsert_worker(WorkerInfo {
                    id: format!("worker-{ix}").into(),
                    zone: format!("zone-{}", ix % 47).into(),
                    rack: format!("rack-{}", ix / 4).into(),
                    capacity: TaskResources {
                        cores_milli: 64_000,
                        memory_mb: 262_144,
                        accelerators: 2,
                    },
                    is_leaving: false,
                });
            }
        });
        memory.push((f64::from(workers), bytes));
        let jobs = 2_000;
        let started_at = Instant::now();
        for ix in 0..jobs {
            queue.submit(job(ix));
            queue.on_write_queued(u64::from(ix), format!("job-{ix}").into());
        }
        black_box(queue.on_committed(Now::ZERO, u64::MAX));
        while queue.jobs().any(|job| job.state == JobState::Queued) {
            black_box(queue.tick(Now::ZERO));
        }
        let time = started_at.elapsed().as_secs_f64() / f64::from(jobs);
        place.push((f64::from(workers), time * 1e6));
    }
    let mut state = Vec::new();
    for jobs in JOB_COUNTS {
        let (queue, bytes) = with_memory(|| {
            let mut queue = JobQueue::new(Duration::from_secs(5), Duration::from_secs(300));
            (0..jobs).for_each(|ix| {
                queue.recover(Now::ZERO, job(ix));
            });
            queue
        });
        black_box(queue.jobs().count());
        state.push((f64::from(jobs), bytes));
    }
    vec![
        Row { name: "jobs: accept and place one", unit: "us", points: place, target: 32_000.0 },
        Row { name: "jobs: workers known", unit: "bytes", points: memory, target: 32_000.0 },
        Row { name: "jobs: jobs kept", unit: "bytes", points: state, target: 200_000.0 },
    ]
}

fn list_rows() -> Vec<Row> {
    let mut bytes = Vec::new();
    let mut parse = Vec::new();
    for instances in FLEET_SIZES {
        let list = InstanceList { instances: (0..instances).map(instance).collect() };
        let text = serde_json::to_string(&list).expect("lists are plain data");
        bytes.push((f64::from(instances), text.len() as f64));
        let time = mean_time(3, |_| {
            black_box(serde_json::from_str::<InstanceList>(&text).expect("it was written whole"));
        });
        parse.push((f64::from(instances), time * 1e3));
    }
    vec![
        Row { name: "instance list: parse", unit: "ms", points: parse, target: 32_000.0 },
        Row { name: "instance list: on the wire", unit: "bytes", points: bytes, target: 32_000.0 },
    ]
}

fn instance(index: u32) -> Instance {
    Instance {
        id: format!("worker-{index}").into(),
        role: InstanceRole::Worker,
        service: format!("service-{}", index % 115).into(),
        pool: format!("pool-{}", index % 115).into(),
        address: "10.0.0.1:9000".to_owned(),
        zone: format!("zone-{}", index % 47).into(),
        rack: format!("rack-{}", index / 4).into(),
        state: InstanceState::Live,
        last_order: String::new(),
        slots: 8,
        connections: 64,
        cores: 64,
        memory_gb: 256,
        accelerators: 1,
    }
}

/// Measures every slope and prints the table.
pub fn print() {
    println!(
        "| role: figure | unit | measured at | fit | error | size | at that size |\n|---|---|---|---|---|---|---|"
    );
    let rows = capacity_rows()
        .into_iter()
        .chain(routing_rows())
        .chain(coordination_rows())
        .chain(job_rows())
        .chain(list_rows());
    rows.for_each(|row| row.print());
}
