//! The owner's state of an executor: allocated resources, leases by the executor's clock, and ends that
//! aren't acknowledged yet.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId, RackName, ServiceName, ZoneName},
};

use crate::{
    end_acks::EndAcks,
    fleet::SpeedTracker,
    job::TaskIndex,
    spec::{Label, Resources, RunNumber, TaskKey},
};

/// An executor as the registry lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct ExecutorInfo {
    /// Id of the executor, which may stay the same across restarts.
    pub id: ExecutorId,
    /// Incarnation of the executor; `None` if it doesn't report one.
    pub incarnation: Option<IncarnationId>,
    /// Service that the executor belongs to.
    pub service: ServiceName,
    /// Network address; a later executor may get the same one.
    pub address: Arc<str>,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack, if it reports one.
    pub rack: Option<RackName>,
    /// Labels that tasks may require.
    pub labels: Vec<Label>,
    /// Total resources.
    pub capacity: Resources,
    /// Whether the executor accepts no new work and leaves soon.
    pub is_draining: bool,
}

/// Identifies an incarnation of an executor: its start time in milliseconds since 1970 by its own clock. Since
/// clocks are adjusted, a later incarnation doesn't always have a larger id.
pub type IncarnationId = u64;

/// An executor's answer to a hold: its running tasks and the ends of runs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HoldReport {
    /// Incarnation of the executor; `None` if it doesn't report one.
    pub incarnation: Option<IncarnationId>,
    /// Monotonic clock of the executor at the time of the answer.
    pub clock: Duration,
    /// Running tasks.
    pub running: Vec<RunningTask>,
    /// Unacknowledged ends of runs, oldest first; at most [`MAX_ENDS_PER_REPORT`].
    pub ended: Vec<EndedTask>,
}

/// Maximum number of ends that an executor lists in one report (platform's protocol).
pub const MAX_ENDS_PER_REPORT: usize = 500;

/// A running task.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
    /// Current share of the full speed, in percent; 0 during startup.
    pub speed_percent: u32,
    /// Tail latency in milliseconds for a task that serves users; CPU usage in thousandths of a core for any
    /// other. A rough value over the last half second.
    pub gauge: u64,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedTask {
    /// Sequence number in the executor's list of ends.
    pub sequence: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// How the run ended.
    pub kind: EndKind,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The task failed, because of itself or of the executor.
    Failed,
    /// The task was ordered to stop.
    Stopped,
    /// The executor's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang didn't start in time.
    Alone,
}

/// Identifies a task by its job and its index in the job.
pub(crate) type TaskRef = (JobId, TaskIndex);

#[derive(Debug, Clone, Copy)]
struct ClockReading {
    executor_clock: Duration,
    at: Now,
}

/// Maximum lag of the executors' monotonic clocks, in thousandths (platform's protocol).
const MAX_CLOCK_LAG_PERMILLE: u32 = 20;
/// Safety margin after the expiry of a lease, for the time that an executor needs to end its tasks.
const LAPSE_MARGIN: Duration = Duration::from_millis(250);
/// Maximum silence of an executor for which its lease is still extended, so that the expiry of its tasks
/// stays bounded: slightly more than one long poll and its timeout.
const LEASE_RAISE_SILENCE_LIMIT: Duration = Duration::from_millis(1800);

/// Last signs of an executor's incarnation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LastContact {
    /// Time of the last answer of any kind.
    pub(crate) last_answer: Now,
    /// Time of the first failed call after that.
    pub(crate) first_failure: Option<Now>,
    /// Time of the last list of machines that named the executor.
    pub(crate) last_listing: Now,
    /// Time without a list of machines before the one that shows the loss, or until now.
    pub(crate) listing_gap: Duration,
}

/// The isolated start of a task that is suspected of crashing executors.
#[derive(Debug)]
pub(crate) struct IsolatedStart {
    pub(crate) task: TaskRef,
    /// End of the isolation; `None` until the start is confirmed.
    pub(crate) until: Option<Now>,
}

