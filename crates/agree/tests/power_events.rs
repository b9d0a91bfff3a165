//! All hosts lose power, and as many of them as a minority their disks, at the moment of an
//! acknowledgement that follows another event.

mod cluster;

use std::{rc::Rc, time::Duration};

use cluster::{Cluster, Files};
use rstest::rstest;

const FIVE_SECONDS: Duration = Duration::from_secs(5);
/// Longer than the time between the acknowledgement of a write and the end of the next one.
const SLOW_WRITE: Duration = Duration::from_millis(30);
const SEEDS: u64 = 12;
/// Number of writes within which a host has to be readmitted, one each millisecond.
const MAX_WRITES_IN_FLIGHT: usize = 4_000;

/// What happens right before the acknowledged write.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A follower forwards the write.
    Forwarded,
    /// The leader transfers its leadership.
    Transferred,
    /// The leader loses power and another host is elected.
    Elected,
    /// A host that was down for long gets a snapshot.
    SnapshotInstalled,
    /// All hosts take a snapshot, and no disk has finished writing it.
    Compacted,
    /// One follower gets nothing until the loss of power.
    Lagging,
}

/// A cluster that takes snapshots often, with a few commands.
fn started_cluster(seed: u64, size: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, size, Vec::new());
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

/// A running host that does not lead.
fn follower(cluster: &mut Cluster) -> usize {
    let leader = cluster.leader();
    (leader + 1) % cluster.size
}

/// Index of the first entry that the leader holds.
fn first_index(cluster: &mut Cluster) -> u64 {
    let leader = cluster.leader();
    cluster.node(leader).dump()["first"].as_u64().unwrap()
}

fn snapshot_index(cluster: &mut Cluster) -> u64 {
    let leader = cluster.leader();
    cluster.node(leader).dump()["snapshot"].as_u64().unwrap()
}

/// Performs the event. Returns the host that takes the next write.
fn perform(cluster: &mut Cluster, event: Event) -> usize {
    match event {
        Event::Forwarded => return follower(cluster),
        Event::Transferred => {
            let leader = cluster.leader();
            cluster.submit_transfer(leader);
            let transferred = |cluster: &Cluster| {
                let found = cluster.find_leader();
                found.is_some_and(|found| found != leader)
            };
            assert!(cluster.run_until(FIVE_SECONDS, transferred));
        }
        Event::Elected => {
            let leader = cluster.leader();
            cluster.submit(leader, false);
            cluster.crash(leader);
            cluster.leader();
            cluster.start(leader);
        }
        Event::SnapshotInstalled => {
            let absent = follower(cluster);
            let last = cluster.node(absent).applied_index();
            cluster.crash(absent);
            while first_index(cluster) <= last + 1 {
                cluster.write();
            }
            let before = cluster.simulation.chunks.get();
            cluster.start(absent);
            let sent = |cluster: &Cluster| cluster.simulation.chunks.get() > before;
            assert!(cluster.run_until(2 * FIVE_SECONDS, sent));
        }
        Event::Compacted => {
            for host in 0..cluster.size {
                cluster.slow_disk(host, SLOW_WRITE);
            }
            let before = snapshot_index(cluster);
            while snapshot_index(cluster) == before {
                cluster.write();
            }
        }
        Event::Lagging => {
            let absent = follower(cluster);
            cluster.isolate(absent);
        }
    }
    cluster.leader()
}

/// Replaces the disk of a host and waits until the leader counts it again.
fn readmit(cluster: &mut Cluster, host: usize) {
    cluster.crash(host);
    cluster.replace_files(host, Files::new());
    cluster.start(host);
    let counted = |cluster: &Cluster| {
        cluster.find_leader().is_some_and(|leader| {
            let members = &cluster.node(leader).dump()["members"];
            members[format!("control-{host}")] != 0
        })
    };
    assert!(cluster.run_until(2 * FIVE_SECONDS, counted));
}

/// Submits a write to a host and waits until it is acknowledged.
fn write_at(cluster: &mut Cluster, host: usize) {
    let payload = cluster.submit(host, true);
    let acked = Rc::clone(&cluster.acked);
    let is_acked = move |_: &Cluster| acked.borrow().values().any(|known| *known == payload);
    assert!(cluster.run_until(FIVE_SECONDS, is_acked));
}

