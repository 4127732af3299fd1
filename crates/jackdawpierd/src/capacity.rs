//! The capacity role: the owner of its shard, called the holder, keeps the pools at their targets
//! and runs maintenance waves.
//!
//! Every order to the platform is written to the role's cell before it is sent, under an id by
//! which the platform detects repeats, so that a new holder continues without repeating a reboot.
//! An instance has at most one order at a time and one pool at the platform, so it is in exactly
//! one pool.

mod fleet_view;
mod holder_state;
mod measures;

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use jackdawpier_capacity::{
    InstanceIx, PoolIx,
    explain::{Explanation, explain},
    fleet::{Fleet, Phase},
    forecast::Forecast,
    planner::{Ceilings, Planner, ShrinkPolicy},
    surge::request_surge,
    wave::{Wave, WaveState},
};
use jackdawpier_coord::{
    cell::{Cell, Output},
    configuration::Configuration,
};
use jackdawpier_kernel::{
    Now,
    instance::{FREE_POOL, Instance, InstanceState, ORDERS_PATH, Order, OrderAction},
};
use jackdawpier_settings::declaration::Class;
use jackdawpier_store::{Request, StoreResult};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use self::{
    fleet_view::DAY_S,
    holder_state::{CapacityRecord, HolderState},
    measures::{DayMeasures, Measures},
};
use crate::{demand::DemandMilli, entry::Entry};

/// Name of the role's shard; it isn't a valid service name.
pub(crate) const SHARD: &str = "~capacity";
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which an order without a visible effect is sent again, under the same id.
const RESEND_INTERVAL: Duration = Duration::from_secs(3);
/// Time from its first sending after which an order counts as failed.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1800);

const MILLI: u32 = 1_000;

/// Inputs of one planning round.
struct PlanningInputs {
    classes: Vec<Class>,
    ceilings: Ceilings,
    instances: Arc<Vec<Instance>>,
    demand_milli: DemandMilli,
    /// Wall clock time; used only for the time of day and the weekday.
    since_epoch: Duration,
}

/// Returns the lowest ceilings of all documents.
fn ceilings(configuration: &Configuration) -> Ceilings {
    let all = || configuration.documents().map(|document| &document.declaration.ceilings);
    Ceilings {
        moves_per_day: all().filter_map(|ceilings| ceilings.moves_per_day).min(),
        buffer_instances: all().filter_map(|ceilings| ceilings.buffer_instances).min(),
    }
}

/// Operators' commands on the maintenance wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WaveAction {
    Start,
    Status,
    Pause,
    Resume,
    Cancel,
}

/// I/O to perform after the lock is released.
enum Action {
    Store { generation: u64, request: Request },
    Send(Order),
}

/// The fleet as the instance list shows it, and the state that only the holder has.
struct CapacityState {
    fleet: Fleet,
    /// Instance ids by `InstanceIx`.
    ids: Vec<Arc<str>>,
    by_id: HashMap<Arc<str>, InstanceIx>,
    /// Numbers of failure domains, by their kind and name.
    domain_ids: HashMap<String, u32>,
    pools: BTreeMap<Arc<str>, PoolIx>,
    planner: Planner,
    holder: Option<HolderState>,
    /// Number of acquisitions of the role so far.
    next_generation: u64,
}

/// Values of the role's gauges.
#[derive(Debug, Default)]
pub(crate) struct CapacityGauges {
    /// Name, margin and buffer of each pool, in instances.
    pub(crate) pools: Vec<(String, i64, i64)>,
    /// Number of instances out for maintenance.
    pub(crate) wave_out: usize,
    pub(crate) is_wave_stopped: bool,
    pub(crate) moves: u64,
}

/// The capacity role of one entry.
pub(crate) struct Capacity {
    state: Mutex<CapacityState>,
    agent: ureq::Agent,
}

impl Capacity {
    pub(crate) fn new() -> Self {
        let state = CapacityState {
            fleet: Fleet::new(),
            ids: Vec::new(),
            by_id: HashMap::new(),
            domain_ids: HashMap::new(),
            pools: BTreeMap::new(),
            planner: Planner::new(Ceilings::default()),
            holder: None,
            next_generation: 0,
        };
        let agent =
            ureq::Agent::config_builder().timeout_global(Some(CALL_TIMEOUT)).build().new_agent();
        Self { state: Mutex::new(state), agent }
    }

    fn lock(&self) -> MutexGuard<'_, CapacityState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Opens the role's cell after this entry has acquired the shard.
    pub(crate) fn acquire(&self, entry: &Arc<Entry>) {
        let actions = self.lock().acquire(entry);
        perform(entry, actions);
    }

    /// Drops the state that only the holder has.
    pub(crate) fn drop_owned(&self) {
        self.lock().holder = None;
    }

