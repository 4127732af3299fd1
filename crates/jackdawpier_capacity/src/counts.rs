//! Counts by failure domain with the largest count at hand.

use std::collections::{BTreeMap, HashMap};

use crate::DomainIx;

/// A multiset of domains that knows its largest count in logarithmic time.
#[derive(Debug, Clone, Default)]
pub struct DomainCounts {
    counts: HashMap<DomainIx, u32>,
    domains_by_count: BTreeMap<u32, u32>,
}

impl DomainCounts {
    /// Count of one domain.
    pub fn get(&self, domain: DomainIx) -> u32 {
        self.counts.get(&domain).copied().unwrap_or(0)
    }

    /// Largest count of any domain.
    pub fn largest(&self) -> u32 {
        self.domains_by_count.last_key_value().map_or(0, |(count, _)| *count)
    }

    /// Domains with the largest count.
    pub fn domains_at_largest(&self) -> u32 {
        self.domains_by_count.last_key_value().map_or(0, |(_, domains)| *domains)
    }

    /// Adds one to a domain.
    pub fn add(&mut self, domain: DomainIx) {
        let count = self.counts.entry(domain).or_default();
        *count += 1;
        let now = *count;
        self.shift(now - 1, now);
    }

    /// Takes one from a domain that has at least one.
    pub fn remove(&mut self, domain: DomainIx) {
        let count = self.counts.get_mut(&domain).expect("only what was added is removed");
        *count -= 1;
        let now = *count;
        if now == 0 {
            self.counts.remove(&domain);
        }
        self.shift(now + 1, now);
    }

    fn shift(&mut self, from: u32, to: u32) {
        if from > 0 {
            let domains = self.domains_by_count.get_mut(&from).expect("the count was noted");
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
