//! Parsing of the status row of a database.

use base::Position;
use route::Status;
use rstest::rstest;

fn row(texts: &[&str]) -> Vec<Option<String>> {
    texts.iter().map(|text| Some((*text).to_owned())).collect()
}

/// Guards against confirmations for another term or store than the database reported.
#[test]
fn row_is_parsed() {
    let status = Status::parse(row(&["b", "s1", "primary", "3", "1042", ""])).unwrap();
    assert_eq!((status.member.as_str(), status.store.as_str()), ("b", "s1"));
    assert_eq!(
        (status.primary, status.position),
        (true, Position::new(3, 1042))
    );
    assert_eq!(status.following, "");
}

/// Guards against a panic or a position of 0 when a database answers with another row.
#[rstest]
#[case::empty(&[])]
#[case::short(&["b", "s1", "replica", "3", "1042"])]
#[case::long(&["b", "s1", "replica", "3", "1042", "", "more"])]
#[case::role(&["b", "s1", "standby", "3", "1042", ""])]
#[case::term(&["b", "s1", "replica", "x", "1042", ""])]
#[case::offset(&["b", "s1", "replica", "3", "-1", ""])]
fn other_row_is_refused(#[case] texts: &[&str]) {
    assert_eq!(Status::parse(row(texts)), None);
}
