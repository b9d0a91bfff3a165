//! Write lease grants.

use std::time::{Duration, Instant};

use control::leases::{Known, LEASE, Leases};
use rstest::rstest;

fn ready() -> (Leases, Instant) {
    let start = Instant::now();
    (Leases::new(start), start + LEASE)
}

fn known(fenced: u64) -> Known {
    Known {
        fenced,
        applied: 50,
        stored: 50,
        learner: false,
    }
}

fn holder(name: &str) -> (String, u64) {
    (name.to_owned(), 1)
}

/// Guards against an acknowledgement in a term that is being ended.
#[rstest]
#[case::older(9, 50, 50, false, false)]
#[case::same(10, 50, 50, false, true)]
#[case::newer(11, 50, 50, false, true)]
#[case::stored_but_not_applied(11, 50, 51, false, false)]
#[case::lost_disk(11, 50, 50, true, false)]
fn fenced_version_is_refused(
    #[case] version: u64,
    #[case] applied: u64,
    #[case] stored: u64,
    #[case] learner: bool,
    #[case] granted: bool,
) {
    let (mut leases, now) = ready();
    let known = Known {
        fenced: 10,
        applied,
        stored,
        learner,
    };

    assert_eq!(leases.renew(now, holder("e"), version, known), granted);
}

/// Guards against a promotion while a holder that does not answer still has its lease.
#[test]
fn silent_holder_counts_until_its_grant_ends() {
    let (mut leases, now) = ready();
    assert!(leases.renew(now, holder("e"), 5, known(0)));

    let before = leases.clear(now + Duration::from_millis(1_999), 10);
    let after = leases.clear(now + LEASE, 10);

    assert_eq!((before, after), (Some(false), Some(true)));
}

/// Guards against waiting for a holder that already knows the fencing.
#[rstest]
#[case::renewed(true)]
#[case::released(false)]
fn holder_that_knows_fencing_is_clear(#[case] granted: bool) {
    let (mut leases, now) = ready();
    leases.renew(now, holder("e"), 5, known(0));

    leases.release(&holder("e"), 10);
    if granted {
        assert!(leases.renew(now, holder("e"), 10, known(10)));
    }

    assert_eq!(leases.clear(now, 10), Some(true));
}

/// Guards against a restarted process whose former run still holds a lease.
#[test]
fn other_run_of_same_entry_keeps_its_grant() {
    let (mut leases, now) = ready();
    leases.renew(now, ("e".to_owned(), 1), 5, known(0));

    leases.renew(now, ("e".to_owned(), 2), 10, known(10));

    assert_eq!(leases.clear(now, 10), Some(false));
}

/// Guards against an old lease that is granted by a host which has not received the fencing yet,
/// after it reported that none is left.
#[test]
fn nothing_old_is_granted_after_report() {
    let (mut leases, now) = ready();
    assert_eq!(leases.clear(now, 10), Some(true));

    assert!(!leases.renew(now, holder("e"), 9, known(0)));
    assert!(leases.renew(now, holder("e"), 10, known(0)));
}

/// Guards against a restarted host that forgot a grant and reports none, or grants what it
/// reported as ended before its restart.
#[test]
fn restarted_host_waits_for_one_lease() {
    let start = Instant::now();
    let mut leases = Leases::new(start);
    let early = start + Duration::from_millis(1_999);

    assert_eq!(leases.clear(early, 10), None);
    assert!(!leases.renew(early, holder("e"), 10, known(10)));
    assert_eq!(leases.clear(start + LEASE, 10), Some(true));
    assert!(leases.renew(start + LEASE, holder("e"), 10, known(10)));
}

/// Guards against a late request that brings back an older version of the same run.
#[test]
fn late_older_request_is_refused() {
    let (mut leases, now) = ready();
    leases.renew(now, holder("e"), 7, known(0));

    assert!(!leases.renew(now, holder("e"), 6, known(0)));
}

/// Guards against growth with the number of processes that ever ran.
#[test]
fn expired_grants_are_dropped() {
    let (mut leases, now) = ready();
    for run in 0..100 {
        leases.renew(now, ("e".to_owned(), run), 1, known(0));
    }

    assert_eq!(leases.expire(now), 100);
    assert_eq!(leases.expire(now + LEASE), 0);
}
