//! Choices of a primary that respect what was acknowledged, whatever the record counts.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use base::Position;
use control::{
    failover::{Completeness, ReachCounts},
    guard::{Coverage, Guard, MISSING_TIMEOUT},
    leases::{LEASE_DURATION, Leases, LogState},
    machine::{GroupState, Member, Record},
};
use route::{AckBounds, Status};
use rstest::rstest;

fn member(name: &str) -> Member {
    Member {
        member: name.to_owned(),
        store: format!("store-{name}"),
        address: "127.0.0.1:1".to_owned(),
        zone: "z".to_owned(),
        region: "r".to_owned(),
    }
}

/// Record of a group with the failed primary `a`.
fn record(members: &[&str], stopping: &[&str]) -> Record {
    Record {
        group: "g".to_owned(),
        term: 1,
        state: GroupState::Fencing,
        next: 2,
        primary: "a".to_owned(),
        members: members.iter().map(|name| member(name)).collect(),
        confirmations: 2,
        planned: None,
        removed: BTreeSet::new(),
        uncovered: 0,
        abandoned: BTreeSet::new(),
        stopping: stopping.iter().map(|name| (*name).to_owned()).collect(),
        base: None,
        former: None,
        version: 1,
    }
}

fn status(name: &str, offset: u64) -> Status {
    Status {
        member: name.to_owned(),
        store: format!("store-{name}"),
        primary: name == "a",
        position: Position::new(1, offset),
        following: String::new(),
    }
}

fn guard(least: u64, most: u64, complete: bool, elapsed: Duration) -> Guard {
    let term = 1;
    Guard {
        acks: Some(AckBounds { term, least, most }),
        complete,
        elapsed,
        open: true,
    }
}

fn choose(guard: &Guard, record: &Record, statuses: &[Status]) -> Option<String> {
    let choice = guard.choose(record, statuses, &ReachCounts::default())?;
    Some(choice.0)
}

/// Guards against a choice that lacks a write which may have been acknowledged, and against a group without
/// a primary when the last copy of one is lost.
#[rstest]
#[case::all(9, Duration::ZERO, true)]
#[case::uncertain(8, MISSING_TIMEOUT / 2, false)]
#[case::uncertain_for_long(8, MISSING_TIMEOUT, true)]
#[case::missing(7, MISSING_TIMEOUT / 2, false)]
#[case::missing_for_long(7, MISSING_TIMEOUT, true)]
fn position_is_allowed_by_what_it_lacks(
    #[case] offset: u64,
    #[case] elapsed: Duration,
    #[case] allowed: bool,
) {
    let guard = guard(8, 9, true, elapsed);

    assert_eq!(guard.allows(Position::new(1, offset)), allowed);
}

/// Guards against a group that waits again for writes of an earlier term that were given up.
#[rstest]
#[case::given_up(Some(7), Coverage::Full)]
#[case::unknown(None, Coverage::Missing)]
fn writes_given_up_in_an_earlier_term_do_not_count(
    #[case] base: Option<u64>,
    #[case] expected: Coverage,
) {
    let record = Record {
        term: 2,
        base,
        ..record(&["a", "b"], &[])
    };
    let acks = AckBounds {
        term: 1,
        least: 8,
        most: 9,
    };

    let guard = Guard::new(&record, Some(acks), true, Duration::ZERO);

    assert_eq!(guard.coverage(Position::new(2, 7)), expected);
}

/// Guards against a primary that is left out although only its answer holds an acknowledged write, and
/// against one that is chosen again and again for a write that nobody was told of.
#[rstest]
#[case::missing(7, MISSING_TIMEOUT, "a")]
#[case::uncertain(8, MISSING_TIMEOUT / 2, "a")]
#[case::uncertain_for_long(8, MISSING_TIMEOUT, "b")]
#[case::held(9, Duration::ZERO, "b")]
fn primary_is_chosen_again_if_only_it_holds_acknowledged_writes(
    #[case] others: u64,
    #[case] elapsed: Duration,
    #[case] chosen: &str,
) {
    let record = record(&["a", "b", "c"], &[]);
    let statuses = [status("a", 10), status("b", others), status("c", others)];

    let choice = choose(&guard(8, 9, true, elapsed), &record, &statuses);

    assert_eq!(choice.as_deref(), Some(chosen));
}

