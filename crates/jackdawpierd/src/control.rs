//! The control loop: drives the timers of membership, ownership, capacity and every service.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use jackdawpier_coord::ownership::Output;
use jackdawpier_kernel::{Now, ids::EntryId};
use jackdawpier_store::Response;

use crate::{
    capacity,
    entry::{Coordination, Entry},
};

const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the work that calls workers or the platform.
const SLOW_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum wait for keyed requests in flight before a shard is handed over.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts the control loop.
pub(crate) fn spawn(entry: &Arc<Entry>) {
    let entry = Arc::clone(entry);
    tokio::spawn(async move {
        let mut control =
            ControlLoop { releasing_since: HashMap::new(), next_slow_tick_at: Now::ZERO };
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            control.tick(&entry);
        }
    });
}

/// State of the control loop.
struct ControlLoop {
    releasing_since: HashMap<String, Now>,
    next_slow_tick_at: Now,
}

impl ControlLoop {
    fn tick(&mut self, entry: &Arc<Entry>) {
        tick_membership(entry);
        drop_shards_without_lease(entry);
        tick_ownership(entry);
        self.tick_releases(entry);
        let now = entry.now();
        let is_slow_tick = now >= self.next_slow_tick_at;
        if is_slow_tick {
            self.next_slow_tick_at = now + SLOW_TICK_INTERVAL;
            remove_departed_peers(entry);
            entry.capacity.tick(entry);
        }
        for service in entry.services() {
            service.tick();
            if is_slow_tick {
                service.renew_and_poll_tasks();
                entry.demand().sample(&service.name, service.demand_milli());
            }
        }
    }

    /// Deletes the owner record of each releasing shard whose cell is settled or that timed out.
    fn tick_releases(&mut self, entry: &Arc<Entry>) {
        let releasing = entry.coordination().ownership.releasing_shards();
        self.releasing_since.retain(|shard, _| releasing.contains(shard));
        for shard in releasing {
            let now = entry.now();
            let releasing_since = *self.releasing_since.entry(shard.clone()).or_insert(now);
            let is_settled = if shard == capacity::SHARD {
                entry.capacity.is_settled()
            } else {
                entry.service(&shard.as_str().into()).begin_release()
            };
            if is_settled || now >= releasing_since + RELEASE_TIMEOUT {
                drop_owned_state(entry, &shard);
                entry.coordination().ownership.on_cell_settled(&shard);
            }
        }
    }
}

/// Removes the demand reported by entries that are no longer members; their successors report it.
fn remove_departed_peers(entry: &Entry) {
    let members: BTreeSet<EntryId> =
        entry.coordination().view.members().map(|member| member.entry.clone()).collect();
    entry.demand().retain(|peer| members.contains(peer));
}

/// Drops the state that only the owner of a shard has.
fn drop_owned_state(entry: &Arc<Entry>, shard: &str) {
    if shard == capacity::SHARD {
        entry.capacity.drop_owned();
    } else {
        entry.service(&shard.into()).drop_owned();
    }
}

fn tick_membership(entry: &Arc<Entry>) {
    let now = entry.now();
    let request = {
        let mut coordination = entry.coordination();
        let Coordination { membership, view, configuration, .. } = &mut *coordination;
        configuration.record_members(now, view);
        let in_force = configuration.revisions();
        membership.update_own_member(|member| member.in_force = in_force);
        membership.tick(now)
    };
    let Some(request) = request else { return };
    let entry = Arc::clone(entry);
    tokio::spawn(async move {
        let result = entry.call_store(request).await;
        let now = entry.now();
        let mut coordination = entry.coordination();
        coordination.membership.on_result(now, &result);
        if matches!(result, Ok(Response::Lease { .. })) && coordination.is_view_loaded {
            let Coordination { view, configuration, .. } = &mut *coordination;
            configuration.on_store_answer(now, view);
        }
    });
}

/// Drops every owned shard once the lease that backs their owner records is no longer valid: no
/// durable decision may be taken without it.
fn drop_shards_without_lease(entry: &Arc<Entry>) {
    let lost = {
        let mut coordination = entry.coordination();
        let lease = coordination.membership.lease(entry.now());
        if coordination.ownership.is_backed_by(lease) {
            return;
        }
        coordination.ownership.drop_all()
    };
    for shard in lost {
        log::warn!(event = "shard_lost", shard = shard.as_str(); "dropped the shard because the member lease is no longer valid");
        drop_owned_state(entry, &shard);
    }
}

fn tick_ownership(entry: &Arc<Entry>) {
    let now = entry.now();
    for service in entry.services() {
        if service.is_fenced() {
            service.drop_owned();
            entry.coordination().ownership.on_fenced(&service.name);
        }
    }
    if entry.capacity.is_fenced() {
        entry.capacity.drop_owned();
        entry.coordination().ownership.on_fenced(capacity::SHARD);
    }
    let outputs = {
        let mut coordination = entry.coordination();
        let Coordination { membership, view, ownership, configuration, is_view_loaded, .. } =
            &mut *coordination;
        if !*is_view_loaded {
            return;
        }
        let mut shards = configuration.services();
        if !shards.is_empty() {
            shards.insert(capacity::SHARD.to_owned());
        }
        ownership.set_shards(shards);
        ownership.tick(now, membership.lease(now), view)
    };
    outputs.into_iter().for_each(|output| handle_output(entry, output));
}

fn handle_output(entry: &Arc<Entry>, output: Output) {
    match output {
        Output::Call { shard, request } => {
            let entry = Arc::clone(entry);
            tokio::spawn(async move {
                let result = entry.call_store(request).await;
                let now = entry.now();
                let outputs = entry.coordination().ownership.on_result(now, &shard, &result);
                outputs.into_iter().for_each(|output| handle_output(&entry, output));
            });
        }
        Output::Acquired { shard } => {
            log::info!(event = "shard_acquired", shard = shard.as_str(); "acquired the shard");
            if shard == capacity::SHARD {
                entry.capacity.acquire(entry);
            } else {
                entry.service(&shard.into()).acquire();
            }
        }
        Output::Release { shard } => {
            log::info!(event = "shard_release", shard = shard.as_str(); "releasing the shard");
        }
    }
}