    /// Returns whether the cell can be handed over.
    pub(crate) fn is_settled(&self) -> bool {
        self.lock().holder.as_ref().is_none_or(|holder| holder.cell.is_settled())
    }

    /// Returns whether another entry has fenced the cell.
    pub(crate) fn is_fenced(&self) -> bool {
        self.lock().holder.as_ref().is_some_and(|holder| holder.cell.is_fenced())
    }

    /// Applies the instance list, the configuration and the demand, and plans moves and wave steps.
    pub(crate) fn tick(&self, entry: &Arc<Entry>) {
        let (classes, ceilings) = {
            let coordination = entry.coordination();
            let classes = coordination.configuration.classes().into_values().collect();
            (classes, ceilings(&coordination.configuration))
        };
        let inputs = PlanningInputs {
            classes,
            ceilings,
            instances: entry.instances(),
            demand_milli: entry.demand().total(),
            since_epoch: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        };
        let actions = self.lock().tick(entry.now(), &inputs);
        perform(entry, actions);
    }

    /// Executes an operator's command on the wave and returns the wave's status as JSON; `None` if
    /// this entry is not the holder.
    pub(crate) fn wave(&self, entry: &Arc<Entry>, action: WaveAction) -> Option<String> {
        let (answer, actions) = self.lock().wave(entry.now(), action)?;
        perform(entry, actions);
        Some(answer.to_string())
    }

    /// Returns the values of the gauges; empty if this entry is not the holder.
    pub(crate) fn gauges(&self) -> CapacityGauges {
        let state = self.lock();
        let Some(holder) = state.holder.as_ref().filter(|holder| holder.cell.is_open()) else {
            return CapacityGauges::default();
        };
        let pools = state.pools.iter().map(|(name, ix)| {
            let explanation = explain(state.fleet.pool(*ix));
            (name.to_string(), explanation.margin, i64::from(explanation.buffer))
        });
        CapacityGauges {
            pools: pools.collect(),
            wave_out: holder.wave.as_ref().map_or(0, |wave| wave.out().len()),
            is_wave_stopped: holder
                .wave
                .as_ref()
                .is_some_and(|wave| wave.state() == WaveState::Paused { by_itself: true }),
            moves: holder.moves,
        }
    }

    /// Returns the sums of each day, including today, as JSON; `None` if this entry is not the
    /// holder.
    pub(crate) fn days(&self) -> Option<String> {
        let state = self.lock();
        let holder = state.holder.as_ref().filter(|holder| holder.cell.is_open())?;
        let mut days = holder.days.clone();
        days.insert(holder.measures.today.day, holder.measures.today.clone());
        let shown: Vec<&DayMeasures> = days.values().filter(|day| day.day > 0).collect();
        Some(serde_json::to_string(&shown).expect("sums are plain data"))
    }

    /// Returns the explanation of every pool as JSON; `None` if this entry is not the holder.
    pub(crate) fn pools(&self) -> Option<String> {
        let state = self.lock();
        state.holder.as_ref().filter(|holder| holder.cell.is_open())?;
        let shown: BTreeMap<&str, Explanation> = state
            .pools
            .iter()
            .map(|(name, ix)| (&**name, explain(state.fleet.pool(*ix))))
            .collect();
        Some(serde_json::to_string(&shown).expect("explanations are plain data"))
    }

    /// Returns the explanation of a service's pool as JSON; `None` if this entry is not the holder.
    pub(crate) fn explain(&self, service: &str) -> Option<String> {
        let state = self.lock();
        let holder = state.holder.as_ref().filter(|holder| holder.cell.is_open())?;
        let pool = state.pools.get(service)?;
        let explanation = explain(state.fleet.pool(*pool));
        let text = explanation.to_string();
        Some(
            json!({ "pool": service, "explanation": explanation, "text": text,
            "wave_held_by": holder.hold_reason.map(|hold| hold.to_string()) })
            .to_string(),
        )
    }
}

/// Performs actions in the background; blocking ones run on the blocking thread pool.
fn perform(entry: &Arc<Entry>, actions: Vec<Action>) {
    for action in actions {
        let entry = Arc::clone(entry);
        match action {
            Action::Store { generation, request } => {
                tokio::spawn(async move {
                    let result = entry.call_store(request).await;
                    let actions = entry.capacity.lock().on_result(entry.now(), generation, result);
                    perform(&entry, actions);
                });
            }
            Action::Send(order) => {
                tokio::task::spawn_blocking(move || send(&entry, &order));
            }
        }
    }
}

/// Sends an order to the platform. Its effect shows in the instance list; without one, it is sent
/// again.
fn send(entry: &Entry, order: &Order) {
    let url = format!("{}{ORDERS_PATH}", entry.settings.instance_list_url);
    let body = serde_json::to_vec(order).expect("orders are plain data");
    if let Err(error) = entry.capacity.agent.post(url).send(&body) {
        log::warn!(event = "order_not_sent", order = order.id.as_str(); "{error}");
    }
}

