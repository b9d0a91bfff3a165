//! Failure detection and the choice of the new primary, without I/O.

use std::time::{Duration, Instant};

use base::{Map, MemberName, Set, fault::disabled};

use route::Status;

use crate::{
    machine::{GroupState, Member, Record},
    sighting::{Health, Observer, Observers},
    upstream::Order,
};

/// A primary that has not answered for this long is declared failed.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// An observer counts while its last report is younger than this. Entry processes renew every
/// 600 ms. A renewal without changes confirms the earlier report, so one late renewal does not
/// exclude an observer.
pub const REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Result of assessing the primary of a stable group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The primary serves, or a failover would not serve more observers.
    Stay,
    /// The primary failed and a failover would serve more observers.
    Failed {
        /// Why, for the log.
        cause: String,
        /// Longest time since an observer got the last good answer of the primary.
        detection: Duration,
    },
}

fn has_lost(observer: &Observer, member: &str) -> bool {
    observer
        .members
        .get(member)
        .is_some_and(|seen| match seen.health {
            Health::Ok => false,
            Health::Refused => true,
            Health::Silent => seen.since >= SILENCE_LIMIT,
        })
}

fn reaches(observer: &Observer, member: &str) -> bool {
    observer
        .members
        .get(member)
        .is_some_and(|seen| match seen.health {
            Health::Ok => true,
            Health::Refused => false,
            Health::Silent => seen.since < SILENCE_LIMIT,
        })
}

/// Number of observers that reach each member.
pub type ReachCounts = Map<MemberName, usize>;

/// Counts the observers that reach each member, from recent reports.
#[must_use]
pub fn count_reach(now: Instant, record: &Record, observers: &Observers) -> ReachCounts {
    let live = live_observers(now, record, observers);
    let count = |member: &Member| {
        let reaching = live.iter().filter(|o| reaches(o, &member.member));
        (member.member.clone(), reaching.count())
    };
    record.members.iter().map(count).collect()
}

fn is_live(now: Instant, observer: &Observer) -> bool {
    !observer.stopping && now.saturating_duration_since(observer.reported_at) < REPORT_MAX_AGE
}

/// Observers with a recent report on the primary.
fn live_observers<'a>(
    now: Instant,
    record: &Record,
    observers: &'a Observers,
) -> Vec<&'a Observer> {
    let mut live: Vec<_> = observers.values().collect();
    live.retain(|o| is_live(now, o) && o.members.contains_key(&record.primary));
    live
}

/// Decides whether the primary of a stable group failed and a change would let more observers reach
/// the primary.
#[must_use]
pub fn assess_primary(now: Instant, record: &Record, observers: &Observers) -> Verdict {
    match detect_failure(now, record, observers) {
        Verdict::Failed { .. } if !serves_more(now, record, observers) => Verdict::Stay,
        verdict => verdict,
    }
}

/// Decides whether the observers of a stable group lost the primary.
///
/// A majority of the observers with a recent report must have lost it. If several entry processes
/// are known, at least two must have lost it, and if they are in several zones, in at least two.
#[must_use]
pub fn detect_failure(now: Instant, record: &Record, observers: &Observers) -> Verdict {
    if record.state != GroupState::Stable {
        return Verdict::Stay;
    }
    let live = live_observers(now, record, observers);
    let lost_by: Vec<_> = live
        .iter()
        .filter(|o| has_lost(o, &record.primary))
        .collect();
    let zones = |set: &mut dyn Iterator<Item = &Observer>| -> usize {
        set.map(|o| o.zone.as_str()).collect::<Set<_>>().len()
    };
    let all_zones = zones(&mut live.iter().copied());
    let lost_zones = zones(&mut lost_by.iter().map(|o| **o));
    if lost_by.len() * 2 <= live.len()
        || (all_zones > 1 && lost_zones < 2)
        || (observers.len() > 1 && lost_by.len() < 2)
    {
        return Verdict::Stay;
    }
    let since = lost_by
        .iter()
        .filter_map(|o| Some(o.members.get(&record.primary)?.since));
    let detection = since.max().unwrap_or_default();
    let refused = lost_by.iter().filter(|o| {
        o.members
            .get(&record.primary)
            .is_some_and(|seen| seen.health == Health::Refused)
    });
    Verdict::Failed {
        cause: format!(
            "{} of {} observers in {lost_zones} of {all_zones} zones lost {} ({} refused)",
            lost_by.len(),
            live.len(),
            record.primary,
            refused.count(),
        ),
        detection,
    }
}

