//! Writes: the primary in force, confirmation and the write lease.

mod fakes;

use std::time::{Duration, Instant};

use base::Position;
use entry::{group::Phase, refusal::Refusal};
use fakes::{Deployment, query, run, sleep, wait_until};

/// A write that two members hold is acknowledged, and the next write reuses the connection.
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

/// A write that only the primary holds must not be acknowledged.
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

/// A member that lost its disk must not count for a confirmation, even at a high position.
#[test]
fn other_store() {
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

/// An old primary that goes on as primary of an older term must get no write.
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

/// A write that waits for its confirmation learns at once that its term ended.
#[test]
fn record_changes_in_wait() {
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

/// Writes must stop when the lease ends, and a confirmed write without a lease is unknown.
#[test]
fn lease_lost() {
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

/// A service that is removed refuses at once, also requests that wait.
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

/// A write that waited in the queue of the old primary must not be sent there after the record
/// changed.
#[test]
fn record_changes_in_queue() {
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

/// A write that runs on a frozen primary must end with the term, not with its deadline.
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

/// A write whose connection went silent, while fresh connections to the primary work, must end
/// within seconds and not with its deadline.
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

/// A planned change of primary must start no new write, and must let a running one be
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

/// A primary that announces its stop must take writes until the control hosts move its role: the
/// writes would wait for the whole change otherwise. Without a change it must get none after a few
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

/// A change of the members of a group must not disturb the writes of its term.
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

/// A write that had to wait for a primary is counted as a failover gap once the next one is
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
