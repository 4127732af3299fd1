//! The state of the one process that owns the fleet: all jobs, executors and machines.
//!
//! Everything here is rebuilt by each new owner from the store and from what executors say, so
//! nothing in it has to outlive the process. Orders leave only for placements that are durable.

mod blame;
mod commits;
mod crash_scenes;
mod executors;
mod freed_labels;
mod gangs;
mod held_back;
mod held_room;
mod label_need;
mod label_shares;
mod lives;
mod losses;
mod maintenance;
mod openings;
mod pacing;
mod placement;
mod pool_view;
mod pools;
mod reports;
mod starts;
mod vacating;
mod waits;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{AccountName, ExecutorId, JobId, PoolName, Revision, ServiceName},
};

pub use blame::{Blame, GivenUp};
pub use commits::{Batch, ChangedJob, FinishedJob};
pub use held_back::Pause;
pub use losses::{Loss, LossEvidence, LostRun};
pub use pools::Shortage;
pub use reports::HoldOrder;
pub use starts::{StartEnd, StopEnd};
pub use waits::{Obstacles, Wait};

use crash_scenes::CrashScenes;
use held_back::HeldBack;

use crate::{
    account::{Account, Accounts},
    crash::Retry,
    demand::Arrivals,
    executor::{Executor, TaskRef, Watch},
    job::{Job, Phase, TaskIndex},
    machines::{MachineId, Machines},
    policy::Policy,
    record::{JobOutcome, JobRecord},
    spec::{JobSpec, Label, Queue, QueueName, RunNumber, Service, Submission, TaskKey},
    table::Table,
};

/// Entries' times of day differ by no more than this, also while they are set right.
const CLOCK_DIFFERENCE: Duration = Duration::from_secs(5);
/// Labels that are remembered: callers may make up any number.
const MAX_ASKED_LABELS: usize = 64;

/// What the owner's decisions are bounded by.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Lease that executors get for what they run; a running task survives that long without
    /// word from an owner.
    pub lease: Duration,
    /// The longest lease that executors accept.
    pub longest_lease: Duration,
    /// How long after a take-over an executor that never answered may still run something.
    pub doubt: Duration,
    /// An executor needs at most this long to stop a task.
    pub stop_timeout: Duration,
    /// How long a machine is away for maintenance.
    pub maintenance: Duration,
    /// A task away from its data takes this many times as long.
    pub remote_factor: f64,
    /// An earlier holder's machine orders have all arrived this long after a take-over.
    pub order_lease: Duration,
    /// Which mechanisms decide.
    pub policy: Policy,
}

/// What the owner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Start a task; report by [`Fleet::start_ended`].
    Start {
        /// The executor.
        executor: ExecutorId,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: RunNumber,
        /// What the job's caller gave for its tasks.
        payload: Arc<str>,
        /// Checkpoint to go on from; empty if there is none.
        checkpoint: Box<str>,
        /// Permission of the placement advisor, where the queue needs one.
        ticket: Option<Arc<str>>,
    },
    /// Stop a task; report by [`Fleet::stop_ended`].
    Stop {
        /// The executor.
        executor: ExecutorId,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: RunNumber,
        /// Why, for the log.
        reason: StopReason,
    },
    /// Let a task work at this share of its speed.
    Pace {
        /// The executor.
        executor: ExecutorId,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: RunNumber,
        /// The share in percent.
        percent: u32,
    },
    /// Ask which of these executors may run a step; report by [`Fleet::advised`].
    Advise {
        /// A task of the step.
        task: TaskKey,
        /// The executors.
        executors: Vec<ExecutorId>,
    },
    /// An order about a machine; report by [`Fleet::machine_order_ended`].
    Machine(crate::machines::MachineOrder),
    /// The state of a wave of maintenance, for the operators.
    Wave(crate::machines::WaveState),
}

/// Why a run is stopped. What ends work of callers has to be found in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job is over, by this outcome.
    JobOver(JobOutcome),
    /// Another member of its gang doesn't run.
    GangBroken,
    /// It runs elsewhere from now on, so that its machine can be taken.
    MachineTaken,
    /// The order to start it went without a sure answer.
    StartUnsure,
    /// Its executor had confirmed it and doesn't list it.
    Unlisted,
    /// Its executor has started again while the order to start it was on its way.
    ExecutorRestarted,
    /// It is of a job that is over or unknown, or was followed by a later run.
    Superseded,
    /// The order to stop it went without an answer before.
    Repeated,
}

