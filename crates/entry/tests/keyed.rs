//! Requests with an idempotency key, which run at most once.

mod common;

use common::{Caller, Fault, Harness, fleet::Confirm, run};
use rstest::rstest;

/// Requests with a key between two deletions of expired keys, as in the code under test.
const PURGE_INTERVAL: usize = 500;
const BILL: &str = "INSERT INTO bills VALUES ('b', '1')";

async fn send_keyed(caller: &mut Caller, text: &str) -> common::Reply {
    caller.query("SET goldcrestrail.key = 'k'").await;
    caller.query(text).await
}

/// Guards against a resend that runs again, or that gets a different answer.
#[rstest]
#[case::set("SET goldcrestrail.key = 'k'", BILL)]
#[case::comment(
    "SELECT 1",
    "/* goldcrestrail.key=k */ INSERT INTO bills VALUES ('b', '1')"
)]
fn resend_gets_first_outcome(#[case] before: &str, #[case] text: &str) {
    run(async {
        let harness = Harness::new().await;
        let (mut caller, mut other) = (harness.caller().await, harness.caller().await);

        caller.query(before).await;
        let first = caller.query(text).await;
        other.query(before).await;
        let second = other.query(text).await;

        assert_eq!((first.tags(), second.tags()), ("CSZ".into(), "CSZ".into()));
        assert_eq!(
            (first.commands(), first.token()),
            (vec!["INSERT 0 1"], Some("1/2"))
        );
        assert_eq!(second.commands(), first.commands());
        assert_eq!((first.status(), second.status()), ('I', 'I'));
        assert_eq!(harness.fleet.primary.times_run("INTO bills"), 1);
        assert_eq!(harness.fleet.dropped.get(), 0);
    });
}

/// Guards against a resent batch of extended queries that runs again.
#[test]
fn extended_resend_gets_first_outcome() {
    run(async {
        let harness = Harness::new().await;
        let mut replies = Vec::new();

        for _ in 0..2 {
            let mut caller = harness.caller().await;
            caller.query("SET goldcrestrail.key = 'k'").await;
            caller.add_statement(BILL);
            replies.push(caller.sync().await.tags());
        }

        assert_eq!(replies, ["12nCSZ", "12nCSZ"]);
        assert_eq!(harness.fleet.primary.times_run("INTO bills"), 1);
    });
}

/// Guards against a key under which another statement gets the recorded answer.
#[test]
fn other_statement_is_refused() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        send_keyed(&mut caller, BILL).await;
        let other = send_keyed(&mut caller, "INSERT INTO bills VALUES ('c', '1')").await;

        assert_eq!((other.sqlstate(), other.status()), ("ZF001".into(), 'I'));
        assert!(other.message().contains("not run"), "{}", other.message());
        assert_eq!(harness.fleet.primary.times_run("'c'"), 0);
    });
}

/// Guards against a failure that is not recorded, so that a resend runs the request again.
#[test]
fn failure_is_the_outcome() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        let first = send_keyed(&mut caller, "INSERT INTO bills VALUES ('dup', '1')").await;
        let second = send_keyed(&mut caller, "INSERT INTO bills VALUES ('dup', '1')").await;

        assert_eq!((first.sqlstate(), first.status()), ("23505".into(), 'I'));
        assert_eq!((second.sqlstate(), second.status()), ("ZF001".into(), 'I'));
        assert_eq!(harness.fleet.primary.times_run("'dup'"), 1);
    });
}

/// Guards against a key that is also applied to the next statement.
#[test]
fn key_is_used_once() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        send_keyed(&mut caller, BILL).await;
        let next = caller.query("INSERT INTO t VALUES ('a', '1')").await;

        assert_eq!(next.commands(), ["INSERT 0 1"]);
        assert_eq!(harness.fleet.store.keys.borrow().as_ref().unwrap().len(), 1);
    });
}

/// Guards against a rule that requires a key and is not enforced.
#[rstest]
#[case::statement("SELECT 1", BILL, 'I')]
#[case::transaction("BEGIN", BILL, 'E')]
fn rule_requires_a_key(#[case] before: &str, #[case] text: &str, #[case] status: char) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        caller.query(before).await;
        let refused = caller.query(text).await;
        let end = caller.query("ROLLBACK").await;

        assert_eq!(
            (refused.sqlstate(), refused.status()),
            ("ZN005".into(), status)
        );
        assert_eq!(end.status(), 'I');
        assert_eq!(harness.fleet.primary.times_run("INTO bills"), 0);
    });
}

