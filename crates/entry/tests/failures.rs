//! Cancel requests, graceful stops, slow callers and truncated answers.

mod common;

use std::{rc::Rc, time::Duration};

use common::{Fault, Harness, fleet::Confirm, options, run};
use compio::{
    BufResult,
    io::{AsyncRead as _, AsyncWriteExt as _},
    time::{sleep, timeout},
};
use entry::{options::Options, registry::Registry};
use rstest::rstest;

const STOP_PAUSE: Duration = Duration::from_millis(50);

/// Waits until `done` returns true. [`run`] fails the test after 20 s.
async fn until(done: impl Fn() -> bool) {
    while !done() {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a cancel that does not reach its statement, and against a cancel with a wrong
/// secret that does.
#[rstest]
#[case::right(0, "57014")]
#[case::wrong(1, "")]
fn cancels_running_statement(#[case] error: i32, #[case] expected: &str) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        let (pid, secret) = caller.0.key;
        caller.send("SELECT slow").await;
        until(|| harness.fleet.replica.times_run("slow") > 0).await;

        let stream = harness.stream().await;
        wire::client::cancel(stream, (pid, secret ^ error))
            .await
            .unwrap();
        let reply = caller.reply().await;

        assert_eq!(reply.sqlstate(), expected);
        assert_eq!(reply.status(), 'I');
    });
}

/// Guards against a request that can't be cancelled while it waits for a connection.
#[test]
fn cancels_waiting_request() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        harness.fleet.hold_connections.set(true);
        caller.send("INSERT INTO t VALUES ('a', '1')").await;
        until(|| harness.fleet.was_held.get()).await;

        let stream = harness.stream().await;
        wire::client::cancel(stream, caller.0.key).await.unwrap();
        let reply = caller.reply().await;

        assert_eq!((reply.sqlstate(), reply.status()), ("57014".into(), 'I'));
        assert_eq!(harness.fleet.primary.times_run("INSERT"), 0);
    });
}

/// Guards against a cancel that arrives after its statement ended and cancels the next statement of
/// this or another caller.
#[test]
fn late_cancel_has_no_effect() {
    run(async {
        let harness = Harness::new().await;
        let (mut caller, mut other) = (harness.caller().await, harness.caller().await);
        caller.query("SELECT 1").await;
        other.send("SELECT slow").await;
        until(|| harness.fleet.replica.times_run("slow") > 0).await;

        let stream = harness.stream().await;
        wire::client::cancel(stream, caller.0.key).await.unwrap();
        let reply = other.reply().await;

        assert_eq!(reply.rows(), ["slow"]);
        assert!(harness.fleet.replica.cancels.borrow().is_empty());
    });
}

/// Guards against a cancel that reaches the database late and cancels the next statement on the
/// same connection.
#[rstest]
#[case::pooled("SELECT 1", "SELECT 1")]
#[case::pinned("BEGIN READ ONLY", "ROLLBACK")]
fn slow_cancel_affects_no_other_statement(#[case] before: &str, #[case] after: &str) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        harness
            .fleet
            .replica
            .cancel_delay
            .set(Duration::from_millis(1_500));
        caller.query(before).await;
        caller.send("SELECT slow").await;
        until(|| harness.fleet.replica.times_run("slow") > 0).await;

        let stream = harness.stream().await;
        wire::client::cancel(stream, caller.0.key).await.unwrap();
        let first = caller.reply().await;
        let next = caller.query("SELECT slow").await;
        caller.query(after).await;

        assert_eq!(
            (first.rows(), next.rows()),
            (vec!["slow".into()], vec!["slow".into()])
        );
        assert_eq!(harness.fleet.dropped.get(), 1);
    });
}

