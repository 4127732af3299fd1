//! The loops of the entry that owns the fleet: they feed [`Fleet`] with what happens outside and
//! carry its commands out. Nothing is decided here.

mod commits;
mod executors;
mod explain;
mod intake;
mod machines;
mod order_note;
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

/// Longest time between two looks of the decisions at the clock.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Decisions gather what arrives within this time: a look costs up to 0.3 ms with 350 executors, and
/// objectives are two seconds and more.
const TICK_GATHER: Duration = Duration::from_millis(8);
/// Leases of executors are this long at most. Long enough for a change of owners (two seconds and
/// the take-over), short enough that tasks of a lost executor run again within six seconds.
const EXECUTOR_LEASE: Duration = Duration::from_millis(5000);
/// An order about a machine arrives within this time or never: the patience of its call, and more.
const MACHINE_ORDER_TIME: Duration = Duration::from_millis(900);
/// How often an owner looks at the speed of its machine: that it has turned slow is found within a quarter of
/// a second, for 0.05% of a core.
const SPEED_LOOK: Duration = Duration::from_millis(50);
/// How often jobs that have been over for long are forgotten.
const JOB_REMOVAL_INTERVAL: Duration = Duration::from_secs(10);

/// The fleet, where callers' questions find it while this entry owns it.
#[derive(Debug, Clone, Default)]
pub struct FleetHandle(Rc<RefCell<Option<Owned>>>);

/// The fleet in the term in which this entry owns it.
type Owned = (Term, Rc<RefCell<Fleet>>);

impl FleetHandle {
    /// What is known of a job; none if this entry doesn't own the fleet or doesn't know the job.
    pub fn view(&self, id: &str) -> Option<JobView> {
        self.with(|fleet| fleet.view(id)).flatten()
    }

    /// The same with the client account that it belongs to.
    pub fn job_with_account(&self, id: &str) -> Option<(JobView, Option<AccountName>)> {
        let read = |fleet: &Fleet| Some((fleet.view(id)?, fleet.account_of(id)?.cloned()));
        self.with(read).flatten()
    }

    /// Whether the end of a job is on its way to the store.
    pub fn is_ending(&self, id: &str) -> bool {
        self.with(|fleet| fleet.is_ending(id)).unwrap_or(false)
    }

    /// Jobs of a queue that haven't begun; none if this entry doesn't own the fleet.
    pub fn pending_count(&self, queue: &QueueName) -> Option<u64> {
        self.with(|fleet| fleet.pending().get(queue).copied().unwrap_or(0))
    }

    fn with<T>(&self, read: impl FnOnce(&Fleet) -> T) -> Option<T> {
        let cell = self.0.borrow();
        let (term, fleet) = cell.as_ref()?;
        term.is_valid().then(|| read(&fleet.borrow()))
    }

    /// Ends the ownership, if there is one.
    pub async fn release<P: Platform>(&self, platform: &P) {
        let held = self.0.borrow_mut().take();
        if let Some((term, _)) = held {
            // If this fails the lease ends by itself.
            let _ = term.release(platform).await;
        }
    }
}

/// What the loops of one term share.
pub(crate) struct Owner<P> {
    pub(crate) platform: P,
    pub(crate) settings: Rc<EntrySettings>,
    pub(crate) term: Term,
    pub(crate) fleet: Rc<RefCell<Fleet>>,
    pub(crate) active: ActiveConfiguration,
    pub(crate) events: Events,
    /// Something has happened that may let tasks start.
    pub(crate) changed: Notify,
    /// Something waits to be written.
    pub(crate) has_unwritten: Notify,
    /// Executors that have a loop of their own.
    pub(crate) polled_executors: RefCell<HashSet<ExecutorId>>,
    /// What the loop and the orders of each executor share.
    pub(crate) sessions: RefCell<HashMap<ExecutorId, Rc<executors::Session>>>,
    /// Machines that were ordered lately.
    pub(crate) order_note: order_note::OrderNote,
    /// Whether the watch of the intake is to be doubted.
    pub(crate) intake_listings: RefCell<ListingSchedule>,
    /// Revision of the store at which the configuration was written that the decisions go by.
    configured_at: Cell<Option<Revision>>,
}

impl<P: Platform> Owner<P> {
    pub(crate) fn is_valid(&self) -> bool {
        self.term.is_valid()
    }

    /// Lets decisions see the time and carries their commands out.
    pub(crate) fn tick(self: &Rc<Self>) {
        self.configure();
        self.fleet.borrow_mut().tick(clock::now(), clock::wall_ms());
        self.execute_commands();
    }