/// What a caller is told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobView {
    /// None of its tasks has begun.
    Queued,
    /// Some task has begun.
    Running,
    /// It is over, durably.
    Over(JobOutcome),
}

/// What is left of a job that an earlier owner ended.
#[derive(Debug)]
struct EndedBefore {
    outcome: JobOutcome,
    account: Option<AccountName>,
    /// Some task of it was ordered more than once.
    has_rerun: bool,
}

/// Permissions of the placement advisor for one step.
#[derive(Debug)]
struct Advice {
    asked_at: Now,
    valid_until: Now,
    tickets: BTreeMap<ExecutorId, Arc<str>>,
}

/// The owner's state.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    started_at: Now,
    queues: BTreeMap<QueueName, Queue>,
    services: BTreeMap<ServiceName, Service>,
    accounts: Accounts,
    jobs: Table<JobId, Job>,
    /// Jobs that aren't over, by queue.
    open: BTreeMap<QueueName, BTreeSet<JobId>>,
    /// Repeated jobs with occurrences to come.
    scheduled: BTreeSet<JobId>,
    executors: Table<ExecutorId, Executor>,
    by_service: BTreeMap<ServiceName, Vec<ExecutorId>>,
    dirty: VecDeque<JobId>,
    /// Jobs that are over, with the time since when.
    over: VecDeque<(JobId, Now)>,
    /// Those that an earlier owner ended.
    ended_before: BTreeMap<JobId, EndedBefore>,
    advice: BTreeMap<(JobId, usize), Advice>,
    commands: Vec<Command>,
    finished: Vec<FinishedJob>,
    losses: Vec<Loss>,
    blames: Vec<Blame>,
    given_up: Vec<GivenUp>,
    held_back: HeldBack,
    crash_scenes: CrashScenes,
    /// Executors of which more ends have become durable.
    settled: Vec<ExecutorId>,
    machines: Machines,
    machines_planned_at: Now,
    expired_at: Now,
    shortages: Vec<Shortage>,
    /// Since when pools lack machines with a label.
    label_lacks_since: BTreeMap<(PoolName, Label), Now>,
    arrivals: BTreeMap<ServiceName, Arrivals>,
    /// Labels that jobs have asked for in this term.
    asked_labels: BTreeSet<Label>,
    next_batch: u64,
    executors_tried: u64,
    /// Time of day at the last tick, in milliseconds since 1970.
    wall_ms: u64,
}

impl Fleet {
    /// Returns the state of an owner that has just taken over.
    pub fn new(settings: FleetSettings, now: Now) -> Self {
        Self {
            machines: Machines::new(now + settings.order_lease),
            settings,
            started_at: now,
            queues: BTreeMap::new(),
            services: BTreeMap::new(),
            accounts: Accounts::default(),
            jobs: Table::default(),
            open: BTreeMap::new(),
            scheduled: BTreeSet::new(),
            executors: Table::default(),
            by_service: BTreeMap::new(),
            dirty: VecDeque::new(),
            over: VecDeque::new(),
            ended_before: BTreeMap::new(),
            advice: BTreeMap::new(),
            commands: Vec::new(),
            finished: Vec::new(),
            losses: Vec::new(),
            blames: Vec::new(),
            given_up: Vec::new(),
            held_back: HeldBack::default(),
            crash_scenes: CrashScenes::default(),
            settled: Vec::new(),
            machines_planned_at: Now::ZERO,
            expired_at: Now::ZERO,
            shortages: Vec::new(),
            label_lacks_since: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            asked_labels: BTreeSet::new(),
            next_batch: 0,
            executors_tried: 0,
            wall_ms: 0,
        }
    }

    /// Takes over the configuration. Queues and accounts that are gone keep their last settings for
    /// the jobs that they accepted or handed in.
    pub fn configure(
        &mut self,
        queues: Vec<Queue>,
        services: Vec<Service>,
        accounts: Vec<Account>,
    ) {
        self.accounts.configure(accounts);
        for queue in queues {
            self.queues.insert(queue.name.clone(), queue);
        }
        self.services = services.into_iter().map(|one| (one.name.clone(), one)).collect();
    }

