//! Members that leave a group: a member counts until it is shown that it ended.
//!
//! Where the primary decides which replicas it counts, a replica that announced its stop goes on
//! receiving commits for an unknown time. It is not dropped because it is silent.

use std::time::Instant;

use crate::{
    directory,
    host::Host,
    log::Log,
    machine::{Member, Record},
    upstream::StatusError,
};

/// Record without a member that ended, if databases come and go without an operator's order. It counts
/// as uncovered, because it may have confirmed writes that another member lacks.
///
/// `unread` are the members that were asked just now and did not answer.
pub(crate) fn without_ended<L: Log>(
    host: &Host<L>,
    record: &Record,
    unread: &[(String, StatusError)],
) -> Option<Record> {
    let document = host.document();
    let service = document.service_of_group(&record.group)?;
    let needed = usize::try_from(service.confirmations.max(record.confirmations)).ok()?;
    if service.databases > 0 || record.members.len() <= needed {
        return None;
    }
    let (ended, cause) = unread.iter().find_map(|(name, error)| {
        let member = record.member(name)?;
        let cause = ended_cause(host, record, member, error)?;
        (member.member != record.primary).then_some((member, cause))
    })?;
    slog::info!(host.logger, "member dropped from the record"; "group" => &record.group,
        "member" => &ended.member, "cause" => cause, "position" => last_position(host, record, ended));
    let mut changed = record.clone();
    changed.members.retain(|member| member != ended);
    changed.stopping.remove(&ended.member);
    changed.uncovered += 1;
    Some(changed)
}

/// Why a member that does not answer is known to have ended; `None` if it may be running.
pub(crate) fn ended_cause<L: Log>(
    host: &Host<L>,
    record: &Record,
    member: &Member,
    error: &StatusError,
) -> Option<&'static str> {
    let stops = record.stopping.contains(&member.member) || announced(host, member, |a| a.leaving);
    match error {
        StatusError::Replaced(_) if !is_live(host, member) => {
            Some("another database serves at its address")
        }
        StatusError::Refused(_) if stops => Some("it announced its stop and refuses connections"),
        _ if announced(host, member, |a| a.gone) => {
            Some("it announced its end and does not answer")
        }
        _ => None,
    }
}

/// Record that names the members which announced their stop. `None` if it does so already.
pub(crate) fn with_stopping<L: Log>(host: &Host<L>, record: &Record) -> Option<Record> {
    let document = host.document();
    if document.service_of_group(&record.group)?.databases > 0 {
        return None;
    }
    let changed = with_announced_stops(host, record);
    (changed.stopping != record.stopping).then(|| {
        slog::info!(host.logger, "members announced their stop";
            "group" => &record.group, "members" => ?changed.stopping);
        changed
    })
}

/// Record in which all members that announced their stop are named, where the primary decides which
/// replicas it counts.
pub(crate) fn with_announced_stops<L: Log>(host: &Host<L>, record: &Record) -> Record {
    let mut changed = record.clone();
    if !host.databases.counts_any_replica() {
        return changed;
    }
    let stopping = record.members.iter().filter(|member| {
        member.member != record.former_primary() && announced(host, member, |a| a.leaving)
    });
    let stopping = stopping.map(|member| member.member.clone());
    changed.stopping.extend(stopping);
    changed
}

/// Whether a recorded store announced itself lately.
fn is_live<L: Log>(host: &Host<L>, member: &Member) -> bool {
    let directory = host.directory.borrow();
    let now = Instant::now();
    directory.member(&member.member).is_some_and(|received| {
        received.announcement.store == member.store
            && now.saturating_duration_since(received.received_at) < directory::LOST_AFTER
    })
}

/// Whether the last announcement of a recorded store satisfies `predicate`.
fn announced<L: Log>(
    host: &Host<L>,
    member: &Member,
    predicate: impl Fn(&directory::Announcement) -> bool,
) -> bool {
    let directory = host.directory.borrow();
    directory.member(&member.member).is_some_and(|received| {
        received.announcement.store == member.store && predicate(&received.announcement)
    })
}

/// Most advanced position of a member that entry processes reported.
fn last_position<L: Log>(host: &Host<L>, record: &Record, member: &Member) -> Option<String> {
    let sightings = host.sightings.borrow();
    let observers = sightings.observers(&record.group)?.values();
    let seen = observers.filter_map(|observer| observer.members.get(&member.member));
    let last = seen.map(|seen| seen.position).max()?;
    Some(format!("{}.{}", last.term, last.offset))
}
