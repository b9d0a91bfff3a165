//! Fault matrix: injects faults at the steps of the product's operations, with real processes.
//!
//! The programs must be built with fault points: `cargo build --workspace --bins --all-features`.
//! Each case starts its own deployment; at most one runs at a time on each loopback network.

use std::{
    path::{Path, PathBuf},
    sync::{Mutex, PoisonError},
    thread,
    time::Instant,
};

use lab::{
    deployment::DeploymentOptions,
    scenario::{Expect, Scenario, Step, Target},
    scenario_run::run_scenario,
    site::Site,
};
use rstest::rstest;

/// First zone of each loopback network, with its lock; deployments on one network use the same
/// addresses.
static NETWORKS: [(u8, Mutex<()>); 3] = [
    (41, Mutex::new(())),
    (44, Mutex::new(())),
    (47, Mutex::new(())),
];
/// Processor cores that one deployment needs to meet its timeouts.
const CORES_PER_DEPLOYMENT: usize = 3;

/// Folder with the programs under test.
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

/// A scenario with the default load on the small site.
fn scenario(guards: &str, seed: u64, steps: Vec<Step>) -> Scenario {
    Scenario {
        guards: guards.into(),
        site: "small".into(),
        seed,
        callers: 3,
        probers: 1,
        settle_ms: 1_000,
        steps,
        expect: Expect::default(),
    }
}

/// Plays a scenario, and panics unless the violations that it found are `expected`. Then the settings
/// and logs of all processes are kept.
fn run(scenario: &Scenario, expected: impl Fn(&[String]) -> bool) {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let networks = &NETWORKS[..(cores / CORES_PER_DEPLOYMENT).clamp(1, NETWORKS.len())];
    let number = usize::try_from(scenario.seed).unwrap() % networks.len();
    let (first_zone, in_use) = &networks[number];
    let _one_at_a_time = in_use.lock().unwrap_or_else(PoisonError::into_inner);
    let site = Site {
        first_zone: *first_zone,
        ..Site::small()
    };
    let folder = tempfile::tempdir().unwrap();
    let options = DeploymentOptions {
        programs: programs(),
        folder: folder.path().join("run"),
        relayed: true,
        lag_ms: 5,
        statement_us: 200,
    };
    println!("seed {}; guards against {}", scenario.seed, scenario.guards);
    let start = Instant::now();
    let runtime = lab::runtime().unwrap();
    let violations = runtime.block_on(run_scenario(site, scenario, options));
    println!("  took {:?}", start.elapsed());
    if !violations.as_deref().is_ok_and(expected) {
        let logs = folder.keep();
        panic!(
            "seed {}: {violations:?}; logs are in {}",
            scenario.seed,
            logs.display()
        );
    }
}

/// Plays the steps and asserts that there are no violations.
fn assert_holds(guards: &str, seed: u64, steps: Vec<Step>) {
    run(&scenario(guards, seed, steps), <[String]>::is_empty);
}

fn arm(target: Target, point: &str, actions: &str) -> Step {
    Step::Arm {
        target,
        point: point.into(),
        actions: actions.into(),
    }
}

/// Arms a point that disables a mechanism on all control hosts.
fn arm_control(point: &str) -> Vec<Step> {
    let hosts = (1..=3).map(Target::Control);
    hosts.map(|host| arm(host, point, "return")).collect()
}

/// Kills the primary while a replica lags.
fn lose_primary_beside_lag() -> [Step; 4] {
    [
        lag(REPLICA, 20_000),
        wait(1_500),
        kill(PRIMARY),
        wait(3_000),
    ]
}

const fn wait(ms: u64) -> Step {
    Step::Wait { ms }
}

const fn kill(target: Target) -> Step {
    Step::Kill { target }
}

const PRIMARY: Target = Target::Primary(0);
const REPLICA: Target = Target::Replica(0);
const SECOND: Target = Target::Second(0);
const ENTRY: Target = Target::EntryOf(0);

const fn lag(target: Target, ms: u64) -> Step {
    Step::Lag { target, ms }
}

const fn lose_disk(target: Target) -> Step {
    Step::LoseDisk { target }
}

/// Plays a scenario with a mechanism disabled and asserts that the checker finds the violation.
fn assert_found(scenario: &Scenario, violation: &str) {
    println!("{violation} must be found");
    run(scenario, |found| {
        found.iter().any(|found| found.starts_with(violation))
    });
}

