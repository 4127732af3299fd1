//! Checks that maintenance waves and failures respect availability budgets, and that allowances
//! moved between holders never exceed the total budget.

use jackdawpier_capacity::{
    InstanceIx,
    escrow::Allowance,
    fleet::{Fleet, Location, Phase, PoolTarget},
    planner::{Ceilings, Planner, ShrinkPolicy},
    wave::{Wave, WaveState},
};
use jackdawpier_kernel::Now;
use jackdawpier_settings::declaration::FailureDomain;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 300;
const STEPS: u32 = 200;
const POOLS: u32 = 4;

fn seed_count() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn random_fleet(random: &mut ChaCha8Rng) -> Fleet {
    let zones = random.random_range(2..6);
    let mut fleet = Fleet::new();
    for ix in 0..random.random_range(40..120_u32) {
        let zone = ix % zones;
        let rack = (ix / zones / 4) * zones + zone;
        fleet.add_instance(Location { zone, switch: rack / 2, rack });
    }
    for _ in 0..POOLS {
        let need = random.random_range(1..10);
        let survive = match random.random_range(0..4) {
            0 => FailureDomain::Instance,
            1 => FailureDomain::Rack,
            2 => FailureDomain::Switch,
            _ => FailureDomain::Zone,
        };
        let may_lose = random.random_range(0..need.min(3));
        fleet.add_pool(PoolTarget { need, cautious_need: need, may_lose, survive });
    }
    fleet
}

/// Returns how many instances `pool` has beyond its need after the loss of its largest failure
/// domain; negative if too few remain. Counted from the instances, independently of the fleet.
fn worst_case_margin(fleet: &Fleet, pool: u32) -> i64 {
    let target = fleet.pool(pool).target;
    let serving: Vec<&Location> = fleet
        .instances()
        .iter()
        .filter(|i| i.pool == Some(pool) && i.phase == Phase::Serving)
        .map(|i| &i.location)
        .collect();
    let total = serving.len() as i64;
    let worst_loss = match target.survive {
        FailureDomain::Instance => total.min(1),
        kind => serving
            .iter()
            .map(|location| {
                serving.iter().filter(|other| other.domain(kind) == location.domain(kind)).count()
                    as i64
            })
            .max()
            .unwrap_or(0),
    };
    total - worst_loss + i64::from(target.may_lose) - i64::from(target.need)
}

fn replan(fleet: &mut Fleet, planner: &mut Planner) {
    (0..POOLS).for_each(|pool| planner.mark_changed(pool));
    for assignment in planner
        .replan(Now::ZERO, fleet, |_| ShrinkPolicy { is_blocked: true, ..ShrinkPolicy::default() })
    {
        fleet.assign(assignment.instance, assignment.to, Phase::Serving);
    }
}

/// Runs a wave with random failures and repairs and returns the number of instances done. With
/// `ignores_budget`, also takes out one instance that the budget protects.
fn run_wave_history(seed: u64, ignores_budget: bool) -> Result<usize, String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = random_fleet(&mut random);
    let mut planner = Planner::new(Ceilings::default());
    replan(&mut fleet, &mut planner);
    let count = fleet.instances().len() as InstanceIx;
    let mut wave = Wave::new(0..count);
    for step in 0..STEPS {
        let margins_before: Vec<i64> =
            (0..POOLS).map(|pool| worst_case_margin(&fleet, pool)).collect();
        let (starts, _) = wave.start_steps(&mut fleet);
        if ignores_budget && step == 5 {
            let instance_over_budget = (0..count)
                .find(|ix| fleet.instance(*ix).phase == Phase::Serving && !fleet.can_take_out(*ix));
            if let Some(ix) = instance_over_budget {
                let pool = fleet.instance(ix).pool;
                fleet.assign(ix, pool, Phase::InMaintenance);
            }
        }
        for pool in 0..POOLS {
            let margin = worst_case_margin(&fleet, pool);
            if margin < 0 && margin < margins_before[pool as usize] {
                return Err(format!(
                    "step {step}: the wave took the margin of pool {pool} from {} to {margin}",
                    margins_before[pool as usize]
                ));
            }
        }
        let finished: Vec<InstanceIx> =
            wave.out().iter().copied().filter(|_| random.random_bool(0.6)).collect();
        for ix in finished {
            let pool = fleet.instance(ix).pool;
            let phase = if pool.is_some() { Phase::Serving } else { Phase::Free };
            fleet.assign(ix, pool, phase);
            wave.finish_step(ix, true);
        }
        if random.random_range(0..10) == 0 {
            let ix = random.random_range(0..count);
            if matches!(fleet.instance(ix).phase, Phase::Serving | Phase::Free) {
                fleet.assign(ix, None, Phase::Down);
            }
        }
        for ix in 0..count {
            if fleet.instance(ix).phase == Phase::Down && random.random_range(0..10) == 0 {
                fleet.assign(ix, None, Phase::Free);
            }
        }
        replan(&mut fleet, &mut planner);
        let _ = starts;
        if wave.state() == WaveState::Finished {
            break;
        }
    }
    Ok(wave.done_count())
}

