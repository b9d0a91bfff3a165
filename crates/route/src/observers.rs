//! Choice of the entry processes that observe a group.

use base::{EntryName, Set, ZoneName};
use sha2::{Digest, Sha256};

/// Chooses up to `count` observers of `group` by rendezvous hashing.
///
/// The highest ranked entry process of each zone comes first, so that the observers cover as many
/// zones as possible; the rest follow by rank. A change of the set of entry processes moves only
/// the groups that it must move.
///
/// ```
/// let entries = [("e1", "north"), ("e2", "north"), ("e3", "south")]
///     .map(|(name, zone)| (name.to_owned(), zone.to_owned()));
/// let chosen = route::observers::choose("orders", &entries, 2);
/// assert!(chosen.contains(&"e3".to_owned()));
/// ```
#[must_use]
pub fn choose(group: &str, entries: &[(EntryName, ZoneName)], count: usize) -> Vec<EntryName> {
    let mut ranked: Vec<_> = entries
        .iter()
        .map(|(name, zone)| (rank(group, name), name, zone))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let mut zones = Set::default();
    let (first, rest): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|(_, _, zone)| zones.insert(*zone));
    first
        .into_iter()
        .chain(rest)
        .take(count)
        .map(|(_, name, _)| name.clone())
        .collect()
}

/// Rank of an entry process for a group. Every process computes the same value.
#[must_use]
pub fn rank(group: &str, entry: &str) -> u64 {
    let hash = Sha256::new()
        .chain_update(group)
        .chain_update([0])
        .chain_update(entry)
        .finalize();
    hash.iter()
        .take(8)
        .fold(0, |rank, &byte| rank << 8 | u64::from(byte))
}
