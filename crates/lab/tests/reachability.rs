//! Changes of primary with and without the rule that the new state must serve more.

use std::time::Duration;

use lab::{
    reachability::Pattern,
    script::Script,
    world::{Mechanism, Report, play},
};
use rstest::rstest;

/// Runs of one minute for each pattern; the variable `FAKES_RUNS` sets another number.
const RUNS: u64 = 10;

fn minute(pattern: Pattern) -> Script {
    Script {
        guards: String::new(),
        seed: 2_000,
        ms: 60_000,
        lag: 0,
        pause: 0,
        lost: 0,
        links: vec![pattern],
        step: Vec::new(),
    }
}

fn sum<T: std::iter::Sum>(reports: &[Report], value: fn(&Report) -> T) -> T {
    reports.iter().map(value).sum()
}

/// Guards against a rule for changes of primary that causes changes or costs writes. The table it
/// prints is that of the design page.
#[rstest]
#[case::partial(Pattern::Partial)]
#[case::asymmetric(Pattern::Asymmetric)]
#[case::flapping(Pattern::Flapping)]
#[case::zone(Pattern::Zone)]
#[case::observers(Pattern::Observers)]
fn changes_serve_more(#[case] pattern: Pattern) {
    let script = minute(pattern);
    let count = std::env::var("FAKES_RUNS").map_or(RUNS, |text| text.parse().unwrap());
    let runs = |off| -> Vec<Report> {
        let seeds = script.seed..script.seed + count;
        seeds.map(|seed| play(&script, seed, off)).collect()
    };

    let (with, without) = (runs(None), runs(Some(Mechanism::Serve)));

    for (rule, reports) in [("with", &with), ("without", &without)] {
        println!(
            "| {pattern:?} | {rule} | {} | {} | {:.0} s |",
            sum(reports, |r| r.promotions - 1),
            sum(reports, |r| r.needless),
            sum::<Duration>(reports, |r| r.blocked).as_secs_f64(),
        );
    }
    let worse = |value: fn(&Report) -> usize| sum(&with, value) > sum(&without, value);
    assert!(!worse(|r| r.promotions), "the rule causes changes");
    assert!(!worse(|r| r.needless), "the rule causes needless changes");
    let blocked = |reports| sum::<Duration>(reports, |r| r.blocked);
    assert!(blocked(&with) <= blocked(&without), "the rule costs writes");
    let broken: Vec<_> = with.iter().chain(&without).map(|r| &r.broken).collect();
    assert!(broken.iter().all(|rules| rules.is_empty()), "{broken:?}");
}
