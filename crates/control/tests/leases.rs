//! Write lease grants.

use std::time::{Duration, Instant};

use control::leases::{LEASE_DURATION, Leases, LogState};
use proptest::prelude::*;
use rstest::rstest;

fn leases_after_startup() -> (Leases, Instant) {
    let start = Instant::now();
    (Leases::new(start), start + LEASE_DURATION)
}

fn log_state(fenced: u64) -> LogState {
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

/// Guards against a lease, and so an acknowledged write, in a term that is being ended.
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
    let (mut leases, now) = leases_after_startup();
    let log = LogState {
        fenced: 10,
        applied,
        stored,
        learner,
        current: false,
    };

    assert_eq!(leases.renew(now, holder("e"), version, log), granted);
}

/// Guards against a promotion while a silent holder still has a valid lease.
#[test]
fn silent_holder_counts_until_its_grant_ends() {
    let (mut leases, now) = leases_after_startup();
    assert!(leases.renew(now, holder("e"), 5, log_state(0)));

    let before = leases.fence(now + Duration::from_millis(1_999), 10);
    let after = leases.fence(now + LEASE_DURATION, 10);

    assert_eq!((before, after), (Some(false), Some(true)));
}

/// Guards against waiting for a holder that has already applied the fencing change.
#[rstest]
#[case::renewed(true)]
#[case::released(false)]
fn holder_that_applied_fencing_is_not_waited_for(#[case] granted: bool) {
    let (mut leases, now) = leases_after_startup();
    leases.renew(now, holder("e"), 5, log_state(0));

    leases.release(&holder("e"), 10);
    if granted {
        assert!(leases.renew(now, holder("e"), 10, log_state(10)));
    }

    assert_eq!(leases.fence(now, 10), Some(true));
}

/// Guards against a restarted entry process that ends the lease its former run still holds.
#[test]
fn other_run_of_same_entry_keeps_its_grant() {
    let (mut leases, now) = leases_after_startup();
    leases.renew(now, ("e".to_owned(), 1), 5, log_state(0));

    leases.renew(now, ("e".to_owned(), 2), 10, log_state(10));

    assert_eq!(leases.fence(now, 10), Some(false));
}

/// Guards against an old lease granted by a host that reported that there are none left, but has
/// not received the fencing change yet.
#[test]
fn old_version_is_refused_after_fencing() {
    let (mut leases, now) = leases_after_startup();
    assert_eq!(leases.fence(now, 10), Some(true));

    assert!(!leases.renew(now, holder("e"), 9, log_state(0)));
    assert!(leases.renew(now, holder("e"), 10, log_state(0)));
}

/// Guards against a restarted host that lost its grants and reports that there are none, or that
/// grants a lease which it reported as ended before its restart.
#[test]
fn restarted_host_waits_for_one_lease() {
    let start = Instant::now();
    let mut leases = Leases::new(start);
    let early = start + Duration::from_millis(1_999);

    assert_eq!(leases.fence(early, 10), None);
    assert!(!leases.renew(early, holder("e"), 10, log_state(10)));
    assert_eq!(leases.fence(start + LEASE_DURATION, 10), Some(true));
    assert!(leases.renew(start + LEASE_DURATION, holder("e"), 10, log_state(10)));
}

/// Guards against an outage for the duration of a lease after every restart of the control hosts,
/// and against a report that older grants have ended by a host that lost them.
#[test]
fn restarted_host_grants_once_it_is_current() {
    let start = Instant::now();
    let mut leases = Leases::new(start);
    let current = LogState {
        current: true,
        ..log_state(10)
    };

    assert!(leases.renew(start, holder("e"), 10, current));
    assert!(!leases.renew(start, holder("f"), 9, current));
    assert_eq!(leases.fence(start + Duration::from_millis(1_999), 10), None);
}

/// Guards against a late request that renews an older version of the same run.
#[test]
fn late_older_request_is_refused() {
    let (mut leases, now) = leases_after_startup();
    leases.renew(now, holder("e"), 7, log_state(0));

    assert!(!leases.renew(now, holder("e"), 6, log_state(0)));
}

/// Guards against memory that grows with the number of processes that ever ran.
#[test]
fn expired_grants_are_dropped() {
    let (mut leases, now) = leases_after_startup();
    for run in 0..100 {
        leases.renew(now, ("e".to_owned(), run), 1, log_state(0));
    }

    assert_eq!(leases.expire(now), 100);
    assert_eq!(leases.expire(now + LEASE_DURATION), 0);
}

/// Model of a control host. Only `stored` survives a restart.
#[expect(clippy::struct_excessive_bools, reason = "the flags change one by one")]
struct HostModel {
    leases: Leases,
    stored: bool,
    applied: bool,
    learner: bool,
    /// Whether it has applied everything that was committed before its start.
    current: bool,
}

