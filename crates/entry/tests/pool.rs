//! Connection pools: shares, the queue of requests, and failing connections.

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

/// Guards against a pool that exceeds its base share under many requests, or fails some of them.
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

/// Guards against wrong counts of the bytes exchanged with another region, whose traffic is billed.
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

/// Guards against lent connections that outlive their permit: they are opened on demand, and closed
/// before the permit expires even if they are in use.
#[test]
fn expired_permit() {
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

/// Guards against idle lent connections that are kept although other processes may need them.
#[test]
fn idle_lent_connections() {
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

/// Guards against a request that waits in the queue beyond its deadline.
#[test]
fn deadline_in_queue() {
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

/// Guards against a request that waits although the queue is full, instead of being refused
/// immediately.
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

/// Guards against more concurrent statements than slots while connections are free.
#[test]
fn slots_limit_statements() {
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

/// Guards against a transaction that waits for its caller and blocks a slot meanwhile.
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

/// Guards against the reuse of a connection that was dropped in an unknown state. A connection
/// whose client was never used may be reused.
#[rstest]
#[case::used(true, 2)]
#[case::unused(false, 1)]
fn dropped_lease(#[case] used: bool, #[case] accepted: u32) {
    run(async {
        let (pool, upstream) = pool(LIMITS).await;
        let mut lease = pool.acquire(deadline_in(1_000)).await.unwrap();
        if used {
            lease.client();
        }
        drop(lease);
        query(pool.acquire(deadline_in(1_000)).await.unwrap()).await;
        assert_eq!(upstream.accepted.get(), accepted);
    });
}

/// Guards against handing out an idle connection that the database has closed: the outcome of the
/// request would be unknown.
#[test]
fn closed_idle_connection() {
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

/// Guards against an idle connection that no longer answers: the health check must close it.
#[test]
fn silent_idle_connection() {
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

/// Guards against a health check that closes a healthy idle connection, and against an idle
/// connection that is never closed.
#[test]
fn healthy_idle_connection() {
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

/// Guards against requests that wait for an unreachable member until their deadline: they must fail
/// immediately, so that they can be routed to another member.
#[test]
fn unreachable_member() {
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

/// Guards against connections that a draining pool hands out, or keeps open after their release.
#[test]
fn draining_pool() {
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
