//! Sessions through the tokio-postgres driver.

mod common;

use common::{TestMember, settings, sqlstate};
use rstest::rstest;
use tokio_postgres::error::SqlState;

async fn primary(folder: &tempfile::TempDir) -> TestMember {
    let node = TestMember::start(settings(folder.path()));
    node.manage("PROMOTE TERM 1").await.unwrap();
    node
}

/// Guards against failures of the binary format and the extended query protocol.
#[tokio::test]
async fn driver_reads_and_writes_in_binary() {
    let folder = tempfile::tempdir().unwrap();
    let node = primary(&folder).await;
    let client = node.client().await;
    client
        .batch_execute(
            "CREATE TABLE IF NOT EXISTS rolls (id bigint PRIMARY KEY, stock int, name text, open bool)",
        )
        .await
        .unwrap();

    let written = client
        .execute(
            "INSERT INTO rolls (id, stock, name, open) VALUES ($1, $2, $3, $4), ($5, 7, NULL, false)",
            &[&1i64, &5i32, &"silk", &true, &2i64],
        )
        .await
        .unwrap();
    let row = client
        .query_one(
            "SELECT id, stock, name, open FROM rolls WHERE id = $1",
            &[&1i64],
        )
        .await
        .unwrap();
    let updated = client
        .query(
            "UPDATE rolls SET stock = stock - $1 WHERE id IN ($2, $3) RETURNING id, stock",
            &[&2i32, &1i64, &2i64],
        )
        .await
        .unwrap();
    let total = client
        .query_one("SELECT count(*), sum(stock) FROM rolls", &[])
        .await
        .unwrap();
    let null = client
        .query_one("SELECT name FROM rolls WHERE id = 2", &[])
        .await
        .unwrap();

    assert_eq!(written, 2);
    assert_eq!(
        (row.get(0), row.get(1), row.get(2), row.get(3)),
        (1i64, 5i32, "silk", true)
    );
    assert_eq!(updated.len(), 2);
    assert_eq!(updated[0].get::<_, i32>("stock"), 3);
    assert_eq!(total.get::<_, i64>(0), 2);
    assert_eq!(total.get::<_, i64>(1), 8);
    assert_eq!(null.get::<_, Option<&str>>(0), None);
}

/// Guards against wrong results of filters, sorting, limits and expressions.
#[rstest]
#[case("SELECT id FROM n WHERE v > 1 ORDER BY v DESC", "4 3 2")]
#[case("SELECT id FROM n WHERE v >= 1 AND v < 3 ORDER BY id", "1 2")]
#[case("SELECT id FROM n WHERE id = 4 OR v = 1 ORDER BY id", "1 4")]
#[case("SELECT id FROM n WHERE id IN (3, 9, 1)", "1 3")]
#[case("SELECT id FROM n WHERE NOT id = 3 ORDER BY id DESC LIMIT 2", "5 4")]
#[case("SELECT id FROM n ORDER BY v, id LIMIT 2 OFFSET 3", "4 5")]
#[case("SELECT id FROM n WHERE v IS NULL", "5")]
#[case("SELECT sum(v) FROM n WHERE id <= 3", "6")]
#[case("SELECT count(*) FROM n WHERE v <> 2", "3")]
#[case("SELECT coalesce(max(v), 0) FROM n WHERE id > 9", "0")]
#[case("SELECT -2 + 3 * 4", "10")]
#[case("SELECT 1", "1")]
#[tokio::test]
async fn select_returns_expected_rows(#[case] sql: &str, #[case] expected: &str) {
    let folder = tempfile::tempdir().unwrap();
    let node = primary(&folder).await;
    let client = node.client().await;
    client
        .batch_execute(
            "CREATE TABLE n (id int PRIMARY KEY, v bigint);
             INSERT INTO n VALUES (1, 1), (2, 2), (3, 3), (4, 4), (5, NULL)",
        )
        .await
        .unwrap();

    let messages = client.simple_query(sql).await.unwrap();

    let found: Vec<_> = messages
        .iter()
        .filter_map(|message| match message {
            tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0),
            _ => None,
        })
        .collect();
    assert_eq!(found.join(" "), expected);
}

/// Guards against SQLSTATEs that differ from those of PostgreSQL.
#[rstest]
#[case("SELECT * FROM missing", "42P01")]
#[case("SELECT missing FROM t", "42703")]
#[case("SELEC 1", "42601")]
#[case("INSERT INTO t VALUES (1, 'again')", "23505")]
#[case("INSERT INTO t VALUES ('x', 'y')", "22P02")]
#[case("INSERT INTO t VALUES (3000000000, 'y')", "22003")]
#[case("INSERT INTO t (name) VALUES ('y')", "23502")]
#[case("BEGIN READ ONLY; DELETE FROM t", "25006")]
#[case("SELECT a.id FROM t a JOIN t b ON a.id = b.id", "0A000")]
#[case("COPY t TO STDOUT", "0A000")]
#[case("CREATE TABLE t (id int)", "42P07")]
#[case("SHOW nonsense", "42704")]
#[case("SELECT 1 / 0", "22012")]
#[tokio::test]
async fn error_has_sqlstate(#[case] sql: &str, #[case] expected: &str) {
    let folder = tempfile::tempdir().unwrap();
    let node = primary(&folder).await;
    let client = node.client().await;
    client
        .batch_execute(
            "CREATE TABLE t (id int PRIMARY KEY, name text); INSERT INTO t VALUES (1, 'x')",
        )
        .await
        .unwrap();

    let outcome = client.simple_query(sql).await;

    assert_eq!(sqlstate(outcome), expected);
}

