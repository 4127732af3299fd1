//! The control loop: lets time pass for membership, ownership and every service.

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
/// Interval of what asks workers and the platform.
const TEND_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for keyed requests in flight before a shard is handed over.
const RELEASE_LIMIT: Duration = Duration::from_secs(1);

/// Starts the loop.
pub(crate) fn spawn(entry: &Arc<Entry>) {
    let entry = Arc::clone(entry);
    tokio::spawn(async move {
        let mut control = Control { releasing_since: HashMap::new(), tend_at: Now::ZERO };
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            control.tick(&entry);
        }
    });
}

struct Control {
    releasing_since: HashMap<String, Now>,
    tend_at: Now,
}

impl Control {
    fn tick(&mut self, entry: &Arc<Entry>) {
        tick_membership(entry);
        drop_after_lost_lease(entry);
        tick_ownership(entry);
        self.tick_releases(entry);
        let now = entry.now();
        let is_tending = now >= self.tend_at;
        if is_tending {
            self.tend_at = now + TEND_INTERVAL;
            forget_gone_peers(entry);
            entry.capacity.tick(entry);
        }
        for service in entry.services() {
            service.tick();
            if is_tending {
                service.tend_jobs();
                entry.demand().sample(&service.name, service.demand_milli());
            }
        }
    }

    /// Deletes the owner record of each shard whose cell is settled.
    fn tick_releases(&mut self, entry: &Arc<Entry>) {
        let releasing = entry.coordination().ownership.releasing_shards();
        self.releasing_since.retain(|shard, _| releasing.contains(shard));
        for shard in releasing {
            let now = entry.now();
            let since = *self.releasing_since.entry(shard.clone()).or_insert(now);
            let is_settled = if shard == capacity::SHARD {
                entry.capacity.is_settled()
            } else {
                entry.service(&shard.as_str().into()).release()
            };
            if is_settled || now >= since + RELEASE_LIMIT {
                lose(entry, &shard);
                entry.coordination().ownership.on_cell_settled(&shard);
            }
        }
    }
}

/// The demand that an entry told before it went is told by its successor now.
fn forget_gone_peers(entry: &Entry) {
    let members: BTreeSet<EntryId> =
        entry.coordination().view.members().map(|member| member.entry.clone()).collect();
    entry.demand().retain(|peer| members.contains(peer));
}

/// Drops what only the owner of a shard has.
fn lose(entry: &Arc<Entry>, shard: &str) {
    if shard == capacity::SHARD {
        entry.capacity.lose();
    } else {
        entry.service(&shard.into()).lose();
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

/// Without the lease that its records stand under, nothing durable is decided here any more.
fn drop_after_lost_lease(entry: &Arc<Entry>) {
    let lost = {
        let mut coordination = entry.coordination();
        let lease = coordination.membership.lease(entry.now());
        if coordination.ownership.is_backed_by(lease) {
            return;
        }
        coordination.ownership.drop_all()
    };
    for shard in lost {
        log::warn!(event = "shard_lost", shard = shard.as_str(); "the member lease can't be relied on");
        lose(entry, &shard);
    }
}

fn tick_ownership(entry: &Arc<Entry>) {
    let now = entry.now();
    for service in entry.services() {
        if service.is_fenced() {
            service.lose();
            entry.coordination().ownership.on_fenced(&service.name);
        }
    }
    if entry.capacity.is_fenced() {
        entry.capacity.lose();
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
    outputs.into_iter().for_each(|output| follow(entry, output));
}

fn follow(entry: &Arc<Entry>, output: Output) {
    match output {
        Output::Call { shard, request } => {
            let entry = Arc::clone(entry);
            tokio::spawn(async move {
                let result = entry.call_store(request).await;
                let now = entry.now();
                let outputs = entry.coordination().ownership.on_result(now, &shard, &result);
                outputs.into_iter().for_each(|output| follow(&entry, output));
            });
        }
        Output::Acquired { shard } => {
            log::info!(event = "shard_acquired", shard = shard.as_str(); "this entry owns the shard");
            if shard == capacity::SHARD {
                entry.capacity.acquire(entry);
            } else {
                entry.service(&shard.into()).acquire();
            }
        }
        Output::Release { shard } => {
            log::info!(event = "shard_release", shard = shard.as_str(); "the shard is given up");
        }
    }
}
