//! Instances that pools get on top while a wave goes through them.

use crate::{
    InstanceIx, PoolIx,
    fleet::Fleet,
    planner::Planner,
    wave::{Wave, WaveState},
};

/// Asks for what each pool needs on top so that `wave` gets through it. What a pool was promised
/// stays until the wave is through, since the wave counts on it.
pub fn request_surge(wave: &Wave, fleet: &mut Fleet, planner: &mut Planner) {
    let is_running = wave.state() == WaveState::Running;
    wave.pending_instances().for_each(|ix| fleet.set_awaits_maintenance(ix, is_running));
    for (ix, extra) in wave.surge_by_pool(fleet).into_iter().enumerate() {
        let before = fleet.pools()[ix].wave_surge;
        let wanted = if extra == 0 { 0 } else { before.max(extra) };
        set_extra(ix, wanted, fleet, planner);
    }
}

/// Takes everything back, after the wave.
pub fn end_surge(fleet: &mut Fleet, planner: &mut Planner) {
    (0..fleet.pools().len()).for_each(|ix| set_extra(ix, 0, fleet, planner));
    (0..fleet.instances().len())
        .for_each(|ix| fleet.set_awaits_maintenance(ix as InstanceIx, false));
}

fn set_extra(ix: usize, extra: u32, fleet: &mut Fleet, planner: &mut Planner) {
    if fleet.pools()[ix].wave_surge != extra {
        fleet.set_wave_surge(ix as PoolIx, extra);
        planner.mark_changed(ix as PoolIx);
    }
}
