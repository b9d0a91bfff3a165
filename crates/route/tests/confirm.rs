//! Confirmation, write leases, connection permits and the retry budget.

use std::time::{Duration, Instant};

use base::{MemberName, Position, StoreId};
use route::{Confirmation, ConnectionShare, RetryBudget, WriteLease};
use rstest::rstest;

fn pairs(names: &[&str]) -> Vec<(MemberName, StoreId)> {
    let pair = |name: &&str| ((*name).to_owned(), format!("store-{name}"));
    names.iter().map(pair).collect()
}

fn group(needed: usize) -> Confirmation {
    let mut group = Confirmation::new(2, pairs(&["a", "b", "c"]), needed);
    group.update_position("a", "store-a", Position::new(2, 30));
    group.update_position("b", "store-b", Position::new(2, 20));
    group.update_position("c", "store-c", Position::new(2, 10));
    group
}

/// A position is confirmed once the needed number of members have stored it.
#[rstest]
#[case(1, 30)]
#[case(2, 20)]
#[case(3, 10)]
fn enough_members(#[case] needed: usize, #[case] offset: u64) {
    assert_eq!(group(needed).confirmed(), Some(Position::new(2, offset)));
}

/// Guards against counting a member that lost its disk, although it had stored the position before.
#[test]
fn lost_store() {
    let mut group = group(2);
    group.update_position("b", "store-new", Position::new(2, 40));
    assert_eq!(group.confirmed(), Some(Position::new(2, 10)));
}

/// The position of a member that is not recorded or that is in another term is ignored.
#[rstest]
#[case("d", "store-d", Position::new(2, 40))]
#[case("c", "store-c", Position::new(1, 40))]
#[case("c", "store-c", Position::new(3, 40))]
fn ignores_unrecorded_member_and_other_terms(
    #[case] member: &str,
    #[case] store: &str,
    #[case] position: Position,
) {
    let mut group = group(2);
    group.update_position(member, store, position);
    assert_eq!(group.confirmed(), Some(Position::new(2, 20)));
}

/// Offsets of an older term do not count in a new one.
#[test]
fn new_term() {
    let mut group = group(2);
    group.update_record(3, pairs(&["a", "b", "c"]), 2);
    assert_eq!(group.confirmed(), None);
}

/// A replaced store in the record removes the offset of the old store and no other offset.
#[test]
fn new_record() {
    let mut group = group(2);
    let mut changed = pairs(&["a", "b", "c"]);
    changed[1].1 = "store-new".into();
    group.update_record(2, changed, 2);
    assert_eq!(group.confirmed(), Some(Position::new(2, 10)));
}

/// A late status must not lower the confirmed position.
#[test]
fn late_status() {
    let mut group = group(2);
    group.update_position("b", "store-b", Position::new(2, 5));
    assert_eq!(group.confirmed(), Some(Position::new(2, 20)));
}

/// One host of three is no majority, two are; five hosts need three.
#[rstest]
#[case(3, 1, false)]
#[case(3, 2, true)]
#[case(5, 2, false)]
#[case(5, 3, true)]
#[case(1, 1, true)]
fn majority(#[case] hosts: usize, #[case] grants: usize, #[case] valid: bool) {
    let now = Instant::now();
    let mut lease = WriteLease::new(hosts);
    for i in 0..grants {
        lease.record_grant(&i.to_string(), now, 1);
    }
    assert_eq!(lease.is_valid(1, now), valid);
}

/// The lease must end 1% before two seconds have passed since the request, even if the reply came
/// later because the process was frozen in between.
#[rstest]
#[case(1_979, true)]
#[case(1_980, false)]
#[case(10_000, false)]
fn counts_from_request(#[case] millis: u64, #[case] valid: bool) {
    let requested = Instant::now();
    let mut lease = WriteLease::new(3);
    lease.record_grant("a", requested, 1);
    lease.record_grant("b", requested, 1);
    let now = requested + Duration::from_millis(millis);
    assert_eq!(lease.is_valid(1, now), valid);
}