    /// Carries out what has been decided.
    pub(crate) fn execute_commands(self: &Rc<Self>) {
        self.log_losses();
        let commands = self.fleet.borrow_mut().take_commands();
        for command in commands {
            let owner = self.clone();
            match command {
                Command::Start { .. } | Command::Stop { .. } | Command::Pace { .. } => {
                    owner.send_executor_command(command);
                }
                Command::Advise { task, executors } => {
                    tokio::task::spawn_local(async move { owner.advise(task, executors).await });
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
            self.has_unwritten.notify_one();
        }
    }

    fn configure(&self) {
        let Some(current) = self.active.get() else { return };
        let revision = Some(self.active.revision());
        if self.configured_at.replace(revision) == revision {
            return;
        }
        let queues = current.routes.iter().map(|route| route.queue.clone()).collect();
        let (services, accounts) = (current.services.clone(), current.accounts.clone());
        self.fleet.borrow_mut().configure(queues, services, accounts);
    }

    async fn tick_loop(self: Rc<Self>) {
        while self.is_valid() {
            // Whether it is time or news that wakes it makes no difference.
            let _ = tokio::time::timeout(TICK_INTERVAL, self.changed.notified()).await;
            tokio::time::sleep(TICK_GATHER).await;
            if self.is_valid() {
                self.tick();
            }
        }
    }

    /// Renews on time whether or not the last renewal has been answered: with a store that takes 0.4 s
    /// an answer, waiting for each cost the ownership, and six seconds without starts.
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

    /// Gives the fleet up once this machine has turned slow, so that one that hasn't decides. One that
    /// was slow when it took over keeps it: nobody faster was there.
    async fn monitor_speed(self: Rc<Self>, speed: MachineSpeed) {
        if speed.is_slow() {
            return;
        }
        while self.is_valid() {
            tokio::time::sleep(SPEED_LOOK).await;
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
            let forgotten =
                self.fleet.borrow_mut().forget_jobs(clock::now(), self.settings.job_retention);
            for job in forgotten {
                self.remove_job(&job).await;
            }
        }
    }
}

fn fleet_settings(settings: &EntrySettings) -> FleetSettings {
    let lease = settings.max_lease.min(EXECUTOR_LEASE);
    FleetSettings {
        lease,
        longest_lease: settings.max_lease,
        // An owner that was cut off may have renewed until its own lease ended.
        takeover_uncertainty: ownership::lease_ttl(settings.min_lease_ttl)
            + lease * 21 / 20
            + Duration::from_millis(300),
        stop_timeout: settings.stop_timeout,
        maintenance: settings.maintenance_duration,
        remote_factor: settings.remote_factor,
        order_lease: settings.order_lease + MACHINE_ORDER_TIME,
        policy: Policy::default(),
    }
}

/// Becomes the owner whenever there is none, and acts as such while it lasts.
pub async fn compete_for_ownership<P: Platform>(
    platform: P,
    settings: Rc<EntrySettings>,
    active: ActiveConfiguration,
    cell: FleetHandle,
    events: Events,
    incarnation: String,
    speed: MachineSpeed,
) {
    let mut candidate = Candidate {
        entry: settings.entry.clone(),
        incarnation,
        cpu_share: settings.cpu_share,
        ttl: ownership::lease_ttl(settings.min_lease_ttl),
    };
    loop {
        // A slow machine is as good as a small one.
        speed.sample();
        let part = if speed.is_slow() { speed.relative_speed() } else { 1.0 };
        candidate.cpu_share = settings.cpu_share * part;
        let acquired = ownership::acquire(&platform, &candidate).await;
        if let Ok(Some(term)) = acquired {
            events.emit("owner", json!({ "fence": term.fence }));
            let fence = term.fence;
            run_term(&platform, &settings, &active, &cell, &events, &speed, term.clone()).await;
            let former = platform.clone();
            tokio::task::spawn_local(async move { term.release_with_retries(&former).await });
            cell.0.borrow_mut().take();
            events.metrics().set_owner(false);
            events.emit("owner_no_more", json!({ "fence": fence }));
        }
        tokio::time::sleep(ownership::acquire_interval(candidate.cpu_share)).await;
    }
}

async fn run_term<P: Platform>(
    platform: &P,
    settings: &Rc<EntrySettings>,
    active: &ActiveConfiguration,
    cell: &FleetHandle,
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
        changed: Notify::new(),
        has_unwritten: Notify::new(),
        polled_executors: RefCell::new(HashSet::new()),
        sessions: RefCell::new(HashMap::new()),
        order_note: order_note::OrderNote::default(),
        intake_listings: RefCell::new(ListingSchedule::new(clock::now(), intake::LIST_INTERVAL)),
        configured_at: Cell::new(None),
    });
    tokio::task::spawn_local(owner.clone().renew_loop());
    let Some(watch_from) = owner.take_over().await else { return };
    owner.recover_machine_orders().await;
    *cell.0.borrow_mut() = Some((term, fleet));
    events.metrics().set_owner(true);
    let started_at: Now = clock::now();
    tokio::task::spawn_local(owner.clone().follow_intake(watch_from));
    tokio::task::spawn_local(owner.clone().relist_intake());
    owner.poll_known_executors();
    tokio::task::spawn_local(owner.clone().follow_executors());
    tokio::task::spawn_local(owner.clone().follow_machines());
    tokio::task::spawn_local(owner.clone().commit_loop());
    tokio::task::spawn_local(owner.clone().publish_pending_counts());
    tokio::task::spawn_local(owner.clone().remove_ended_jobs_loop());
    tokio::task::spawn_local(owner.clone().log_waits_loop());
    tokio::task::spawn_local(owner.clone().prune_order_note());
    tokio::task::spawn_local(owner.clone().monitor_speed(speed.clone()));
    owner.clone().tick_loop().await;
    let lasted_ms = clock::since(started_at).as_millis() as u64;
    events.emit("term_over", json!({ "fence": owner.term.fence, "lasted_ms": lasted_ms }));
}
