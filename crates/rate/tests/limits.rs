//! Rate limits over several entry processes.

mod common;

use std::time::Duration;

use base::organisation::RateLimit;
use common::{STEP, World};
use proptest::prelude::*;
use rstest::rstest;

const fn limit(per_second: u32, burst: u32) -> RateLimit {
    RateLimit { per_second, burst }
}

/// Plays `span` with `per_second` operations asked at random processes.
fn play(world: &mut World, span: Duration, per_second: f64) {
    let end = world.now + span;
    while world.now < end {
        let mut expected = per_second * STEP.as_secs_f64();
        while expected > 0.0 {
            if world.random.random_bool(expected.min(1.0)) {
                let process = world.random.random_range(0..world.processes.len());
                world.ask(process);
            }
            expected -= 1.0;
        }
        world.step();
        let (lent, bound) = world.lent();
        assert_eq!(lent.max(bound), bound, "more is lent than the limit allows");
    }
}

fn assert_bound(world: &World) {
    let (count, bound) = world.worst_window();
    assert!(
        count <= bound,
        "{count} operations in a window that allows {bound}"
    );
}

const SECOND: Duration = Duration::from_secs(1);

/// Guards against callers of an organisation below its limit that are refused although nothing fails,
/// at every size of organisation.
#[rstest]
#[case::smallest(limit(2, 2), 1.0)]
#[case::small(limit(10, 10), 6.0)]
#[case::middle(limit(40, 40), 24.0)]
#[case::largest(limit(310, 310), 186.0)]
fn few_are_refused_below_the_limit(#[case] limit: RateLimit, #[case] per_second: f64) {
    let mut world = World::new(1, 48, limit);
    play(&mut world, SECOND * 20, per_second);
    let from = world.now;

    play(&mut world, SECOND * 200, per_second);

    let part = world.refused_part(from);
    eprintln!("refused {part}, calls {}", world.calls);
    assert!(part < 0.01, "{part} of the operations were refused");
    assert_bound(&world);
}

/// Guards against a limit that is not used up while callers ask for more.
#[rstest]
#[case::small(limit(2, 2), 8.0)]
#[case::large(limit(200, 200), 1_200.0)]
fn limit_is_used_up_when_more_is_asked(#[case] limit: RateLimit, #[case] per_second: f64) {
    let mut world = World::new(2, 48, limit);

    play(&mut world, SECOND * 60, per_second);

    let ran = f64::from(u32::try_from(world.sent.len()).expect("few operations"));
    let part = ran / (f64::from(limit.per_second) * 60.0);
    eprintln!("used {part}, calls {}", world.calls);
    assert!(part > 0.9, "only {part} of the limit was used");
    assert_bound(&world);
}

/// Guards against refusals below the limit while there is no leader, at processes with shares.
#[rstest]
fn shares_outlast_a_change_of_leader() {
    let mut world = World::new(3, 12, limit(200, 200));
    play(&mut world, SECOND * 20, 100.0);
    let from = world.now;

    world.lose_leader();
    play(&mut world, SECOND * 3, 100.0);
    world.change_leader();
    play(&mut world, SECOND * 10, 100.0);

    let part = world.refused_part(from);
    eprintln!("refused {part}");
    assert!(part < 0.05, "{part} of the operations were refused");
    assert_bound(&world);
}

/// Guards against an entry process that runs operations on a share that ended while it was frozen
/// and was lent to others.
#[rstest]
fn frozen_process_does_not_use_an_ended_share() {
    let mut world = World::new(4, 2, limit(20, 20));
    play(&mut world, SECOND * 10, 80.0);

    world.freeze(0, SECOND * 9);
    play(&mut world, SECOND * 20, 80.0);

    assert_bound(&world);
}

/// Guards against twice the limit when a zone is cut off and callers ask for more than the limit on
/// both sides, with a leader on one of them only.
#[rstest]
fn both_sides_of_a_cut_stay_within_the_limit() {
    let mut world = World::new(5, 8, limit(50, 50));
    play(&mut world, SECOND * 10, 300.0);

    for process in &mut world.processes[..4] {
        process.cut_off = true;
    }
    play(&mut world, SECOND * 15, 300.0);
    for process in &mut world.processes[..4] {
        process.cut_off = false;
    }
    play(&mut world, SECOND * 10, 300.0);

    assert_bound(&world);
}

/// Guards against a lowered limit that processes with shares of the former one ignore.
#[rstest]
fn lowered_limit_is_in_force_after_a_term() {
    let mut world = World::new(6, 8, limit(100, 100));
    play(&mut world, SECOND * 10, 300.0);

    world.set_limit(limit(10, 10));
    play(&mut world, SECOND * 30, 300.0);

    assert_bound(&world);
}

/// Guards against an organisation that may run nothing for seconds after the first configuration.
#[rstest]
fn first_configuration_is_served_at_once() {
    let mut world = World::new(7, 12, limit(100, 100));
    let from = world.now;

    play(&mut world, SECOND * 5, 50.0);

    let part = world.refused_part(from);
    assert!(part < 0.02, "{part} of the operations were refused");
}

/// A fault or change, with the process that it meets.
fn disturb(world: &mut World, kind: u8, process: usize, limits: [RateLimit; 2]) {
    match kind {
        0..=2 => world.change_leader(),
        3 => world.lose_leader(),
        4 | 5 => {
            let span = world.random.random_range(0.1..9.0);
            world.freeze(process, Duration::from_secs_f64(span));
        }
        6 => world.restart(process),
        7 => {
            let cut_off = &mut world.processes[process].cut_off;
            *cut_off = !*cut_off;
        }
        _ => {
            let next = usize::from(world.limit() == limits[0]);
            world.set_limit(limits[next]);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Guards against more operations than the limit allows, in any window, whatever messages are
    /// lost, late or reordered, and whichever leaders and processes fail.
    #[test]
    fn no_window_exceeds_the_limit(
        seed: u64,
        processes in 2_usize..9,
        limits in [(1_u32..300, 1_u32..300), (1_u32..300, 1_u32..300)],
        load in 0.3..8.0,
        loss in 0.0..0.4,
        delay in 1_u64..400,
        faults in prop::collection::vec((0_u8..10, 0_usize..9, 0_u64..4_000), 0..14),
    ) {
        let limits = limits.map(|(per_second, burst)| limit(per_second, burst));
        let mut world = World::new(seed, processes, limits[0]);
        world.loss = loss;
        world.delay = Duration::from_millis(delay);

        for (kind, process, pause) in faults {
            let per_second = f64::from(world.limit().per_second) * load;
            play(&mut world, Duration::from_millis(pause), per_second);
            disturb(&mut world, kind, process % processes, limits);
        }
        let per_second = f64::from(world.limit().per_second) * load;
        play(&mut world, SECOND * 8, per_second);

        let (count, bound) = world.worst_window();
        prop_assert!(count <= bound, "{count} operations in a window that allows {bound}");
    }
}
