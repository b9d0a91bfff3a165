//! Assignment of groups to entry processes within an availability zone.
//!
//! Used by deployments with more entry processes than connections to a database, or with so many
//! entry processes that health checks of every database by each of them would cost more than the
//! requests.
//!
//! Where connections are opened in the names of organisations, each of the processes that serve a
//! group is the home of a part of them. Many organisations share few connections there, and a
//! process that served all of them would rarely have an idle one of the right name.

use std::{cmp::Reverse, collections::BTreeMap};

use base::{EntryName, GroupName, Map};

use crate::observers::rank;

/// Largest number of entry processes that all serve every group. Each of them checks all databases,
/// and each zone needs several observers of a primary.
pub const MAX_SERVING_ENTRIES: u32 = 12;
/// Minimum number of connections to a database for each entry process that serves it, so that a
/// connection held by a transaction does not block the other requests.
const MIN_CONNECTIONS: u32 = 4;

/// Number of entry processes per zone that serve a database with `connections`; `None` when all
/// entry processes do.
///
/// ```
/// use route::affinity::entries_per_zone;
///
/// assert_eq!(entries_per_zone(16, 9, 3), None);
/// assert_eq!(entries_per_zone(26, 58, 6), Some(1));
/// assert_eq!(entries_per_zone(234, 90, 6), Some(2));
/// ```
#[must_use]
pub fn entries_per_zone(connections: u32, entries: u32, zones: u32) -> Option<usize> {
    if entries <= MAX_SERVING_ENTRIES {
        return None;
    }
    let serving = MAX_SERVING_ENTRIES.min(connections / MIN_CONNECTIONS);
    let per_zone = serving.checked_div(zones)?.max(1);
    usize::try_from(per_zone).ok()
}

/// Orders the entry processes of a zone by preference for each group.
///
/// `groups` gives the number of entry processes that serve each group. That many at the head of
/// the list serve it; the others replace lost ones in the order of the list.
///
/// Groups are spread evenly by deferred acceptance: each group proposes to entry processes by
/// descending rank, and an entry process with more proposals than its share keeps those that it
/// ranks highest. A change of the set of entry processes therefore moves few groups.
///
/// ```
/// use route::affinity::assign;
///
/// let entries = ["e1", "e2", "e3"].map(String::from);
/// let groups = [("orders".to_owned(), 1), ("stock".to_owned(), 1)].into();
/// let ranked = assign(&groups, &entries);
/// assert_eq!(ranked["orders"].len(), 3);
/// assert_ne!(ranked["orders"][0], ranked["stock"][0]);
/// ```
#[must_use]
pub fn assign(
    groups: &BTreeMap<GroupName, usize>,
    entries: &[EntryName],
) -> Map<GroupName, Vec<EntryName>> {
    let rank_entries = |group: &GroupName| {
        let mut ranked: Vec<_> = entries
            .iter()
            .map(|name| (rank(group, name), name))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked
    };
    let ranked: Map<&GroupName, Vec<_>> = groups.keys().map(|g| (g, rank_entries(g))).collect();
    let total: usize = groups.values().sum();
    let share = total.div_ceil(entries.len().max(1));
    let mut accepted: Map<&EntryName, Vec<(u64, &GroupName)>> = Map::default();
    let mut proposals: Map<&GroupName, usize> = Map::default();
    let mut unplaced: Vec<&GroupName> = groups
        .iter()
        .flat_map(|(group, &count)| std::iter::repeat_n(group, count))
        .collect();
    while let Some(group) = unplaced.pop() {
        let next = proposals.entry(group).or_default();
        let Some(&(rank, entry)) = ranked[group].get(*next) else {
            // The group needs more entry processes than there are.
            continue;
        };
        *next += 1;
        let accepted_groups = accepted.entry(entry).or_default();
        accepted_groups.push((rank, group));
        accepted_groups.sort_unstable_by(|a, b| b.cmp(a));
        if accepted_groups.len() > share {
            unplaced.extend(accepted_groups.pop().map(|(_, group)| group));
        }
    }
    let order = |group: &&GroupName| {
        let serves = |entry: &EntryName| {
            let accepted_groups = accepted.get(entry);
            accepted_groups.is_some_and(|list| list.iter().any(|(_, accepted)| accepted == group))
        };
        let all = ranked[*group].iter().map(|(_, entry)| *entry);
        let (serving, others): (Vec<_>, Vec<_>) = all.partition(|entry| serves(entry));
        serving.into_iter().chain(others).cloned().collect()
    };
    groups.keys().map(|g| (g.clone(), order(&g))).collect()
}

/// Orders the entry processes that serve a group by preference for the requests of the organisation
/// `owner`. The first is its home; the others replace it in this order. The loss of a process moves
/// only the organisations that it is the home of.
///
/// ```
/// use route::affinity::home_order;
///
/// let serving = ["e1", "e2", "e3"].map(String::from);
/// let order = home_order(&serving, "orders", "acme");
/// let rest: Vec<_> = serving.iter().filter(|name| *name != order[0]).cloned().collect();
/// assert_eq!(home_order(&rest, "orders", "acme"), order[1..]);
/// ```
#[must_use]
pub fn home_order<'a>(serving: &'a [EntryName], group: &str, owner: &str) -> Vec<&'a EntryName> {
    let key = format!("{group}/{owner}");
    let mut order: Vec<_> = serving.iter().collect();
    order.sort_by_cached_key(|name| (Reverse(rank(&key, name)), *name));
    order
}
