//! Availability budgets through waves and failures, and allowances across holders.

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

fn seeds() -> u64 {
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

/// Whether every pool that kept its target before still does after the loss of any one domain of
/// its kind, counted by hand from the instances.
fn worst_case(fleet: &Fleet, pool: u32) -> i64 {
    let target = fleet.pool(pool).target;
    let serving: Vec<&Location> = fleet
        .instances()
        .iter()
        .filter(|i| i.pool == Some(pool) && i.phase == Phase::Serving)
        .map(|i| &i.location)
        .collect();
    let total = serving.len() as i64;
    let worst = match target.survive {
        FailureDomain::Instance => total.min(1),
        kind => serving
            .iter()
            .map(|place| {
                serving.iter().filter(|p| p.domain(kind) == place.domain(kind)).count() as i64
            })
            .max()
            .unwrap_or(0),
    };
    total - worst + i64::from(target.may_lose) - i64::from(target.need)
}

fn replan(fleet: &mut Fleet, planner: &mut Planner) {
    (0..POOLS).for_each(|pool| planner.mark_changed(pool));
    for decided in planner
        .replan(Now::ZERO, fleet, |_| ShrinkPolicy { is_blocked: true, ..ShrinkPolicy::default() })
    {
        fleet.assign(decided.instance, decided.to, Phase::Serving);
    }
}

/// One history: a wave with failures and repairs in between. With `ignores_budget`, whatever the
/// wave holds back is taken out all the same.
fn history(seed: u64, ignores_budget: bool) -> Result<usize, String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = random_fleet(&mut random);
    let mut planner = Planner::new(Ceilings::default());
    replan(&mut fleet, &mut planner);
    let count = fleet.instances().len() as InstanceIx;
    let mut wave = Wave::new(0..count);
    for step in 0..STEPS {
        let before: Vec<i64> = (0..POOLS).map(|pool| worst_case(&fleet, pool)).collect();
        let (starts, _) = wave.start_steps(&mut fleet);
        if ignores_budget && step == 5 {
            let victim = (0..count)
                .find(|ix| fleet.instance(*ix).phase == Phase::Serving && !fleet.can_take_out(*ix));
            if let Some(ix) = victim {
                let pool = fleet.instance(ix).pool;
                fleet.assign(ix, pool, Phase::InMaintenance);
            }
        }
        for pool in 0..POOLS {
            let after = worst_case(&fleet, pool);
            if after < 0 && after < before[pool as usize] {
                return Err(format!(
                    "step {step}: the wave took pool {pool} from {} to {after}",
                    before[pool as usize]
                ));
            }
        }
        let ended: Vec<InstanceIx> =
            wave.out().iter().copied().filter(|_| random.random_bool(0.6)).collect();
        for ix in ended {
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
    for seed in 0..seeds() {
        if let Err(text) = history(seed, false) {
            panic!("seed {seed}: {text}");
        }
    }
}

#[test]
fn waves_done() {
    let done: usize = (0..20).map(|seed| history(seed, false).expect("budgets hold")).sum();
    assert!(done > 500, "{done} instances done in twenty histories");
}

#[test]
fn budget_off() {
    let noticed = (0..50).filter(|seed| history(*seed, true).is_err()).count();
    assert!(noticed > 0, "a wave beyond the budget goes unnoticed");
}

#[test]
fn correlated_failures() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = random_fleet(&mut random);
    replan(&mut fleet, &mut Planner::new(Ceilings::default()));
    let mut wave = Wave::new(0..fleet.instances().len() as InstanceIx);
    let mut touched = 0;
    for _ in 0..50 {
        let (starts, _) = wave.start_steps(&mut fleet);
        touched += starts.len();
        starts.iter().for_each(|ix| wave.finish_step(*ix, false));
    }
    assert_eq!(wave.state(), WaveState::Paused { by_itself: true });
    assert!(touched < fleet.instances().len(), "a wave whose instances fail stops by itself");
}

/// Two holders move allowances over a lossy way; what may be out never exceeds the budget.
fn escrow_history(seed: u64, doubles_transfers: bool) -> Result<u32, String> {
    const BUDGET: u32 = 8;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut holders = [Allowance::new(BUDGET), Allowance::new(0)];
    let mut under_way: Vec<(usize, u64, u32)> = Vec::new();
    let mut steps = 0;
    for transfer in 0..200_u64 {
        let giver = random.random_range(0..2_usize);
        let count = random.random_range(1..4);
        if holders[giver].send(transfer, count).is_ok() {
            under_way.push((1 - giver, transfer, count));
        }
        if !under_way.is_empty() && random.random_bool(0.7) {
            let at = random.random_range(0..under_way.len());
            let (taker, id, count) = under_way[at];
            holders[taker].receive(id, count);
            // The answer may be lost: the transfer is then sent again.
            if random.random_bool(0.5) {
                holders[1 - taker].confirm(id);
                under_way.remove(at);
            } else if doubles_transfers {
                under_way[at].1 += 10_000;
            }
        }
        let spender = random.random_range(0..2_usize);
        if random.random_bool(0.5) {
            steps += u32::from(holders[spender].spend().is_ok());
        } else {
            holders[spender].refund();
        }
        let spent: u32 = holders.iter().map(|holder| holder.spent).sum();
        if spent > BUDGET {
            return Err(format!("{spent} are out of a budget of {BUDGET}"));
        }
    }
    Ok(steps)
}

#[test]
fn escrow_sum() {
    let steps: u32 =
        (0..seeds()).map(|seed| escrow_history(seed, false).expect("the sum holds")).sum();
    assert!(steps > 1_000);
}

#[test]
fn recognition_off() {
    assert!((0..100).any(|seed| escrow_history(seed, true).is_err()));
}
