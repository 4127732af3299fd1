//! The capacity role: the holder of its shard keeps the pools' targets and carries waves through.
//!
//! Every order to the platform is recorded in the role's cell before it is sent, under an id that
//! the platform recognises, so that a new holder goes on without repeating a reboot. An instance
//! has one order at a time and one pool field at the platform, so it is in exactly one pool.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use jackdawpier_capacity::{
    InstanceIx, PoolIx,
    demand::{DayKind, Demand, SLOT},
    explain::explain,
    fleet::{Fleet, Phase, Place, PoolTarget},
    forecast::{Forecast, forecast},
    lending::lend,
    planner::{Ceilings, Outlook, Planner},
    reason::HoldReason,
    wave::{Progress, Wave, WaveState},
};
use jackdawpier_coord::{
    cell::{Cell, Output},
    configuration::Configuration,
};
use jackdawpier_kernel::{
    Now,
    instance::{FREE_POOL, Instance, ORDERS_PATH, Order, OrderAction, State as InstanceState},
};
use jackdawpier_settings::declaration::Class;
use jackdawpier_store::{Request, StoreResult};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{demand::DemandMilli, entry::Entry};

/// The shard that the role's holder owns; no service can have this name.
pub(crate) const SHARD: &str = "~capacity";
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an order that shows no effect is sent again, under the same id.
const RESEND_INTERVAL: Duration = Duration::from_secs(3);
/// Time after which an order counts as failed.
const ORDER_LIMIT: Duration = Duration::from_secs(1800);

const MILLI: u32 = 1_000;
/// The first of January 1970 was a Thursday.
const EPOCH_WEEKDAY: u64 = 3;
const DAY_S: u64 = 24 * 3600;
const FIRST_WEEKEND_DAY: u64 = 5;

/// What the role decides on.
struct Inputs {
    classes: Vec<Class>,
    ceilings: Ceilings,
    instances: Arc<Vec<Instance>>,
    demand_milli: DemandMilli,
    /// Wall clock, for the hour and the weekday only.
    since_epoch: Duration,
}

fn day_kind(since_epoch: Duration) -> DayKind {
    let weekday = (since_epoch.as_secs() / DAY_S + EPOCH_WEEKDAY) % 7;
    if weekday >= FIRST_WEEKEND_DAY { DayKind::Quiet } else { DayKind::Ordinary }
}

/// The strictest ceilings of all documents.
fn ceilings(configuration: &Configuration) -> Ceilings {
    let all = || configuration.documents().map(|document| &document.declaration.ceilings);
    Ceilings {
        moves_per_day: all().filter_map(|ceilings| ceilings.moves_per_day).min(),
        buffer_instances: all().filter_map(|ceilings| ceilings.buffer_instances).min(),
    }
}

/// What an operator asks of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WaveAction {
    Start,
    Status,
    Pause,
    Resume,
    Cancel,
}

/// Durable state of one subject of the role's cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CapacityRecord {
    Wave { id: u64, state: WaveState },
    Order { order: Order, wave: u64, was_serving: bool, end: Option<Progress> },
    Demand { service: Arc<str>, demand: Demand },
}

/// Something to do after the lock is released.
enum Action {
    Store { generation: u64, request: Request },
    Send(Order),
}

struct Pending {
    order: Order,
    wave: u64,
    was_serving: bool,
    number: u64,
    is_durable: bool,
    sent_at: Option<Now>,
    first_sent_at: Option<Now>,
}

struct Held {
    generation: u64,
    cell: Cell<CapacityRecord>,
    wave_id: u64,
    wave: Option<Wave>,
    /// Ends of the present wave's orders, from records read before the fleet was known.
    recovered: Vec<(Arc<str>, Progress, bool)>,
    orders: HashMap<Arc<str>, Pending>,
    hold: Option<HoldReason>,
    next_order: u64,
    epoch: u64,
    /// Instances moved since this entry took the role.
    moves: u64,
    /// Learned demand by service, with the largest of the present slot.
    demands: BTreeMap<Arc<str>, LearnedDemand>,
}

struct LearnedDemand {
    demand: Demand,
    slot: u64,
    largest_milli: u32,
}

