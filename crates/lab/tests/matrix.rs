//! Fault matrix: faults at the steps of the product's work, over real processes.
//!
//! The programs must be built with fault points: `cargo build --workspace --bins --all-features`.
//! Each case starts its own deployment; only one runs at a time.

use std::{
    path::{Path, PathBuf},
    sync::{Mutex, PoisonError},
    time::Instant,
};

use lab::{
    deployment::Choice,
    scenario::{Expect, Scenario, Step, Target, play},
    site::Site,
};
use rstest::rstest;

/// All cases use the same addresses, so only one deployment may run.
static DEPLOYMENT: Mutex<()> = Mutex::new(());

fn programs() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let folder = test.parent().and_then(Path::parent).unwrap().to_owned();
    for program in ["entry", "control", "standin"] {
        assert!(
            folder.join(program).exists(),
            "{program} is not built; run `cargo build --workspace --bins --all-features`"
        );
    }
    folder
}

fn scenario(guards: &str, seed: u64, steps: Vec<Step>) -> Scenario {
    Scenario {
        guards: guards.into(),
        site: "small".into(),
        seed,
        callers: 3,
        probers: 1,
        steps,
        expect: Expect::default(),
    }
}

/// Plays a scenario and returns what did not hold.
fn run(scenario: &Scenario) -> Vec<String> {
    let _one_at_a_time = DEPLOYMENT.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = tempfile::tempdir().unwrap();
    let choice = Choice {
        programs: programs(),
        folder: folder.path().join("run"),
        relayed: true,
        lag_ms: 5,
        statement_us: 200,
    };
    println!("seed {}; guards against {}", scenario.seed, scenario.guards);
    let start = Instant::now();
    let runtime = lab::runtime().unwrap();
    let faults = runtime.block_on(play(Site::small(), scenario, choice));
    println!("  took {:?}", start.elapsed());
    faults.unwrap()
}

fn assert_holds(guards: &str, seed: u64, steps: Vec<Step>) {
    let faults = run(&scenario(guards, seed, steps));
    assert!(faults.is_empty(), "seed {seed}: {faults:?}");
}

fn arm(target: Target, point: &str, actions: &str) -> Step {
    Step::Arm {
        target,
        point: point.into(),
        actions: actions.into(),
    }
}

const fn wait(ms: u64) -> Step {
    Step::Wait { ms }
}

const fn kill(target: Target) -> Step {
    Step::Kill { target }
}

const ENTRY: Target = Target::EntryOf(0);

/// An entry process that ends at a step of a write must neither lose nor double the write, and the
/// callers go on elsewhere.
#[rstest]
#[case::before_send("write-send", 101)]
#[case::before_confirm("confirm-before", 102)]
#[case::after_confirm("confirm-after", 103)]
#[case::after_lease_check("lease-after", 104)]
fn entry_killed_in_write(#[case] point: &str, #[case] seed: u64) {
    let steps = vec![
        arm(ENTRY, point, "20*off->pause"),
        Step::Stall,
        kill(Target::Armed),
        wait(500),
    ];
    assert_holds(
        "a write lost or doubled with its entry process",
        seed,
        steps,
    );
}
