//! Hash collections with a fast hasher.

use std::collections::{HashMap, HashSet};

/// Hash map with a fast hasher that is seeded per map.
pub type Map<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with a fast hasher that is seeded per set.
pub type Set<K> = HashSet<K, foldhash::fast::RandomState>;
