//! Replicated state machine: compare-and-set, resent changes, snapshots.

mod common;

use std::collections::BTreeSet;

use common::configure;
use control::machine::{
    Answer, Command, GroupState, Member, MembershipChange, PlannedChange, Record, State,
};
use proptest::prelude::*;
use rstest::rstest;

fn record(state: GroupState, term: u64) -> Record {
    let member = |name: &str| Member {
        member: name.to_owned(),
        store: format!("store-{name}"),
        address: "127.0.0.1:1".to_owned(),
        zone: "z".to_owned(),
        region: "r".to_owned(),
    };
    Record {
        group: "g".to_owned(),
        term,
        state,
        next: 0,
        primary: "a".to_owned(),
        members: vec![member("a"), member("b"), member("c")],
        confirmations: 2,
        planned: None,
        removed: BTreeSet::new(),
        uncovered: 0,
        abandoned: BTreeSet::new(),
        stopping: BTreeSet::new(),
        base: None,
        former: None,
        version: 0,
    }
}

fn change_record(base: u64, record: Record) -> Command {
    Command::Record { base, record }
}

/// Guards against two concurrent changes that are both reported as in force.
#[test]
fn one_of_two_changes_on_same_version_wins() {
    let mut state = State::default();

    let first = state.apply(1, configure("one", 0, "a = 1"));
    let second = state.apply(2, configure("two", 0, "a = 2"));

    assert!(matches!(first, Answer::Done { version: 1, .. }));
    assert_eq!(second, Answer::Conflict { version: 1 });
    assert_eq!(state.config.document, "a = 1");
    assert_eq!(state.history.len(), 1);
}

/// Guards against a change that is applied twice, or reverts a newer one, because it is resent
/// after its answer was lost.
#[test]
fn resent_change_gets_first_answer() {
    let mut state = State::default();
    let first = state.apply(1, configure("one", 0, "a = 1"));
    let lost = state.apply(2, configure("two", 0, "a = 2"));
    state.apply(3, configure("three", 1, "a = 3"));

    let again = state.apply(4, configure("one", 0, "a = 1"));
    let lost_again = state.apply(5, configure("two", 0, "a = 2"));

    assert_eq!(again, first);
    assert_eq!(lost_again, lost);
    assert_eq!(
        (state.config.version, state.config.document.as_str()),
        (2, "a = 3")
    );
}

/// Guards against memory that grows with the number of changes, and against the loss of recent
/// change ids.
#[test]
fn last_thousand_change_ids_are_kept() {
    let mut state = State::default();
    for i in 0..1_500 {
        state.apply(i + 1, configure(&format!("c{i}"), i, "a = 1"));
    }

    let recent = state.apply(2_000, configure("c501", 501, "a = 1"));

    assert_eq!(state.changes.len(), 1_000);
    assert!(matches!(recent, Answer::Done { version: 502, .. }));
    assert_eq!(state.history.len(), 1_500);
}

/// Guards against a late proposal of a former leader that overwrites the record of the new leader.
#[test]
fn record_changes_only_from_version_seen() {
    let mut state = State::default();
    state.apply(1, change_record(0, record(GroupState::Stable, 1)));
    state.apply(2, change_record(1, record(GroupState::Fencing, 1)));

    let late = state.apply(3, change_record(1, record(GroupState::Stable, 1)));

    assert_eq!(late, Answer::Conflict { version: 2 });
    assert_eq!(state.records["g"].state, GroupState::Fencing);
    assert_eq!((state.version, state.fenced), (2, 2));
}

/// Guards against reading too few members after the confirmations of a service were raised.
#[test]
fn record_keeps_fewest_confirmations() {
    let mut state = State::default();
    let mut first = record(GroupState::Stable, 1);
    first.confirmations = 3;
    state.apply(1, change_record(0, first.clone()));

    state.apply(2, configure("lower", 0, "a = 1"));
    first.version = 1;
    state.apply(3, change_record(1, first));

    assert_eq!(state.records["g"].confirmations, 2);
    assert_eq!(state.records["g"].read_quorum(), 2);
}

/// Guards against a planned change that interferes with another one or names an unknown member.
#[rstest]
#[case::unknown_member(GroupState::Stable, Some("x"))]
#[case::while_fencing(GroupState::Fencing, None)]
#[case::while_promoting(GroupState::Promoting, None)]
fn impossible_plan_is_refused(#[case] now: GroupState, #[case] member: Option<&str>) {
    let mut state = State::default();
    state.apply(1, change_record(0, record(now, 1)));
    let before = state.records.clone();

    let planned = PlannedChange {
        change: "p".to_owned(),
        member: member.map(str::to_owned),
    };
    let answer = state.apply(
        2,
        Command::Plan {
            group: "g".to_owned(),
            planned,
        },
    );

    assert!(matches!(answer, Answer::Refused { .. }));
    assert_eq!(state.records, before);
}

