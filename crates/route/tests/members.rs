//! Failure detection, the directory of members and the choice of observers.

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

/// A member is refused after one refused probe and silent after three probe intervals without an
/// answer, until it answers again.
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

/// A member whose announcement arrived at this process is usable for three seconds while a control
/// host is reachable.
#[test]
fn announcement_expires() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.set_host_reachable("k1", true, start);
    let received = after(start, 5_000);
    directory.record_announcement(member("a"), received);
    assert!(directory.is_usable("a", after(received, 2_999)));
    assert!(!directory.is_usable("a", after(received, 3_000)));
    assert!(!directory.is_usable("b", received));
}

/// A control host reports changes only, so its report holds until the next one.
#[test]
fn host_report_holds_until_next() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.set_host_reachable("k1", true, start);
    directory.record_host_report("k1", member("a"), Duration::ZERO, start);
    let later = after(start, 60_000);
    assert!(directory.is_usable("a", later));
    directory.record_host_report("k1", member("a"), Duration::from_secs(3), later);
    assert!(!directory.is_usable("a", later));
}

/// A control host that receives no announcements must not remove a member from which another one
/// receives them.
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

/// Members do not expire while no control host is reachable. The reports of a host that has just
/// become reachable again do not count yet.
#[test]
fn no_reachable_host() {
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

/// A restarted control host has not received announcements yet, which must not make all members
/// unusable at once.
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

/// A leaving member is not usable, and an older announcement that arrives late does not change that.
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

/// The observers of every group are in all zones, and the loss of one entry process moves only the
/// groups that it observed.
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
