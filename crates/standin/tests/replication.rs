//! Roles, replication and truncation of the log after a change of primary.

mod common;

use std::time::{Duration, Instant};

use common::{TestMember, settings, sqlstate};
use rstest::rstest;
use standin::Settings;
use tokio_postgres::Client;

struct Group {
    nodes: Vec<TestMember>,
    _folders: Vec<tempfile::TempDir>,
}

/// Three members; the first is primary of term 1 with a table, and the others follow it.
async fn group() -> Group {
    let folders: Vec<_> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    let nodes: Vec<_> = ["a", "b", "c"]
        .iter()
        .zip(&folders)
        .map(|(name, folder)| {
            TestMember::start(Settings {
                member: (*name).into(),
                ..settings(folder.path())
            })
        })
        .collect();
    nodes[0].manage("PROMOTE TERM 1").await.unwrap();
    follow(&nodes[1], &nodes[0], 1).await;
    follow(&nodes[2], &nodes[0], 1).await;
    let client = nodes[0].client().await;
    client
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    for node in &nodes {
        node.wait_for_position("1/1").await;
    }
    Group {
        nodes,
        _folders: folders,
    }
}

async fn follow(node: &TestMember, primary: &TestMember, term: u64) {
    let order = format!("FOLLOW '{}' TERM {term}", primary.address);
    node.manage(&order).await.unwrap();
}

async fn insert(client: &Client, id: i32) {
    client
        .execute("INSERT INTO t VALUES ($1)", &[&id])
        .await
        .unwrap();
}

async fn ids(node: &TestMember) -> Vec<i32> {
    let rows = node
        .client()
        .await
        .query("SELECT id FROM t ORDER BY id", &[])
        .await
        .unwrap();
    rows.iter().map(|row| row.get(0)).collect()
}

fn fault(node: &TestMember, body: &str) {
    let (status, answer) = node.request("POST", "/v1/fault", body);
    assert_eq!(status, 200, "{answer}");
}

/// Guards against a new member that accepts writes or reports a primary before it got a role.
#[tokio::test]
async fn new_member_has_no_primary() {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(settings(folder.path()));

    let write = node
        .client()
        .await
        .batch_execute("CREATE TABLE t (id int)")
        .await;

    assert_eq!(node.position().await.to_string(), "0/0");
    assert_eq!(node.status("role").await, "replica");
    assert_eq!(node.status("primary").await, "");
    assert_eq!(node.status("member").await, "a");
    assert_eq!(node.status("store").await.len(), 16);
    assert_eq!(sqlstate(write), "25006");
}

/// Guards against replicas that miss entries of the primary or accept writes from callers.
#[tokio::test]
async fn replicas_apply_commits_of_primary() {
    let group = group().await;
    let [a, b, c] = group.nodes.as_slice() else {
        unreachable!()
    };
    let client = a.client().await;

    for id in 0..50 {
        insert(&client, id).await;
    }
    b.wait_for_position("1/51").await;
    c.wait_for_position("1/51").await;
    let refused = b
        .client()
        .await
        .execute("INSERT INTO t VALUES (99)", &[])
        .await;

    assert_eq!(ids(b).await, (0..50).collect::<Vec<_>>());
    assert_eq!(ids(c).await, ids(a).await);
    assert_eq!(b.status("primary").await, a.address.to_string());
    assert_eq!(sqlstate(refused), "25006");
}

/// Guards against a former primary that keeps entries which the new primary lacks, at offsets where
/// the new primary has other entries.
#[rstest]
#[case::old_log_is_longer(5, 2)]
#[case::same_length(3, 3)]
#[case::new_log_is_longer(2, 6)]
#[tokio::test]
async fn divergent_entries_are_truncated(#[case] lost: i32, #[case] kept: i32) {
    let group = group().await;
    let [a, b, c] = group.nodes.as_slice() else {
        unreachable!()
    };
    let old = a.client().await;
    insert(&old, 1).await;
    b.wait_for_position("1/2").await;
    c.wait_for_position("1/2").await;

    // Both replicas leave the old primary, so its later commits are not replicated.
    b.manage("PROMOTE TERM 2").await.unwrap();
    follow(c, b, 2).await;
    for id in 0..lost {
        insert(&old, 100 + id).await;
    }
    let new = b.client().await;
    for id in 0..kept {
        insert(&new, 200 + id).await;
    }
    let before = a.position().await.to_string();
    follow(a, b, 2).await;
    let end = format!("2/{}", 2 + kept);
    a.wait_for_position(&end).await;
    c.wait_for_position(&end).await;

    let mut expected = vec![1];
    expected.extend((0..kept).map(|id| 200 + id));
    assert_eq!(before, format!("1/{}", 2 + lost));
    assert_eq!(ids(a).await, expected);
    assert_eq!(ids(c).await, expected);
    let (_, metrics) = a.request("GET", "/metrics", "");
    assert!(metrics.contains(&format!("goldcrestrail_standin_truncated_total {lost}\n")));
}

