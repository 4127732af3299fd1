//! Logs of waiting work, of the load of queues and accounts, of machine shortages and of executor losses.
//!
//! A job that doesn't start causes no decision that could be logged. These lines state the reason once a
//! second, and their number is limited. See `docs/OPERATIONS.md`.

use std::{rc::Rc, time::Duration};

use jackdawpier_fleet::fleet::{
    AccountBacklog, ActiveTasks, CrashBackoff, ExecutorLoss, Freeze, GivenUpTask, LostRun,
    Obstacles, QueueBacklog, Shortage, TaskCrash, WaitingJobs, WaitingTask,
};
use serde_json::{Value, json};

use super::Owner;
use crate::{clock, events::Events, ports::Platform};

/// Waiting time from which a task is logged: longer than most objectives.
const LONG_WAIT: Duration = Duration::from_millis(2500);
/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum lines of each kind in a report.
const MAX_LINES_PER_REPORT: usize = 5;
/// Maximum runs in the line of a lost executor; most executors have room for fewer.
const MAX_LOGGED_RUNS: usize = 16;

impl<P: Platform> Owner<P> {
    pub(super) async fn log_waits_loop(self: Rc<Self>) {
        while self.is_valid() {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let now = clock::now();
            let fleet = self.fleet.borrow();
            let waiting = fleet.longest_waiting_tasks(now, LONG_WAIT, MAX_LINES_PER_REPORT);
            for task in &waiting {
                self.events.emit("task_waits", waiting_fields(task));
            }
            self.events.metrics().set_obstacles(waiting.iter().map(|task| &task.obstacles));
            self.events.metrics().set_frozen_executors(fleet.frozen_executors());
            self.log_active_tasks(fleet.active_tasks());
            for shortage in fleet.shortages().iter().take(MAX_LINES_PER_REPORT) {
                self.events.emit("pool_lacks", shortage_fields(shortage));
            }
            let backlog = fleet.backlog(now, MAX_LINES_PER_REPORT);
            for queue in &backlog.queues {
                self.events.emit("queue_load", queue_load_fields(queue));
            }
            for account in &backlog.accounts {
                self.events.emit("account_over_share", over_share_fields(account));
            }
            self.events.metrics().set_waiting_jobs(&backlog.waiting);
        }
        self.events.metrics().set_waiting_jobs(&WaitingJobs::default());
        self.events.metrics().set_obstacles([&Obstacles::default()]);
        self.events.metrics().set_frozen_executors(0);
        self.events.metrics().set_active_tasks(ActiveTasks::default());
    }

    /// Logs that tasks wait because of the number of those that are placed.
    fn log_active_tasks(&self, tasks: ActiveTasks) {
        self.events.metrics().set_active_tasks(tasks);
        if tasks.is_full {
            self.events.emit("active_tasks_full", json!({ "held": tasks.held, "max": tasks.max }));
        }
    }

    /// Logs the executors that get no work until their leases have expired, and those that get work again.
    pub(super) fn log_freezes(&self) {
        let freezes = self.fleet.borrow_mut().take_freezes();
        freezes.iter().for_each(|freeze| log_freeze(&self.events, freeze));
    }

    /// Logs each lost executor with its tasks, and which tasks are suspected, given up or in back-off.
    pub(super) fn log_losses(&self) {
        let (losses, task_crashes, given_up, backoffs) = {
            let mut fleet = self.fleet.borrow_mut();
            let (losses, task_crashes) = (fleet.take_executor_losses(), fleet.take_task_crashes());
            (losses, task_crashes, fleet.take_given_up_tasks(), fleet.take_crash_backoffs())
        };
        for loss in &losses {
            self.events.emit("executor_lost", loss_fields(loss));
        }
        for task_crash in &task_crashes {
            self.events.emit("task_suspect", task_crash_fields(task_crash));
        }
        for task in &given_up {
            self.events.emit("task_given_up", given_up_fields(task));
        }
        for backoff in &backoffs {
            self.events.emit("task_held_back", backoff_fields(backoff));
        }
    }
}

