//! Check that the remaining members hold every write that a removed member confirmed.

use std::{rc::Rc, time::Duration};

use compio::time::sleep;
use futures_util::future::join_all;

use route::Status;

use crate::{
    host::Host,
    log::Log,
    machine::{Member, Record},
    promotion::{RELAY_DELAY, probe},
};

/// Number of reads of the members in one sweep, and the delay between them. Under steady load, a
/// replica reaches the primary's position only some time after that position was read.
const READ_ATTEMPTS: (u32, Duration) = (10, Duration::from_millis(100));

/// Record in which removed members no longer count, once as many remaining members as confirm a
/// write have reached the position of the primary in the status `primary`. `None` if they don't reach
/// it in this sweep.
///
/// Every read quorum then includes one of these members, so a member that is down for long doesn't
/// keep the group from a change of primary.
pub(crate) async fn clear_uncovered<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    primary: &Status,
) -> Option<Record> {
    if primary.position.term != record.term {
        return None;
    }
    let needed = usize::try_from(record.confirmations).unwrap_or(usize::MAX);
    for _ in 0..READ_ATTEMPTS.0 {
        let members = record.members.iter();
        let reads = members.map(|member| {
            let target = host.target(&record.group, member);
            probe(host, target, RELAY_DELAY)
        });
        let statuses = join_all(reads).await;
        let covers = |(member, status): &(&Member, &Option<Status>)| {
            status.as_ref().is_some_and(|status| {
                status.member == member.member
                    && status.store == member.store
                    && status.position.covers(primary.position)
            })
        };
        let covering = record.members.iter().zip(&statuses).filter(covers).count();
        if covering >= needed {
            return Some(Record {
                uncovered: 0,
                ..record.clone()
            });
        }
        sleep(READ_ATTEMPTS.1).await;
    }
    None
}
