//! Simple queries, transactions and acknowledgement.

mod common;

use std::time::Duration;

use common::{Fault, Harness, fleet::Confirm, run};
use rstest::rstest;

/// Guards against a read that goes to the primary although a replica can serve it, and against a
/// write that is acknowledged without its token.
#[test]
fn routes_reads_and_writes() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        let written = caller.query("INSERT INTO t VALUES ('k', 'v')").await;
        let read = caller.query("SELECT v FROM t WHERE k = 'k'").await;

        assert_eq!(written.tags(), "CSZ");
        assert_eq!(written.token(), Some("1/1"));
        assert_eq!(
            (read.tags(), read.rows()),
            ("TDCZ".into(), vec!["v".into()])
        );
        assert_eq!(harness.fleet.replica.times_run("SELECT v"), 1);
        let need = harness.fleet.read_requirements.borrow()[0];
        assert_eq!(need.token.unwrap().to_string(), "1/1");
    });
}

/// Guards against a write that is acknowledged before it is confirmed.
#[test]
fn holds_back_acknowledgement() {
    run(async {
        let harness = Harness::new().await;
        harness.fleet.confirm.set(Confirm::Wait);
        let mut caller = harness.caller().await;

        caller.send("INSERT INTO t VALUES ('k', 'v')").await;
        let early = compio::time::timeout(Duration::from_millis(100), caller.reply()).await;

        assert!(early.is_err(), "{early:?}");
        assert_eq!(harness.fleet.primary.times_run("INSERT"), 1);
    });
}

/// Guards against answers of the primary that are forwarded unconfirmed: a promotion could lose
/// their writes or the data that they show.
#[rstest]
#[case::write("INSERT INTO t VALUES ('k', 'v')")]
#[case::volatile_function("SELECT nextval('s')")]
#[case::transaction("BEGIN; INSERT INTO t VALUES ('k', 'v'); COMMIT")]
#[case::next_begun("BEGIN; INSERT INTO t VALUES ('k', 'v'); COMMIT; BEGIN")]
#[case::rolled_back_after("BEGIN; INSERT INTO t VALUES ('k', 'v'); COMMIT; BEGIN; ROLLBACK")]
#[case::returning("SELECT v FROM t WHERE k = 'k' FOR UPDATE")]
fn unconfirmed_is_unknown(#[case] text: &str) {
    run(async {
        let harness = Harness::new().await;
        harness.fleet.confirm.set(Confirm::No);
        let mut caller = harness.caller().await;

        let reply = caller.query(text).await;

        assert_eq!(
            (reply.tags(), reply.sqlstate()),
            ("EZ".into(), "ZU001".into())
        );
        harness.fleet.confirm.set(Confirm::Yes);
        caller.query("ROLLBACK").await;
        assert_eq!(caller.query("SELECT 1").await.rows(), ["1"]);
    });
}

/// Guards against a transaction that changes its connection, and against a commit without
/// confirmation.
#[test]
fn pins_transactions() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        let mut other = harness.caller().await;

        let begin = caller.query("BEGIN").await;
        let insert = caller.query("INSERT INTO t VALUES ('k', 'v')").await;
        other.query("INSERT INTO t VALUES ('l', 'w')").await;
        let commit = caller.query("COMMIT").await;

        assert_eq!(
            [begin.status(), insert.status(), commit.status()],
            ['T', 'T', 'I']
        );
        assert_eq!(commit.token(), Some("1/2"));
        let log = harness.fleet.primary.log.borrow();
        let by = |text: &str| log.iter().find(|(_, ran)| ran.contains(text)).unwrap().0;
        assert_eq!(by("BEGIN"), by("COMMIT"));
        assert_ne!(by("BEGIN"), by("'l'"));
        drop(log);
        assert_eq!(
            (harness.fleet.pooled(true), harness.fleet.dropped.get()),
            (2, 0)
        );
    });
}