    /// Takes in an accepted job that arrived at `arrived_at`. A job that is known already stays as it is.
    pub fn add_job(
        &mut self,
        now: Now,
        arrived_at: Now,
        wall_ms: u64,
        id: JobId,
        submission: Submission,
    ) {
        if let Some(queue) = self.queues.get(&submission.queue)
            && !self.jobs.contains_key(&id)
        {
            let arrivals = self.arrivals.entry(queue.service.clone()).or_default();
            // What a cap keeps from running within a second needs no machines.
            let most = self.accounts.left_millicores(submission.account.as_ref());
            arrivals.add(now, arrived_at, submission.spec.core_ms().min(most));
        }
        self.recover_job(now, wall_ms, id, submission, None);
    }

    /// Takes in a job with what an earlier owner wrote of it.
    pub fn recover_job(
        &mut self,
        now: Now,
        wall_ms: u64,
        id: JobId,
        submission: Submission,
        written: Option<(JobRecord, Revision)>,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        if let Some(settings) = &submission.settings {
            let known = self.queues.entry(submission.queue.clone());
            known.or_insert_with(|| settings.clone());
        }
        self.note_labels(&submission.spec);
        let age = Duration::from_millis(wall_ms.saturating_sub(submission.accepted_ms));
        let mut job = Job::new(id.clone(), submission, now.saturating_sub(age));
        if let Some((record, revision)) = &written {
            job.restore(record, *revision);
        }
        if job.is_over() {
            if let Some((record, _)) = &written {
                self.count_remains(now, wall_ms, record);
            }
            self.over.push_back((id.clone(), now));
        } else {
            self.open.entry(job.queue.clone()).or_default().insert(id.clone());
            if job.spec.schedule.is_some() {
                self.scheduled.insert(id.clone());
            }
            self.place_doubtful(&job);
            job.open_steps(now, wall_ms);
        }
        self.jobs.insert(id.clone(), job);
        self.hold_back_again(now, &id);
    }

    /// Remembers the labels that a job asks for: others like it will come.
    fn note_labels(&mut self, spec: &JobSpec) {
        for label in spec.steps.iter().filter_map(|step| step.required_label.as_ref()) {
            if self.asked_labels.len() < MAX_ASKED_LABELS {
                self.asked_labels.insert(label.clone());
            }
        }
    }

    /// Takes in a job that an earlier owner ended, of which the store only has the record.
    pub fn recover_over(&mut self, now: Now, wall_ms: u64, id: JobId, record: &JobRecord) {
        let Some(outcome) = record.outcome else { return };
        if self.jobs.contains_key(&id) {
            return;
        }
        self.count_remains(now, wall_ms, record);
        let account = record.account.clone();
        let ended = EndedBefore { outcome, account, has_rerun: record.has_rerun };
        self.ended_before.insert(id.clone(), ended);
        self.over.push_back((id, now));
    }

    /// An earlier owner has noted which machines it ordered lately, before each order left, and how
    /// long before its last note that was. Those are left alone until its orders must have arrived;
    /// all others may be ordered at once.
    pub fn recover_orders(&mut self, now: Now, machines: Vec<(MachineId, Duration)>) {
        self.machines.hold(now, machines);
    }

    /// Counts what a job that an earlier owner ended may still have running, until it must have ended.
    fn count_remains(&mut self, now: Now, wall_ms: u64, record: &JobRecord) {
        let (Some(account), Some(remains)) = (&record.account, record.remains) else { return };
        let age = Duration::from_millis(wall_ms.saturating_sub(remains.ended_ms));
        if age < self.settings.doubt + CLOCK_DIFFERENCE {
            let until = self.started_at.max(now) + self.settings.doubt;
            self.accounts.book_until(until, account, &remains.amount);
        }
    }

    /// Books the room of the tasks that an earlier owner placed.
    fn place_doubtful(&mut self, job: &Job) {
        let doubt_until = self.started_at + self.settings.doubt;
        for (index, task) in job.tasks.iter().enumerate() {
            let Some(id) = task.phase.executor() else { continue };
            let is_suspect = self.is_suspect(job, index);
            let executor = self
                .executors
                .get_or_insert_with(id.clone(), || Executor::new(self.started_at, doubt_until));
            book(executor, &mut self.accounts, job, index);
            if is_suspect {
                executor.watch = Some(Watch { task: (job.id.clone(), index), until: None });
            }
        }
    }

    /// Its caller has cancelled a job, durably.
    pub fn cancel(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.is_over() || job.is_cancelled {
            return;
        }
        job.is_cancelled = true;
        self.finish(now, &id.clone(), JobOutcome::Cancelled);
    }

