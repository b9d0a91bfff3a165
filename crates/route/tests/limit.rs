//! Concurrency limits that adapt to rejections.

use std::time::{Duration, Instant};

use route::limit::AdaptiveLimit;
use rstest::rstest;

/// Simulates rounds in which every process uses its limit; a database accepts `capacity` in total.
fn simulate(limits: &mut [AdaptiveLimit], capacity: u32, rounds: u32) {
    let mut now = Instant::now();
    for _ in 0..rounds {
        now += Duration::from_millis(150);
        let total: u32 = limits.iter().map(AdaptiveLimit::get).sum();
        for limit in limits.iter_mut() {
            if total > capacity {
                limit.record_rejected(now);
            } else {
                let used = limit.get();
                (0..used).for_each(|_| limit.record_accepted(used));
            }
        }
    }
}

/// Guards against processes that starve others: with equal demand, limits converge to nearly equal
/// shares from any start and use most of the capacity.
#[rstest]
#[case::one_starts_with_all(&[60, 1, 1])]
#[case::equal(&[4, 4, 4])]
fn limits_converge_to_equal_shares(#[case] initial: &[u32]) {
    let mut limits: Vec<_> = initial
        .iter()
        .map(|initial| AdaptiveLimit::new(*initial, 1, 64))
        .collect();

    simulate(&mut limits, 36, 200);

    let (min, max) = (
        limits.iter().map(AdaptiveLimit::get).min().unwrap(),
        limits.iter().map(AdaptiveLimit::get).max().unwrap(),
    );
    assert!(max - min <= 2, "{limits:?}");
    assert!(
        limits.iter().map(AdaptiveLimit::get).sum::<u32>() >= 18,
        "{limits:?}"
    );
}

/// Guards against a limit that falls to its minimum after one overload, when several rejections
/// arrive together.
#[test]
fn simultaneous_rejections_lower_once() {
    let now = Instant::now();
    let mut limit = AdaptiveLimit::new(10, 1, 64);

    (0..8).for_each(|_| limit.record_rejected(now));

    assert_eq!(limit.get(), 7);
}

/// Guards against a limit that grows while it is not reached and later allows a burst.
#[test]
fn unused_limit_stays() {
    let mut limit = AdaptiveLimit::new(4, 1, 64);

    (0..100).for_each(|_| limit.record_accepted(1));

    assert_eq!(limit.get(), 4);
}

/// Guards against a process without connections when there are more processes than connections.
#[test]
fn limit_stays_within_its_bounds() {
    let mut now = Instant::now();
    let mut limit = AdaptiveLimit::new(4, 1, 6);
    for _ in 0..50 {
        now += Duration::from_secs(1);
        limit.record_rejected(now);
    }
    assert_eq!(limit.get(), 1);

    (0..500).for_each(|_| limit.record_accepted(64));

    assert_eq!(limit.get(), 6);
}