/// Guards against a replica that reports the new term before its log was compared with that of the
/// new primary: until then it may hold entries that the new primary lacks.
#[tokio::test]
async fn term_is_reported_only_after_comparison() {
    let group = group().await;
    let [a, b, _c] = group.nodes.as_slice() else {
        unreachable!()
    };
    insert(&a.client().await, 1).await;
    b.wait_for_position("1/2").await;
    b.manage("PROMOTE TERM 2").await.unwrap();
    fault(b, r#"{"frozen":true}"#);

    follow(a, b, 2).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let waiting = a.position().await.to_string();
    let role = a.status("role").await;
    let refused = a.manage("FOLLOW '127.0.0.1:1' TERM 1").await;
    fault(b, r#"{"frozen":false}"#);
    a.wait_for_position("2/2").await;

    assert_eq!(waiting, "1/2");
    assert_eq!(role, "replica");
    assert_eq!(sqlstate(refused), "55000");
}

/// Guards against PROMOTE or FOLLOW of an old term that undoes a newer one.
#[tokio::test]
async fn old_terms_are_rejected() {
    let group = group().await;
    let [a, b, _c] = group.nodes.as_slice() else {
        unreachable!()
    };

    let again = a.manage("PROMOTE TERM 1").await;
    let same = b.manage("PROMOTE TERM 1").await;
    let own = a.manage("FOLLOW '127.0.0.1:1' TERM 1").await;
    b.manage("PROMOTE TERM 3").await.unwrap();
    let older = b.manage("PROMOTE TERM 2").await;
    let follow = b.manage("FOLLOW '127.0.0.1:1' TERM 2").await;
    let malformed = b.manage("PROMOTE TERM x").await;

    again.unwrap();
    assert_eq!(sqlstate(same), "55000");
    assert_eq!(sqlstate(own), "55000");
    assert_eq!(sqlstate(older), "55000");
    assert_eq!(sqlstate(follow), "55000");
    assert_eq!(sqlstate(malformed), "22P02");
    assert_eq!(b.position().await.to_string(), "3/1");
}

/// Guards against a member that acknowledges a commit after it stopped being primary.
#[tokio::test]
async fn transaction_of_old_primary_does_not_commit() {
    let group = group().await;
    let [a, b, _c] = group.nodes.as_slice() else {
        unreachable!()
    };
    let client = a.client().await;
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();

    b.manage("PROMOTE TERM 2").await.unwrap();
    follow(a, b, 2).await;
    let outcome = client.batch_execute("COMMIT").await;

    assert_eq!(sqlstate(outcome), "25006");
    a.wait_for_position("2/1").await;
    assert_eq!(ids(a).await, Vec::<i32>::new());
}

/// Guards against entries of the old primary that are applied after a promotion, at offsets of the
/// new term.
#[tokio::test]
async fn promotion_ends_replication_from_old_primary() {
    let group = group().await;
    let [a, b, _c] = group.nodes.as_slice() else {
        unreachable!()
    };
    let monitor = b.login("monitor").await.unwrap();
    let wait = Duration::from_millis(100);

    // The command reaches the frozen member before the entries, so that it is handled first.
    fault(b, r#"{"frozen":true}"#);
    let mut ordered = std::pin::pin!(monitor.simple_query("PROMOTE TERM 2"));
    let silent = tokio::time::timeout(wait, ordered.as_mut()).await.is_err();
    let old = a.client().await;
    for id in 0..5 {
        insert(&old, id).await;
    }
    tokio::time::sleep(wait).await;
    fault(b, r#"{"frozen":false}"#);
    ordered.await.unwrap();
    tokio::time::sleep(wait).await;
    let promoted = b.position().await.to_string();
    follow(a, b, 2).await;
    a.wait_for_position(&promoted).await;

    assert!(silent);
    assert_eq!(promoted, "2/1");
    assert_eq!(ids(a).await, ids(b).await);
}

/// Guards against a lag that has no effect, that accumulates from entry to entry, or that cannot be
/// removed.
#[tokio::test]
async fn lag_delays_replica() {
    let group = group().await;
    let [a, b, c] = group.nodes.as_slice() else {
        unreachable!()
    };
    fault(b, r#"{"lag_ms":400}"#);
    fault(c, r#"{"lag_ms":60000}"#);
    let client = a.client().await;

    let start = Instant::now();
    for id in 0..5 {
        insert(&client, id).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let early = b.position().await.to_string();
    b.wait_for_position("1/6").await;
    let late = start.elapsed();
    let slow = c.position().await.to_string();
    fault(c, r#"{"lag_ms":0}"#);
    c.wait_for_position("1/6").await;

    assert_eq!(early, "1/1");
    assert_eq!(slow, "1/1");
    assert!(late >= Duration::from_millis(400), "{late:?}");
    assert!(late < Duration::from_millis(1_500), "{late:?}");
}

/// Guards against a member with the `stubborn` fault that gives up its role.
#[tokio::test]
async fn stubborn_primary_keeps_its_role() {
    let group = group().await;
    let [a, b, _c] = group.nodes.as_slice() else {
        unreachable!()
    };
    fault(a, r#"{"stubborn":true}"#);
    b.manage("PROMOTE TERM 2").await.unwrap();

    follow(a, b, 2).await;
    insert(&a.client().await, 7).await;

    assert_eq!(a.status("role").await, "primary");
    assert_eq!(a.position().await.to_string(), "1/2");
}

/// Guards against a replica that does not resume after a restart of its primary, or that loses its
/// position, store id or primary when it restarts itself.
#[tokio::test]
async fn members_resume_after_restart() {
    let folders = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
    let a = TestMember::start(settings(folders[0].path()));
    let b = TestMember::start(settings(folders[1].path()));
    a.manage("PROMOTE TERM 1").await.unwrap();
    follow(&b, &a, 1).await;
    let client = a.client().await;
    client
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    insert(&client, 1).await;
    b.wait_for_position("1/2").await;
    let store = b.status("store").await;
    let (address_a, address_b) = (a.address, b.address);

    b.kill();
    insert(&client, 2).await;
    drop(client);
    a.kill();
    let a = TestMember::start(Settings {
        address: address_a,
        ..settings(folders[0].path())
    });
    insert(&a.client().await, 3).await;
    let b = TestMember::start(Settings {
        address: address_b,
        ..settings(folders[1].path())
    });
    b.wait_for_position("1/4").await;

    assert_eq!(a.status("role").await, "primary");
    assert_eq!(b.status("store").await, store);
    assert_eq!(ids(&b).await, [1, 2, 3]);
}

/// Guards against truncated entries that reappear when the log file is read at start.
#[tokio::test]
async fn truncation_survives_restart() {
    let folders = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
    let a = TestMember::start(settings(folders[0].path()));
    let b = TestMember::start(settings(folders[1].path()));
    a.manage("PROMOTE TERM 1").await.unwrap();
    follow(&b, &a, 1).await;
    let old = a.client().await;
    old.batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    b.wait_for_position("1/1").await;
    b.manage("PROMOTE TERM 2").await.unwrap();
    insert(&old, 1).await;
    insert(&old, 2).await;
    follow(&a, &b, 2).await;
    a.wait_for_position("2/1").await;
    insert(&b.client().await, 3).await;
    a.wait_for_position("2/2").await;
    drop(old);

    a.kill();
    let a = TestMember::start(settings(folders[0].path()));

    assert_eq!(a.position().await.to_string(), "2/2");
    assert_eq!(ids(&a).await, [3]);
}
