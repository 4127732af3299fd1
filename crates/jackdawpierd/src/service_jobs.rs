//! The durable jobs of a service: submission, calls to workers, and actions of callers and operators.

use std::{collections::HashSet, sync::Arc, time::Duration};

use jackdawpier_coord::cell;
use jackdawpier_jobs::{
    job::{Job, JobState},
    queue::{Command, JobQueue, StartOutcome},
    workers::WorkerInfo,
};
use jackdawpier_kernel::{
    Now,
    ids::{JobId, ServiceName, WorkerId},
    instance::{Instance, InstanceRole, InstanceState},
    outcome::{Outcome, RefusalReason},
    task::{StartTask, TaskCommand, TaskReport, TaskResources},
};
use tokio::sync::oneshot;

use crate::{
    messages::{JobAction, JobAnswer, WorkRequest},
    service::{Action, CellState, Service, ServiceState, job_accepted, not_run},
};

/// Resources assumed for a job, as requests don't declare any.
const DEFAULT_RESOURCES: TaskResources =
    TaskResources { cores_milli: 1_000, memory_mb: 1_024, accelerators: 0 };
const MILLI: u64 = 1_000;
const MB_PER_GB: u64 = 1_024;

/// One call to a worker.
#[derive(Debug)]
pub(crate) enum WorkerCall {
    Start { address: String, task: StartTask },
    Command { address: String, command: TaskCommand },
    PollReports { worker: WorkerId, address: String },
}

/// Calls a worker and passes the result to the service; blocks.
pub(crate) fn perform(service: &Arc<Service>, call: WorkerCall) {
    let client = &service.worker_client;
    match call {
        WorkerCall::Start { address, task } => {
            let outcome = client.start(&address, &task);
            service.with_state(|state, now| ((), state.on_start_outcome(now, &task, outcome)));
        }
        WorkerCall::Command { address, command } => {
            let sent_at = service.with_state(|_, now| (now, Vec::new()));
            if let Some(report) = client.send_command(&address, &command) {
                service
                    .with_state(|state, now| ((), state.on_command_report(now, sent_at, &report)));
            }
        }
        WorkerCall::PollReports { worker, address } => {
            if let Some(reports) = client.reports(&address) {
                service.with_state(|state, now| ((), state.on_reports(now, &worker, &reports)));
            }
        }
    }
}

/// Returns the jobs that need an operator.
pub(crate) fn parked(jobs: &JobQueue) -> impl Iterator<Item = &Job> {
    jobs.jobs().filter(|job| matches!(job.state, JobState::Parked { .. }))
}

/// Returns the id of a job: its class, its customer and the caller's idempotency key. Neither a
/// class nor an escaped customer contains the separator, so two customers can't share a job.
fn job_id(work: &WorkRequest) -> JobId {
    let name = work.key.as_deref().unwrap_or(&work.request_id);
    let (customer, name) = (escape_for_path(&work.customer, ""), escape_for_path(name, "-."));
    format!("{}~{customer}~{name}", work.class).into()
}

/// Keeps ASCII letters, digits and `allowed_punctuation`, and escapes every other byte as `_` and
/// two hexadecimal digits.
fn escape_for_path(text: &str, allowed_punctuation: &str) -> String {
    text.bytes()
        .map(|byte| match char::from(byte) {
            c if c.is_ascii_alphanumeric() || allowed_punctuation.contains(c) => c.to_string(),
            _ => format!("_{byte:02x}"),
        })
        .collect()
}

fn job_cell_key(id: &str) -> JobId {
    format!("j/{id}").into()
}

impl Service {
    /// Renews task leases and polls the reports of busy workers.
    pub(crate) fn renew_and_poll_tasks(self: &Arc<Self>) {
        let Some(entry) = self.entry.upgrade() else { return };
        let has_successor = entry
            .coordination()
            .view
            .owner(&self.name)
            .is_some_and(|owner| owner.entry != *entry.name());
        self.with_state(|state, now| {
            if has_successor {
                state.orphaned_task_renewals.clear();
            }
            ((), state.renew_and_poll_tasks(now))
        });
    }

