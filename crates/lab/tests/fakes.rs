//! Scenarios against fakes in virtual time.

use std::path::Path;

use lab::{
    script::{Script, read},
    world::{Mechanism, Report, play},
};
use rstest::rstest;

/// Runs of each scenario, one seed each; the variable `FAKES_RUNS` sets another number.
const RUNS: u64 = 100;
/// Seeds among which one must find a planted fault.
const PLANTED: u64 = 100;

fn script(name: &str) -> Script {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("fakes");
    read(&folder.join(name).with_extension("toml")).unwrap()
}

/// Guards against what each file names.
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
        .map(|seed| play(&script, seed, None))
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
    let broken: Vec<_> = reports.iter().filter(|r| !r.broken.is_empty()).collect();
    assert!(broken.is_empty(), "{:#?}", &broken[..broken.len().min(2)]);
    // A run that serves nobody after the faults would prove nothing.
    let stuck: Vec<_> = reports.iter().filter(|r| r.late == 0).collect();
    assert!(stuck.is_empty(), "{:#?}", &stuck[..stuck.len().min(2)]);
}

/// Guards against a check that no longer finds the absence of a mechanism.
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
fn planted_fault_is_found(#[case] name: &str, #[case] off: Mechanism, #[case] rule: &str) {
    let script = script(name);

    let mut seeds = script.seed..script.seed + PLANTED;
    let found = seeds.find(|seed| {
        let report = play(&script, *seed, Some(off));
        report.broken.iter().any(|broken| broken.contains(rule))
    });

    println!("{name} without {off:?}: found with seed {found:?}");
    assert!(found.is_some(), "no seed from {} finds it", script.seed);
}

/// Guards against a seed that does not repeat the run that it was printed for.
#[test]
fn seed_repeats_run() {
    let script = script("faults-together");

    let (first, second) = (play(&script, 7, None), play(&script, 7, None));

    assert_eq!(first.events, second.events);
    assert_eq!(first.writes, second.writes);
}
