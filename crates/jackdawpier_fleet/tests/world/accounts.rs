//! Client accounts of the model, and the check that each stays within its cap.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use jackdawpier_fleet::{
    account::{Account, Cap},
    spec::{Resources, TaskKey},
};

use super::{World, executor::FakeExecutor};

/// Maximum overrun of an account's cap by a start, in percent; one more task is tolerated.
const OVERRUN_PERCENT: u64 = 10;

#[derive(Debug)]
pub struct Accounts {
    caps: BTreeMap<Arc<str>, Cap>,
    /// Previous caps, each with the time until which it may be in force.
    previous_caps: Vec<(Duration, Arc<str>, Cap)>,
    /// Time for which a previous cap may count, since an older configuration may still be in force.
    pub previous_counts_for: Duration,
    of_job: BTreeMap<Arc<str>, Arc<str>>,
    /// Accounts with a task that started in this step.
    started: BTreeSet<Arc<str>>,
}

impl Default for Accounts {
    fn default() -> Self {
        Self {
            caps: BTreeMap::new(),
            previous_caps: Vec::new(),
            previous_counts_for: Duration::from_secs(3),
            of_job: BTreeMap::new(),
            started: BTreeSet::new(),
        }
    }
}

/// Returns a cap on CPU alone.
pub fn cores(most: u64) -> Cap {
    Cap { cpu_millicores: Some(most * 1000), ..Cap::default() }
}

impl Accounts {
    pub fn settings(&self) -> Vec<Account> {
        let account =
            |(name, cap): (&Arc<str>, &Cap)| Account { name: name.clone(), weight: 1.0, cap: *cap };
        self.caps.iter().map(account).collect()
    }

    /// Assigns jobs that are submitted from now on under this id to an account.
    pub fn assign_job(&mut self, job: &str, account: &str) {
        self.of_job.insert(job.into(), account.into());
    }

    pub fn of_job(&self, job: &str) -> Option<Arc<str>> {
        self.of_job.get(job).cloned()
    }

    pub(super) fn note_start(&mut self, task: &TaskKey) {
        self.started.extend(self.of_job(&task.job));
    }
}

impl World {
    /// Applies a configuration with a new cap.
    pub fn set_cap(&mut self, account: &str, cap: Cap) {
        let until = self.now + self.accounts.previous_counts_for;
        if let Some(previous) = self.accounts.caps.insert(account.into(), cap) {
            self.accounts.previous_caps.push((until, account.into(), previous));
        }
        self.configure();
    }

    /// Returns the resources in use by an account on all live executors.
    pub fn used_by(&self, account: &str) -> Resources {
        let mut used = Resources::default();
        let running = self.executors.values().flat_map(FakeExecutor::running);
        running
            .filter(|task| self.accounts.of_job(&task.job).as_deref() == Some(account))
            .for_each(|task| used.add(&self.need_of(task)));
        used
    }

    fn need_of(&self, task: &TaskKey) -> Resources {
        self.submissions[&task.job].spec.steps[task.step as usize].need
    }

    /// Returns the largest amount of each resource that a task of an account requests.
    fn largest_of(&self, account: &str) -> Resources {
        let mut largest = Resources::default();
        for (id, submission) in &self.submissions {
            if self.accounts.of_job(id).as_deref() == Some(account) {
                submission.spec.steps.iter().for_each(|step| largest.raise_to(&step.need));
            }
        }
        largest
    }

    /// Asserts that no start brings an account above its cap.
    pub(super) fn check_caps(&mut self) {
        let now = self.now;
        self.accounts.previous_caps.retain(|(until, ..)| now < *until);
        for account in std::mem::take(&mut self.accounts.started) {
            let Some(cap) = self.accounts.caps.get(&account) else { continue };
            let previous_caps =
                self.accounts.previous_caps.iter().filter(|(_, name, _)| *name == account);
            let mut caps = previous_caps.map(|(_, _, cap)| *cap).chain([*cap]);
            let (used, largest) = (self.used_by(&account), self.largest_of(&account));
            let over = used.minus(&largest);
            let is_within = |cap: Cap| {
                let stretched = |most: u64| most * (100 + OVERRUN_PERCENT) / 100;
                Cap {
                    cpu_millicores: cap.cpu_millicores.map(stretched),
                    memory_mb: cap.memory_mb.map(stretched),
                    gpus: cap.gpus.map(stretched),
                }
                .covers(&over)
            };
            assert!(caps.any(is_within), "a start brings {account} to {used:?} at {now:?}");
        }
    }
}
