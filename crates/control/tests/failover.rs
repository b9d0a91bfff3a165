//! Failure detection and the choice of the new primary.

use std::time::{Duration, Instant};

use base::Position;
use control::{
    failover::{
        Completeness, ReachCounts, Verdict, assess_primary, choose_primary, completeness,
        count_reach, demotion_cause, needed_order, with_renamed_primary,
    },
    machine::{GroupState, Member, PlannedChange, Record},
    sighting::{Health, Observer, Observers, Sighting},
    upstream::Order,
};
use route::Status;
use rstest::rstest;

fn record() -> Record {
    let member = |name: &str, zone: &str, region: &str| Member {
        member: name.to_owned(),
        store: format!("store-{name}"),
        address: format!("127.0.0.1:{}", name.as_bytes()[0]),
        zone: zone.to_owned(),
        region: region.to_owned(),
    };
    Record {
        group: "g".to_owned(),
        term: 3,
        state: GroupState::Stable,
        next: 0,
        primary: "a".to_owned(),
        members: vec![
            member("a", "z1", "r1"),
            member("b", "z3", "r2"),
            member("c", "z2", "r1"),
        ],
        confirmations: 2,
        planned: None,
        removed: std::collections::BTreeSet::new(),
        uncovered: 0,
        abandoned: std::collections::BTreeSet::new(),
        stopping: std::collections::BTreeSet::new(),
        base: None,
        former: None,
        version: 7,
    }
}

/// Observers from (zone, health of the primary, milliseconds of silence, age of the report in
/// milliseconds).
fn observers(seen: &[(&str, Health, u64, u64)]) -> (Observers, Instant) {
    let now = Instant::now();
    let observer = |zone: &str, health, since, age| {
        let sighting = |health, since| Sighting {
            health,
            since: Duration::from_millis(since),
            position: Position::new(3, 10),
            primary: false,
        };
        Observer {
            zone: zone.to_owned(),
            reported_at: now.checked_sub(Duration::from_millis(age)).unwrap(),
            stopping: false,
            members: [
                ("a".to_owned(), sighting(health, since)),
                ("b".to_owned(), sighting(Health::Ok, 0)),
                ("c".to_owned(), sighting(Health::Ok, 0)),
            ]
            .into_iter()
            .collect(),
        }
    };
    let seen = seen.iter().enumerate();
    let observers = seen.map(|(i, (zone, health, since, age))| {
        (format!("e{i}"), observer(zone, *health, *since, *age))
    });
    (observers.collect(), now)
}

use Health::{Ok as Fine, Refused, Silent};

/// Guards against a failover without a reason, and against one that does not happen.
#[rstest]
#[case::all_fine(&[("z1", Fine, 0, 0), ("z2", Fine, 0, 0), ("z3", Fine, 0, 0)], false)]
#[case::refused_at_once(&[("z1", Refused, 10, 0), ("z2", Refused, 10, 0), ("z3", Fine, 0, 0)], true)]
#[case::silent_long(&[("z1", Silent, 1_500, 0), ("z2", Silent, 1_600, 0), ("z3", Fine, 0, 0)], true)]
#[case::silent_short(&[("z1", Silent, 1_499, 0), ("z2", Silent, 1_499, 0), ("z3", Silent, 900, 0)], false)]
#[case::one_cut_off(&[("z1", Silent, 9_000, 0), ("z2", Fine, 0, 0), ("z3", Fine, 0, 0)], false)]
#[case::half(&[("z1", Refused, 9, 0), ("z1", Refused, 9, 0), ("z2", Fine, 0, 0), ("z3", Fine, 0, 0)], false)]
#[case::one_zone_of_two(&[("z1", Silent, 9_000, 0), ("z1", Silent, 9_000, 0), ("z2", Fine, 0, 0)], false)]
#[case::one_zone_only(&[("z1", Silent, 9_000, 0), ("z1", Silent, 9_000, 0), ("z1", Fine, 0, 0)], true)]
#[case::others_gone_silent(&[("z1", Silent, 9_000, 0), ("z2", Fine, 0, 1_600), ("z3", Fine, 0, 1_600)], false)]
#[case::old_reports(&[("z1", Refused, 9, 1_600), ("z2", Refused, 9, 1_600)], false)]
#[case::only_observer(&[("z1", Refused, 9, 0)], true)]
fn primary_fails_by_majority(#[case] seen: &[(&str, Health, u64, u64)], #[case] failed: bool) {
    let (observers, now) = observers(seen);

    let verdict = assess_primary(now, &record(), &observers);

    assert_eq!(
        matches!(verdict, Verdict::Failed { .. }),
        failed,
        "{verdict:?}"
    );
}

