//! Periodic check of a stable group: orders members to follow the primary, and updates the record
//! for members that were replaced, moved or left.

use std::{rc::Rc, time::Instant};

use base::MemberName;
use futures_util::future::join_all;

use route::Status;

use crate::{
    coverage, departure,
    directory::Announcement,
    failover,
    host::Host,
    log::{Log, LogError},
    machine::{Member, Record},
    promotion::{RELAY_DELAY, member_from, read_status, send_order, wait_for_release},
    sighting::Health,
    unrecorded::{self, unrecorded},
    upstream::{self, StatusError, Target},
};

/// On average, one sweep in this many asks every member, because a sighting does not show which
/// primary a replica follows.
const FULL_SWEEP_PERIOD: u32 = 30;

/// Result of a sweep.
#[derive(Debug)]
pub enum Outcome {
    /// The recorded primary answers but is no longer primary.
    Demoted(String),
    /// The record was changed.
    Changed,
    /// Nothing is left to do.
    Done,
}

/// Checks every member that entry processes do not report as healthy in its recorded role.
///
/// # Errors
/// The log gives no answer to a change of the record.
pub async fn sweep<L: Log>(host: &Rc<Host<L>>, record: &Record) -> Result<Outcome, LogError> {
    let moved = with_moved_addresses(host, record);
    let record = moved.as_ref().unwrap_or(record);
    let unrecorded = unrecorded(host, record);
    let newcomers = if host.databases.counts_any_replica() {
        unrecorded.clone()
    } else {
        newcomers(host, record)
    };
    let restarted = unrecorded::restarted_primary(host, record);
    if record.uncovered > 0 {
        // After this, removed members confirm no more writes. The position of the primary, read
        // below, therefore includes every write that they confirmed.
        wait_for_release(host, record).await;
    }
    let full = moved.is_some()
        || !newcomers.is_empty()
        || record.uncovered > 0
        || restarted.is_some()
        || rand::random_ratio(1, FULL_SWEEP_PERIOD);
    let targets: Vec<_> = record
        .members
        .iter()
        .filter(|member| full || !is_in_order(host, record, member))
        .map(|member| host.target(&record.group, member))
        .chain(newcomers.iter().map(newcomer_target))
        .collect();
    let (statuses, unread) = ask(host, targets).await;
    let managed = host.databases.authority().is_some();
    let lost_by = |(_, status): &(Target, Status)| {
        failover::demotion_cause(record, status)
            .or_else(|| failover::overtaken_cause(record, status).filter(|_| managed))
    };
    if let Some(cause) = statuses.iter().find_map(lost_by) {
        return Ok(Outcome::Demoted(cause));
    }
    let primary = statuses
        .iter()
        .find(|(_, s)| s.member == record.primary)
        .map(|(_, s)| s);
    if managed
        && restarted.is_none()
        && let Some(raised) = primary.and_then(|p| failover::with_raised_term(record, p))
    {
        return record_raised_term(host, record, raised).await;
    }
    for (target, status) in &statuses {
        let Some(follow) = failover::needed_order(record, status, host.databases.finds_primary())
        else {
            continue;
        };
        match send_order(host, target, &follow, upstream::CALL_TIMEOUT).await {
            Ok(()) => slog::info!(host.logger, "member ordered to follow";
                "group" => &record.group, "member" => &status.member, "term" => record.term),
            Err(cause) => slog::warn!(host.logger, "member can't be ordered to follow";
                "group" => &record.group, "member" => &status.member, "cause" => cause),
        }
    }
    let changed = primary.and_then(|primary| {
        let answers = statuses.iter().map(|(_, status)| status);
        with_newcomers(record, primary, answers, &newcomers)
    });
    // It leads the term, so it still has its log.
    let changed = match (restarted, primary) {
        (Some(restarted), Some(_)) => Some(unrecorded::with_store(
            changed.as_ref().unwrap_or(record),
            &restarted,
        )),
        _ => changed,
    };
    let known = changed.as_ref().unwrap_or(record);
    let recorded = with_unrecorded(known, &unrecorded, &statuses);
    let changed = recorded.or(changed);
    let changed = match (changed, primary) {
        (None, Some(primary)) if record.uncovered > 0 => {
            coverage::clear_uncovered(host, record, primary).await
        }
        (changed, _) => changed,
    };
    let changed = changed
        .or_else(|| departure::without_ended(host, record, &unread))
        .or_else(|| departure::with_stopping(host, record))
        .or_else(|| moved.clone());
    if let Some(changed) = changed {
        slog::info!(host.logger, "members of a group changed"; "group" => &record.group,
            "members" => ?changed.members);
        return Ok(if host.propose_record(record.version, changed).await? {
            Outcome::Changed
        } else {
            Outcome::Done
        });
    }
    Ok(Outcome::Done)
}

