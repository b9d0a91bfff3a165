//! Promotions by an authority that acts late, twice or not at all.

mod common;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::Position;
use common::{
    Cluster, Group,
    authority::{FakeAuthority, Handling},
    observe_until, observe_until_term, past_start,
};
use compio::time::sleep;
use control::{
    calls::UNANSWERED_LIMIT, failover::SILENCE_LIMIT, machine::GroupState, sighting::Health,
};

const TIMEOUT: Duration = Duration::from_secs(15);

/// A group with the primary `a` in term 1, and the authority that promoted it.
async fn managed_group() -> (Cluster, Group, Rc<FakeAuthority>) {
    let authority = FakeAuthority::new();
    let cluster = Cluster::start_managed(&authority).await;
    let group = Group::start().await;
    let states = group.members.iter().map(|member| Rc::clone(&member.state));
    *authority.databases.borrow_mut() = states.collect();
    cluster.configure();
    observe_until_term(&cluster, &group, 1).await;
    for member in &group.members {
        member.state.borrow_mut().position.offset = 10;
    }
    authority.requests.borrow_mut().clear();
    (cluster, group, authority)
}

fn state_of(cluster: &Cluster) -> (GroupState, String) {
    let record = cluster.record().unwrap();
    (record.state, record.primary)
}

/// Guards against the loss of acknowledged commits: a request that acts late promotes a database that
/// lacks what was acknowledged at another one, chosen after the first was given up.
#[compio::test]
async fn member_is_not_given_up_while_its_late_promotion_is_awaited() {
    let (cluster, group, authority) = managed_group().await;
    authority
        .handling
        .set(Handling::Hide(Duration::from_secs(4)));
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);

    observe_until_term(&cluster, &group, 2).await;

    let requests = authority.requests.borrow().clone();
    let chosen = cluster.record().unwrap().primary;
    assert!(
        requests.iter().all(|member| *member == chosen),
        "{requests:?}"
    );
}

/// Guards against the loss of acknowledged commits after the chosen database fell silent: another one
/// is promoted only once the first request can no longer be carried out.
#[compio::test]
async fn other_member_is_promoted_once_the_open_request_is_settled() {
    let (cluster, group, authority) = managed_group().await;
    group.members[1].state.borrow_mut().position.offset = 12;
    authority.handling.set(Handling::Drop);
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);
    let promoting = || state_of(&cluster) == (GroupState::Promoting, "b".to_owned());
    observe_until(&cluster, &group, TIMEOUT, promoting).await;
    observe_until(&cluster, &group, TIMEOUT, || {
        !authority.requests.borrow().is_empty()
    })
    .await;

    group.members[1].state.borrow_mut().fault = Some(Health::Silent);
    group.members[0].state.borrow_mut().fault = None;
    group.members[0].state.borrow_mut().position.offset = 12;
    authority
        .handling
        .set(Handling::Accept(Duration::from_millis(50)));
    let requested = Instant::now();
    let other = || {
        authority
            .requests
            .borrow()
            .last()
            .is_some_and(|member| member != "b")
    };
    observe_until(&cluster, &group, TIMEOUT, other).await;

    let waited = requested.elapsed();
    let margin = Duration::from_millis(500);
    assert!(waited + margin >= UNANSWERED_LIMIT, "waited {waited:?}");
    assert!(
        waited < UNANSWERED_LIMIT + 2 * SILENCE_LIMIT,
        "waited {waited:?}"
    );
}

/// Guards against a second request for one promotion, whose effect starts another term.
#[compio::test]
async fn new_leader_waits_for_the_effect_of_the_former_leaders_request() {
    let (mut cluster, group, authority) = managed_group().await;
    authority
        .handling
        .set(Handling::Accept(Duration::from_millis(400)));
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);
    observe_until(&cluster, &group, TIMEOUT, || {
        !authority.requests.borrow().is_empty()
    })
    .await;

    cluster.restart(0, past_start()).await;
    cluster.shared.set_leader("c1");
    observe_until_term(&cluster, &group, 2).await;

    assert_eq!(authority.requests.borrow().len(), 1);
}