/// Guards against the loss of writes that only a silent stopping member has, and against a group that
/// waits for one that may never answer although another holds all writes.
#[rstest]
#[case::covered(9, true, Duration::ZERO, Some("b"))]
#[case::not_all_reported(9, false, Duration::ZERO, None)]
#[case::uncertain(8, true, Duration::ZERO, None)]
#[case::missing(7, true, MISSING_TIMEOUT / 2, None)]
#[case::for_long(9, false, MISSING_TIMEOUT, Some("b"))]
fn silent_stopping_member_counts_unless_all_writes_are_held(
    #[case] offset: u64,
    #[case] complete: bool,
    #[case] elapsed: Duration,
    #[case] chosen: Option<&str>,
) {
    let record = record(&["a", "b", "c"], &["c"]);

    let choice = choose(
        &guard(8, 9, complete, elapsed),
        &record,
        &[status("b", offset)],
    );

    assert_eq!(choice.as_deref(), chosen);
}

/// Guards against a group without a primary after a member that ended was dropped: nobody can show that
/// another one holds what it confirmed.
#[rstest]
#[case::covered(9, true, Duration::ZERO, Some("b"))]
#[case::not_all_reported(9, false, MISSING_TIMEOUT / 2, None)]
#[case::for_long(9, false, MISSING_TIMEOUT, Some("b"))]
fn ended_member_counts_for_a_limited_time(
    #[case] offset: u64,
    #[case] complete: bool,
    #[case] elapsed: Duration,
    #[case] chosen: Option<&str>,
) {
    let record = Record {
        uncovered: 1,
        ..record(&["a", "b"], &[])
    };

    let choice = choose(
        &guard(8, 9, complete, elapsed),
        &record,
        &[status("b", offset)],
    );

    assert_eq!(choice.as_deref(), chosen);
}

/// Guards against a primary that stops at once: entry processes don't use it, and it has to hand over.
#[test]
fn member_that_stays_is_preferred_to_a_stopping_one() {
    let record = record(&["a", "b", "c"], &["b"]);
    let guard = guard(9, 9, true, Duration::ZERO);

    let choice = choose(&guard, &record, &[status("b", 9), status("c", 9)]);

    assert_eq!(choice.as_deref(), Some("c"));
}

/// Guards against a silent member that counts as stopping without having announced it.
#[test]
fn silent_member_that_did_not_announce_its_stop_is_waited_for() {
    let record = record(&["a", "b", "c"], &[]);
    let guard = guard(8, 9, true, MISSING_TIMEOUT);

    assert_eq!(choose(&guard, &record, &[status("b", 9)]), None);
}

/// Guards against reads that end early while an acknowledged write is missing from the answers.
#[rstest]
#[case::held(9, true)]
#[case::missing(7, false)]
fn reads_go_on_while_an_acknowledged_write_is_missing(#[case] offset: u64, #[case] enough: bool) {
    let record = Record {
        confirmations: 3,
        ..record(&["a", "b", "c", "d"], &[])
    };
    let statuses = [status("b", offset), status("c", 7)];

    let found = guard(8, 9, true, Duration::ZERO).completeness(&record, &statuses);

    assert_eq!(found != Completeness::TooFew, enough);
}

/// Guards against a release that counts as a report: a grant that expires, or whose holder does not
/// report, leaves open what was acknowledged.
#[rstest]
#[case::released(true, Duration::from_secs(1), false)]
#[case::expired(false, LEASE_DURATION, true)]
fn grant_that_ends_without_a_release_is_noted(
    #[case] released: bool,
    #[case] later: Duration,
    #[case] noted: bool,
) {
    let start = Instant::now();
    let now = start + 2 * LEASE_DURATION;
    let log = LogState {
        current: true,
        ..LogState::default()
    };
    let (mut leases, holder) = (Leases::new(start), ("e".to_owned(), 1));
    assert!(leases.renew(now, holder.clone(), 4, log));

    if released {
        leases.release(&holder, 5);
    }
    leases.expire(now + later);

    assert_eq!(leases.unreported_at() > start, noted);
}

/// Guards against the loss of all writes: a new replica copies the log from the primary of a new term,
/// which fails, and is preferred for its term to members that hold every acknowledged write.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::for_long(MISSING_TIMEOUT)]
fn member_with_all_acknowledged_writes_precedes_newer_term(#[case] elapsed: Duration) {
    let failed = Record {
        term: 2,
        next: 3,
        primary: "b".to_owned(),
        ..record(&["a", "b", "c", "d"], &[])
    };
    let copying = Status {
        position: Position::new(2, 3),
        ..status("d", 3)
    };
    let statuses = [status("a", 12), status("c", 12), copying];

    let choice = choose(&guard(12, 12, true, elapsed), &failed, &statuses);

    assert_ne!(choice.as_deref(), Some("d"));
}
