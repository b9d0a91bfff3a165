//! Choice among candidates that differ in freshness and presence.

use std::time::{Duration, Instant};

use place::{Candidate, Placement, Prices};
use route::Proximity::{self, OtherRegion, SameRegion, SameZone};
use rstest::rstest;

fn candidate(name: &str, proximity: Proximity, ms: u64, lags: bool) -> Candidate<'_> {
    Candidate {
        name,
        proximity,
        expected: Duration::from_millis(ms),
        measured: true,
        lags,
    }
}

fn choose(placement: &mut Placement, candidates: &[Candidate<'_>], draw: f64) -> Option<usize> {
    let choice = placement.choose(candidates, &Prices::default(), Instant::now(), draw);
    choice.map(|choice| choice.index)
}

/// Guards against a lagging database that is preferred because it is near.
#[rstest]
#[case(0.0)]
#[case(0.5)]
#[case(0.999_999)]
fn fresh_databases_go_first(#[case] draw: f64) {
    let candidates = [
        candidate("lagging", SameZone, 1, true),
        candidate("fresh", OtherRegion, 90, false),
    ];

    let chosen = choose(&mut Placement::default(), &candidates, draw);

    assert_eq!(chosen, Some(1));
}

/// Guards against reads that are refused although a lagging database could serve them.
#[test]
fn lagging_databases_serve_if_there_are_no_others() {
    let candidates = [candidate("lagging", SameZone, 1, true)];

    let chosen = choose(&mut Placement::default(), &candidates, 0.5);

    assert_eq!(chosen, Some(0));
    assert_eq!(choose(&mut Placement::default(), &[], 0.5), None);
}

/// Guards against a share that is lost, or reads that fail, while a database is away.
#[test]
fn absent_database_keeps_its_share() {
    let near = candidate("near", SameZone, 10, false);
    let far = candidate("far", SameRegion, 10, false);
    let mut placement = Placement::default();
    choose(&mut placement, &[near, far], 0.5);
    let share = placement.share("near");

    let alone = choose(&mut placement, &[far], 0.5);
    let back = choose(&mut placement, &[near, far], 0.5);

    assert_eq!((alone, back), (Some(0), Some(0)));
    assert!(share > 0.9 && placement.share("near") > 0.4 * share);
}

/// Guards against a division by zero when every share shrinks: many distant databases at once.
#[test]
fn many_distant_databases_stay_usable() {
    let names: Vec<_> = (0..100).map(|index| format!("far-{index}")).collect();
    let unmeasured = |name| Candidate {
        measured: false,
        ..candidate(name, OtherRegion, 70, false)
    };
    let mut all: Vec<_> = names.iter().map(|name| unmeasured(name)).collect();
    let mut placement = Placement::default();
    let start = Instant::now();
    placement.choose(&all, &Prices::default(), start, 0.5);
    all.push(Candidate {
        measured: false,
        ..candidate("near", SameZone, 10, false)
    });

    let later = start + Duration::from_secs(1);
    let choice = placement.choose(&all, &Prices::default(), later, 0.999_999);

    assert!(choice.is_some());
    assert!(names.iter().all(|name| placement.share(name).is_finite()));
}