/// Guards against a truncated answer that the caller receives without an error, and against frames
/// of it in the answer of another request.
#[rstest]
#[case::small(10)]
#[case::streamed(1_000)]
fn broken_answer_is_an_error(#[case] rows: usize) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        harness.fleet.replica.fail("big", Fault::CloseMidway);

        let reply = caller.query(&format!("SELECT big LIMIT {rows}")).await;
        let next = caller.query("SELECT 1").await;

        assert_eq!((reply.sqlstate(), reply.status()), ("ZU001".into(), 'I'));
        assert!(reply.commands().is_empty());
        assert_eq!(
            (next.tags(), next.rows()),
            ("TDCZ".into(), vec!["1".into()])
        );
    });
}

/// Guards against an answer that arrives after the deadline and is taken for that of the next
/// request.
#[test]
fn late_answer_is_discarded() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        caller.query("SET goldcrestrail.deadline = 50").await;

        let late = caller.query("SELECT slow").await;
        let next = caller.query("SELECT 1").await;
        until(|| !harness.fleet.replica.cancels.borrow().is_empty()).await;

        assert_eq!(late.sqlstate(), "ZU001");
        assert_eq!(
            (next.tags(), next.rows()),
            ("TDCZ".into(), vec!["1".into()])
        );
        assert_eq!(harness.fleet.dropped.get(), 1);
        assert_eq!(harness.fleet.replica.cancels.borrow().len(), 1);
    });
}

/// Guards against a transaction that continues on another connection after its own failed, and
/// against one that mixes with the next.
#[rstest]
#[case::statement("INSERT INTO t VALUES ('b', '2')", "ZN002", 'E')]
#[case::commit("COMMIT", "ZU001", 'I')]
fn broken_transaction_ends(#[case] text: &str, #[case] expected: &str, #[case] status: char) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        caller.query("BEGIN").await;
        caller.query("INSERT INTO t VALUES ('a', '1')").await;
        harness.fleet.primary.fail(text, Fault::CloseBefore);

        let broken = caller.query(text).await;
        let end = caller.query("ROLLBACK").await;

        assert_eq!(
            (broken.sqlstate(), broken.status()),
            (expected.into(), status)
        );
        assert_eq!(end.status(), 'I');
        assert!(harness.fleet.store.rows.borrow().is_empty());
    });
}

/// Guards against a caller that does not read its answer and makes the process buffer all of it, or
/// hold a connection forever.
#[test]
fn unread_answer_is_dropped() {
    run(async {
        let mut options = options();
        options.stall_timeout = Duration::from_millis(200);
        let harness = Harness::with(options).await;
        let (mut caller, mut other) = (harness.caller().await, harness.caller().await);

        caller.send("SELECT big LIMIT 50000").await;
        until(|| harness.fleet.dropped.get() == 1).await;

        assert_eq!(other.query("SELECT 1").await.rows(), ["1"]);
    });
}

/// Guards against a large answer of a replica that arrives incomplete, and against an answer of the
/// primary that is buffered without limit.
#[rstest]
#[case::replica(true, 20_000, "")]
#[case::primary(false, 20_000, "54000")]
#[case::held(false, 2_000, "")]
fn large_answers(#[case] replica: bool, #[case] rows: usize, #[case] expected: &str) {
    run(async {
        let harness = Harness::new().await;
        harness.fleet.replica_reads.set(replica);
        let mut caller = harness.caller().await;

        let reply = caller.query(&format!("SELECT big LIMIT {rows}")).await;

        assert_eq!(reply.sqlstate(), expected);
        let count = if expected.is_empty() { rows } else { 0 };
        assert_eq!((reply.rows().len(), reply.status()), (count, 'I'));
    });
}

/// Guards against a stop that aborts a transaction, or closes connections without an error message.
#[test]
fn stops_gracefully() {
    run(async {
        let harness = Harness::new().await;
        let (mut idle, mut open) = (harness.caller().await, harness.caller().await);
        open.query("BEGIN").await;
        open.query("INSERT INTO t VALUES ('a', '1')").await;

        harness.fleet.stop();
        let closed = idle.reply().await;
        let refused = harness.caller_with(&[]).await.err().unwrap();
        let commit = open.query("COMMIT").await;
        let end = open.reply().await;

        assert_eq!(
            (closed.tags(), closed.sqlstate()),
            ("E".into(), "57P01".into())
        );
        assert_eq!(refused[0].sqlstate(), Some("57P03"));
        assert_eq!((commit.commands(), commit.status()), (vec!["COMMIT"], 'I'));
        assert_eq!(end.sqlstate(), "57P01");
    });
}

