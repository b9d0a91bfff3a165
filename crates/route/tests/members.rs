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
        sequence: 0,
        born: 0,
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

fn counted(born: u64, sequence: u64, leaving: bool) -> Announcement {
    Announcement {
        leaving,
        sequence,
        born,
        ..member("a")
    }
}

/// Guards against a stop that is undone by an earlier announcement, or one of an earlier start, which a
/// control host passes on late as if it were new.
#[rstest]
#[case::earlier(counted(5, 2, false), false)]
#[case::earlier_start(counted(4, 9, false), false)]
#[case::uncounted(counted(0, 0, false), false)]
#[case::later(counted(5, 4, false), true)]
#[case::later_start(counted(6, 1, false), true)]
fn late_report_undoes_no_stop(#[case] late: Announcement, #[case] usable: bool) {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.set_host_reachable("k1", true, start);
    directory.record_host_report("k1", counted(5, 3, true), Duration::ZERO, start);

    let later = after(start, 6_000);
    directory.record_host_report("k2", late, Duration::ZERO, later);

    assert_eq!(directory.is_usable("a", later), usable);
}

/// Guards against a stop that is ignored because the host that passes it on says that it is older than
/// the announcement before it.
#[test]
fn stop_counts_whatever_its_age() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.set_host_reachable("k1", true, start);
    directory.record_host_report("k1", counted(5, 2, false), Duration::ZERO, start);

    directory.record_host_report("k2", counted(5, 3, true), Duration::from_secs(2), start);

    assert!(!directory.is_usable("a", start));
}

/// Guards against a change of the members for each repeated announcement.
#[test]
fn next_number_alone_is_no_change() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.record_announcement(counted(5, 2, false), start);

    assert!(!directory.record_announcement(counted(5, 3, false), after(start, 1_000)));
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
