//! Writes: choice of the primary, confirmation and the write lease.

mod fakes;

use std::time::{Duration, Instant};

use base::Position;
use entry::{group::Phase, refusal::Refusal};
use fakes::{Deployment, query, run, sleep, wait_until};

/// A write that two members have stored is acknowledged.
#[test]
fn confirmed_write() {
    run(async {
        let deployment = Deployment::ready().await;
        let lease = deployment.write(1_000).await.unwrap();
        assert_eq!((lease.member().as_str(), lease.primary()), ("a", Some(1)));
        query(lease).await;
        deployment.set_position(&[0, 1], Position::new(1, 11));
        let result = deployment.confirm(Position::new(1, 11), 1_000).await;
        assert_eq!(result, Ok(()));
    });
}

/// A write that only the primary has stored must not be acknowledged.
#[test]
fn unconfirmed_write() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.set_position(&[0], Position::new(1, 11));
        let result = deployment.confirm(Position::new(1, 11), 300).await;
        assert!(
            matches!(result, Err(Refusal::OutcomeUnknown(_))),
            "{result:?}"
        );
    });
}

/// A member that restarted with an empty disk must not count towards a confirmation, whatever
/// position it reports.
#[test]
fn replaced_store() {
    run(async {
        let deployment = Deployment::ready().await;
        *deployment.upstreams[1].store.borrow_mut() = "store-new".into();
        deployment.set_position(&[0, 1], Position::new(1, 11));
        let result = deployment.confirm(Position::new(1, 11), 500).await;
        assert!(
            matches!(result, Err(Refusal::OutcomeUnknown(_))),
            "{result:?}"
        );
    });
}

/// An old primary that still acts as primary of an older term must get no write.
#[test]
fn old_primary() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.upstreams[1].primary.set(true);
        deployment.set_position(&[1, 2], Position::new(2, 10));
        deployment.put_record(2, Phase::Stable, "b");
        wait_until("the record arrives", || {
            deployment.network.record_version() == 2
        })
        .await;
        let lease = deployment.write(1_000).await.unwrap();
        assert_eq!((lease.member().as_str(), lease.primary()), ("b", Some(2)));
    });
}

/// A position of the old primary must not be acknowledged after the record names a new term.
#[test]
fn old_position() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.put_record(1, Phase::Fencing, "a");
        wait_until("the record arrives", || {
            deployment.network.record_version() == 2
        })
        .await;
        deployment.set_position(&[0, 1], Position::new(1, 11));
        let result = deployment.confirm(Position::new(1, 11), 300).await;
        assert!(
            matches!(result, Err(Refusal::OutcomeUnknown(_))),
            "{result:?}"
        );
    });
}

/// A write that waits for its confirmation must fail at once when its term ends.
#[test]
fn record_changes_while_waiting() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.set_position(&[0], Position::new(1, 11));
        let start = Instant::now();
        let change = async {
            sleep(100).await;
            deployment.put_record(1, Phase::Fencing, "a");
        };
        let waiting = deployment.confirm(Position::new(1, 11), 5_000);
        let (result, ()) = futures_util::join!(waiting, change);
        assert!(
            matches!(result, Err(Refusal::OutcomeUnknown(_))),
            "{result:?}"
        );
        assert!(start.elapsed() < Duration::from_secs(1));
    });
}

/// A primary of a term that the record does not know yet must wait for the record.
#[test]
fn term_before_record() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.upstreams[0].primary.set(false);
        deployment.upstreams[1].primary.set(true);
        deployment.set_position(&[0, 1, 2], Position::new(2, 10));
        sleep(400).await;
        let early = deployment.write(300).await;
        assert_eq!(early.err(), Some(Refusal::NoPrimary));
        deployment.put_record(2, Phase::Stable, "b");
        let lease = deployment.write(1_000).await.unwrap();
        assert_eq!(lease.member(), "b");
    });
}

/// Writes must stop when the lease expires. A write confirmed without a lease has an unknown
/// outcome.
#[test]
fn lease_expired() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.control_state.grants_leases.set(false);
        sleep(2_100).await;
        let write = deployment.write(100).await;
        assert_eq!(write.err(), Some(Refusal::NoPrimary));
        deployment.set_position(&[0, 1], Position::new(1, 11));
        let result = deployment.confirm(Position::new(1, 11), 200).await;
        assert!(
            matches!(result, Err(Refusal::OutcomeUnknown(_))),
            "{result:?}"
        );
        let regrant = async {
            sleep(100).await;
            deployment.control_state.grants_leases.set(true);
        };
        let waiting = deployment.confirm(Position::new(1, 11), 2_000);
        let (result, ()) = futures_util::join!(waiting, regrant);
        assert_eq!(result, Ok(()));
    });
}

/// The number of status queries must not grow with the number of waiting writes.
#[test]
fn shared_confirmation() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.set_position(&[0], Position::new(1, 2_000));
        let before = deployment.upstreams[1].status_queries.get();
        let waiting = (11..1_011).map(|offset| deployment.confirm(Position::new(1, offset), 4_000));
        let advance = async {
            sleep(200).await;
            deployment.set_position(&[1], Position::new(1, 1_500));
        };
        let all = futures_util::future::join_all(waiting);
        let (results, ()) = futures_util::join!(all, advance);
        assert!(results.iter().all(Result::is_ok));
        let asked = deployment.upstreams[1].status_queries.get() - before;
        assert!(asked < 100, "{asked} status queries");
    });
}

