//! Sweep over a stable group: members that must follow, and members that lost their disk.

use std::{rc::Rc, time::Instant};

use futures_util::future::join_all;

use route::Status;

use crate::{
    cover,
    directory::{self, Announcement},
    host::Host,
    judge,
    log::{Log, LogError},
    machine::{Member, Record},
    promotion::{DIRECT, member, order, probe, released},
    sighting::Health,
    upstream::{self, Target},
};

/// One sweep in so many asks every member, because a sighting does not tell whom a replica follows.
const FULL: u32 = 30;

/// Result of a sweep.
#[derive(Debug)]
pub enum Swept {
    /// The recorded primary answers but is not primary any more.
    Demoted(String),
    /// The record was changed.
    Changed,
    /// Nothing more is to be done.
    Done,
}

/// Checks every member that entry processes do not report as being in order.
///
/// # Errors
/// The log has no answer to a change of the record.
pub async fn sweep<L: Log>(host: &Rc<Host<L>>, record: &Record) -> Result<Swept, LogError> {
    let moved = moved(host, record);
    let record = moved.as_ref().unwrap_or(record);
    let newcomers = newcomers(host, record);
    if record.uncovered > 0 {
        // After this no write is confirmed by a removed member any more, so that the position of
        // the primary, read below, includes all that were.
        released(host, record).await;
    }
    let full = moved.is_some()
        || !newcomers.is_empty()
        || record.uncovered > 0
        || rand::random_ratio(1, FULL);
    let suspects: Vec<_> = record
        .members
        .iter()
        .filter(|member| full || !in_order(host, record, member))
        .map(|member| host.target(&record.group, member))
        .chain(newcomers.iter().map(target))
        .collect();
    let statuses = join_all(
        suspects
            .iter()
            .map(|target| probe(host, target.clone(), DIRECT)),
    )
    .await;
    let statuses: Vec<_> = suspects
        .into_iter()
        .zip(statuses)
        .filter_map(|(target, status)| Some((target, status?)))
        .collect();
    if let Some(cause) = statuses
        .iter()
        .find_map(|(_, status)| judge::demoted(record, status))
    {
        return Ok(Swept::Demoted(cause));
    }
    let primary = statuses
        .iter()
        .find(|(_, s)| s.member == record.primary)
        .map(|(_, s)| s);
    for (target, status) in &statuses {
        let Some(follow) = judge::correction(record, status, host.databases.finds_primary()) else {
            continue;
        };
        match order(host, target, &follow, upstream::CALL_TIMEOUT).await {
            Ok(()) => slog::info!(host.logger, "member ordered to follow";
                "group" => &record.group, "member" => &status.member, "term" => record.term),
            Err(cause) => slog::warn!(host.logger, "member can't be ordered to follow";
                "group" => &record.group, "member" => &status.member, "cause" => cause),
        }
    }
    let changed = primary.and_then(|primary| {
        let answers = statuses.iter().map(|(_, status)| status);
        readmitted(record, primary, answers, &newcomers)
    });
    let changed = match (changed, primary) {
        (None, Some(primary)) if record.uncovered > 0 => {
            cover::covered(host, record, primary).await
        }
        (changed, _) => changed,
    };
    let changed = changed
        .or_else(|| departed(host, record))
        .or_else(|| moved.clone());
    if let Some(changed) = changed {
        slog::info!(host.logger, "members of a group changed"; "group" => &record.group,
            "members" => ?changed.members);
        return Ok(if host.propose_record(record.version, changed).await? {
            Swept::Changed
        } else {
            Swept::Done
        });
    }
    Ok(Swept::Done)
}

/// Whether a fresh sighting shows a member in its recorded role and term.
fn in_order<L: Log>(host: &Host<L>, record: &Record, member: &Member) -> bool {
    let now = Instant::now();
    let sightings = host.sightings.borrow();
    let Some(observers) = sightings.of(&record.group) else {
        return false;
    };
    let mut seen = observers
        .values()
        .filter(|o| now.duration_since(o.at) < judge::LIVE)
        .filter_map(|o| o.members.get(&member.member))
        .filter(|seen| seen.health == Health::Ok)
        .peekable();
    seen.peek().is_some()
        && seen.all(|seen| {
            seen.position.term == record.term && seen.primary == (member.member == record.primary)
        })
}

/// Announced members with a store that the record does not name: replacements of recorded ones,
/// and additional ones while the record has fewer than configured.
fn newcomers<L: Log>(host: &Host<L>, record: &Record) -> Vec<Announcement> {
    let document = host.document();
    let service = document.service_of_group(&record.group);
    let missing = match service.map(|service| usize::try_from(service.databases)) {
        // Databases come and go without an order.
        Some(Ok(0)) => usize::MAX,
        Some(Ok(databases)) => databases.saturating_sub(record.members.len()),
        Some(Err(_)) | None => 0,
    };
    let directory = host.directory.borrow();
    let present = directory.present(Instant::now(), &record.group);
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

/// Record with the newcomers that follow the primary of the term and cover its position, which
/// was read first.
pub fn readmitted<'a>(
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
        changed.members.push(member(newcomer));
    }
    changed.members.sort_by(|a, b| a.member.cmp(&b.member));
    (changed.members != record.members).then_some(changed)
}

/// Address of a newcomer.
fn target(newcomer: &Announcement) -> Target {
    Target {
        address: newcomer.address.clone(),
        group: newcomer.group.clone(),
        member: newcomer.member.clone(),
        store: newcomer.store.clone(),
    }
}

/// Record without a member that announced its end and is not heard from any more, where databases
/// come and go without an order. It may have confirmed writes that another member lacks.
fn departed<L: Log>(host: &Host<L>, record: &Record) -> Option<Record> {
    let document = host.document();
    let service = document.service_of_group(&record.group)?;
    let needed = usize::try_from(service.confirmations.max(record.confirmations)).ok()?;
    if service.databases > 0 || record.members.len() <= needed {
        return None;
    }
    let directory = host.directory.borrow();
    let now = Instant::now();
    let gone = record.members.iter().find(|member| {
        let heard = directory.member(&member.member);
        member.member != record.primary
            && heard.is_some_and(|heard| {
                let left = heard.announcement.leaving && heard.announcement.store == member.store;
                left && now.saturating_duration_since(heard.at) >= directory::LOST
            })
    })?;
    let mut changed = record.clone();
    changed.members.retain(|known| known != gone);
    changed.uncovered += 1;
    Some(changed)
}

/// Record with the announced addresses of members that moved with their store.
fn moved<L: Log>(host: &Host<L>, record: &Record) -> Option<Record> {
    let mut changed = record.clone();
    for member in &mut changed.members {
        member.address = host.member_address(member);
    }
    (changed.members != record.members).then_some(changed)
}
