//! An executor as its owner sees it: room, leases by its own clock, and ends not yet acknowledged.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use jackdawpier_kernel::{
    Now,
    ids::{ExecutorId, JobId, RackName, ServiceName, ZoneName},
};

use crate::{
    job::TaskIndex,
    spec::{Label, Resources, RunNumber, TaskKey},
};

/// An executor as the registry lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct ExecutorInfo {
    /// Its id, which it may keep when it starts again.
    pub id: ExecutorId,
    /// Which of its lives this is; none if it doesn't say.
    pub incarnation: Option<IncarnationId>,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its network address; a later executor may get the same one.
    pub address: Arc<str>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack, if it names one.
    pub rack: Option<RackName>,
    /// What it can do, for tasks that need a label.
    pub labels: Vec<Label>,
    /// Its room.
    pub capacity: Resources,
    /// It takes no new work and leaves soon.
    pub is_draining: bool,
}

/// Tells the lives of an executor apart: when it started, in milliseconds since 1970 by its own clock, so
/// a later one isn't always larger.
pub type IncarnationId = u64;

/// What an executor says about itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HoldReport {
    /// Which of its lives this is; none if it doesn't say.
    pub incarnation: Option<IncarnationId>,
    /// Its steady clock when it answered.
    pub clock: Duration,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Ends that haven't been acknowledged, oldest first; at most [`MAX_ENDS_PER_REPORT`].
    pub ended: Vec<EndedTask>,
}

/// An executor lists at most this many ends at a time (platform's protocol).
pub const MAX_ENDS_PER_REPORT: usize = 500;

/// One task that runs.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: RunNumber,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
    /// Share of its full speed, in percent; 0 while it starts up.
    pub speed_percent: u32,
    /// For a task that serves users the tail of its response times in milliseconds; for any other
    /// the processor in use in thousandths of a core. A rough figure for the last half second.
    pub gauge: u64,
}

/// One run that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedTask {
    /// Position in the executor's list of ends.
    pub sequence: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// The checkpoint it left; empty if there is none.
    pub checkpoint: Box<str>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// It did its work.
    Done,
    /// It failed, by its own fault or the executor's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The executor's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang didn't come in time.
    Alone,
}

/// A task by its job and place.
pub(crate) type TaskRef = (JobId, TaskIndex);

#[derive(Debug)]
struct PendingAck {
    sequence: u64,
    job: JobId,
    needed_changes: u64,
}

#[derive(Debug, Clone, Copy)]
struct ClockReading {
    executor_clock: Duration,
    at: Now,
}

/// Executors' steady clocks may be this much slow (platform's protocol), in thousandths.
const MAX_CLOCK_LAG_PERMILLE: u32 = 20;
/// Added to every judgement that a lease has run out, for the time that ending takes.
const LAPSE_MARGIN: Duration = Duration::from_millis(250);
/// An executor that hasn't answered for this long gets no longer leases until it does, so that the
/// end of its tasks can be foreseen: a little over one long poll and its timeout.
const LEASE_RAISE_SILENCE_LIMIT: Duration = Duration::from_millis(1800);

/// The last that was heard of a life.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LastContact {
    /// When it last answered anything at all.
    pub(crate) last_answer: Now,
    /// When it first failed to answer after that.
    pub(crate) first_failure: Option<Now>,
    /// When a list of machines last named it.
    pub(crate) last_listing: Now,
    /// For how long no list of machines was seen before the one that shows the loss, or until now.
    pub(crate) listing_gap: Duration,
}

/// A task that may be what earlier executors crashed of, in its first moments here.
#[derive(Debug)]
pub(crate) struct IsolatedStart {
    pub(crate) task: TaskRef,
    /// Until when; none before its start is confirmed.
    pub(crate) until: Option<Now>,
}

