//! Ends of shares.

use std::time::{Duration, Instant};

use rate::{Ask, Call, DEPOSED_WITHIN, Holder, Ledger, Share, TERM};
use rstest::rstest;

const LIMIT: Share = Share {
    rate: 300_000,
    depth: 300_000,
};

fn ledger(now: Instant) -> Ledger {
    let mut ledger = Ledger::new(1, None::<[_; 0]>, now);
    ledger.configure([(7, LIMIT)], now);
    ledger
}

fn call(sequence: u64) -> Call {
    let ask = Ask {
        org: 7,
        demand: 100_000,
        ..Ask::default()
    };
    Call {
        sequence,
        leader: 0,
        full: true,
        asks: vec![ask],
    }
}

/// Guards against a former leader that lends an ended share to others while its holder has extended
/// it by an answer of the new leader.
#[rstest]
#[case::term_over(TERM, true)]
#[case::election_over(TERM + DEPOSED_WITHIN, false)]
fn ended_share_is_lent_an_election_later(#[case] after: Duration, #[case] counts: bool) {
    let start = Instant::now();
    let mut ledger = ledger(start);
    let names = ["a", "b"].map(|name| (name.to_owned(), 1));
    let first = ledger.lend(&names[0], &call(1), start).unwrap();
    let held = first.grants[0].share;

    let second = ledger.lend(&names[1], &call(1), start + after).unwrap();

    let lent = second.grants.first().map(|grant| grant.share);
    assert_eq!(lent == Some(held), !counts);
}

/// Guards against a process that was frozen past the end of its share and extends it by an answer
/// that came meanwhile.
#[rstest]
fn answer_after_the_end_of_a_share_is_dropped() {
    let start = Instant::now();
    let (mut ledger, mut holder) = (ledger(start), Holder::default());
    let name = ("a".to_owned(), 1);
    holder.admit(7, start);
    let answer = ledger.lend(&name, &holder.next_call(start), start).unwrap();
    holder.apply(&answer, start);
    let later = start + TERM * 9 / 10;
    let answer = ledger.lend(&name, &holder.next_call(later), later).unwrap();

    let thawed = start + TERM + Duration::from_secs(1);
    holder.apply(&answer, thawed);

    assert_eq!(holder.shares(thawed).count(), 0);
}
