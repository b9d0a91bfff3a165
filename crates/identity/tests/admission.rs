//! Keys that are taken away, moved, or can't be checked.

use std::time::{Duration, Instant};

use base::organisation::{KeyDigest, Organisation};
use identity::{Identities, Refused, Validity};
use rstest::rstest;

const BOUND: Duration = Duration::from_secs(5);

/// Organisations with one key each.
fn identities(holders: &[(&str, &str)]) -> Identities {
    let holders = holders.iter().map(|(name, key)| Organisation {
        name: (*name).to_owned(),
        keys: vec![KeyDigest::of(key.as_bytes())],
        priority: 0,
        rate: None,
    });
    Identities::new(Some(holders.collect()))
}

/// Guards against a strict process that serves keys it can't check, one that refuses all keys while a
/// control host is reachable, and a process that is not strict and stops serving when it is cut off.
#[rstest]
#[case::unbounded(Validity::Unbounded, None, true)]
#[case::never_current(Validity::Within(BOUND), None, false)]
#[case::recent(Validity::Within(BOUND), Some(4_999), true)]
#[case::at_the_bound(Validity::Within(BOUND), Some(5_000), false)]
fn keys_count_within_the_bound(
    #[case] validity: Validity,
    #[case] age_ms: Option<u64>,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let now = start + Duration::from_millis(age_ms.unwrap_or_default());

    let holds = validity.holds(age_ms.map(|_| start), now);

    assert_eq!(holds, expected);
}

/// Guards against a transaction that goes on after its key was taken away or moved, and one that is
/// aborted although its key is still held.
#[rstest]
#[case::held(&[("a", "k1"), ("b", "k2")], false, true, Ok(()))]
#[case::taken_away(&[("a", "k3"), ("b", "k2")], false, true, Err(Refused::UnknownKey))]
#[case::organisation_removed(&[("b", "k2")], false, true, Err(Refused::UnknownKey))]
#[case::moved(&[("a", "k2"), ("b", "k1")], false, true, Err(Refused::Moved))]
#[case::route_became_public(&[("a", "k1")], true, true, Err(Refused::Moved))]
#[case::not_current(&[("a", "k1")], false, false, Err(Refused::Outdated))]
fn transaction_of_an_organisation_is_confirmed(
    #[case] holders: &[(&str, &str)],
    #[case] public: bool,
    #[case] current: bool,
    #[case] expected: Result<(), Refused>,
) {
    let key = KeyDigest::of(b"k1");

    let confirmed = identities(holders).confirm(public, Some(&key), current, Some("a"));

    assert_eq!(confirmed, expected);
}

/// Guards against a transaction of a caller without a key that goes on once a key is needed.
#[rstest]
#[case::still_public(true, Ok(()))]
#[case::no_longer_public(false, Err(Refused::UnknownKey))]
fn transaction_without_a_key_is_confirmed(
    #[case] public: bool,
    #[case] expected: Result<(), Refused>,
) {
    let confirmed = identities(&[("a", "k1")]).confirm(public, None, true, None);

    assert_eq!(confirmed, expected);
}
