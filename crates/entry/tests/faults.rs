//! Freezes of the process between the steps of an acknowledgement. Needs the feature `failpoints`.
#![cfg(feature = "failpoints")]

mod fakes;

use base::Position;
use entry::{group::Phase, refusal::Refusal};
use fail::FailScenario;
use fakes::{Deployment, run, sleep, wait_until};
use rstest::rstest;

/// Guards against an acknowledgement under an expired lease after a freeze that is longer than the
/// lease. The freeze stops the renewals as well, because everything runs on one thread.
#[rstest]
#[case::before_confirm("confirm-before")]
#[case::before_lease_check("confirm-after")]
fn frozen_before_check(#[case] point: &str) {
    let scenario = FailScenario::setup();
    run(async {
        let deployment = Deployment::ready().await;
        deployment.set_position(&[0, 1], Position::new(1, 11));
        sleep(400).await;
        deployment.control_state.grants_leases.set(false);
        fail::cfg(point, "1*sleep(2100)").unwrap();
        let result = deployment.confirm(Position::new(1, 11), 3_000).await;
        assert!(
            matches!(result, Err(Refusal::OutcomeUnknown(_))),
            "{result:?}"
        );
    });
    scenario.teardown();
}

/// Guards against an acknowledgement after a freeze during which another primary was promoted.
#[rstest]
#[case::before_confirm("confirm-before")]
#[case::before_lease_check("confirm-after")]
fn promotion_during_freeze(#[case] point: &str) {
    let scenario = FailScenario::setup();
    run(async {
        let deployment = Deployment::ready().await;
        deployment.set_position(&[0, 1], Position::new(1, 11));
        sleep(400).await;
        deployment.put_record(2, Phase::Stable, "b");
        fail::cfg(point, "1*sleep(2100)").unwrap();
        let result = deployment.confirm(Position::new(1, 11), 3_000).await;
        assert!(
            matches!(result, Err(Refusal::OutcomeUnknown(_))),
            "{result:?}"
        );
    });
    scenario.teardown();
}

/// Guards against an unnecessary refusal when the process is frozen after the lease check. The
/// write may be acknowledged, because it was confirmed before any promotion could read the members.
#[test]
fn frozen_after_check() {
    let scenario = FailScenario::setup();
    run(async {
        let deployment = Deployment::ready().await;
        deployment.set_position(&[0, 1], Position::new(1, 11));
        fail::cfg("lease-after", "1*sleep(2100)").unwrap();
        let result = deployment.confirm(Position::new(1, 11), 3_000).await;
        assert_eq!(result, Ok(()));
        wait_until("the lease is renewed", || {
            deployment.control_state.renewals.get() > 3
        })
        .await;
        drop(deployment.write(3_000).await.unwrap());
    });
    scenario.teardown();
}

/// Guards against an acknowledgement under an expired lease after the machine was suspended, which
/// the steady clock does not count. The suspension begins and ends before the lease check.
#[test]
fn suspended_before_lease_check() {
    let scenario = FailScenario::setup();
    run(async {
        let deployment = Deployment::ready().await;
        deployment.set_position(&[0, 1], Position::new(1, 11));
        sleep(400).await;
        deployment.control_state.grants_leases.set(false);
        fail::cfg("clock-suspended", "return(2100)").unwrap();
        let result = deployment.confirm(Position::new(1, 11), 1_000).await;
        assert!(
            matches!(result, Err(Refusal::OutcomeUnknown(_))),
            "{result:?}"
        );
    });
    scenario.teardown();
}

/// Guards against a read that is older than its caller accepts, because the machine was suspended
/// after the position of the primary was sampled. No later sample can be taken.
#[test]
fn suspended_after_sample() {
    let scenario = FailScenario::setup();
    run(async {
        let mut deployment = Deployment::ready().await;
        sleep(300).await;
        deployment.upstreams[0].kill();
        deployment.controls.clear();
        sleep(3_500).await;
        let fresh = deployment.read(None, Some(10_000), 1_000).await;
        drop(fresh.unwrap());
        fail::cfg("clock-suspended", "return(60000)").unwrap();
        let stale = deployment.read(None, Some(10_000), 1_000).await;
        assert_eq!(stale.err(), Some(Refusal::NotFresh));
    });
    scenario.teardown();
}