/// Guards against a group without a primary in force after its primary was promoted twice.
#[compio::test]
async fn term_of_a_primary_that_was_promoted_twice_is_recorded() {
    let (cluster, group, _authority) = managed_group().await;

    for member in &group.members {
        member.state.borrow_mut().position = Position::new(2, 10);
    }

    observe_until_term(&cluster, &group, 2).await;
    assert_eq!(state_of(&cluster), (GroupState::Stable, "a".to_owned()));
}

/// Guards against acknowledgements at a primary that was replaced by a late request.
#[compio::test]
async fn member_that_a_late_request_promoted_becomes_the_recorded_primary() {
    let (cluster, group, authority) = managed_group().await;
    group.members[0].state.borrow_mut().position = Position::new(1, 20);

    group.members[2].state.borrow_mut().position = Position::new(2, 10);
    group.members[2].state.borrow_mut().primary = true;

    observe_until_term(&cluster, &group, 2).await;
    assert_eq!(state_of(&cluster), (GroupState::Stable, "c".to_owned()));
    let requests = authority.requests.borrow().clone();
    assert!(requests.iter().all(|member| member == "c"), "{requests:?}");
}

/// Guards against a request by a host that lost its leadership while it worked.
#[compio::test]
async fn host_that_no_longer_leads_requests_nothing() {
    let (cluster, group, authority) = managed_group().await;
    authority.handling.set(Handling::Drop);
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);
    observe_until(&cluster, &group, TIMEOUT, || {
        !authority.requests.borrow().is_empty()
    })
    .await;

    *cluster.shared.leader.borrow_mut() = None;
    let sent = authority.requests.borrow().len();
    sleep(Duration::from_secs(3)).await;

    assert_eq!(authority.requests.borrow().len(), sent);
}

/// Replaces the leader, and returns how long the new one takes to request the promotion of another
/// member after the primary failed.
async fn failover_under_new_leader(
    cluster: &mut Cluster,
    group: &Group,
    authority: &FakeAuthority,
) -> Duration {
    cluster.restart(0, past_start()).await;
    cluster.shared.set_leader("c1");
    let start = Instant::now();
    authority.requests.borrow_mut().clear();
    let primary = cluster.record().unwrap().primary;
    let mut members = group.members.iter();
    let failed = members.find(|member| member.state.borrow().member == primary);
    failed.unwrap().state.borrow_mut().fault = Some(Health::Refused);
    let requested = || !authority.requests.borrow().is_empty();
    observe_until(cluster, group, TIMEOUT, requested).await;
    start.elapsed()
}

/// Guards against a second request for the primary that acts late: a new leader does not know of it,
/// and another database would be promoted at once.
#[compio::test]
async fn new_leader_waits_for_a_repeated_request_for_the_primary() {
    let (mut cluster, group, authority) = managed_group().await;
    authority
        .handling
        .set(Handling::Hide(Duration::from_millis(1_500)));
    group.members[0].state.borrow_mut().fault = Some(Health::Refused);
    observe_until_term(&cluster, &group, 2).await;
    group.members[0].state.borrow_mut().fault = None;

    let waited = failover_under_new_leader(&mut cluster, &group, &authority).await;

    assert!(waited >= UNANSWERED_LIMIT, "waited {waited:?}");
}

/// Guards against a wait for requests that are all carried out, which would lengthen each failover
/// after a change of leader.
#[compio::test]
async fn new_leader_does_not_wait_for_a_single_request() {
    let (mut cluster, group, authority) = managed_group().await;

    let waited = failover_under_new_leader(&mut cluster, &group, &authority).await;

    assert!(waited < UNANSWERED_LIMIT, "waited {waited:?}");
}
