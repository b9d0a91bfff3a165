//! Promotion against databases over loopback, with three control hosts over RPC.

mod common;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::Position;
use common::{
    Cluster, FakeMember, Group, is_settled, observe_until, observe_until_term, past_start,
    stable_group,
};
use compio::time::sleep;
use control::{
    machine::{Command, GroupState, PlannedChange},
    sighting::{Health, Sighting},
    upstream::{Fence, Order, Target},
};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(12);

/// Guards against a first record without a primary, and replicas that follow no primary.
#[compio::test]
async fn first_record_promotes_first_member_and_others_follow() {
    let (cluster, group) = stable_group().await;

    let record = cluster.record().unwrap();
    assert_eq!((record.term, record.primary.as_str()), (1, "a"));
    assert_eq!(record.members.len(), 3);
    assert_eq!(group.members[0].promote_statements(), ["PROMOTE TERM 1"]);
    let primary = group.members[0].address.to_string();
    assert_eq!(group.members[1].state.borrow().following, primary);
}

/// Guards against lost acknowledged writes after a failover to a member that is not the most
/// advanced one.
#[compio::test]
async fn refused_primary_is_replaced_at_once_by_most_advanced_member() {
    let (cluster, group) = stable_group().await;
    group.members[2].state.borrow_mut().position.offset = 12;
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);

    let took = observe_until_term(&cluster, &group, 2).await;

    let record = cluster.record().unwrap();
    assert_eq!(record.primary, "c");
    assert!(took < Duration::from_millis(1_500), "took {took:?}");
    let timings = cluster.leader().timings.borrow();
    let timing = timings.back().unwrap();
    assert!(timing.detection.is_some() && timing.fencing.is_some() && timing.leases.is_some());
    assert!(timing.reads.is_some() && timing.order.is_some());
}

/// Guards against a group that stays without a primary because a replica is lost and the failed
/// primary returns with its log under another name.
#[compio::test]
async fn renamed_primary_is_promoted() {
    let (cluster, group) = stable_group().await;
    group.members[0].state.borrow_mut().position.offset = 11;
    group.members[2].state.borrow_mut().fault = Some(Health::Silent);
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);
    {
        let mut returned = group.members[0].state.borrow_mut();
        "d".clone_into(&mut returned.member);
        "store-d".clone_into(&mut returned.store);
        returned.primary = false;
        returned.fault = None;
    };
    let sighting_of_a = Sighting {
        health: Health::Refused,
        since: Duration::from_millis(1_600),
        position: Position::default(),
        primary: false,
    };

    let start = Instant::now();
    while !(cluster.record().unwrap().term == 2 && is_settled(&cluster, &group)) {
        assert!(start.elapsed() < TIMEOUT, "{:?}", cluster.record());
        let records = cluster.leader().state.borrow().version;
        for i in 0..3 {
            let mut renewal = group.renewal(i, records, Group::actual_health);
            let report = ("g".to_owned(), "a".to_owned(), sighting_of_a);
            renewal.sightings.push(report);
            cluster.renew(&renewal);
        }
        sleep(Duration::from_millis(50)).await;
    }

    let record = cluster.record().unwrap();
    assert_eq!(record.primary, "d");
    assert!(record.member("a").is_none());
}

/// Guards against a failover caused by a single entry process that is isolated itself.
#[compio::test]
async fn single_isolated_observer_causes_no_failover() {
    let (cluster, group) = stable_group().await;
    let version = cluster.record().unwrap().version;

    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(2) {
        group.observe(&cluster);
        cluster.renew(&group.renewal(0, version, |_| Health::Silent));
        sleep(Duration::from_millis(50)).await;
    }

    assert_eq!(cluster.record().unwrap().version, version);
}

/// Guards against a change of primary that stays unfinished, or runs twice, after the leader stops
/// between two steps.
#[rstest]
#[case::fencing(GroupState::Fencing)]
#[case::promoting(GroupState::Promoting)]
#[compio::test]
async fn new_leader_continues_from_record(#[case] state: GroupState) {
    let (mut cluster, group) = stable_group().await;
    cluster.hosts[0].crash();
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);
    let primary = if state == GroupState::Promoting {
        "b"
    } else {
        "a"
    };
    cluster.interrupt(state, primary).await;

    cluster.restart(0, past_start()).await;
    cluster.shared.set_leader("c1");
    observe_until_term(&cluster, &group, 2).await;

    let promoted = group
        .members
        .iter()
        .map(|m| m.promote_statements().len())
        .sum::<usize>();
    assert_eq!(promoted, 2, "one promotion in term 1 and one in term 2");
}

