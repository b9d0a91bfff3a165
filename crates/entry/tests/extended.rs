//! Extended queries over pooled connections.

mod common;

use common::{Fault, Harness, run};
use rstest::rstest;

/// Guards against a prepared statement that is missing when the caller's next request runs on
/// another connection, or that is prepared twice on the same one.
#[test]
fn prepared_statements_move_between_connections() {
    run(async {
        let harness = Harness::new().await;
        let (mut caller, mut other) = (harness.caller().await, harness.caller().await);
        caller.add(b'P', b"s1\0SELECT pid\0\0\0");
        let prepared = caller.sync().await;
        // Holds the only connection, so that the next request needs a second one.
        other.query("BEGIN READ ONLY").await;

        caller.add(b'B', b"\0s1\0\0\0\0\0\0\0");
        caller.add(b'E', b"\0\0\0\0\0");
        let first = caller.sync().await;
        caller.add(b'B', b"\0s1\0\0\0\0\0\0\0");
        caller.add(b'E', b"\0\0\0\0\0");
        let second = caller.sync().await;

        assert_eq!(prepared.tags(), "1Z");
        assert_eq!(
            (first.tags(), second.tags()),
            ("2DCZ".into(), "2DCZ".into())
        );
        assert_eq!(first.rows(), second.rows());
        assert_eq!(harness.fleet.replica.parses.get(), 2);
    });
}

/// Guards against an unnamed statement that is missing in a later batch, or replaced by that of
/// another caller.
#[test]
fn unnamed_statement_survives_its_batch() {
    run(async {
        let harness = Harness::new().await;
        let (mut caller, mut other) = (harness.caller().await, harness.caller().await);
        caller.add(b'P', b"\0SELECT 1\0\0\0");
        caller.add(b'D', b"S\0");
        let described = caller.sync().await;
        other.add_statement("SELECT pid");
        other.sync().await;

        caller.add(b'B', b"\0\0\0\0\0\0\0\0");
        caller.add(b'E', b"\0\0\0\0\0");
        let run = caller.sync().await;

        assert_eq!(described.tags(), "1tTZ");
        assert_eq!((run.tags(), run.rows()), ("2DCZ".into(), vec!["1".into()]));
    });
}

/// Guards against messages that run after an error, and against a batch that commits in part.
#[test]
fn error_skips_to_sync() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        caller.add_statement("INSERT INTO t VALUES ('a', '1')");
        caller.add(b'B', b"\0missing\0\0\0\0\0\0\0");
        caller.add_statement("INSERT INTO t VALUES ('b', '2')");
        let reply = caller.sync().await;

        assert_eq!(reply.tags(), "12nCEZ");
        assert_eq!(reply.sqlstate(), "26000");
        assert!(
            reply.message().contains("\"missing\""),
            "{}",
            reply.message()
        );
        assert!(harness.fleet.store.rows.borrow().is_empty());
        assert_eq!(harness.fleet.primary.times_run("'b'"), 0);
    });
}

/// Guards against a Flush that is not answered, and against a portal that is lost after it.
#[test]
fn flush_is_answered() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        caller.add(b'P', b"\0SELECT 1\0\0\0");
        caller.add(b'B', b"\0\0\0\0\0\0\0\0");
        caller.add(b'H', &[]);
        caller.0.writer.flush().await.unwrap();
        let mut early = String::new();
        for _ in 0..2 {
            early.push(caller.0.frame().await.unwrap().tag.into());
        }
        caller.add(b'E', b"\0\0\0\0\0");
        let rest = caller.sync().await;

        assert_eq!((early.as_str(), rest.tags()), ("12", "DCZ".into()));
    });
}

/// Guards against a write that is refused, or costs extra round trips, because a driver such as
/// pg8000 sends a Flush before each Sync.
#[test]
fn flush_before_sync_is_left_out() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        caller.add_statement("INSERT INTO t VALUES ('a', '1')");
        caller.add(b'H', &[]);
        let reply = caller.sync().await;

        assert_eq!(reply.tags(), "12nCSZ");
        assert_eq!(harness.fleet.store.rows.borrow().len(), 1);
        assert_eq!(harness.fleet.primary.times_run("BEGIN"), 0);
    });
}

