//! Faults at the steps of an acknowledgement; needs the feature `failpoints`.
#![cfg(feature = "failpoints")]

mod fakes;

use base::Position;
use entry::{group::Phase, refusal::Refusal};
use fail::FailScenario;
use fakes::{Deployment, run, sleep, wait_until};
use rstest::rstest;

/// A process that is frozen for longer than the lease must not acknowledge with the lease from
/// before. The freeze stops the renewals too, because everything runs on one thread.
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

/// A promotion during the freeze must be noticed after it.
#[rstest]
#[case::before_confirm("confirm-before")]
#[case::before_lease_check("confirm-after")]
fn promoted_in_freeze(#[case] point: &str) {
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

/// After the check the write is acknowledged, however long the process is frozen then: it was
/// confirmed before any promotion could read the members.
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
