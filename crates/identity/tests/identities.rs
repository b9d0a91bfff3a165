//! Identification of callers by their keys.

use base::organisation::{KeyDigest, Organisation};
use identity::{Identities, UnknownKey};
use rstest::rstest;

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    Organisation {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: 0,
        rate: None,
    }
}

fn two_organisations() -> Identities {
    let list = vec![organisation("a", &["a1", "a2"]), organisation("b", &["b1"])];
    Identities::new(Some(list))
}

/// Guards against a caller that acts for another organisation than the one that holds its key.
#[rstest]
#[case("a1", "a")]
#[case("a2", "a")]
#[case("b1", "b")]
fn key_identifies_its_holder(#[case] key: &str, #[case] name: &str) {
    let identities = two_organisations();

    let known = identities.identify(false, Some(&KeyDigest::of(key.as_bytes())));

    assert_eq!(known.unwrap().unwrap().name, name);
}

/// Guards against callers that are served without a key, with one that was taken away, or with the
/// digest of a key in place of the key.
#[rstest]
#[case(None)]
#[case(Some(KeyDigest::of(b"a3")))]
#[case(Some(KeyDigest::of(KeyDigest::of(b"a1").to_string().as_bytes())))]
fn unknown_key_is_refused(#[case] key: Option<KeyDigest>) {
    let identities = two_organisations();

    let known = identities.identify(false, key.as_ref());

    assert_eq!(known, Err(UnknownKey));
}

/// Guards against keys being asked for on public routes and in deployments without organisations.
#[rstest]
#[case::public_route(two_organisations(), true)]
#[case::no_organisations(Identities::new(None), false)]
#[case::no_configuration(Identities::default(), false)]
fn no_key_is_needed(#[case] identities: Identities, #[case] public: bool) {
    assert_eq!(identities.identify(public, None), Ok(None));
}

/// Guards against an empty list of organisations that lets every caller in.
#[test]
fn empty_list_admits_nobody() {
    let identities = Identities::new(Some(Vec::new()));

    assert_eq!(identities.identify(false, None), Err(UnknownKey));
}
