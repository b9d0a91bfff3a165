//! What callers get while more requests wait than a database can serve in time, compared with first
//! in, first out.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    rc::Rc,
    time::{Duration, Instant},
};

use order::{Queue, Terms};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use rstest::rstest;

const SLOTS: usize = 5;
const OWNERS: u32 = 40;
/// Load and measurement last this long.
const DAY: Duration = Duration::from_secs(30);
/// Part of the day with the additional load.
const PEAK: std::ops::Range<f64> = 5.0..20.0;

/// A kind of request, and what an answer is worth to its caller, in time and late, in hundredths.
#[derive(Debug, Clone, Copy)]
struct Kind {
    name: &'static str,
    priority: u32,
    rate: f64,
    service_ms: f64,
    objective_ms: u64,
    deadline_ms: u64,
    worth: (u32, u32),
}

/// Bookings matter most and are short; they are a third of all work in calm.
const KINDS: [Kind; 3] = [
    Kind {
        name: "booking",
        priority: 1,
        rate: 30.0,
        service_ms: 20.0,
        objective_ms: 1_000,
        deadline_ms: 15_000,
        worth: (500, 20),
    },
    Kind {
        name: "search",
        priority: 2,
        rate: 25.0,
        service_ms: 40.0,
        objective_ms: 1_500,
        deadline_ms: 20_000,
        worth: (130, 15),
    },
    Kind {
        name: "check-in",
        priority: 2,
        rate: 40.0,
        service_ms: 24.0,
        objective_ms: 4_000,
        deadline_ms: 15_000,
        worth: (130, 10),
    },
];

/// Additional load between the seconds of [`PEAK`].
#[derive(Debug, Clone, Copy, PartialEq)]
enum Load {
    Calm,
    /// One kind arrives this many times as often.
    Burst(&'static str, f64),
    /// The first organisation sends this many times its load.
    HotOwner(f64),
    /// Statements take this many times as long.
    Slow(f64),
    /// This many of the slots wait for the same row.
    HotKey(usize),
}

#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Duration,
    owner: u32,
    kind: Kind,
}

/// What the callers of one day got.
#[derive(Debug, Default)]
struct Outcome {
    worth: u32,
    /// Requests, and those answered in time and at all, by kind and organisation.
    kinds: BTreeMap<&'static str, [u32; 3]>,
    owners: BTreeMap<u32, [u32; 3]>,
}

impl Outcome {
    fn record(&mut self, arrival: &Arrival, index: usize) {
        self.kinds.entry(arrival.kind.name).or_default()[index] += 1;
        self.owners.entry(arrival.owner).or_default()[index] += 1;
    }
}

fn share([all, in_time, _]: [u32; 3]) -> f64 {
    f64::from(in_time) / f64::from(all)
}

