//! Write lease grants.

use std::time::{Duration, Instant};

use control::leases::{LEASE_DURATION, Leases, LogState};
use proptest::prelude::*;
use rstest::rstest;

fn ready() -> (Leases, Instant) {
    let start = Instant::now();
    (Leases::new(start), start + LEASE_DURATION)
}

fn known(fenced: u64) -> LogState {
    LogState {
        fenced,
        applied: 50,
        stored: 50,
        learner: false,
        current: false,
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
    let known = LogState {
        fenced: 10,
        applied,
        stored,
        learner,
        current: false,
    };

    assert_eq!(leases.renew(now, holder("e"), version, known), granted);
}

/// Guards against a promotion while a holder that does not answer still has its lease.
#[test]
fn silent_holder_counts_until_its_grant_ends() {
    let (mut leases, now) = ready();
    assert!(leases.renew(now, holder("e"), 5, known(0)));

    let before = leases.fence(now + Duration::from_millis(1_999), 10);
    let after = leases.fence(now + LEASE_DURATION, 10);

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

    assert_eq!(leases.fence(now, 10), Some(true));
}

/// Guards against a restarted process whose former run still holds a lease.
#[test]
fn other_run_of_same_entry_keeps_its_grant() {
    let (mut leases, now) = ready();
    leases.renew(now, ("e".to_owned(), 1), 5, known(0));

    leases.renew(now, ("e".to_owned(), 2), 10, known(10));

    assert_eq!(leases.fence(now, 10), Some(false));
}

/// Guards against an old lease that is granted by a host which has not received the fencing yet,
/// after it reported that none is left.
#[test]
fn nothing_old_is_granted_after_report() {
    let (mut leases, now) = ready();
    assert_eq!(leases.fence(now, 10), Some(true));

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

    assert_eq!(leases.fence(early, 10), None);
    assert!(!leases.renew(early, holder("e"), 10, known(10)));
    assert_eq!(leases.fence(start + LEASE_DURATION, 10), Some(true));
    assert!(leases.renew(start + LEASE_DURATION, holder("e"), 10, known(10)));
}

/// Guards against an outage of a lease after every restart of the control hosts, and against a
/// report that older grants have ended by a host that forgot them.
#[test]
fn restarted_host_grants_once_it_is_current() {
    let start = Instant::now();
    let mut leases = Leases::new(start);
    let current = LogState {
        current: true,
        ..known(10)
    };

    assert!(leases.renew(start, holder("e"), 10, current));
    assert!(!leases.renew(start, holder("f"), 9, current));
    assert_eq!(leases.fence(start + Duration::from_millis(1_999), 10), None);
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
    assert_eq!(leases.expire(now + LEASE_DURATION), 0);
}

/// A control host of the model: durable is only what `stored` says.
#[expect(clippy::struct_excessive_bools, reason = "the flags change one by one")]
struct Grantor {
    leases: Leases,
    stored: bool,
    applied: bool,
    learner: bool,
    /// Whether it has applied what was committed before its start.
    current: bool,
}

impl Grantor {
    /// Version of the fencing change.
    const FENCED: u64 = 10;

    fn known(&self) -> LogState {
        LogState {
            fenced: if self.applied { Self::FENCED } else { 0 },
            applied: if self.applied { Self::FENCED } else { 0 },
            stored: if self.stored { Self::FENCED } else { 0 },
            learner: self.learner,
            current: self.current,
        }
    }
}

/// A request of the entry process at the old version, and when each host granted it.
struct Request {
    sent: Instant,
    pending: [bool; 3],
    granted: [Option<Instant>; 3],
}

impl Request {
    /// Whether its lease is valid at some moment after `released`. A grant that completes the
    /// majority after the end of the lease gives nothing: a host that restarted grants again when
    /// every request from before has ended.
    fn is_valid_after(&self, released: Instant) -> bool {
        let mut granted: Vec<Instant> = self.granted.iter().flatten().copied().collect();
        granted.sort_unstable();
        let ends = self.sent + Duration::from_millis(1_980);
        granted
            .get(1)
            .is_some_and(|&majority| majority.max(released) < ends)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    /// Guards against two primaries whose writes are both acknowledged: once a majority reports
    /// the end of older leases, no lease of the old version may be valid, or become valid, with
    /// late messages, restarts and one lost disk at any moment.
    #[test]
    fn no_old_lease_is_valid_after_release(
        steps in proptest::collection::vec((0_u8..13, 0_usize..3, 0_u64..900), 1..80),
    ) {
        let start = Instant::now();
        let mut now = start + LEASE_DURATION;
        let mut hosts = [0, 1, 2].map(|_| Grantor {
            leases: Leases::new(start),
            stored: false,
            applied: false,
            learner: false,
            current: false,
        });
        let mut requests: Vec<Request> = Vec::new();
        let (mut committed, mut disks, mut released) = (false, 1, None);
        for (kind, i, value) in steps {
            match kind {
                0 | 1 => requests.push(Request { sent: now, pending: [true; 3], granted: [None; 3] }),
                // Requests may arrive late and in any order.
                2..=4 => {
                    let host = &mut hosts[i];
                    let mut pending = requests.iter_mut().filter(|request| request.pending[i]);
                    let next = if value % 2 == 0 { pending.next_back() } else { pending.next() };
                    if let Some(request) = next {
                        request.pending[i] = false;
                        let known = host.known();
                        let granted = host.leases.renew(now, holder("e"), 9, known);
                        request.granted[i] = granted.then_some(now);
                    }
                }
                5 => {
                    hosts[i].stored |= !hosts[i].learner;
                    committed |= hosts.iter().filter(|host| host.stored).count() >= 2;
                }
                6 => hosts[i].applied |= committed && hosts[i].stored,
                7 | 8 if committed => {
                    let clear = |host: &mut Grantor| {
                        host.leases.fence(now, Grantor::FENCED) == Some(true) && !host.learner
                    };
                    let answers = [clear(&mut hosts[i]), clear(&mut hosts[(i + 1) % 3])];
                    if answers == [true; 2] {
                        released.get_or_insert(now);
                    }
                }
                9 => {
                    hosts[i].leases = Leases::new(now);
                    hosts[i].applied = false;
                    hosts[i].current = false;
                }
                // A message of the leader: the host has applied what was committed until then.
                12 => {
                    hosts[i].current |= !hosts[i].learner;
                    hosts[i].stored |= committed && !hosts[i].learner;
                    hosts[i].applied |= committed && !hosts[i].learner;
                }
                10 if disks > 0 => {
                    disks -= 1;
                    hosts[i] = Grantor {
                        leases: Leases::new(now),
                        stored: false,
                        applied: false,
                        learner: true,
                        current: false,
                    };
                }
                10 if hosts[i].learner && committed => {
                    hosts[i] = Grantor { stored: true, applied: true, learner: false, current: true, ..take(&mut hosts[i], now) };
                }
                // Long enough, now and then, for a lease to end in one step.
                _ => now += Duration::from_millis(3 * value),
            }
            if let Some(released) = released {
                let valid = requests.iter().any(|request| request.is_valid_after(released));
                prop_assert!(!valid, "valid after the release");
            }
        }
    }
}

/// Moves a host out, leaving an empty one.
fn take(host: &mut Grantor, now: Instant) -> Grantor {
    let empty = Grantor {
        leases: Leases::new(now),
        stored: false,
        applied: false,
        learner: true,
        current: false,
    };
    std::mem::replace(host, empty)
}
