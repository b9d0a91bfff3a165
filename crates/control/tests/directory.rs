//! Directory of databases and entry processes.

use std::time::{Duration, Instant};

use control::directory::{Announcement, Directory, LOST_AFTER};

fn announcement(member: &str, group: &str, store: &str) -> Announcement {
    Announcement {
        member: member.to_owned(),
        group: group.to_owned(),
        store: store.to_owned(),
        zone: "z".to_owned(),
        region: "r".to_owned(),
        ..Announcement::default()
    }
}

fn names(directory: &Directory, version: u64) -> Vec<&str> {
    let newer = directory.changed_since(version).into_iter();
    newer
        .map(|received| received.announcement.member.as_str())
        .collect()
}

/// Guards against traffic for repeated announcements.
#[test]
fn only_changes_make_versions() {
    let now = Instant::now();
    let mut directory = Directory::default();
    let tick = |i| now + Duration::from_secs(i);

    assert!(directory.announce(tick(0), Duration::ZERO, announcement("a", "g", "1")));
    assert!(directory.announce(tick(0), Duration::ZERO, announcement("b", "g", "1")));
    assert!(!directory.announce(tick(1), Duration::ZERO, announcement("a", "g", "1")));
    assert!(directory.announce(tick(2), Duration::ZERO, announcement("a", "g", "2")));

    assert_eq!(directory.version(), 3);
    assert_eq!(names(&directory, 0), ["b", "a"]);
    assert_eq!(names(&directory, 2), ["a"]);
    assert!(names(&directory, 3).is_empty());
}

/// Guards against an old announcement that is relayed late and replaces a newer one.
#[test]
fn older_announcement_is_ignored() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.announce(now, Duration::ZERO, announcement("a", "g", "2"));

    let changed = directory.announce(now, Duration::from_secs(1), announcement("a", "g", "1"));

    assert!(!changed);
    assert_eq!(directory.member("a").unwrap().announcement.store, "2");
}

/// Guards against a member that stays lost after it announces itself again, or present after it
/// went silent.
#[test]
fn loss_and_return_are_changes() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.announce(now, Duration::ZERO, announcement("a", "g", "1"));

    assert!(!directory.expire(now + Duration::from_millis(2_999)));
    assert!(directory.expire(now + LOST_AFTER));
    assert!(!directory.expire(now + LOST_AFTER));
    assert!(directory.present_members(now + LOST_AFTER, "g").is_empty());
    assert!(directory.announce(
        now + LOST_AFTER,
        Duration::ZERO,
        announcement("a", "g", "1")
    ));

    assert_eq!(directory.present_members(now + LOST_AFTER, "g").len(), 1);
    assert_eq!(names(&directory, 0), ["a"]);
}

/// Guards against a member that still counts in its former group.
#[test]
fn member_belongs_to_one_group() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.announce(now, Duration::ZERO, announcement("a", "g", "1"));
    let later = now + Duration::from_secs(1);

    directory.announce(later, Duration::ZERO, announcement("a", "h", "1"));

    assert!(directory.present_members(later, "g").is_empty());
    assert_eq!(directory.present_members(later, "h").len(), 1);
}

/// Guards against new work, or a place in a first record, for a member that is about to stop.
#[test]
fn leaving_member_is_not_present() {
    let now = Instant::now();
    let mut directory = Directory::default();
    let leaving = Announcement {
        leaving: true,
        ..announcement("a", "g", "1")
    };

    directory.announce(now, Duration::ZERO, leaving);

    assert!(directory.present_members(now, "g").is_empty());
}
