//! Faults of the failure model, one at a time and at each step.

mod cluster;

use std::time::Duration;

use cluster::Cluster;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a cluster that elects no leader or acknowledges nothing.
#[rstest]
fn elects_and_replicates(#[values(1, 3, 5)] size: usize) {
    let mut all = Cluster::new(1, size, Vec::new());

    for _ in 0..20 {
        all.write();
    }
    all.converge();

    all.assert_correct();
    assert_eq!(all.commands(size - 1).len(), 20);
    let _unit = SECOND;
}
