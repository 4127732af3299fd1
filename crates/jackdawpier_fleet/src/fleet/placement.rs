//! Which waiting task gets room on which executor.

use std::{sync::Arc, time::Duration};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId, ServiceName},
};

use super::{Advice, Command, Fleet, book};
use crate::{
    executor::Executor,
    job::{Job, Phase, TaskIndex},
    order::{Rank, objective, rank},
    spec::Resources,
};

/// An executor that hasn't answered for this long gets no new work: one long poll and its timeout.
const HEARD_WITHIN: Duration = Duration::from_millis(1500);
/// Advice is asked for again after this long without an answer.
const ASK_AGAIN: Duration = Duration::from_secs(2);
/// Executors that one question names: the advisor takes time for each, and a step needs few.
const EXECUTORS_PER_ADVICE: usize = 30;

/// How well an executor suits a task; the lowest is taken.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    /// More of a long-running step than it may miss would be here, so that the machine could never
    /// be taken.
    crowds: bool,
    /// Work that fills beside work that serves disturbs it.
    disturbs: bool,
    /// Its machine is due for maintenance, which would end a long-running task.
    is_due: bool,
    /// The data lies elsewhere.
    is_far: bool,
    /// Tightest first, which leaves the largest gaps elsewhere.
    left_millicores: u64,
    left_mb: u64,
}

/// Whether a task may be placed away from its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Far {
    Allowed,
    WhereRoomy,
    Forbidden,
}

impl Fleet {
    /// Gives room to waiting tasks, in the order of [`crate::order`].
    pub(super) fn place(&mut self, now: Now) {
        let mut waiting: Vec<(Rank, JobId)> = Vec::new();
        for (queue, ids) in &self.open {
            let Some(queue) = self.queues.get(queue) else { continue };
            let ranked = ids.iter().filter_map(|id| {
                let job = self.jobs.get(id)?;
                (!job.startable.is_empty()).then(|| (rank(now, job, queue), id.clone()))
            });
            waiting.extend(ranked);
        }
        waiting.sort_unstable();
        let mut largest = self.largest_free(now);
        for (_, id) in waiting {
            let Some(service) = self.service_of(&id).cloned() else { continue };
            let Some(room) = largest.get(&service) else { continue };
            if self.place_job(now, &id, *room) {
                let room = self.largest_free_of(now, &service);
                largest.insert(service, room);
            }
        }
    }

    pub(super) fn service_of(&self, id: &JobId) -> Option<&ServiceName> {
        let job = self.jobs.get(id)?;
        self.queues.get(&job.queue).map(|queue| &queue.service)
    }

    fn largest_free(&self, now: Now) -> std::collections::HashMap<ServiceName, Resources> {
        self.by_service
            .keys()
            .map(|service| (service.clone(), self.largest_free_of(now, service)))
            .collect()
    }

    /// The most of each resource that any one executor of the service has free.
    fn largest_free_of(&self, now: Now, service: &ServiceName) -> Resources {
        let mut most = Resources::default();
        for id in self.by_service.get(service).into_iter().flatten() {
            let Some(executor) = self.executors.get(id).filter(|one| self.takes_work(now, id, one))
            else {
                continue;
            };
            let free = executor.free();
            most.cpu_millicores = most.cpu_millicores.max(free.cpu_millicores);
            most.memory_mb = most.memory_mb.max(free.memory_mb);
            most.gpus = most.gpus.max(free.gpus);
        }
        most
    }

    fn takes_work(&self, now: Now, id: &ExecutorId, executor: &Executor) -> bool {
        let is_open = executor.info.as_ref().is_some_and(|info| !info.is_draining);
        is_open
            && executor.is_listed
            && executor.is_synced
            && !executor.is_frozen
            && now >= executor.avoid_until
            && executor.heard_at().is_some_and(|at| now.saturating_sub(at) < HEARD_WITHIN)
            && !self.machines.is_vacating(id)
    }