impl HostModel {
    /// Version of the fencing change.
    const FENCED: u64 = 10;

    fn log_state(&self) -> LogState {
        LogState {
            fenced: if self.applied { Self::FENCED } else { 0 },
            applied: if self.applied { Self::FENCED } else { 0 },
            stored: if self.stored { Self::FENCED } else { 0 },
            learner: self.learner,
            current: self.current,
        }
    }
}

/// A lease request of the entry process at the old version, and when each host granted it.
struct Request {
    sent: Instant,
    pending: [bool; 3],
    granted: [Option<Instant>; 3],
}

impl Request {
    /// Whether its lease is valid at some moment after `released`. A grant that completes the
    /// majority only after the end of the lease doesn't count: a restarted host grants again once
    /// the leases of all earlier requests have expired.
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

    /// Guards against two primaries whose writes are both acknowledged. Once a majority has
    /// reported the end of older leases, no lease of the old version may be or become valid,
    /// whatever the late messages, the restarts and one lost disk.
    #[test]
    fn no_old_lease_is_valid_after_release(
        steps in proptest::collection::vec((0_u8..13, 0_usize..3, 0_u64..900), 1..80),
    ) {
        let start = Instant::now();
        let mut now = start + LEASE_DURATION;
        let mut hosts = [0, 1, 2].map(|_| HostModel {
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
                        let log = host.log_state();
                        let granted = host.leases.renew(now, holder("e"), 9, log);
                        request.granted[i] = granted.then_some(now);
                    }
                }
                5 => {
                    hosts[i].stored |= !hosts[i].learner;
                    committed |= hosts.iter().filter(|host| host.stored).count() >= 2;
                }
                6 => hosts[i].applied |= committed && hosts[i].stored,
                7 | 8 if committed => {
                    let is_released = |host: &mut HostModel| {
                        host.leases.fence(now, HostModel::FENCED) == Some(true) && !host.learner
                    };
                    let answers = [is_released(&mut hosts[i]), is_released(&mut hosts[(i + 1) % 3])];
                    if answers == [true; 2] {
                        released.get_or_insert(now);
                    }
                }
                9 => {
                    hosts[i].leases = Leases::new(now);
                    hosts[i].applied = false;
                    hosts[i].current = false;
                }
                // A message of the leader: the host applies everything committed so far.
                12 => {
                    hosts[i].current |= !hosts[i].learner;
                    hosts[i].stored |= committed && !hosts[i].learner;
                    hosts[i].applied |= committed && !hosts[i].learner;
                }
                10 if disks > 0 => {
                    disks -= 1;
                    hosts[i] = HostModel {
                        leases: Leases::new(now),
                        stored: false,
                        applied: false,
                        learner: true,
                        current: false,
                    };
                }
                10 if hosts[i].learner && committed => {
                    hosts[i] = HostModel { stored: true, applied: true, learner: false, current: true, ..replace_host(&mut hosts[i], now) };
                }
                // The largest values let a lease expire in one step.
                _ => now += Duration::from_millis(3 * value),
            }
            if let Some(released) = released {
                let valid = requests.iter().any(|request| request.is_valid_after(released));
                prop_assert!(!valid, "valid after the release");
            }
        }
    }
}

/// Returns the host and leaves an empty one in its place.
fn replace_host(host: &mut HostModel, now: Instant) -> HostModel {
    let empty = HostModel {
        leases: Leases::new(now),
        stored: false,
        applied: false,
        learner: true,
        current: false,
    };
    std::mem::replace(host, empty)
}

/// Guards against a write that is acknowledged after its term ended: a holder that applied an earlier
/// change of another group still holds its lease, and has not applied the end of the term.
#[rstest]
#[case::earlier_change(7, Some(false))]
#[case::end_of_term(10, Some(true))]
fn grant_ends_only_for_the_changes_that_its_holder_applied(
    #[case] applied: u64,
    #[case] clear: Option<bool>,
) {
    let now = Instant::now();
    let mut leases = Leases::new(now.checked_sub(Duration::from_mins(1)).unwrap());
    let holder = ("e".to_owned(), 1);
    let current = LogState {
        current: true,
        ..LogState::default()
    };
    let fenced = LogState {
        fenced: 10,
        ..current
    };
    assert!(leases.renew(now, holder.clone(), 5, current));

    leases.release(&holder, applied);
    let renewed = leases.renew(now, holder, applied, fenced);

    assert_eq!(leases.fence(now, 10), clear);
    assert_eq!(renewed, clear == Some(true));
}