/// Guards against a write that is lost or executed twice when its entry process is killed at some
/// step of it.
#[rstest]
#[case::before_send("write-send", 101)]
#[case::before_confirm("confirm-before", 102)]
#[case::after_confirm("confirm-after", 103)]
#[case::after_lease_check("lease-after", 104)]
fn write_entry_killed(#[case] point: &str, #[case] seed: u64) {
    let steps = vec![
        arm(ENTRY, point, "20*off->pause"),
        Step::Stall,
        kill(Target::Armed),
        wait(500),
    ];
    assert_holds(
        "a write lost or executed twice when its entry process is killed",
        seed,
        steps,
    );
}

/// Guards against an acknowledgement by an entry process that was frozen while its primary was
/// replaced.
#[rstest]
#[case::before_confirm("confirm-before", 111)]
#[case::after_confirm("confirm-after", 112)]
fn write_entry_frozen_in_failover(#[case] point: &str, #[case] seed: u64) {
    let steps = vec![
        arm(ENTRY, point, "20*off->1*sleep(3500)"),
        Step::Stall,
        kill(PRIMARY),
        wait(4_000),
    ];
    assert_holds("an acknowledgement by an old primary", seed, steps);
}

/// Guards against writes that are acknowledged by a primary that is cut off, and against a zone
/// that does not recover after the cut.
#[rstest]
#[case::silent(false, 121)]
#[case::reset(true, 122)]
fn write_zone_of_primary_cut(#[case] reset: bool, #[case] seed: u64) {
    let target = Target::Former(0);
    let steps = vec![
        Step::Isolate { target, reset },
        wait(3_500),
        Step::Heal,
        wait(500),
    ];
    assert_holds("two primaries after a cut", seed, steps);
}

/// Guards against requests that wait on a connection that never answers.
#[rstest]
fn write_connections_silenced_twice() {
    let steps = vec![Step::Silence, wait(1_500), Step::Silence, wait(2_000)];
    assert_holds("silent connections that are kept", 131, steps);
}

/// Guards against a promotion that loses a write which only the primary and a lagging replica
/// could have confirmed.
#[rstest]
fn write_primary_killed_while_replicas_lag() {
    let steps = vec![
        lag(REPLICA, 700),
        lag(SECOND, 400),
        wait(1_000),
        kill(PRIMARY),
        wait(2_500),
    ];
    assert_holds("a write lost with replicas that lag", 132, steps);
}

/// Guards against a repaired member that is counted as a confirmation before it has all data: the
/// primary fails right after the repair.
#[rstest]
fn join_of_member_then_primary_killed() {
    let steps = vec![
        lose_disk(REPLICA),
        wait(200),
        Step::Rejoin,
        wait(200),
        kill(PRIMARY),
        wait(3_000),
    ];
    assert_holds("a second host lost right after a repair", 133, steps);
}

/// Guards against a join that stays incomplete after an interruption.
#[rstest]
fn join_of_member_interrupted_twice() {
    let steps = vec![
        lose_disk(Target::Former(0)),
        Step::Restart,
        wait(300),
        lose_disk(Target::Former(0)),
        Step::Restart,
        wait(200),
        kill(Target::Former(0)),
        wait(1_500),
        Step::Restart,
        wait(1_000),
    ];
    assert_holds("a primary whose disk is lost and lost again", 134, steps);
}

/// Guards against a stale read: it starts before a failover and is answered after it by an entry
/// process that was frozen in between.
#[rstest]
#[case::waiting_for_replica("read-wait", 141)]
#[case::at_barrier("read-barrier", 142)]
fn read_entry_frozen_in_failover(#[case] point: &str, #[case] seed: u64) {
    let steps = vec![
        // A read waits for the replica in its own region if only the other region's has caught up.
        lag(REPLICA, 200),
        arm(ENTRY, point, "1*sleep(3500)"),
        // A read without a token requires the barrier.
        Step::ReadIn {
            target: ENTRY,
            begin: true,
        },
        Step::Stall,
        kill(PRIMARY),
        wait(4_000),
    ];
    assert_holds("a stale read after a freeze", seed, steps);
}

/// Guards against reads from replicas that lag by seconds, also when connections become silent.
#[rstest]
fn read_replicas_lag_and_connections_silenced() {
    let steps = vec![
        lag(REPLICA, 2_000),
        wait(1_000),
        Step::Silence,
        wait(1_500),
        lag(REPLICA, 5),
    ];
    assert_holds("a stale read from a replica that lags", 143, steps);
}

