//! Patches between two texts.

use base::patch::{apply, diff};
use proptest::prelude::*;
use rstest::rstest;

fn document(routes: std::ops::Range<usize>, timeout: usize) -> String {
    let route = |i| format!("[[route]]\nname = \"route-{i}\"\ndeadline_ms = {timeout}\n\n");
    let routes: String = routes.map(route).collect();
    format!("version = 1\n\n{routes}[[service]]\nname = \"orders\"\n")
}

/// Guards against a patch whose result differs from the new text, and with it from the operator's
/// configuration.
#[rstest]
#[case::first("", &document(0..3, 800))]
#[case::same(&document(0..3, 800), &document(0..3, 800))]
#[case::added(&document(0..3, 800), &document(0..5, 800))]
#[case::removed(&document(0..5, 800), &document(2..3, 800))]
#[case::all_changed(&document(0..5, 800), &document(0..5, 900))]
#[case::emptied(&document(0..5, 800), "")]
#[case::no_blocks("a\nb", "b\na\n")]
#[case::repeated("[a]\n[a]\n[b]\n", "[b]\n[a]\n[a]\n[a]\n")]
fn patch_produces_the_new_text(#[case] old: &str, #[case] new: &str) {
    let patch = diff(old, new).unwrap();

    assert_eq!(apply(old, &patch).unwrap(), new);
}

/// Guards against patches that saturate the links to the entry processes: one route added to many
/// must cost about its own size, and many new routes must cost less than their text.
#[test]
fn patch_is_small() {
    let many = document(0..2_000, 800);

    let one = diff(&many, &document(0..2_001, 800)).unwrap();
    let all = diff("", &many).unwrap();

    assert!(one.len() < 200, "{} bytes", one.len());
    assert!(
        all.len() * 4 < many.len(),
        "{} of {}",
        all.len(),
        many.len()
    );
}

/// Guards against a patch that is applied to another text than the one it was created from.
#[test]
fn patch_of_a_longer_text_is_rejected() {
    let patch = diff(&document(0..9, 800), &document(0..10, 800)).unwrap();

    let cause = apply("", &patch).unwrap_err();
    assert_eq!(cause.kind(), std::io::ErrorKind::InvalidData);
}

proptest! {
    /// Guards against a panic and against a wrong text, whatever the texts look like.
    #[test]
    fn any_texts(old in "([\\[ab]{1,3}\n){0,8}[a\\[]{0,2}", new in "([\\[ab]{1,3}\n){0,8}[a\\[]{0,2}") {
        let patch = diff(&old, &new).unwrap();

        prop_assert_eq!(apply(&old, &patch).unwrap(), new);
    }

    /// Guards against a panic over damaged bytes.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _damaged = apply("[a]\n[b]\n", &bytes);
    }
}