fn removal(change: &str, member: &str) -> Command {
    Command::Membership(MembershipChange {
        group: "g".to_owned(),
        member: member.to_owned(),
        change: change.to_owned(),
        remove: true,
        confirmations: 2,
        config: 0,
    })
}

/// Guards against a removal that is applied twice because it is resent after its answer was lost,
/// also after a restart. Otherwise it would also revert the order that allowed the member again.
#[test]
fn resent_removal_gets_first_answer() {
    let mut state = State::default();
    state.apply(1, change_record(0, record(GroupState::Stable, 1)));
    let first = state.apply(2, removal("one", "c"));
    let mut restored = State::default();
    restored.restore(&state.snapshot());
    let Command::Membership(order) = removal("two", "c") else {
        unreachable!("removal makes a membership order")
    };
    let allowed = MembershipChange {
        remove: false,
        ..order
    };
    restored.apply(3, Command::Membership(allowed));

    let again = restored.apply(4, removal("one", "c"));

    assert_eq!(
        first,
        Answer::Done {
            version: 2,
            digest: String::new()
        }
    );
    assert_eq!(again, first);
    assert_eq!(restored.records["g"].version, 3);
    assert!(restored.records["g"].removed.is_empty());
}

/// Guards against concurrent removals that leave fewer members than a write needs.
#[test]
fn one_of_two_removals_wins() {
    let mut state = State::default();
    state.apply(1, change_record(0, record(GroupState::Stable, 1)));

    let first = state.apply(2, removal("anna", "b"));
    let second = state.apply(3, removal("ben", "c"));
    let same = state.apply(4, removal("ben-again", "b"));

    assert!(matches!(first, Answer::Done { version: 2, .. }));
    assert!(matches!(second, Answer::Refused { .. }));
    assert_eq!(same, first);
    assert_eq!(state.records["g"].members.len(), 2);
}

/// Guards against a promotion that reads only one member although the removed one holds the second
/// copy of an acknowledged write.
#[test]
fn removed_member_counts_for_promotion() {
    let mut state = State::default();
    state.apply(1, change_record(0, record(GroupState::Stable, 1)));

    state.apply(2, removal("one", "c"));

    assert_eq!(state.records["g"].read_quorum(), 2);
}

/// Guards against the removal of a primary or an unknown member, and against removals during a
/// change of primary or after a change of the configuration whose confirmations were checked.
#[rstest]
#[case::primary(GroupState::Stable, "a", 0)]
#[case::unknown(GroupState::Stable, "x", 0)]
#[case::while_fencing(GroupState::Fencing, "b", 0)]
#[case::other_configuration(GroupState::Stable, "b", 1)]
fn impossible_removal_is_refused(
    #[case] now: GroupState,
    #[case] member: &str,
    #[case] changes: u64,
) {
    let mut state = State::default();
    state.apply(1, change_record(0, record(now, 1)));
    (0..changes).for_each(|i| {
        state.apply(2 + i, configure("raise", i, "a = 1"));
    });
    let before = state.records.clone();

    let answer = state.apply(9, removal("one", member));

    assert!(matches!(answer, Answer::Refused { .. }));
    assert_eq!(state.records, before);
}

/// Guards against a panic or a change caused by bytes that are not a command.
#[test]
fn garbage_is_refused() {
    let mut state = State::default();

    let answer = Answer::decode(&state.execute(7, b"\xff{"));

    assert!(matches!(answer, Answer::Refused { .. }));
    assert_eq!(state.applied, 7);
}

proptest! {
    /// Guards against a host whose state differs from the others after a restart from a snapshot.
    #[test]
    fn snapshot_restores_same_state(
        commands in proptest::collection::vec((0_u8..4, 0_u64..6, "[a-z\"\\\\é\n]{0,8}"), 0..40),
        cut in 0_usize..40,
    ) {
        let commands: Vec<_> = commands
            .into_iter()
            .map(|(kind, base, text)| match kind {
                0 => configure(&format!("c{base}"), base, &text),
                1 => change_record(base, record(GroupState::Stable, base)),
                2 => change_record(base, record(GroupState::Fencing, base)),
                _ => Command::Plan {
                    group: "g".to_owned(),
                    planned: PlannedChange { change: text, member: None },
                },
            })
            .map(|command| command.encode())
            .collect();
        let mut whole = State::default();
        let mut restored = State::default();
        for (i, command) in commands.iter().enumerate() {
            let index = u64::try_from(i).unwrap() + 1;
            if i == cut {
                let bytes = restored.snapshot();
                restored = State::default();
                restored.restore(&bytes);
            }
            prop_assert_eq!(whole.execute(index, command), restored.execute(index, command));
        }
        prop_assert_eq!(whole.snapshot(), restored.snapshot());
        prop_assert_eq!(whole, restored);
    }
}
