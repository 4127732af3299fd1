//! Client accounts: the resource cap and the current usage of each.
//!
//! The cap protects all other accounts, so usage includes everything that may be running: placements whose
//! order hasn't been sent, orders without an answer, runs that are being stopped. See
//! `docs/design/accounts.md`.

use std::collections::BTreeMap;

use jackdawpier_kernel::{Now, ids::AccountName};

use crate::spec::Resources;

/// Maximum resources that an account may use at once over all executors.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cap {
    /// CPU, in thousandths of a core; `None` for no limit.
    pub cpu_millicores: Option<u64>,
    /// Memory in megabytes; `None` for no limit.
    pub memory_mb: Option<u64>,
    /// Accelerators; `None` for no limit.
    pub gpus: Option<u64>,
}

impl Cap {
    /// Returns whether `amount` is within the cap.
    pub fn covers(&self, amount: &Resources) -> bool {
        let is_within = |limit: Option<u64>, amount: u64| limit.is_none_or(|limit| amount <= limit);
        is_within(self.cpu_millicores, amount.cpu_millicores)
            && is_within(self.memory_mb, amount.memory_mb)
            && is_within(self.gpus, amount.gpus)
    }
}

/// Settings of a client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountName,
    /// Share under overload: jobs per second that the account may expect to be served in time.
    pub weight: f64,
    /// Maximum resources in use at once.
    pub cap: Cap,
}

/// Tracks the cap and the usage of each account.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    settings: BTreeMap<AccountName, Account>,
    used: BTreeMap<AccountName, Resources>,
    /// Usage that is counted until a fixed time, since the end of its run won't be reported.
    expiring: Vec<(Now, AccountName, Resources)>,
}

impl Accounts {
    /// Applies the configuration. Removed accounts keep their last settings for the jobs that they have
    /// already submitted.
    pub(crate) fn configure(&mut self, accounts: Vec<Account>) {
        self.settings.extend(accounts.into_iter().map(|account| (account.name.clone(), account)));
    }

    /// Adds the resources of a run that may start.
    pub(crate) fn add_usage(&mut self, account: Option<&AccountName>, need: &Resources) {
        let Some(account) = account else { return };
        if let Some(used) = self.used.get_mut(account) {
            used.add(need);
        } else {
            self.used.insert(account.clone(), *need);
        }
    }

    /// Subtracts the resources of a run that has certainly ended.
    pub(crate) fn subtract_usage(&mut self, account: Option<&AccountName>, need: &Resources) {
        let used = account.and_then(|account| self.used.get_mut(account));
        if let Some(used) = used {
            used.subtract(need);
        }
    }

    /// Counts a run whose end won't be reported until `until`, when it has ended at the latest.
    pub(crate) fn add_usage_until(
        &mut self,
        until: Now,
        account: &AccountName,
        amount: &Resources,
    ) {
        self.add_usage(Some(account), amount);
        self.expiring.push((until, account.clone(), *amount));
    }

    /// Drops the usage whose fixed time has passed.
    pub(crate) fn expire(&mut self, now: Now) {
        let ended: Vec<_> = self.expiring.extract_if(.., |(until, ..)| *until <= now).collect();
        ended.iter().for_each(|(_, account, amount)| self.subtract_usage(Some(account), amount));
    }

    /// Returns the resources that may be in use by an account now.
    pub(crate) fn used(&self, account: &str) -> Resources {
        self.used.get(account).copied().unwrap_or_default()
    }

    /// Returns whether an account may start `tasks` more tasks of `need` each at once. A single task that
    /// exceeds the cap by itself is allowed while nothing else of the account runs; it could never run
    /// otherwise.
    pub(crate) fn allows(
        &self,
        account: Option<&AccountName>,
        need: &Resources,
        tasks: u32,
    ) -> bool {
        let Some(account) = account else { return true };
        let Some(settings) = self.settings.get(account) else { return true };
        let used = self.used(account);
        let mut after = used;
        after.add(&need.times(u64::from(tasks)));
        settings.cap.covers(&after) || (tasks == 1 && used == Resources::default())
    }

    /// Returns a budget of what each account may still start.
    pub(crate) fn headroom(&self) -> Headroom<'_> {
        Headroom { accounts: self, remaining_millicores: BTreeMap::new() }
    }

    /// Returns the part of all weights that an account has; 0 without a weight.
    pub(crate) fn weight_share(&self, account: &str) -> f64 {
        let weights = self.settings.values().map(|one| one.weight.max(0.0));
        let total: f64 = weights.sum();
        let own = self.settings.get(account).map_or(0.0, |one| one.weight.max(0.0));
        if total > 0.0 { own / total } else { 0.0 }
    }

    /// Returns the CPU that an account may still start, in thousandths of a core.
    pub(crate) fn remaining_millicores(&self, account: Option<&AccountName>) -> u64 {
        let settings = account.and_then(|account| self.settings.get(account));
        let Some(settings) = settings else { return u64::MAX };
        let cap_millicores = settings.cap.cpu_millicores.unwrap_or(u64::MAX);
        cap_millicores.saturating_sub(self.used(&settings.name).cpu_millicores)
    }
}

/// Remaining CPU budget of each account, for planning: tasks that a cap keeps from starting need no
/// machines.
#[derive(Debug)]
pub(crate) struct Headroom<'a> {
    accounts: &'a Accounts,
    remaining_millicores: BTreeMap<&'a AccountName, u64>,
}

impl<'a> Headroom<'a> {
    /// Deducts up to `millicores` from the account's budget and returns the deducted amount.
    pub(crate) fn take(&mut self, account: Option<&'a AccountName>, millicores: u64) -> u64 {
        let Some(account) = account else { return millicores };
        let accounts = self.accounts;
        let left = self
            .remaining_millicores
            .entry(account)
            .or_insert_with(|| accounts.remaining_millicores(Some(account)));
        let taken = millicores.min(*left);
        *left -= taken;
        taken
    }
}