/// Guards against a deeply nested statement that overflows the stack and aborts the process.
#[rstest]
#[case("+1", 199)]
#[case(" OR true", 199)]
#[case("::int8", 99)]
#[case(" IS NULL", 199)]
#[tokio::test]
async fn deep_statement_is_refused(#[case] part: &str, #[case] most: usize) {
    let folder = tempfile::tempdir().unwrap();
    let node = primary(&folder).await;
    let client = node.client().await;

    let deep = client
        .simple_query(&format!("SELECT 1{}", part.repeat(100_000)))
        .await;
    let deepest = client
        .simple_query(&format!("SELECT 1{}", part.repeat(most)))
        .await;
    let after = client.simple_query("SELECT 1").await;

    assert_eq!(sqlstate(deep), "54001");
    if let Err(cause) = deepest {
        assert_eq!(cause.code().map(SqlState::code), Some("42804"));
    }
    after.unwrap();
}

/// Guards against a long batch of small statements that is rejected as too deeply nested.
#[tokio::test]
async fn long_batch_runs() {
    let folder = tempfile::tempdir().unwrap();
    let node = primary(&folder).await;
    let client = node.client().await;
    let inserts: Vec<_> = (0..1_000)
        .map(|id| format!("INSERT INTO t VALUES ({id})"))
        .collect();
    let batch = inserts.join(";");

    client
        .batch_execute(&format!("CREATE TABLE t (id int PRIMARY KEY); {batch}"))
        .await
        .unwrap();

    let row = client
        .query_one("SELECT count(*) FROM t", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>(0), 1_000);
    assert_eq!(node.position().await.to_string(), "1/1");
}

/// Guards against a failed transaction that commits, or that makes its session unusable.
#[tokio::test]
async fn failed_transaction_rolls_back() {
    let folder = tempfile::tempdir().unwrap();
    let node = primary(&folder).await;
    let client = node.client().await;
    client
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();

    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    let duplicate = client.batch_execute("INSERT INTO t VALUES (1)").await;
    let ignored = client.query("SELECT * FROM t", &[]).await;
    client.batch_execute("COMMIT").await.unwrap();
    let rows = client.query("SELECT * FROM t", &[]).await.unwrap();

    assert_eq!(sqlstate(duplicate), "23505");
    assert_eq!(sqlstate(ignored), "25P02");
    assert!(rows.is_empty());
}

/// Guards against a lost update between two transactions that read before they write.
#[tokio::test]
async fn transactions_are_serializable() {
    let folder = tempfile::tempdir().unwrap();
    let node = primary(&folder).await;
    let client = node.client().await;
    client
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY, v int); INSERT INTO t VALUES (1, 0)")
        .await
        .unwrap();
    let increment = async |client: &mut tokio_postgres::Client| {
        for _ in 0..20 {
            let tx = client.transaction().await.unwrap();
            let read = tx.query_one("SELECT v FROM t WHERE id = 1", &[]).await;
            let Ok(row) = read else { continue };
            let v: i32 = row.get(0);
            let written = tx
                .execute("UPDATE t SET v = $1 WHERE id = 1", &[&(v + 1)])
                .await;
            if written.is_ok() && tx.commit().await.is_ok() {
                return 1;
            }
        }
        0
    };

    let mut clients = Vec::new();
    for _ in 0..8 {
        clients.push(node.client().await);
    }
    let counts = futures_util::future::join_all(clients.iter_mut().map(increment)).await;
    let row = client.query_one("SELECT v FROM t", &[]).await.unwrap();

    assert_eq!(row.get::<_, i32>(0), counts.iter().sum::<i32>());
    assert!(counts.contains(&1));
}

/// Guards against reads of uncommitted data, and against concurrent changes that become visible in
/// a read-only transaction.
#[tokio::test]
async fn only_committed_changes_are_visible() {
    let folder = tempfile::tempdir().unwrap();
    let node = primary(&folder).await;
    let (writer, reader, snapshot) = (
        node.client().await,
        node.client().await,
        node.client().await,
    );
    writer
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let count = async |client: &tokio_postgres::Client| {
        let row = client
            .query_one("SELECT count(*) FROM t", &[])
            .await
            .unwrap();
        row.get::<_, i64>(0)
    };

    snapshot.batch_execute("BEGIN READ ONLY").await.unwrap();
    let before = count(&snapshot).await;
    writer
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    let own = count(&writer).await;
    let uncommitted = count(&reader).await;
    writer.batch_execute("COMMIT").await.unwrap();
    let committed = count(&reader).await;
    let unchanged = count(&snapshot).await;

    assert_eq!(
        (before, own, uncommitted, committed, unchanged),
        (0, 1, 0, 1, 0)
    );
}

/// Guards against ON CONFLICT DO NOTHING that replaces or returns the existing row.
#[tokio::test]
async fn conflict_keeps_existing_row() {
    let folder = tempfile::tempdir().unwrap();
    let node = primary(&folder).await;
    let client = node.client().await;
    client
        .batch_execute("CREATE TABLE k (key text PRIMARY KEY, outcome text)")
        .await
        .unwrap();
    let insert = "INSERT INTO k VALUES ($1, $2) ON CONFLICT (key) DO NOTHING RETURNING outcome";

    let first = client.query(insert, &[&"a", &"one"]).await.unwrap();
    let second = client.query(insert, &[&"a", &"two"]).await.unwrap();
    let row = client
        .query_one("SELECT outcome FROM k", &[])
        .await
        .unwrap();

    assert_eq!((first.len(), second.len()), (1, 0));
    assert_eq!(row.get::<_, &str>(0), "one");
}
