//! Configurations whose versions their operators choose.

use std::collections::BTreeMap;

use control::machine::{Answer, Command, State, VersionedConfig};
use rstest::rstest;

fn change(version: u64, origin: &str) -> Command {
    Command::Supersede(VersionedConfig {
        version,
        document: String::new(),
        origin: origin.to_owned(),
        author: "operator".to_owned(),
        time: 0,
        confirmations: BTreeMap::new(),
    })
}

/// Guards against a configuration that goes back, and against a refusal of one that was accepted:
/// an operator who lost the answer sends the same again, to any host.
#[rstest]
#[case::higher(9, 9, "new")]
#[case::resent(7, 7, "old")]
#[case::older(3, 7, "old")]
fn highest_version_is_in_force(#[case] version: u64, #[case] expected: u64, #[case] origin: &str) {
    let mut state = State::default();
    state.apply(1, change(7, "old"));

    let answer = state.apply(2, change(version, "new"));

    assert!(matches!(answer, Answer::Done { version, .. } if version == expected));
    assert_eq!(state.config.version, expected);
    assert_eq!(state.config.origin, origin);
}

/// Guards against a snapshot that loses the text which operators read back.
#[test]
fn text_survives_a_snapshot() {
    let mut state = State::default();
    state.apply(1, change(7, "as it was sent"));
    let mut other = State::default();

    other.restore(&state.snapshot());

    assert_eq!(other.config.origin, "as it was sent");
}
