//! Requests that another entry process did not answer.

use rstest::rstest;
use session::{
    Command, Verb,
    forward::{Unanswered, unanswered},
    statement::State,
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
    Command::Run(Verb::Read),
    Some(Verb::Read),
    State::Idle,
    Unanswered::Read
)]
#[case::write(
    Command::Run(Verb::Write),
    Some(Verb::Write),
    State::Idle,
    Unanswered::Unknown
)]
#[case::named_read(named(), Some(Verb::Read), State::Idle, Unanswered::Read)]
#[case::unknown_name(named(), None, State::Idle, Unanswered::Unknown)]
#[case::begin(Command::Begin { reads: false }, None, State::Idle, Unanswered::NotKept)]
#[case::within(
    Command::Run(Verb::Write),
    Some(Verb::Write),
    State::Open,
    Unanswered::NotKept
)]
#[case::commit(Command::Commit, None, State::Open, Unanswered::Unknown)]
#[case::commit_of_a_failed_one(Command::Commit, None, State::Failed, Unanswered::NotKept)]
#[case::rollback(Command::Rollback, None, State::Open, Unanswered::NotKept)]
fn verdict_tells_no_more_than_is_known(
    #[case] command: Command,
    #[case] verb: Option<Verb>,
    #[case] state: State,
    #[case] expected: Unanswered,
) {
    assert_eq!(unanswered(&command, verb, state), expected);
}
