//! Which entry processes of an availability zone serve a group, in deployments that have more of
//! them than connections to a database, or so many that watching every database from each would
//! cost more than the work itself.

use std::collections::BTreeMap;

use base::{EntryName, GroupName, Map};

use crate::observers::rank;

/// Up to so many entry processes all serve every group: each one watches all databases, and the
/// observers of a primary have to be several in each zone.
pub const MAX_SERVING_ENTRIES: u32 = 12;
/// Fewest connections to a database for each process that serves it: one that is held by a
/// transaction must not keep the others waiting.
const CONNECTIONS: u32 = 4;

/// Entry processes of each zone that serve a database with so many connections; `None` when all do.
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
    let serving = MAX_SERVING_ENTRIES.min(connections / CONNECTIONS);
    let share = serving.checked_div(zones)?.max(1);
    usize::try_from(share).ok()
}

/// Ranks the entry processes of a zone for every group. `groups` tells how many of them serve each:
/// the first ones of its list do, and the others take their place, in this order, when they are
/// lost.
///
/// Groups are spread evenly: each asks processes in the order of their rank, and a process that is
/// asked by more groups than its share keeps those that it ranks highest. So a change of the set of
/// entry processes moves few groups.
///
/// ```
/// use route::affinity::assign;
///
/// let hosts = ["e1", "e2", "e3"].map(String::from);
/// let groups = [("orders".to_owned(), 1), ("stock".to_owned(), 1)].into();
/// let ranked = assign(&groups, &hosts);
/// assert_eq!(ranked["orders"].len(), 3);
/// assert_ne!(ranked["orders"][0], ranked["stock"][0]);
/// ```
#[must_use]
pub fn assign(
    groups: &BTreeMap<GroupName, usize>,
    hosts: &[EntryName],
) -> Map<GroupName, Vec<EntryName>> {
    let ranked = |group: &GroupName| {
        let mut ranked: Vec<_> = hosts.iter().map(|host| (rank(group, host), host)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked
    };
    let ranked: Map<&GroupName, Vec<_>> = groups.keys().map(|g| (g, ranked(g))).collect();
    let wanted: usize = groups.values().sum();
    let share = wanted.div_ceil(hosts.len().max(1));
    let mut served: Map<&EntryName, Vec<(u64, &GroupName)>> = Map::default();
    let mut asked: Map<&GroupName, usize> = Map::default();
    let mut asking: Vec<&GroupName> = groups
        .iter()
        .flat_map(|(group, &count)| std::iter::repeat_n(group, count))
        .collect();
    while let Some(group) = asking.pop() {
        let next = asked.entry(group).or_default();
        let Some(&(rank, host)) = ranked[group].get(*next) else {
            // It asks for more processes than there are.
            continue;
        };
        *next += 1;
        let held = served.entry(host).or_default();
        held.push((rank, group));
        held.sort_unstable_by(|a, b| b.cmp(a));
        if held.len() > share {
            asking.extend(held.pop().map(|(_, group)| group));
        }
    }
    let order = |group: &&GroupName| {
        let holds = |host: &EntryName| {
            let held = served.get(host);
            held.is_some_and(|held| held.iter().any(|(_, held)| held == group))
        };
        let all = ranked[*group].iter().map(|(_, host)| *host);
        let (serving, others): (Vec<_>, Vec<_>) = all.partition(|host| holds(host));
        serving.into_iter().chain(others).cloned().collect()
    };
    groups.keys().map(|g| (g.clone(), order(&g))).collect()
}
