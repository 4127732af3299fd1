//! Client accounts of the model, and the bound on what each has running.

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

/// A start may bring an account this much above its cap, in percent, and one task more.
const OVERRUN_PERCENT: u64 = 10;

#[derive(Debug)]
pub struct Accounts {
    caps: BTreeMap<Arc<str>, Cap>,
    /// Caps that were in force before, with the time until which they may count.
    former: Vec<(Duration, Arc<str>, Cap)>,
    /// A cap that has fallen may count for this long: until then an older configuration may be in force.
    pub former_counts_for: Duration,
    of_job: BTreeMap<Arc<str>, Arc<str>>,
    /// Accounts of which a task has started in this step.
    started: BTreeSet<Arc<str>>,
}

impl Default for Accounts {
    fn default() -> Self {
        Self {
            caps: BTreeMap::new(),
            former: Vec::new(),
            former_counts_for: Duration::from_secs(3),
            of_job: BTreeMap::new(),
            started: BTreeSet::new(),
        }
    }
}

/// A cap on processor alone.
pub fn cores(most: u64) -> Cap {
    Cap { cpu_millicores: Some(most * 1000), ..Cap::default() }
}

impl Accounts {
    pub fn settings(&self) -> Vec<Account> {
        let account =
            |(name, cap): (&Arc<str>, &Cap)| Account { name: name.clone(), weight: 1.0, cap: *cap };
        self.caps.iter().map(account).collect()
    }

    /// Jobs that are handed in from now on under this id are the account's.
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
    /// A configuration with another cap is in force from now on.
    pub fn set_cap(&mut self, account: &str, cap: Cap) {
        let until = self.now + self.accounts.former_counts_for;
        if let Some(former) = self.accounts.caps.insert(account.into(), cap) {
            self.accounts.former.push((until, account.into(), former));
        }
        self.configure();
    }

    /// What runs of an account, on all executors that live.
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

    /// The largest task of an account.
    fn largest_of(&self, account: &str) -> Resources {
        let mut largest = Resources::default();
        for (id, submission) in &self.submissions {
            if self.accounts.of_job(id).as_deref() == Some(account) {
                submission.spec.steps.iter().for_each(|step| largest.raise_to(&step.need));
            }
        }
        largest
    }

    /// A start must not bring an account above its cap.
    pub(super) fn check_caps(&mut self) {
        let now = self.now;
        self.accounts.former.retain(|(until, ..)| now < *until);
        for account in std::mem::take(&mut self.accounts.started) {
            let Some(cap) = self.accounts.caps.get(&account) else { continue };
            let former = self.accounts.former.iter().filter(|(_, name, _)| *name == account);
            let mut caps = former.map(|(_, _, cap)| *cap).chain([*cap]);
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