/// Guards against two primaries in one term if the leader crashes after the promotion was executed.
#[compio::test]
async fn executed_order_is_repeated_to_same_member() {
    let (mut cluster, group) = stable_group().await;
    cluster.hosts[0].crash();
    cluster.interrupt(GroupState::Promoting, "b").await;
    group.members[1].state.borrow_mut().position = Position::new(2, 10);
    group.members[1].state.borrow_mut().primary = true;

    cluster.restart(0, past_start()).await;
    cluster.shared.set_leader("c2");
    observe_until(&cluster, &group, TIMEOUT, || is_settled(&cluster, &group)).await;

    let record = cluster.record().unwrap();
    assert_eq!((record.term, record.primary.as_str()), (2, "b"));
}

/// Guards against the promotion of an empty member, whose followers would discard acknowledged
/// writes. The chosen member loses its disk before it is ordered.
#[compio::test]
async fn candidate_that_loses_its_disk_is_not_promoted() {
    let (mut cluster, group) = stable_group().await;
    cluster.hosts[0].crash();
    cluster.interrupt(GroupState::Promoting, "b").await;
    group.members[1].lose_disk();

    cluster.restart(0, past_start()).await;
    cluster.shared.set_leader("c1");
    observe_until(&cluster, &group, TIMEOUT, || is_settled(&cluster, &group)).await;

    let promoted = group.members[1].promote_statements();
    assert!(promoted.is_empty(), "{promoted:?}");
    assert_ne!(cluster.record().unwrap().primary, "b");
}

/// Guards against a group that stays without a primary because the promoted member crashes at once.
#[compio::test]
async fn candidate_that_crashes_after_order_is_replaced() {
    let (cluster, group) = stable_group().await;
    group.members[1].state.borrow_mut().position.offset = 11;
    group.members[1].state.borrow_mut().fails_after_promote = true;
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);

    observe_until(&cluster, &group, TIMEOUT, || {
        cluster.record().unwrap().term == 2
    })
    .await;
    // With one of three members left, none may be promoted until another one returns.
    group.members[0].state.borrow_mut().fault = None;
    observe_until_term(&cluster, &group, 3).await;

    assert_ne!(cluster.record().unwrap().primary, "b");
}

/// Guards against a former primary that returns and continues to serve its old term.
#[compio::test]
async fn returning_old_primary_is_ordered_to_follow() {
    let (cluster, group) = stable_group().await;
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);
    observe_until(&cluster, &group, TIMEOUT, || {
        cluster.record().unwrap().term == 2
    })
    .await;

    group.members[0].state.borrow_mut().fault = None;
    observe_until(&cluster, &group, TIMEOUT, || is_settled(&cluster, &group)).await;

    assert!(!group.members[0].state.borrow().primary);
    assert_eq!(group.members[0].state.borrow().position.term, 2);
}

/// Guards against counting a member that lost its disk before it has caught up again.
#[compio::test]
async fn member_with_lost_disk_counts_only_after_catching_up() {
    let (cluster, group) = stable_group().await;
    group.members[2].lose_disk();

    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(2_500) {
        group.observe(&cluster);
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(
        cluster.record().unwrap().member("c").unwrap().store,
        "store-c"
    );
    assert_eq!(
        group.members[2].state.borrow().following,
        group.members[0].address.to_string()
    );
    group.members[2].state.borrow_mut().position.offset = 10;
    observe_until(&cluster, &group, TIMEOUT, || {
        cluster.record().unwrap().member("c").unwrap().store == "new"
    })
    .await;

    assert_eq!(cluster.record().unwrap().term, 1);
}

/// Guards against a primary that lost its disk and remains the recorded primary.
#[compio::test]
async fn primary_with_lost_disk_is_replaced() {
    let (cluster, group) = stable_group().await;
    group.members[0].lose_disk();

    observe_until(&cluster, &group, TIMEOUT, || {
        cluster.record().unwrap().term == 2
    })
    .await;

    assert_ne!(cluster.record().unwrap().primary, "a");
}

/// Guards against a promotion before the lease of a silent holder has expired.
#[compio::test]
async fn silent_lease_holder_delays_promotion_for_two_seconds() {
    let (cluster, group) = stable_group().await;
    let version = cluster.record().unwrap().version;
    let mut silent_holder = group.renewal(7, version, Group::actual_health);
    silent_holder.sightings.clear();
    assert_eq!(cluster.renew(&silent_holder), [true, true, true]);
    let granted = Instant::now();
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);

    observe_until(&cluster, &group, TIMEOUT, || {
        group.members[1..]
            .iter()
            .any(|member| !member.promote_statements().is_empty())
    })
    .await;

    let waited = granted.elapsed();
    assert!(
        waited >= Duration::from_secs(2),
        "promoted after {waited:?}"
    );
    assert!(waited < Duration::from_secs(4), "promoted after {waited:?}");
}