fn arrivals(load: Load) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(7);
    let mut arrivals = Vec::new();
    for kind in KINDS {
        for owner in 0..OWNERS {
            // The largest of the organisations sends eight times as much as the smallest.
            let size = if owner == 0 { 8.0 } else { 1.0 };
            let mut second = 0.0;
            loop {
                let peak = PEAK.contains(&second);
                let factor = match load {
                    Load::Burst(name, factor) if peak && name == kind.name => factor,
                    Load::HotOwner(factor) if peak && owner == 0 => factor,
                    _ => 1.0,
                };
                let rate = kind.rate * size * factor / f64::from(OWNERS + 7);
                second += -random.random_range(f64::EPSILON..1.0).ln() / rate;
                let at = Duration::from_secs_f64(second);
                if at > DAY {
                    break;
                }
                arrivals.push(Arrival { at, owner, kind });
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn in_order(arrival: &Arrival, at: Instant) -> Terms {
    let objective = Duration::from_millis(arrival.kind.objective_ms);
    Terms {
        owner: Some(Rc::from(arrival.owner.to_string())),
        priority: arrival.kind.priority,
        objective: Some((at + objective, objective)),
        ..first_in_first_out(arrival, at)
    }
}

fn first_in_first_out(arrival: &Arrival, at: Instant) -> Terms {
    Terms::until(at + Duration::from_millis(arrival.kind.deadline_ms))
}

/// Plays a day with the slots of one database.
fn play(load: Load, terms: fn(&Arrival, Instant) -> Terms) -> Outcome {
    let start = Instant::now();
    let arrivals = arrivals(load);
    let mut queue = Queue::new(500);
    let mut outcome = Outcome::default();
    let mut running: BinaryHeap<Reverse<(Instant, Duration)>> = BinaryHeap::new();
    let mut next = arrivals.iter().peekable();
    while next.peek().is_some() || !running.is_empty() {
        let arrival = next.peek().map(|arrival| start + arrival.at);
        let done = running.peek().map(|Reverse((done, _))| *done);
        let now = match (arrival, done) {
            (Some(arrival), Some(done)) => arrival.min(done),
            (Some(at), None) | (None, Some(at)) => at,
            (None, None) => break,
        };
        if done == Some(now) {
            let finished = running.pop();
            queue.record_service_time(finished.unwrap().0.1);
        } else if let Some(arrival) = next.next() {
            outcome.record(arrival, 0);
            let _refused = queue.push(*arrival, terms(arrival, now), now);
        }
        let second = (now - start).as_secs_f64();
        let (mut slots, mut factor) = (SLOTS, 1.0);
        match load {
            Load::HotKey(blocked) if PEAK.contains(&second) => slots -= blocked,
            Load::Slow(slow) if PEAK.contains(&second) => factor = slow,
            _ => {}
        }
        while running.len() < slots
            && let Some(request) = queue.pop(now, drop)
        {
            let took = Duration::from_secs_f64(request.kind.service_ms * factor / 1_000.0);
            running.push(Reverse((now + took, took)));
            let latency = now + took - (start + request.at);
            outcome.record(&request, 2);
            if latency <= Duration::from_millis(request.kind.objective_ms) {
                outcome.record(&request, 1);
                outcome.worth += request.kind.worth.0;
            } else if latency <= Duration::from_millis(request.kind.deadline_ms) {
                outcome.worth += request.kind.worth.1;
            }
        }
    }
    outcome
}

/// Guards against an order that serves callers worse than first in, first out.
#[rstest]
#[case::calm(Load::Calm, 100)]
#[case::burst_of_bookings(Load::Burst("booking", 8.0), 120)]
#[case::burst_of_searches(Load::Burst("search", 5.0), 120)]
#[case::burst_of_check_ins(Load::Burst("check-in", 5.0), 120)]
#[case::hot_organisation(Load::HotOwner(15.0), 120)]
#[case::slow_database(Load::Slow(2.5), 120)]
#[case::hot_key(Load::HotKey(3), 120)]
fn callers_get_more_than_in_order_of_arrival(#[case] load: Load, #[case] percent: u32) {
    let baseline = play(load, first_in_first_out);

    let ordered = play(load, in_order);

    println!(
        "TRIAL {load:?} {} {} {:?}",
        ordered.worth, baseline.worth, ordered.kinds
    );
    let (got, before) = (ordered.worth, baseline.worth);
    assert!(
        100 * got >= before * percent,
        "{got} instead of {before}: {ordered:?} {baseline:?}"
    );
}

/// Guards against an organisation that takes the time of all others.
#[test]
fn hot_organisation_leaves_others_their_answers() {
    let outcome = play(Load::HotOwner(15.0), in_order);

    let others = outcome.owners.iter().filter(|(owner, _)| **owner != 0);
    let least = others.map(|(_, counts)| share(*counts)).fold(1.0, f64::min);
    assert!(least >= 0.9, "{least} of the requests of one were in time");
}

/// Guards against a kind of low priority that gets no answers in time while one of a higher priority
/// arrives faster than it can be served.
#[rstest]
#[case::bookings(Load::Burst("booking", 8.0))]
#[case::searches(Load::Burst("search", 8.0))]
#[case::slow_database(Load::Slow(3.0))]
fn no_kind_starves(#[case] load: Load) {
    let outcome = play(load, in_order);

    for (kind, counts) in &outcome.kinds {
        let share = share(*counts);
        assert!(share >= 0.5, "{kind}: {share} in time");
    }
}
