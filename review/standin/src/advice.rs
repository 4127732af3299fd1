//! Case "advice": some of the executors that the advisor allows crash for good, and the others that it allows
//! remain.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    cloud::Advisor,
    entries::Entries,
    executor::{Executor, StepPlan},
    setup::{ClientJob, Outcome, ServiceSpec, World, state_of, submit},
};

const SERVICE: &str = "reports";
const EXECUTORS: usize = 60;
const CAPACITY: u64 = 32_000;
/// The executors that the queue's policy allows, by their place in the order of the ids.
const ALLOWED: [usize; 10] = [4, 17, 52, 53, 54, 55, 56, 57, 58, 59];
/// The executors that crash for good: 4 of 60.
const CRASHING: [usize; 4] = [4, 11, 17, 22];
/// `finish_s`, and the time for which a job must have nothing running.
const FINISH: Duration = Duration::from_secs(14);
const IDLE_TIME: Duration = Duration::from_secs(3);

pub fn play(world: &World, has_trouble: bool) -> Outcome {
    let advice = json!({ "decisionMs": 20, "perWorkerMs": 1, "validityMs": 3000 });
    world.configure(&[ServiceSpec { name: SERVICE, advice: Some(advice.clone()) }]);
    for number in 0..EXECUTORS {
        if world.executors.add(&id(number), SERVICE, "a", CAPACITY).is_err() {
            return Outcome::NotRun("an executor can't start".to_owned());
        }
    }
    world.executors.ticketed.lock().unwrap().push(SERVICE.to_owned());
    let allowed = ALLOWED.iter().map(|number| id(*number)).collect();
    let advisor = Advisor::new(world.record.clone(), world.executors.clone(), allowed, &advice);
    let platforms: Result<Vec<_>, _> =
        (0..3).map(|number| world.platform_for(number, Some(&advisor))).collect();
    let Ok(platforms) = platforms else { return Outcome::NotRun("no ports".to_owned()) };
    let entries = match Entries::start(world.record.clone(), &world.root, &platforms) {
        Ok(entries) => entries,
        Err(error) => return Outcome::NotRun(error.to_string()),
    };
    let outcome = play_with(world, &entries, has_trouble);
    entries.end();
    outcome
}

fn id(number: usize) -> String {
    format!("i-{:08x}", 0x1000 + number * 16)
}

fn play_with(world: &World, entries: &Entries, has_trouble: bool) -> Outcome {
    if !entries.wait_until_ready(Duration::from_secs(10)) {
        return Outcome::NotRun("the processes aren't ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let plan = StepPlan {
        count: 2,
        cpu: 2000,
        work: Duration::from_millis(500),
        is_gang: false,
        most_per_server: 0,
        failing_runs: 0,
    };
    let mut jobs = Vec::new();
    for number in 0..16 {
        if number == 6 && has_trouble {
            let executors = world.executors.of_service(SERVICE);
            for place in CRASHING {
                let crashing = executors.iter().find(|one| one.id == id(place));
                crashing.into_iter().for_each(|one| world.executors.crash(one));
            }
        }
        let job = ClientJob { id: format!("{:016x}", 0xa0 + number), queue: SERVICE };
        if !submit(world, entries, &job, &plan) {
            return Outcome::NotRun("a job wasn't accepted".to_owned());
        }
        jobs.push(job);
        thread::sleep(Duration::from_millis(700));
    }
    world.record.say("the traffic ends");
    thread::sleep(FINISH);
    check(world, entries, &jobs)
}

/// LOST: after `finish_s`, for 3 s, a job has nothing running while its work item's turn has come and there is
/// capacity for it twice over, here on executors that the advisor allows.
fn check(world: &World, entries: &Entries, jobs: &[ClientJob]) -> Outcome {
    let executors = world.executors.of_service(SERVICE);
    let is_allowed = |one: &&Arc<Executor>| ALLOWED.iter().any(|number| id(*number) == one.id);
    let allowed: Vec<&Arc<Executor>> =
        executors.iter().filter(is_allowed).filter(|one| one.is_up()).collect();
    let mut waiting: Vec<&ClientJob> = jobs.iter().collect();
    let began_at = Instant::now();
    while began_at.elapsed() < IDLE_TIME {
        let is_idle = allowed.iter().all(|one| one.is_idle());
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
        "LOST: {} accepted jobs have had nothing running for over {} s, while {} executors that the \
         advisor allows are up, idle and ready",
        waiting.len(),
        (FINISH + IDLE_TIME).as_secs(),
        allowed.len(),
    ))
}
