//! Disk errors, injected through fault points. These tests have a file of their own because fault
//! points apply to the whole test process.
#![cfg(feature = "failpoints")]

mod single;

use rstest::rstest;
use single::{start, wait_until_leader};

/// Guards against a node that keeps running after a disk error, whether or not the entry reached
/// the disk.
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
    wait_until_leader(&node).await;

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
