//! Check that the remaining members hold every write that a removed member confirmed.

use std::{rc::Rc, time::Duration};

use compio::time::sleep;
use futures_util::future::join_all;

use route::Status;

use crate::{
    host::Host,
    log::Log,
    machine::Record,
    promotion::{RELAY_DELAY, probe},
};

/// Number of reads of the members in one sweep, and the delay between them. Under steady load, a
/// replica reaches the primary's position only some time after that position was read.
const READ_ATTEMPTS: (u32, Duration) = (10, Duration::from_millis(100));

/// Record in which removed members no longer count, once every remaining member has reached the
/// position of the primary in the status `primary`. `None` if they don't reach it in this sweep.
pub(crate) async fn clear_uncovered<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    primary: &Status,
) -> Option<Record> {
    if primary.position.term != record.term {
        return None;
    }
    for _ in 0..READ_ATTEMPTS.0 {
        let members = record.members.iter();
        let reads = members.map(|member| {
            let target = host.target(&record.group, member);
            probe(host, target, RELAY_DELAY)
        });
        let statuses = join_all(reads).await;
        let all = record
            .members
            .iter()
            .zip(&statuses)
            .all(|(member, status)| {
                status.as_ref().is_some_and(|status| {
                    status.member == member.member
                        && status.store == member.store
                        && status.position.covers(primary.position)
                })
            });
        if all {
            return Some(Record {
                uncovered: 0,
                ..record.clone()
            });
        }
        sleep(READ_ATTEMPTS.1).await;
    }
    None
}