/// Guards against a stop that aborts a request.
#[test]
fn stop_waits_for_requests() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;
        harness.fleet.confirm.set(Confirm::Wait);
        caller.send("INSERT INTO t VALUES ('a', '1')").await;
        until(|| harness.fleet.primary.times_run("INSERT") > 0).await;

        harness.fleet.stop();
        sleep(STOP_PAUSE).await;
        harness.fleet.confirm.set(Confirm::Yes);
        let reply = timeout(Duration::from_secs(1), caller.reply())
            .await
            .unwrap();

        assert_eq!(reply.commands(), ["INSERT 0 1"]);
    });
}

/// Options of a stop that ends soon.
fn short_stop() -> Options {
    Options {
        stop_limit: STOP_PAUSE,
        ..options()
    }
}

/// Guards against a request that waits for a connection and is cut off by the end of a stop. It has not
/// run.
#[rstest]
#[case::read("SELECT 1")]
#[case::write("INSERT INTO t VALUES ('a', '1')")]
fn stop_refuses_requests_that_wait(#[case] text: &str) {
    run(async {
        let harness = Harness::with(short_stop()).await;
        let mut caller = harness.caller().await;
        harness.fleet.hold_connections.set(true);
        caller.send(text).await;
        caller.send(text).await;
        until(|| harness.fleet.was_held.get()).await;

        harness.fleet.stop();
        let refused = caller.reply().await;
        let end = caller.reply().await;

        assert_eq!(
            (refused.sqlstate(), refused.status()),
            ("ZN004".into(), 'I')
        );
        assert_eq!(end.sqlstate(), "57P01");
        assert!(end.message().contains("has not run"), "{}", end.message());
        assert_eq!(harness.fleet.primary.times_run("INSERT"), 0);
    });
}

/// Guards against a request that a stop cuts off while a database runs it, or while its commit is not
/// confirmed yet, and against one that is reported as not run.
#[rstest]
#[case::write("", "INSERT INTO t VALUES ('a', '1')", 'I')]
#[case::within_a_transaction("BEGIN", "INSERT INTO t VALUES ('a', '1')", 'E')]
fn stop_reports_unanswered_requests_as_unknown(
    #[case] before: &str,
    #[case] text: &str,
    #[case] status: char,
) {
    run(async {
        let harness = Harness::with(short_stop()).await;
        let mut caller = harness.caller().await;
        if !before.is_empty() {
            caller.query(before).await;
        }
        harness.fleet.primary.fail("INSERT", Fault::NoAnswer);
        caller.send(text).await;
        until(|| harness.fleet.primary.has_failed()).await;

        harness.fleet.stop();
        let unknown = caller.reply().await;
        let end = caller.reply().await;

        assert_eq!(
            (unknown.sqlstate(), unknown.status()),
            ("ZU001".into(), status)
        );
        assert_eq!(end.sqlstate(), "57P01");
    });
}

/// Guards against a stop that waits for the caller of an open transaction until the process is killed,
/// and closes its connection without a word.
#[test]
fn stop_ends_idle_transactions() {
    run(async {
        let harness = Harness::with(short_stop()).await;
        let mut caller = harness.caller().await;
        caller.query("BEGIN").await;
        caller.query("INSERT INTO t VALUES ('a', '1')").await;

        harness.fleet.stop();
        let end = caller.reply().await;

        assert_eq!(end.sqlstate(), "57P01");
    });
}

