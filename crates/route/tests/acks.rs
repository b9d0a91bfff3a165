//! Bounds on the acknowledged positions, and their way into reports.

use std::time::{Duration, Instant};

use base::Position;
use route::{
    AckBounds,
    report::{ClusterView, GroupAcks, Report, ReportReceiver, ReportSender},
};
use rstest::rstest;

fn bounds(term: u64, least: u64, most: u64) -> AckBounds {
    AckBounds { term, least, most }
}

fn view(bounds: AckBounds, urgent: bool) -> ClusterView {
    let acks = GroupAcks {
        member: "a".into(),
        bounds,
        age: Duration::ZERO,
        urgent,
    };
    ClusterView {
        acks: [("g".to_owned(), acks)].into_iter().collect(),
        ..ClusterView::default()
    }
}

/// Guards against a lower bound that counts commits which were not acknowledged, and against one that
/// is taken from another term.
#[rstest]
#[case::known(Some(Position::new(2, 7)), bounds(2, 8, 9))]
#[case::exact(Some(Position::new(2, 8)), bounds(2, 9, 9))]
#[case::unknown(None, bounds(2, 0, 9))]
#[case::former_term(Some(Position::new(1, 8)), bounds(2, 0, 9))]
#[case::told_too_low(Some(Position::new(2, 12)), bounds(2, 13, 13))]
fn commit_lies_between_the_bounds(#[case] before: Option<Position>, #[case] expected: AckBounds) {
    assert_eq!(AckBounds::of_commit(before, Position::new(2, 9)), expected);
}

/// Guards against bounds that shrink, and against bounds of a term whose commits were given up.
#[rstest]
#[case::same_term(bounds(2, 3, 9), bounds(2, 5, 9))]
#[case::newer_term(bounds(3, 1, 2), bounds(3, 1, 2))]
#[case::older_term(bounds(1, 8, 30), bounds(2, 5, 7))]
fn merged_bounds_hold_for_both(#[case] other: AckBounds, #[case] expected: AckBounds) {
    assert_eq!(bounds(2, 5, 7).merge(other), expected);
    assert_eq!(other.merge(bounds(2, 5, 7)), expected);
}

/// Guards against bounds sent with every renewal, and against a change of primary that does not learn
/// the last ones.
#[rstest]
#[case::calm(Duration::from_millis(1_900), false, 0)]
#[case::later(Duration::from_millis(2_100), false, 1)]
#[case::change_of_primary(Duration::from_millis(10), true, 1)]
fn bounds_alone_are_delayed_unless_the_primary_changes(
    #[case] later: Duration,
    #[case] urgent: bool,
    #[case] sent: usize,
) {
    let (mut sender, mut receiver) = (ReportSender::default(), ReportReceiver::default());
    let now = Instant::now();
    receiver
        .receive(sender.next_report(now, &view(bounds(2, 5, 7), false)))
        .unwrap();

    let report = sender.next_report(now + later, &view(bounds(2, 6, 8), urgent));

    assert_eq!(report.acks.len(), sent);
    let received = receiver.receive(report).unwrap();
    let expected = if sent == 1 {
        bounds(2, 6, 8)
    } else {
        bounds(2, 5, 7)
    };
    assert_eq!(received.acks["g"].bounds, expected);
}

/// Guards against a group that is confused with another one: bounds with an unknown number.
#[test]
fn bounds_with_an_unknown_number_are_not_used() {
    let mut receiver = ReportReceiver::default();
    let report = Report {
        sequence: 1,
        acks: vec![(4, bounds(1, 2, 3), Duration::ZERO)],
        ..Report::default()
    };

    assert_eq!(receiver.receive(report), None);
}