#[derive(Debug)]
pub(crate) struct Executor {
    /// When this process first knew of the executor.
    pub(crate) known_at: Now,
    pub(crate) info: Option<ExecutorInfo>,
    /// Incarnation that last answered or registered.
    pub(crate) incarnation: Option<IncarnationId>,
    /// Incarnations that have ended.
    pub(crate) previous_incarnations: Vec<IncarnationId>,
    /// Since when the executor doesn't answer holds. Until it does, orders may reach any incarnation, so they
    /// carry neither a sequence number of the known incarnation's ends nor a time by its clock.
    pub(crate) failed_at: Option<Now>,
    pub(crate) allocated: Resources,
    /// Whether the last report listed runs that belong to none of `tasks`. How much room they take isn't known.
    pub(crate) has_unaccounted_runs: bool,
    /// Whether the executor has answered this owner, after which no order of a previous owner can start a task.
    pub(crate) is_synced: bool,
    clock: Option<ClockReading>,
    /// Latest lease expiry that this or a previous owner may have granted, by the executor's clock.
    lease_until: Option<Duration>,
    /// Latest lease expiry that this process has granted, by the executor's clock.
    granted_until: Option<Duration>,
    /// When all leases of previous owners have expired, even if the executor never answers.
    pub(crate) uncertain_until: Now,
    pub(crate) tasks: BTreeSet<TaskRef>,
    /// Number of tasks on the executor by (job, slot), for steps with a limit per executor.
    pub(crate) tasks_per_slot: BTreeMap<(JobId, usize), u32>,
    /// Begin of the current or the last freeze.
    pub(crate) frozen_since: Now,
    /// Acknowledgement of the ends that it lists.
    pub(crate) acks: EndAcks,
    /// Whether its last answer named running tasks.
    pub(crate) reports_running: bool,
    /// Isolated start in progress; nothing else starts on the executor meanwhile.
    pub(crate) isolated_start: Option<IsolatedStart>,
    /// Time of the last answer of any kind.
    pub(crate) answered_at: Now,
    /// Last signs of the previous incarnation.
    pub(crate) previous_last_contact: LastContact,
    pub(crate) is_listed: bool,
    /// When the last list of machines that names the executor was requested.
    pub(crate) last_listed_at: Now,
    /// Whether the incarnation has certainly ended, though the registry may list it for some seconds more.
    pub(crate) has_ended: bool,
    /// Time before which nothing is placed, after a refusal or a missing answer.
    pub(crate) avoid_until: Now,
    /// Number of tasks that serve users with a tail latency target.
    pub(crate) serving_tasks: u32,
    /// Number of tasks that only use idle CPU.
    pub(crate) filler_tasks: u32,
    /// Consecutive failures of different jobs; an executor that fails all tasks is excluded from placement.
    pub(crate) consecutive_failures: u32,
    /// What the run times of this incarnation show of its speed.
    pub(crate) speed: SpeedTracker,
}

impl Executor {
    pub(crate) fn new(known_at: Now, uncertain_until: Now) -> Self {
        Self {
            known_at,
            info: None,
            incarnation: None,
            previous_incarnations: Vec::new(),
            failed_at: None,
            allocated: Resources::default(),
            has_unaccounted_runs: false,
            is_synced: false,
            clock: None,
            lease_until: None,
            granted_until: None,
            uncertain_until,
            tasks: BTreeSet::new(),
            tasks_per_slot: BTreeMap::new(),
            frozen_since: Now::ZERO,
            acks: EndAcks::default(),
            reports_running: false,
            isolated_start: None,
            answered_at: Now::ZERO,
            previous_last_contact: LastContact::default(),
            is_listed: false,
            last_listed_at: Now::ZERO,
            has_ended: false,
            avoid_until: Now::ZERO,
            serving_tasks: 0,
            filler_tasks: 0,
            consecutive_failures: 0,
            speed: SpeedTracker::default(),
        }
    }

    /// Returns the last signs of the current incarnation.
    pub(crate) fn last_contact(&self) -> LastContact {
        LastContact {
            last_answer: self.answered_at,
            first_failure: self.failed_at,
            last_listing: self.last_listed_at,
            listing_gap: Duration::ZERO,
        }
    }

    /// Returns the service of the executor, if known.
    pub(crate) fn service(&self) -> Option<ServiceName> {
        self.info.as_ref().map(|info| info.service.clone())
    }

    /// Returns whether an isolated start is in progress.
    pub(crate) fn is_isolating(&self, now: Now) -> bool {
        self.isolated_start
            .as_ref()
            .is_some_and(|isolated_start| isolated_start.until.is_none_or(|until| now < until))
    }

    /// Returns whether the executor has answered since the last isolation ended, so that the isolated task isn't
    /// the cause if it stops answering.
    pub(crate) fn has_answered_since_isolation(&self) -> bool {
        let until = self.isolated_start.as_ref().and_then(|isolated_start| isolated_start.until);
        until.is_none_or(|until| self.answered_at >= until)
    }

