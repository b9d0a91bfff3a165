//! Changes between two texts.

use base::patch::{apply, diff};
use proptest::prelude::*;
use rstest::rstest;

fn document(routes: std::ops::Range<usize>, timeout: usize) -> String {
    let route = |i| format!("[[route]]\nname = \"route-{i}\"\ndeadline_ms = {timeout}\n\n");
    let routes: String = routes.map(route).collect();
    format!("version = 1\n\n{routes}[[service]]\nname = \"orders\"\n")
}

/// Guards against another configuration than the operator's.
#[rstest]
#[case::first("", &document(0..3, 800))]
#[case::same(&document(0..3, 800), &document(0..3, 800))]
#[case::added(&document(0..3, 800), &document(0..5, 800))]
#[case::removed(&document(0..5, 800), &document(2..3, 800))]
#[case::all_changed(&document(0..5, 800), &document(0..5, 900))]
#[case::emptied(&document(0..5, 800), "")]
#[case::no_blocks("a\nb", "b\na\n")]
#[case::repeated("[a]\n[a]\n[b]\n", "[b]\n[a]\n[a]\n[a]\n")]
fn change_leads_to_the_new_text(#[case] old: &str, #[case] new: &str) {
    let change = diff(old, new).unwrap();

    assert_eq!(apply(old, &change).unwrap(), new);
}

/// Guards against changes that fill the links of entry processes: one more route among many costs
/// about as much as itself, and many routes less than their text.
#[test]
fn change_is_short() {
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

/// Guards against a text that is put together from a change of another one.
#[test]
fn change_of_a_longer_text_is_refused() {
    let change = diff(&document(0..9, 800), &document(0..10, 800)).unwrap();

    let cause = apply("", &change).unwrap_err();
    assert_eq!(cause.kind(), std::io::ErrorKind::InvalidData);
}

proptest! {
    /// Guards against a panic and against a wrong text, whatever the texts look like.
    #[test]
    fn any_texts(old in "([\\[ab]{1,3}\n){0,8}[a\\[]{0,2}", new in "([\\[ab]{1,3}\n){0,8}[a\\[]{0,2}") {
        let change = diff(&old, &new).unwrap();

        prop_assert_eq!(apply(&old, &change).unwrap(), new);
    }

    /// Guards against a panic over damaged bytes.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _damaged = apply("[a]\n[b]\n", &bytes);
    }
}
