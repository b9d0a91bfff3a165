//! Disk errors, injected through fault points. These tests have a file of their own because fault
//! points apply to the whole test process.
#![cfg(feature = "failpoints")]

mod single;

use std::time::Duration;

use compio::time::timeout;
use rstest::rstest;
use single::{start, wait_until_leader};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a node that ends for good because its disk was full for a while, or that acknowledges
/// an entry that found no room.
#[compio::test]
async fn goes_on_when_a_full_disk_has_room_again() {
    let scenario = fail::FailScenario::setup();
    let data = tempfile::tempdir().unwrap();
    agree::format(data.path(), "a").unwrap();
    let node = start(data.path(), "a", true).unwrap();
    wait_until_leader(&node).await;

    fail::cfg("agree::write", "return(full)").unwrap();
    let full = timeout(SECOND, node.propose(b"add".to_vec())).await;
    fail::remove("agree::write");
    let (_index, answer) = node.propose(b"add".to_vec()).await.unwrap();
    node.stop().await;
    scenario.teardown();
    let restarted = start(data.path(), "a", true).unwrap();
    wait_until_leader(&restarted).await;
    let (_index, last) = restarted.propose(b"add".to_vec()).await.unwrap();

    assert!(full.is_err(), "acknowledged on a full disk");
    assert_eq!((answer, last), (b"2".to_vec(), b"3".to_vec()));
    assert_eq!(node.failure(), None);
}

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