/// Guards against statements that run in a failed transaction, and against a COMMIT of it that
/// succeeds.
#[test]
fn failed_transaction_ends_with_rollback() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        caller.query("BEGIN").await;
        let failed = caller.query("INSERT INTO t VALUES ('dup', 'v')").await;
        let skipped = caller.query("INSERT INTO t VALUES ('k', 'v')").await;
        let commit = caller.query("COMMIT").await;

        assert_eq!((failed.sqlstate(), failed.status()), ("23505".into(), 'E'));
        assert_eq!(
            (skipped.sqlstate(), skipped.status()),
            ("25P02".into(), 'E')
        );
        assert_eq!(
            (commit.commands(), commit.status()),
            (vec!["ROLLBACK"], 'I')
        );
        assert!(harness.fleet.store.rows.borrow().is_empty());
    });
}

/// Guards against a READ ONLY transaction that takes a connection of the primary.
#[test]
fn read_only_transaction_runs_on_replica() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        caller.query("BEGIN READ ONLY").await;
        caller.query("SELECT 1").await;
        let commit = caller.query("COMMIT").await;

        assert_eq!((commit.status(), commit.token()), ('I', None));
        assert_eq!(harness.fleet.replica.log.borrow().len(), 3);
        assert!(harness.fleet.primary.log.borrow().is_empty());
    });
}

/// Guards against a wrong outcome reported when a connection breaks, and against a request that
/// runs twice.
#[rstest]
#[case::before("INSERT INTO t VALUES ('k', 'v')", Fault::CloseBefore, "ZU001")]
#[case::after("INSERT INTO t VALUES ('k', 'v')", Fault::CloseAfter, "ZU001")]
#[case::no_answer("INSERT INTO t VALUES ('k', 'v')", Fault::NoAnswer, "ZU001")]
#[case::refused("INSERT INTO t VALUES ('k', 'v')", Fault::Refuse("53300"), "")]
#[case::demoted("INSERT INTO t VALUES ('k', 'v')", Fault::Refuse("25006"), "")]
#[case::failed("INSERT INTO t VALUES ('k', 'v')", Fault::Refuse("23505"), "23505")]
fn reports_the_outcome(#[case] text: &str, #[case] fault: Fault, #[case] sqlstate: &str) {
    run(async {
        let harness = Harness::new().await;
        harness.fleet.primary.fail("INSERT", fault);
        let mut caller = harness.caller().await;

        caller.query("SET goldcrestrail.deadline = 300").await;
        let reply = caller.query(text).await;

        assert_eq!(reply.sqlstate(), sqlstate);
        assert_eq!(reply.status(), 'I');
        assert!(harness.fleet.primary.times_run("INSERT") <= 1);
        assert_eq!(caller.query("SELECT 1").await.rows(), ["1"]);
    });
}

/// Guards against the refusal of the statements with which driver pools reset a connection.
#[rstest]
#[case::discard("DISCARD ALL", "CZ")]
#[case::many(
    "SELECT pg_advisory_unlock_all(); CLOSE ALL; UNLISTEN *; RESET ALL;",
    "TDCCCCZ"
)]
fn accepts_resets(#[case] text: &str, #[case] tags: &str) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        caller
            .query("SET goldcrestrail.key = 'k'; SET goldcrestrail.token = '1/0'")
            .await;

        let reset = caller.query(text).await;
        let key = caller.query("SHOW goldcrestrail.key").await;
        let token = caller.query("SHOW goldcrestrail.token").await;

        assert_eq!(reset.tags(), tags);
        assert_eq!(
            (key.rows(), token.rows()),
            (vec![String::new()], vec!["1/0".into()])
        );
    });
}

/// Guards against a transaction that the database ends as idle while it waits for its caller, and
/// against the answer to a keep-alive that is taken for the answer to a request.
#[test]
fn waiting_transaction_is_kept_alive() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        caller.query("BEGIN").await;

        compio::time::sleep(Duration::from_millis(3_500)).await;
        let syncs = harness.fleet.primary.syncs.get();
        let written = caller.query("INSERT INTO t VALUES ('k', 'v')").await;
        let ended = caller.query("COMMIT").await;

        assert!(syncs >= 2, "{syncs} keep-alives in 3.5 s");
        assert_eq!(written.tags(), "CZ");
        assert_eq!(ended.tags(), "CSZ");
    });
}
