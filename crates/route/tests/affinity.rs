//! Assignment of groups to the entry processes that serve them.

use std::collections::BTreeMap;

use route::affinity::{assign, entries_per_zone, home_order};
use rstest::rstest;

fn entries(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("e{i}")).collect()
}

fn groups(count: usize, serving: usize) -> BTreeMap<String, usize> {
    (0..count).map(|i| (format!("g{i}"), serving)).collect()
}

/// Guards against more connections than a database accepts, and against a zone without an entry
/// process that serves a group.
#[rstest]
#[case::small(16, 9, 3, None)]
#[case::as_many_as_all_serve(30, 12, 3, None)]
#[case::few_connections(26, 58, 6, Some(1))]
#[case::many_connections(234, 90, 6, Some(2))]
#[case::one_connection(1, 58, 6, Some(1))]
#[case::no_zone_known(26, 58, 0, None)]
fn processes_per_zone(
    #[case] connections: u32,
    #[case] entries: u32,
    #[case] zones: u32,
    #[case] expected: Option<usize>,
) {
    assert_eq!(entries_per_zone(connections, entries, zones), expected);
}

/// Guards against an entry process that serves more groups than its share.
#[rstest]
#[case::fewer_groups_than_entries(10, 8, 1, 1)]
#[case::nearly_equal_counts(15, 8, 2, 2)]
#[case::more_groups_than_entries(3, 8, 1, 3)]
fn groups_are_spread_evenly(
    #[case] count: usize,
    #[case] number: usize,
    #[case] serving: usize,
    #[case] max: usize,
) {
    let ranked = assign(&groups(number, serving), &entries(count));

    let mut served: BTreeMap<&str, usize> = BTreeMap::new();
    for order in ranked.values() {
        for entry in &order[..serving] {
            *served.entry(entry).or_default() += 1;
        }
    }
    assert!(served.values().all(|n| *n <= max), "{served:?}");
}

/// Guards against sessions that move although the lost entry process does not serve them.
#[test]
fn loss_of_a_process_moves_few_groups() {
    let groups = groups(8, 1);
    let all = entries(10);
    let before = assign(&groups, &all);

    let mut moved = 0;
    for lost in &all {
        let rest: Vec<_> = all.iter().filter(|entry| *entry != lost).cloned().collect();
        let after = assign(&groups, &rest);
        let changed = groups
            .keys()
            .filter(|group| before[*group][0] != after[*group][0]);
        moved += changed.count();
    }

    // Each group has to move once, when the entry process that serves it is lost.
    assert!(moved <= 2 * groups.len(), "{moved} moves");
}

/// Guards against a group without a replacement for a lost entry process.
#[test]
fn every_process_is_ranked() {
    let ranked = assign(&groups(2, 1), &entries(4));

    for order in ranked.values() {
        let mut sorted = order.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, entries(4));
    }
}

/// Guards against a panic while no entry process is known.
#[test]
fn assigns_nothing_without_entry_processes() {
    let ranked = assign(&groups(2, 1), &[]);

    assert!(ranked.values().all(Vec::is_empty));
}

/// Guards against a process that is the home of most organisations, and thus short of connections.
#[test]
fn organisations_are_spread_evenly() {
    let serving = entries(3);
    let mut homes: BTreeMap<&str, usize> = BTreeMap::new();

    for group in 0..8 {
        for owner in 0..78 {
            let order = home_order(&serving, &format!("g{group}"), &format!("org-{owner}"));
            *homes.entry(order[0]).or_default() += 1;
        }
    }

    // An equal share is 208.
    assert_eq!(homes.len(), 3);
    assert!(
        homes.values().all(|count| (160..=256).contains(count)),
        "{homes:?}"
    );
}

/// Guards against organisations that move, and open their connections anew, although their home is
/// not lost.
#[test]
fn loss_of_a_process_moves_only_its_organisations() {
    let all = entries(3);

    for owner in (0..78).map(|number| format!("org-{number}")) {
        let before = home_order(&all, "g1", &owner);
        for lost in &all {
            let rest: Vec<_> = all.iter().filter(|name| *name != lost).cloned().collect();
            let after = home_order(&rest, "g1", &owner);
            let expected = before.iter().find(|name| **name != lost);
            assert_eq!(after.first(), expected);
        }
    }
}
