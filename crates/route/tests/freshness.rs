//! Freshness: age of data without synchronised clocks, and the choice of a replica.

use std::time::{Duration, Instant};

use base::Position;
use route::{
    Location, PositionSamples, Proximity,
    freshness::{Choice, Replica, Requirement, choose},
};
use rstest::rstest;

const MAX_WAIT: Duration = Duration::from_millis(500);

fn at(offset: u64) -> Position {
    Position::new(1, offset)
}

fn replica(index: usize, offset: u64, proximity: Proximity) -> Replica {
    Replica {
        index,
        position: at(offset),
        age: Some(Duration::from_millis(100)),
        proximity,
        queued: 0,
    }
}

fn location(zone: &str, region: &str) -> Location {
    Location {
        zone: zone.into(),
        region: region.into(),
    }
}

/// The age must count from the newest sample that the replica covers, never from a later one.
#[test]
fn age_by_samples() {
    let start = Instant::now();
    let second = |n| start + Duration::from_secs(n);
    let mut samples = PositionSamples::default();
    samples.add(second(0), at(10));
    samples.add(second(1), at(20));
    samples.add(second(2), at(30));
    assert_eq!(samples.age(at(9), second(3)), None);
    assert_eq!(samples.age(at(25), second(3)), Some(Duration::from_secs(2)));
    assert_eq!(samples.age(at(30), second(3)), Some(Duration::from_secs(1)));
}

/// A replica of an older term may lack data below its offset, so its age is unknown.
#[test]
fn age_by_term() {
    let start = Instant::now();
    let mut samples = PositionSamples::default();
    samples.add(start, Position::new(2, 10));
    assert_eq!(samples.age(Position::new(1, 15), start), None);
}

/// Samples that arrive faster than they are stored must not make data look more recent than it is,
/// and a bounded number of them must cover the largest age that may be requested.
#[test]
fn bounded_samples() {
    let start = Instant::now();
    let mut samples = PositionSamples::default();
    for n in 0..60_000 {
        samples.add(start + Duration::from_millis(n), at(n));
    }
    let now = start + Duration::from_mins(1);
    for n in (0..60_000).step_by(997) {
        let age = samples.age(at(n), now).unwrap();
        let exact = Duration::from_millis(60_000 - n);
        assert!(age >= exact, "{n}: {age:?} under {exact:?}");
        assert!(age <= exact + Duration::from_millis(250), "{n}: {age:?}");
    }
}

/// The age of an unchanged position counts from the latest sample.
#[test]
fn unchanged_position() {
    let start = Instant::now();
    let mut samples = PositionSamples::default();
    for n in 0..100 {
        samples.add(start + Duration::from_secs(n), at(10));
    }
    let age = samples.age(at(10), start + Duration::from_secs(100));
    assert_eq!(age, Some(Duration::from_secs(1)));
}

/// Zones are compared only within a region.
#[rstest]
#[case("a", "r", Proximity::SameZone)]
#[case("b", "r", Proximity::SameRegion)]
#[case("a", "s", Proximity::OtherRegion)]
fn proximity(#[case] zone: &str, #[case] region: &str, #[case] expected: Proximity) {
    assert_eq!(
        location("a", "r").proximity(&location(zone, region)),
        expected
    );
}

/// Each read goes to the closest fresh replica, waits for a lagging one, and goes to the primary only
/// when no replica serves it.
#[rstest]
#[case::nearest(vec![replica(0, 9, Proximity::SameRegion), replica(1, 9, Proximity::SameZone)], 0, Choice::Replica(1))]
#[case::lagging_zone(vec![replica(0, 9, Proximity::SameRegion), replica(1, 4, Proximity::SameZone)], 0, Choice::Replica(0))]
#[case::lagging_replica(vec![replica(0, 4, Proximity::SameZone)], 0, Choice::Wait)]
#[case::waits_before_other_region(vec![replica(0, 4, Proximity::SameZone), replica(1, 9, Proximity::OtherRegion)], 0, Choice::Wait)]
#[case::other_region_after_wait(vec![replica(0, 4, Proximity::SameZone), replica(1, 9, Proximity::OtherRegion)], 500, Choice::Replica(1))]
#[case::waited_longest(vec![replica(0, 4, Proximity::SameZone)], 500, Choice::Primary)]
#[case::no_replica(vec![], 0, Choice::Primary)]
fn by_token(#[case] replicas: Vec<Replica>, #[case] waited: u64, #[case] expected: Choice) {
    let waited = Duration::from_millis(waited);
    let choice = choose(&replicas, Requirement::Token(at(5)), 1, waited, MAX_WAIT);
    assert_eq!(choice, expected);
}

/// A replica that lags by more than the allowed wait is skipped at once.
#[test]
fn far_behind() {
    let mut behind = replica(0, 4, Proximity::SameZone);
    behind.age = Some(Duration::from_secs(5));
    let choice = choose(
        &[behind],
        Requirement::Token(at(5)),
        1,
        Duration::ZERO,
        MAX_WAIT,
    );
    assert_eq!(choice, Choice::Primary);
}

/// A replica that follows a primary of an older term serves nothing.
#[test]
fn older_term() {
    let fresh = replica(0, 9, Proximity::SameZone);
    let choice = choose(
        &[fresh],
        Requirement::Token(at(5)),
        2,
        Duration::ZERO,
        MAX_WAIT,
    );
    assert_eq!(choice, Choice::Primary);
}

/// A replica without a queue is preferred to a closer one with a queue.
#[test]
fn queue_in_zone() {
    let mut busy = replica(0, 9, Proximity::SameZone);
    busy.queued = 3;
    let replicas = [busy, replica(1, 9, Proximity::SameRegion)];
    let choice = choose(
        &replicas,
        Requirement::Token(at(5)),
        1,
        Duration::ZERO,
        MAX_WAIT,
    );
    assert_eq!(choice, Choice::Replica(1));
}

/// A replica whose age is unknown or too high must not serve a read with a maximum age.
#[rstest]
#[case(Some(100), Choice::Replica(0))]
#[case(Some(400), Choice::Wait)]
#[case(None, Choice::Wait)]
fn by_age(#[case] age: Option<u64>, #[case] expected: Choice) {
    let mut candidate = replica(0, 9, Proximity::SameZone);
    candidate.age = age.map(Duration::from_millis);
    let requirement = Requirement::MaxAge(Duration::from_millis(200));
    let choice = choose(&[candidate], requirement, 1, Duration::ZERO, MAX_WAIT);
    assert_eq!(choice, expected);
}
