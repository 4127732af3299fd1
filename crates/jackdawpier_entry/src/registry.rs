//! The executors that are registered, and what changes about them.
//!
//! Executors renew their entries every second or two, and nearly all renewals change nothing that matters
//! here. Only what differs is passed on: at 540 executors there are 360 renewals a second, and taking in the
//! whole list with each of them took a sixth of the processor samples of all 97 entries.

use std::collections::HashMap;

use jackdawpier_fleet::executor::ExecutorInfo;
use jackdawpier_kernel::ids::ExecutorId;

/// What is new about one executor.
#[derive(Debug, Clone, PartialEq)]
pub enum RegistryChange {
    /// It is registered with this entry now.
    Registered(ExecutorInfo),
    /// It isn't registered any more, or its entry can't be read.
    Unregistered(ExecutorId),
}

/// The entries that name executors, by key.
#[derive(Debug, Default)]
pub struct Registry {
    executors: HashMap<String, ExecutorInfo>,
}

impl Registry {
    /// Takes over one entry; without `info` it can't be read. Such an entry names no executor to use, and
    /// neither does what it named before; what runs there is followed until it ends.
    pub fn put(&mut self, key: &str, info: Option<ExecutorInfo>) -> Option<RegistryChange> {
        let Some(info) = info else { return self.remove(key) };
        if self.executors.get(key) == Some(&info) {
            return None;
        }
        self.executors.insert(key.to_owned(), info.clone());
        Some(RegistryChange::Registered(info))
    }

    /// An entry is gone.
    pub fn remove(&mut self, key: &str) -> Option<RegistryChange> {
        let info = self.executors.remove(key)?;
        Some(RegistryChange::Unregistered(info.id))
    }

    /// Takes over a listing of all entries, as [`Registry::put`] does one by one.
    pub fn replace(&mut self, listed: Vec<(String, Option<ExecutorInfo>)>) -> Vec<RegistryChange> {
        let mut former = std::mem::take(&mut self.executors);
        let mut changes = Vec::new();
        for (key, info) in listed {
            let Some(info) = info else { continue };
            if former.remove(&key).as_ref() != Some(&info) {
                changes.push(RegistryChange::Registered(info.clone()));
            }
            self.executors.insert(key, info);
        }
        changes.extend(former.into_values().map(|gone| RegistryChange::Unregistered(gone.id)));
        changes
    }
}
