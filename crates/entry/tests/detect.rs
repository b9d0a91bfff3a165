//! Detection of failed members, and its cost.

mod fakes;

use std::time::{Duration, Instant};

use fakes::{Deployment, run, sleep, wait_until};
use rstest::rstest;

/// Guards against a primary failure that is detected only by the next probe, up to 250 ms later, or
/// reported only with the next renewal, up to 300 ms later.
#[rstest]
fn primary_failure_is_reported_immediately(#[values(20, 80, 140)] phase: u64) {
    run(async {
        let deployment = Deployment::ready().await;
        let primary = &deployment.upstreams[0];
        sleep(600).await;
        let probes = primary.status_queries.get();
        wait_until("the next probe", || primary.status_queries.get() > probes).await;
        sleep(phase).await;

        let start = Instant::now();
        primary.kill();
        wait_until("the report", || {
            deployment.control_state.first_refused.get().is_some()
        })
        .await;

        let took = deployment.control_state.first_refused.get().unwrap() - start;
        assert!(took < Duration::from_millis(60), "took {took:?}");
    });
}

/// Guards against probes without a pause to a member that sends unsolicited messages.
#[test]
fn unsolicited_messages_cause_no_extra_probes() {
    run(async {
        let deployment = Deployment::ready().await;
        let member = &deployment.upstreams[1];
        member.sends_unsolicited.set(true);
        sleep(300).await;

        let before = member.status_queries.get();
        sleep(1_000).await;

        let probes = member.status_queries.get() - before;
        assert!(probes <= 9, "{probes} probes in a second");
    });
}
