//! Pools: connection shares, the waiting queue, and connections that fail.

mod fakes;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use entry::{
    metrics::Metrics,
    pool::{Limits, Pool, PoolError},
};
use fakes::{Upstream, deadline_in, query, run, sleep, wait_until};
use rstest::rstest;

const LIMITS: Limits = Limits {
    connections: 9,
    entries: 3,
    slots: 9,
    queue: 50,
};

async fn pool(limits: Limits) -> (Rc<Pool>, Rc<Upstream>) {
    let upstream = Upstream::start("a").await;
    let from = "127.0.0.1".parse().unwrap();
    let metrics = Metrics::new();
    let pool = Pool::new(
        "a",
        "orders",
        upstream.address,
        from,
        true,
        limits,
        &metrics,
    );
    (pool, upstream)
}

/// However many requests come, the base share is not exceeded, and all are served.
#[test]
fn base_share() {
    run(async {
        let (pool, upstream) = pool(LIMITS).await;
        upstream.query_ms.set(2);
        let requests = (0..40).map(|_| async {
            query(pool.acquire(deadline_in(3_000)).await.unwrap()).await;
        });
        futures_util::future::join_all(requests).await;
        assert_eq!((upstream.queries.get(), upstream.max_open.get()), (40, 3));
    });
}

/// Bytes exchanged with a member of another region are counted, because the link is billed.
#[test]
fn region_bytes() {
    run(async {
        let upstream = Upstream::start("a").await;
        let from = "127.0.0.1".parse().unwrap();
        let metrics = Metrics::new();
        let pool = Pool::new("a", "g", upstream.address, from, true, LIMITS, &metrics);
        for _ in 0..2 {
            query(pool.acquire(deadline_in(1_000)).await.unwrap()).await;
        }
        let bytes = |direction| metrics.region.with_label_values(&["a", direction]).get();
        // Startup (8 + 19 + 11 + 1, and 36 + 5 for the limit of idle transactions) and two queries;
        // login (9 + 6) and two answers (8 + 6).
        assert_eq!(bytes("sent"), 80 + 2 * 14);
        assert_eq!(bytes("received"), 15 + 2 * 14);
    });
}

/// Lent connections are opened on demand and closed before the permit ends, also those in use.
#[test]
fn permit_ends() {
    run(async {
        let limits = Limits {
            connections: 9,
            entries: 4,
            ..LIMITS
        };
        let (pool, upstream) = pool(limits).await;
        pool.apply_permit(1, Instant::now(), Duration::from_millis(600));
        let mut held = Vec::new();
        for _ in 0..3 {
            held.push(pool.acquire(deadline_in(1_000)).await.unwrap());
        }
        assert_eq!(upstream.open.get(), 3);
        let end = deadline_in(594);
        while Instant::now() < end {
            pool.maintain(Instant::now());
            sleep(20).await;
        }
        assert_eq!(upstream.open.get(), 2);
    });
}

/// A lent connection that is not used is given back soon.
#[test]
fn lent_idle() {
    run(async {
        let (pool, upstream) = pool(LIMITS).await;
        pool.apply_permit(3, Instant::now(), Duration::from_mins(1));
        let mut held = Vec::new();
        for _ in 0..6 {
            held.push(pool.acquire(deadline_in(1_000)).await.unwrap());
        }
        held.into_iter().for_each(entry::fleet::Lease::release);
        assert_eq!(upstream.open.get(), 6);
        pool.maintain(deadline_in(2_100));
        wait_until("lent connections are closed", || upstream.open.get() == 3).await;
    });
}

/// A request that waits too long is told that it did not run.
#[test]
fn deadline() {
    run(async {
        let limits = Limits {
            connections: 3,
            ..LIMITS
        };
        let (pool, _upstream) = pool(limits).await;
        let held = pool.acquire(deadline_in(1_000)).await.unwrap();
        let late = pool.acquire(deadline_in(50)).await;
        assert_eq!(late.err(), Some(PoolError::Deadline));
        drop(held);
    });
}

/// A full queue refuses at once.
#[test]
fn full_queue() {
    run(async {
        let limits = Limits {
            connections: 3,
            queue: 2,
            ..LIMITS
        };
        let (pool, _upstream) = pool(limits).await;
        let _held = pool.acquire(deadline_in(1_000)).await.unwrap();
        let attempts = (0..3).map(|_| pool.acquire(deadline_in(100)));
        let results = futures_util::future::join_all(attempts).await;
        let full = results
            .iter()
            .filter(|result| matches!(result, Err(PoolError::Full)));
        assert_eq!(full.count(), 1);
    });
}

