//! Table of workers and their reservations, indexed by free cores for best-fit placement.

use std::collections::{BTreeSet, HashMap};

use jackdawpier_kernel::{
    ids::{RackName, WorkerId, ZoneName},
    task::TaskResources,
};

/// Maximum number of workers examined from each end of the index for one placement, which bounds
/// its cost at any fleet size.
const MAX_CANDIDATES: usize = 48;

/// Attributes of a worker from the platform's instance list.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerInfo {
    /// Id of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Total capacity.
    pub capacity: TaskResources,
    /// Whether the worker is leaving and must not get new work.
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

/// Table of workers and their reservations.
#[derive(Debug, Default)]
pub struct Workers {
    by_id: HashMap<WorkerId, Worker>,
    by_free_cores: BTreeSet<(u64, WorkerId)>,
}

impl Workers {
    /// Number of workers.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the attributes of a worker.
    pub fn info(&self, id: &str) -> Option<&WorkerInfo> {
        self.by_id.get(id).map(|worker| &worker.info)
    }

    /// Returns the ids of all workers.
    pub fn ids(&self) -> impl Iterator<Item = &WorkerId> {
        self.by_id.keys()
    }

    /// Adds a worker or updates its attributes. `is_leaving` stays set once it was set.
    pub fn upsert(&mut self, mut info: WorkerInfo) {
        let id = info.id.clone();
        self.update(&id, |existing| match existing {
            Some(worker) => {
                info.is_leaving |= worker.info.is_leaving;
                worker.info = info;
                None
            }
            None => Some(Worker { info, used: TaskResources::default() }),
        });
    }

    /// Removes a worker.
    pub fn remove(&mut self, id: &str) {
        if let Some(worker) = self.by_id.remove(id) {
            self.by_free_cores.remove(&(worker.free_cores(), worker.info.id));
        }
    }

    /// Whether `size` fits on any worker that has no reservations.
    pub fn fits_any_when_empty(&self, size: &TaskResources) -> bool {
        self.by_id.values().any(|worker| {
            let empty = Worker { info: worker.info.clone(), used: TaskResources::default() };
            empty.fits(size)
        })
    }

    /// Returns the worker on which `size` leaves the fewest cores free, skipping those for which
    /// `avoid` returns true.
    pub fn best_fit(&self, size: &TaskResources, avoid: impl Fn(&str) -> bool) -> Option<WorkerId> {
        let min_free = (size.cores_milli, WorkerId::from(""));
        let fits = |id: &&WorkerId| self.by_id[*id].fits(size) && !avoid(id);
        let tightest_first = self.by_free_cores.range(min_free.clone()..).map(|(_, id)| id);
        let roomiest_first = self.by_free_cores.range(min_free..).rev().map(|(_, id)| id);
        tightest_first
            .take(MAX_CANDIDATES)
            .find(fits)
            .or_else(|| roomiest_first.take(MAX_CANDIDATES).find(fits))
            .cloned()
    }

    /// Reserves `size` on a worker.
    pub fn reserve(&mut self, id: &str, size: &TaskResources) {
        self.update(id, |worker| {
            if let Some(worker) = worker {
                worker.used.cores_milli += size.cores_milli;
                worker.used.memory_mb += size.memory_mb;
                worker.used.accelerators += size.accelerators;
            }
            None
        });
    }

    /// Releases a reservation of `size` on a worker.
    pub fn release(&mut self, id: &str, size: &TaskResources) {
        self.update(id, |worker| {
            if let Some(worker) = worker {
                let used = &mut worker.used;
                used.cores_milli = used.cores_milli.saturating_sub(size.cores_milli);
                used.memory_mb = used.memory_mb.saturating_sub(size.memory_mb);
                used.accelerators = used.accelerators.saturating_sub(size.accelerators);
            }
            None
        });
    }

    /// Returns the reservations as thousandths of an average worker.
    pub fn reserved_workers_milli(&self) -> u32 {
        let capacity: u64 = self.by_id.values().map(|w| w.info.capacity.cores_milli).sum();
        let workers = self.by_id.len() as u64;
        let reserved = self.used_cores_milli() * workers * 1000;
        reserved.checked_div(capacity).unwrap_or(0) as u32
    }

    /// Returns the cores reserved on all workers, in thousandths.
    pub fn used_cores_milli(&self) -> u64 {
        self.by_id.values().map(|worker| worker.used.cores_milli).sum()
    }

    fn update(&mut self, id: &str, update: impl FnOnce(Option<&mut Worker>) -> Option<Worker>) {
        if let Some(worker) = self.by_id.get(id) {
            self.by_free_cores.remove(&(worker.free_cores(), worker.info.id.clone()));
        }
        if let Some(created) = update(self.by_id.get_mut(id)) {
            self.by_id.insert(created.info.id.clone(), created);
        }
        if let Some(worker) = self.by_id.get(id) {
            self.by_free_cores.insert((worker.free_cores(), worker.info.id.clone()));
        }
    }
}