/// Ends all hosts now, takes the disks of `lost` and starts all. Returns the violations that are seen
/// then.
fn lose_power(cluster: &mut Cluster, lost: &[usize]) -> Vec<String> {
    for host in 0..cluster.size {
        cluster.crash(host);
        cluster.slow_disk(host, Duration::ZERO);
    }
    cluster.heal();
    for host in lost {
        cluster.replace_files(*host, Files::new());
    }
    for host in 0..cluster.size {
        cluster.start(host);
    }
    cluster.converge();
    cluster.check()
}

/// Every choice of a minority of the hosts that is as large as possible.
fn minorities(size: usize) -> Vec<Vec<usize>> {
    let sets = 0_u32..1 << size;
    let sets = sets.map(|set| (0..size).filter(|host| set >> host & 1 == 1).collect());
    sets.filter(|set: &Vec<usize>| set.len() == size / 2)
        .collect()
}

/// Guards against an acknowledgement that rests on a copy that is not synced or is not known to those
/// who are left.
#[rstest]
fn keeps_acknowledged_after_event(
    #[values(3, 5)] size: usize,
    #[values(
        Event::Forwarded,
        Event::Transferred,
        Event::Elected,
        Event::SnapshotInstalled,
        Event::Compacted,
        Event::Lagging
    )]
    event: Event,
) {
    for seed in 1..=SEEDS {
        for lost in minorities(size) {
            let mut cluster = started_cluster(seed, size);
            let host = perform(&mut cluster, event);
            if !matches!(event, Event::Compacted) {
                write_at(&mut cluster, host);
            }

            let violations = lose_power(&mut cluster, &lost);

            assert!(
                violations.is_empty(),
                "seed {seed}, lost {lost:?}: {violations:#?}"
            );
        }
    }
}

/// Guards against a readmitted host that counts for acknowledgements but can't vote after a loss of
/// power, because it or another host does not know yet that it was readmitted.
#[rstest]
fn keeps_acknowledged_after_readmission(
    #[values(3, 5)] size: usize,
    #[values(false, true)] cut_off: bool,
) {
    for seed in 1..=SEEDS {
        for lost in minorities(size) {
            let mut cluster = started_cluster(seed, size);
            let readmitted = usize::try_from(seed).unwrap() % size;
            readmit(&mut cluster, readmitted);
            if cut_off {
                cluster.isolate(readmitted);
                cluster.run(FIVE_SECONDS);
            }
            let leader = cluster.leader();
            write_at(&mut cluster, leader);

            let violations = lose_power(&mut cluster, &lost);

            assert!(
                violations.is_empty(),
                "seed {seed}, readmitted {readmitted}, leader {leader}, lost {lost:?}: \
                 {violations:#?}"
            );
        }
    }
}

/// Guards against acknowledgements that count a readmitted host while nobody else knows for sure that
/// it was readmitted: writes in flight are counted at the moment of its readmission.
#[rstest]
fn keeps_acknowledged_with_writes_in_flight_at_readmission(#[values(3, 5)] size: usize) {
    for seed in 1..=SEEDS {
        for lost in minorities(size) {
            let mut cluster = started_cluster(seed, size);
            for host in 0..size {
                cluster.slow_disk(host, SLOW_WRITE);
            }
            let host = usize::try_from(seed).unwrap() % size;
            cluster.crash(host);
            cluster.replace_files(host, Files::new());
            cluster.start(host);
            let counted = |cluster: &Cluster| {
                let leader = cluster.find_leader();
                leader.is_some_and(|leader| {
                    cluster.node(leader).dump()["members"][format!("control-{host}")] != 0
                })
            };
            for _ in 0..MAX_WRITES_IN_FLIGHT {
                if counted(&cluster) {
                    break;
                }
                let leader = cluster.leader();
                cluster.submit(leader, false);
                cluster.run(Duration::from_millis(1));
            }
            assert!(counted(&cluster), "seed {seed}: not readmitted");
            let leader = cluster.leader();
            write_at(&mut cluster, leader);

            let violations = lose_power(&mut cluster, &lost);

            assert!(
                violations.is_empty(),
                "seed {seed}, readmitted {host}, leader {leader}, lost {lost:?}: {violations:#?}"
            );
        }
    }
}
