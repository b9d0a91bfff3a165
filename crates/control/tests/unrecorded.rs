//! Databases that announce themselves and are not in the group record yet.

mod common;

use std::time::{Duration, Instant};

use base::Position;
use common::{Cluster, FakeMember, Group, observe_until, observe_until_term};
use control::{
    machine::{GroupState, Member, Record},
    sighting::Health,
    unrecorded::{with_members, without_restarted},
};
use route::Status;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn stable_group() -> (Cluster, Group) {
    common::stable_group_of(Cluster::start_with(true).await).await
}

/// Adds a replica `d` at `offset` to the group.
async fn add_replica(group: &mut Group, offset: u64) {
    let replica = FakeMember::start("d").await;
    replica.state.borrow_mut().position = Position::new(1, offset);
    group.members.push(replica);
}

fn is_recorded(cluster: &Cluster, name: &str) -> bool {
    cluster
        .record()
        .is_some_and(|record| record.member(name).is_some())
}

/// Guards against the loss of acknowledged commits that only a new replica has: under steady load
/// no read of its position shows the primary's, so it stayed out of the record and was not asked.
#[compio::test]
async fn new_replica_behind_the_primary_is_recorded() {
    let (cluster, mut group) = stable_group().await;
    group.members[0].state.borrow_mut().position.offset = 12;
    add_replica(&mut group, 11).await;

    observe_until(&cluster, &group, TIMEOUT, || is_recorded(&cluster, "d")).await;
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);
    observe_until_term(&cluster, &group, 2).await;

    assert_eq!(cluster.record().unwrap().primary, "d");
}

/// Guards against the loss of acknowledged commits that a replica has which announces itself only
/// while the primary is being replaced.
#[compio::test]
async fn replica_announced_during_a_promotion_is_asked() {
    let (mut cluster, mut group) = stable_group().await;
    cluster.hosts[0].crash();
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);
    cluster.interrupt(GroupState::Fencing, "a").await;
    add_replica(&mut group, 11).await;
    group.observe(&cluster);

    cluster.restart(0, common::past_start()).await;
    cluster.shared.set_leader("c1");
    observe_until_term(&cluster, &group, 2).await;

    assert_eq!(cluster.record().unwrap().primary, "d");
}

/// Guards against a group that stays without a primary because a database announces itself and never
/// answers, and against one that is chosen without waiting for it.
#[compio::test]
async fn promotion_waits_a_limited_time_for_a_database_that_never_answered() {
    let (cluster, mut group) = stable_group().await;
    add_replica(&mut group, 11).await;
    group.members[3].state.borrow_mut().fault = Some(Health::Silent);
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);

    let took = observe_until_term(&cluster, &group, 2).await;

    assert!(!is_recorded(&cluster, "d"));
    let waits = Duration::from_secs(3);
    assert!(took >= waits && took < 2 * waits, "took {took:?}");
    let unread = &cluster.leader().metrics.unread_members;
    assert_eq!(unread.get(), 1);
}