/// Guards against a write followed by a Flush that is refused, committed without the rest of its
/// pipeline, or left in an open transaction.
#[rstest]
#[case::commit("INSERT INTO t VALUES ('b', '2')", "12nCSZ", 2)]
#[case::error("INSERT INTO t VALUES ('dup', '2')", "12nEZ", 0)]
fn flushed_write_commits_with_its_pipeline(
    #[case] second: &str,
    #[case] tags: &str,
    #[case] rows: usize,
) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        caller.add_statement("INSERT INTO t VALUES ('a', '1')");
        caller.add(b'H', &[]);
        caller.0.writer.flush().await.unwrap();
        let mut early = String::new();
        for _ in 0..4 {
            early.push(caller.0.frame().await.unwrap().tag.into());
        }
        let before = harness.fleet.store.rows.borrow().len();

        caller.add_statement(second);
        let rest = caller.sync().await;
        let next = caller.query("SELECT 1").await;

        assert_eq!((early.as_str(), before), ("12nC", 0));
        assert_eq!((rest.tags().as_str(), rest.status()), (tags, 'I'));
        assert_eq!(harness.fleet.store.rows.borrow().len(), rows);
        assert_eq!(next.rows(), ["1"]);
    });
}

/// Guards against an implicit transaction that stays open after an error before the Sync, and
/// against a Sync that ends a transaction that the caller began.
#[rstest]
#[case::error("INSERT INTO t VALUES ('dup', '1')", "", "EZ", 'I')]
#[case::begin("INSERT INTO t VALUES ('a', '1')", "BEGIN", "12nCZ", 'T')]
fn sync_ends_only_implicit_transactions(
    #[case] first: &str,
    #[case] second: &str,
    #[case] tags: &str,
    #[case] status: char,
) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        caller.add_statement(first);
        caller.add(b'H', &[]);
        caller.0.writer.flush().await.unwrap();
        for _ in 0..3 {
            caller.0.frame().await.unwrap();
        }
        if !second.is_empty() {
            caller.0.frame().await.unwrap();
            caller.add_statement(second);
        }

        let reply = caller.sync().await;

        assert_eq!((reply.tags().as_str(), reply.status()), (tags, status));
    });
}

/// Guards against a statement that counts as prepared although its Parse was refused.
#[test]
fn refused_parse_is_not_kept() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        harness
            .fleet
            .replica
            .fail("SELECT 1", Fault::Refuse("42P01"));
        caller.add(b'B', b"\0s1\0\0\0\0\0\0\0");
        let unknown = caller.sync().await;

        caller.add(b'P', b"s1\0SELECT 1\0\0\0");
        caller.add(b'B', b"\0s1\0\0\0\0\0\0\0");
        caller.add(b'E', b"\0\0\0\0\0");
        let failed = caller.sync().await;
        caller.add(b'C', b"Ss1\0");
        caller.add(b'P', b"s1\0SELECT 1\0\0\0");
        let again = caller.sync().await;

        assert_eq!(
            (unknown.tags(), unknown.sqlstate()),
            ("EZ".into(), "26000".into())
        );
        assert_eq!(
            (failed.tags(), failed.sqlstate()),
            ("12EZ".into(), "42P01".into())
        );
        assert_eq!(again.tags(), "31Z");
    });
}

/// Guards against prepared statements that accumulate on a pooled connection.
#[test]
fn prepared_statements_stay_bounded() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        for i in 0..400 {
            caller.add(b'P', format!("s{i}\0SELECT 1, {i}\0\0\0").as_bytes());
            caller.add(b'C', format!("Ss{i}\0").as_bytes());
            let reply = caller.sync().await;
            assert_eq!(reply.tags(), "13Z");
        }

        assert!(
            harness.fleet.prepared() <= 256,
            "{}",
            harness.fleet.prepared()
        );
    });
}

/// Guards against an unknown outcome for a batch that only prepares a statement, as drivers do
/// first. A new connection to the primary has not reported a position by then.
#[test]
fn prepares_on_new_connection_of_primary() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        caller.add(b'P', b"s1\0INSERT INTO t VALUES ('a', $1)\0\0\0");
        caller.add(b'D', b"Ss1\0");
        let prepared = caller.sync().await;

        assert_eq!(prepared.tags(), "1tnZ");
    });
}
