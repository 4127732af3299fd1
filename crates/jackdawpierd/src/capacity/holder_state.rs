//! The state that only the holder of the capacity role has: the wave, the orders and the learned
//! demand, each with its durable record.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use jackdawpier_capacity::{
    InstanceIx,
    demand::{DemandPattern, SLOT_LENGTH},
    fleet::PoolTarget,
    reason::HoldReason,
    wave::{StepProgress, Wave, WaveState},
};
use jackdawpier_coord::cell::Cell;
use jackdawpier_kernel::{
    Now,
    instance::{Order, OrderAction},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{
    MILLI, PlanningInputs,
    fleet_view::day_kind,
    measures::{DayMeasures, Measures},
};

/// An order that has not finished yet.
pub(super) struct PendingOrder {
    pub(super) order: Order,
    pub(super) wave: u64,
    pub(super) was_serving: bool,
    /// Number of the cell's write that makes the order durable.
    pub(super) write_number: u64,
    pub(super) is_durable: bool,
    pub(super) sent_at: Option<Now>,
    pub(super) first_sent_at: Option<Now>,
}

/// State of the role while this entry holds it.
pub(super) struct HolderState {
    /// Number of this acquisition of the role; results of store calls of earlier ones are ignored.
    pub(super) generation: u64,
    pub(super) cell: Cell<CapacityRecord>,
    pub(super) wave_id: u64,
    pub(super) wave: Option<Wave>,
    /// Whether a wave was recovered whose instances are not known yet.
    pub(super) has_recovered_wave: bool,
    /// Steps of the current wave (instance, progress, was serving), recovered before the fleet was
    /// known.
    pub(super) recovered_steps: Vec<(Arc<str>, StepProgress, bool)>,
    /// Unfinished orders, by instance.
    pub(super) orders: HashMap<Arc<str>, PendingOrder>,
    /// The reason why the wave doesn't take out more instances now, if any.
    pub(super) hold_reason: Option<HoldReason>,
    pub(super) last_order_number: u64,
    pub(super) epoch: u64,
    /// Number of moves since this entry acquired the role.
    pub(super) moves: u64,
    pub(super) measures: Measures,
    /// Sums of the days that have been written, by day.
    pub(super) days: BTreeMap<u64, DayMeasures>,
    /// Learned demand by service, with the peak of the current slot.
    pub(super) learned_demands: BTreeMap<Arc<str>, LearnedDemand>,
}

/// Demand pattern of a service, and the slot that is being observed.
pub(super) struct LearnedDemand {
    pub(super) demand: DemandPattern,
    pub(super) slot: u64,
    /// Whether this holder has observed the slot from its start.
    pub(super) is_observed_from_start: bool,
    pub(super) peak_milli: u32,
}

/// Durable state of one key of the role's cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CapacityRecord {
    Wave {
        id: u64,
        state: WaveState,
    },
    Order {
        order: Order,
        wave: u64,
        was_serving: bool,
        end: Option<StepProgress>,
    },
    /// Sums of one day.
    Day(DayMeasures),
    Demand {
        service: Arc<str>,
        demand: DemandPattern,
    },
}