/// What is known of the fleet from the list, and what only the holder has.
struct State {
    fleet: Fleet,
    ids: Vec<Arc<str>>,
    by_id: HashMap<Arc<str>, InstanceIx>,
    domains: HashMap<String, u32>,
    pools: BTreeMap<Arc<str>, PoolIx>,
    planner: Planner,
    held: Option<Held>,
    next_generation: u64,
}

/// The capacity role of one entry.
pub(crate) struct Capacity {
    state: Mutex<State>,
    agent: ureq::Agent,
}

impl Capacity {
    pub(crate) fn new() -> Self {
        let state = State {
            fleet: Fleet::new(),
            ids: Vec::new(),
            by_id: HashMap::new(),
            domains: HashMap::new(),
            pools: BTreeMap::new(),
            planner: Planner::new(Ceilings::default()),
            held: None,
            next_generation: 0,
        };
        let agent =
            ureq::Agent::config_builder().timeout_global(Some(CALL_TIMEOUT)).build().new_agent();
        Self { state: Mutex::new(state), agent }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Opens the role's cell after this entry has acquired the shard.
    pub(crate) fn acquire(&self, entry: &Arc<Entry>) {
        let actions = self.lock().acquire(entry);
        perform(entry, actions);
    }

    /// Drops what only the holder has.
    pub(crate) fn lose(&self) {
        self.lock().held = None;
    }

    /// Whether the cell can be handed over.
    pub(crate) fn is_settled(&self) -> bool {
        self.lock().held.as_ref().is_none_or(|held| held.cell.is_settled())
    }

    /// Whether another entry has taken the cell over.
    pub(crate) fn is_fenced(&self) -> bool {
        self.lock().held.as_ref().is_some_and(|held| held.cell.is_fenced())
    }

    /// Follows the list and the configuration, and decides.
    pub(crate) fn tick(&self, entry: &Arc<Entry>) {
        let (classes, ceilings) = {
            let coordination = entry.coordination();
            let classes = coordination.configuration.classes().into_values().collect();
            (classes, ceilings(&coordination.configuration))
        };
        let inputs = Inputs {
            classes,
            ceilings,
            instances: entry.instances(),
            demand_milli: entry.demand().total(),
            since_epoch: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        };
        let actions = self.lock().tick(entry.now(), &inputs);
        perform(entry, actions);
    }

    /// Carries an operator's word on the wave out; `None` where this entry is not the holder.
    pub(crate) fn wave(&self, entry: &Arc<Entry>, action: WaveAction) -> Option<String> {
        let (answer, actions) = self.lock().wave(entry.now(), action)?;
        perform(entry, actions);
        Some(answer.to_string())
    }

    /// Explains a service's pool; `None` where this entry is not the holder.
    pub(crate) fn explain(&self, service: &str) -> Option<String> {
        let state = self.lock();
        let held = state.held.as_ref().filter(|held| held.cell.is_open())?;
        let pool = state.pools.get(service)?;
        let explanation = explain(state.fleet.pool(*pool));
        let text = explanation.to_string();
        Some(
            json!({ "pool": service, "explanation": explanation, "text": text,
            "wave_held_by": held.hold.map(|hold| hold.to_string()) })
            .to_string(),
        )
    }
}

/// Carries actions out; each on a thread that may block.
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

/// Sends an order; whether it arrived shows in the list, and it is sent again if not.
fn send(entry: &Entry, order: &Order) {
    let url = format!("{}{ORDERS_PATH}", entry.settings.instance_list_url);
    let body = serde_json::to_vec(order).expect("orders are plain data");
    if let Err(error) = entry.capacity.agent.post(url).send(&body) {
        log::warn!(event = "order_not_sent", order = order.id.as_str(); "{error}");
    }
}

impl State {
    fn acquire(&mut self, entry: &Entry) -> Vec<Action> {
        self.next_generation += 1;
        let incarnation = entry.incarnation.wrapping_add(self.next_generation);
        let interval = entry.settings.timing.commit_interval;
        let mut cell = Cell::new(SHARD, entry.name().clone(), incarnation, interval);
        let outputs = cell.open(entry.now());
        self.held = Some(Held {
            generation: self.next_generation,
            cell,
            wave_id: 0,
            wave: None,
            recovered: Vec::new(),
            orders: HashMap::new(),
            hold: None,
            next_order: 0,
            epoch: 0,
            moves: 0,
            demands: BTreeMap::new(),
        });
        self.follow(entry.now(), outputs)
    }

