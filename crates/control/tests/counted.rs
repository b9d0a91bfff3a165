//! Databases that the primary counts for its commits, whatever the record says.

mod common;

use std::time::{Duration, Instant};

use base::Position;
use common::{Cluster, FakeMember, Group, observe_until, observe_until_term};
use compio::time::sleep;
use control::{host::Renewal, machine::GroupState, sighting::Health};
use route::AckBounds;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A group with the primary `a` in term 1, whose databases come and go by announcing themselves. All
/// are at offset 10.
async fn open_group() -> (Cluster, Group) {
    let cluster = Cluster::start_with(true).await;
    let group = Group::start().await;
    for member in &group.members {
        let mut state = member.state.borrow_mut();
        state.position = Position::new(1, 10);
        state.primary = state.member == "a";
    }
    cluster.configure_open_group();
    observe_until(&cluster, &group, TIMEOUT, || {
        cluster.record().is_some_and(|r| r.members.len() == 3)
    })
    .await;
    (cluster, group)
}

/// Sends renewals for `time`.
async fn observe_for(cluster: &Cluster, group: &Group, time: Duration) {
    let start = Instant::now();
    while start.elapsed() < time {
        group.observe(cluster);
        sleep(Duration::from_millis(50)).await;
    }
}

fn set_offset(group: &Group, member: usize, offset: u64) {
    group.members[member].state.borrow_mut().position.offset = offset;
}

fn fail(group: &Group, member: usize, fault: Health) {
    group.members[member].state.borrow_mut().fault = Some(fault);
}

/// Reports that writes up to `offset` of term 1 were acknowledged.
fn acknowledge(cluster: &Cluster, group: &Group, offset: u64) {
    let records = cluster.leader().state.borrow().version;
    let bounds = AckBounds::exact(Position::new(1, offset));
    cluster.renew(&Renewal {
        acks: vec![("g".to_owned(), bounds, Duration::ZERO)],
        ..group.renewal(0, records, Group::actual_health)
    });
}

/// Guards against the loss of commits that only a stopping replica has: it goes on receiving after its
/// last announcement, and was dropped from the record.
#[compio::test]
async fn stopping_replica_that_still_answers_is_asked() {
    let (cluster, group) = open_group().await;
    group.members[2].state.borrow_mut().leaving = true;
    group.observe(&cluster);
    group.members[2].unheard.set(true);
    observe_for(&cluster, &group, Duration::from_secs(6)).await;

    set_offset(&group, 0, 12);
    set_offset(&group, 2, 12);
    fail(&group, 0, Health::Refused);
    observe_until_term(&cluster, &group, 2).await;

    assert_eq!(cluster.record().unwrap().primary, "c");
}

/// Guards against the loss of commits that only a stopping replica has while control hosts don't reach
/// it: its silence does not show that it ended.
#[compio::test]
async fn stopping_replica_that_is_cut_off_is_waited_for() {
    let (cluster, group) = open_group().await;
    group.members[2].state.borrow_mut().leaving = true;
    group.observe(&cluster);
    group.members[2].unheard.set(true);
    fail(&group, 2, Health::Silent);
    observe_for(&cluster, &group, Duration::from_secs(6)).await;

    set_offset(&group, 0, 12);
    set_offset(&group, 2, 12);
    acknowledge(&cluster, &group, 12);
    fail(&group, 0, Health::Refused);
    observe_for(&cluster, &group, Duration::from_secs(3)).await;
    let before = cluster.record().unwrap();
    group.members[2].state.borrow_mut().fault = None;
    observe_until_term(&cluster, &group, 2).await;

    assert_eq!((before.state, before.term), (GroupState::Fencing, 1));
    assert_eq!(cluster.record().unwrap().primary, "c");
}

/// Guards against a read quorum that grows with each replica that was replaced: one that announced its
/// stop and refuses connections has ended.
#[compio::test]
async fn stopped_replica_that_refuses_connections_is_dropped() {
    let (cluster, mut group) = open_group().await;
    group.members[2].state.borrow_mut().leaving = true;
    group.observe(&cluster);
    group.members[2].unheard.set(true);
    fail(&group, 2, Health::Refused);
    group.members[2].end();

    observe_until(&cluster, &group, 2 * TIMEOUT, || {
        let record = cluster.record().unwrap();
        record.member("c").is_none() && record.uncovered == 0
    })
    .await;
}

