//! Connection limit, slots, simulated delays, cancel requests and faults.

mod common;

use std::time::{Duration, Instant};

use common::{TestMember, settings, sqlstate};
use futures_util::future::join_all;
use standin::Settings;
use tokio_postgres::NoTls;

/// Guards against a limit that is off by one, that never releases a closed connection, or that
/// rejects management connections to a full member.
#[tokio::test]
async fn connections_are_limited() {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(Settings {
        connections: 2,
        ..settings(folder.path())
    });

    let first = node.client().await;
    let second = node.client().await;
    let refused = node.login("caller").await;
    let managed = node.manage("PROMOTE TERM 1").await;
    drop(first);
    let start = Instant::now();
    let mut replaced = node.login("caller").await;
    while replaced.is_err() && start.elapsed() < Duration::from_secs(5) {
        tokio::time::sleep(Duration::from_millis(5)).await;
        replaced = node.login("caller").await;
    }

    assert_eq!(sqlstate(refused), "53300");
    managed.unwrap();
    replaced.unwrap();
    second.simple_query("SELECT 1").await.unwrap();
}

/// Guards against serving a caller that asks for another group.
#[tokio::test]
async fn other_group_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(settings(folder.path()));
    let text = format!(
        "host={} port={} user=caller dbname=other",
        node.address.ip(),
        node.address.port()
    );

    let outcome = tokio_postgres::connect(&text, NoTls).await.map(|_pair| ());

    assert_eq!(sqlstate(outcome), "3D000");
}

/// Guards against more concurrent statements than slots, and against slots that are not passed on
/// to waiting statements.
#[tokio::test]
async fn statements_queue_for_slots() {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(Settings {
        slots: 2,
        statement_us: 100_000,
        ..settings(folder.path())
    });
    let clients = join_all((0..6).map(|_| node.client())).await;

    let start = Instant::now();
    join_all(clients.iter().map(|client| client.simple_query("SELECT 1"))).await;
    let queued = start.elapsed();
    let start = Instant::now();
    clients[0].simple_query("SELECT 1").await.unwrap();
    let alone = start.elapsed();

    assert!(queued >= Duration::from_millis(300), "{queued:?}");
    assert!(queued < Duration::from_millis(550), "{queued:?}");
    assert!(alone >= Duration::from_millis(100), "{alone:?}");
    assert!(alone < Duration::from_millis(190), "{alone:?}");
}

/// Guards against management commands that queue behind statements of callers.
#[tokio::test]
async fn management_needs_no_slot() {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(Settings {
        slots: 1,
        ..settings(folder.path())
    });
    let client = node.client().await;
    let sleeping = client.simple_query("SELECT pg_sleep(1)");
    let asking = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let start = Instant::now();
        node.manage("SHOW upstream_status").await.unwrap();
        start.elapsed()
    };

    let (slept, asked) = futures_util::future::join(sleeping, asking).await;

    slept.unwrap();
    assert!(asked < Duration::from_millis(500), "{asked:?}");
}

/// Guards against logins that ignore `connect_ms`, or that run one after the other.
#[tokio::test]
async fn login_takes_configured_time() {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(Settings {
        connect_ms: 100,
        ..settings(folder.path())
    });

    let start = Instant::now();
    join_all((0..4).map(|_| node.client())).await;
    let elapsed = start.elapsed();

    assert!(elapsed >= Duration::from_millis(100), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(350), "{elapsed:?}");
}

/// Guards against a cancelled statement that keeps its slot or closes its session.
#[tokio::test]
async fn cancel_ends_statement() {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(Settings {
        slots: 1,
        ..settings(folder.path())
    });
    let (running, queued) = (node.client().await, node.client().await);
    let cancelling = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        queued.cancel_token().cancel_query(NoTls).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        running.cancel_token().cancel_query(NoTls).await.unwrap();
    };
    let waiting = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        queued.simple_query("SELECT 1").await
    };

    let start = Instant::now();
    let (slept, waited, ()) = futures_util::future::join3(
        running.simple_query("SELECT pg_sleep(20)"),
        waiting,
        cancelling,
    )
    .await;
    let again = running.simple_query("SELECT 1").await;

    assert_eq!(sqlstate(slept), "57014");
    assert_eq!(sqlstate(waited), "57014");
    again.unwrap();
    assert!(start.elapsed() < Duration::from_secs(5));
}

/// Guards against a lock wait that ignores cancel requests, and against a deadlock that lasts until
/// the lock timeout.
#[tokio::test]
async fn lock_wait_ends_on_cancel_or_deadlock() {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(settings(folder.path()));
    node.manage("PROMOTE TERM 1").await.unwrap();
    let (left, right) = (node.client().await, node.client().await);
    left.batch_execute(
        "CREATE TABLE t (id int PRIMARY KEY, v int); INSERT INTO t VALUES (1, 0), (2, 0)",
    )
    .await
    .unwrap();
    left.batch_execute("BEGIN; UPDATE t SET v = 1 WHERE id = 1")
        .await
        .unwrap();

    let cancelling = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        right.cancel_token().cancel_query(NoTls).await.unwrap();
    };
    let blocked = right.simple_query("UPDATE t SET v = 2 WHERE id = 1");
    let (cancelled, ()) = futures_util::future::join(blocked, cancelling).await;
    right
        .batch_execute("BEGIN; UPDATE t SET v = 2 WHERE id = 2")
        .await
        .unwrap();
    let start = Instant::now();
    let crossing = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let outcome = right.batch_execute("UPDATE t SET v = 2 WHERE id = 1").await;
        right.batch_execute("ROLLBACK").await.unwrap();
        outcome
    };
    let (first, second) = futures_util::future::join(
        left.batch_execute("UPDATE t SET v = 1 WHERE id = 2"),
        crossing,
    )
    .await;
    left.batch_execute("COMMIT").await.unwrap();
    let row = right.query_one("SELECT sum(v) FROM t", &[]).await.unwrap();

    assert_eq!(sqlstate(cancelled), "57014");
    first.unwrap();
    assert_eq!(sqlstate(second), "40P01");
    assert!(start.elapsed() < Duration::from_secs(2));
    assert_eq!(row.get::<_, i64>(0), 2);
}

/// Guards against a frozen member that still responds, or that drops requests received while
/// frozen.
#[tokio::test]
async fn frozen_member_is_silent() {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(settings(folder.path()));
    let client = node.client().await;

    let (status, _) = node.request("POST", "/v1/fault", r#"{"frozen":true}"#);
    let mut asked = std::pin::pin!(client.simple_query("SELECT 1"));
    let mut opened = std::pin::pin!(node.login("caller"));
    let wait = Duration::from_millis(100);
    let silent = tokio::time::timeout(wait, asked.as_mut()).await.is_err();
    let closed = tokio::time::timeout(wait, opened.as_mut()).await.is_err();
    node.request("POST", "/v1/fault", r#"{"frozen":false}"#);

    assert_eq!(status, 200);
    assert!(silent);
    assert!(closed);
    asked.await.unwrap();
    opened.await.unwrap();
}

/// Guards against a misspelt fault that is accepted, so that a test runs without it.
#[tokio::test]
async fn unknown_fault_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(settings(folder.path()));

    let (status, body) = node.request("POST", "/v1/fault", r#"{"frozn":true}"#);
    let (dumped, dump) = node.request("GET", "/dump", "");
    let (ready, _) = node.request("GET", "/ready", "");

    assert_eq!(status, 400);
    assert!(body.contains("cause") && body.contains("mend"), "{body}");
    assert_eq!((dumped, ready), (200, 200));
    assert!(dump.contains(r#""frozen":false"#), "{dump}");
}