    /// Shows a job or acts on it, if this entry owns the shard and has loaded it.
    pub(crate) fn job(self: &Arc<Self>, id: &JobId, action: JobAction) -> JobAnswer {
        let answer = self.with_state(|state, now| {
            let is_reading = action == JobAction::Show;
            let owned = state.owned.as_mut().filter(|owned| owned.cell.is_open());
            let Some(owned) = owned.filter(|owned| is_reading || !owned.is_releasing) else {
                return (JobAnswer::NotOwner, Vec::new());
            };
            let commands = match action {
                JobAction::Show => Vec::new(),
                JobAction::Cancel => owned.jobs.cancel(id).1,
                JobAction::Retry => owned.jobs.resolve_parked(id, true).1,
                JobAction::Discard => owned.jobs.resolve_parked(id, false).1,
            };
            let answer = owned.jobs.job(id).map_or(JobAnswer::NoSuchJob, |job| {
                JobAnswer::Shown(serde_json::to_string(job).expect("jobs are plain data"))
            });
            (answer, state.apply_job_commands(now, commands))
        });
        match answer {
            // A successor may have accepted the job while this process was suspended.
            JobAnswer::NoSuchJob if !self.still_owns_shard() => JobAnswer::NotOwner,
            answer => answer,
        }
    }

    /// Returns whether this entry has owned the shard without interruption until now.
    fn still_owns_shard(&self) -> bool {
        let Some(entry) = self.entry.upgrade() else { return false };
        let coordination = entry.coordination();
        let lease = coordination.membership.lease(entry.now());
        coordination.ownership.owns(&self.name) && coordination.ownership.is_backed_by(lease)
    }

    /// Returns the jobs that need an operator, as (id, reason).
    pub(crate) fn parked_jobs(&self) -> Vec<(JobId, String)> {
        let state = self.lock();
        let Some(owned) = &state.owned else { return Vec::new() };
        let shown = parked(&owned.jobs).map(|job| match &job.state {
            JobState::Parked { reason } => (job.id.clone(), reason.to_string()),
            other => (job.id.clone(), format!("{other:?}")),
        });
        shown.collect()
    }
}

impl ServiceState {
    /// Submits a refresh job; its caller is answered once it is durable.
    pub(crate) fn submit_job(
        &mut self,
        now: Now,
        work: &WorkRequest,
        is_idempotent: bool,
        reply: oneshot::Sender<Outcome>,
    ) -> Vec<Action> {
        let id = job_id(work);
        let job = Job {
            id: id.clone(),
            class: work.class.clone(),
            customer: work.customer.clone(),
            is_idempotent,
            declared: DEFAULT_RESOURCES,
            payload: String::from_utf8_lossy(&work.body).into_owned(),
            attempts: 0,
            state: JobState::Queued,
        };
        let state = CellState::Job(job.clone());
        if !cell::fits_in_segment(&job_cell_key(&id), &state) {
            let _ = reply.send(not_run(RefusalReason::TooLarge, Duration::ZERO));
            return Vec::new();
        }
        let owned = self.owned.as_mut().expect("the caller has checked the ownership");
        owned.accept_waiters.entry(id).or_default().push(reply);
        let commands = owned.jobs.submit(job);
        let mut actions = self.apply_job_commands(now, commands);
        actions.extend(self.tick_cell(now));
        actions
    }

