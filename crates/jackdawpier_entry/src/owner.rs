//! The loops of the entry that owns the fleet.
//!
//! They pass external events to [`Fleet`] and execute its commands. All decisions are made in [`Fleet`].

mod commits;
mod executors;
mod explain;
mod intake;
mod job_room_note;
mod load_note;
mod machines;
mod order_note;
mod order_queue;
mod registry;
mod takeover;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use jackdawpier_fleet::{
    fleet::{Command, Fleet, FleetSettings, JobView},
    policy::Policy,
    spec::QueueName,
};
use jackdawpier_kernel::{
    Now,
    ids::{AccountName, ExecutorId, Revision},
};
pub use load_note::NoteSchedule;
use serde_json::json;
use tokio::sync::Notify;

use crate::{
    clock,
    configuration::ActiveConfiguration,
    events::Events,
    listing_schedule::ListingSchedule,
    ownership::{self, Candidate, Term},
    ports::Platform,
    settings::EntrySettings,
    speed::MachineSpeed,
};

/// Maximum time between two ticks of the fleet.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Events that arrive within this time share a tick: a tick takes up to 0.3 ms with 350 executors, and
/// objectives are at least two seconds.
const TICK_BATCH_DELAY: Duration = Duration::from_millis(8);
/// Maximum executor lease. Outlasts a change of owners (two seconds and the takeover), and lets tasks of a
/// lost executor run again within six seconds.
const MAX_EXECUTOR_LEASE: Duration = Duration::from_millis(5000);
/// A machine order arrives within this time or never: it exceeds the timeout of the call, after which the connection
/// is reset. An owner that is suspended while its order is on its way can't reset it.
const MAX_MACHINE_ORDER_DELAY: Duration = Duration::from_millis(900);
/// Interval between speed measurements: detects a slow machine within a quarter of a second, for 0.05% of a
/// core.
const SPEED_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between removals of jobs whose retention is over.
const JOB_REMOVAL_INTERVAL: Duration = Duration::from_secs(10);

/// Gives callers' queries access to the fleet while this entry owns it.
#[derive(Debug, Clone, Default)]
pub struct FleetHandle(Rc<RefCell<Option<OwnedFleet>>>);

/// The fleet, with the term of ownership.
type OwnedFleet = (Term, Rc<RefCell<Fleet>>);

impl FleetHandle {
    /// Returns the state of a job; `None` if this entry doesn't own the fleet or doesn't know the job.
    pub fn view(&self, id: &str) -> Option<JobView> {
        self.with(|fleet| fleet.view(id)).flatten()
    }

    /// Returns the state of a job and the client account that it belongs to.
    pub fn job_with_account(&self, id: &str) -> Option<(JobView, Option<AccountName>)> {
        let read = |fleet: &Fleet| Some((fleet.view(id)?, fleet.account_of(id)?.cloned()));
        self.with(read).flatten()
    }

    /// Whether the end of a job is being written to the store.
    pub fn is_ending(&self, id: &str) -> bool {
        self.with(|fleet| fleet.is_ending(id)).unwrap_or(false)
    }

    /// Returns the number of pending jobs of a queue; `None` if this entry doesn't own the fleet.
    pub fn pending_count(&self, queue: &QueueName) -> Option<u64> {
        self.with(|fleet| fleet.pending().get(queue).copied().unwrap_or(0))
    }

    fn with<T>(&self, read: impl FnOnce(&Fleet) -> T) -> Option<T> {
        let owned = self.0.borrow();
        let (term, fleet) = owned.as_ref()?;
        term.is_valid().then(|| read(&fleet.borrow()))
    }

    /// Releases the ownership, if this entry has it.
    pub async fn release<P: Platform>(&self, platform: &P) {
        let owned = self.0.borrow_mut().take();
        if let Some((term, _)) = owned {
            // If this fails, the lease expires.
            let _ = term.release(platform).await;
        }
    }
}

/// State that the loops of one term share.
pub(crate) struct Owner<P> {
    pub(crate) platform: P,
    pub(crate) settings: Rc<EntrySettings>,
    pub(crate) term: Term,
    pub(crate) fleet: Rc<RefCell<Fleet>>,
    pub(crate) active: ActiveConfiguration,
    pub(crate) events: Events,
    /// Notified of events that may let tasks start, so that the fleet ticks early.
    pub(crate) tick_requested: Notify,
    /// Notified when the fleet has changes to write to the store.
    pub(crate) write_requested: Notify,
    /// Executors with a polling loop.
    pub(crate) polled_executors: RefCell<HashSet<ExecutorId>>,
    /// Jobs that aren't run, since their records couldn't be read at the takeover.
    unrecoverable_jobs: RefCell<HashSet<String>>,
    /// State that the polling loop and the orders of each executor share.
    pub(crate) sessions: RefCell<HashMap<ExecutorId, Rc<executors::Session>>>,
    /// Recent machine orders.
    pub(crate) order_note: order_note::OrderNote,
    /// When the intake is listed next.
    pub(crate) intake_listings: RefCell<ListingSchedule>,
    /// Revision of the configuration that the fleet uses.
    configured_revision: Cell<Option<Revision>>,
}