    /// What a caller is told of a job; none if it isn't known here.
    pub fn view(&self, id: &str) -> Option<JobView> {
        let Some(job) = self.jobs.get(id) else {
            return self.ended_before.get(id).map(|ended| JobView::Over(ended.outcome));
        };
        Some(match job.shown {
            Some(outcome) => JobView::Over(outcome),
            None if job.has_begun => JobView::Running,
            None => JobView::Queued,
        })
    }

    /// Whether a job is over and it isn't known yet that this is durable: others may be told of its end already.
    pub fn is_ending(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|job| job.is_over() && job.shown.is_none())
    }

    /// The client account that a job belongs to; none if the job isn't known here.
    pub fn account_of(&self, id: &str) -> Option<Option<&AccountName>> {
        let of_open = self.jobs.get(id).map(|job| job.account.as_ref());
        of_open.or_else(|| self.ended_before.get(id).map(|ended| ended.account.as_ref()))
    }

    /// Jobs of each queue of which no task has begun.
    pub fn pending(&self) -> BTreeMap<QueueName, u64> {
        let count = |ids: &BTreeSet<JobId>| {
            ids.iter().filter(|id| self.jobs.get(*id).is_some_and(|job| !job.has_begun)).count()
        };
        self.open.iter().map(|(queue, ids)| (queue.clone(), count(ids) as u64)).collect()
    }

    /// Executors that have been compared for tasks so far: what placing costs.
    pub fn executors_tried(&self) -> u64 {
        self.executors_tried
    }

    /// Takes what has been decided since the last call.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Whether a start is still wanted, asked right before its order leaves.
    pub fn is_wanted(&self, executor: &str, key: &TaskKey, run: RunNumber) -> bool {
        self.jobs.get(&key.job).is_some_and(|job| {
            let index = job.index(key);
            index.is_some_and(|index| {
                let task = &job.tasks[index];
                let is_starting =
                    matches!(&task.phase, Phase::Starting { executor: at } if &**at == executor);
                is_starting && task.run == run
            })
        })
    }

    /// Lets time pass: occurrences become due, leases lapse, waiting tasks get room.
    pub fn tick(&mut self, now: Now, wall_ms: u64) {
        self.wall_ms = wall_ms;
        self.accounts.expire(now);
        self.open_due(now, wall_ms);
        self.expire_sometimes(now);
        self.plan_machines(now);
        self.reopen_machine(now);
        self.release_held(now);
        self.place(now);
    }

    fn open_due(&mut self, now: Now, wall_ms: u64) {
        let jobs = &mut self.jobs;
        self.scheduled.retain(|id| {
            let Some(job) = jobs.get_mut(id) else { return false };
            job.open_steps(now, wall_ms);
            !job.is_over() && job.has_unopened_occurrence()
        });
    }

    /// Ends a job: nothing of it starts any more and what runs is stopped.
    fn finish(&mut self, now: Now, id: &JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.outcome = Some(outcome);
        job.ended_ms = self.wall_ms;
        job.startable.clear();
        if let Some(open) = self.open.get_mut(&job.queue) {
            open.remove(id);
        }
        self.over.push_back((id.clone(), now));
        for index in 0..job.tasks.len() {
            self.stop_task(now, &(id.clone(), index), StopReason::JobOver(outcome));
        }
        self.touch(id);
    }

    /// Orders the end of a task that may run; one whose order hasn't left is simply dropped.
    fn stop_task(&mut self, now: Now, task_ref: &TaskRef, reason: StopReason) {
        let Some(job) = self.jobs.get_mut(&task_ref.0) else { return };
        let task = &mut job.tasks[task_ref.1];
        // It is away from now on, though it takes a moment to end.
        task.at_work_since = None;
        match &task.phase {
            Phase::Waiting | Phase::Done | Phase::Stopping { .. } => {}
            Phase::Planned { .. } => self.run_over(now, task_ref, None),
            Phase::Starting { executor }
            | Phase::Running { executor, .. }
            | Phase::Doubt { executor } => {
                let executor = executor.clone();
                task.phase = Phase::Stopping { executor: executor.clone(), confirmed_at: None };
                let run = task.run;
                let task = job.key(task_ref.1);
                self.commands.push(Command::Stop { executor, task, run, reason });
            }
        }
    }

    /// Marks a job's durable state as changed.
    fn touch(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.changes += 1;
        if !job.is_dirty {
            job.is_dirty = true;
            self.dirty.push_back(id.clone());
        }
    }

    /// A run is over for certain. `ended_as` is how; none if it never began or was cut short.
    fn run_over(&mut self, now: Now, task_ref: &TaskRef, ended_as: Option<TaskEnd>) {
        let (id, index) = (&task_ref.0, task_ref.1);
        let is_done_by_gang = ended_as.is_none() && self.gang_is_done(task_ref);
        let ended_as = if is_done_by_gang { Some(TaskEnd::Done) } else { ended_as };
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(executor) = job.tasks[index].phase.executor().cloned()
            && let Some(executor) = self.executors.get_mut(&executor)
        {
            unbook(executor, &mut self.accounts, job, index);
        }
        let slot = job.slot(index);
        let is_gang = job.step(index).is_gang;
        let task = &mut job.tasks[index];
        task.at_work_since = None;
        task.phase = if ended_as == Some(TaskEnd::Done) { Phase::Done } else { Phase::Waiting };
        if task.phase == Phase::Done {
            job.progress[slot].remaining -= 1;
            if is_gang {
                job.finish_waiting(slot);
            }
            if job.progress[slot].remaining == 0 {
                job.open_steps(now, self.wall_ms);
            }
        } else if ended_as == Some(TaskEnd::Failed) {
            task.note_failure(task.run);
        }
        if job.is_over() {
            return;
        }
        let is_waiting = job.tasks[index].phase == Phase::Waiting;
        let is_done = job.progress.iter().all(|slot| slot.remaining == 0);
        self.touch(id);
        if is_done {
            self.finish(now, id, JobOutcome::Completed);
        } else if is_waiting {
            self.wait_again(now, task_ref);
        }
    }

    /// A task whose run is over without success waits for its next start, unless it is given up.
    fn wait_again(&mut self, now: Now, task_ref: &TaskRef) {
        self.give_up(now, task_ref);
        let Some(job) = self.jobs.get_mut(&task_ref.0).filter(|job| !job.is_over()) else { return };
        let slot = job.slot(task_ref.1);
        let is_open = job.progress[slot].is_open;
        match job.retry(task_ref.1) {
            Retry::AtOnce if is_open => job.wait(now, task_ref.1),
            Retry::AtOnce => {}
            Retry::After(pause) => self.hold_back(now, task_ref, Some(pause)),
            Retry::Never => self.hold_back(now, task_ref, None),
        }
        let Some(job) = self.jobs.get(&task_ref.0) else { return };
        if job.step(task_ref.1).is_gang {
            self.stop_gang(now, &task_ref.0, slot);
        }
    }

    /// Forgets jobs that ended over `retention` ago and returns them, for the store to follow.
    pub fn forget_jobs(&mut self, now: Now, retention: Duration) -> Vec<JobId> {
        let mut forgotten = Vec::new();
        while let Some((_, over_at)) = self.over.front() {
            if now.saturating_sub(*over_at) < retention {
                break;
            }
            let (id, _) = self.over.pop_front().expect("the front was just read");
            self.jobs.remove(&id);
            self.ended_before.remove(&id);
            forgotten.push(id);
        }
        forgotten
    }
}