    fn on_result(&mut self, now: Now, generation: u64, result: StoreResult) -> Vec<Action> {
        let Some(held) = self.held.as_mut().filter(|held| held.generation == generation) else {
            return Vec::new();
        };
        let outputs = held.cell.on_result(now, result);
        self.follow(now, outputs)
    }

    fn follow(&mut self, now: Now, outputs: Vec<Output<CapacityRecord>>) -> Vec<Action> {
        let mut actions = Vec::new();
        for output in outputs {
            let Some(held) = &mut self.held else { break };
            match output {
                Output::Call(request) => {
                    actions.push(Action::Store { generation: held.generation, request });
                }
                Output::Opened { epoch, states } => {
                    held.epoch = epoch;
                    held.recover(states);
                }
                Output::Committed { up_to } => {
                    for pending in held.orders.values_mut().filter(|p| p.number <= up_to) {
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

    fn tick(&mut self, now: Now, inputs: &Inputs) -> Vec<Action> {
        let peaks = self.follow_classes(&inputs.classes);
        self.follow_list(&inputs.instances);
        let Some(held) = self.held.as_mut().filter(|held| held.cell.is_open()) else {
            return self.tick_cell(now);
        };
        held.restore_wave(&self.by_id);
        held.learn(&peaks, inputs);
        let forecasts = self.follow_demand(&peaks, inputs);
        let mut actions = self.end_orders(now, &inputs.instances);
        self.start_steps(&inputs.ceilings);
        self.planner.set_ceilings(inputs.ceilings);
        self.plan_moves(now, &forecasts);
        actions.extend(self.resend(now));
        actions.extend(self.tick_cell(now));
        actions
    }

    fn tick_cell(&mut self, now: Now) -> Vec<Action> {
        let Some(held) = &mut self.held else { return Vec::new() };
        let outputs = held.cell.tick(now);
        self.follow(now, outputs)
    }

    /// One pool a service: the needs of its classes add up, and the strictest wish holds. Returns
    /// the targets at the declared peaks.
    fn follow_classes(&mut self, classes: &[Class]) -> BTreeMap<Arc<str>, PoolTarget> {
        let mut targets: BTreeMap<Arc<str>, PoolTarget> = BTreeMap::new();
        for class in classes {
            let need = class.capacity_instances;
            let may_lose = class.may_lose_instances;
            let survive = class.survive;
            let target = targets.entry(Arc::clone(&class.service)).or_insert(PoolTarget {
                need: 0,
                cautious_need: 0,
                may_lose,
                survive,
            });
            target.need += need;
            target.cautious_need += need;
            target.may_lose = target.may_lose.min(may_lose);
            target.survive = target.survive.max(survive);
        }
        for (service, target) in &targets {
            if !self.pools.contains_key(service) {
                let pool = self.fleet.add_pool(*target);
                self.pools.insert(Arc::clone(service), pool);
            }
        }
        targets
    }

    /// Sets each pool's target by its forecast, which is the declared peak until it has learned.
    fn follow_demand(
        &mut self,
        peaks: &BTreeMap<Arc<str>, PoolTarget>,
        inputs: &Inputs,
    ) -> HashMap<PoolIx, Forecast> {
        let Some(held) = &self.held else { return HashMap::new() };
        let mut forecasts = HashMap::new();
        for (service, peak) in peaks {
            let (Some(pool), Some(learned)) = (self.pools.get(service), held.demands.get(service))
            else {
                continue;
            };
            let milli = inputs.demand_milli.get(service).copied().unwrap_or(0);
            let present = milli.div_ceil(MILLI).min(peak.need);
            let forecast =
                forecast(&learned.demand, present, inputs.since_epoch, day_kind, &inputs.ceilings);
            let need = forecast.need.max(1);
            let cautious_need = forecast.cautious_need.max(1);
            let target = PoolTarget { need, cautious_need, ..*peak };
            if self.fleet.pool(*pool).target != target {
                self.fleet.set_target(*pool, target);
                self.planner.touch(*pool);
            }
            forecasts.insert(*pool, forecast);
        }
        forecasts
    }

    fn follow_list(&mut self, instances: &[Instance]) {
        for instance in instances {
            let ix = match self.by_id.get(&instance.id) {
                Some(ix) => *ix,
                None => self.add_instance(instance),
            };
            let pool = self.pools.get(&instance.pool).copied();
            let is_ordered =
                self.held.as_ref().is_some_and(|held| held.orders.contains_key(&instance.id));
            let phase = match (instance.state, pool) {
                _ if is_ordered => Phase::InMaintenance,
                (InstanceState::Live, Some(_)) => Phase::Serving,
                (InstanceState::Live, None) if &*instance.pool == FREE_POOL => Phase::Free,
                // It is leaving, or its pool belongs to no class that is declared.
                _ => Phase::Draining,
            };
            let known = self.fleet.instance(ix);
            if (known.pool, known.phase) != (pool, phase) {
                let before = known.pool;
                self.fleet.set(ix, pool, phase);
                before.into_iter().chain(pool).for_each(|pool| self.planner.touch(pool));
            }
        }
        let present: std::collections::HashSet<&str> = instances.iter().map(|i| &*i.id).collect();
        let gone: Vec<InstanceIx> = self
            .by_id
            .iter()
            .filter(|(id, _)| !present.contains(&***id))
            .map(|(_, ix)| *ix)
            .filter(|ix| self.fleet.instance(*ix).phase != Phase::Down)
            .collect();
        for ix in gone {
            if let Some(pool) = self.fleet.instance(ix).pool {
                self.planner.touch(pool);
            }
            self.fleet.set(ix, None, Phase::Down);
        }
    }

    fn add_instance(&mut self, instance: &Instance) -> InstanceIx {
        let mut domain = |kind: &str, name: &str| {
            let next = self.domains.len() as u32;
            *self.domains.entry(format!("{kind}/{name}")).or_insert(next)
        };
        let rack_name = format!("{}/{}", instance.zone, instance.rack);
        let place = Place {
            zone: domain("zone", &instance.zone),
            switch: domain("switch", &instance.zone),
            rack: domain("rack", &rack_name),
        };
        let ix = self.fleet.add_instance(place);
        self.ids.push(Arc::clone(&instance.id));
        self.by_id.insert(Arc::clone(&instance.id), ix);
        ix
    }

    /// Orders whose effect shows in the list are over, and so are those that took too long.
    fn end_orders(&mut self, now: Now, instances: &[Instance]) -> Vec<Action> {
        let Some(held) = &mut self.held else { return Vec::new() };
        let by_id: HashMap<&str, &Instance> = instances.iter().map(|i| (&*i.id, i)).collect();
        let ended: Vec<(Arc<str>, bool)> = held
            .orders
            .iter()
            .filter_map(|(id, pending)| {
                let listed = by_id.get(&**id);
                let is_done = listed.is_some_and(|instance| {
                    instance.last_order == pending.order.id && instance.state == InstanceState::Live
                });
                let is_late = pending.first_sent_at.is_some_and(|at| now >= at + ORDER_LIMIT);
                (is_done || is_late).then(|| (Arc::clone(id), is_done))
            })
            .collect();
        for (id, is_done) in ended {
            held.end_order(&id, is_done, self.by_id.get(&id).copied());
        }
        Vec::new()
    }

    fn start_steps(&mut self, ceilings: &Ceilings) {
        let Some(held) = &mut self.held else { return };
        let Some(wave) = &mut held.wave else { return };
        let state_before = wave.state();
        lend(wave, &mut self.fleet, &mut self.planner, ceilings);
        let phases: HashMap<InstanceIx, Phase> =
            self.by_id.values().map(|ix| (*ix, self.fleet.instance(*ix).phase)).collect();
        let (starts, held_by) = wave.start_steps(&mut self.fleet);
        let has_ended = state_before != WaveState::Finished && wave.state() == WaveState::Finished;
        held.hold = held_by;
        for ix in starts {
            let id = Arc::clone(&self.ids[ix as usize]);
            let was_serving = phases[&ix] == Phase::Serving;
            held.record_order(id, OrderAction::Maintain, held.wave_id, was_serving);
        }
        if has_ended {
            held.record_wave();
        }
    }

    /// Fills pools from the free instances, and gives up what is not needed before long.
    fn plan_moves(&mut self, now: Now, forecasts: &HashMap<PoolIx, Forecast>) {
        let Some(held) = &mut self.held else { return };
        let wave = held.wave.as_ref().filter(|wave| wave.state() == WaveState::Running);
        let outlooks: HashMap<PoolIx, Outlook> = forecasts
            .iter()
            .map(|(pool, forecast)| {
                let is_held = wave.is_some_and(|wave| wave.goes_through(&self.fleet, *pool));
                let later = forecast.later;
                (*pool, Outlook { later, is_held, is_prompt: false })
            })
            .collect();
        // A pool without a forecast is one whose declaration is gone; it is left as it is.
        let unknown = Outlook { is_held: true, ..Outlook::default() };
        let outlook = |pool: PoolIx| outlooks.get(&pool).copied().unwrap_or(unknown);
        for decided in self.planner.replan(now, &mut self.fleet, outlook) {
            let to = decided.to.and_then(|pool| {
                self.pools.iter().find(|(_, ix)| **ix == pool).map(|(name, _)| Arc::clone(name))
            });
            let name = to.unwrap_or_else(|| FREE_POOL.into());
            let id = Arc::clone(&self.ids[decided.instance as usize]);
            log::info!(event = "move", instance = &*id, pool = &*name; "{}", decided.reason);
            held.moves += 1;
            held.record_order(id, OrderAction::MoveTo(name), 0, false);
        }
    }

    fn resend(&mut self, now: Now) -> Vec<Action> {
        let Some(held) = &mut self.held else { return Vec::new() };
        let mut actions = Vec::new();
        for pending in held.orders.values_mut().filter(|pending| pending.is_durable) {
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
        let held = self.held.as_mut().filter(|held| held.cell.is_open())?;
        let state = held.wave.as_ref().map(Wave::state);
        let is_over = matches!(state, None | Some(WaveState::Finished | WaveState::Cancelled));
        let changes = match (action, &mut held.wave) {
            (WaveAction::Status, _) => true,
            (WaveAction::Start, _) if is_over => {
                held.wave_id += 1;
                held.wave = Some(Wave::new(instances));
                true
            }
            (WaveAction::Start, _) | (_, None) => false,
            (WaveAction::Pause, Some(wave)) => wave.pause(),
            (WaveAction::Resume, Some(wave)) => wave.resume(),
            (WaveAction::Cancel, Some(wave)) => wave.cancel(),
        };
        if changes && action != WaveAction::Status {
            held.record_wave();
        }
        let answer = held.shown_wave(changes);
        let actions = self.tick_cell(now);
        Some((answer, actions))
    }
}

impl Held {
    fn recover(&mut self, states: Vec<(Arc<str>, CapacityRecord)>) {
        let mut wave_state = None;
        let mut orders = Vec::new();
        for (_, record) in states {
            match record {
                CapacityRecord::Demand { service, demand } => {
                    let learned = LearnedDemand { demand, slot: 0, largest_milli: 0 };
                    self.demands.insert(service, learned);
                }
                CapacityRecord::Wave { id, state } => {
                    self.wave_id = id;
                    wave_state = Some(state);
                }
                CapacityRecord::Order { order, wave, was_serving, end } => {
                    orders.push((order, wave, was_serving, end));
                }
            }
        }
        for (order, wave, was_serving, end) in orders {
            let id = Arc::clone(&order.instance);
            if wave == self.wave_id && wave > 0 {
                let progress = end.unwrap_or(Progress::Out);
                self.recovered.push((Arc::clone(&id), progress, was_serving));
            }
            if end.is_none() {
                let pending = Pending {
                    order,
                    wave,
                    was_serving,
                    number: 0,
                    is_durable: true,
                    sent_at: None,
                    first_sent_at: None,
                };
                self.orders.insert(id, pending);
            }
        }
        self.wave = wave_state.map(|state| Wave::restore(state, []));
    }

    /// Learns the demand of each slot that has ended, and makes it durable.
    fn learn(&mut self, peaks: &BTreeMap<Arc<str>, PoolTarget>, inputs: &Inputs) {
        let slot = inputs.since_epoch.as_secs() / SLOT.as_secs();
        for (service, peak) in peaks {
            let milli = inputs.demand_milli.get(service).copied().unwrap_or(0);
            let learned = self.demands.entry(Arc::clone(service)).or_insert_with(|| {
                LearnedDemand { demand: Demand::new(peak.need), slot, largest_milli: 0 }
            });
            learned.demand.set_peak(peak.need);
            let is_whole = learned.slot + 1 == slot;
            if learned.slot != slot {
                // A slot that this holder has not seen from its start to its end teaches nothing.
                if is_whole && learned.largest_milli > 0 {
                    let start = SLOT * u32::try_from(learned.slot).unwrap_or(u32::MAX);
                    let demand = f64::from(learned.largest_milli) / f64::from(MILLI);
                    learned.demand.observe(start, day_kind(start), demand);
                    let record = CapacityRecord::Demand {
                        service: Arc::clone(service),
                        demand: learned.demand.clone(),
                    };
                    self.cell.put(format!("demand/{service}").into(), &record);
                }
                learned.slot = slot;
                learned.largest_milli = 0;
            }
            learned.largest_milli = learned.largest_milli.max(milli);
        }
    }

    /// Fills the restored wave once the list has shown the instances.
    fn restore_wave(&mut self, by_id: &HashMap<Arc<str>, InstanceIx>) {
        if self.recovered.is_empty() && self.wave.as_ref().is_none_or(|wave| wave.pending() > 0) {
            return;
        }
        let Some(wave) = &mut self.wave else { return };
        if wave.state() == WaveState::Finished || by_id.is_empty() {
            return;
        }
        if !self.recovered.is_empty() {
            let steps = self.recovered.drain(..).filter_map(|(id, progress, was_serving)| {
                Some((*by_id.get(&id)?, progress, was_serving))
            });
            *wave = Wave::restore(wave.state(), steps.collect::<Vec<_>>());
        }
        if wave.done() == 0 && wave.out().is_empty() || wave.pending() == 0 {
            by_id.values().for_each(|ix| wave.add(*ix));
        }
    }

    fn record_order(&mut self, id: Arc<str>, action: OrderAction, wave: u64, was_serving: bool) {
        self.next_order += 1;
        let order_id = match action {
            OrderAction::Maintain => format!("wave-{wave}-{id}"),
            OrderAction::MoveTo(_) => format!("move-{}-{}", self.epoch, self.next_order),
        };
        let order = Order { id: order_id, instance: Arc::clone(&id), action };
        let record = CapacityRecord::Order { order: order.clone(), wave, was_serving, end: None };
        let Some(number) = self.cell.put(order_subject(&id), &record) else { return };
        let pending = Pending {
            order,
            wave,
            was_serving,
            number,
            is_durable: false,
            sent_at: None,
            first_sent_at: None,
        };
        self.orders.insert(id, pending);
    }

    fn end_order(&mut self, id: &Arc<str>, is_done: bool, ix: Option<InstanceIx>) {
        let Some(pending) = self.orders.remove(id) else { return };
        let progress = if is_done { Progress::Done } else { Progress::Failed };
        let record = CapacityRecord::Order {
            order: pending.order,
            wave: pending.wave,
            was_serving: pending.was_serving,
            end: Some(progress),
        };
        self.cell.put(order_subject(id), &record);
        if let (Some(wave), Some(ix)) = (&mut self.wave, ix)
            && pending.wave == self.wave_id
        {
            let before = wave.state();
            wave.finish_step(ix, is_done);
            if wave.state() != before {
                self.record_wave();
            }
        }
    }

    fn record_wave(&mut self) {
        let Some(wave) = &self.wave else { return };
        let record = CapacityRecord::Wave { id: self.wave_id, state: wave.state() };
        self.cell.put("wave".into(), &record);
    }

    fn shown_wave(&self, changed: bool) -> Value {
        let Some(wave) = &self.wave else {
            return json!({ "accepted": changed, "wave": Value::Null, "moves": self.moves });
        };
        json!({
            "accepted": changed,
            "wave": self.wave_id,
            "state": wave.state(),
            "done": wave.done(),
            "out": wave.out().len(),
            "pending": wave.pending(),
            "moves": self.moves,
            "held_by": self.hold.map(|hold| hold.to_string()),
        })
    }
}

fn order_subject(id: &str) -> Arc<str> {
    format!("order/{id}").into()
}
