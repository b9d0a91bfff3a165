//! All hosts lose power at one moment, and as many of them as a minority lose their disks.

mod cluster;

use std::time::Duration;

use agree::{DisabledMechanisms, Mechanism};
use cluster::{Cluster, Files};
use rstest::rstest;

const FIVE_SECONDS: Duration = Duration::from_secs(5);
/// Longest time between an acknowledgement and the loss of power.
const LATEST_LOSS_MS: u64 = 400;
const NO_LEADER: &str = "no leader after the loss of power";

/// A cluster that takes snapshots often, after a few commands.
fn started_cluster(seed: u64, size: usize, disabled: DisabledMechanisms) -> Cluster {
    let mut cluster = Cluster::new(seed, size, disabled);
    cluster.tuning.snapshot_threshold_bytes = 300;
    cluster.tuning.trailing_entries = 3;
    cluster.tuning.snapshot_chunk_bytes = 50;
    for host in 0..size {
        cluster.start(host);
    }
    for _ in 0..=seed % 30 {
        cluster.write();
    }
    cluster
}

/// Replaces the disk of one host and waits until it votes again.
fn readmit_one(cluster: &mut Cluster, host: usize) {
    cluster.crash(host);
    cluster.replace_files(host, Files::new());
    cluster.start(host);
    let readmitted = |cluster: &Cluster| !cluster.node(host).is_learner();
    assert!(cluster.run_until(2 * FIVE_SECONDS, readmitted));
}

/// Ends all hosts at one moment after an acknowledgement and takes the disks of a minority. Returns
/// the violations that are seen once all are back.
fn lose_power(cluster: &mut Cluster) -> Vec<String> {
    let size = cluster.size;
    cluster.write();
    let delay = cluster.simulation.random_below(LATEST_LOSS_MS);
    if let Some(leader) = cluster.find_leader() {
        cluster.submit(leader, false);
    }
    cluster.run(Duration::from_millis(delay));
    let first = usize::try_from(cluster.simulation.random_below(size as u64)).unwrap();
    for host in 0..size {
        cluster.crash(host);
    }
    for lost in 0..size / 2 {
        cluster.replace_files((first + lost) % size, Files::new());
    }
    for host in 0..size {
        cluster.start(host);
    }
    cluster.run(2 * FIVE_SECONDS);
    if let Some(leader) = cluster.find_leader() {
        cluster.submit(leader, false);
        cluster.run(FIVE_SECONDS);
    } else {
        cluster.simulation.report_violation(NO_LEADER.into());
    }
    cluster.check()
}

/// Guards against an acknowledgement that rests on a write that is not synced on a majority: it is
/// lost when all hosts lose power and a minority their disks, also shortly after another disk was
/// replaced.
#[rstest]
fn keeps_acknowledged_without_power_and_disks(
    #[values(3, 5)] size: usize,
    #[values(false, true)] readmitted: bool,
) {
    for seed in 1..=40 {
        let mut cluster = started_cluster(seed, size, Vec::new());
        if readmitted {
            let host = usize::try_from(seed).unwrap() % size;
            readmit_one(&mut cluster, host);
        }

        let violations = lose_power(&mut cluster);

        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// Guards against a check that does not notice an acknowledgement before the sync.
#[rstest]
fn notices_acknowledgement_before_sync() {
    let violations = (1..=40).flat_map(|seed| {
        let mut cluster = started_cluster(seed, 3, vec![Mechanism::Sync]);
        for host in 0..3 {
            cluster.slow_disk(host, Duration::from_millis(LATEST_LOSS_MS));
        }
        lose_power(&mut cluster)
    });

    assert!(violations.filter(|text| text != NO_LEADER).count() > 0);
}