    /// Records the confirmed start of a task; if the start is isolated, the isolation lasts from now on.
    pub(crate) fn note_confirmed_start(
        &mut self,
        now: Now,
        task: &TaskRef,
        isolation_time: Option<Duration>,
    ) {
        // Its crashes may have been attributed to another task since the placement.
        let time = isolation_time.unwrap_or_default();
        if let Some(isolated_start) =
            self.isolated_start.as_mut().filter(|isolated_start| isolated_start.task == *task)
        {
            isolated_start.until.get_or_insert(now + time);
        }
    }

    /// Returns the unallocated resources; none while runs are there whose room isn't known, which are being stopped.
    pub(crate) fn free(&self) -> Resources {
        if self.has_unaccounted_runs {
            return Resources::default();
        }
        self.info.as_ref().map_or(Resources::default(), |info| info.capacity.minus(&self.allocated))
    }

    /// Resets the state after a restart of the executor, except for the tasks that were ordered.
    pub(crate) fn begin_incarnation(&mut self, now: Now, incarnation: IncarnationId) {
        let previous_last_contact = self.last_contact();
        let previous = std::mem::replace(self, Self::new(now, now));
        self.previous_last_contact = previous_last_contact;
        self.info = previous.info;
        self.is_listed = previous.is_listed;
        self.allocated = previous.allocated;
        self.tasks = previous.tasks;
        self.isolated_start = previous.isolated_start;
        self.tasks_per_slot = previous.tasks_per_slot;
        self.serving_tasks = previous.serving_tasks;
        self.filler_tasks = previous.filler_tasks;
        self.previous_incarnations = previous.previous_incarnations;
        self.previous_incarnations.extend(previous.incarnation);
        self.incarnation = Some(incarnation);
        self.failed_at = Some(now);
    }

    /// Records an answer of the executor. A previous owner may have just granted it a lease of the usual length;
    /// an order that was meant for a previous incarnation, with a time by another clock, may have granted the
    /// longest.
    pub(crate) fn note_answer(
        &mut self,
        now: Now,
        executor_clock: Duration,
        default_lease: Duration,
        longest_lease: Duration,
    ) {
        self.answered_at = now;
        self.failed_at = None;
        let first_lease =
            if self.previous_incarnations.is_empty() { default_lease } else { longest_lease };
        self.lease_until.get_or_insert(executor_clock + first_lease);
        // Answers may arrive out of order; older clock readings are ignored.
        if self.clock.is_none_or(|last| last.executor_clock <= executor_clock) {
            self.clock = Some(ClockReading { executor_clock, at: now });
        }
    }

    /// Returns when the last clock reading of the executor was received.
    pub(crate) fn clock_read_at(&self) -> Option<Now> {
        self.clock.map(|reading| reading.at)
    }

    /// Returns the lease expiry to order now, by the executor's clock. It counts as granted at once, since the
    /// order may be executed even if its answer is lost.
    pub(crate) fn grant_lease(&mut self, now: Now, lease: Duration) -> Option<Duration> {
        let reading = self.clock?;
        let silence = now.saturating_sub(reading.at);
        let extension = if silence > LEASE_RAISE_SILENCE_LIMIT { Duration::ZERO } else { silence };
        // A longer lease of a previous owner isn't granted again: the next owner relies on the usual length.
        let until = reading.executor_clock + extension + lease;
        self.granted_until = self.granted_until.max(Some(until));
        self.lease_until = self.lease_until.max(self.granted_until);
        self.granted_until
    }

    /// Returns whether the lease of everything that was ever started on the executor has expired.
    pub(crate) fn has_lapsed(&self, now: Now) -> bool {
        let Some(reading) = self.clock else {
            return now >= self.uncertain_until;
        };
        let slow = now.saturating_sub(reading.at) * (1000 - MAX_CLOCK_LAG_PERMILLE) / 1000;
        let clock_at_least = reading.executor_clock + slow;
        self.lease_until.is_some_and(|until| clock_at_least >= until + LAPSE_MARGIN)
            && (self.is_synced || now >= self.uncertain_until)
    }

    /// Whether the executor gets no work until its lease has expired, since an end that it lists must not be
    /// acknowledged before.
    pub(crate) fn is_frozen(&self) -> bool {
        self.acks.is_barred()
    }

    /// Whether the lease is left to expire: the executor is frozen, and nothing runs there that would be lost.
    pub(crate) fn awaits_lease_expiry(&self) -> bool {
        self.is_frozen() && !self.reports_running
    }

    /// Whether the lease has expired by this reading of the executor's clock. Nothing that was ordered before then
    /// runs any more.
    pub(crate) fn has_expired_by(&self, executor_clock: Duration) -> bool {
        self.lease_until.is_some_and(|until| executor_clock >= until + LAPSE_MARGIN)
    }
}
