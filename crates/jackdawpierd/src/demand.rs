//! What the services ask for, as this entry and its peers see it.
//!
//! The deciding entry of a service samples how many instances its requests and tasks would fill,
//! smooths that, and tells it in its heartbeats; the holder of the capacity role adds up.

use std::collections::{BTreeMap, HashMap};

use jackdawpier_kernel::ids::{EntryId, ServiceName};

/// Weight of a new sample, one in this many; samples come twice a second.
const SMOOTHING_SAMPLES: f64 = 120.0;

/// Instances that each service would fill, in thousandths.
pub(crate) type DemandMilli = BTreeMap<ServiceName, u32>;

/// Smoothed demand here, and what the peers said last.
#[derive(Debug, Default)]
pub(crate) struct DemandView {
    own: BTreeMap<ServiceName, f64>,
    peers: HashMap<EntryId, DemandMilli>,
}

impl DemandView {
    /// Takes one sample of a service.
    pub(crate) fn sample(&mut self, service: &ServiceName, demand_milli: u32) {
        let average = self.own.entry(service.clone()).or_default();
        *average += (f64::from(demand_milli) - *average) / SMOOTHING_SAMPLES;
    }

    /// What this entry tells its peers.
    pub(crate) fn own(&self) -> DemandMilli {
        self.own.iter().map(|(service, milli)| (service.clone(), *milli as u32)).collect()
    }

    /// Takes over what a peer tells.
    pub(crate) fn on_peer_report(&mut self, peer: &EntryId, demand: DemandMilli) {
        self.peers.insert(peer.clone(), demand);
    }

    /// Forgets peers that `keep` refuses.
    pub(crate) fn retain(&mut self, keep: impl Fn(&EntryId) -> bool) {
        self.peers.retain(|peer, _| keep(peer));
    }

    /// The demand of every service over all entries.
    pub(crate) fn total(&self) -> DemandMilli {
        let mut total = self.own();
        for (service, milli) in self.peers.values().flatten() {
            *total.entry(service.clone()).or_default() += milli;
        }
        total
    }
}
