//! Long entries: how long a host without a disk takes to vote again, and how much disk a host uses.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, Files};
use rstest::rstest;

/// Time in one direction between two regions.
const LATENCY: Duration = Duration::from_millis(30);
/// Bytes per second between two regions.
const RATE: u64 = 3_750_000;
/// Payload of a configuration with some 700 routes.
const LONG: usize = 280_000;
/// Time between two changes of an operator who is in a hurry.
const CHANGE_INTERVAL: Duration = Duration::from_millis(80);
/// Time that users give a host without a disk to count again.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);
/// Half of the smallest disk of a control host: rewriting a file needs its size a second time.
const DISK_LIMIT: usize = 64 << 20;

fn stored_bytes(cluster: &Cluster, host: usize) -> usize {
    cluster.files(host).values().map(Vec::len).sum()
}

/// Guards against a host that is sent every long entry of the log one by one, and stays without a
/// vote for as long as an operator goes on sending changes.
#[rstest]
#[case::few_entries(20)]
#[case::many_entries(60)]
fn empty_host_is_readmitted_while_long_entries_keep_coming(
    #[case] entries: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut cluster = Cluster::new(seed, 3, Vec::new());
    cluster.payload_bytes = LONG;
    for _ in 0..entries {
        cluster.write();
    }
    cluster.simulation.latency.set(LATENCY);
    cluster.simulation.rate.set(RATE);
    let leader = cluster.leader();
    let host = (leader + 1) % 3;
    cluster.crash(host);
    cluster.replace_files(host, Files::new());
    cluster.start(host);
    let mut waited = Duration::ZERO;

    while cluster.node(host).is_learner() && waited < 2 * CATCH_UP_LIMIT {
        cluster.submit(leader, false);
        cluster.run(CHANGE_INTERVAL);
        waited += CHANGE_INTERVAL;
    }

    assert!(waited < CATCH_UP_LIMIT, "a learner for {waited:?}");
    cluster.converge();
    cluster.assert_no_violations();
}

/// Guards against a log that fills the disk because entries are kept by number, whatever their size.
#[rstest]
fn long_entries_do_not_fill_the_disk() {
    let mut cluster = Cluster::new(1, 3, Vec::new());
    cluster.payload_bytes = 2 * LONG;

    let mut most = 0;
    for _ in 0..150 {
        cluster.write();
        most = most.max(stored_bytes(&cluster, 0));
    }

    assert!(most < DISK_LIMIT, "{most} bytes");
    cluster.assert_no_violations();
}