    /// Executes the job queue's commands: writes, calls and answers.
    pub(crate) fn apply_job_commands(&mut self, now: Now, commands: Vec<Command>) -> Vec<Action> {
        let mut actions = Vec::new();
        let has_writes = commands.iter().any(|command| matches!(command, Command::Write(_)));
        for command in commands {
            let Some(owned) = &mut self.owned else { return actions };
            match command {
                Command::Write(job) => {
                    let id = job.id.clone();
                    let number = owned.cell.put(job_cell_key(&id), &CellState::Job(job));
                    if let Some(number) = number {
                        owned.jobs.on_write_queued(number, id);
                    }
                }
                Command::Accepted(id) => {
                    for reply in owned.accept_waiters.remove(&id).into_iter().flatten() {
                        let _ = reply.send(job_accepted(&id));
                    }
                }
                Command::Start { worker, task } => {
                    let address = self.worker_addresses.get(&worker).cloned().unwrap_or_default();
                    actions.push(Action::Job(WorkerCall::Start { address, task }));
                }
                Command::Send { worker, command } => {
                    let address = self.worker_addresses.get(&worker).cloned().unwrap_or_default();
                    actions.push(Action::Job(WorkerCall::Command { address, command }));
                }
                Command::Forget(id) => owned.cell.forget(&job_cell_key(&id)),
            }
        }
        if has_writes {
            actions.extend(self.tick_cell(now));
        }
        actions
    }

    fn on_start_outcome(
        &mut self,
        now: Now,
        task: &StartTask,
        outcome: StartOutcome,
    ) -> Vec<Action> {
        let Some(owned) = &mut self.owned else { return Vec::new() };
        let commands = owned.jobs.on_start_outcome(now, &task.job, task.attempt, outcome);
        self.apply_job_commands(now, commands)
    }

    fn on_command_report(&mut self, now: Now, sent_at: Now, report: &TaskReport) -> Vec<Action> {
        let Some(owned) = &mut self.owned else { return Vec::new() };
        owned.jobs.on_renewed(sent_at, &report.job);
        let commands = owned.jobs.on_report(now, report);
        self.apply_job_commands(now, commands)
    }

    fn on_reports(&mut self, now: Now, worker: &WorkerId, reports: &[TaskReport]) -> Vec<Action> {
        let Some(owned) = &mut self.owned else { return Vec::new() };
        let commands = owned.jobs.on_reports(now, worker, reports);
        self.apply_job_commands(now, commands)
    }

    fn renew_and_poll_tasks(&mut self, now: Now) -> Vec<Action> {
        let Some(owned) = &mut self.owned else { return self.renew_orphaned_tasks() };
        let polls: Vec<Action> = owned
            .jobs
            .busy_workers()
            .filter_map(|worker| {
                let address = self.worker_addresses.get(worker)?.clone();
                Some(Action::Job(WorkerCall::PollReports { worker: worker.clone(), address }))
            })
            .collect();
        let renewals = owned.jobs.renewals(now);
        let mut actions = self.apply_job_commands(now, renewals);
        actions.extend(polls);
        actions
    }

    fn renew_orphaned_tasks(&self) -> Vec<Action> {
        let address = |worker: &WorkerId| self.worker_addresses.get(worker).cloned();
        self.orphaned_task_renewals
            .iter()
            .filter_map(|(worker, command)| {
                let (address, command) = (address(worker)?, command.clone());
                Some(Action::Job(WorkerCall::Command { address, command }))
            })
            .collect()
    }

    /// Applies the workers of the instance list.
    pub(crate) fn refresh_workers(
        &mut self,
        instances: &[Instance],
        name: &ServiceName,
    ) -> Vec<Action> {
        let workers =
            || instances.iter().filter(|i| i.role == InstanceRole::Worker && i.service == *name);
        for instance in workers() {
            self.worker_addresses.insert(instance.id.clone(), instance.address.clone());
        }
        let Some(owned) = &mut self.owned else { return Vec::new() };
        let present: HashSet<&str> = workers().map(|instance| &*instance.id).collect();
        if !present.is_empty() {
            owned.jobs.retain_workers(|id| present.contains(id));
        }
        for instance in workers() {
            owned.jobs.upsert_worker(WorkerInfo {
                id: instance.id.clone(),
                zone: instance.zone.clone(),
                rack: instance.rack.clone(),
                capacity: TaskResources {
                    cores_milli: u64::from(instance.cores) * MILLI,
                    memory_mb: u64::from(instance.memory_gb) * MB_PER_GB,
                    accelerators: instance.accelerators,
                },
                is_leaving: instance.state == InstanceState::Leaving,
            });
        }
        Vec::new()
    }
}
