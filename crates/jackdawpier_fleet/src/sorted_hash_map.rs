//! A map with lookup by hash and iteration in key order.
//!
//! Decisions must be deterministic. The iteration order of a hash map depends on a random seed: two owners
//! would decide differently on the same input, and a simulated history would have several outcomes. Lookups
//! in an ordered map double the time of a placement round (`docs/incidents/held-back-for-crashes.md#one-seed-one-history`).

#![allow(
    clippy::disallowed_types,
    reason = "the wrapper doesn't expose the hash map's iteration order to decisions"
)]

use std::{
    borrow::Borrow,
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

/// A hash map with a sorted set of its keys.
#[derive(Debug)]
pub(crate) struct SortedHashMap<K, V> {
    values: HashMap<K, V>,
    order: BTreeSet<K>,
}

impl<K, V> Default for SortedHashMap<K, V> {
    fn default() -> Self {
        Self { values: HashMap::new(), order: BTreeSet::new() }
    }
}

impl<K: Clone + Eq + Hash + Ord, V> SortedHashMap<K, V> {
    pub(crate) fn get<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.values.get(key)
    }

    pub(crate) fn get_mut<Q: Eq + Hash + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        self.values.get_mut(key)
    }

    pub(crate) fn contains_key<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.values.contains_key(key)
    }

    /// Returns the value of a key; inserts a new one if there is none.
    pub(crate) fn get_or_insert_with(&mut self, key: K, new: impl FnOnce() -> V) -> &mut V {
        let order = &mut self.order;
        self.values.entry(key).or_insert_with_key(|key| {
            order.insert(key.clone());
            new()
        })
    }

    /// Sets the value of a key.
    pub(crate) fn insert(&mut self, key: K, value: V) {
        if self.values.insert(key.clone(), value).is_none() {
            self.order.insert(key);
        }
    }

    pub(crate) fn remove<Q: Eq + Hash + Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        self.order.remove(key);
        self.values.remove(key)
    }

    /// Keeps the entries for which `is_kept` returns true. Entries are visited in arbitrary order.
    pub(crate) fn retain(&mut self, mut is_kept: impl FnMut(&K, &V) -> bool) {
        let order = &mut self.order;
        self.values.retain(|key, value| {
            let stays = is_kept(key, value);
            if !stays {
                order.remove(key);
            }
            stays
        });
    }

    /// Returns the keys of the entries that match `predicate`, in order.
    pub(crate) fn keys_where(&self, predicate: impl Fn(&K, &V) -> bool) -> Vec<K> {
        let found = self.values.iter().filter(|(key, value)| predicate(key, value));
        let mut keys: Vec<K> = found.map(|(key, _)| key.clone()).collect();
        keys.sort_unstable();
        keys
    }

    /// Returns all values in arbitrary order, for counts and maxima, which don't depend on it.
    pub(crate) fn unordered_values(&self) -> impl Iterator<Item = &V> {
        self.values.values()
    }

    /// Returns all entries in key order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.order.iter().filter_map(|key| Some((key, self.values.get(key)?)))
    }

    /// Returns all keys in order.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &K> {
        self.order.iter()
    }
}

impl<K: Clone + Eq + Hash + Ord, V> FromIterator<(K, V)> for SortedHashMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(values: I) -> Self {
        let mut table = Self::default();
        values.into_iter().for_each(|(key, value)| table.insert(key, value));
        table
    }
}

impl<K: Clone + Eq + Hash + Ord + Borrow<Q>, Q: Eq + Hash + ?Sized, V> std::ops::Index<&Q>
    for SortedHashMap<K, V>
{
    type Output = V;

    fn index(&self, key: &Q) -> &V {
        self.get(key).expect("the key is in the map")
    }
}