/// Guards against a failover that does not let more observers reach the primary.
#[rstest]
#[case::none_reached(&["b", "c"])]
#[case::too_few_readable(&["c"])]
fn no_failover_unless_it_serves_more(#[case] lost: &[&str]) {
    let (mut observers, now) = observers(&[("z1", Refused, 9, 0), ("z2", Refused, 9, 0)]);
    for observer in observers.values_mut() {
        for member in lost {
            observer.members.get_mut(*member).unwrap().health = Refused;
        }
    }

    assert_eq!(assess_primary(now, &record(), &observers), Verdict::Stay);
}

/// Guards against a second change of primary while one is in progress.
#[test]
fn changing_group_is_not_assessed() {
    let (observers, now) = observers(&[("z1", Refused, 9, 0), ("z2", Refused, 9, 0)]);
    let record = Record {
        state: GroupState::Fencing,
        ..record()
    };

    assert_eq!(assess_primary(now, &record, &observers), Verdict::Stay);
}

fn status(member: &str, term: u64, offset: u64) -> Status {
    Status {
        member: member.to_owned(),
        store: format!("store-{member}"),
        primary: member == "a",
        position: Position::new(term, offset),
        following: String::new(),
    }
}

/// Guards against the loss of an acknowledged write because a member that lacks it is chosen.
#[rstest]
#[case::too_few(&[("b", 3, 10)], None)]
#[case::most_advanced(&[("b", 3, 12), ("c", 3, 10)], Some("b"))]
#[case::term_before_offset(&[("b", 2, 99), ("c", 3, 10)], Some("c"))]
#[case::nearest_among_equals(&[("b", 3, 10), ("c", 3, 10)], Some("c"))]
#[case::old_primary_left_out(&[("a", 3, 11), ("b", 3, 10), ("c", 3, 9)], Some("b"))]
#[case::old_primary_needed(&[("a", 3, 11), ("b", 3, 10)], Some("a"))]
fn most_advanced_member_is_chosen(
    #[case] answers: &[(&str, u64, u64)],
    #[case] expected: Option<&str>,
) {
    let statuses: Vec<_> = answers.iter().map(|(m, t, o)| status(m, *t, *o)).collect();

    assert_eq!(
        choose_primary(&record(), &statuses, &ReachCounts::default()).as_deref(),
        expected
    );
}

/// Guards against the choice of a member that fewer observers reach than another one with the same
/// data. A more advanced member comes first.
#[rstest]
#[case::equal_data(10, "b")]
#[case::less_data(9, "c")]
fn most_reached_among_equals_is_chosen(#[case] offset: u64, #[case] expected: &str) {
    let (mut observers, now) = observers(&[("z1", Refused, 9, 0), ("z2", Refused, 9, 0)]);
    let lost = observers.get_mut("e0").unwrap().members.get_mut("c");
    lost.unwrap().health = Refused;
    let reach = count_reach(now, &record(), &observers);
    let statuses = [status("b", 3, offset), status("c", 3, 10)];

    let choice = choose_primary(&record(), &statuses, &reach);

    assert_eq!(choice.as_deref(), Some(expected));
}

/// Guards against counting a member that lost its disk.
#[test]
fn answer_of_other_store_does_not_count() {
    let mut statuses = [status("b", 3, 10), status("c", 3, 12)];
    statuses[1].store = "new".to_owned();

    assert_eq!(
        choose_primary(&record(), &statuses, &ReachCounts::default()),
        None
    );
}

/// Guards against a planned change that loses writes which its target does not hold yet.
#[rstest]
#[case::caught_up(11, "b")]
#[case::behind(10, "a")]
fn planned_target_is_chosen_only_when_caught_up(#[case] offset: u64, #[case] expected: &str) {
    let planned = PlannedChange {
        change: "p".to_owned(),
        member: Some("b".to_owned()),
    };
    let record = Record {
        planned: Some(planned),
        ..record()
    };
    let statuses = [
        status("a", 3, 11),
        status("b", 3, offset),
        status("c", 3, 9),
    ];

    assert_eq!(
        choose_primary(&record, &statuses, &ReachCounts::default()).as_deref(),
        Some(expected)
    );
}

/// Guards against a recorded primary that answers but lost its role, and against fencing a healthy
/// one.
#[rstest]
#[case::good("store-a", true, 3, false)]
#[case::lost_disk("new", true, 3, true)]
#[case::restarted_as_replica("store-a", false, 3, true)]
#[case::older_term("store-a", true, 2, true)]
fn demoted_primary_is_detected(
    #[case] store: &str,
    #[case] primary: bool,
    #[case] term: u64,
    #[case] expected: bool,
) {
    let status = Status {
        store: store.to_owned(),
        primary,
        ..status("a", term, 10)
    };

    assert_eq!(demotion_cause(&record(), &status).is_some(), expected);
}

