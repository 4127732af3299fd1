//! Placement of queued jobs on workers, and preemption of running ones.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ClassName, JobId, WorkerId},
    task::{TaskAction, TaskResources},
};

use super::{Command, JobQueue, Phase, TrackedJob};
use crate::job::{JobState, ParkReason};

/// A class may preempt classes whose `finish_within` is at least this many times longer.
const PREEMPTION_RATIO: u32 = 10;

/// Maximum number of jobs of one class placed in one pass, which bounds the time of a pass.
const MAX_PLACEMENTS_PER_CLASS: usize = 64;

/// Maximum number of tasks examined for one preemption.
const MAX_VICTIM_CANDIDATES: usize = 256;

/// Delay after a pass that found no room for the head of a class.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(200);

impl JobQueue {
    /// Places queued jobs, the classes with the shortest `finish_within` first.
    pub(super) fn place(&mut self, now: Now) -> Vec<Command> {
        let mut commands = Vec::new();
        let mut names: Vec<(Duration, ClassName)> = self
            .classes
            .iter()
            .filter(|(_, class)| !class.queue.is_empty() && now >= class.retry_placement_at)
            .map(|(name, class)| (class.finish_within, name.clone()))
            .collect();
        names.sort();
        // Resources freed by preemption must not go to jobs of the classes that were preempted.
        let mut max_finish_within = Duration::MAX;
        for (finish_within, name) in names {
            if finish_within >= max_finish_within {
                break;
            }
            for _ in 0..MAX_PLACEMENTS_PER_CLASS {
                let Some(ticket) = self.classes[&name].queue.peek() else { break };
                let id = self.tickets[&ticket].clone();
                let placed = self.place_one(now, &name, &id);
                let Some(placed) = placed else { break };
                commands.extend(placed);
            }
            if !self.classes[&name].preempting.is_empty() {
                max_finish_within = finish_within * PREEMPTION_RATIO;
            }
        }
        commands
    }

    /// Places the head of a class, or returns `None` if it has to wait.
    fn place_one(&mut self, now: Now, name: &ClassName, id: &JobId) -> Option<Vec<Command>> {
        let job = &self.jobs[id].job;
        let estimate = self.size_estimator.estimate(&job.class, &job.customer, job.declared);
        let failed_workers: BTreeSet<WorkerId> =
            self.failures.failed_workers(id).cloned().collect();
        let avoid = |worker: &str| {
            failed_workers.contains(worker)
                || self.failures.is_quarantined(now, worker)
                || self.would_obscure_failure_cause(now, id, worker)
        };
        let chosen = self.workers.best_fit(&estimate, avoid).or_else(|| {
            self.workers.best_fit(&estimate, |worker| self.failures.is_quarantined(now, worker))
        });
        if let Some(worker) = chosen {
            self.classes.get_mut(name)?.queue.pop(estimate.cores_milli);
            return Some(self.claim(id, worker, estimate));
        }
        let declared = self.jobs[id].job.declared;
        if !self.workers.is_empty() && !self.workers.fits_any_when_empty(&declared) {
            self.classes.get_mut(name)?.queue.pop(1);
            return Some(self.finish(id, JobState::Parked { reason: ParkReason::TooLarge }));
        }
        if !self.classes[name].preempting.is_empty() {
            return None;
        }
        let victims = self.choose_victims(now, name, &estimate);
        let class = self.classes.get_mut(name)?;
        if victims.is_empty() {
            class.retry_placement_at = now + NO_ROOM_BACKOFF;
            return None;
        }
        class.preempting = victims.iter().cloned().collect();
        Some(self.stop_all(&victims))
    }

    fn claim(&mut self, id: &JobId, worker: WorkerId, reserved: TaskResources) -> Vec<Command> {
        self.workers.reserve(&worker, &reserved);
        let tracked = self.jobs.get_mut(id).expect("queued jobs are tracked");
        tracked.phase = Phase::Claiming;
        tracked.reserved = reserved;
        tracked.job.attempts += 1;
        tracked.job.state = JobState::Claimed { worker: worker.clone() };
        self.claimed.insert(id.clone());
        self.by_worker.entry(worker).or_default().insert(id.clone());
        vec![Command::Write(self.jobs[id].job.clone())]
    }

    /// Returns idempotent tasks of much less urgent classes on one worker whose end would make room
    /// for `size`, or nothing if no worker has enough of them.
    fn choose_victims(&self, now: Now, name: &ClassName, size: &TaskResources) -> Vec<JobId> {
        let finish_within = self.classes[name].finish_within;
        let is_victim = |tracked: &&TrackedJob| {
            let victim_class = self.classes.get(&tracked.job.class);
            tracked.phase == Phase::Running
                && !tracked.is_stopping
                && tracked.job.is_idempotent
                && victim_class
                    .is_some_and(|class| class.finish_within >= finish_within * PREEMPTION_RATIO)
        };
        let mut by_worker: BTreeMap<&WorkerId, (TaskResources, Vec<JobId>)> = BTreeMap::new();
        let victims = self.claimed.iter().filter_map(|id| self.jobs.get(id)).filter(is_victim);
        for tracked in victims.take(MAX_VICTIM_CANDIDATES) {
            let Some(worker) = tracked.worker() else { continue };
            if self.failures.is_quarantined(now, worker) {
                continue;
            }
            let (freed, ids) = by_worker.entry(worker).or_default();
            if freed.cores_milli < size.cores_milli || freed.memory_mb < size.memory_mb {
                freed.cores_milli += tracked.reserved.cores_milli;
                freed.memory_mb += tracked.reserved.memory_mb;
                freed.accelerators += tracked.reserved.accelerators;
                ids.push(tracked.job.id.clone());
            }
            let is_enough =
                freed.cores_milli >= size.cores_milli && freed.memory_mb >= size.memory_mb;
            if is_enough {
                return ids.clone();
            }
        }
        Vec::new()
    }

    fn stop_all(&mut self, ids: &[JobId]) -> Vec<Command> {
        let mut commands = Vec::new();
        for id in ids {
            if let Some(tracked) = self.jobs.get_mut(id).filter(|tracked| !tracked.is_stopping) {
                tracked.is_stopping = true;
                // If the worker receives these in reverse order, it keeps the same checkpoint.
                commands.extend(tracked.command(TaskAction::Checkpoint));
                commands.extend(tracked.command(TaskAction::Stop));
            }
        }
        commands
    }
}