/// Guards against the loss of acknowledged commits that a replica had before it restarted empty,
/// while the other replica is behind: without the old primary no choice is safe.
#[compio::test]
async fn promotion_waits_for_the_primary_after_a_replica_restarted_empty() {
    let (cluster, group) = stable_group().await;
    group.members[0].state.borrow_mut().position.offset = 12;
    group.members[1].lose_disk();
    group.members[1].state.borrow_mut().position = Position::new(1, 3);

    let replaced = || {
        let record = cluster.record().unwrap();
        record.member("b").is_some_and(|b| b.store == "new")
    };
    observe_until(&cluster, &group, TIMEOUT, replaced).await;
    let uncovered = cluster.record().unwrap().uncovered;
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(4) {
        group.observe(&cluster);
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    let before = cluster.record().unwrap();
    group.members[0].state.borrow_mut().fault = None;
    group.members[1].state.borrow_mut().position.offset = 12;
    observe_until(&cluster, &group, TIMEOUT, || {
        let record = cluster.record().unwrap();
        record.state == GroupState::Stable && record.uncovered == 0
    })
    .await;

    assert_eq!(uncovered, 1);
    assert_eq!((before.primary.as_str(), before.term), ("a", 1));
    assert_eq!(cluster.record().unwrap().primary, "a");
}

/// Guards against a group without a primary because a restarted replica is never counted again as
/// long as another replica is down: the primary and the restarted one together have every commit.
#[compio::test]
async fn caught_up_store_is_covered_while_another_replica_is_down() {
    let (cluster, group) = stable_group().await;
    group.members[2].state.borrow_mut().fault = Some(Health::Refused);
    group.members[0].state.borrow_mut().position.offset = 12;
    group.members[1].lose_disk();

    let uncovered = |count| {
        let record = cluster.record();
        record.is_some_and(|record| record.uncovered == count)
    };
    observe_until(&cluster, &group, TIMEOUT, || uncovered(1)).await;
    group.members[1].state.borrow_mut().position = Position::new(1, 12);

    observe_until(&cluster, &group, 2 * TIMEOUT, || uncovered(0)).await;
}

/// Guards against a group that stays without a primary after its primary restarted with its log: the
/// entry processes use only the recorded store.
#[compio::test]
async fn primary_that_restarted_with_its_log_is_recorded() {
    let (cluster, group) = stable_group().await;
    "again".clone_into(&mut group.members[0].state.borrow_mut().store);

    observe_until(&cluster, &group, TIMEOUT, || {
        let record = cluster.record().unwrap();
        record.member("a").unwrap().store == "again"
    })
    .await;

    let record = cluster.record().unwrap();
    assert_eq!((record.primary.as_str(), record.term), ("a", 1));
    assert_eq!(record.uncovered, 0);
}

/// Guards against a group that stays without a primary when a promotion needs the old primary and that
/// restarted with its log: it was chosen, and its recorded store stayed the former one.
#[compio::test]
async fn restarted_primary_that_a_promotion_needs_is_recorded() {
    let (mut cluster, group) = stable_group().await;
    cluster.hosts[0].crash();
    group.members[0].state.borrow_mut().position.offset = 12;
    "again".clone_into(&mut group.members[0].state.borrow_mut().store);
    group.members[2].state.borrow_mut().fault = Some(Health::Refused);
    cluster.interrupt(GroupState::Fencing, "a").await;
    group.observe(&cluster);

    cluster.restart(0, common::past_start()).await;
    cluster.shared.set_leader("c1");
    observe_until_term(&cluster, &group, 2).await;

    let record = cluster.record().unwrap();
    assert_eq!(record.primary, "a");
    assert_eq!(record.member("a").unwrap().store, "again");
}

/// Guards against a new replica that stays unrecorded until the next periodic check.
#[compio::test]
async fn new_replica_is_recorded_at_once() {
    let (cluster, mut group) = stable_group().await;
    compio::time::sleep(Duration::from_millis(300)).await;
    add_replica(&mut group, 11).await;

    let took = observe_until(&cluster, &group, TIMEOUT, || is_recorded(&cluster, "d")).await;

    assert!(took < Duration::from_millis(500), "took {took:?}");
}

fn member(name: &str, store: &str) -> Member {
    Member {
        member: name.to_owned(),
        store: store.to_owned(),
        address: format!("127.0.0.1:{}", name.as_bytes()[0]),
        zone: "z".to_owned(),
        region: "r".to_owned(),
    }
}

fn record() -> Record {
    Record {
        group: "g".to_owned(),
        term: 1,
        state: GroupState::Stable,
        next: 0,
        primary: "a".to_owned(),
        members: ["a", "b", "c"].map(|name| member(name, "s")).into(),
        confirmations: 2,
        planned: None,
        removed: std::collections::BTreeSet::new(),
        uncovered: 0,
        abandoned: std::collections::BTreeSet::new(),
        stopping: std::collections::BTreeSet::new(),
        base: None,
        former: None,
        version: 1,
    }
}

/// Guards against a read quorum that misses a member which may have acknowledged a commit.
#[test]
fn each_recorded_database_raises_the_read_quorum() {
    let changed = with_members(&record(), &[member("d", "s"), member("b", "s")]);

    assert_eq!(changed.members.len(), 4);
    assert_eq!(changed.uncovered, 0);
    assert_eq!(changed.read_quorum(), 3);
}

/// Guards against a new store that counts as if it held the log of the store that it replaces.
#[test]
fn new_store_leaves_the_old_one_uncovered() {
    let changed = with_members(&record(), &[member("b", "new")]);

    assert_eq!(changed.members.len(), 3);
    assert_eq!(changed.member("b").unwrap().store, "new");
    assert_eq!((changed.uncovered, changed.read_quorum()), (1, 3));
}

fn status(member: &str, term: u64, offset: u64) -> Status {
    Status {
        member: member.to_owned(),
        store: "s".to_owned(),
        primary: false,
        position: Position::new(term, offset),
        following: String::new(),
    }
}

/// Guards against the loss of acknowledged commits because a database that restarted empty counts for
/// the read quorum as if it still held its log (review/2), and against a group that stays without a
/// primary because the one that came back with its log does not count.
#[rstest]
#[case::none_restarted(&[], &[("a", 1, 12), ("b", 1, 12), ("c", 1, 10)], &["a", "b", "c"])]
#[case::empty_replica(&["b"], &[("b", 1, 0), ("c", 1, 10)], &["c"])]
#[case::replica_that_copied_again(&["b"], &[("b", 1, 12), ("c", 1, 10)], &["c"])]
#[case::empty_primary(&["a"], &[("a", 1, 0), ("c", 1, 10)], &["c"])]
#[case::empty_primary_without_term(&["a"], &[("a", 0, 0), ("c", 0, 0)], &["c"])]
#[case::primary_with_its_log(&["a"], &[("a", 1, 12), ("c", 1, 10)], &["a", "c"])]
fn answers_of_restarted_databases_do_not_count(
    #[case] restarted: &[&str],
    #[case] answers: &[(&str, u64, u64)],
    #[case] counted: &[&str],
) {
    let statuses: Vec<_> = answers.iter().map(|(m, t, o)| status(m, *t, *o)).collect();
    let announced = |member: &str| {
        let store = if restarted.contains(&member) {
            "new"
        } else {
            "s"
        };
        Some(store.to_owned())
    };

    let kept = without_restarted(&record(), &statuses, announced);

    let kept: Vec<_> = kept.iter().map(|status| status.member.as_str()).collect();
    assert_eq!(kept, counted);
}

/// Guards against the loss of acknowledged commits because the target of a failed promotion, which
/// restarted and copied a part of the log again, counts as the primary that kept its log.
#[test]
fn restarted_target_of_a_failed_promotion_does_not_count() {
    let record = Record {
        state: GroupState::Fencing,
        primary: "b".to_owned(),
        former: Some("a".to_owned()),
        ..record()
    };
    let statuses = [status("b", 1, 12), status("c", 1, 10)];
    let announced = |member: &str| Some(if member == "b" { "new" } else { "s" }.to_owned());

    let kept = without_restarted(&record, &statuses, announced);

    let kept: Vec<_> = kept.iter().map(|status| status.member.as_str()).collect();
    assert_eq!(kept, ["c"]);
}
