//! The workers with what is free on each, indexed for best fit.

use std::collections::{BTreeSet, HashMap};

use jackdawpier_kernel::{
    ids::{RackName, WorkerId, ZoneName},
    task::TaskResources,
};

/// Workers looked at for one placement; bounds the work at any fleet size.
const MAX_CANDIDATES: usize = 48;

/// What the platform's instance list says of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerInfo {
    /// Its id.
    pub id: WorkerId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// What it has in all.
    pub capacity: TaskResources,
    /// Whether it is leaving and must get no new work.
    pub is_leaving: bool,
}

#[derive(Debug)]
struct Worker {
    info: WorkerInfo,
    used: TaskResources,
}

impl Worker {
    fn free_cores(&self) -> u64 {
        self.info.capacity.cores_milli.saturating_sub(self.used.cores_milli)
    }

    fn fits(&self, size: &TaskResources) -> bool {
        let capacity = &self.info.capacity;
        !self.info.is_leaving
            && self.used.cores_milli + size.cores_milli <= capacity.cores_milli
            && self.used.memory_mb + size.memory_mb <= capacity.memory_mb
            && self.used.accelerators + size.accelerators <= capacity.accelerators
    }
}

/// The table of workers.
#[derive(Debug, Default)]
pub struct Workers {
    all: HashMap<WorkerId, Worker>,
    by_free_cores: BTreeSet<(u64, WorkerId)>,
}

impl Workers {
    /// Number of workers.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// What is known of a worker.
    pub fn info(&self, id: &str) -> Option<&WorkerInfo> {
        self.all.get(id).map(|worker| &worker.info)
    }

    /// Ids of all workers.
    pub fn ids(&self) -> impl Iterator<Item = &WorkerId> {
        self.all.keys()
    }

    /// Adds a worker or takes over what the list says of it; leaving is final.
    pub fn upsert(&mut self, mut info: WorkerInfo) {
        let id = info.id.clone();
        self.change(&id, |existing| match existing {
            Some(worker) => {
                info.is_leaving |= worker.info.is_leaving;
                worker.info = info;
                None
            }
            None => Some(Worker { info, used: TaskResources::default() }),
        });
    }

    /// Forgets a worker.
    pub fn remove(&mut self, id: &str) {
        if let Some(worker) = self.all.remove(id) {
            self.by_free_cores.remove(&(worker.free_cores(), worker.info.id));
        }
    }

    /// Whether any worker could take `size` if it were empty.
    pub fn fits_any_when_empty(&self, size: &TaskResources) -> bool {
        self.all.values().any(|worker| {
            let empty = Worker { info: worker.info.clone(), used: TaskResources::default() };
            empty.fits(size)
        })
    }

    /// The worker on which `size` leaves the fewest cores free, skipping those that `avoid` names.
    pub fn best_fit(&self, size: &TaskResources, avoid: impl Fn(&str) -> bool) -> Option<WorkerId> {
        let from = (size.cores_milli, WorkerId::from(""));
        let fits = |id: &&WorkerId| self.all[*id].fits(size) && !avoid(id);
        let tight = self.by_free_cores.range(from.clone()..).map(|(_, id)| id);
        let roomy = self.by_free_cores.range(from..).rev().map(|(_, id)| id);
        tight
            .take(MAX_CANDIDATES)
            .find(fits)
            .or_else(|| roomy.take(MAX_CANDIDATES).find(fits))
            .cloned()
    }

    /// Reserves `size` on a worker.
    pub fn reserve(&mut self, id: &str, size: &TaskResources) {
        self.change(id, |worker| {
            if let Some(worker) = worker {
                worker.used.cores_milli += size.cores_milli;
                worker.used.memory_mb += size.memory_mb;
                worker.used.accelerators += size.accelerators;
            }
            None
        });
    }

    /// Gives a reservation back.
    pub fn release(&mut self, id: &str, size: &TaskResources) {
        self.change(id, |worker| {
            if let Some(worker) = worker {
                let used = &mut worker.used;
                used.cores_milli = used.cores_milli.saturating_sub(size.cores_milli);
                used.memory_mb = used.memory_mb.saturating_sub(size.memory_mb);
                used.accelerators = used.accelerators.saturating_sub(size.accelerators);
            }
            None
        });
    }

    /// Workers that the reservations would fill, in thousandths.
    pub fn reserved_workers_milli(&self) -> u32 {
        let capacity: u64 = self.all.values().map(|w| w.info.capacity.cores_milli).sum();
        let workers = self.all.len() as u64;
        let filled = self.used_cores_milli() * workers * 1000;
        filled.checked_div(capacity).unwrap_or(0) as u32
    }

    /// Cores reserved on all workers, in thousandths.
    pub fn used_cores_milli(&self) -> u64 {
        self.all.values().map(|worker| worker.used.cores_milli).sum()
    }

    fn change(&mut self, id: &str, change: impl FnOnce(Option<&mut Worker>) -> Option<Worker>) {
        if let Some(worker) = self.all.get(id) {
            self.by_free_cores.remove(&(worker.free_cores(), worker.info.id.clone()));
        }
        if let Some(created) = change(self.all.get_mut(id)) {
            self.all.insert(created.info.id.clone(), created);
        }
        if let Some(worker) = self.all.get(id) {
            self.by_free_cores.insert((worker.free_cores(), worker.info.id.clone()));
        }
    }
}