/// Reads the statuses of `targets`. Also returns those that don't answer, with the cause.
async fn ask<L: Log>(
    host: &Host<L>,
    targets: Vec<Target>,
) -> (Vec<(Target, Status)>, Vec<(MemberName, StatusError)>) {
    let reads = targets
        .iter()
        .map(|target| read_status(host, target, RELAY_DELAY));
    let answers = join_all(reads).await;
    let (mut statuses, mut unread) = (Vec::new(), Vec::new());
    for (target, answer) in targets.into_iter().zip(answers) {
        match answer {
            Ok(status) => statuses.push((target, status)),
            Err(cause) => unread.push((target.member, cause)),
        }
    }
    (statuses, unread)
}

async fn record_raised_term<L: Log>(
    host: &Host<L>,
    record: &Record,
    raised: Record,
) -> Result<Outcome, LogError> {
    slog::warn!(host.logger, "primary was promoted twice"; "group" => &record.group,
        "member" => &record.primary, "recorded" => record.term, "term" => raised.term);
    host.propose_record(record.version, raised).await?;
    Ok(Outcome::Changed)
}

/// Whether entry processes recently saw a member healthy, and always in its recorded role and term.
fn is_in_order<L: Log>(host: &Host<L>, record: &Record, member: &Member) -> bool {
    let now = Instant::now();
    let sightings = host.sightings.borrow();
    let Some(observers) = sightings.observers(&record.group) else {
        return false;
    };
    let mut seen = observers
        .values()
        .filter(|o| now.duration_since(o.reported_at) < failover::REPORT_MAX_AGE)
        .filter_map(|o| o.members.get(&member.member))
        .filter(|seen| seen.health == Health::Ok)
        .peekable();
    seen.peek().is_some()
        && seen.all(|seen| {
            seen.position.term == record.term && seen.primary == (member.member == record.primary)
        })
}

/// Announced members whose store is not in the record: replacements of recorded members, and
/// additional ones while the record has fewer members than configured.
///
/// For databases whose primary counts any replica, [`unrecorded`] takes the place of this.
fn newcomers<L: Log>(host: &Host<L>, record: &Record) -> Vec<Announcement> {
    let document = host.document();
    let service = document.service_of_group(&record.group);
    let missing = match service.map(|service| usize::try_from(service.databases)) {
        // The number is not configured: databases come and go without an operator's order.
        Some(Ok(0)) => usize::MAX,
        Some(Ok(databases)) => databases.saturating_sub(record.members.len()),
        Some(Err(_)) | None => 0,
    };
    let directory = host.directory.borrow();
    let present = directory.present_members(Instant::now(), &record.group);
    let (known, new): (Vec<_>, Vec<_>) = present
        .into_iter()
        .partition(|a| record.member(&a.member).is_some());
    let replaced = known.into_iter().filter(|a| {
        record
            .member(&a.member)
            .is_some_and(|member| member.store != a.store)
    });
    let allowed = new
        .into_iter()
        .filter(|a| !record.removed.contains(&a.member));
    replaced.chain(allowed.take(missing)).cloned().collect()
}

/// Record with the newcomers that follow the primary and have reached its position, which was read
/// first. `None` if the members don't change.
pub fn with_newcomers<'a>(
    record: &Record,
    primary: &Status,
    answers: impl Iterator<Item = &'a Status>,
    newcomers: &[Announcement],
) -> Option<Record> {
    let mut changed = record.clone();
    for status in answers {
        let Some(newcomer) = newcomers
            .iter()
            .find(|a| a.member == status.member && a.store == status.store)
        else {
            continue;
        };
        if newcomer.member == record.primary
            || status.primary
            || !status.position.covers(primary.position)
        {
            continue;
        }
        changed
            .members
            .retain(|known| known.member != newcomer.member);
        changed.members.push(member_from(newcomer));
    }
    changed.members.sort_by(|a, b| a.member.cmp(&b.member));
    (changed.members != record.members).then_some(changed)
}

/// Record with the unrecorded databases that answered. `None` if there are none.
fn with_unrecorded(
    record: &Record,
    unrecorded: &[Announcement],
    answers: &[(Target, Status)],
) -> Option<Record> {
    let members: Vec<_> = unrecorded.iter().map(member_from).collect();
    let statuses: Vec<_> = answers.iter().map(|(_, status)| status.clone()).collect();
    let changed = unrecorded::with_members(record, &unrecorded::answered(&members, &statuses));
    (changed.members != record.members).then_some(changed)
}

/// Target of orders to a newcomer.
fn newcomer_target(newcomer: &Announcement) -> Target {
    Target {
        address: newcomer.address.clone(),
        group: newcomer.group.clone(),
        member: newcomer.member.clone(),
        store: newcomer.store.clone(),
    }
}

/// Record with the new addresses of members that moved together with their store. `None` if none
/// did.
fn with_moved_addresses<L: Log>(host: &Host<L>, record: &Record) -> Option<Record> {
    let mut changed = record.clone();
    for member in &mut changed.members {
        member.address = host.member_address(member);
    }
    (changed.members != record.members).then_some(changed)
}
