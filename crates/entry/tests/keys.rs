//! Keys of organisations on the PostgreSQL protocol.

mod common;

use std::time::Duration;

use base::organisation::{KeyDigest, Organisation};
use common::{Caller, Harness, run};
use compio::time::sleep;
use identity::Identities;
use rstest::rstest;

/// Puts organisations with one key each in force.
fn configure(harness: &Harness, holders: &[(&str, &str)]) {
    let holders = holders.iter().map(|(name, key)| Organisation {
        name: (*name).to_owned(),
        keys: vec![KeyDigest::of(key.as_bytes())],
        priority: 0,
        rate: None,
    });
    let identities = Identities::new(Some(holders.collect()));
    harness.fleet.identities.replace(identities);
}

async fn with_key(harness: &Harness) -> Caller {
    configure(harness, &[("acme", "k1"), ("other", "k2")]);
    harness.caller_with_password("k1").await.unwrap()
}

/// Guards against callers that are let in without a valid key, and against an error that doesn't say
/// what to do.
#[rstest]
#[case::unknown("k9")]
#[case::none("")]
#[case::name_of_an_organisation("acme")]
fn login_needs_a_key(#[case] key: &str) {
    run(async {
        let harness = Harness::new().await;
        configure(&harness, &[("acme", "k1")]);

        let refused = harness.caller_with_password(key).await.err().unwrap();
        let mut known = harness.caller_with_password("k1").await.unwrap();
        let served = known.query("SELECT 1").await;

        let error = refused.last().unwrap();
        assert_eq!(error.sqlstate(), Some("28P01"));
        assert!(
            error
                .field(b'M')
                .unwrap()
                .contains("belongs to no organisation")
        );
        assert_eq!(served.rows(), ["1"]);
    });
}

/// Guards against an open session that is served after its key was taken away, and against one that
/// stays refused after the key was added again. Sessions from before there were organisations have no
/// key.
#[test]
fn open_session_is_refused_without_its_key() {
    run(async {
        let harness = Harness::new().await;
        let mut without_key = harness.caller().await;
        let mut caller = with_key(&harness).await;

        let served = caller.query("SELECT 1").await;
        let never_had_one = without_key.query("SELECT 1").await;
        configure(&harness, &[("other", "k2")]);
        let taken_away = caller.query("SELECT 1").await;
        configure(&harness, &[("acme", "k1")]);
        let added_again = caller.query("SELECT 1").await;

        assert_eq!(served.rows(), ["1"]);
        assert_eq!(never_had_one.sqlstate(), "28P01");
        assert_eq!(taken_away.sqlstate(), "28P01");
        assert_eq!(added_again.rows(), ["1"]);
    });
}

/// Guards against a transaction that goes on, or commits, after its key was taken away or moved.
#[rstest]
#[case::taken_away(&[("other", "k2")], "28P01", "28P01")]
#[case::moved(&[("other", "k1")], "ZN008", "")]
fn transaction_ends_with_its_key(
    #[case] holders: &[(&str, &str)],
    #[case] within: &str,
    #[case] afterwards: &str,
    #[values("SELECT 1", "COMMIT")] text: &str,
) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = with_key(&harness).await;
        caller.query("BEGIN").await;
        caller.query("SELECT 1").await;
        assert_eq!(harness.fleet.dropped.get(), 0);

        configure(&harness, holders);
        let refused = caller.query(text).await;
        let closed = harness.fleet.dropped.get();
        let rolled_back = caller.query("ROLLBACK").await;
        let next = caller.query("SELECT 1").await;

        assert_eq!(refused.sqlstate(), within);
        // Closing the connection rolled the transaction back.
        assert_eq!(closed, 1);
        assert_eq!(rolled_back.commands(), ["ROLLBACK"]);
        assert_eq!(next.sqlstate(), afterwards);
    });
}

/// Guards against a request that runs although its key was taken away while it waited for a
/// connection.
#[test]
fn key_taken_away_ends_the_wait_for_a_connection() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = with_key(&harness).await;
        harness.fleet.hold_connections.set(true);
        caller.send("SELECT 1").await;
        while !harness.fleet.was_held.get() {
            sleep(Duration::from_millis(2)).await;
        }

        configure(&harness, &[("other", "k2")]);
        harness.fleet.hold_connections.set(false);
        let refused = caller.reply().await;

        assert_eq!(
            (refused.sqlstate().as_str(), refused.rows().len()),
            ("28P01", 0)
        );
        assert_eq!(harness.fleet.dropped.get(), 0);
    });
}

/// Guards against a request that runs on a connection of another organisation or of the deployment
/// itself.
#[test]
fn connections_are_acquired_for_the_organisation_of_the_caller() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = with_key(&harness).await;

        caller.query("SELECT 1").await;
        caller.query("BEGIN").await;
        caller.query("INSERT INTO t VALUES (1)").await;
        caller.query("COMMIT").await;

        let owners = harness.fleet.owners.borrow();
        assert_eq!(*owners, [Some("acme".to_owned()), Some("acme".to_owned())]);
    });
}

/// Guards against operations beyond the rate limit of an organisation that run, and against a
/// statement of an admitted transaction that counts again.
#[test]
fn operations_beyond_the_rate_limit_do_not_run() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = with_key(&harness).await;
        harness.fleet.admitted.set(1);

        caller.query("BEGIN").await;
        let first = caller.query("SELECT 1").await;
        let second = caller.query("SELECT 1").await;
        caller.query("COMMIT").await;
        let beyond = caller.query("SELECT 1").await;

        assert_eq!([first.rows(), second.rows()], [["1"], ["1"]]);
        assert_eq!(beyond.sqlstate(), "ZN009");
        assert_eq!(harness.fleet.owners.borrow().len(), 1);
    });
}