/// A removed service must refuse requests at once, including those that wait.
#[test]
fn removed_service() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.put_record(1, Phase::Fencing, "a");
        wait_until("the record arrives", || {
            deployment.network.record_version() == 2
        })
        .await;
        let start = Instant::now();
        let remove = async {
            sleep(100).await;
            deployment
                .control_state
                .put_document("[entries]\nmax = 1\n");
        };
        let (result, ()) = futures_util::join!(deployment.write(5_000), remove);
        assert!(matches!(result, Err(Refusal::UnknownService(_))));
        assert!(start.elapsed() < Duration::from_secs(2));
        assert!(deployment.network.find_service("orders").is_none());
    });
}

/// A write queued for the old primary must not be sent there after the record has changed.
#[test]
fn record_changes_while_queued() {
    run(async {
        let deployment = Deployment::ready().await;
        let mut held = Vec::new();
        for _ in 0..4 {
            let mut lease = deployment.write(1_000).await.unwrap();
            lease.client();
            held.push(lease);
        }
        let change = async {
            sleep(20).await;
            deployment.put_record(1, Phase::Fencing, "a");
            wait_until("the record arrives", || {
                deployment.network.record_version() == 2
            })
            .await;
            held.into_iter().for_each(entry::fleet::Lease::release);
            sleep(200).await;
            deployment.upstreams[1].primary.set(true);
            deployment.set_position(&[1, 2], Position::new(2, 10));
            deployment.put_record(2, Phase::Stable, "b");
        };
        let (lease, ()) = futures_util::join!(deployment.write(3_000), change);
        let lease = lease.unwrap();
        assert_eq!((lease.member().as_str(), lease.primary()), ("b", Some(2)));
    });
}

/// A write that runs on a frozen primary must fail when the term ends, not at its deadline.
#[test]
fn frozen_primary() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.upstreams[0].query_ms.set(60_000);
        let mut lease = deployment.write(1_000).await.unwrap();
        let change = async {
            sleep(100).await;
            deployment.put_record(1, Phase::Fencing, "a");
        };
        let start = Instant::now();
        let (result, ()) = futures_util::join!(lease.client().query("UPDATE"), change);
        assert!(matches!(result, Err(wire::Failure::Wire(_))), "{result:?}");
        assert!(start.elapsed() < Duration::from_secs(2));
    });
}

/// A write whose connection has stalled, while new connections to the primary work, must fail
/// within seconds and not at its deadline.
#[test]
fn silent_path_to_primary() {
    run(async {
        let deployment = Deployment::ready().await;
        let primary = &deployment.upstreams[0];
        let mut lease = deployment.write(1_000).await.unwrap();
        primary.silent_below.set(primary.accepted.get());
        let limit = Duration::from_secs(5);
        let result = compio::time::timeout(limit, lease.client().query("UPDATE")).await;
        assert!(
            matches!(result, Ok(Err(wire::Failure::Wire(_)))),
            "{result:?}"
        );
    });
}

/// During a planned change of primary no new write may start, but a running one must still be
/// acknowledged.
#[test]
fn planned_change_holds_new_writes() {
    run(async {
        let deployment = Deployment::ready().await;
        let lease = deployment.write(1_000).await.unwrap();
        query(lease).await;
        deployment.set_position(&[0, 1], Position::new(1, 11));
        deployment.put_record(1, Phase::Draining, "a");
        sleep(300).await;
        let running = deployment.confirm(Position::new(1, 11), 1_000).await;
        let new = deployment.write(500).await;
        assert_eq!(running, Ok(()));
        assert_eq!(new.map(|_| ()), Err(Refusal::NoPrimary));
    });
}

/// A primary that announces its stop must get writes until the control hosts replace it; otherwise
/// the writes would wait for the whole change. If it is not replaced, it must get none after a few
/// seconds.
#[test]
fn leaving_primary_serves_until_it_is_replaced() {
    run(async {
        let deployment = Deployment::ready().await;
        let mut announcement = deployment.upstreams[0].announcement();
        announcement.leaving = true;
        deployment.control_state.put_member(announcement, 0);
        sleep(300).await;

        let start = Instant::now();
        let leaving = deployment.write(500).await;
        let took = start.elapsed();
        drop(leaving.unwrap());
        sleep(3_200).await;
        let late = deployment.write(300).await;

        assert!(took < Duration::from_millis(50), "took {took:?}");
        assert_eq!(late.map(|_| ()), Err(Refusal::NoPrimary));
    });
}

/// A change of the members of a group must not interrupt writes of the current term.
#[test]
fn changed_members() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.upstreams[0].query_ms.set(300);
        let mut lease = deployment.write(1_000).await.unwrap();
        let change = async {
            sleep(100).await;
            deployment.put_record(1, Phase::Stable, "a");
        };
        let (result, ()) = futures_util::join!(lease.client().query("UPDATE"), change);
        assert!(result.is_ok_and(|rows| rows.is_empty()));
        assert_eq!(deployment.network.record_version(), 2);
    });
}

/// The time without a primary must be recorded as a failover gap once the next write is
/// acknowledged.
#[test]
fn failover_gap() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.put_record(1, Phase::Fencing, "a");
        wait_until("the record arrives", || {
            deployment.network.record_version() == 2
        })
        .await;
        let early = deployment.write(200).await;
        assert_eq!(early.err(), Some(Refusal::NoPrimary));
        deployment.upstreams[0].primary.set(false);
        deployment.upstreams[1].primary.set(true);
        deployment.set_position(&[1, 2], Position::new(2, 11));
        deployment.put_record(2, Phase::Stable, "b");
        query(deployment.write(2_000).await.unwrap()).await;
        deployment
            .confirm(Position::new(2, 11), 2_000)
            .await
            .unwrap();
        let gap = &deployment.network.metrics.gap;
        assert!(gap.get_sample_sum() >= 0.2, "{}", gap.get_sample_sum());
    });
}