fn log_freeze(events: &Events, freeze: &Freeze) {
    match freeze {
        Freeze::Began { executor, task, run } => {
            let fields = json!({ "executor": **executor, "task": task.to_string(), "run": run });
            events.emit("executor_frozen", fields);
        }
        Freeze::Ended { executor } => {
            events.emit("executor_unfrozen", json!({ "executor": **executor }));
        }
    }
}

/// Counts the executors of the task's service by obstacle.
fn waiting_fields(waiting: &WaitingTask) -> Value {
    let mut fields = json!({
        "task": waiting.task.to_string(),
        "waited_ms": waiting.waited.as_millis() as u64,
        "capped": waiting.is_capped,
    });
    for (reason, executors) in waiting.obstacles.by_reason() {
        fields[reason] = json!(executors);
    }
    fields
}

/// `capacity_millicores` is that of the queue's service, which other queues may use too.
fn queue_load_fields(load: &QueueBacklog) -> Value {
    let WaitingJobs { on_time, over_share, late, expired } = load.waiting;
    json!({
        "queue": *load.queue,
        "capacity_millicores": load.capacity.millicores,
        "slow_executors": load.capacity.slow_executors,
        "demand_millicores": load.demand_millicores,
        "on_time": on_time,
        "over_share": over_share,
        "late": late,
        "expired": expired,
        "oldest_wait_ms": load.oldest_wait.as_millis() as u64,
    })
}

fn over_share_fields(load: &AccountBacklog) -> Value {
    json!({
        "account": *load.account,
        "service": *load.service,
        "granted_millicores": load.granted_millicores,
        "running_millicores": load.running_millicores,
        "waiting": load.waiting,
    })
}

/// Includes the age of each run, which shows whether one had just started.
fn loss_fields(loss: &ExecutorLoss) -> Value {
    let run_fields = |run: &LostRun| {
        let age_ms = run.confirmed_age.map(|age| age.as_millis() as u64);
        json!({ "task": run.task.to_string(), "run": run.run, "age_ms": age_ms })
    };
    json!({
        "executor": *loss.executor,
        "evidence": format!("{:?}", loss.evidence),
        "silent_ms": loss.silent_for.map(|time| time.as_millis() as u64),
        "tasks": loss.runs.len(),
        "runs": loss.runs.iter().take(MAX_LOGGED_RUNS).map(run_fields).collect::<Vec<_>>(),
    })
}

fn task_crash_fields(task_crash: &TaskCrash) -> Value {
    let TaskCrash { task, run, executor, crash, crashes, .. } = task_crash;
    json!({
        "task": task.to_string(),
        "run": run,
        "executor": **executor,
        "crashes": crashes,
        "confirmed": crash.is_confirmed,
        "sudden": crash.is_at_start,
        "shared": crash.has_likelier_cause,
    })
}

fn given_up_fields(given_up: &GivenUpTask) -> Value {
    let GivenUpTask { task, run, crashes, job_goes_on } = given_up;
    json!({ "task": task.to_string(), "run": run, "crashes": crashes, "job_goes_on": job_goes_on })
}

/// Without a duration the task isn't started again.
fn backoff_fields(backoff: &CrashBackoff) -> Value {
    let CrashBackoff { task, run, crashes, duration } = backoff;
    let pause_ms = duration.map(|time| time.as_millis() as u64);
    json!({ "task": task.to_string(), "run": run, "crashes": crashes, "pause_ms": pause_ms })
}

fn shortage_fields(shortage: &Shortage) -> Value {
    let Shortage { pool, label, holds, lacks, entitled } = shortage;
    let label = label.as_deref();
    json!({ "pool": **pool, "label": label, "holds": holds, "lacks": lacks, "entitled": entitled })
}