/// Guards against a former primary that continues to serve, and against orders to a primary of a
/// newer term.
#[rstest]
#[case::old_primary(true, 2, "", true)]
#[case::follows(false, 3, "127.0.0.1:97", false)]
#[case::follows_another(false, 3, "127.0.0.1:98", true)]
#[case::older_term(false, 2, "127.0.0.1:97", true)]
#[case::newer_term(true, 4, "", false)]
fn member_not_following_primary_is_ordered_to_follow(
    #[case] primary: bool,
    #[case] term: u64,
    #[case] following: &str,
    #[case] expected: bool,
) {
    let status = Status {
        primary,
        following: following.to_owned(),
        ..status("b", term, 10)
    };

    let order = needed_order(&record(), &status, false);

    let follow = Order::Follow {
        primary: "127.0.0.1:97".to_owned(),
        term: 3,
    };
    assert_eq!(order, expected.then_some(follow));
}

/// Guards against orders to replicas that find the primary themselves, and against a former primary
/// that continues to serve.
#[rstest]
#[case::former_primary(true, 2, true)]
#[case::replica(false, 2, false)]
#[case::replica_of_term(false, 3, false)]
#[case::newer_primary(true, 4, false)]
fn only_former_primary_needs_order_where_replicas_find_it(
    #[case] primary: bool,
    #[case] term: u64,
    #[case] expected: bool,
) {
    let status = Status {
        primary,
        following: String::new(),
        ..status("b", term, 10)
    };

    let order = needed_order(&record(), &status, true);

    assert_eq!(order.is_some(), expected);
}

/// Guards against a choice before the required members have answered, and against a wait for a
/// member that the choice does not need.
#[rstest]
#[case::failure_needs_others(None, &["a", "b"], Completeness::TooFew)]
#[case::failure_without_old_primary(None, &["b", "c"], Completeness::All)]
#[case::planned_needs_target(Some("c"), &["a", "b"], Completeness::TooFew)]
#[case::planned_needs_old_primary(Some("c"), &["b", "c"], Completeness::TooFew)]
#[case::planned_without_third(Some("c"), &["a", "c"], Completeness::Enough)]
#[case::planned_with_all(Some("c"), &["a", "b", "c"], Completeness::All)]
fn waits_for_needed_answers(
    #[case] target: Option<&str>,
    #[case] members: &[&str],
    #[case] expected: Completeness,
) {
    let planned = target.map(|name| PlannedChange {
        change: "move".to_owned(),
        member: Some(name.to_owned()),
    });
    let record = Record {
        planned,
        ..record()
    };
    let status = |name: &&str| Status {
        member: (*name).to_owned(),
        store: format!("store-{name}"),
        primary: false,
        position: Position::new(3, 10),
        following: String::new(),
    };
    let statuses: Vec<_> = members.iter().map(status).collect();

    let found = completeness(&record, &statuses);

    assert_eq!(found, expected);
}

/// Guards against a group that stays without a primary, and against a database that replaces the
/// primary without holding its log.
#[rstest]
#[case::holds_all("a", 3, 12, true)]
#[case::equal_to_others("a", 3, 10, true)]
#[case::holds_less_than_another("a", 3, 9, false)]
#[case::empty("a", 0, 0, false)]
#[case::log_of_an_older_term("a", 2, 99, false)]
#[case::log_of_a_newer_term("a", 4, 1, false)]
#[case::at_the_address_of_a_replica("b", 3, 12, false)]
fn renamed_primary_is_accepted_only_with_its_log(
    #[case] replaced: &str,
    #[case] term: u64,
    #[case] offset: u64,
    #[case] accepted: bool,
) {
    let record = record();
    let renamed = Member {
        member: "d".to_owned(),
        store: "store-d".to_owned(),
        ..record.member(replaced).unwrap().clone()
    };
    let statuses = [status("c", 3, 10), status("d", term, offset)];

    let updated = with_renamed_primary(&record, &renamed, &statuses);

    let choice =
        updated.and_then(|record| choose_primary(&record, &statuses, &ReachCounts::default()));
    assert_eq!(choice.is_some(), accepted);
    assert_eq!(
        choose_primary(&record, &statuses, &ReachCounts::default()),
        None
    );
}

/// Guards against two databases that count as the same member.
#[test]
fn renamed_primary_does_not_count_beside_primary() {
    let record = record();
    let renamed = Member {
        member: "d".to_owned(),
        store: "store-d".to_owned(),
        ..record.member("a").unwrap().clone()
    };
    let statuses = [status("a", 3, 10), status("d", 3, 10)];

    assert_eq!(with_renamed_primary(&record, &renamed, &statuses), None);
}
