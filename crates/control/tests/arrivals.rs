//! Announcements that arrive late or from an earlier run of a database.

use std::time::{Duration, Instant};

use control::directory::{Announcement, Directory, LOST_AFTER};
use rstest::rstest;

fn announcement(born: u64, sequence: u64, leaving: bool) -> Announcement {
    Announcement {
        member: "a".to_owned(),
        group: "g".to_owned(),
        store: format!("a@{born}"),
        address: "127.0.0.1:1".to_owned(),
        zone: "z".to_owned(),
        region: "r".to_owned(),
        slots: 2,
        leaving,
        sequence,
        born,
        ..Announcement::default()
    }
}

/// Guards against a late announcement that undoes the announced stop of a database or restores the
/// state of an earlier run.
#[rstest]
#[case::earlier_call(announcement(5, 2, false), true)]
#[case::earlier_start(announcement(4, 9, false), true)]
#[case::later_call(announcement(5, 4, false), false)]
#[case::later_start(announcement(6, 1, false), false)]
fn late_announcement_changes_nothing(#[case] next: Announcement, #[case] leaving: bool) {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.announce(now, Duration::ZERO, announcement(5, 3, true));

    directory.announce(now + Duration::from_millis(10), Duration::ZERO, next);

    let received = directory.member("a").unwrap();
    assert_eq!(received.announcement.leaving, leaving);
}

/// Guards against a database that counts as lost because its repeated announcements are not
/// changes.
#[test]
fn repeated_announcement_keeps_a_member_present() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.announce(start, Duration::ZERO, announcement(5, 1, false));

    let changed = directory.announce(
        start + LOST_AFTER,
        Duration::ZERO,
        announcement(5, 2, false),
    );

    assert!(!changed);
    let later = start + LOST_AFTER + LOST_AFTER / 2;
    assert_eq!(directory.present_members(later, "g").len(), 1);
}

/// Guards against a member that counts as lost because another host passes its last announcement on
/// late.
#[test]
fn late_copy_of_an_announcement_loses_no_member() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.announce(start, Duration::ZERO, announcement(5, 1, false));

    let now = start + LOST_AFTER / 2;
    directory.announce(now, LOST_AFTER, announcement(5, 1, false));

    assert_eq!(directory.present_members(now, "g").len(), 1);
}