/// Guards against an unknown outcome although the record has it, and against a second run, when the
/// connection breaks at any step of a request with a key.
#[rstest]
#[case::lookup("SELECT digest", Fault::CloseAfter)]
#[case::statement("INTO bills", Fault::CloseBefore)]
#[case::ran("INTO bills", Fault::CloseAfter)]
#[case::record("INTO goldcrestrail_keys", Fault::CloseAfter)]
#[case::commit_lost("COMMIT", Fault::CloseBefore)]
#[case::commit_done("COMMIT", Fault::CloseAfter)]
#[case::race("INTO goldcrestrail_keys", Fault::Refuse("23505"))]
#[case::demoted("INTO bills", Fault::Refuse("25006"))]
fn broken_connection_has_an_outcome(#[case] at: &str, #[case] fault: Fault) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        harness.fleet.primary.fail(at, fault);

        let reply = send_keyed(&mut caller, BILL).await;

        assert_eq!(
            (reply.commands(), reply.status()),
            (vec!["INSERT 0 1"], 'I')
        );
        assert_eq!(harness.fleet.store.rows.borrow().len(), 1);
        assert_eq!(harness.fleet.store.keys.borrow().as_ref().unwrap().len(), 1);
    });
}

/// Guards against a recorded outcome that is replayed before it is confirmed.
#[test]
fn first_outcome_is_confirmed() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        send_keyed(&mut caller, BILL).await;
        harness.fleet.confirm.set(Confirm::No);
        let second = send_keyed(&mut caller, BILL).await;

        assert_eq!(second.sqlstate(), "ZU001");
    });
}

/// Guards against an expired key that is still replayed, or that can't be reused.
#[test]
fn keys_expire() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        send_keyed(&mut caller, BILL).await;
        harness.fleet.expire_keys();

        let later = send_keyed(&mut caller, "INSERT INTO bills VALUES ('c', '1')").await;

        assert_eq!(later.commands(), ["INSERT 0 1"]);
    });
}

/// Guards against a table of keys that grows without bound.
#[test]
fn expired_keys_are_deleted() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        send_keyed(&mut caller, BILL).await;
        harness.fleet.expire_keys();

        for i in 0..PURGE_INTERVAL {
            let text = format!("/* goldcrestrail.key=n{i} */ INSERT INTO t VALUES ('a', '{i}')");
            caller.query(&text).await;
        }
        caller.query("SELECT 1").await;

        let keys = harness.fleet.store.keys.borrow();
        let keys = keys.as_ref().unwrap();
        assert!(!keys.contains_key("k"));
        assert_eq!(keys.len(), PURGE_INTERVAL);
    });
}

async fn run_transaction(caller: &mut Caller) -> String {
    let mut tags = String::new();
    for text in [
        "SET goldcrestrail.key = 'k'",
        "BEGIN",
        BILL,
        "SELECT 1",
        "COMMIT",
    ] {
        let reply = caller.query(text).await;
        tags.push_str(&reply.tags());
        tags.push(reply.status());
        tags.push_str(&reply.sqlstate());
    }
    tags
}

/// Guards against a resent transaction that runs again, including when its COMMIT got no answer.
#[rstest]
#[case::whole(None)]
#[case::commit_done(Some(Fault::CloseAfter))]
fn transaction_runs_once(#[case] fault: Option<Fault>) {
    run(async {
        let harness = Harness::new().await;
        let (mut caller, mut other) = (harness.caller().await, harness.caller().await);
        if let Some(fault) = fault {
            harness.fleet.primary.fail("COMMIT", fault);
        }

        let first = run_transaction(&mut caller).await;
        let second = run_transaction(&mut other).await;

        assert_eq!(first, "CZICZTCZTTDCZTCSZI");
        assert_eq!(second, first);
        assert_eq!(harness.fleet.primary.times_run("INTO bills"), 1);
    });
}

/// Guards against a resent transaction with other statements that gets the recorded answers.
#[test]
fn other_transaction_is_refused() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        run_transaction(&mut caller).await;

        send_keyed(&mut caller, "BEGIN").await;
        let other = caller.query("INSERT INTO bills VALUES ('c', '1')").await;
        let end = caller.query("COMMIT").await;

        assert_eq!((other.sqlstate(), other.status()), ("ZF001".into(), 'E'));
        assert_eq!((end.commands(), end.status()), (vec!["ROLLBACK"], 'I'));
    });
}

/// Guards against "not run" for a COMMIT that the same primary may still complete, and against
/// "unknown" for one that is certainly lost.
#[rstest]
#[case::same_primary(1, "ZU001")]
#[case::new_primary(2, "ZN002")]
fn lost_commit_is_looked_up(#[case] term: u64, #[case] expected: &str) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        caller.query("SET goldcrestrail.deadline = 500").await;
        send_keyed(&mut caller, "BEGIN").await;
        caller.query(BILL).await;
        harness.fleet.primary.fail("COMMIT", Fault::CloseBefore);
        harness.fleet.term.set(term);

        let commit = caller.query("COMMIT").await;

        assert_eq!((commit.sqlstate(), commit.status()), (expected.into(), 'I'));
        assert!(harness.fleet.store.rows.borrow().is_empty());
    });
}
