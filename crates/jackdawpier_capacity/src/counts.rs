//! Instance counts by failure domain, with fast access to the largest count.

use std::collections::{BTreeMap, HashMap};

use crate::DomainIx;

/// Multiset of domains. Updates take logarithmic time, and so does a query for the largest count.
#[derive(Debug, Clone, Default)]
pub struct DomainCounts {
    counts: HashMap<DomainIx, u32>,
    domains_by_count: BTreeMap<u32, u32>,
}

impl DomainCounts {
    /// Returns the count of one domain.
    pub fn get(&self, domain: DomainIx) -> u32 {
        self.counts.get(&domain).copied().unwrap_or(0)
    }

    /// Returns the largest count of any domain.
    pub fn largest(&self) -> u32 {
        self.domains_by_count.last_key_value().map_or(0, |(count, _)| *count)
    }

    /// Returns the number of domains that have the largest count.
    pub fn domains_at_largest(&self) -> u32 {
        self.domains_by_count.last_key_value().map_or(0, |(_, domains)| *domains)
    }

    /// Adds one to a domain.
    pub fn add(&mut self, domain: DomainIx) {
        let count = self.counts.entry(domain).or_default();
        *count += 1;
        let new_count = *count;
        self.update_histogram(new_count - 1, new_count);
    }

    /// Subtracts one from a domain.
    ///
    /// Panics if the domain's count is zero.
    pub fn remove(&mut self, domain: DomainIx) {
        let count =
            self.counts.get_mut(&domain).expect("remove() needs a domain with a positive count");
        *count -= 1;
        let new_count = *count;
        if new_count == 0 {
            self.counts.remove(&domain);
        }
        self.update_histogram(new_count + 1, new_count);
    }

    fn update_histogram(&mut self, from: u32, to: u32) {
        if from > 0 {
            let domains = self
                .domains_by_count
                .get_mut(&from)
                .expect("every positive count is in the histogram");
            *domains -= 1;
            if *domains == 0 {
                self.domains_by_count.remove(&from);
            }
        }
        if to > 0 {
            *self.domains_by_count.entry(to).or_default() += 1;
        }
    }
}
