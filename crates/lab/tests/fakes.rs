//! Runs scenarios against fakes in virtual time.

use std::path::Path;

use lab::{
    script::{Script, read},
    simulation::{Mechanism, Report, simulate},
};
use rstest::rstest;

/// Runs of each scenario, each with its own seed; the environment variable `FAKES_RUNS` overrides
/// it.
const RUNS: u64 = 100;
/// Number of seeds of which at least one must detect a disabled mechanism.
const MAX_SEEDS: u64 = 100;

fn script(name: &str) -> Script {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("fakes");
    read(&folder.join(name).with_extension("toml")).unwrap()
}

/// Guards against the failure that each file names under `guards`.
#[rstest]
#[case::primary_cut("primary-cut")]
#[case::primary_parted("primary-parted")]
#[case::order_answer_lost("order-answer-lost")]
#[case::candidate_wiped("candidate-wiped")]
#[case::control_returns("control-returns")]
#[case::operators_race("operators-race")]
#[case::second_host_lost("second-host-lost")]
#[case::restarts("restarts")]
#[case::replicas_behind("replicas-behind")]
#[case::entry_frozen("entry-frozen")]
#[case::faults_together("faults-together")]
fn no_rule_is_broken(#[case] name: &str) {
    let script = script(name);
    let count = std::env::var("FAKES_RUNS").map_or(RUNS, |text| text.parse().unwrap());

    let reports: Vec<_> = (script.seed..script.seed + count)
        .map(|seed| simulate(&script, seed, None))
        .collect();

    let sum = |count: fn(&Report) -> usize| reports.iter().map(count).sum::<usize>();
    println!(
        "{name}: seeds {} to {}, {} writes, {} terms, {} changes",
        script.seed,
        script.seed + count - 1,
        sum(|r| r.writes),
        sum(|r| r.promotions),
        sum(|r| r.changes),
    );
    let violations: Vec<_> = reports
        .iter()
        .filter(|r| !r.violations.is_empty())
        .collect();
    assert!(
        violations.is_empty(),
        "{:#?}",
        &violations[..violations.len().min(2)]
    );
    // A run without acknowledged writes after the faults would prove nothing.
    let stuck: Vec<_> = reports.iter().filter(|r| r.final_writes == 0).collect();
    assert!(stuck.is_empty(), "{:#?}", &stuck[..stuck.len().min(2)]);
}

/// Guards against a check that no longer detects the absence of a mechanism.
#[rstest]
#[case::confirm("replicas-behind", Mechanism::Confirm, "acknowledged writes missing")]
#[case::lease("primary-parted", Mechanism::Lease, "acknowledged writes missing")]
#[case::recheck("entry-frozen", Mechanism::Recheck, "acknowledged in a later term")]
#[case::choice("replicas-behind", Mechanism::Choice, "acknowledged writes missing")]
#[case::release("primary-cut", Mechanism::Release, "lease is older than a fence")]
#[case::restart("restarts", Mechanism::Restart, "lease is older than a fence")]
#[case::term("order-answer-lost", Mechanism::Term, "two primaries")]
#[case::store("candidate-wiped", Mechanism::Store, "acknowledged writes missing")]
#[case::compare("operators-race", Mechanism::Compare, "reverted another")]
#[case::ids("operators-race", Mechanism::Ids, "applied and refused")]
#[case::versions("control-returns", Mechanism::Versions, "reverted its configuration")]
#[case::quiet("faults-together", Mechanism::Quiet, "more connections")]
fn planted_fault_is_found(#[case] name: &str, #[case] disabled: Mechanism, #[case] rule: &str) {
    let script = script(name);

    let mut seeds = script.seed..script.seed + MAX_SEEDS;
    let found = seeds.find(|seed| {
        let report = simulate(&script, *seed, Some(disabled));
        report
            .violations
            .iter()
            .any(|violation| violation.contains(rule))
    });

    println!("{name} without {disabled:?}: found with seed {found:?}");
    assert!(found.is_some(), "no seed from {} finds it", script.seed);
}

/// Guards against runs that can't be reproduced from their seed.
#[test]
fn seed_repeats_run() {
    let script = script("faults-together");

    let (first, second) = (simulate(&script, 7, None), simulate(&script, 7, None));

    assert_eq!(first.events, second.events);
    assert_eq!(first.writes, second.writes);
}
