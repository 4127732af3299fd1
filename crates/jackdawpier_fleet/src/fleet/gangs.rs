//! Places, fails and stops the tasks of a gang as a unit.

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId},
};

use super::{
    Fleet, StopReason,
    fitting::count_fitting,
    placement_round::PlacementRound,
    runs::{allocate, release},
};
use crate::{
    executor::TaskRef,
    job::{Job, Phase, Task, TaskIndex},
    spec::RunNumber,
};

impl Fleet {
    /// Stops all running members of a gang. A gang can't make progress without one of its members.
    pub(super) fn stop_gang(&mut self, now: Now, id: &JobId, slot: usize) {
        let Some(job) = self.jobs.get(id) else { return };
        let placed = job.whole_tasks_in_slot(slot).filter(|(_, task)| task.phase.may_be_stopped());
        let members: Vec<TaskRef> = placed.map(|(index, _)| (id.clone(), index)).collect();
        members.iter().for_each(|member| self.stop_task(now, member, StopReason::GangBroken));
    }

    /// Stops the other members of a task's gang, if the task has one.
    pub(super) fn stop_other_members(&mut self, now: Now, task_ref: &TaskRef) {
        let Some(job) = self.jobs.get(&task_ref.0) else { return };
        if job.step(task_ref.1).is_gang {
            self.stop_gang(now, &task_ref.0, job.slot(task_ref.1));
        }
    }

    /// Returns whether another member of the task's gang has completed in the same run, which completes the
    /// whole gang.
    pub(super) fn is_gang_done(&self, task_ref: &TaskRef) -> bool {
        let Some(job) = self.jobs.get(&task_ref.0) else { return false };
        if !job.step(task_ref.1).is_gang {
            return false;
        }
        let slot = job.slot(task_ref.1);
        job.slots.remaining(slot) < job.slots.task_count(slot)
    }

    /// Counts one failure per run for the whole gang.
    pub(super) fn record_gang_failure(&mut self, id: &JobId, slot: usize, run: RunNumber) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for index in job.tasks_in_slot(slot) {
            if let Some(task) = job.tasks.get_whole_mut(index) {
                task.note_failure(run);
            }
        }
    }

    /// Places all members of a gang, or none. Returns whether they were placed.
    pub(super) fn place_gang(
        &mut self,
        now: Now,
        id: &JobId,
        slot: usize,
        round: &PlacementRound,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let members: Vec<TaskIndex> = job.tasks_in_slot(slot).collect();
        let is_ready = |task: &Task| task.phase == Phase::Waiting && !task.is_given_up;
        let all_ready = members.iter().all(|&index| is_ready(&job.tasks[index]));
        if !all_ready {
            return false;
        }
        let may_fit = self.may_fit_gang(job, members[0], round);
        let needs_one_rack = job.step(members[0]).same_rack;
        self.executors_compared += round.executors.len() as u64;
        if !may_fit {
            return false;
        }
        let racks = if needs_one_rack { self.racks_of(id) } else { Vec::new() };
        let attempts = racks.into_iter().map(Some).chain([None]);
        for rack in attempts {
            let mut placed: Vec<(TaskIndex, ExecutorId)> = Vec::new();
            for &index in &members {
                let last = placed.last().map(|(_, executor)| executor.clone());
                let chosen = last
                    .filter(|last| self.is_still_best(&self.jobs[id], index, rack.as_deref(), last))
                    .or_else(|| self.choose_executor(now, id, index, rack.as_deref(), round));
                let Some(executor) = chosen else { break };
                let job = &self.jobs[id];
                let member =
                    self.executors.get_mut(&executor).expect("the executor was just chosen");
                allocate(member, &mut self.accounts, job, index);
                placed.push((index, executor));
            }
            if placed.len() == members.len() {
                self.assign_gang(id, &placed);
                return true;
            }
            for (index, executor) in placed {
                let job = &self.jobs[id];
                let member =
                    self.executors.get_mut(&executor).expect("the executor was just chosen");
                release(member, &mut self.accounts, job, index);
            }
        }
        false
    }

    /// Returns whether the executors have room for all members of a gang, which is compared before the members are placed
    /// one by one. A queue with advice asks the advisor whether there is room or not.
    fn may_fit_gang(&self, job: &Job, first: TaskIndex, round: &PlacementRound) -> bool {
        if self.queues.get(&job.queue).is_some_and(|queue| queue.needs_advice) {
            return true;
        }
        let mut missing = job.step(first).count as usize;
        for executor in round.executors.iter().filter_map(|id| self.executors.get(id)) {
            missing = missing.saturating_sub(count_fitting(executor, job, first, &executor.free()));
            if missing == 0 {
                return true;
            }
        }
        false
    }

    fn assign_gang(&mut self, id: &JobId, placed: &[(TaskIndex, ExecutorId)]) {
        let job = self.jobs.get_mut(id).expect("the caller has just read the job");
        let run = placed.iter().map(|(index, _)| job.tasks[*index].run).max().unwrap_or(0) + 1;
        let checkpoint = placed
            .iter()
            .map(|(index, _)| job.tasks[*index].checkpoint.clone())
            .find(|checkpoint| !checkpoint.is_empty())
            .unwrap_or_default();
        for (index, executor) in placed {
            self.active_tasks.add(job, *index);
            let task = job.task_to_place(*index);
            task.run = run;
            task.confirmed_at = None;
            task.placed_incarnation = self.executors.get(executor).and_then(|one| one.incarnation);
            task.checkpoint.clone_from(&checkpoint);
            task.phase = Phase::Planned { executor: executor.clone() };
        }
        for (index, executor) in placed {
            self.isolate_start(executor, id, *index);
        }
        let job = self.jobs.get_mut(id).expect("the caller has just read the job");
        let is_placed = |index: &TaskIndex| placed.iter().any(|(one, _)| one == index);
        job.startable.retain(|index| !is_placed(index));
        self.mark_changed(id);
    }

    fn racks_of(&self, id: &JobId) -> Vec<std::sync::Arc<str>> {
        let mut racks: Vec<_> = self
            .service_of(id)
            .and_then(|service| self.by_service.get(service))
            .into_iter()
            .flatten()
            .filter_map(|executor| self.executors.get(executor)?.info.as_ref()?.rack.clone())
            .collect();
        racks.sort_unstable();
        racks.dedup();
        racks
    }
}
