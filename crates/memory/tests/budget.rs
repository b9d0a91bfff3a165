//! Decisions of the budget, without a network.

use std::time::{Duration, Instant};

use memory::{Budget, FLOOR_BYTES, Limits};
use rstest::rstest;

const MIB: usize = 1 << 20;

fn budget() -> Budget {
    Budget::new(Limits::new(64 * MIB, Some(256)))
}

/// Guards against a crowd that holds more than its part of the memory.
#[test]
fn crowd_gets_its_part_only() {
    let (mut budget, now) = (budget(), Instant::now());

    let admitted = (0..100).filter(|id| budget.reserve(*id, 4 * MIB, now));

    assert_eq!(admitted.count(), 3);
    assert_eq!(budget.used(), 12 * MIB);
}

/// Guards against a small message that waits behind large ones.
#[test]
fn small_reservation_passes_large_ones() {
    let (mut budget, now) = (budget(), Instant::now());
    for id in 0..100 {
        budget.reserve(id, 4 * MIB, now);
    }

    let large = budget.reserve(102, 4 * MIB, now);
    let small = budget.reserve(103, MIB, now);

    assert_eq!((large, small), (false, true));
}

/// Guards against a slow client that holds memory forever, and against closing one that is fast
/// enough or waits for a database.
#[rstest]
#[case::stopped(0, true, Some(1))]
#[case::slow(1 << 10, true, Some(1))]
#[case::fast(64 << 10, true, None)]
#[case::at_a_database(0, false, None)]
fn stalled_client_is_closed(
    #[case] bytes: usize,
    #[case] on_client: bool,
    #[case] closed: Option<u64>,
) {
    let (mut budget, start) = (budget(), Instant::now());
    budget.reserve(1, MIB, start);
    budget.set_on_client(1, on_client, start);

    let early = budget.stalled(start + Duration::from_secs(1));
    for second in 1..=10 {
        budget.record_moved(1, bytes, start + Duration::from_secs(second));
    }
    let late = budget.stalled(start + Duration::from_secs(11));

    assert_eq!((early, late), (None, closed));
}

/// Guards against closing a connection that stopped later than another.
#[test]
fn longest_stall_goes_first() {
    let (mut budget, start) = (budget(), Instant::now());
    budget.reserve(7, MIB, start);
    budget.reserve(3, MIB, start + Duration::from_secs(1));

    let closed = budget.stalled(start + Duration::from_secs(5));

    assert_eq!(closed, Some(7));
}

/// Guards against kept values that take the memory of messages, and against bytes that are not
/// returned.
#[test]
fn kept_values_have_a_part_of_their_own() {
    let (mut budget, now) = (budget(), Instant::now());

    let kept = [budget.keep(6 * MIB), budget.keep(3 * MIB)];
    budget.forget(6 * MIB);

    assert_eq!(kept, [true, false]);
    assert!(budget.reserve(1, 12 * MIB, now));
    assert!(budget.release(1) && !budget.release(1));
    assert_eq!(budget.used(), 0);
}

/// Guards against more callers than there is memory for their floors, where descriptors abound.
#[test]
fn callers_fit_into_the_memory() {
    let limits = Limits::new(64 * MIB, None);

    assert_eq!(limits.callers, 2_048);
}

/// Guards against defaults that a host of 160 MB with 4,000 idle sessions meets.
#[test]
fn sessions_of_a_small_host_fit() {
    let limits = Limits::new(160 * MIB, Some(4_300));

    let floors = 4_000 * FLOOR_BYTES;

    assert!(limits.callers >= 4_000);
    assert!(limits.large_bytes + limits.kept_bytes + floors < 130 * MIB);
}
