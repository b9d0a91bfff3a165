//! Compares changes of primary with and without the rule that more entry processes must reach the
//! new primary.

use std::time::Duration;

use lab::{
    reachability::Pattern,
    script::Script,
    simulation::{Mechanism, Report, simulate},
};
use rstest::rstest;

/// One-minute runs for each pattern; the environment variable `FAKES_RUNS` overrides the number.
const RUNS: u64 = 10;

fn one_minute_script(pattern: Pattern) -> Script {
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

/// Guards against a rule for changes of primary that causes additional changes or blocks writes for
/// longer. The printed table is the one on the design page.
#[rstest]
#[case::partial(Pattern::Partial)]
#[case::asymmetric(Pattern::Asymmetric)]
#[case::flapping(Pattern::Flapping)]
#[case::zone(Pattern::Zone)]
#[case::observers(Pattern::Observers)]
fn changes_serve_more(#[case] pattern: Pattern) {
    let script = one_minute_script(pattern);
    let count = std::env::var("FAKES_RUNS").map_or(RUNS, |text| text.parse().unwrap());
    let runs = |disabled| -> Vec<Report> {
        let seeds = script.seed..script.seed + count;
        seeds
            .map(|seed| simulate(&script, seed, disabled))
            .collect()
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
    let violations: Vec<_> = with.iter().chain(&without).map(|r| &r.violations).collect();
    assert!(
        violations.iter().all(|rules| rules.is_empty()),
        "{violations:?}"
    );
}
