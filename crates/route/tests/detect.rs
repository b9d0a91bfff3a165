//! Failure detection from the results of attempts.

use std::time::Instant;

use route::{Detector, Health};

/// Guards against a change of primary after a restart of all entry processes, because none of them
/// has got a connection to the primary yet.
#[test]
fn member_that_was_never_reached_is_not_failed() {
    let start = Instant::now();
    let mut member = Detector::new(start);

    assert_eq!(member.attempted(), Health::Ok);
    member.silent();
    assert_eq!(member.attempted(), Health::Silent);
    member.reached();
    assert_eq!(member.attempted(), Health::Ok);
}
