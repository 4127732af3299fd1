//! Guards against suspects that wait for an isolated start as long as a burst lasts.
//!
//! A suspect whose job is late was ranked behind all work that can be on time, and that work took each gap
//! as it opened: in this burst 98 suspects waited at its end, all of late jobs, the longest for 5 s.

mod world;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use jackdawpier_fleet::{
    crash::isolation_time,
    record::{JobOutcome, TaskStatus},
    spec::{Resources, StepSpec},
};
use world::{STEP, World, job, step};

const EXECUTORS: usize = 100;
const JOBS_PER_S: usize = 50;
/// One and a half times what the executors can run.
const MEAN_TASKS_PER_JOB: usize = 29;
const BURST: Duration = Duration::from_secs(10);
/// One of so many jobs crashes its executors.
const CRASHING_EVERY: usize = 20;
/// A suspect starts in isolation within this time of the crash.
const START_LIMIT: Duration = Duration::from_secs(1);
/// All jobs are over within this time of the burst, of which half as much again as fits has arrived.
const BACKLOG_LIMIT: Duration = Duration::from_secs(10);

/// The waiting suspects of jobs that don't crash their executors.
#[derive(Default)]
struct Suspects {
    since: BTreeMap<(Arc<str>, usize), Duration>,
    longest_wait: Duration,
    total: usize,
}

impl Suspects {
    fn observe(&mut self, world: &World) {
        let is_crashing = |id: &Arc<str>| world.crashes.crashing_jobs.contains(id);
        let mut waiting = BTreeSet::new();
        for (id, (record, _)) in world.store.iter().filter(|(id, _)| !is_crashing(id)) {
            for (index, task) in record.tasks.iter().enumerate() {
                let is_suspect = isolation_time(&task.crashes, false).is_some();
                if is_suspect && task.status == TaskStatus::Waiting {
                    waiting.insert((id.clone(), index));
                }
            }
        }
        self.since.retain(|suspect, _| waiting.contains(suspect));
        for suspect in waiting {
            let since = *self.since.entry(suspect).or_insert_with(|| {
                self.total += 1;
                world.now
            });
            self.longest_wait = self.longest_wait.max(world.now.saturating_sub(since));
        }
    }
}

fn quick_step(number: usize) -> StepSpec {
    // Coprime factors spread the sizes evenly.
    let tasks = MEAN_TASKS_PER_JOB / 2 + number * 17 % MEAN_TASKS_PER_JOB;
    StepSpec {
        need: Resources { cpu_millicores: 800, memory_mb: 1000, gpus: 0 },
        ..step(tasks as u32, 1, 1000)
    }
}

#[test]
fn lasting_burst() {
    let mut world = World::new(&["view"], EXECUTORS);
    // Between the waits that production uses for idle executors and for a few busy ones.
    world.hold_wait = Duration::from_millis(700);
    let mut suspects = Suspects::default();
    let mut jobs = Vec::new();
    let begun_at = world.now;
    while world.now < begun_at + BURST {
        let due = world.now.saturating_sub(begun_at).as_millis() as usize * JOBS_PER_S / 1000;
        while jobs.len() <= due {
            let id: Arc<str> = format!("job-{}", jobs.len()).into();
            if jobs.len() % CRASHING_EVERY == 7 {
                world.crashes.crashing_jobs.push(id.clone());
            }
            world.submit(&id, "q-view", job(vec![quick_step(jobs.len())]));
            jobs.push(id);
        }
        world.run_for(STEP);
        suspects.observe(&world);
        let isolations = world.fleet.isolations(world.now);
        assert!(isolations <= EXECUTORS / 5, "{isolations} executors are kept from other work");
    }
    let over_by = world.now + BACKLOG_LIMIT;
    for id in jobs {
        let is_crashing = world.crashes.crashing_jobs.contains(&id);
        let expected = if is_crashing { JobOutcome::Failed } else { JobOutcome::Completed };
        let outcome = world.run_until_over(&id, over_by.saturating_sub(world.now));
        assert_eq!(outcome, Some(expected), "{id}");
        assert!(!is_crashing || world.crashes.max_crashes_of(&id) == 2, "{id}");
    }
    assert!(suspects.total > 50, "{} suspects", suspects.total);
    let longest_wait = suspects.longest_wait;
    assert!(longest_wait <= START_LIMIT, "a suspect has waited for {longest_wait:?}");
}