impl HolderState {
    pub(super) fn recover(&mut self, states: Vec<(Arc<str>, CapacityRecord)>) {
        let mut wave_state = None;
        let mut orders = Vec::new();
        for (_, record) in states {
            match record {
                CapacityRecord::Day(day) => {
                    self.measures.recover(day.clone());
                    self.days.insert(day.day, day);
                }
                CapacityRecord::Demand { service, demand } => {
                    let learned = LearnedDemand {
                        demand,
                        slot: 0,
                        is_observed_from_start: false,
                        peak_milli: 0,
                    };
                    self.learned_demands.insert(service, learned);
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
                let progress = end.unwrap_or(StepProgress::Out);
                self.recovered_steps.push((Arc::clone(&id), progress, was_serving));
            }
            if end.is_none() {
                let pending = PendingOrder {
                    order,
                    wave,
                    was_serving,
                    write_number: 0,
                    is_durable: true,
                    sent_at: None,
                    first_sent_at: None,
                };
                self.orders.insert(id, pending);
            }
        }
        self.has_recovered_wave = wave_state.is_some();
        self.wave = wave_state.map(|state| Wave::restore(state, []));
    }

    /// Adds the peak of each slot that has ended to the demand patterns, and writes them.
    pub(super) fn learn_demand(
        &mut self,
        peaks: &BTreeMap<Arc<str>, PoolTarget>,
        inputs: &PlanningInputs,
    ) {
        let slot = inputs.since_epoch.as_secs() / SLOT_LENGTH.as_secs();
        for (service, peak) in peaks {
            let milli = inputs.demand_milli.get(service).copied().unwrap_or(0);
            let learned = self.learned_demands.entry(Arc::clone(service)).or_insert_with(|| {
                let demand = DemandPattern::new(peak.need);
                LearnedDemand { demand, slot, is_observed_from_start: false, peak_milli: 0 }
            });
            learned.demand.set_peak(peak.need);
            if learned.slot != slot {
                // A slot that was observed only in part has no valid peak.
                let is_next = learned.slot + 1 == slot;
                if is_next && learned.is_observed_from_start && learned.peak_milli > 0 {
                    let start = SLOT_LENGTH * u32::try_from(learned.slot).unwrap_or(u32::MAX);
                    let demand = f64::from(learned.peak_milli) / f64::from(MILLI);
                    learned.demand.observe(start, day_kind(start), demand);
                    let record = CapacityRecord::Demand {
                        service: Arc::clone(service),
                        demand: learned.demand.clone(),
                    };
                    self.cell.put(format!("demand/{service}").into(), &record);
                }
                learned.slot = slot;
                learned.is_observed_from_start = is_next;
                learned.peak_milli = 0;
            }
            learned.peak_milli = learned.peak_milli.max(milli);
        }
    }

    /// Restores the steps of a previous holder's wave once the instance list was read.
    pub(super) fn restore_wave(&mut self, by_id: &HashMap<Arc<str>, InstanceIx>) {
        if !self.has_recovered_wave || by_id.is_empty() {
            return;
        }
        self.has_recovered_wave = false;
        let Some(wave) = &mut self.wave else { return };
        let steps: Vec<(InstanceIx, StepProgress, bool)> = self
            .recovered_steps
            .drain(..)
            .filter_map(|(id, progress, was_serving)| {
                Some((*by_id.get(&id)?, progress, was_serving))
            })
            .collect();
        *wave = Wave::restore(wave.state(), steps);
        if wave.state() != WaveState::Finished {
            by_id.values().for_each(|ix| wave.add(*ix));
        }
    }

    pub(super) fn queue_order(
        &mut self,
        id: Arc<str>,
        action: OrderAction,
        wave: u64,
        was_serving: bool,
    ) {
        self.last_order_number += 1;
        let order_id = match action {
            OrderAction::Maintain => format!("wave-{wave}-{id}"),
            OrderAction::MoveTo(_) => format!("move-{}-{}", self.epoch, self.last_order_number),
        };
        let order = Order { id: order_id, instance: Arc::clone(&id), action };
        let record = CapacityRecord::Order { order: order.clone(), wave, was_serving, end: None };
        let Some(write_number) = self.cell.put(order_key(&order), &record) else { return };
        let pending = PendingOrder {
            order,
            wave,
            was_serving,
            write_number,
            is_durable: false,
            sent_at: None,
            first_sent_at: None,
        };
        self.orders.insert(id, pending);
    }

    pub(super) fn finish_order(&mut self, id: &Arc<str>, is_done: bool, ix: Option<InstanceIx>) {
        let Some(pending) = self.orders.remove(id) else { return };
        let progress = if is_done { StepProgress::Done } else { StepProgress::Failed };
        let subject = order_key(&pending.order);
        let record = CapacityRecord::Order {
            order: pending.order,
            wave: pending.wave,
            was_serving: pending.was_serving,
            end: Some(progress),
        };
        self.cell.put(subject, &record);
        if let (Some(wave), Some(ix)) = (&mut self.wave, ix)
            && pending.wave == self.wave_id
        {
            let before = wave.state();
            wave.finish_step(ix, is_done);
            if wave.state() != before {
                self.write_wave();
            }
        }
    }

    pub(super) fn write_wave(&mut self) {
        let Some(wave) = &self.wave else { return };
        let record = CapacityRecord::Wave { id: self.wave_id, state: wave.state() };
        self.cell.put("wave".into(), &record);
    }

    pub(super) fn wave_json(&self, changed: bool) -> Value {
        let Some(wave) = &self.wave else {
            return json!({ "accepted": changed, "wave": Value::Null, "moves": self.moves });
        };
        json!({
            "accepted": changed,
            "wave": self.wave_id,
            "state": wave.state(),
            "done": wave.done_count(),
            "out": wave.out().len(),
            "pending": wave.pending_count(),
            "moves": self.moves,
            "held_by": self.hold_reason.map(|hold| hold.to_string()),
        })
    }
}

/// Returns the cell key of an order. Maintenance and moves have separate keys: a later move must
/// not overwrite the record of a wave's maintenance, or a new holder would repeat it.
fn order_key(order: &Order) -> Arc<str> {
    match order.action {
        OrderAction::Maintain => format!("maintain/{}", order.instance).into(),
        OrderAction::MoveTo(_) => format!("move/{}", order.instance).into(),
    }
}