/// Whether more observers reach another member than the primary, and enough members can be reached
/// for a promotion.
#[must_use]
pub fn serves_more(now: Instant, record: &Record, observers: &Observers) -> bool {
    let reach = count_reach(now, record, observers);
    let served = reach.get(&record.primary).copied().unwrap_or_default();
    let better = reach.values().any(|count| *count > served);
    let readable = reach.values().filter(|count| **count > 0).count();
    better && readable >= record.read_quorum()
}

/// Status answers of recorded members. An answer from another store than the recorded one is
/// ignored.
#[must_use]
pub fn recorded_answers<'a>(record: &'a Record, statuses: &[Status]) -> Vec<(&'a Member, Status)> {
    let known = record.members.iter().filter_map(|member| {
        let mut answers = statuses.iter();
        let status = answers.find(|s| s.member == member.member && s.store == member.store)?;
        Some((member, status.clone()))
    });
    known.collect()
}

/// Whether the members that the choice needs have answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// Too few members answered for a safe choice.
    TooFew,
    /// The choice is safe, but a further answer may show a nearer or more advanced member.
    Enough,
    /// No further answer can change the choice.
    All,
}

/// Whether the answers so far suffice for the choice. After a failure the old primary is not waited
/// for. A planned change waits for the old primary and the requested member, but not for other
/// members that are silent.
#[must_use]
pub fn completeness(record: &Record, statuses: &[Status]) -> Completeness {
    let counted = recorded_answers(record, statuses);
    let has_answered = |name: &str| counted.iter().any(|(member, _)| member.member == name);
    let old = has_answered(record.former_primary());
    let others = counted.len() - usize::from(old);
    match &record.planned {
        None if others < record.read_quorum() => Completeness::TooFew,
        None if others + 1 == record.members.len() => Completeness::All,
        None => Completeness::Enough,
        Some(planned) => {
            let target = planned
                .member
                .as_ref()
                .map_or(others > 0, |name| has_answered(name));
            if counted.len() == record.members.len() {
                Completeness::All
            } else if counted.len() >= record.read_quorum() && old && target {
                Completeness::Enough
            } else {
                Completeness::TooFew
            }
        }
    }
}

/// Chooses the member to promote, or returns `None` if too few recorded members answered.
///
/// The most advanced member is chosen: it holds every acknowledged write once
/// [`Record::read_quorum`] members have answered. After a failure, the old primary is left out if
/// the others suffice, because entry processes can't reach it even if this host can. A planned
/// change goes to the requested member if that has caught up. Among equals, the member that most
/// observers reach is preferred, because the failover was decided on to serve more of them.
#[must_use]
pub fn choose_primary(
    record: &Record,
    statuses: &[Status],
    reach: &ReachCounts,
) -> Option<MemberName> {
    let mut answers = recorded_answers(record, statuses);
    let old = record.former_primary();
    if record.planned.is_none() {
        let others: Vec<_> = answers
            .iter()
            .filter(|(member, _)| member.member != old)
            .cloned()
            .collect();
        if others.len() >= record.read_quorum() {
            answers = others;
        }
    }
    if answers.len() < record.read_quorum() {
        return None;
    }
    let positions = answers.iter().map(|(_, status)| status.position);
    let chosen_position = if disabled("choice-disabled") {
        positions.min()?
    } else {
        positions.max()?
    };
    let proximity = |member: &Member| {
        let old = record.member(old);
        old.map_or((false, false), |b| {
            (b.region == member.region, b.zone == member.zone)
        })
    };
    let wanted = |member: &Member| {
        let planned = record.planned.as_ref();
        planned.is_some_and(|planned| match &planned.member {
            Some(name) => *name == member.member,
            None => member.member != old,
        })
    };
    let best = answers
        .into_iter()
        .filter(|(_, status)| status.position == chosen_position);
    // The name breaks ties, so every host makes the same choice.
    let best = best.max_by_key(|(member, status)| {
        (
            // A request that was given up was carried out after all.
            status.primary && status.position.term > record.term,
            wanted(member),
            // A stopping member would have to hand over soon, and a planned change leaves the old primary.
            !record.stopping.contains(&member.member),
            record.planned.is_none() || member.member != old,
            record.abandoned.contains(&member.member),
            reach.get(&member.member),
            proximity(member),
            std::cmp::Reverse(member.member.clone()),
        )
    });
    best.map(|(member, _)| member.member.clone())
}