impl CapacityState {
    fn acquire(&mut self, entry: &Entry) -> Vec<Action> {
        self.next_generation += 1;
        let incarnation = entry.incarnation.wrapping_add(self.next_generation);
        let interval = entry.settings.timing.commit_interval;
        let mut cell = Cell::new(SHARD, entry.name().clone(), incarnation, interval);
        let outputs = cell.open(entry.now());
        self.holder = Some(HolderState {
            generation: self.next_generation,
            cell,
            wave_id: 0,
            wave: None,
            has_recovered_wave: false,
            recovered_steps: Vec::new(),
            orders: HashMap::new(),
            hold_reason: None,
            last_order_number: 0,
            epoch: 0,
            moves: 0,
            measures: Measures::default(),
            days: BTreeMap::new(),
            learned_demands: BTreeMap::new(),
        });
        self.apply_outputs(entry.now(), outputs)
    }

    fn on_result(&mut self, now: Now, generation: u64, result: StoreResult) -> Vec<Action> {
        let Some(holder) = self.holder.as_mut().filter(|holder| holder.generation == generation)
        else {
            return Vec::new();
        };
        let outputs = holder.cell.on_result(now, result);
        self.apply_outputs(now, outputs)
    }

    fn apply_outputs(&mut self, now: Now, outputs: Vec<Output<CapacityRecord>>) -> Vec<Action> {
        let mut actions = Vec::new();
        for output in outputs {
            let Some(holder) = &mut self.holder else { break };
            match output {
                Output::Call(request) => {
                    actions.push(Action::Store { generation: holder.generation, request });
                }
                Output::Opened { epoch, states } => {
                    holder.epoch = epoch;
                    holder.recover(states);
                }
                Output::Committed { up_to } => {
                    for pending in holder.orders.values_mut().filter(|p| p.write_number <= up_to) {
                        if !std::mem::replace(&mut pending.is_durable, true) {
                            pending.sent_at = Some(now);
                            pending.first_sent_at = Some(now);
                            actions.push(Action::Send(pending.order.clone()));
                        }
                    }
                }
                Output::Fenced => {}
            }
        }
        actions
    }

    fn tick(&mut self, now: Now, inputs: &PlanningInputs) -> Vec<Action> {
        let peaks = self.update_pools(&inputs.classes);
        self.update_instances(&inputs.instances);
        let Some(holder) = self.holder.as_mut().filter(|holder| holder.cell.is_open()) else {
            return self.tick_cell(now);
        };
        holder.restore_wave(&self.by_id);
        holder.learn_demand(&peaks, inputs);
        let forecasts = self.update_targets(&peaks, inputs);
        let mut actions = self.finish_orders(now, &inputs.instances);
        self.start_wave_steps();
        self.planner.set_ceilings(inputs.ceilings);
        self.plan_moves(now, &forecasts);
        self.update_day_sums(now, inputs);
        actions.extend(self.resend(now));
        actions.extend(self.tick_cell(now));
        actions
    }

    fn tick_cell(&mut self, now: Now) -> Vec<Action> {
        let Some(holder) = &mut self.holder else { return Vec::new() };
        let outputs = holder.cell.tick(now);
        self.apply_outputs(now, outputs)
    }

    /// Finishes the orders whose effect shows in the instance list, and those that timed out.
    fn finish_orders(&mut self, now: Now, instances: &[Instance]) -> Vec<Action> {
        let Some(holder) = &mut self.holder else { return Vec::new() };
        let by_id: HashMap<&str, &Instance> = instances.iter().map(|i| (&*i.id, i)).collect();
        let ended: Vec<(Arc<str>, bool)> = holder
            .orders
            .iter()
            .filter_map(|(id, pending)| {
                let listed = by_id.get(&**id);
                let is_done = listed.is_some_and(|instance| {
                    instance.last_order == pending.order.id && instance.state == InstanceState::Live
                });
                let has_timed_out =
                    pending.first_sent_at.is_some_and(|at| now >= at + ORDER_TIMEOUT);
                (is_done || has_timed_out).then(|| (Arc::clone(id), is_done))
            })
            .collect();
        for (id, is_done) in ended {
            holder.finish_order(&id, is_done, self.by_id.get(&id).copied());
        }
        Vec::new()
    }

