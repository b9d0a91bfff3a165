//! Hash collections with a fast hasher.

use std::{
    collections::{HashMap, HashSet},
    hash::{BuildHasher as _, Hash},
};

/// Hash map with a fast hasher that is seeded per map.
pub type Map<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with a fast hasher that is seeded per set.
pub type Set<K> = HashSet<K, foldhash::fast::RandomState>;

/// Hashes a value; the result is the same in every process of one build.
///
/// ```
/// assert_eq!(base::map::hash("a"), base::map::hash("a"));
/// assert_ne!(base::map::hash("a"), base::map::hash("b"));
/// ```
pub fn hash<T: Hash + ?Sized>(value: &T) -> u64 {
    foldhash::fast::FixedState::default().hash_one(value)
}
