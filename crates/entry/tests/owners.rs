//! Connection pools whose connections belong to organisations.

mod fakes;

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use entry::{
    dialect::OWN_USER,
    metrics::Metrics,
    pool::{Limits, Pool},
};
use fakes::{Upstream, deadline_in, run};
use futures_util::future::{join, join_all};

/// Three connections.
const LIMITS: Limits = Limits {
    connections: 3,
    entries: 1,
    slots: 3,
    queue: 200,
};

async fn pool(limits: Limits) -> (Rc<Pool>, Rc<Upstream>, Metrics) {
    let upstream = Upstream::start("a").await;
    let from = "127.0.0.1".parse().unwrap();
    let metrics = Metrics::new();
    let address = upstream.address;
    let pool = Pool::new("a", "orders", address, from, false, limits, &metrics);
    (pool, upstream, metrics)
}

/// Runs a query whose text is the name of its owner.
async fn query_as(pool: &Rc<Pool>, owner: Option<&str>) {
    let mut lease = pool.acquire_for(owner, deadline_in(5_000)).await.unwrap();
    let text = owner.unwrap_or(OWN_USER);
    lease.client().query(text).await.unwrap();
    lease.release();
}

/// Guards against a request that runs on the connection of another organisation, which then pays
/// and answers for it, and against more connections than the limit. The load is 12 organisations
/// and the deployment itself, with far more requests than connections.
#[test]
fn each_owner_has_its_own_connections() {
    run(async {
        let (pool, upstream, _metrics) = pool(LIMITS).await;
        upstream.query_ms.set(1);
        let names: Vec<_> = (0..12).map(|number| format!("org-{number}")).collect();
        let owners = (0..120).map(|number| names.get(number * 7 % 13).map(String::as_str));

        join_all(owners.map(|owner| query_as(&pool, owner))).await;

        let log = upstream.log.borrow();
        assert_eq!(log.len(), 120);
        let foreign = log.iter().find(|(user, text)| user != text);
        assert_eq!(foreign, None);
        assert!(upstream.max_open.get() <= 3, "{}", upstream.max_open.get());
    });
}

/// Guards against a busy organisation that loses its connection to a rare one, while a connection
/// that nobody uses is kept.
#[test]
fn longest_unused_connection_is_replaced() {
    run(async {
        let (pool, upstream, metrics) = pool(LIMITS).await;
        for owner in ["a", "b", "c", "a", "c"] {
            query_as(&pool, Some(owner)).await;
        }

        query_as(&pool, Some("d")).await;
        for owner in ["a", "c", "d"] {
            query_as(&pool, Some(owner)).await;
        }

        let count = |counter: &prometheus::IntCounterVec| counter.with_label_values(&["a"]).get();
        assert_eq!(upstream.accepted.get(), 4);
        assert_eq!((count(&metrics.opened), count(&metrics.evicted)), (4, 1));
        assert_eq!(pool.dump(Instant::now())["owners"], 3);
    });
}

/// Guards against a small organisation that waits without bound, because each connection that a
/// large one returns goes to another request of the large one.
#[test]
fn small_owner_is_served_beside_a_busy_one() {
    run(async {
        let (pool, upstream, _metrics) = pool(LIMITS).await;
        upstream.query_ms.set(2);
        let done = Cell::new(false);
        let busy = (0..12).map(|_| async {
            while !done.get() {
                query_as(&pool, Some("large")).await;
            }
        });
        let small = async {
            fakes::wait_until("the pool is busy", || upstream.queries.get() > 30).await;
            let before = upstream.queries.get();
            query_as(&pool, Some("small")).await;
            done.set(true);
            upstream.queries.get() - before
        };

        let (_, served) = join(join_all(busy), small).await;

        // Those ahead in the queue, those running, and those beside the new connection.
        assert!(served <= 40, "{served} requests went first");
    });
}

/// Guards against a large organisation whose burst takes all connections, so that those of others
/// are opened anew for each request.
#[test]
fn burst_of_one_owner_leaves_others_their_connections() {
    run(async {
        let limits = Limits {
            connections: 6,
            slots: 6,
            ..LIMITS
        };
        let (pool, upstream, metrics) = pool(limits).await;
        upstream.query_ms.set(5);
        for owner in ["a", "b", "c", "d"] {
            query_as(&pool, Some(owner)).await;
        }
        let small = ["a", "b", "c", "d"].map(|owner| query_as(&pool, Some(owner)));
        let large = (0..60).map(|_| query_as(&pool, Some("large")));

        join(join_all(large), join_all(small)).await;

        let evicted = metrics.evicted.with_label_values(&["a"]).get();
        assert!(evicted <= 4, "{evicted} connections were replaced");
    });
}

/// Guards against a health check that opens a connection although there are idle ones, and against
/// one that is opened for an organisation.
#[test]
fn health_checks_use_any_connection() {
    run(async {
        let (pool, upstream, _metrics) = pool(LIMITS).await;
        let mut opened = pool.acquire_any(deadline_in(1_000)).await.unwrap();
        opened.client().query("SELECT 1").await.unwrap();
        drop(opened);
        query_as(&pool, Some("a")).await;

        let borrowed = pool.acquire_any(deadline_in(1_000)).await.unwrap();
        borrowed.release();
        query_as(&pool, Some("a")).await;

        assert_eq!(upstream.accepted.get(), 2);
        assert_eq!(upstream.log.borrow()[0].0, OWN_USER);
    });
}

/// Guards against connections of organisations that are kept beyond the limit, or never closed.
#[test]
fn idle_connections_of_owners_are_closed() {
    run(async {
        let (pool, upstream, _metrics) = pool(LIMITS).await;
        for owner in ["a", "b"] {
            query_as(&pool, Some(owner)).await;
        }

        pool.maintain(Instant::now() + Duration::from_secs(61));

        fakes::wait_until("all are closed", || upstream.open.get() == 0).await;
    });
}