/// How a run ended, as far as its task cares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskEnd {
    Done,
    Failed,
}

fn book(executor: &mut Executor, accounts: &mut Accounts, job: &Job, index: TaskIndex) {
    let step = job.step(index);
    if !executor.tasks.insert((job.id.clone(), index)) {
        return;
    }
    accounts.book(job.account.as_ref(), &step.need);
    executor.booked.add(&step.booked());
    *executor.per_slot.entry((job.id.clone(), job.slot(index))).or_default() += 1;
    executor.serving += u32::from(step.tail_target.is_some());
    executor.fillers += u32::from(step.is_filler);
}

fn unbook(executor: &mut Executor, accounts: &mut Accounts, job: &Job, index: TaskIndex) {
    let step = job.step(index);
    if !executor.tasks.remove(&(job.id.clone(), index)) {
        return;
    }
    accounts.unbook(job.account.as_ref(), &step.need);
    executor.booked.subtract(&step.booked());
    let is_watched = |watch: &Watch| watch.task.0 == job.id && watch.task.1 == index;
    if executor.watch.as_ref().is_some_and(is_watched) {
        executor.watch = None;
    }
    let slot = (job.id.clone(), job.slot(index));
    if let Some(count) = executor.per_slot.get_mut(&slot) {
        *count -= 1;
        if *count == 0 {
            executor.per_slot.remove(&slot);
        }
    }
    executor.serving -= u32::from(step.tail_target.is_some());
    executor.fillers -= u32::from(step.is_filler);
}
