//! Case "restart": the process that has just written the end of a job to the store is killed.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    entries::Entries,
    executor::StepPlan,
    setup::{ClientJob, Outcome, ServiceSpec, World, state_of, submit, wait_for_state},
};

const SERVICE: &str = "reports";
/// A service with machines of another kind and traffic of its own.
const OTHER_SERVICE: &str = "views";
const EXECUTORS: usize = 3;
const CAPACITY: u64 = 32_000;
/// A killed process is started again after this time.
const RESTART_DELAY: Duration = Duration::from_millis(1000);
/// `finish_s`, and the time for which a job must have nothing running.
const FINISH: Duration = Duration::from_secs(14);
const IDLE_TIME: Duration = Duration::from_secs(3);
/// The job whose end is written when the process is killed.
const LAST_JOB: &str = "00000000000000aa";

pub fn play(world: &World, has_trouble: bool) -> Outcome {
    let services = [SERVICE, OTHER_SERVICE];
    world.configure(&services.map(|name| ServiceSpec { name, advice: None }));
    for number in 0..EXECUTORS {
        for (service, kind) in services.into_iter().zip(["a", "b"]) {
            let id = format!("i-{kind}{number:07x}");
            if world.executors.add(&id, service, kind, CAPACITY).is_err() {
                return Outcome::NotRun("an executor can't start".to_owned());
            }
        }
    }
    let platforms: Result<Vec<_>, _> =
        (0..3).map(|number| world.platform_for(number, None)).collect();
    let Ok(platforms) = platforms else { return Outcome::NotRun("no ports".to_owned()) };
    let entries = match Entries::start(world.record.clone(), &world.root, &platforms) {
        Ok(entries) => Arc::new(entries),
        Err(error) => return Outcome::NotRun(error.to_string()),
    };
    let outcome = play_with(world, &entries, has_trouble);
    entries.end();
    outcome
}

fn play_with(world: &World, entries: &Arc<Entries>, has_trouble: bool) -> Outcome {
    if !entries.wait_until_ready(Duration::from_secs(10)) {
        return Outcome::NotRun("the processes aren't ready".to_owned());
    }
    let killed = kill_after_end(world, entries, has_trouble);
    // Other clients' jobs, as on any day.
    let is_over = Arc::new(AtomicBool::new(false));
    thread::scope(|scope| {
        scope.spawn(|| send_other_jobs(world, entries, &is_over));
        let outcome = play_jobs(world, entries, has_trouble, &killed, &is_over);
        is_over.store(true, Ordering::SeqCst);
        outcome
    })
}

/// Kills the process that writes the end of the last job right after the write, and starts it again.
fn kill_after_end(
    world: &World,
    entries: &Arc<Entries>,
    has_trouble: bool,
) -> Arc<OnceLock<String>> {
    let killed: Arc<OnceLock<String>> = Arc::default();
    if !has_trouble {
        return killed;
    }
    let (entries, record, noted) = (entries.clone(), world.record.clone(), killed.clone());
    world.store.on_commit(move |committed| {
        let ends_job = |(key, value): &(String, String)| {
            key.ends_with(LAST_JOB) && value.contains("\"Completed\"")
        };
        if noted.get().is_some() || !committed.puts.iter().any(ends_job) {
            return;
        }
        let number = committed.sender;
        entries.kill(number);
        let name = entries.all[number].name.clone();
        record.say(&format!("{name} is killed right after its write to the store"));
        let _ = noted.set(name);
        let entries = entries.clone();
        thread::spawn(move || {
            thread::sleep(RESTART_DELAY);
            let _ = entries.start_process(number);
        });
    });
    killed
}

fn send_other_jobs(world: &World, entries: &Entries, is_over: &AtomicBool) {
    let plan = StepPlan {
        count: 2,
        cpu: 1000,
        work: Duration::from_millis(400),
        is_gang: false,
        most_per_server: 0,
        failing_runs: 0,
    };
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let job = ClientJob { id: format!("{:016x}", 0xb000 + number), queue: OTHER_SERVICE };
        submit(world, entries, &job, &plan);
        thread::sleep(Duration::from_millis(60));
    }
}

fn play_jobs(
    world: &World,
    entries: &Entries,
    has_trouble: bool,
    killed: &OnceLock<String>,
    is_over: &AtomicBool,
) -> Outcome {
    thread::sleep(Duration::from_secs(2));
    // A gang with one work item an executor. Its first run fails by its own fault.
    let gang = StepPlan {
        count: EXECUTORS,
        cpu: 5000,
        work: Duration::from_millis(1500),
        is_gang: true,
        most_per_server: 1,
        failing_runs: 1,
    };
    let last = ClientJob { id: LAST_JOB.to_owned(), queue: SERVICE };
    if !submit(world, entries, &last, &gang) {
        return Outcome::NotRun("the gang wasn't accepted".to_owned());
    }
    if !wait_for_state(entries, &last, "completed", Duration::from_secs(15)) {
        return Outcome::NotRun("the gang wasn't completed".to_owned());
    }
    if has_trouble && killed.get().is_none() {
        return Outcome::NotRun("no process was killed".to_owned());
    }
    // The machines are back and calm for longer than `stabilityMs` before the next jobs come.
    thread::sleep(Duration::from_secs(6));
    let gang = StepPlan { failing_runs: 0, ..gang };
    let single = StepPlan { count: 1, is_gang: false, most_per_server: 0, ..gang.clone() };
    let mut jobs = Vec::new();
    for (number, plan) in [&gang, &single, &single].into_iter().enumerate() {
        let job = ClientJob { id: format!("{:016x}", 0xc0 + number), queue: SERVICE };
        if !submit(world, entries, &job, plan) {
            return Outcome::NotRun("a job wasn't accepted".to_owned());
        }
        jobs.push(job);
        thread::sleep(Duration::from_millis(500));
    }
    is_over.store(true, Ordering::SeqCst);
    world.record.say("the traffic ends");
    thread::sleep(FINISH);
    check(world, entries, &jobs)
}

/// LOST: after `finish_s`, for 3 s, a job has nothing running while its work item's turn has come and there is
/// capacity for it twice over.
fn check(world: &World, entries: &Entries, jobs: &[ClientJob]) -> Outcome {
    let executors = world.executors.of_service(SERVICE);
    let began_at = Instant::now();
    let mut waiting: Vec<&ClientJob> = jobs.iter().collect();
    while began_at.elapsed() < IDLE_TIME {
        let is_idle = executors.iter().all(|one| one.is_up() && one.is_idle());
        waiting.retain(|job| is_idle && state_of(entries, job) != "completed");
        thread::sleep(Duration::from_millis(250));
    }
    for job in jobs {
        world.record.say(&format!("job {} is shown as {}", job.id, state_of(entries, job)));
    }
    if waiting.is_empty() {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "LOST: {} accepted jobs have had nothing running for over {} s, while all {} executors of \
         their service are up, idle and ready",
        waiting.len(),
        (FINISH + IDLE_TIME).as_secs(),
        executors.len(),
    ))
}
