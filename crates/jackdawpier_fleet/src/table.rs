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
pub(crate) struct Table<K, V> {
    rows: HashMap<K, V>,
    order: BTreeSet<K>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self { rows: HashMap::new(), order: BTreeSet::new() }
    }
}

impl<K: Clone + Eq + Hash + Ord, V> Table<K, V> {
    pub(crate) fn get<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.rows.get(key)
    }

    pub(crate) fn get_mut<Q: Eq + Hash + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        self.rows.get_mut(key)
    }

    pub(crate) fn contains_key<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.rows.contains_key(key)
    }

    /// The row of a key; a new one if there is none.
    pub(crate) fn get_or_insert_with(&mut self, key: K, new: impl FnOnce() -> V) -> &mut V {
        let order = &mut self.order;
        self.rows.entry(key).or_insert_with_key(|key| {
            order.insert(key.clone());
            new()
        })
    }

    /// Sets the row of a key.
    pub(crate) fn insert(&mut self, key: K, row: V) {
        if self.rows.insert(key.clone(), row).is_none() {
            self.order.insert(key);
        }
    }

    pub(crate) fn remove<Q: Eq + Hash + Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        self.order.remove(key);
        self.rows.remove(key)
    }

    /// Keeps the rows that `is_kept` says, asked in any order.
    pub(crate) fn retain(&mut self, mut is_kept: impl FnMut(&K, &V) -> bool) {
        let order = &mut self.order;
        self.rows.retain(|key, row| {
            let stays = is_kept(key, row);
            if !stays {
                order.remove(key);
            }
            stays
        });
    }

    /// The keys of the rows that are `wanted`, in order.
    pub(crate) fn keys_of(&self, wanted: impl Fn(&K, &V) -> bool) -> Vec<K> {
        let found = self.rows.iter().filter(|(key, row)| wanted(key, row));
        let mut keys: Vec<K> = found.map(|(key, _)| key.clone()).collect();
        keys.sort_unstable();
        keys
    }

    /// All rows in any order, for counts and maxima, which don't hang on it.
    pub(crate) fn unordered(&self) -> impl Iterator<Item = &V> {
        self.rows.values()
    }

    /// All rows, in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.order.iter().filter_map(|key| Some((key, self.rows.get(key)?)))
    }

    /// All keys in order.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &K> {
        self.order.iter()
    }
}

impl<K: Clone + Eq + Hash + Ord, V> FromIterator<(K, V)> for Table<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(rows: I) -> Self {
        let mut table = Self::default();
        rows.into_iter().for_each(|(key, row)| table.insert(key, row));
        table
    }
}

impl<K: Clone + Eq + Hash + Ord + Borrow<Q>, Q: Eq + Hash + ?Sized, V> std::ops::Index<&Q>
    for Table<K, V>
{
    type Output = V;

    fn index(&self, key: &Q) -> &V {
        self.get(key).expect("the caller has just read it")
    }
}