/// Guards against a group without a primary because a replica ended right before the primary failed: only
/// a sweep of a stable group drops it from the record.
#[compio::test]
async fn replica_that_ended_right_before_a_failure_is_not_waited_for() {
    let (cluster, mut group) = open_group().await;
    acknowledge(&cluster, &group, 10);
    group.members[2].state.borrow_mut().leaving = true;
    group.observe(&cluster);
    group.members[2].unheard.set(true);
    fail(&group, 2, Health::Refused);
    group.members[2].end();

    fail(&group, 0, Health::Refused);
    let took = observe_until_term(&cluster, &group, 2).await;

    assert_eq!(cluster.record().unwrap().primary, "b");
    assert!(took < Duration::from_secs(5), "took {took:?}");
}

/// Guards against the loss of commits of a replica that crashed: it comes back with its log.
#[compio::test]
async fn crashed_replica_that_refuses_connections_stays_recorded() {
    let (cluster, mut group) = open_group().await;
    group.members[2].unheard.set(true);
    fail(&group, 2, Health::Refused);
    group.members[2].end();

    observe_for(&cluster, &group, Duration::from_secs(5)).await;

    assert!(cluster.record().unwrap().member("c").is_some());
}

/// Guards against the loss of commits that only a new replica has whose announcements were all lost.
#[compio::test]
async fn acknowledged_commits_of_an_unheard_replica_are_waited_for() {
    let (cluster, mut group) = open_group().await;
    let replica = FakeMember::start("d").await;
    replica.state.borrow_mut().position = Position::new(1, 12);
    replica.unheard.set(true);
    group.members.push(replica);
    set_offset(&group, 0, 12);
    acknowledge(&cluster, &group, 12);

    fail(&group, 0, Health::Refused);
    observe_for(&cluster, &group, Duration::from_secs(3)).await;
    let before = cluster.record().unwrap();
    group.members[3].unheard.set(false);
    observe_until_term(&cluster, &group, 2).await;

    assert_eq!((before.state, before.term), (GroupState::Fencing, 1));
    assert_eq!(cluster.record().unwrap().primary, "d");
}

/// Guards against the loss of commits that only a new replica has which the former leader heard of: a
/// new leader knows no announcements of before.
#[compio::test]
async fn acknowledged_commits_of_a_replica_unknown_to_a_new_leader_are_waited_for() {
    let (mut cluster, mut group) = open_group().await;
    let replica = FakeMember::start("d").await;
    replica.state.borrow_mut().position = Position::new(1, 12);
    replica.unheard.set(true);
    let announcement = replica.announcement("g", "z0");
    group.members.push(replica);
    set_offset(&group, 0, 12);
    acknowledge(&cluster, &group, 12);
    cluster.shared.commits_blocked.set(true);
    cluster
        .leader()
        .receive_announcement(Instant::now(), announcement);

    cluster.hosts[0].crash();
    fail(&group, 0, Health::Refused);
    cluster.shared.commits_blocked.set(false);
    cluster.shared.set_leader("c1");
    observe_for(&cluster, &group, Duration::from_secs(3)).await;
    let before = cluster.record().unwrap();
    group.members[3].unheard.set(false);
    observe_until_term(&cluster, &group, 2).await;

    assert_eq!((before.state, before.term), (GroupState::Fencing, 1));
    assert_eq!(cluster.record().unwrap().primary, "d");
}

/// Guards against the loss of commits when a replica restarts empty and no announcement tells so: its
/// answer counts as that of the recorded store, and only the failed primary has them.
#[compio::test]
async fn acknowledged_commits_are_waited_for_after_an_unheard_restart() {
    let (cluster, group) = open_group().await;
    group.members[1].unheard.set(true);
    set_offset(&group, 0, 12);
    acknowledge(&cluster, &group, 12);
    group.members[1].lose_disk();

    fail(&group, 0, Health::Refused);
    observe_for(&cluster, &group, Duration::from_secs(3)).await;
    let before = cluster.record().unwrap();
    group.members[0].state.borrow_mut().fault = None;
    observe_until(&cluster, &group, TIMEOUT, || {
        cluster.record().unwrap().state == GroupState::Stable
    })
    .await;

    assert_eq!((before.state, before.term), (GroupState::Fencing, 1));
    assert_eq!(cluster.record().unwrap().primary, "a");
}
