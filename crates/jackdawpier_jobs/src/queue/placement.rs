//! Which waiting job goes to which worker, and which running one has to make room.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ClassName, JobId, WorkerId},
    task::{TaskAction, TaskResources},
};

use super::{Command, JobQueue, Live, Phase};
use crate::job::{JobState, ParkReason};

/// A class may preempt another whose time to finish is this many times longer.
const PREEMPTION_RATIO: u32 = 10;

/// Jobs placed in one pass, so that a pass takes bounded time.
const MAX_PLACEMENTS: usize = 64;

/// Tasks looked at for one preemption.
const MAX_VICTIMS: usize = 256;

/// Wait after a pass that found no room for the head of a class.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(200);

impl JobQueue {
    pub(super) fn place(&mut self, now: Now) -> Vec<Command> {
        let mut commands = Vec::new();
        let mut names: Vec<(Duration, ClassName)> = self
            .classes
            .iter()
            .filter(|(_, class)| !class.queue.is_empty() && now >= class.no_room_until)
            .map(|(name, class)| (class.finish_within, name.clone()))
            .collect();
        names.sort();
        // Room that is being made for urgent work must not go to the work that was stopped for it.
        let mut reserved_below = Duration::MAX;
        for (finish_within, name) in names {
            if finish_within >= reserved_below {
                break;
            }
            for _ in 0..MAX_PLACEMENTS {
                let Some(ticket) = self.classes[&name].queue.peek() else { break };
                let id = self.tickets[&ticket].clone();
                let placed = self.place_one(now, &name, &id);
                let Some(placed) = placed else { break };
                commands.extend(placed);
            }
            if !self.classes[&name].preempting.is_empty() {
                reserved_below = finish_within * PREEMPTION_RATIO;
            }
        }
        commands
    }

    /// Places the head of a class, or returns `None` if it has to wait.
    fn place_one(&mut self, now: Now, name: &ClassName, id: &JobId) -> Option<Vec<Command>> {
        let job = &self.jobs[id].job;
        let expected = self.size_estimator.estimate(&job.class, &job.customer, job.declared);
        let failed_on: BTreeSet<WorkerId> = self.failures.failed_workers(id).cloned().collect();
        let avoid = |worker: &str| {
            failed_on.contains(worker)
                || self.failures.is_quarantined(now, worker)
                || self.would_obscure_failure_cause(now, id, worker)
        };
        let chosen = self.workers.best_fit(&expected, avoid).or_else(|| {
            self.workers.best_fit(&expected, |worker| self.failures.is_quarantined(now, worker))
        });
        if let Some(worker) = chosen {
            self.classes.get_mut(name)?.queue.pop(expected.cores_milli);
            return Some(self.claim(id, worker, expected));
        }
        let declared = self.jobs[id].job.declared;
        if !self.workers.is_empty() && !self.workers.fits_any_when_empty(&declared) {
            self.classes.get_mut(name)?.queue.pop(1);
            return Some(self.finish(id, JobState::Parked { reason: ParkReason::TooLarge }));
        }
        if !self.classes[name].preempting.is_empty() {
            return None;
        }
        let victims = self.choose_victims(now, name, &expected);
        let class = self.classes.get_mut(name)?;
        if victims.is_empty() {
            class.no_room_until = now + NO_ROOM_BACKOFF;
            return None;
        }
        class.preempting = victims.iter().cloned().collect();
        Some(self.stop_all(&victims))
    }

    fn claim(&mut self, id: &JobId, worker: WorkerId, reserved: TaskResources) -> Vec<Command> {
        self.workers.reserve(&worker, &reserved);
        let live = self.jobs.get_mut(id).expect("a queued job is known");
        live.phase = Phase::Claiming;
        live.reserved = reserved;
        live.job.attempts += 1;
        live.job.state = JobState::Claimed { worker: worker.clone() };
        self.running.insert(id.clone());
        self.by_worker.entry(worker).or_default().insert(id.clone());
        vec![Command::Write(self.jobs[id].job.clone())]
    }

    /// Idempotent tasks of much slower classes on one worker, whose end would make room for `size`.
    fn choose_victims(&self, now: Now, name: &ClassName, size: &TaskResources) -> Vec<JobId> {
        let urgent = self.classes[name].finish_within;
        let is_victim = |live: &&Live| {
            let slower = self.classes.get(&live.job.class);
            live.phase == Phase::Running
                && !live.is_stopping
                && live.job.is_idempotent
                && slower.is_some_and(|class| class.finish_within >= urgent * PREEMPTION_RATIO)
        };
        let mut by_worker: BTreeMap<&WorkerId, (TaskResources, Vec<JobId>)> = BTreeMap::new();
        let victims = self.running.iter().filter_map(|id| self.jobs.get(id)).filter(is_victim);
        for live in victims.take(MAX_VICTIMS) {
            let Some(worker) = live.worker() else { continue };
            if self.failures.is_quarantined(now, worker) {
                continue;
            }
            let (freed, ids) = by_worker.entry(worker).or_default();
            if freed.cores_milli < size.cores_milli || freed.memory_mb < size.memory_mb {
                freed.cores_milli += live.reserved.cores_milli;
                freed.memory_mb += live.reserved.memory_mb;
                freed.accelerators += live.reserved.accelerators;
                ids.push(live.job.id.clone());
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
            if let Some(live) = self.jobs.get_mut(id).filter(|live| !live.is_stopping) {
                live.is_stopping = true;
                // A worker that gets the two in the other order keeps the same checkpoint.
                commands.extend(live.command(TaskAction::Checkpoint));
                commands.extend(live.command(TaskAction::Stop));
            }
        }
        commands
    }
}
