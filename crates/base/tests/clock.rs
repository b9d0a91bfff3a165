//! Clock that also counts suspended time.

use std::time::{Duration, Instant};

use base::clock::{SuspendAware, now};
use rstest::rstest;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against leases and positions that seem younger than they are after a suspension.
#[test]
fn suspended_time_is_counted() {
    let start = Instant::now();
    let clock = SuspendAware::new(start, seconds(100));

    let before = clock.at(start + seconds(1), seconds(101));
    let after = clock.at(start + seconds(2), seconds(107));

    assert_eq!(after - before, seconds(6));
}

/// Guards against two clocks that drift apart without a suspension, which would end leases early.
#[rstest]
#[case::at_once(0)]
#[case::later(3_600)]
fn equals_steady_clock(#[case] passed: u64) {
    let start = Instant::now();
    let clock = SuspendAware::new(start, seconds(100));

    let time = clock.at(start + seconds(passed), seconds(100 + passed));

    assert_eq!(time, start + seconds(passed));
}

/// Guards against a time before an earlier one, which would make an ended lease valid again.
#[rstest]
#[case::both_stand((2, 105), (2, 105))]
#[case::only_steady_advances((2, 105), (3, 105))]
#[case::only_boot_advances((2, 105), (2, 106))]
#[case::boot_behind_start((2, 99), (3, 98))]
fn never_goes_back(#[case] first: (u64, u64), #[case] second: (u64, u64)) {
    let start = Instant::now();
    let clock = SuspendAware::new(start, seconds(100));
    let at = |(steady, boot)| clock.at(start + seconds(steady), seconds(boot));

    let (earlier, later) = (at(first), at(second));

    assert!(later >= earlier);
}

/// Guards against a clock of the process that runs ahead of or behind the steady clock although the
/// machine was not suspended, and against one that goes back.
#[test]
fn runs_with_steady_clock() {
    let mut last = now();
    for _ in 0..10_000 {
        let before = Instant::now();
        let time = now();
        let after = Instant::now();

        assert!(time >= last);
        assert!(time >= before);
        assert!(
            time <= after + Duration::from_millis(1),
            "{:?}",
            time - after
        );
        last = time;
    }
}