impl<P: Platform> Owner<P> {
    pub(crate) fn is_valid(&self) -> bool {
        self.term.is_valid()
    }

    /// Advances the fleet to the current time and executes its commands.
    pub(crate) fn tick(self: &Rc<Self>) {
        self.apply_configuration();
        self.fleet.borrow_mut().tick(clock::now(), clock::wall_ms());
        self.execute_commands();
    }

    /// Executes the fleet's commands.
    pub(crate) fn execute_commands(self: &Rc<Self>) {
        self.log_losses();
        self.log_freezes();
        let commands = self.fleet.borrow_mut().take_commands();
        for command in commands {
            let owner = self.clone();
            match command {
                Command::Start { .. } | Command::Stop { .. } | Command::Pace { .. } => {
                    owner.send_executor_command(command);
                }
                Command::Advise { task, executors, timeout } => {
                    tokio::task::spawn_local(async move {
                        owner.request_advice(task, executors, timeout).await;
                    });
                }
                Command::Machine(order) => {
                    tokio::task::spawn_local(async move { owner.order_machine(order).await });
                }
                Command::Wave(state) => {
                    tokio::task::spawn_local(async move { owner.publish_wave(state).await });
                }
            }
        }
        if self.fleet.borrow().has_changes() {
            self.write_requested.notify_one();
        }
    }

    fn apply_configuration(&self) {
        let Some(current) = self.active.get() else { return };
        let revision = Some(self.active.revision());
        if self.configured_revision.replace(revision) == revision {
            return;
        }
        let queues = current.routes.iter().map(|route| route.queue.clone()).collect();
        let (services, accounts) = (current.services.clone(), current.accounts.clone());
        self.fleet.borrow_mut().configure(queues, services, accounts);
    }

    async fn tick_loop(self: Rc<Self>) {
        while self.is_valid() {
            // A timeout and a notification have the same effect.
            let _ = tokio::time::timeout(MAX_TICK_INTERVAL, self.tick_requested.notified()).await;
            tokio::time::sleep(TICK_BATCH_DELAY).await;
            if self.is_valid() {
                self.tick();
            }
        }
    }

    /// Renews the lease on schedule without waiting for the previous renewal: with a store that takes 0.4 s per
    /// answer, waiting lost the ownership and stopped starts for six seconds.
    async fn renew_loop(self: Rc<Self>) {
        while self.is_valid() {
            let owner = self.clone();
            tokio::task::spawn_local(async move { owner.renew().await });
            tokio::time::sleep(ownership::RENEW_INTERVAL).await;
        }
    }

    async fn renew(&self) {
        if let Err(error) = self.term.renew(&self.platform).await {
            let fields = json!({ "fence": self.term.fence, "why": error.to_string() });
            self.events.emit("renewal_failed", fields);
        }
        self.term.confirm(&self.platform).await;
    }

    /// Ends the term once this machine becomes slow, so that another entry takes over. A machine that was slow
    /// at the takeover keeps the fleet: no faster one was available.
    async fn monitor_speed(self: Rc<Self>, speed: MachineSpeed) {
        if speed.is_slow() {
            return;
        }
        while self.is_valid() {
            tokio::time::sleep(SPEED_CHECK_INTERVAL).await;
            speed.sample();
            if speed.is_slow() {
                let fields = json!({ "fence": self.term.fence, "part": speed.relative_speed() });
                self.events.emit("owner_slow", fields);
                self.term.mark_lost();
            }
        }
    }

    async fn remove_ended_jobs_loop(self: Rc<Self>) {
        while self.is_valid() {
            tokio::time::sleep(JOB_REMOVAL_INTERVAL).await;
            let removed =
                self.fleet.borrow_mut().forget_jobs(clock::now(), self.settings.job_retention);
            for job in removed {
                self.remove_job(&job).await;
            }
        }
    }
}