#[test]
fn wave_budgets() {
    for seed in 0..seed_count() {
        if let Err(text) = run_wave_history(seed, false) {
            panic!("seed {seed}: {text}");
        }
    }
}

#[test]
fn waves_complete() {
    let completed: usize =
        (0..20).map(|seed| run_wave_history(seed, false).expect("the budgets are kept")).sum();
    assert!(completed > 500, "{completed} instances done in twenty histories");
}

#[test]
fn budget_off() {
    let detected = (0..50).filter(|seed| run_wave_history(*seed, true).is_err()).count();
    assert!(detected > 0, "no history detected that the budget was exceeded");
}

#[test]
fn correlated_failures() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = random_fleet(&mut random);
    replan(&mut fleet, &mut Planner::new(Ceilings::default()));
    let mut wave = Wave::new(0..fleet.instances().len() as InstanceIx);
    let mut started = 0;
    for _ in 0..50 {
        let (starts, _) = wave.start_steps(&mut fleet);
        started += starts.len();
        starts.iter().for_each(|ix| wave.finish_step(*ix, false));
    }
    assert_eq!(wave.state(), WaveState::Paused { by_itself: true });
    assert!(started < fleet.instances().len(), "a wave pauses when its instances fail");
}

/// Transfers allowances between two holders whose acknowledgements may be lost, and checks that the
/// instances taken out never exceed the budget. With `changes_transfer_ids`, a repeated transfer has
/// a new id, so that the receiver cannot recognise it. Returns the number of instances taken out.
fn run_escrow_history(seed: u64, changes_transfer_ids: bool) -> Result<u32, String> {
    const BUDGET: u32 = 8;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut holders = [Allowance::new(BUDGET), Allowance::new(0)];
    let mut in_flight: Vec<(usize, u64, u32)> = Vec::new();
    let mut spent_count = 0;
    for transfer in 0..200_u64 {
        let sender = random.random_range(0..2_usize);
        let count = random.random_range(1..4);
        if holders[sender].send(transfer, count).is_ok() {
            in_flight.push((1 - sender, transfer, count));
        }
        if !in_flight.is_empty() && random.random_bool(0.7) {
            let index = random.random_range(0..in_flight.len());
            let (receiver, id, count) = in_flight[index];
            holders[receiver].receive(id, count);
            // Without an acknowledgement the transfer is sent again.
            if random.random_bool(0.5) {
                holders[1 - receiver].confirm(id);
                in_flight.remove(index);
            } else if changes_transfer_ids {
                in_flight[index].1 += 10_000;
            }
        }
        let holder = random.random_range(0..2_usize);
        if random.random_bool(0.5) {
            spent_count += u32::from(holders[holder].spend().is_ok());
        } else {
            holders[holder].refund();
        }
        let spent: u32 = holders.iter().map(|holder| holder.spent).sum();
        if spent > BUDGET {
            return Err(format!("{spent} instances are out, but the budget is {BUDGET}"));
        }
    }
    Ok(spent_count)
}

#[test]
fn escrow_sum() {
    let spent_count: u32 = (0..seed_count())
        .map(|seed| run_escrow_history(seed, false).expect("the budget is not exceeded"))
        .sum();
    assert!(spent_count > 1_000);
}

#[test]
fn deduplication_off() {
    assert!((0..100).any(|seed| run_escrow_history(seed, true).is_err()));
}
