//! Instances that pools get on top while a wave goes through them.

use crate::{
    PoolIx,
    fleet::Fleet,
    planner::{Ceilings, Planner},
    wave::Wave,
};

/// Steps in which a wave should get through a pool, and where moves weigh most.
const WAVE_STEPS: u32 = 3;
const WAVE_STEPS_FEW_MOVES: u32 = 4;

/// Asks for what each pool needs on top so that `wave` gets through it. What a pool was promised
/// stays until the wave is through, since the wave counts on it.
pub fn lend(wave: &Wave, fleet: &mut Fleet, planner: &mut Planner, ceilings: &Ceilings) {
    let has_few_moves = ceilings.moves_per_day.is_some();
    let steps = if has_few_moves { WAVE_STEPS_FEW_MOVES } else { WAVE_STEPS };
    for (ix, extra) in wave.extras(fleet, steps).into_iter().enumerate() {
        let before = fleet.pools()[ix].wave_extra;
        let wanted = if extra == 0 { 0 } else { before.max(extra) };
        set_extra(ix, wanted, fleet, planner);
    }
}

/// Takes everything back, after the wave.
pub fn take_back(fleet: &mut Fleet, planner: &mut Planner) {
    (0..fleet.pools().len()).for_each(|ix| set_extra(ix, 0, fleet, planner));
}

fn set_extra(ix: usize, extra: u32, fleet: &mut Fleet, planner: &mut Planner) {
    if fleet.pools()[ix].wave_extra != extra {
        fleet.set_wave_extra(ix as PoolIx, extra);
        planner.touch(ix as PoolIx);
    }
}