fn fleet_settings(settings: &EntrySettings) -> FleetSettings {
    let lease = settings.max_lease.min(MAX_EXECUTOR_LEASE);
    FleetSettings {
        lease,
        longest_lease: settings.max_lease,
        // A partitioned owner may have renewed executor leases until its own lease expired.
        takeover_uncertainty: ownership::lease_ttl(settings.min_lease_ttl)
            + lease * 21 / 20
            + Duration::from_millis(300),
        stop_timeout: settings.stop_timeout,
        maintenance: settings.maintenance_duration,
        remote_factor: settings.remote_factor,
        order_lease: settings.order_lease + MAX_MACHINE_ORDER_DELAY,
        max_active_tasks: settings.owner_memory().max_active_tasks,
        open_job_bytes: settings.owner_memory().open_job_bytes,
        policy: Policy::default(),
    }
}

/// Acquires the ownership whenever it is free, and runs the owner's loops until the term ends.
pub async fn compete_for_ownership<P: Platform>(
    platform: P,
    settings: Rc<EntrySettings>,
    active: ActiveConfiguration,
    handle: FleetHandle,
    events: Events,
    incarnation: String,
    speed: MachineSpeed,
) {
    let candidate = Candidate {
        entry: settings.entry.clone(),
        incarnation,
        cpu_share: settings.cpu_share,
        speed: speed.clone(),
        ttl: ownership::lease_ttl(settings.min_lease_ttl),
    };
    loop {
        speed.sample();
        let acquired = ownership::acquire(&platform, &candidate).await;
        if let Ok(Some(term)) = acquired {
            events.emit("owner", json!({ "fence": term.fence }));
            let fence = term.fence;
            run_term(&platform, &settings, &active, &handle, &events, &speed, term.clone()).await;
            let term_platform = platform.clone();
            tokio::task::spawn_local(
                async move { term.release_with_retries(&term_platform).await },
            );
            handle.0.borrow_mut().take();
            events.metrics().set_owner(false);
            events.emit("owner_no_more", json!({ "fence": fence }));
        }
        tokio::time::sleep(ownership::acquire_interval(candidate.current_cpu_share())).await;
    }
}

async fn run_term<P: Platform>(
    platform: &P,
    settings: &Rc<EntrySettings>,
    active: &ActiveConfiguration,
    handle: &FleetHandle,
    events: &Events,
    speed: &MachineSpeed,
    term: Term,
) {
    let fleet = Rc::new(RefCell::new(Fleet::new(fleet_settings(settings), clock::now())));
    let owner = Rc::new(Owner {
        platform: platform.clone(),
        settings: settings.clone(),
        term: term.clone(),
        fleet: fleet.clone(),
        active: active.clone(),
        events: events.clone(),
        tick_requested: Notify::new(),
        write_requested: Notify::new(),
        polled_executors: RefCell::new(HashSet::new()),
        unrecoverable_jobs: RefCell::new(HashSet::new()),
        sessions: RefCell::new(HashMap::new()),
        order_note: order_note::OrderNote::default(),
        intake_listings: RefCell::new(ListingSchedule::new(
            clock::now(),
            intake::MAX_LIST_INTERVAL,
        )),
        configured_revision: Cell::new(None),
    });
    tokio::task::spawn_local(owner.clone().renew_loop());
    let Some(watch_from) = owner.take_over().await else { return };
    owner.recover_machine_orders().await;
    *handle.0.borrow_mut() = Some((term, fleet));
    events.metrics().set_owner(true);
    let started_at: Now = clock::now();
    tokio::task::spawn_local(owner.clone().follow_intake(watch_from));
    tokio::task::spawn_local(owner.clone().relist_intake());
    owner.poll_known_executors();
    tokio::task::spawn_local(owner.clone().follow_executors());
    tokio::task::spawn_local(owner.clone().follow_machines());
    tokio::task::spawn_local(owner.clone().commit_loop());
    tokio::task::spawn_local(owner.clone().publish_pending_counts());
    tokio::task::spawn_local(owner.clone().publish_load());
    tokio::task::spawn_local(owner.clone().publish_job_room());
    tokio::task::spawn_local(owner.clone().remove_ended_jobs_loop());
    tokio::task::spawn_local(owner.clone().log_waits_loop());
    tokio::task::spawn_local(owner.clone().prune_order_note());
    tokio::task::spawn_local(owner.clone().monitor_speed(speed.clone()));
    owner.clone().tick_loop().await;
    let lasted_ms = clock::since(started_at).as_millis() as u64;
    events.emit("term_over", json!({ "fence": owner.term.fence, "lasted_ms": lasted_ms }));
}
