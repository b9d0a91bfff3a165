//! Detection of failed members, the directory and the choice of observers.

use std::time::{Duration, Instant};

use base::{Map, Set};
use route::{Announcement, Directory, FailureDetector, Health, observers};
use rstest::rstest;

fn member(name: &str) -> Announcement {
    Announcement {
        member: name.into(),
        group: "orders".into(),
        store: "s".into(),
        address: "127.0.0.1:5432".parse().unwrap(),
        zone: "north".into(),
        region: "east".into(),
        connections: 16,
        slots: 2,
        leaving: false,
    }
}

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// A refused probe is reported at once, a missing answer after three probe intervals, and a good
/// answer ends both.
#[test]
fn health() {
    let start = Instant::now();
    let mut detector = FailureDetector::new(start);
    assert_eq!(detector.health(start), Health::Silent);
    detector.record_answer(start);
    assert_eq!(detector.health(after(start, 749)), Health::Ok);
    assert_eq!(detector.health(after(start, 750)), Health::Silent);
    detector.record_refusal();
    assert_eq!(detector.health(after(start, 10)), Health::Refused);
    assert_eq!(
        detector.since_last_answer(after(start, 10)),
        Duration::from_millis(10)
    );
    detector.record_timeout();
    assert_eq!(detector.health(after(start, 800)), Health::Silent);
    detector.record_answer(after(start, 900));
    assert_eq!(detector.health(after(start, 900)), Health::Ok);
}

/// A member heard here is usable for three seconds while a control host can be reached.
#[test]
fn silence() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.set_host_reachable("k1", true, start);
    let heard = after(start, 5_000);
    directory.record_announcement(member("a"), heard);
    assert!(directory.is_usable("a", after(heard, 2_999)));
    assert!(!directory.is_usable("a", after(heard, 3_000)));
    assert!(!directory.is_usable("b", heard));
}

/// A control host tells changes only, so that its word holds until it tells otherwise.
#[test]
fn told_by_host() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.set_host_reachable("k1", true, start);
    directory.record_host_report("k1", member("a"), Duration::ZERO, start);
    let later = after(start, 60_000);
    assert!(directory.is_usable("a", later));
    directory.record_host_report("k1", member("a"), Duration::from_secs(3), later);
    assert!(!directory.is_usable("a", later));
}

/// A control host that hears nothing must not take a member away that another one hears.
#[test]
fn partitioned_host() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.set_host_reachable("k1", true, start);
    directory.set_host_reachable("k2", true, start);
    let later = after(start, 10_000);
    directory.record_host_report("k1", member("a"), Duration::ZERO, start);
    directory.record_host_report("k2", member("a"), Duration::from_secs(5), later);
    assert!(directory.is_usable("a", later));
    directory.set_host_reachable("k1", false, later);
    assert!(!directory.is_usable("a", later));
}

/// Without any control host the directory does not expire, and right after one returns its word
/// does not count yet.
#[test]
fn no_host() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.set_host_reachable("k1", true, start);
    directory.record_host_report("k1", member("a"), Duration::ZERO, start);
    directory.set_host_reachable("k1", false, after(start, 1_000));
    assert!(directory.is_usable("a", after(start, 100_000)));
    let back = after(start, 100_000);
    directory.set_host_reachable("k1", true, back);
    directory.record_host_report("k1", member("a"), Duration::from_secs(90), back);
    assert!(directory.is_usable("a", after(back, 2_999)));
    assert!(!directory.is_usable("a", after(back, 3_000)));
}

/// A restarted control host has heard nothing yet, which must not stop all work at once.
#[test]
fn restarted_host() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.set_host_reachable("k1", true, start);
    directory.record_host_report("k1", member("a"), Duration::ZERO, start);
    let restart = after(start, 10_000);
    directory.record_host_restart("k1", restart);
    assert!(directory.is_usable("a", after(restart, 2_999)));
    assert!(!directory.is_usable("a", after(restart, 3_000)));
}

/// A member that leaves gets no work, and an older announcement that arrives late changes nothing.
#[test]
fn leaving() {
    let start = Instant::now();
    let mut directory = Directory::default();
    let mut leaving = member("a");
    leaving.leaving = true;
    assert!(directory.record_announcement(leaving, start));
    directory.record_host_report("k1", member("a"), Duration::from_secs(1), start);
    assert!(!directory.is_usable("a", start));
    assert!(directory.record_announcement(member("a"), after(start, 1)));
    assert!(directory.is_usable("a", after(start, 1)));
}

/// Guards that the observers of every group stand in all zones, and that the loss of one entry
/// process moves only its own groups.
#[rstest]
#[case(3)]
#[case(5)]
fn observers_spread(#[case] count: usize) {
    let entries: Vec<_> = (0..12)
        .map(|i| (format!("entry-{i}"), format!("zone-{}", i % 3)))
        .collect();
    let zones: Map<_, _> = entries.iter().cloned().collect();
    let mut load: Map<String, usize> = Map::default();
    for group in (0..300).map(|i| format!("group-{i}")) {
        let chosen = observers::choose(&group, &entries, count);
        let covered: Set<_> = chosen.iter().map(|name| &zones[name]).collect();
        assert_eq!((chosen.len(), covered.len()), (count, 3));
        let fewer = observers::choose(&group, &entries[1..], count);
        let moved = chosen.iter().filter(|name| !fewer.contains(name)).count();
        assert!(moved <= usize::from(chosen.contains(&entries[0].0)));
        for name in chosen {
            *load.entry(name).or_default() += 1;
        }
    }
    let mean = 300 * count / 12;
    assert!(
        load.values().all(|&n| n > mean / 2 && n < mean * 2),
        "{load:?}"
    );
}
