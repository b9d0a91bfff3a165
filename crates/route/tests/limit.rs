//! Limits that are found by trying.

use std::time::{Duration, Instant};

use route::limit::AdaptiveLimit;
use rstest::rstest;

/// Rounds in which every process uses what its limit allows; a database has room for `room` in all.
fn play(limits: &mut [AdaptiveLimit], room: u32, rounds: u32) {
    let mut now = Instant::now();
    for _ in 0..rounds {
        now += Duration::from_millis(150);
        let total: u32 = limits.iter().map(AdaptiveLimit::get).sum();
        for limit in limits.iter_mut() {
            if total > room {
                limit.record_rejected(now);
            } else {
                let used = limit.get();
                (0..used).for_each(|_| limit.record_accepted(used));
            }
        }
    }
}

/// Guards against processes that starve others: with equal demand, limits end near equal shares,
/// whatever they were, and use most of the room.
#[rstest]
#[case::one_had_all(&[60, 1, 1])]
#[case::equal(&[4, 4, 4])]
fn limits_end_at_equal_shares(#[case] first: &[u32]) {
    let mut limits: Vec<_> = first
        .iter()
        .map(|first| AdaptiveLimit::new(*first, 1, 64))
        .collect();

    play(&mut limits, 36, 200);

    let (least, most) = (
        limits.iter().map(AdaptiveLimit::get).min().unwrap(),
        limits.iter().map(AdaptiveLimit::get).max().unwrap(),
    );
    assert!(most - least <= 2, "{limits:?}");
    assert!(
        limits.iter().map(AdaptiveLimit::get).sum::<u32>() >= 18,
        "{limits:?}"
    );
}

/// Guards against a limit that falls to its least through one surplus: several answers to it arrive
/// together.
#[test]
fn one_surplus_lowers_once() {
    let now = Instant::now();
    let mut limit = AdaptiveLimit::new(10, 1, 64);

    (0..8).for_each(|_| limit.record_rejected(now));

    assert_eq!(limit.get(), 7);
}

/// Guards against a limit that grows while nothing uses it, and would then send a burst.
#[test]
fn unused_limit_stays() {
    let mut limit = AdaptiveLimit::new(4, 1, 64);

    (0..100).for_each(|_| limit.record_accepted(1));

    assert_eq!(limit.get(), 4);
}

/// Guards against a process without any connection when there are more processes than connections.
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
