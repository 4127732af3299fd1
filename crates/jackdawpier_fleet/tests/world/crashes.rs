//! Simulates tasks that crash every executor that starts them, and checks the bound on their starts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jackdawpier_fleet::spec::TaskKey;

use super::World;

/// Number of crashes after which the further starts of such a task are counted.
const COUNTED_CRASHES: usize = 3;
/// Further starts after these crashes must stay below this number.
const FURTHER_STARTS_LIMIT: usize = 3;
/// Minimum number of crashes during one of its tasks before a job may be given up for crashes.
const MIN_CRASHES: usize = 2;

#[derive(Debug)]
pub struct Crashes {
    /// Jobs whose first task crashes its executor.
    pub crashing_jobs: Vec<Arc<str>>,
    /// Time between the start of such a task and the crash.
    pub crash_after: Duration,
    /// Time after which the machine is back.
    pub restart_after: Duration,
    /// Number of executor crashes, whatever the cause.
    pub crashed_executors: usize,
    /// Times of the executor crashes during each task, whatever the cause.
    by_task: BTreeMap<TaskKey, Vec<Duration>>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            crashing_jobs: Vec::new(),
            crash_after: Duration::from_millis(10),
            restart_after: Duration::from_secs(2),
            crashed_executors: 0,
            by_task: BTreeMap::new(),
        }
    }
}

impl Crashes {
    pub(super) fn note<'a>(&mut self, now: Duration, tasks: impl Iterator<Item = &'a TaskKey>) {
        let tasks: Vec<&TaskKey> = tasks.collect();
        self.crashed_executors += 1;
        if std::env::var("TRACE").is_ok() {
            println!("{now:?} crash under {tasks:?}");
        }
        tasks.into_iter().for_each(|task| self.by_task.entry(task.clone()).or_default().push(now));
    }

    /// Returns whether a task crashes every executor that starts it.
    pub fn is_crashing_task(&self, task: &TaskKey) -> bool {
        self.crashing_jobs.contains(&task.job) && (task.step, task.index) == (0, 0)
    }

    /// Returns the number of executor crashes during the task of a job that has most of them.
    pub fn max_crashes_of(&self, job: &str) -> usize {
        let of_job = self.by_task.iter().filter(|(task, _)| &*task.job == job);
        of_job.map(|(_, crashes)| crashes.len()).max().unwrap_or(0)
    }

    /// Returns whether a job has enough crashes to be given up.
    pub fn justifies_giving_up(&self, job: &str) -> bool {
        self.max_crashes_of(job) >= MIN_CRASHES
    }

    pub(super) fn check(&self, started: &BTreeMap<TaskKey, Vec<Duration>>) {
        for (task, crashes) in self.by_task.iter().filter(|(task, _)| self.is_crashing_task(task)) {
            let Some(third) = crashes.get(COUNTED_CRASHES - 1) else { continue };
            let later = started.get(task).into_iter().flatten().filter(|at| *at > third).count();
            assert!(
                later < FURTHER_STARTS_LIMIT,
                "{task} was started {later} times after three crashes"
            );
        }
    }
}

impl World {
    pub(super) fn apply_task_crashes(&mut self) {
        let after = self.crashes.crash_after;
        let crashed: Vec<Arc<str>> = self
            .machines
            .iter()
            .filter(|(_, machine)| {
                let executor = machine.executor.as_ref().and_then(|id| self.executors.get(id));
                executor.is_some_and(|one| {
                    one.is_alive()
                        && one.running().any(|task| {
                            self.crashes.is_crashing_task(task) && one.has_run_for(task, after)
                        })
                })
            })
            .map(|(id, _)| id.clone())
            .collect();
        let restart_after = self.crashes.restart_after;
        crashed.iter().for_each(|machine| self.crash(machine, Some(restart_after)));
    }
}