    fn start_wave_steps(&mut self) {
        let Some(holder) = &mut self.holder else { return };
        let Some(wave) = &mut holder.wave else { return };
        let state_before = wave.state();
        request_surge(wave, &mut self.fleet, &mut self.planner);
        let phases: HashMap<InstanceIx, Phase> =
            self.by_id.values().map(|ix| (*ix, self.fleet.instance(*ix).phase)).collect();
        let (starts, held_by) = wave.start_steps(&mut self.fleet);
        let has_ended = state_before != WaveState::Finished && wave.state() == WaveState::Finished;
        holder.hold_reason = held_by;
        for ix in starts {
            let id = Arc::clone(&self.ids[ix as usize]);
            let was_serving = phases[&ix] == Phase::Serving;
            holder.queue_order(id, OrderAction::Maintain, holder.wave_id, was_serving);
        }
        if has_ended {
            holder.write_wave();
        }
    }

    /// Moves free instances to pools below their targets, and frees instances that the forecast
    /// doesn't need.
    fn plan_moves(&mut self, now: Now, forecasts: &HashMap<PoolIx, Forecast>) {
        let Some(holder) = &mut self.holder else { return };
        let wave = holder.wave.as_ref().filter(|wave| wave.state() == WaveState::Running);
        let shrink_policies: HashMap<PoolIx, ShrinkPolicy> = forecasts
            .iter()
            .map(|(pool, forecast)| {
                let is_blocked =
                    wave.is_some_and(|wave| wave.has_unfinished_in(&self.fleet, *pool));
                let later_need = forecast.later_need;
                (*pool, ShrinkPolicy { later_need, is_blocked, is_immediate: false })
            })
            .collect();
        // A pool has no forecast when its declaration was removed; it is left as it is.
        let unknown = ShrinkPolicy { is_blocked: true, ..ShrinkPolicy::default() };
        let shrink_policy = |pool: PoolIx| shrink_policies.get(&pool).copied().unwrap_or(unknown);
        for planned_move in self.planner.replan(now, &mut self.fleet, shrink_policy) {
            let to = planned_move.to.and_then(|pool| {
                self.pools.iter().find(|(_, ix)| **ix == pool).map(|(name, _)| Arc::clone(name))
            });
            let name = to.unwrap_or_else(|| FREE_POOL.into());
            let id = Arc::clone(&self.ids[planned_move.instance as usize]);
            log::info!(event = "move", instance = &*id, pool = &*name; "{}", planned_move.reason);
            holder.moves += 1;
            holder.measures.today.moves += 1;
            holder.queue_order(id, OrderAction::MoveTo(name), 0, false);
        }
    }

    /// Updates the sums of the day, and writes them when they are due.
    fn update_day_sums(&mut self, now: Now, inputs: &PlanningInputs) {
        let Some(holder) = &mut self.holder else { return };
        let buffer: u64 =
            self.pools.values().map(|ix| u64::from(explain(self.fleet.pool(*ix)).buffer)).sum();
        let state = holder.wave.as_ref().map(Wave::state);
        let is_in_progress = matches!(state, Some(WaveState::Running | WaveState::Paused { .. }));
        holder.measures.on_wave_status(now.as_secs(), is_in_progress);
        let day = inputs.since_epoch.as_secs() / DAY_S;
        if let Some(sums) = holder.measures.accumulate(now.as_secs(), day, buffer) {
            let subject = format!("measures/{}", sums.day).into();
            holder.days.insert(sums.day, sums.clone());
            holder.cell.put(subject, &CapacityRecord::Day(sums));
        }
    }

    fn resend(&mut self, now: Now) -> Vec<Action> {
        let Some(holder) = &mut self.holder else { return Vec::new() };
        let mut actions = Vec::new();
        for pending in holder.orders.values_mut().filter(|pending| pending.is_durable) {
            if pending.sent_at.is_none_or(|at| now >= at + RESEND_INTERVAL) {
                pending.sent_at = Some(now);
                pending.first_sent_at.get_or_insert(now);
                actions.push(Action::Send(pending.order.clone()));
            }
        }
        actions
    }

    fn wave(&mut self, now: Now, action: WaveAction) -> Option<(Value, Vec<Action>)> {
        let instances: Vec<InstanceIx> = self.by_id.values().copied().collect();
        let holder = self.holder.as_mut().filter(|holder| holder.cell.is_open())?;
        let state = holder.wave.as_ref().map(Wave::state);
        let has_ended = matches!(state, None | Some(WaveState::Finished | WaveState::Cancelled));
        let is_accepted = match (action, &mut holder.wave) {
            (WaveAction::Status, _) => true,
            (WaveAction::Start, _) if has_ended => {
                holder.wave_id += 1;
                holder.wave = Some(Wave::new(instances));
                true
            }
            (WaveAction::Start, _) | (_, None) => false,
            (WaveAction::Pause, Some(wave)) => wave.pause(),
            (WaveAction::Resume, Some(wave)) => wave.resume(),
            (WaveAction::Cancel, Some(wave)) => wave.cancel(),
        };
        if is_accepted && action != WaveAction::Status {
            holder.write_wave();
        }
        let answer = holder.wave_json(is_accepted);
        let actions = self.tick_cell(now);
        Some((answer, actions))
    }
}
