//! When a host gives up its seat and empties its disk.

mod common;

use std::time::{Duration, Instant};

use common::Cluster;
use compio::time::timeout;
use control::{
    seat::{self, REPLACEABLE_AFTER},
    tenure,
};

/// Longer than two checks of a host.
const TWO_CHECKS: Duration = Duration::from_millis(2_500);

/// A cluster whose third host was silent, so that its seat was given to another one.
async fn displaced_cluster() -> Cluster {
    let cluster = Cluster::start().await;
    let name = cluster.hosts[2].host.identity.name.clone();
    let absences = [(name.clone(), REPLACEABLE_AFTER)];
    cluster.shared.seat_silence.borrow_mut().extend(absences);
    let joined = seat::join(cluster.leader(), "127.0.0.9:1").await;
    assert_eq!(joined.name, Some(name));
    cluster
}

async fn gives_up(cluster: &Cluster) -> bool {
    let ended = tenure::ended(&cluster.hosts[2].host, Vec::new);
    timeout(TWO_CHECKS, ended).await.is_ok()
}

/// Guards against a host that empties the only other copy of what was acknowledged: its disk counts
/// until that of its successor does.
#[compio::test]
async fn former_holder_keeps_its_disk_until_its_successor_counts() {
    let cluster = displaced_cluster().await;
    let name = cluster.hosts[2].host.identity.name.clone();

    cluster.shared.counted.borrow_mut().insert(name.clone(), 1);
    let early = gives_up(&cluster).await;
    cluster.shared.counted.borrow_mut().insert(name, 7);
    let late = gives_up(&cluster).await;

    assert!(!early && late);
}

/// Guards against a host that gives up its seat on the word of one that does not lead.
#[compio::test]
async fn seat_is_kept_while_no_leader_answers() {
    let cluster = displaced_cluster().await;
    *cluster.shared.leader.borrow_mut() = None;

    assert!(!gives_up(&cluster).await);
}

/// Guards against a host that never learns that its seat is gone, because the leader calls the new
/// address only.
#[compio::test]
async fn host_without_a_leader_asks() {
    let cluster = Cluster::start().await;
    let host = &cluster.hosts[2].host;

    let heard = tenure::is_in_doubt(host, Instant::now());
    host.log.leader_silence.set(Duration::from_secs(3));
    let silent = tenure::is_in_doubt(host, Instant::now());

    assert!(!heard && silent);
    assert!(!gives_up(&cluster).await, "it still holds its seat");
}
