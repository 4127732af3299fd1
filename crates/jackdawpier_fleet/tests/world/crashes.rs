//! Tasks that crash each executor that starts them, and the bound on how often they may be started.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jackdawpier_fleet::spec::TaskKey;

use super::World;

/// After this many executors have crashed under such a task ...
const CRASHES: usize = 3;
/// ... it isn't started this many times more.
const STARTS_MORE: usize = 3;
/// A job isn't given up for crashes before this many under one of its tasks.
const FEWEST_CRASHES: usize = 2;

#[derive(Debug)]
pub struct Crashes {
    /// Jobs whose first task crashes its executor.
    pub jobs: Vec<Arc<str>>,
    /// That long after its start.
    pub after: Duration,
    /// The machine comes back after this time.
    pub back_after: Duration,
    /// Executors that have crashed, whatever the cause.
    pub executors: usize,
    /// When executors crashed under each task, whatever the cause.
    under: BTreeMap<TaskKey, Vec<Duration>>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            jobs: Vec::new(),
            after: Duration::from_millis(10),
            back_after: Duration::from_secs(2),
            executors: 0,
            under: BTreeMap::new(),
        }
    }
}

impl Crashes {
    pub(super) fn note<'a>(&mut self, now: Duration, tasks: impl Iterator<Item = &'a TaskKey>) {
        let tasks: Vec<&TaskKey> = tasks.collect();
        self.executors += 1;
        if std::env::var("TRACE").is_ok() {
            println!("{now:?} crash under {tasks:?}");
        }
        tasks.into_iter().for_each(|task| self.under.entry(task.clone()).or_default().push(now));
    }

    /// Whether a task crashes each executor that starts it.
    pub fn is_cause(&self, task: &TaskKey) -> bool {
        self.jobs.contains(&task.job) && (task.step, task.index) == (0, 0)
    }

    /// Executors that crashed while they ran a task of a job, for the task that had most.
    pub fn most_under(&self, job: &str) -> usize {
        let of_job = self.under.iter().filter(|(task, _)| &*task.job == job);
        of_job.map(|(_, crashes)| crashes.len()).max().unwrap_or(0)
    }

    /// Whether a job may have been given up for its crashes.
    pub fn excuse(&self, job: &str) -> bool {
        self.most_under(job) >= FEWEST_CRASHES
    }

    pub(super) fn check(&self, started: &BTreeMap<TaskKey, Vec<Duration>>) {
        for (task, crashes) in self.under.iter().filter(|(task, _)| self.is_cause(task)) {
            let Some(third) = crashes.get(CRASHES - 1) else { continue };
            let later = started.get(task).into_iter().flatten().filter(|at| *at > third).count();
            assert!(later < STARTS_MORE, "{task} was started {later} times after three crashes");
        }
    }
}

impl World {
    pub(super) fn crash_by_tasks(&mut self) {
        let after = self.crashes.after;
        let hit: Vec<Arc<str>> = self
            .machines
            .iter()
            .filter(|(_, machine)| {
                let executor = machine.executor.as_ref().and_then(|id| self.executors.get(id));
                executor.is_some_and(|one| {
                    one.is_alive()
                        && one
                            .running()
                            .any(|task| self.crashes.is_cause(task) && one.has_run_for(task, after))
                })
            })
            .map(|(id, _)| id.clone())
            .collect();
        let back_after = self.crashes.back_after;
        hit.iter().for_each(|machine| self.crash(machine, Some(back_after)));
    }
}
