//! A worker: runs tasks under leases and reports usage with a lag.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use jackdawpier_http::{Handler, IncomingRequest, Reply};
use jackdawpier_kernel::{
    ids::JobId,
    task::{StartTask, TASKS_PATH, TaskAction, TaskCommand, TaskReport, TaskResources, TaskState},
};
use serde::{Deserialize, Serialize};

use crate::{
    executor::Work,
    faults::WorkerFaults,
    process::{bind, default_limits, json, not_found, parse, serve_forever},
};

/// Usage is reported this late.
const USAGE_LAG: Duration = Duration::from_secs(2);
/// Interval of the worker's own clock.
const STEP: Duration = Duration::from_millis(10);

struct Task {
    start: StartTask,
    state: TaskState,
    started_at: Instant,
    /// Time that the work still takes, at full speed.
    left: Duration,
    is_throttled: bool,
    lease_until: Instant,
}

impl Task {
    /// Lets one step pass; a throttled task does half as much in it.
    fn work(&mut self) {
        let done = if self.is_throttled { STEP / 2 } else { STEP };
        self.left = self.left.saturating_sub(done);
    }

    fn report(&self) -> TaskReport {
        let ran = self.started_at.elapsed();
        let usage = if ran > USAGE_LAG { self.start.size } else { TaskResources::default() };
        TaskReport {
            job: self.start.job.clone(),
            attempt: self.start.attempt,
            state: self.state,
            usage,
            ran_ms: ran.as_millis() as u64,
        }
    }
}

/// What a worker has seen.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WorkerCounts {
    /// Tasks that ran to their end, by job.
    pub completed: HashMap<JobId, u32>,
    /// Tasks that were started, by job.
    pub started: HashMap<JobId, u32>,
}

#[derive(Default)]
struct State {
    faults: WorkerFaults,
    tasks: HashMap<JobId, Task>,
    /// Time left of jobs that wrote a checkpoint here; a later attempt goes on from it.
    checkpoints: HashMap<JobId, Duration>,
    counts: WorkerCounts,
}

/// The worker's HTTP handler.
#[derive(Clone, Default)]
pub struct WorkerServer {
    state: Arc<Mutex<State>>,
}

impl WorkerServer {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Lets time pass: tasks finish, or stop by themselves when their lease has run out.
    pub async fn run_tasks(&self) {
        loop {
            tokio::time::sleep(STEP).await;
            let mut state = self.lock();
            let State { faults, tasks, counts, .. } = &mut *state;
            for task in tasks.values_mut().filter(|task| task.state == TaskState::Running) {
                task.work();
                if Instant::now() >= task.lease_until {
                    task.state = TaskState::Stopped;
                } else if faults.is_failing {
                    task.state = TaskState::Failed;
                } else if task.left.is_zero() {
                    task.state = TaskState::Done;
                    *counts.completed.entry(task.start.job.clone()).or_default() += 1;
                }
            }
        }
    }

    fn start(&self, start: StartTask) -> Reply {
        let mut state = self.lock();
        if let Some(known) = state.tasks.get(&start.job)
            && known.start.attempt >= start.attempt
        {
            return json(&known.report());
        }
        *state.counts.started.entry(start.job.clone()).or_default() += 1;
        let work = serde_json::from_str::<Work>(&start.payload)
            .map_or(Duration::ZERO, |work| Duration::from_micros(work.work_us));
        let lease_until = Instant::now() + Duration::from_millis(start.lease_ms);
        let job = start.job.clone();
        let left = state.checkpoints.get(&job).copied().unwrap_or(work);
        let task = Task {
            start,
            state: TaskState::Running,
            started_at: Instant::now(),
            left,
            is_throttled: false,
            lease_until,
        };
        let mut reply = json(&task.report());
        state.tasks.insert(job, task);
        if state.faults.is_losing_answers {
            reply.truncate_after_bytes = Some(0);
        }
        reply
    }

    fn command(&self, command: &TaskCommand) -> Reply {
        let mut state = self.lock();
        let State { tasks, checkpoints, .. } = &mut *state;
        let Some(task) = tasks.get_mut(&command.job) else { return not_found() };
        if task.start.attempt != command.attempt {
            return not_found();
        }
        match command.action {
            TaskAction::Renew if task.state == TaskState::Running => {
                task.lease_until = Instant::now() + Duration::from_millis(task.start.lease_ms);
            }
            TaskAction::Stop if task.state == TaskState::Running => task.state = TaskState::Stopped,
            TaskAction::Throttle => task.is_throttled = true,
            TaskAction::Checkpoint => {
                checkpoints.insert(command.job.clone(), task.left);
            }
            TaskAction::Renew | TaskAction::Stop => {}
        }
        json(&task.report())
    }
}

impl Handler for WorkerServer {
    async fn handle(&self, request: IncomingRequest) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", TASKS_PATH) => {
                let reports: Vec<TaskReport> =
                    self.lock().tasks.values().map(Task::report).collect();
                json(&reports)
            }
            ("POST", TASKS_PATH) => {
                parse(&request).map_or_else(|reply| reply, |start| self.start(start))
            }
            ("POST", "/v1/tasks/command") => {
                parse(&request).map_or_else(|reply| reply, |command| self.command(&command))
            }
            ("POST", "/admin/faults") => match parse::<WorkerFaults>(&request) {
                Ok(faults) => {
                    self.lock().faults = faults;
                    json(&"ok")
                }
                Err(reply) => reply,
            },
            ("GET", "/admin/counts") => json(&self.lock().counts),
            _ => not_found(),
        }
    }
}

/// Runs a worker; `on_ready` gets the address that was bound.
pub async fn run(address: SocketAddr, on_ready: impl FnOnce(SocketAddr)) -> std::io::Result<()> {
    let (listener, bound) = bind(address).await?;
    let server = WorkerServer::default();
    let clock = server.clone();
    tokio::spawn(async move { clock.run_tasks().await });
    on_ready(bound);
    serve_forever(listener, default_limits(), server).await;
    Ok(())
}
