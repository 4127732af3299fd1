//! What the owner says in its log of work that waits and of pools that lack machines.
//!
//! A job that doesn't begin leaves no decision to log; these lines tell why, once a second and a bounded
//! number of them, see `docs/OPERATIONS.md`.

use std::{rc::Rc, time::Duration};

use jackdawpier_fleet::fleet::{
    CrashBackoff, ExecutorLoss, GivenUpTask, LostRun, Obstacles, Shortage, TaskCrash, WaitingTask,
};
use serde_json::{Value, json};

use super::Owner;
use crate::{clock, ports::Platform};

/// A task that waits for longer than most objectives is explained.
const LONG_WAIT: Duration = Duration::from_millis(2500);
/// How often that is said again.
const INTERVAL: Duration = Duration::from_secs(1);
/// Lines of each kind at a time.
const LINES_AT_ONCE: usize = 5;
/// Runs that the line of a lost executor names; most executors have room for fewer.
const RUNS_NAMED: usize = 16;

impl<P: Platform> Owner<P> {
    pub(super) async fn log_waits_loop(self: Rc<Self>) {
        while self.is_valid() {
            tokio::time::sleep(INTERVAL).await;
            let now = clock::now();
            let fleet = self.fleet.borrow();
            for wait in fleet.longest_waiting_tasks(now, LONG_WAIT, LINES_AT_ONCE) {
                self.events.emit("task_waits", explained(&wait));
            }
            for shortage in fleet.shortages().iter().take(LINES_AT_ONCE) {
                self.events.emit("pool_lacks", lacking(shortage));
            }
        }
    }

    /// Says of each executor that was lost which tasks it took along, and which of them are blamed.
    pub(super) fn log_losses(&self) {
        let (losses, task_crashes, given_up, backoffs) = {
            let mut fleet = self.fleet.borrow_mut();
            let (losses, task_crashes) = (fleet.take_executor_losses(), fleet.take_task_crashes());
            (losses, task_crashes, fleet.take_given_up_tasks(), fleet.take_crash_backoffs())
        };
        for loss in &losses {
            self.events.emit("executor_lost", lost(loss));
        }
        for task_crash in &task_crashes {
            self.events.emit("task_suspect", blamed(task_crash));
        }
        for task in &given_up {
            self.events.emit("task_given_up", not_started_again(task));
        }
        for backoff in &backoffs {
            self.events.emit("task_held_back", tried_again_later(backoff));
        }
    }
}

/// Executors of the task's service by obstacle.
fn explained(wait: &WaitingTask) -> Value {
    let Obstacles { open, leaving, silent, left_out, watched, vacating, unsuited, full } =
        wait.obstacles;
    json!({
        "task": wait.task.to_string(),
        "waited_ms": wait.waited.as_millis() as u64,
        "capped": wait.is_capped,
        "open": open,
        "leaving": leaving,
        "silent": silent,
        "left_out": left_out,
        "watched": watched,
        "vacating": vacating,
        "unsuited": unsuited,
        "full": full,
    })
}

/// The runs with the age of each, which tells whether one of them had just begun.
fn lost(loss: &ExecutorLoss) -> Value {
    let named = |run: &LostRun| {
        let age_ms = run.confirmed_age.map(|age| age.as_millis() as u64);
        json!({ "task": run.task.to_string(), "run": run.run, "age_ms": age_ms })
    };
    json!({
        "executor": *loss.executor,
        "evidence": format!("{:?}", loss.evidence),
        "silent_ms": loss.silent_for.map(|time| time.as_millis() as u64),
        "tasks": loss.runs.len(),
        "runs": loss.runs.iter().take(RUNS_NAMED).map(named).collect::<Vec<_>>(),
    })
}

fn blamed(task_crash: &TaskCrash) -> Value {
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

fn not_started_again(given_up: &GivenUpTask) -> Value {
    let GivenUpTask { task, run, crashes, job_goes_on } = given_up;
    json!({ "task": task.to_string(), "run": run, "crashes": crashes, "job_goes_on": job_goes_on })
}

/// Without a duration the task isn't started again.
fn tried_again_later(backoff: &CrashBackoff) -> Value {
    let CrashBackoff { task, run, crashes, duration } = backoff;
    let pause_ms = duration.map(|time| time.as_millis() as u64);
    json!({ "task": task.to_string(), "run": run, "crashes": crashes, "pause_ms": pause_ms })
}

fn lacking(shortage: &Shortage) -> Value {
    let Shortage { pool, label, holds, lacks, entitled } = shortage;
    let label = label.as_deref();
    json!({ "pool": **pool, "label": label, "holds": holds, "lacks": lacks, "entitled": entitled })
}
