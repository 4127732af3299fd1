//! The capacity role: the holder of its shard keeps the pools' targets and carries waves through.
//!
//! Every order to the platform is recorded in the role's cell before it is sent, under an id that
//! the platform recognises, so that a new holder goes on without repeating a reboot. An instance
//! has one order at a time and one pool field at the platform, so it is in exactly one pool.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use jackdawpier_capacity::{
    InstanceIx, PoolIx,
    explain::explain,
    fleet::{Fleet, Phase, Place, PoolTarget},
    planner::{Ceilings, Outlook, Planner},
    reason::HoldReason,
    wave::{Progress, Wave, WaveState},
};
use jackdawpier_coord::cell::{Cell, Output};
use jackdawpier_kernel::{
    Now,
    instance::{FREE_POOL, Instance, ORDERS_PATH, Order, OrderAction, State as InstanceState},
};
use jackdawpier_settings::declaration::Class;
use jackdawpier_store::{Request, StoreResult};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::entry::Entry;

/// The shard that the role's holder owns; no service can have this name.
pub(crate) const SHARD: &str = "~capacity";
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an order that shows no effect is sent again, under the same id.
const RESEND_INTERVAL: Duration = Duration::from_secs(3);
/// Time after which an order counts as failed.
const ORDER_LIMIT: Duration = Duration::from_secs(1800);

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
        let classes: Vec<Class> =
            entry.coordination().configuration.classes().into_values().collect();
        let instances = entry.instances();
        let actions = self.lock().tick(entry.now(), &classes, &instances);
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

    fn tick(&mut self, now: Now, classes: &[Class], instances: &[Instance]) -> Vec<Action> {
        self.follow_classes(classes);
        self.follow_list(instances);
        let Some(held) = self.held.as_mut().filter(|held| held.cell.is_open()) else {
            return self.tick_cell(now);
        };
        held.restore_wave(&self.by_id);
        let mut actions = self.end_orders(now, instances);
        self.start_steps();
        self.plan_moves(now);
        actions.extend(self.resend(now));
        actions.extend(self.tick_cell(now));
        actions
    }

    fn tick_cell(&mut self, now: Now) -> Vec<Action> {
        let Some(held) = &mut self.held else { return Vec::new() };
        let outputs = held.cell.tick(now);
        self.follow(now, outputs)
    }

    /// One pool a service: the needs of its classes add up, and the strictest wish holds.
    fn follow_classes(&mut self, classes: &[Class]) {
        let mut targets: BTreeMap<&Arc<str>, PoolTarget> = BTreeMap::new();
        for class in classes {
            let need = class.capacity_instances;
            let may_lose = class.may_lose_instances;
            let survive = class.survive;
            let target = targets.entry(&class.service).or_insert(PoolTarget {
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
        for (service, target) in targets {
            match self.pools.get(service) {
                Some(pool) => self.fleet.set_target(*pool, target),
                None => {
                    let pool = self.fleet.add_pool(target);
                    self.pools.insert(Arc::clone(service), pool);
                }
            }
        }
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
                (InstanceState::Leaving, _) => Phase::Draining,
                (InstanceState::Live, Some(_)) => Phase::Serving,
                (InstanceState::Live, None) if &*instance.pool == FREE_POOL => Phase::Free,
                (InstanceState::Live, None) => Phase::Draining,
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

    fn start_steps(&mut self) {
        let Some(held) = &mut self.held else { return };
        let Some(wave) = &mut held.wave else { return };
        let before: HashMap<InstanceIx, Phase> =
            self.by_id.values().map(|ix| (*ix, self.fleet.instance(*ix).phase)).collect();
        let (starts, hold) = wave.start_steps(&mut self.fleet);
        held.hold = hold;
        for ix in starts {
            let id = Arc::clone(&self.ids[ix as usize]);
            held.record_order(
                id,
                OrderAction::Maintain,
                held.wave_id,
                before[&ix] == Phase::Serving,
            );
        }
        if held.wave.as_ref().is_some_and(|wave| wave.state() == WaveState::Finished) {
            held.record_wave();
        }
    }

    /// Fills pools from the free instances; a pool is never shrunk here, since the demand that
    /// would allow it is not learned on this path yet.
    fn plan_moves(&mut self, now: Now) {
        let Some(held) = &mut self.held else { return };
        let outlook = |_| Outlook { is_held: true, ..Outlook::default() };
        for decided in self.planner.replan(now, &mut self.fleet, outlook) {
            let Some(pool) = decided.to else { continue };
            let name =
                self.pools.iter().find(|(_, ix)| **ix == pool).map(|(name, _)| Arc::clone(name));
            let id = Arc::clone(&self.ids[decided.instance as usize]);
            if let Some(name) = name {
                log::info!(event = "move", instance = &*id, pool = &*name; "{}", decided.reason);
                held.record_order(id, OrderAction::MoveTo(name), 0, false);
            }
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
            return json!({ "accepted": changed, "wave": Value::Null });
        };
        json!({
            "accepted": changed,
            "wave": self.wave_id,
            "state": wave.state(),
            "done": wave.done(),
            "out": wave.out().len(),
            "pending": wave.pending(),
            "held_by": self.hold.map(|hold| hold.to_string()),
        })
    }
}

fn order_subject(id: &str) -> Arc<str> {
    format!("order/{id}").into()
}
