//! Extra instances (surge) for pools while a maintenance wave takes instances out of them.

use crate::{
    InstanceIx, PoolIx,
    fleet::Fleet,
    planner::Planner,
    wave::{Wave, WaveState},
};

/// Requests the surge that each pool needs for `wave`. A requested surge isn't reduced before the
/// wave is done with the pool, since the wave relies on it.
pub fn request_surge(wave: &Wave, fleet: &mut Fleet, planner: &mut Planner) {
    let is_running = wave.state() == WaveState::Running;
    wave.pending_instances().for_each(|ix| fleet.set_awaits_maintenance(ix, is_running));
    for (ix, surge) in wave.surge_by_pool(fleet).into_iter().enumerate() {
        let current = fleet.pools()[ix].wave_surge;
        let wanted = if surge == 0 { 0 } else { current.max(surge) };
        set_surge(ix, wanted, fleet, planner);
    }
}

/// Ends the surge of all pools after the wave.
pub fn end_surge(fleet: &mut Fleet, planner: &mut Planner) {
    (0..fleet.pools().len()).for_each(|ix| set_surge(ix, 0, fleet, planner));
    (0..fleet.instances().len())
        .for_each(|ix| fleet.set_awaits_maintenance(ix as InstanceIx, false));
}

fn set_surge(ix: usize, surge: u32, fleet: &mut Fleet, planner: &mut Planner) {
    if fleet.pools()[ix].wave_surge != surge {
        fleet.set_wave_surge(ix as PoolIx, surge);
        planner.mark_changed(ix as PoolIx);
    }
}
