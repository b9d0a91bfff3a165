//! Removed members: when the others hold every write that a removed one confirmed.

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

/// Reads of the members in one sweep, and the pause between them. Under a steady load a replica
/// reaches the position of the primary only some time after it was read.
const READS: (u32, Duration) = (10, Duration::from_millis(100));

/// Record in which removed members count no longer, once every member that is left holds what the
/// primary held in `primary`.
pub(crate) async fn clear_uncovered<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    primary: &Status,
) -> Option<Record> {
    if primary.position.term != record.term {
        return None;
    }
    for _ in 0..READS.0 {
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
        sleep(READS.1).await;
    }
    None
}
