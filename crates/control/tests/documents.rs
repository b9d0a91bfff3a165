//! Patches between configuration texts.

use std::rc::Rc;

use base::patch;
use control::documents::Documents;
use rstest::rstest;

const TEXTS: [&str; 3] = ["[a]\n", "[a]\n[b]\n", "[b]\n[c]\n"];

fn documents() -> Documents {
    let mut documents = Documents::default();
    for (version, text) in (1..).zip(TEXTS) {
        documents.add(version, text);
    }
    documents
}

/// Guards against a patch that does not produce the newest text.
#[rstest]
#[case::none(0, 0)]
#[case::one_behind(2, 2)]
#[case::two_behind(1, 1)]
#[case::not_kept(9, 0)]
fn patch_produces_newest_text(#[case] from: u64, #[case] expected: u64) {
    let mut documents = documents();

    let (base, patch) = documents.patch_from(from).unwrap();

    let old = match base {
        0 => "",
        version => TEXTS[usize::try_from(version).unwrap() - 1],
    };
    assert_eq!(base, expected);
    assert_eq!(patch::apply(old, &patch).unwrap(), TEXTS[2]);
}

/// Guards against computing a patch for each entry process, and against a cached patch that remains
/// after the next configuration.
#[test]
fn patch_is_computed_once_per_configuration() {
    let mut documents = documents();

    let first = documents.patch_from(2).unwrap().1;
    let second = documents.patch_from(2).unwrap().1;
    documents.add(4, "[d]\n");
    let third = documents.patch_from(2).unwrap().1;

    assert!(Rc::ptr_eq(&first, &second));
    assert_eq!(patch::apply(TEXTS[1], &third).unwrap(), "[d]\n");
}

/// Guards against memory that grows with the number of configurations, and against an older text
/// that replaces a newer one.
#[test]
fn few_texts_are_kept() {
    let mut documents = Documents::default();
    for version in 1..100 {
        documents.add(version, &format!("[{version}]\n"));
    }
    documents.add(50, "[old]\n");

    let (removed_base, _) = documents.patch_from(50).unwrap();
    let (base, patch) = documents.patch_from(98).unwrap();

    assert_eq!((removed_base, base), (0, 98));
    assert_eq!(patch::apply("[98]\n", &patch).unwrap(), "[99]\n");
}
