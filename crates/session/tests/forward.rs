//! Requests that another entry process did not answer.

use rstest::rstest;
use session::{
    Command, StatementKind,
    forward::{UnansweredEffect, classify_unanswered},
    statement::TransactionState,
};

fn named() -> Command {
    Command::Execute {
        name: "mine".to_owned(),
        arguments: "k1".to_owned(),
    }
}

/// Guards against a promise that a write is not kept although it may be, and against a read that is
/// told as if it could be in force.
#[rstest]
#[case::read(
    Command::Run(StatementKind::Read),
    Some(StatementKind::Read),
    TransactionState::Idle,
    UnansweredEffect::ReadOnly
)]
#[case::write(
    Command::Run(StatementKind::Write),
    Some(StatementKind::Write),
    TransactionState::Idle,
    UnansweredEffect::Unknown
)]
#[case::named_read(
    named(),
    Some(StatementKind::Read),
    TransactionState::Idle,
    UnansweredEffect::ReadOnly
)]
#[case::unknown_name(named(), None, TransactionState::Idle, UnansweredEffect::Unknown)]
#[case::begin(Command::Begin { read_only: false }, None, TransactionState::Idle, UnansweredEffect::Discarded)]
#[case::within(
    Command::Run(StatementKind::Write),
    Some(StatementKind::Write),
    TransactionState::Open,
    UnansweredEffect::Discarded
)]
#[case::commit(
    Command::Commit,
    None,
    TransactionState::Open,
    UnansweredEffect::Unknown
)]
#[case::commit_of_a_failed_one(
    Command::Commit,
    None,
    TransactionState::Failed,
    UnansweredEffect::Discarded
)]
#[case::rollback(
    Command::Rollback,
    None,
    TransactionState::Open,
    UnansweredEffect::Discarded
)]
fn verdict_tells_no_more_than_is_known(
    #[case] command: Command,
    #[case] kind: Option<StatementKind>,
    #[case] state: TransactionState,
    #[case] expected: UnansweredEffect,
) {
    assert_eq!(classify_unanswered(&command, kind, state), expected);
}
