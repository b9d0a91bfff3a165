//! Databases that announce themselves but are not in the record of their group.
//!
//! Where a primary acknowledges a commit as soon as any replica has it, such a database may hold the
//! only other copy of an acknowledged commit. It is therefore recorded as soon as it answers, and a
//! promotion asks it even before that. A database that restarted empty under its name is one of them.

use std::time::Instant;

use base::StoreId;
use route::Status;

use crate::{
    directory::Announcement,
    host::Host,
    log::Log,
    machine::{Member, Record},
    promotion::member_from,
};

/// Live databases of the group, including those that are about to stop, whose store the record
/// doesn't contain and that may hold acknowledged commits.
///
/// A database at the address of the primary is not among them: the primary ended before it started,
/// so it has received no commit from it. [`crate::failover::with_renamed_primary`] handles it.
pub(crate) fn unrecorded<L: Log>(host: &Host<L>, record: &Record) -> Vec<Announcement> {
    if !host.databases.counts_any_replica() {
        return Vec::new();
    }
    let primary = record.member(record.former_primary());
    let primary_address = primary.map(|member| host.member_address(member));
    let directory = host.directory.borrow();
    let live = directory.live_members(Instant::now(), &record.group);
    let unrecorded = live.into_iter().filter(|announced| {
        !contains(record, &announced.member, &announced.store)
            && !record.removed.contains(&announced.member)
            && primary_address.as_ref() != Some(&announced.address)
    });
    unrecorded.cloned().collect()
}

/// The recorded primary, if it announces itself with another store: it restarted.
pub(crate) fn restarted_primary<L: Log>(host: &Host<L>, record: &Record) -> Option<Member> {
    if !host.databases.counts_any_replica() {
        return None;
    }
    let primary = record.member(record.former_primary())?;
    let directory = host.directory.borrow();
    let live = directory.live_members(Instant::now(), &record.group);
    let mut live = live.into_iter();
    let announced = live.find(|a| a.member == primary.member && a.store != primary.store)?;
    Some(member_from(announced))
}

/// Record in which a member has the store that it announces now, because it still holds its log.
#[must_use]
pub fn with_store(record: &Record, restarted: &Member) -> Record {
    let mut changed = record.clone();
    let members = changed.members.iter_mut();
    for member in members.filter(|member| member.member == restarted.member) {
        *member = restarted.clone();
    }
    changed
}

fn contains(record: &Record, member: &str, store: &str) -> bool {
    record
        .member(member)
        .is_some_and(|known| known.store == store)
}

/// Answers without those of databases that restarted after they were recorded and so no longer hold
/// the log of the recorded store. `announced` returns the store that a member announced last; a status
/// alone does not tell it.
///
/// A primary that crashed may come back with its log. It holds the log if it has writes of its term,
/// which it can have from nobody else, and is at least as advanced as all others that answered.
pub fn without_restarted(
    record: &Record,
    statuses: &[Status],
    announced: impl Fn(&str) -> Option<StoreId>,
) -> Vec<Status> {
    let holds_log = |status: &Status| {
        status.member == record.former_primary()
            && status.position.term == record.term
            && statuses.iter().all(|s| status.position.covers(s.position))
    };
    let same = statuses.iter().filter(|status| {
        announced(&status.member).is_none_or(|store| store == status.store) || holds_log(status)
    });
    same.cloned().collect()
}

/// Those of `members` that answered as replicas.
pub(crate) fn answered(members: &[Member], statuses: &[Status]) -> Vec<Member> {
    let answered = members.iter().filter(|member| {
        let mut answers = statuses.iter();
        answers.any(|s| s.member == member.member && s.store == member.store && !s.primary)
    });
    answered.cloned().collect()
}

/// Record that also contains `members`. A member with a new store replaces the recorded one. The old
/// store may have held the only second copy of an acknowledged commit, so it counts as uncovered.
///
/// Any position will do: the read quorum grows with the record, so it still meets every set of
/// members that may have acknowledged a commit.
#[must_use]
pub fn with_members(record: &Record, members: &[Member]) -> Record {
    let mut changed = record.clone();
    for member in members {
        if contains(&changed, &member.member, &member.store) {
            continue;
        }
        let known = changed.members.len();
        changed.members.retain(|m| m.member != member.member);
        if changed.members.len() < known {
            changed.uncovered += 1;
            changed.stopping.remove(&member.member);
        }
        changed.members.push(member.clone());
    }
    changed.members.sort_by(|a, b| a.member.cmp(&b.member));
    changed
}