/// Guards against an outage of writes because the primary stops without a handover.
#[compio::test]
async fn leaving_primary_hands_over() {
    let (cluster, group) = stable_group().await;
    group.members[0].state.borrow_mut().leaving = true;
    group.members[1].state.borrow_mut().leaving = true;

    observe_until(&cluster, &group, TIMEOUT, || {
        cluster.record().unwrap().term == 2
    })
    .await;

    assert_eq!(cluster.record().unwrap().primary, "c");
}

/// Guards against a handover that is planned only by the next sweep, up to a second after the
/// primary announced that it will stop.
#[compio::test]
async fn handover_is_planned_when_stop_is_announced() {
    let (cluster, group) = stable_group().await;
    observe_until(&cluster, &group, TIMEOUT, || is_settled(&cluster, &group)).await;
    sleep(Duration::from_millis(200)).await;
    group.members[0].state.borrow_mut().leaving = true;

    let start = Instant::now();
    group.observe(&cluster);
    while cluster.record().unwrap().next == 0 {
        assert!(start.elapsed() < Duration::from_millis(100), "not planned");
        sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against a planned change that delays writes while it waits for a silent replica.
#[compio::test]
async fn silent_replica_does_not_delay_planned_change() {
    let (cluster, group) = stable_group().await;
    group.members[2].state.borrow_mut().fault = Some(Health::Silent);
    let planned = PlannedChange {
        change: "move".to_owned(),
        member: Some("b".to_owned()),
    };
    let command = Command::Plan {
        group: "g".to_owned(),
        planned,
    };

    cluster.propose(command).await;
    let took = observe_until_term(&cluster, &group, 2).await;

    assert_eq!(cluster.record().unwrap().primary, "b");
    assert!(took < Duration::from_millis(800), "took {took:?}");
}

/// Guards against a wait for old leases that an unreachable control host prolongs.
#[compio::test]
async fn silent_control_host_does_not_delay_end_of_leases() {
    let (mut cluster, group) = stable_group().await;
    cluster.silence(2).await;
    let version = cluster.record().unwrap().version;
    let mut silent_holder = group.renewal(7, version, Group::actual_health);
    silent_holder.sightings.clear();
    cluster.renew(&silent_holder);
    let granted = Instant::now();
    sleep(Duration::from_millis(300)).await;
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);

    observe_until(&cluster, &group, TIMEOUT, || {
        cluster.record().unwrap().state == GroupState::Promoting
            || cluster.record().unwrap().term == 2
    })
    .await;

    let waited = granted.elapsed();
    assert!(waited >= Duration::from_secs(2), "after {waited:?}");
    assert!(waited < Duration::from_millis(2_200), "after {waited:?}");
}

/// Guards against a planned change that promotes another member than the requested one.
#[compio::test]
async fn planned_change_moves_primary() {
    let (cluster, group) = stable_group().await;
    let planned = PlannedChange {
        change: "move".to_owned(),
        member: Some("c".to_owned()),
    };
    let command = Command::Plan {
        group: "g".to_owned(),
        planned,
    };

    cluster.propose(command).await;
    observe_until_term(&cluster, &group, 2).await;

    assert_eq!(cluster.record().unwrap().primary, "c");
}

/// Guards against a planned change that interrupts a transaction which could have finished.
#[compio::test]
async fn planned_change_waits_for_running_transactions() {
    let (cluster, group) = stable_group().await;
    let renew_using = |used, records| {
        let mut renewal = group.renewal(8, records, Group::actual_health);
        renewal.demands = vec![control::host::Demand {
            member: "a".to_owned(),
            used,
            wanted: 1,
        }];
        cluster.renew(&renewal);
    };
    renew_using(1, cluster.record().unwrap().version);
    let planned = PlannedChange {
        change: "move".to_owned(),
        member: None,
    };
    let command = Command::Plan {
        group: "g".to_owned(),
        planned,
    };
    cluster.propose(command).await;

    for _ in 0..20 {
        group.observe(&cluster);
        renew_using(1, cluster.record().unwrap().version);
        sleep(Duration::from_millis(50)).await;
    }
    let record = cluster.record().unwrap();
    assert_eq!(
        (record.state, record.term, record.next),
        (GroupState::Stable, 1, 2)
    );
    observe_until(&cluster, &group, TIMEOUT, || {
        renew_using(0, cluster.record().unwrap().version);
        cluster.record().unwrap().term == 2 && is_settled(&cluster, &group)
    })
    .await;

    assert_ne!(cluster.record().unwrap().primary, "a");
}

/// Guards against a failover that waits for an answer of the silent primary.
#[compio::test]
async fn silent_primary_does_not_delay_failover() {
    let (cluster, group) = stable_group().await;
    group.members[0].state.borrow_mut().fault = Some(Health::Silent);

    let took = observe_until_term(&cluster, &group, 2).await;

    assert!(took < Duration::from_millis(1_500), "took {took:?}");
    assert_ne!(cluster.record().unwrap().primary, "a");
}

/// Guards against orders and reads that are sent to the old address of a member that moved.
#[compio::test]
async fn moved_member_with_same_store_is_kept() {
    let (cluster, mut group) = stable_group().await;
    let moved = FakeMember::start("c").await;
    *moved.state.borrow_mut() = group.members[2].state.borrow().clone();
    group.members[2] = moved;

    observe_until(&cluster, &group, TIMEOUT, || {
        let record = cluster.record().unwrap();
        record.member("c").unwrap().address == group.members[2].address.to_string()
    })
    .await;

    assert_eq!(cluster.record().unwrap().term, 1);
}

/// Guards against a stuck promotion if the leader can't reach a database which its peers can reach,
/// and against peers that relay other texts or promote another store than the requested one.
#[compio::test]
async fn peers_relay_reads_and_orders() {
    let (cluster, group) = stable_group().await;
    let host = Rc::clone(cluster.leader());
    let target = |store: &str| Target {
        address: group.members[1].address.to_string(),
        group: "g".to_owned(),
        member: "b".to_owned(),
        store: store.to_owned(),
    };
    let promote = Order::Promote {
        term: 9,
        fence: Fence::default(),
    };
    let follow = Order::Follow {
        primary: "127.0.0.1:1".to_owned(),
        term: 1,
    };

    let status = host.peers.relay_status("c1", &target("")).await.unwrap();
    let follow = host.peers.relay_order("c2", &target(""), &follow).await;
    let not_an_order = relay_text(&cluster, "c2", &target("store-b"), "DROP TABLE x").await;
    let without_store = host.peers.relay_order("c2", &target(""), &promote).await;
    let wrong_store = host
        .peers
        .relay_order("c2", &target("store-c"), &promote)
        .await;
    let promotion = host
        .peers
        .relay_order("c2", &target("store-b"), &promote)
        .await;

    assert_eq!(status.member, "b");
    follow.unwrap();
    not_an_order.unwrap_err();
    without_store.unwrap_err();
    wrong_store.unwrap_err();
    promotion.unwrap();
    assert_eq!(group.members[1].promote_statements(), ["PROMOTE TERM 9"]);
}

/// Sends `text` as an order through a control host.
async fn relay_text(
    cluster: &Cluster,
    host: &str,
    target: &Target,
    text: &str,
) -> Result<(), String> {
    let addresses = cluster.addresses.iter();
    let (_, address) = addresses.clone().find(|(name, _)| name == host).unwrap();
    let stream = compio::net::TcpStream::connect(address).await.unwrap();
    let (gate, driver) = proto::rpc::open::<proto::schema::gate::Client>(stream);
    let _driver = compio::runtime::spawn(driver);
    let peer = gate.peer_request().send().pipeline.get_peer();
    let mut request = peer.order_request();
    let mut builder = request.get().init_target();
    builder.set_address(&target.address);
    builder.set_store(&target.store);
    request.get().set_order(text);
    let response = request.send().promise.await.unwrap();
    let answer = response.get().unwrap();
    if answer.get_done() {
        Ok(())
    } else {
        Err(answer.get_cause().unwrap().to_string().unwrap())
    }
}

/// Guards against a restarted control host that lost its records.
#[compio::test]
async fn restarted_host_has_same_records() {
    let (mut cluster, _group) = stable_group().await;
    let before = cluster.record();

    cluster.restart(0, past_start()).await;

    assert_eq!(cluster.hosts[0].host.record("g"), before);
}

/// Guards against a record for databases whose group belongs to no configured service.
#[compio::test]
async fn unconfigured_group_gets_no_record() {
    let cluster = Cluster::start().await;
    let group = Group::start().await;

    for _ in 0..30 {
        group.observe(&cluster);
        sleep(Duration::from_millis(50)).await;
    }

    assert!(cluster.record().is_none());
    assert!(
        group
            .members
            .iter()
            .all(|member| member.promote_statements().is_empty())
    );
}