/// Record in which `renamed` replaces the recorded primary, if `renamed` holds the primary's log.
/// `renamed` is a database that announces itself at the primary's address under another name.
///
/// This applies only where replicas copy from the primary alone. A database that started empty at
/// this address can't have writes of the term, because the primary ended before it started. So
/// `renamed` holds the primary's log if it has writes of the term and is at least as advanced as
/// every other member that answered.
#[must_use]
pub fn with_renamed_primary(
    record: &Record,
    renamed: &Member,
    statuses: &[Status],
) -> Option<Record> {
    let primary = record.member(record.former_primary())?;
    let is_renamed =
        |status: &&Status| status.member == renamed.member && status.store == renamed.store;
    let position = statuses.iter().find(is_renamed)?.position;
    let answers = recorded_answers(record, statuses);
    let primary_answers = answers.iter().any(|(member, _)| *member == primary);
    let covers = answers.iter().all(|(_, s)| position.covers(s.position));
    if renamed.address != primary.address
        || record.member(&renamed.member).is_some()
        || position.term != record.term
        || primary_answers
        || !covers
    {
        return None;
    }
    let others = record.members.iter().filter(|member| *member != primary);
    let mut members: Vec<_> = others.cloned().chain([renamed.clone()]).collect();
    members.sort_by(|a, b| a.member.cmp(&b.member));
    let mut changed = Record {
        members,
        ..record.clone()
    };
    match &mut changed.former {
        Some(former) => former.clone_from(&renamed.member),
        None => changed.primary.clone_from(&renamed.member),
    }
    Some(changed)
}

/// Whether a planned change should wait for its target to catch up: no member that the plan allows
/// is the choice yet.
#[must_use]
pub fn awaits_catch_up(record: &Record, statuses: &[Status], reach: &ReachCounts) -> bool {
    record.planned.is_some()
        && choose_primary(record, statuses, reach).is_none_or(|choice| {
            let planned = record
                .planned
                .as_ref()
                .and_then(|planned| planned.member.as_ref());
            planned.map_or(choice == record.former_primary(), |name| *name != choice)
        })
}

/// Why the recorded primary, which answers, is no longer primary: it lost its disk, or it restarted
/// without its role. `None` if it still is primary, or if the status is that of another member.
#[must_use]
pub fn demotion_cause(record: &Record, status: &Status) -> Option<String> {
    let primary = record.member(&record.primary)?;
    if status.member != primary.member {
        return None;
    }
    if status.store != primary.store {
        return Some(format!(
            "{} lost its disk: its store is {}",
            status.member, status.store
        ));
    }
    (!status.primary || status.position.term < record.term).then(|| {
        format!(
            "{} answers but is not primary of term {}",
            status.member, record.term
        )
    })
}

/// Why the recorded primary is about to lose its role: another member leads a newer term. `None` if the
/// status is not that of such a member.
#[must_use]
pub fn overtaken_cause(record: &Record, status: &Status) -> Option<String> {
    let overtaken = status.primary
        && status.position.term > record.term
        && status.member != record.primary
        && record.member(&status.member).is_some();
    overtaken.then(|| format!("{} leads term {}", status.member, status.position.term))
}

/// Record with the term that the primary leads, if that is newer than the recorded one: the primary was
/// promoted twice. It kept its log, so that nothing that was acknowledged is at risk.
#[must_use]
pub fn with_raised_term(record: &Record, status: &Status) -> Option<Record> {
    let primary = record.member(&record.primary)?;
    let raised = status.primary
        && status.position.term > record.term
        && status.member == primary.member
        && status.store == primary.store;
    raised.then(|| Record {
        term: status.position.term,
        ..record.clone()
    })
}

/// Order that a member of a stable group needs according to its status. With
/// `replicas_find_primary`, replicas find the primary without an order, so only a former primary
/// needs one.
#[must_use]
pub fn needed_order(
    record: &Record,
    status: &Status,
    replicas_find_primary: bool,
) -> Option<Order> {
    let primary = record.member(&record.primary)?;
    if status.member == record.primary {
        // Only a promotion gives orders to a primary. One that restarted without its role is
        // promoted as well.
        return None;
    }
    let follows = !status.primary
        && (replicas_find_primary
            || status.position.term >= record.term && status.following == primary.address);
    (!follows && status.position.term <= record.term).then(|| Order::Follow {
        primary: primary.address.clone(),
        term: record.term,
    })
}
