//! Failure detection from the results of connection attempts.

use std::time::Instant;

use route::{FailureDetector, Health};

/// Guards against a promotion after a restart of all entry processes, when none of them has a
/// connection to the primary yet.
#[test]
fn member_that_was_never_reached_is_not_failed() {
    let start = Instant::now();
    let mut member = FailureDetector::new(start);

    assert_eq!(member.last_attempt(), Health::Ok);
    member.record_timeout();
    assert_eq!(member.last_attempt(), Health::Silent);
    member.record_connection();
    assert_eq!(member.last_attempt(), Health::Ok);
}
