//! Many independent processes that see the same loads at the same time.

use std::time::{Duration, Instant};

use place::{Candidate, Placement, Prices};
use route::Proximity::{SameRegion, SameZone};

const PROCESSES: u32 = 100;
/// Time between two reads of a process.
const PAUSE: Duration = Duration::from_millis(50);

fn candidates(near_ms: u64, far_ms: u64) -> [Candidate<'static>; 2] {
    let candidate = |name, proximity, ms| Candidate {
        name,
        proximity,
        expected: Duration::from_millis(ms),
        measured: true,
        lags: false,
    };
    [
        candidate("near", SameZone, near_ms),
        candidate("far", SameRegion, far_ms),
    ]
}

/// Part of the processes that send a read to the distant database at `now`.
fn moved(crowd: &mut [Placement], candidates: &[Candidate<'_>], now: Instant) -> f64 {
    let draws = (0..PROCESSES).map(|index| f64::from(index) / f64::from(PROCESSES));
    let choices = crowd.iter_mut().zip(draws).map(|(placement, draw)| {
        let choice = placement.choose(candidates, &Prices::default(), now, draw);
        u32::from(choice.is_some_and(|choice| choice.left))
    });
    f64::from(choices.sum::<u32>()) / f64::from(PROCESSES)
}

fn crowd(start: Instant) -> Vec<Placement> {
    let mut crowd = vec![Placement::default(); PROCESSES as usize];
    moved(&mut crowd, &candidates(20, 22), start);
    crowd
}

/// Guards against herding: processes that see a database turn slow would all move to the other one,
/// which then turns slow itself.
#[test]
fn few_processes_move_at_once() {
    let start = Instant::now();
    let mut crowd = crowd(start);

    let slow = candidates(100, 22);
    let steps: Vec<_> = (1..=40)
        .map(|step| moved(&mut crowd, &slow, start + PAUSE * step))
        .collect();

    let largest = steps.windows(2).map(|pair| pair[1] - pair[0]);
    let largest = largest.fold(steps[0], f64::max);
    assert!(largest <= 0.125, "{largest}");
    assert!(steps[39] >= 0.75, "{steps:?}");
}

/// Guards against oscillation: response times that vary by a twentieth move no reads.
#[test]
fn small_differences_move_nothing() {
    let start = Instant::now();
    let mut crowd = crowd(start);

    let steps = (1..=40).map(|step| {
        let near_ms = if step % 2 == 0 { 25 } else { 26 };
        moved(&mut crowd, &candidates(near_ms, 22), start + PAUSE * step)
    });

    assert!(steps.fold(0.0, f64::max) <= 0.01);
}
