//! Permits for connections beyond the base share.

use std::time::{Duration, Instant};

use control::permits::{NEW_LEADER_DELAY, PERMIT_DURATION, Permits, Share};
use proptest::prelude::*;
use rstest::rstest;

const SHARE: Share = Share::new(16, 9);

fn holder(i: u64) -> (String, u64) {
    (format!("e{i}"), 1)
}

fn permits_after_delay() -> (Permits, Instant) {
    let now = Instant::now();
    (Permits::new(now), now + NEW_LEADER_DELAY)
}

/// Guards against a split that loses connections or exceeds the limit.
#[rstest]
#[case(16, 9, 1, 7)]
#[case(30, 9, 3, 3)]
#[case(9, 9, 1, 0)]
#[case(4, 9, 0, 4)]
#[case(4, 0, 4, 0)]
fn limit_is_split(#[case] limit: u32, #[case] entries: u32, #[case] base: u32, #[case] pool: u32) {
    assert_eq!(Share::new(limit, entries), Share { base, pool });
}

/// Guards against lending connections that a former leader lent and that are still in use.
#[test]
fn new_leader_lends_nothing_until_old_permits_have_ended() {
    let start = Instant::now();
    let mut permits = Permits::new(start);

    let early = permits.lend(start + PERMIT_DURATION, &holder(1), "m", 5, SHARE);
    let later = permits.lend(start + NEW_LEADER_DELAY, &holder(1), "m", 5, SHARE);

    assert_eq!((early, later), (0, 4));
}

/// Guards against connections that stay lent to a crashed process.
#[test]
fn connections_of_crashed_holder_return_after_expiry() {
    let (mut permits, now) = permits_after_delay();
    assert_eq!(permits.lend(now, &holder(1), "m", 8, SHARE), 7);

    let during = permits.lend(
        now + Duration::from_millis(3_999),
        &holder(2),
        "m",
        8,
        SHARE,
    );
    permits.expire(now + PERMIT_DURATION);
    let after = permits.lend(now + PERMIT_DURATION, &holder(2), "m", 8, SHARE);

    assert_eq!((during, after), (0, 7));
}

/// Guards against a process that keeps the whole pool while others wait.
#[test]
fn holder_gives_back_when_others_wait() {
    let (mut permits, mut now) = permits_after_delay();
    permits.lend(now, &holder(1), "m", 8, SHARE);
    let mut lent = (0, 0);

    for _ in 0..20 {
        now += Duration::from_millis(300);
        lent.0 = permits.lend(now, &holder(1), "m", 8, SHARE);
        lent.1 = permits.lend(now, &holder(2), "m", 8, SHARE);
    }

    assert!(lent.0 <= 4 && lent.1 >= 3, "{lent:?}");
}

/// Guards against connections to one database that count towards the limit of another one.
#[test]
fn members_are_counted_separately() {
    let (mut permits, now) = permits_after_delay();

    assert_eq!(permits.lend(now, &holder(1), "m", 8, SHARE), 7);
    assert_eq!(permits.lend(now, &holder(1), "n", 8, SHARE), 7);
    assert_eq!(permits.held(now, "m"), 7);
}

proptest! {
    /// Guards against more connections than the limit, whatever the requests and the lost answers:
    /// a holder may use the largest grant that has not expired.
    #[test]
    fn loans_never_exceed_pool(
        limit in 1_u32..40,
        entries in 1_u32..12,
        steps in proptest::collection::vec((0_u64..12, 0_u32..50, 0_u64..2_000), 1..200),
    ) {
        let share = Share::new(limit, entries);
        let (mut permits, mut now) = permits_after_delay();
        let mut grants: Vec<((String, u64), u32, Instant)> = Vec::new();
        for (who, wanted, wait) in steps {
            now += Duration::from_millis(wait);
            permits.expire(now);
            let lent = permits.lend(now, &holder(who), "m", wanted, share);
            grants.push((holder(who), lent, now + PERMIT_DURATION));
            grants.retain(|(_, _, expires_at)| *expires_at > now);
            let total: u32 = (0..12)
                .map(|i| {
                    let own = grants.iter().filter(|(h, _, _)| *h == holder(i));
                    own.map(|(_, lent, _)| *lent).max().unwrap_or(0)
                })
                .sum();
            prop_assert!(total <= share.pool, "{total} lent of {}", share.pool);
            prop_assert!(share.base * entries + total <= limit);
        }
    }
}