/// Guards against parameters of one session that affect another session on the same connection.
#[test]
fn parameters_stay_with_their_session() {
    run(async {
        let harness = Harness::new().await;
        let (mut caller, mut other) = (harness.caller().await, harness.caller().await);

        caller.query("SET search_path TO a, b").await;
        other.query("SELECT 1").await;
        caller.query("SELECT 1").await;

        let log = harness.fleet.replica.log.borrow();
        let texts: Vec<_> = log.iter().map(|(_, text)| text.as_str()).collect();
        let set = "SET search_path TO a, b";
        assert_eq!(
            texts,
            [set, "RESET ALL", "SELECT 1", "RESET ALL", set, "SELECT 1"]
        );
    });
}

/// Guards against a statement that runs with the parameters of another session because a database refused
/// those of its own, and against the reuse of that connection.
#[rstest]
#[case::reset("RESET ALL", "SELECT 1")]
#[case::set("SET search_path", "SELECT 1")]
#[case::before_a_transaction("SET search_path", "BEGIN")]
fn refused_parameters_run_no_statement(#[case] refused: &str, #[case] text: &str) {
    run(async {
        let harness = Harness::new().await;
        harness.fleet.replica_reads.set(false);
        let mut caller = harness.caller().await;
        caller.query("SELECT 0").await;
        caller.query("SET search_path TO a, b").await;
        let mut other = harness.caller().await;
        other.query("SELECT 0").await;
        let (ran, closed) = (
            harness.fleet.primary.times_run(text),
            harness.fleet.dropped.get(),
        );
        harness.fleet.primary.fail(refused, Fault::Refuse("55000"));

        let answer = caller.query(text).await;

        assert_eq!((answer.sqlstate(), answer.status()), ("55000".into(), 'I'));
        assert_eq!(harness.fleet.primary.times_run(text), ran);
        assert_eq!(harness.fleet.dropped.get(), closed + 1);
    });
}

/// Guards against a parameter of the entry process that is sent to the databases, or that changes
/// the routing of the statements after it.
#[test]
fn own_parameters_are_not_forwarded() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        let reply = caller
            .query("SET goldcrestrail.max_age = 5; SELECT 1")
            .await;
        caller.query("SELECT 1").await;

        assert_eq!(reply.tags(), "CTDCZ");
        let log = harness.fleet.replica.log.borrow();
        assert!(
            log.iter().all(|(_, text)| text.trim() == "SELECT 1"),
            "{log:?}"
        );
    });
}

/// Guards against a cancel request that is lost because it arrived at a process without the
/// session, and against one for this process that is forwarded to others.
#[rstest]
#[case::other(1, &[(1 << 16 | 1, 7)])]
#[case::own(0, &[])]
fn forwards_cancels_for_other_processes(#[case] mark: i32, #[case] expected: &[(i32, i32)]) {
    run(async {
        let harness = Harness::new().await;
        let mut stream = harness.stream().await;
        let request = [16, 80_877_102, mark << 16 | 1, 7];
        let bytes: Vec<u8> = request.into_iter().flat_map(i32::to_be_bytes).collect();

        let BufResult(sent, _) = stream.write_all(bytes).await;
        let BufResult(read, _) = stream.read(Vec::with_capacity(1)).await;

        sent.unwrap();
        assert_eq!(read.unwrap_or_default(), 0);
        assert_eq!(*harness.fleet.relayed_cancels.borrow(), expected);
    });
}

/// Guards against process ids that don't identify the entry process of the session, and against a
/// gauge of callers that stays at zero.
#[test]
fn sessions_are_marked_and_counted() {
    let gauge = prometheus::IntGauge::new("callers", "Callers.").unwrap();
    let registry = Rc::new(Registry::new(0xabcd_ffff_ffff, gauge.clone()));

    let (first, second) = (registry.register(), registry.register());
    let count = gauge.get();
    drop(first);

    assert_eq!(second.pid, 0x7fff_0002);
    assert!(registry.owns(second.pid) && !registry.owns(2));
    assert_eq!((count, gauge.get()), (2, 1));
}