/// Guards against a promotion that is not completed when the control leader that runs it is killed.
#[rstest]
#[case::fence("promotion-fence", 151)]
#[case::released("promotion-released", 152)]
#[case::chosen("promotion-chosen", 153)]
#[case::ordered("promotion-ordered", 154)]
fn promotion_leader_killed(#[case] point: &str, #[case] seed: u64) {
    let steps = vec![
        arm(Target::Leader, point, "pause"),
        kill(PRIMARY),
        Step::Stall,
        kill(Target::Armed),
        wait(3_500),
    ];
    assert_holds(
        "a promotion not completed when its leader is killed",
        seed,
        steps,
    );
}

/// Guards against a leader that continues a promotion after another one has finished it.
#[rstest]
#[case::fence("promotion-fence", 161)]
#[case::chosen("promotion-chosen", 162)]
fn promotion_leader_frozen(#[case] point: &str, #[case] seed: u64) {
    let steps = vec![
        arm(Target::Leader, point, "1*sleep(3500)"),
        kill(PRIMARY),
        Step::Stall,
        wait(4_000),
    ];
    assert_holds("two leaders that run one promotion", seed, steps);
}

/// Guards against a leader that is cut off during a promotion and returns with outdated state.
#[rstest]
fn promotion_leader_cut_off() {
    let steps = vec![
        arm(Target::Leader, "promotion-chosen", "1*sleep(1500)"),
        kill(PRIMARY),
        Step::Stall,
        Step::Isolate {
            target: Target::Armed,
            reset: false,
        },
        wait(4_000),
        Step::Heal,
        Step::Restart,
        wait(1_000),
    ];
    assert_holds("a leader that returns with an old promotion", 163, steps);
}

/// Guards against a promotion that reads too few members because one lost its disk meanwhile.
#[rstest]
fn promotion_replica_loses_disk() {
    let steps = vec![
        arm(Target::Leader, "promotion-released", "1*sleep(1000)"),
        kill(PRIMARY),
        Step::Stall,
        lose_disk(REPLICA),
        wait(1_500),
        Step::Restart,
        wait(2_000),
    ];
    assert_holds("a promotion without the confirmed writes", 164, steps);
}

/// Guards against a change that is lost, applied twice or applied partially when the host that
/// handles it is killed.
#[rstest]
#[case::before_write(Target::Leader, "agree::write", 171)]
#[case::before_sync(Target::Leader, "agree::sync", 172)]
#[case::before_reply(Target::Control(1), "change-reply", 173)]
fn change_host_killed(#[case] target: Target, #[case] point: &str, #[case] seed: u64) {
    let steps = vec![
        arm(target, point, "pause"),
        Step::Submit,
        Step::Stall,
        kill(Target::Armed),
        wait(1_000),
        Step::Restart,
        Step::Accepted,
        Step::Agree,
    ];
    assert_holds("a change lost when a control host is killed", seed, steps);
}

/// Guards against two changes on one version that are both accepted, and against a control host
/// that was cut off and reverts what was accepted in the meantime.
#[rstest]
fn change_operators_race_while_host_is_cut_off() {
    let steps = vec![
        Step::Race,
        Step::Isolate {
            target: Target::Control(3),
            reset: false,
        },
        Step::Race,
        Step::Configure { times: 5 },
        Step::Heal,
        Step::Agree,
        Step::Race,
        Step::Agree,
    ];
    assert_holds("a change that is lost or reverts", 174, steps);
}

/// Guards against a change that is applied twice because its answer was lost.
#[rstest]
fn change_resent_after_lost_answer() {
    let steps = vec![
        arm(Target::Control(1), "change-reply", "1*sleep(3500)"),
        Step::Resend,
        wait(500),
        Step::Resend,
        Step::Agree,
    ];
    assert_holds("a resent change that counts twice", 175, steps);
}

/// Guards against a quorum that lost acknowledged changes: a control host loses its disk, and the
/// leader is killed right after the repair.
#[rstest]
fn join_of_control_then_leader_killed() {
    let steps = vec![
        Step::Configure { times: 3 },
        lose_disk(Target::Follower),
        Step::Restart,
        wait(2_500),
        kill(Target::Leader),
        wait(2_000),
        Step::Submit,
        Step::Accepted,
        Step::Restart,
        Step::Agree,
    ];
    assert_holds("a change lost with two disks", 176, steps);
}