    /// Places what fits of one job and returns whether anything was placed.
    fn place_job(&mut self, now: Now, id: &JobId, room: Resources) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        let candidates: Vec<TaskIndex> = job.startable.drain(..).collect();
        let mut kept = Vec::new();
        let mut has_placed = false;
        for index in candidates {
            let job = &self.jobs[id];
            if job.tasks[index].phase != Phase::Waiting {
                continue;
            }
            let step = job.step(index);
            let is_hopeless = !step.booked().fits(&room) || job.tasks[index].not_before > now;
            if is_hopeless {
                kept.push(index);
                continue;
            }
            if step.is_gang {
                let slot = job.slot(index);
                has_placed |= self.place_gang(now, id, slot);
                if self.jobs[id].tasks[index].phase == Phase::Waiting {
                    kept.push(index);
                }
                continue;
            }
            match self.choose(now, id, index, None) {
                Some(executor) => {
                    self.plan(id, index, executor);
                    has_placed = true;
                }
                None => kept.push(index),
            }
        }
        let job = self.jobs.get_mut(id).expect("it was read above");
        job.startable.extend(kept);
        if has_placed {
            self.touch(id);
        }
        has_placed
    }

    fn plan(&mut self, id: &JobId, index: TaskIndex, executor: ExecutorId) {
        let job = self.jobs.get_mut(id).expect("the caller has just read it");
        let task = &mut job.tasks[index];
        task.run += 1;
        task.phase = Phase::Planned { executor: executor.clone() };
        book(self.executors.get_mut(&executor).expect("just chosen"), job, index);
    }

    /// The executor that suits a task best; none if it fits nowhere now.
    pub(super) fn choose(
        &mut self,
        now: Now,
        id: &JobId,
        index: TaskIndex,
        rack: Option<&str>,
    ) -> Option<ExecutorId> {
        let service = self.service_of(id)?.clone();
        let needs_advice = self.queues.get(&self.jobs[id].queue)?.needs_advice;
        if needs_advice && !self.has_advice(now, id, index) {
            return None;
        }
        let job = &self.jobs[id];
        let far = self.may_go_far(now, &service, job, index);
        let advice = self.advice.get(&(id.clone(), job.slot(index))).filter(|_| needs_advice);
        self.by_service
            .get(&service)?
            .iter()
            .filter(|executor| advice.is_none_or(|one| one.tickets.contains_key(*executor)))
            .filter_map(|executor_id| {
                let executor = self.executors.get(executor_id)?;
                let is_open = self.takes_work(now, executor_id, executor);
                if !is_open || !suits(executor, job, index, rack) {
                    return None;
                }
                let may_go = match far {
                    Far::Allowed => true,
                    Far::WhereRoomy => is_roomy(executor) || !is_far(executor, job, index),
                    Far::Forbidden => !is_far(executor, job, index),
                };
                if !may_go {
                    return None;
                }
                Some((self.fit(executor_id, executor, job, index), executor_id))
            })
            .min()
            .map(|(_, executor_id)| executor_id.clone())
    }

    /// Whether a task may be placed away from its data, where it takes several times as long and
    /// so as much more room: if it still ends in time there or can't run near it at all, and once
    /// it is late where room is plenty, so that it doesn't wait for ever.
    fn may_go_far(&self, now: Now, service: &ServiceName, job: &Job, index: TaskIndex) -> Far {
        let step = job.step(index);
        let Some(data_rack) = &step.data_rack else { return Far::Allowed };
        let Some(queue) = self.queues.get(&job.queue) else { return Far::Allowed };
        let far = step.estimate.mul_f64(self.settings.remote_factor.max(1.0));
        let rest = job.remaining_estimate().saturating_sub(step.estimate);
        let due = job.next_began_at() + objective(job, queue);
        let exists_near = self.by_service.get(service).into_iter().flatten().any(|id| {
            self.executors.get(id).is_some_and(|executor| {
                let info = executor.info.as_ref();
                let is_near = info.is_some_and(|info| {
                    info.rack.as_ref() == Some(data_rack) && step.booked().fits(&info.capacity)
                });
                is_near && self.takes_work(now, id, executor)
            })
        });
        if now + far + rest <= due || !exists_near {
            return Far::Allowed;
        }
        match (now > due, step.is_gang) {
            (false, _) => Far::Forbidden,
            (true, false) => Far::WhereRoomy,
            // Its members need room at the same moment, which may never come near the data.
            (true, true) => Far::Allowed,
        }
    }

    fn fit(&self, id: &ExecutorId, executor: &Executor, job: &Job, index: TaskIndex) -> Fit {
        let step = job.step(index);
        let left = executor.free().minus(&step.booked());
        let disturbs = (step.is_filler && executor.serving > 0)
            || (step.tail_target.is_some() && executor.fillers > 0);
        let here = executor.per_slot.get(&(job.id.clone(), job.slot(index))).copied().unwrap_or(0);
        Fit {
            crowds: step.is_long_running && step.may_miss > 0 && here >= step.may_miss,
            disturbs,
            is_due: step.is_long_running && self.machines.is_due(id),
            is_far: is_far(executor, job, index),
            left_millicores: left.cpu_millicores,
            left_mb: left.memory_mb,
        }
    }

    /// Whether the advisor's tickets for a step are at hand; asks for them if not.
    fn has_advice(&mut self, now: Now, id: &JobId, index: TaskIndex) -> bool {
        let job = &self.jobs[id];
        let place = (id.clone(), job.slot(index));
        if let Some(advice) = self.advice.get(&place) {
            if now < advice.valid_until {
                return true;
            }
            if now < advice.asked_at + ASK_AGAIN {
                return false;
            }
        }
        let Some(service) = self.service_of(id) else { return false };
        let executors: Vec<ExecutorId> = self
            .by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter(|one| self.executors.get(*one).is_some_and(|it| self.takes_work(now, one, it)))
            .take(EXECUTORS_PER_ADVICE)
            .cloned()
            .collect();
        if executors.is_empty() {
            return false;
        }
        let task = job.key(index);
        let tickets = std::collections::HashMap::new();
        let asked = Advice { asked_at: now, valid_until: Now::ZERO, tickets };
        self.advice.insert(place, asked);
        self.commands.push(Command::Advise { task, executors });
        false
    }

    /// The advisor has answered: the executors that may run the step, with their tickets.
    pub fn advised(
        &mut self,
        now: Now,
        task: &crate::spec::TaskKey,
        approved: Vec<(ExecutorId, Arc<str>)>,
        valid_for: Duration,
    ) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(index) = job.index(task) else { return };
        if let Some(advice) = self.advice.get_mut(&(task.job.clone(), job.slot(index))) {
            advice.valid_until = now + valid_for * 4 / 5;
            advice.tickets = approved.into_iter().collect();
        }
    }
}

fn is_far(executor: &Executor, job: &Job, index: TaskIndex) -> bool {
    let rack = executor.info.as_ref().and_then(|info| info.rack.as_ref());
    job.step(index).data_rack.as_ref().is_some_and(|data| rack != Some(data))
}

/// At least half of an executor is free.
fn is_roomy(executor: &Executor) -> bool {
    executor
        .info
        .as_ref()
        .is_some_and(|info| executor.booked.cpu_millicores * 2 <= info.capacity.cpu_millicores)
}

fn suits(executor: &Executor, job: &Job, index: TaskIndex, rack: Option<&str>) -> bool {
    let step = job.step(index);
    let Some(info) = &executor.info else { return false };
    let has_label = step.required_label.as_ref().is_none_or(|label| info.labels.contains(label));
    let is_in_rack = rack.is_none_or(|rack| info.rack.as_deref() == Some(rack));
    let here = executor.per_slot.get(&(job.id.clone(), job.slot(index))).copied().unwrap_or(0);
    let is_apart = step.max_per_executor == 0 || here < step.max_per_executor;
    has_label && is_in_rack && is_apart && step.booked().fits(&executor.free())
}
