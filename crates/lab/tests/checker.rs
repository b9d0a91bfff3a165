//! The checker finds each injected fault and reports none in a correct history.

use lab::{
    caller::Outcome,
    checker::{Action, Event, Store, Verdict, check},
};
use rstest::rstest;

fn write(request: &str, inserts_rows: bool, span: (u64, u64), outcome: Outcome) -> Event {
    let action = Action::Write {
        request: request.into(),
        increments: true,
        inserts_rows,
    };
    Event {
        service: 0,
        caller: 7,
        start: span.0,
        end: span.1,
        action,
        outcome,
    }
}

fn read(owner: i64, seen: i64, span: (u64, u64)) -> Event {
    let action = Action::Read { owner, seen };
    Event {
        service: 0,
        caller: 7,
        start: span.0,
        end: span.1,
        action,
        outcome: Outcome::Done,
    }
}

fn not_run() -> Outcome {
    Outcome::NotRun("ZN002".into())
}

fn unknown() -> Outcome {
    Outcome::Unknown("ZU001".into())
}

fn history() -> Vec<Event> {
    vec![
        write("a", false, (10, 20), Outcome::Done),
        read(7, 1, (21, 25)),
        write("b", true, (30, 40), Outcome::Done),
        write("c", false, (50, 60), not_run()),
        write("d", false, (70, 80), unknown()),
        write("d", false, (81, 90), Outcome::Done),
        read(7, 3, (91, 95)),
    ]
}

fn store(count: i64, rows: &[&str]) -> Store {
    Store {
        counters: [(7, count)].into_iter().collect(),
        ledger: rows.iter().map(|row| (*row).to_owned()).collect(),
    }
}

const ROWS: [&str; 2] = ["b#1", "b#2"];

/// Guards against false positives of the checker.
#[test]
fn accepts_a_clean_history() {
    let events = history();

    let verdict = check(&events, &store(3, &ROWS));

    let expected = Verdict {
        acknowledged: 3,
        reads: 2,
        ..Verdict::default()
    };
    assert_eq!(verdict, expected);
}

/// Guards against a violation that the checker does not detect.
#[rstest]
#[case::lost_count(history(), store(2, &ROWS), |v: &Verdict| v.lost)]
#[case::lost_rows(history(), store(2, &[]), |v: &Verdict| v.lost)]
#[case::half_transaction(history(), store(3, &["b#1"]), |v: &Verdict| v.mixed)]
#[case::ran_after_not_run(history(), store(4, &ROWS), |v: &Verdict| v.false_not_run)]
#[case::ran_twice(history(), store(5, &ROWS), |v: &Verdict| v.duplicated)]
#[case::stale(
    [history(), vec![read(7, 2, (100, 101))]].concat(),
    store(3, &ROWS),
    |v: &Verdict| v.stale_reads
)]
#[case::crossed(
    [history(), vec![read(8, 3, (100, 101))]].concat(),
    store(3, &ROWS),
    |v: &Verdict| v.crossed
)]
#[case::phantom(
    [history(), vec![read(7, 9, (100, 101))]].concat(),
    store(3, &ROWS),
    |v: &Verdict| v.phantom_reads
)]
#[case::filed_after_not_run(
    [history(), vec![write("e", true, (100, 101), not_run())]].concat(),
    store(4, &["b#1", "b#2", "e#1", "e#2"]),
    |v: &Verdict| v.false_not_run
)]
fn finds_a_planted_fault(
    #[case] events: Vec<Event>,
    #[case] store: Store,
    #[case] count: fn(&Verdict) -> u64,
) {
    let verdict = check(&events, &store);

    assert!(count(&verdict) > 0, "{verdict:?}");
}

/// Guards against a violation reported for a request with an unknown outcome, which may or may not
/// have run.
#[rstest]
#[case::did_run(4)]
#[case::did_not_run(3)]
fn allows_either_for_unknown(#[case] count: i64) {
    let events = [history(), vec![write("e", false, (100, 101), unknown())]].concat();

    let verdict = check(&events, &store(count, &ROWS));

    assert_eq!(verdict.violations(), 0, "{verdict:?}");
    assert_eq!(verdict.unknown, 1);
}