/// Guards against a planned stop of a primary that interrupts requests while a replica lags, or after
/// the control leader was killed.
#[rstest]
#[case::primary_while_replica_lags(vec![lag(REPLICA, 300)], 181)]
#[case::primary_after_leader_killed(vec![kill(Target::Leader)], 182)]
fn leave_of_primary(#[case] before: Vec<Step>, #[case] seed: u64) {
    let mut steps = before;
    steps.extend([
        Step::Stop {
            target: Target::Former(0),
        },
        wait(1_000),
        Step::Rejoin,
        wait(500),
    ]);
    assert_holds("a planned stop that interrupts requests", seed, steps);
}

/// Guards against a planned stop that hangs, or fails requests, when a process fails during it.
#[rstest]
#[case::entry_primary_killed(ENTRY, kill(Target::Former(0)), 191)]
#[case::entry_zone_cut(ENTRY, Step::Isolate { target: ENTRY, reset: false }, 192)]
#[case::control_primary_killed(Target::Leader, kill(Target::Former(0)), 193)]
#[case::replica_primary_killed(REPLICA, Step::Freeze { target: Target::Former(0) }, 194)]
fn stop_with_fault(#[case] target: Target, #[case] fault: Step, #[case] seed: u64) {
    let steps = vec![
        Step::Terminate { target },
        wait(100),
        fault,
        wait(1_500),
        Step::Heal,
        Step::Resume,
        Step::Ended,
        Step::Restart,
        wait(2_000),
    ];
    assert_holds("a planned stop that a fault interrupts", seed, steps);
}

/// The checker finds writes that were acknowledged without confirmation by a second member.
#[rstest]
fn found_without_confirmation() {
    let target = Target::Former(0);
    let mut steps = arm_control("guard-disabled");
    steps.extend([
        arm(ENTRY, "confirm-disabled", "return"),
        // A write that already waits for its confirmation would wait on, and its caller with it.
        wait(200),
        Step::Isolate {
            target,
            reset: false,
        },
        // The old primary still acknowledges during its write lease.
        Step::WriteIn { target },
        // If the cut ended before the promotion, the old primary would stay and keep its writes.
        Step::Replaced { service: 0 },
        Step::Heal,
        wait(500),
    ]);
    let scenario = scenario("acknowledgements without confirmation", 201, steps);
    assert_found(&scenario, "lost");
}

/// The checker finds reads that an old primary served without a write lease.
#[rstest]
#[case::without(true, 202)]
#[case::with(false, 203)]
fn found_without_lease_check(#[case] disabled: bool, #[case] seed: u64) {
    let target = Target::Former(0);
    let actions = if disabled { "return" } else { "off" };
    let steps = vec![
        arm(ENTRY, "lease-disabled", actions),
        Step::Isolate {
            target,
            reset: false,
        },
        wait(500),
        Step::WriteIn { target: REPLICA },
        // With the lease the read waits for the end of the cut.
        Step::HealAfter { ms: 1_000 },
        Step::ReadIn {
            target,
            begin: false,
        },
    ];
    // Other callers would leave unconfirmed writes at the old primary, and reads wait until
    // everything that they return is confirmed.
    let scenario = Scenario {
        callers: 0,
        probers: 0,
        ..scenario("reads from an old primary", seed, steps)
    };
    if disabled {
        assert_found(&scenario, "stale reads");
    } else {
        run(&scenario, <[String]>::is_empty);
    }
}

/// The checker finds writes lost by the promotion of the least advanced member.
#[rstest]
fn found_without_best_choice() {
    let mut steps = arm_control("choice-disabled");
    steps.extend(arm_control("guard-disabled"));
    steps.extend(lose_primary_beside_lag());
    let scenario = scenario("the promotion of a member that lags", 204, steps);
    assert_found(&scenario, "lost");
}

/// Guards against the loss of acknowledged writes by a wrong choice: what entry processes reported must
/// correct it.
#[rstest]
fn guard_corrects_a_choice_that_lacks_acknowledged_writes() {
    let mut steps = arm_control("choice-disabled");
    steps.extend(lose_primary_beside_lag());
    assert_holds("the promotion of a member that lags", 206, steps);
}

/// The checker finds reads from replicas that do not cover the caller's token.
#[rstest]
fn found_without_freshness() {
    let mut steps: Vec<_> = (1..=3)
        .map(|zone| arm(Target::Entry(zone), "freshness-disabled", "return"))
        .collect();
    steps.extend([lag(REPLICA, 1_500), wait(2_500), lag(REPLICA, 5)]);
    let scenario = scenario("reads from replicas that lag", 205, steps);
    assert_found(&scenario, "stale reads");
}
