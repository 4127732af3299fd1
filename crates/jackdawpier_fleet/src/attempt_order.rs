//! Order of attempts of which only a bounded number may fail in a round.
//!
//! Without turns, the first few that fit nowhere would use up the bound in each round, and the others would never be
//! tried.

use std::{collections::BTreeMap, time::Duration};

use jackdawpier_kernel::Now;

/// A failed attempt is remembered for this long: more than enough rounds for all others to be tried.
const REMEMBERED_FOR: Duration = Duration::from_secs(10);

/// The last failed attempt of each key.
#[derive(Debug)]
pub struct AttemptOrder<K> {
    last_failures: BTreeMap<K, Now>,
}

impl<K> Default for AttemptOrder<K> {
    fn default() -> Self {
        Self { last_failures: BTreeMap::new() }
    }
}

impl<K: Ord> AttemptOrder<K> {
    /// Records a failed attempt.
    pub fn note_failure(&mut self, now: Now, key: K) {
        self.last_failures.insert(key, now);
    }

    /// Forgets old attempts.
    pub fn forget_old(&mut self, now: Now) {
        self.last_failures.retain(|_, at| now < *at + REMEMBERED_FOR);
    }

    /// Orders items, given in the order of their ranks, for attempts of which `max_failures` may fail. If there are
    /// more items, those that rank highest take half of the attempts, and the others take turns.
    pub fn order<T>(
        &self,
        mut items: Vec<T>,
        max_failures: usize,
        key: impl Fn(&T) -> K,
    ) -> Vec<T> {
        if items.len() > max_failures {
            let by_turns = &mut items[max_failures / 2..];
            by_turns.sort_by_key(|item| self.last_failures.get(&key(item)).copied());
        }
        items
    }
}
