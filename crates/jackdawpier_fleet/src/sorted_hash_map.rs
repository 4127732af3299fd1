//! A map that is read by hash and listed in the order of its keys.
//!
//! Decisions must follow from what they are given alone. The order of a hash map hangs on a random seed, so
//! that two owners would decide differently on the same facts, and a history of the model would have several
//! outcomes. Reading an ordered map costs a round of placing twice as much
//! (`docs/design/lives.md#one-seed-one-history`).

#![allow(
    clippy::disallowed_types,
    reason = "this is where the order of a hash map is kept from decisions"
)]

use std::{
    borrow::Borrow,
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

/// Rows by key.
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

    /// The row of a key; a new one if there is none.
    pub(crate) fn get_or_insert_with(&mut self, key: K, new: impl FnOnce() -> V) -> &mut V {
        let order = &mut self.order;
        self.values.entry(key).or_insert_with_key(|key| {
            order.insert(key.clone());
            new()
        })
    }

    /// Sets the row of a key.
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

    /// Keeps the rows that `is_kept` says, asked in any order.
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

    /// The keys of the rows that are `wanted`, in order.
    pub(crate) fn keys_where(&self, wanted: impl Fn(&K, &V) -> bool) -> Vec<K> {
        let found = self.values.iter().filter(|(key, value)| wanted(key, value));
        let mut keys: Vec<K> = found.map(|(key, _)| key.clone()).collect();
        keys.sort_unstable();
        keys
    }

    /// All rows in any order, for counts and maxima, which don't hang on it.
    pub(crate) fn unordered_values(&self) -> impl Iterator<Item = &V> {
        self.values.values()
    }

    /// All rows, in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.order.iter().filter_map(|key| Some((key, self.values.get(key)?)))
    }

    /// All keys in order.
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
        self.get(key).expect("the caller has just read it")
    }
}