/// The lease ends with the oldest grant of the majority, and several grants of one host count once.
#[test]
fn oldest_of_majority() {
    let start = Instant::now();
    let mut lease = WriteLease::new(3);
    lease.record_grant("a", start, 1);
    lease.record_grant("b", start + Duration::from_secs(1), 1);
    lease.record_grant("b", start + Duration::from_millis(1_500), 1);
    assert_eq!(
        lease.expires_at(1),
        Some(start + Duration::from_millis(1_980))
    );
}

/// Grants for an older record version do not count for a newer one.
#[test]
fn record_version() {
    let now = Instant::now();
    let mut lease = WriteLease::new(3);
    lease.record_grant("a", now, 4);
    lease.record_grant("b", now, 5);
    assert!(lease.is_valid(4, now));
    assert!(!lease.is_valid(5, now));
}

/// A reply to an earlier request that arrives late must not change the lease.
#[test]
fn reordered_replies() {
    let start = Instant::now();
    let mut lease = WriteLease::new(1);
    lease.record_grant("a", start + Duration::from_millis(300), 2);
    lease.record_grant("a", start, 1);
    assert_eq!(
        lease.expires_at(2),
        Some(start + Duration::from_millis(2_280))
    );
}

/// The base share does not expire; lent connections end 1% before their permit.
#[test]
fn permit_ends() {
    let start = Instant::now();
    let mut share = ConnectionShare::new(16, 9);
    assert_eq!((share.base(), share.lendable()), (1, 7));
    share.add_permit(5, start, Duration::from_secs(4));
    let at = |millis| start + Duration::from_millis(millis);
    assert_eq!(share.target(at(3_959)), 6);
    assert_eq!(share.target(at(3_960)), 1);
    let margin = Duration::from_millis(200);
    assert_eq!(share.limit(at(3_759), margin), 6);
    assert_eq!(share.limit(at(3_760), margin), 1);
}

/// A smaller permit lowers the target at once, and the limit when the larger permit ends.
#[test]
fn smaller_permit() {
    let start = Instant::now();
    let mut share = ConnectionShare::new(16, 9);
    share.add_permit(5, start, Duration::from_secs(4));
    share.add_permit(2, start + Duration::from_secs(1), Duration::from_secs(4));
    let at = |millis| start + Duration::from_millis(millis);
    assert_eq!(share.target(at(1_000)), 3);
    assert_eq!(share.limit(at(1_000), Duration::ZERO), 6);
    assert_eq!(share.limit(at(4_000), Duration::ZERO), 3);
}

/// The base shares and the lendable connections add up to what the database accepts, so that all
/// entry processes together never exceed it.
#[rstest]
#[case(16, 9)]
#[case(30, 9)]
#[case(30, 7)]
#[case(9, 9)]
fn shares_add_up_to_limit(#[case] connections: u32, #[case] entries: u32) {
    let share = ConnectionShare::new(connections, entries);
    assert!(share.base() >= 1);
    assert_eq!(share.base() * entries + share.lendable(), connections);
}

/// Each process may run at least one statement; the only user of a database may use all slots.
#[rstest]
#[case(0, 1)]
#[case(7, 4)]
fn slots(#[case] lent: u32, #[case] expected: u32) {
    let now = Instant::now();
    let mut share = ConnectionShare::new(16, 9);
    share.add_permit(lent, now, Duration::from_secs(4));
    assert_eq!(share.slots(4, now), expected);
}

/// Retries stay at a tenth of the requests, and requests without retries save up a burst of ten at
/// most.
#[test]
fn retry_budget() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert!((99..=100).contains(&retries), "{retries}");
    (0..100_000).for_each(|_| budget.deposit());
    let burst = std::iter::repeat_with(|| budget.withdraw()).take_while(|&allowed| allowed);
    assert_eq!(burst.count(), 10);
}
