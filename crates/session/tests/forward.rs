//! Effects of forwarded requests that got no response.

use rstest::rstest;
use session::{
    Command, StatementKind,
    forward::{UnansweredEffect, classify_unanswered},
    statement::TransactionState,
};

fn execute() -> Command {
    Command::Execute {
        name: "mine".into(),
        arguments: Some("k1".into()),
    }
}

/// Guards against reporting a write as rolled back although it may have been committed, and against
/// reporting a read as in doubt.
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
#[case::execute_read(
    execute(),
    Some(StatementKind::Read),
    TransactionState::Idle,
    UnansweredEffect::ReadOnly
)]
#[case::execute_of_unknown_kind(execute(), None, TransactionState::Idle, UnansweredEffect::Unknown)]
#[case::begin(
    Command::Begin { read_only: false },
    None,
    TransactionState::Idle,
    UnansweredEffect::Discarded
)]
#[case::write_in_transaction(
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
#[case::commit_of_failed_transaction(
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
fn unanswered_request_has_expected_effect(
    #[case] command: Command,
    #[case] kind: Option<StatementKind>,
    #[case] state: TransactionState,
    #[case] expected: UnansweredEffect,
) {
    assert_eq!(classify_unanswered(&command, kind, state), expected);
}
