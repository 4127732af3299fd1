//! Entries on an in-memory platform, and helpers to submit jobs and inspect the store.

#![allow(dead_code, unreachable_pub, unused_imports, reason = "each test file uses a part of it")]

mod entry;
mod fake;

use std::{future::Future, rc::Rc, sync::Arc, time::Duration};

use jackdawpier_entry::{
    acceptance::{Intake, write_jobs},
    clock,
    configuration::ActiveConfiguration,
    events::Events,
    keys,
    owner::{FleetHandle, compete_for_ownership},
    settings::EntrySettings,
    speed::MachineSpeed,
    tombstones::Tombstones,
};
use jackdawpier_fleet::{
    record::{JobOutcome, JobRecord},
    spec::{JobSpec, Resources, StepSpec, Submission},
};

pub use entry::{Entry, EntryOptions};
pub use fake::{
    CONFIGURATION, EXECUTOR, Fake, MAX_BODY_BYTES, MAX_VALUE_BYTES, QUEUE, UNREADABLE, WriteFault,
    configuration,
};

pub fn submission() -> Submission {
    let step = StepSpec {
        count: 2,
        need: Resources { cpu_millicores: 1000, memory_mb: 100, gpus: 0 },
        estimate: Duration::from_millis(100),
        ..StepSpec::default()
    };
    let spec = JobSpec { payload: Arc::from("payload"), steps: vec![step], schedule: None };
    Submission {
        queue: QUEUE.into(),
        settings: None,
        account: None,
        accepted_ms: clock::wall_ms(),
        spec,
    }
}

pub fn settings(entry: &str) -> EntrySettings {
    EntrySettings {
        entry: entry.to_owned(),
        cpu_share: 1.0,
        link_mbps: 1000.0,
        memory_mb: 160,
        callers: ([127, 0, 0, 1], 0).into(),
        ready: ([127, 0, 0, 1], 0).into(),
        metrics: None,
        shutdown_grace: Duration::from_secs(1),
        max_lease: Duration::from_secs(5),
        stop_timeout: Duration::from_millis(200),
        maintenance_duration: Duration::from_secs(2),
        remote_factor: 1.0,
        order_lease: Duration::from_secs(3),
        min_lease_ttl: Duration::from_secs(1),
        max_value_bytes: MAX_VALUE_BYTES,
        revocation_deadline: None,
        job_retention: Duration::from_secs(120),
    }
}

/// Runs a test on a single-threaded runtime, as an entry runs.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be created");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Starts the intake of jobs with the loop that writes them.
pub fn start_intake(fake: &Fake) -> Intake {
    let intake = Intake::new(tombstones());
    tokio::task::spawn_local(write_jobs(fake.clone(), intake.clone(), Events::new("a")));
    intake
}

/// Returns a writer of tombstones.
pub fn tombstones() -> Tombstones {
    Tombstones::new(Duration::from_secs(120))
}

/// Starts an entry that owns a fleet of one executor as soon as the ownership is free.
pub fn start_owner(fake: &Fake, entry: &str) -> (FleetHandle, tokio::task::JoinHandle<()>) {
    start_owner_with_speed(fake, entry, steady_speed())
}

/// Returns the speed of a machine that always runs at full speed.
pub fn steady_speed() -> MachineSpeed {
    MachineSpeed::new(|| Duration::from_micros(10))
}

/// As [`start_owner`], on a machine with this speed.
pub fn start_owner_with_speed(
    fake: &Fake,
    entry: &str,
    speed: MachineSpeed,
) -> (FleetHandle, tokio::task::JoinHandle<()>) {
    fake.put("executors/executor-1", b"");
    let active = ActiveConfiguration::default();
    active.adopt_if_newer(configuration(1), 1);
    let (handle, events) = (FleetHandle::default(), Events::new(entry));
    let (settings, incarnation) = (Rc::new(settings(entry)), "incarnation".to_owned());
    let owning = compete_for_ownership(
        fake.clone(),
        settings,
        active,
        handle.clone(),
        events,
        incarnation,
        speed,
    );
    (handle, tokio::task::spawn_local(owning))
}

/// Waits for a condition for at most six seconds and returns whether it became true.
pub async fn wait_until(mut condition: impl FnMut() -> bool) -> bool {
    for _ in 0..600 {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

/// Submits a job, as an entry would.
pub fn put_job(fake: &Fake, id: &str) {
    let value = serde_json::to_vec(&submission()).expect("a submission can be written as JSON");
    fake.put(&keys::submission(id), &value);
}

/// Returns the durable outcome of a job.
pub fn outcome(fake: &Fake, id: &str) -> Option<JobOutcome> {
    let value = fake.value(&keys::record(id))?;
    serde_json::from_slice::<JobRecord>(&value).expect("the owner writes readable records").outcome
}
