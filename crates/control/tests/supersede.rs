//! Configurations whose versions are chosen by their operators.

use std::collections::BTreeMap;

use control::machine::{Answer, Command, State, VersionedConfig};
use rstest::rstest;

fn configuration(version: u64, origin: &str) -> Command {
    Command::Supersede(VersionedConfig {
        version,
        document: String::new(),
        origin: origin.to_owned(),
        author: "operator".to_owned(),
        time: 0,
        confirmations: BTreeMap::new(),
    })
}

/// Guards against a return to an older configuration, and against the refusal of one that was
/// already accepted: an operator who missed the answer resends it to any host.
#[rstest]
#[case::higher(9, 9, "new")]
#[case::resent(7, 7, "old")]
#[case::older(3, 7, "old")]
fn highest_version_is_in_force(#[case] version: u64, #[case] expected: u64, #[case] origin: &str) {
    let mut state = State::default();
    state.apply(1, configuration(7, "old"));

    let answer = state.apply(2, configuration(version, "new"));

    assert!(matches!(answer, Answer::Done { version, .. } if version == expected));
    assert_eq!(state.config.version, expected);
    assert_eq!(state.config.origin, origin);
}

/// Guards against a snapshot without the text that operators read back.
#[test]
fn text_survives_a_snapshot() {
    let mut state = State::default();
    state.apply(1, configuration(7, "as it was sent"));
    let mut other = State::default();

    other.restore(&state.snapshot());

    assert_eq!(other.config.origin, "as it was sent");
}
