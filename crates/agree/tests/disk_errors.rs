//! Errors of the disk, through the fault points. A file of its own because fault points hold for
//! the whole test process.
#![cfg(feature = "failpoints")]

mod single;

use rstest::rstest;
use single::{lead, start};

/// Guards against a node that goes on after its disk failed, with or without the entry on it.
#[rstest]
#[case::write("agree::write")]
#[case::sync("agree::sync")]
#[case::synced("agree::synced")]
#[compio::test]
async fn stops_on_disk_error(#[case] point: &str) {
    let scenario = fail::FailScenario::setup();
    let data = tempfile::tempdir().unwrap();
    agree::format(data.path(), "a").unwrap();
    let node = start(data.path(), "a", true).unwrap();
    lead(&node).await;

    fail::cfg(point, "return").unwrap();
    let outcome = node.propose(b"add".to_vec()).await;

    assert_eq!(outcome, Err(agree::ProposeError::Unknown));
    assert!(
        node.failure()
            .is_some_and(|cause| cause.contains("data directory"))
    );
    fail::remove(point);
    scenario.teardown();
}
