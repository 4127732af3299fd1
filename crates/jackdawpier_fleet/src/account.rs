//! Client accounts: what each may have running at once, and what it has.
//!
//! The cap is a promise to all other accounts, so whatever may be running counts: placements whose order
//! hasn't left, orders without an answer, runs that are being stopped. See `docs/design/accounts.md`.

use std::collections::BTreeMap;

use jackdawpier_kernel::{Now, ids::AccountName};

use crate::spec::Resources;

/// The most that an account may have running over all executors.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cap {
    /// Processor, in thousandths of a core; none for no limit.
    pub cpu_millicores: Option<u64>,
    /// Memory in megabytes; none for no limit.
    pub memory_mb: Option<u64>,
    /// Accelerators; none for no limit.
    pub gpus: Option<u64>,
}

impl Cap {
    /// Whether this much may be running.
    pub fn covers(&self, amount: &Resources) -> bool {
        let is_within = |most: Option<u64>, amount: u64| most.is_none_or(|most| amount <= most);
        is_within(self.cpu_millicores, amount.cpu_millicores)
            && is_within(self.memory_mb, amount.memory_mb)
            && is_within(self.gpus, amount.gpus)
    }
}

/// The settings of a client account that decisions need.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: AccountName,
    /// Its share when all is full: jobs a second that it may expect to be served in time.
    pub weight: f64,
    /// What it may have running.
    pub cap: Cap,
}

/// What each account may have running and has.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    settings: BTreeMap<AccountName, Account>,
    used: BTreeMap<AccountName, Resources>,
    /// What is counted for a time only, since nobody will say when it has ended.
    expiring: Vec<(Now, AccountName, Resources)>,
}

impl Accounts {
    /// Takes over the configuration. Accounts that are gone keep their last settings for the jobs that
    /// they handed in.
    pub(crate) fn configure(&mut self, accounts: Vec<Account>) {
        self.settings.extend(accounts.into_iter().map(|one| (one.name.clone(), one)));
    }

    /// Notes that a run may begin.
    pub(crate) fn add_usage(&mut self, account: Option<&AccountName>, need: &Resources) {
        let Some(account) = account else { return };
        if let Some(used) = self.used.get_mut(account) {
            used.add(need);
        } else {
            self.used.insert(account.clone(), *need);
        }
    }

    /// Notes that a run has certainly ended.
    pub(crate) fn subtract_usage(&mut self, account: Option<&AccountName>, need: &Resources) {
        let used = account.and_then(|account| self.used.get_mut(account));
        if let Some(used) = used {
            used.subtract(need);
        }
    }

    /// Notes that a run of which no end will be heard may go on until `until`.
    pub(crate) fn add_usage_until(
        &mut self,
        until: Now,
        account: &AccountName,
        amount: &Resources,
    ) {
        self.add_usage(Some(account), amount);
        self.expiring.push((until, account.clone(), *amount));
    }

    /// Forgets what was counted for a time that is over.
    pub(crate) fn expire(&mut self, now: Now) {
        let ended: Vec<_> = self.expiring.extract_if(.., |(until, ..)| *until <= now).collect();
        ended.iter().for_each(|(_, account, amount)| self.subtract_usage(Some(account), amount));
    }

    /// What an account may have running now.
    pub(crate) fn used(&self, account: &str) -> Resources {
        self.used.get(account).copied().unwrap_or_default()
    }

    /// Whether an account may start this much more at once. One task that is larger than the cap by
    /// itself may run alone, or it never could.
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

    /// How much more each account may start.
    pub(crate) fn headroom(&self) -> Headroom<'_> {
        Headroom { accounts: self, remaining_millicores: BTreeMap::new() }
    }

    /// Processor that an account may still start, in thousandths of a core.
    pub(crate) fn remaining_millicores(&self, account: Option<&AccountName>) -> u64 {
        let settings = account.and_then(|account| self.settings.get(account));
        let Some(settings) = settings else { return u64::MAX };
        let most = settings.cap.cpu_millicores.unwrap_or(u64::MAX);
        most.saturating_sub(self.used(&settings.name).cpu_millicores)
    }
}

/// How much more processor each account may start, for planning: what a cap keeps from running needs no
/// machines.
#[derive(Debug)]
pub(crate) struct Headroom<'a> {
    accounts: &'a Accounts,
    remaining_millicores: BTreeMap<&'a AccountName, u64>,
}

impl<'a> Headroom<'a> {
    /// Takes as much of `millicores` as the account may still start, and returns that.
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
