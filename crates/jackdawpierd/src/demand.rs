//! Demand of the services, as measured by this entry and its peers.
//!
//! The entry that decides for a service samples how many instances its requests and tasks would
//! fill, smooths the samples, and reports the result in its heartbeats. The holder of the capacity
//! role adds up the reports.

use std::collections::{BTreeMap, HashMap};

use jackdawpier_kernel::ids::{EntryId, ServiceName};

/// Number of samples to smooth over: a new sample has a weight of one in this many. Samples are
/// taken twice a second.
const SMOOTHING_SAMPLES: f64 = 120.0;

/// Number of instances that each service would fill, in thousandths.
pub(crate) type DemandMilli = BTreeMap<ServiceName, u32>;

/// Smoothed demand of this entry, and the last reports of its peers.
#[derive(Debug, Default)]
pub(crate) struct DemandView {
    own_averages: BTreeMap<ServiceName, f64>,
    peers: HashMap<EntryId, DemandMilli>,
}

impl DemandView {
    /// Adds one sample of a service.
    pub(crate) fn sample(&mut self, service: &ServiceName, demand_milli: u32) {
        let average = self.own_averages.entry(service.clone()).or_default();
        *average += (f64::from(demand_milli) - *average) / SMOOTHING_SAMPLES;
    }

    /// Returns the demand that this entry reports to its peers.
    pub(crate) fn own_report(&self) -> DemandMilli {
        self.own_averages.iter().map(|(service, milli)| (service.clone(), *milli as u32)).collect()
    }

    /// Records the demand that a peer reported.
    pub(crate) fn on_peer_report(&mut self, peer: &EntryId, demand: DemandMilli) {
        self.peers.insert(peer.clone(), demand);
    }

    /// Removes the reports of peers for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&EntryId) -> bool) {
        self.peers.retain(|peer, _| keep(peer));
    }

    /// Returns the demand of every service, summed over all entries.
    pub(crate) fn total(&self) -> DemandMilli {
        let mut total = self.own_report();
        for (service, milli) in self.peers.values().flatten() {
            *total.entry(service.clone()).or_default() += milli;
        }
        total
    }
}