#[derive(Debug)]
pub(crate) struct Executor {
    /// Since when this process knows of it.
    pub(crate) known_at: Now,
    pub(crate) info: Option<ExecutorInfo>,
    /// The life that it was last heard in, or registered with.
    pub(crate) incarnation: Option<IncarnationId>,
    /// Lives that are over.
    pub(crate) previous_incarnations: Vec<IncarnationId>,
    /// Since when it doesn't answer holds. Until it does, what is said to it holds for any life: neither
    /// a position in the ends nor a time on the clock of the one that is known.
    pub(crate) failed_at: Option<Now>,
    pub(crate) allocated: Resources,
    /// It has answered under this ownership, so nothing of an earlier owner can start there.
    pub(crate) is_synced: bool,
    clock: Option<ClockReading>,
    /// The longest lease that may have been given, by this process or before, by its clock.
    lease_until: Option<Duration>,
    /// The longest that this process has given.
    granted_until: Option<Duration>,
    /// When everything of earlier owners has lapsed there, even if it never answers.
    pub(crate) uncertain_until: Now,
    pub(crate) tasks: BTreeSet<TaskRef>,
    /// Room of steps with a bound a executor: tasks here by (job, slot).
    pub(crate) tasks_per_slot: BTreeMap<(JobId, usize), u32>,
    unacknowledged: VecDeque<PendingAck>,
    acknowledged: u64,
    /// An end must not be acknowledged any more, and so none after it: the task was done here, and
    /// has been started again since. The executor takes no work until its life is over.
    pub(crate) is_frozen: bool,
    pub(crate) last_processed_end: u64,
    /// While this is watched nothing else starts here.
    pub(crate) isolated_start: Option<IsolatedStart>,
    /// When it last answered anything at all.
    pub(crate) answered_at: Now,
    /// What was known of the end of its former life.
    pub(crate) previous_last_contact: LastContact,
    pub(crate) is_listed: bool,
    /// When the last list of machines was asked for that named it.
    pub(crate) last_listed_at: Now,
    /// Its life is certainly over, though the registry may name it for seconds more.
    pub(crate) has_ended: bool,
    /// No placements before this time, after a refusal or a missing answer.
    pub(crate) avoid_until: Now,
    /// Tasks here that serve users under a bound on their tail.
    pub(crate) serving_tasks: u32,
    /// Tasks here that use what the others leave.
    pub(crate) filler_tasks: u32,
    /// Failures in a row of different jobs, for leaving out an executor that fails all it starts.
    pub(crate) consecutive_failures: u32,
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
            is_synced: false,
            clock: None,
            lease_until: None,
            granted_until: None,
            uncertain_until,
            tasks: BTreeSet::new(),
            tasks_per_slot: BTreeMap::new(),
            unacknowledged: VecDeque::new(),
            acknowledged: 0,
            is_frozen: false,
            last_processed_end: 0,
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
        }
    }

    pub(crate) fn last_contact(&self) -> LastContact {
        LastContact {
            last_answer: self.answered_at,
            first_failure: self.failed_at,
            last_listing: self.last_listed_at,
            listing_gap: Duration::ZERO,
        }
    }

    /// The service that it belongs to, as far as it is known.
    pub(crate) fn service(&self) -> Option<ServiceName> {
        self.info.as_ref().map(|info| info.service.clone())
    }

    pub(crate) fn is_isolating(&self, now: Now) -> bool {
        self.isolated_start
            .as_ref()
            .is_some_and(|isolated_start| isolated_start.until.is_none_or(|until| now < until))
    }

    /// Whether it has answered since the task that was watched here had its time, so that it isn't silent because of that
    /// one.
    pub(crate) fn has_answered_since_isolation(&self) -> bool {
        let until = self.isolated_start.as_ref().and_then(|isolated_start| isolated_start.until);
        until.is_none_or(|until| self.answered_at >= until)
    }

    /// A task has begun; if it is watched, it is so for a while from now.
    pub(crate) fn note_confirmed_start(
        &mut self,
        now: Now,
        task: &TaskRef,
        isolation_time: Option<Duration>,
    ) {
        // Its crashes may have been explained since it was placed.
        let time = isolation_time.unwrap_or_default();
        if let Some(isolated_start) =
            self.isolated_start.as_mut().filter(|isolated_start| isolated_start.task == *task)
        {
            isolated_start.until.get_or_insert(now + time);
        }
    }

    pub(crate) fn free(&self) -> Resources {
        self.info.as_ref().map_or(Resources::default(), |info| info.capacity.minus(&self.allocated))
    }

    /// It has started again: all that is known of it counts anew, but for the tasks that were ordered.
    pub(crate) fn begin_incarnation(&mut self, now: Now, incarnation: IncarnationId) {
        let previous_last_contact = self.last_contact();
        let former = std::mem::replace(self, Self::new(now, now));
        self.previous_last_contact = previous_last_contact;
        self.info = former.info;
        self.is_listed = former.is_listed;
        self.allocated = former.allocated;
        self.tasks = former.tasks;
        self.isolated_start = former.isolated_start;
        self.tasks_per_slot = former.tasks_per_slot;
        self.serving_tasks = former.serving_tasks;
        self.filler_tasks = former.filler_tasks;
        self.previous_incarnations = former.previous_incarnations;
        self.previous_incarnations.extend(former.incarnation);
        self.incarnation = Some(incarnation);
        self.failed_at = Some(now);
    }

    /// The executor has answered. A former owner may have given it a lease of the usual length just
    /// before; an order that was meant for a former life, with a time on another clock, the longest.
    pub(crate) fn note_answer(
        &mut self,
        now: Now,
        executor_clock: Duration,
        usual_lease: Duration,
        longest_lease: Duration,
    ) {
        self.answered_at = now;
        self.failed_at = None;
        let first = if self.previous_incarnations.is_empty() { usual_lease } else { longest_lease };
        self.lease_until.get_or_insert(executor_clock + first);
        // Answers overtake each other: an older reading is no news.
        if self.clock.is_none_or(|last| last.executor_clock <= executor_clock) {
            self.clock = Some(ClockReading { executor_clock, at: now });
        }
    }

    pub(crate) fn clock_read_at(&self) -> Option<Now> {
        self.clock.map(|reading| reading.at)
    }

    /// The lease to ask for now, by the executor's clock, and remembers it as given: the order may
    /// be carried out though its answer gets lost.
    pub(crate) fn grant_lease(&mut self, now: Now, lease: Duration) -> Option<Duration> {
        let reading = self.clock?;
        let silent_for = now.saturating_sub(reading.at);
        let raised_by =
            if silent_for > LEASE_RAISE_SILENCE_LIMIT { Duration::ZERO } else { silent_for };
        // What may have been given before isn't given again: a later owner counts on leases of the usual length.
        let until = reading.executor_clock + raised_by + lease;
        self.granted_until = self.granted_until.max(Some(until));
        self.lease_until = self.lease_until.max(self.granted_until);
        self.granted_until
    }

    /// Whether all that this process ever started here has lapsed.
    pub(crate) fn has_lapsed(&self, now: Now) -> bool {
        let Some(reading) = self.clock else {
            return now >= self.uncertain_until;
        };
        let slow = now.saturating_sub(reading.at) * (1000 - MAX_CLOCK_LAG_PERMILLE) / 1000;
        let clock_at_least = reading.executor_clock + slow;
        self.lease_until.is_some_and(|until| clock_at_least >= until + LAPSE_MARGIN)
            && (self.is_synced || now >= self.uncertain_until)
    }

    pub(crate) fn note_end(&mut self, sequence: u64, job: JobId, needed_changes: u64) {
        if self.is_frozen {
            return;
        }
        self.unacknowledged.push_back(PendingAck { sequence, job, needed_changes });
    }

    /// The position up to which all ends are durable.
    pub(crate) fn acknowledge(&mut self, durable_changes: impl Fn(&JobId) -> u64) -> u64 {
        while let Some(end) = self.unacknowledged.front() {
            if durable_changes(&end.job) < end.needed_changes {
                break;
            }
            self.acknowledged = end.sequence;
            self.unacknowledged.pop_front();
        }
        self.acknowledged
    }

    pub(crate) fn has_unacknowledged(&self) -> bool {
        !self.unacknowledged.is_empty()
    }
}