/// Statements at once are bounded by the slots, although connections are free.
#[test]
fn slots() {
    run(async {
        let limits = Limits {
            entries: 1,
            slots: 2,
            ..LIMITS
        };
        let (pool, upstream) = pool(limits).await;
        upstream.query_ms.set(10);
        let requests = (0..10).map(|_| async {
            query(pool.acquire(deadline_in(3_000)).await.unwrap()).await;
        });
        futures_util::future::join_all(requests).await;
        assert_eq!(upstream.max_open.get(), 2);
    });
}

/// A transaction that waits for its caller must not keep others from the slots.
#[test]
fn idle_transaction() {
    run(async {
        let limits = Limits {
            entries: 1,
            slots: 1,
            ..LIMITS
        };
        let (pool, _upstream) = pool(limits).await;
        let _transaction = pool.acquire(deadline_in(1_000)).await.unwrap();
        let maintained = async {
            for _ in 0..10 {
                sleep(50).await;
                pool.maintain(Instant::now());
            }
        };
        let (other, ()) = futures_util::join!(pool.acquire(deadline_in(1_000)), maintained);
        assert_eq!(other.unwrap().member(), "a");
    });
}

/// A connection that is not given back in a clean state must not be used again; one that was never
/// touched may.
#[rstest]
#[case::touched(true, 2)]
#[case::untouched(false, 1)]
fn dropped_lease(#[case] touched: bool, #[case] accepted: u32) {
    run(async {
        let (pool, upstream) = pool(LIMITS).await;
        let mut lease = pool.acquire(deadline_in(1_000)).await.unwrap();
        if touched {
            lease.client();
        }
        drop(lease);
        query(pool.acquire(deadline_in(1_000)).await.unwrap()).await;
        assert_eq!(upstream.accepted.get(), accepted);
    });
}

/// An idle connection that the database closed must not be handed out: the request would end as
/// unknown.
#[test]
fn closed_idle() {
    run(async {
        let (pool, upstream) = pool(LIMITS).await;
        upstream.close_after_query.set(true);
        for _ in 0..3 {
            query(pool.acquire(deadline_in(1_000)).await.unwrap()).await;
            sleep(20).await;
        }
        assert_eq!(upstream.accepted.get(), 3);
    });
}

/// An idle connection that went silent is found by the health check and closed.
#[test]
fn silent_idle() {
    run(async {
        let (pool, upstream) = pool(LIMITS).await;
        query(pool.acquire(deadline_in(1_000)).await.unwrap()).await;
        upstream.silent_below.set(1);
        pool.maintain(deadline_in(5_100));
        sleep(1_100).await;
        query(pool.acquire(deadline_in(1_000)).await.unwrap()).await;
        assert_eq!(upstream.accepted.get(), 2);
    });
}

/// A healthy idle connection survives the check and is used again, and is closed when it has been
/// idle for long.
#[test]
fn healthy_idle() {
    run(async {
        let (pool, upstream) = pool(LIMITS).await;
        query(pool.acquire(deadline_in(1_000)).await.unwrap()).await;
        pool.maintain(deadline_in(5_100));
        sleep(50).await;
        query(pool.acquire(deadline_in(1_000)).await.unwrap()).await;
        assert_eq!(upstream.accepted.get(), 1);
        pool.maintain(deadline_in(60_100));
        wait_until("the connection is closed", || upstream.open.get() == 0).await;
    });
}

/// Requests that wait for a member that can't be connected to are sent away at once, so that they
/// can look for another.
#[test]
fn no_connection() {
    run(async {
        let upstream = Upstream::start("a").await;
        let mut closed = upstream.address;
        closed.set_ip("127.0.0.99".parse().unwrap());
        let from = "127.0.0.1".parse().unwrap();
        let metrics = Metrics::new();
        let pool = Pool::new("a", "orders", closed, from, false, LIMITS, &metrics);
        let start = Instant::now();
        let refused = pool.acquire(deadline_in(5_000)).await;
        assert_eq!(refused.err(), Some(PoolError::Closed));
        assert!(start.elapsed() < Duration::from_secs(1));
        assert!(!pool.is_usable(Instant::now()));
    });
}

/// A stopped member gives no connection, and a released one is closed.
#[test]
fn drained() {
    run(async {
        let (pool, upstream) = pool(LIMITS).await;
        let lease = pool.acquire(deadline_in(1_000)).await.unwrap();
        pool.drain(true);
        let refused = pool.acquire(deadline_in(1_000)).await;
        assert_eq!(refused.err(), Some(PoolError::Closed));
        query(lease).await;
        wait_until("the connection is closed", || upstream.open.get() == 0).await;
    });
}
