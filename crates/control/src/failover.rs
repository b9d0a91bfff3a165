//! Decisions of a promotion, without I/O.

use std::time::{Duration, Instant};

use base::{Map, MemberName, Set, fault::disabled};

use route::Status;

use crate::{
    machine::{GroupState, Member, Record},
    sighting::{Health, Observer, Observers},
    upstream::Order,
};

/// A silent primary is declared failed after this time without an answer.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// An observer counts while its last report is younger than this. Entry processes renew every
/// 600 ms, and a renewal repeats what it leaves out, so that a late one does not take away a voice.
pub const REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);

/// What is to be done about a stable group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The primary serves, or nothing better is known.
    Stay,
    /// The primary failed and another member can do better.
    Failed {
        /// Why, for the log.
        cause: String,
        /// Longest time since the last good answer of the primary to an observer.
        detection: Duration,
    },
}

fn failed(observer: &Observer, member: &str) -> bool {
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

/// Counts the observers that reach each member, by the reports that are fresh.
#[must_use]
pub fn count_reach(now: Instant, record: &Record, observers: &Observers) -> ReachCounts {
    let live = reports(now, record, observers);
    let count = |member: &Member| {
        let reaching = live.iter().filter(|o| reaches(o, &member.member));
        (member.member.clone(), reaching.count())
    };
    record.members.iter().map(count).collect()
}

fn live_at(now: Instant, observer: &Observer) -> bool {
    !observer.stopping && now.saturating_duration_since(observer.reported_at) < REPORT_MAX_AGE
}

/// Observers whose report counts now.
fn reports<'a>(now: Instant, record: &Record, observers: &'a Observers) -> Vec<&'a Observer> {
    let mut live: Vec<_> = observers.values().collect();
    live.retain(|o| live_at(now, o) && o.members.contains_key(&record.primary));
    live
}

/// Decides whether the primary of a stable group failed and a change would serve more.
#[must_use]
pub fn assess_primary(now: Instant, record: &Record, observers: &Observers) -> Verdict {
    match detect_failure(now, record, observers) {
        Verdict::Failed { .. } if !serves_more(now, record, observers) => Verdict::Stay,
        verdict => verdict,
    }
}

/// Decides whether the observers of a stable group lost the primary.
///
/// A report counts by itself only while it is fresh. When several entry processes were heard from
/// lately, at least two of them must agree, and in several zones when there are several.
#[must_use]
pub fn detect_failure(now: Instant, record: &Record, observers: &Observers) -> Verdict {
    if record.state != GroupState::Stable {
        return Verdict::Stay;
    }
    let live = reports(now, record, observers);
    let against: Vec<_> = live.iter().filter(|o| failed(o, &record.primary)).collect();
    let zones = |set: &mut dyn Iterator<Item = &Observer>| -> usize {
        set.map(|o| o.zone.as_str()).collect::<Set<_>>().len()
    };
    let all = zones(&mut live.iter().copied());
    let seen = zones(&mut against.iter().map(|o| **o));
    if against.len() * 2 <= live.len()
        || (all > 1 && seen < 2)
        || (observers.len() > 1 && against.len() < 2)
    {
        return Verdict::Stay;
    }
    let since = against
        .iter()
        .filter_map(|o| Some(o.members.get(&record.primary)?.since));
    let detection = since.max().unwrap_or_default();
    let refused = against.iter().filter(|o| {
        o.members
            .get(&record.primary)
            .is_some_and(|seen| seen.health == Health::Refused)
    });
    Verdict::Failed {
        cause: format!(
            "{} of {} observers in {seen} of {all} zones lost {} ({} refused)",
            against.len(),
            live.len(),
            record.primary,
            refused.count(),
        ),
        detection,
    }
}

/// Whether more observers reach another member than the primary, and enough members are reached
/// for a promotion.
#[must_use]
pub fn serves_more(now: Instant, record: &Record, observers: &Observers) -> bool {
    let reach = count_reach(now, record, observers);
    let served = reach.get(&record.primary).copied().unwrap_or_default();
    let better = reach.values().any(|count| *count > served);
    let readable = reach.values().filter(|count| **count > 0).count();
    better && readable >= record.read_quorum()
}

/// Status answers of recorded stores; another store's answer does not count.
#[must_use]
pub fn recorded_answers<'a>(record: &'a Record, statuses: &[Status]) -> Vec<(&'a Member, Status)> {
    let known = record.members.iter().filter_map(|member| {
        let mut answers = statuses.iter();
        let status = answers.find(|s| s.member == member.member && s.store == member.store)?;
        Some((member, status.clone()))
    });
    known.collect()
}

/// Whether the members that a choice needs have answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// Not yet.
    TooFew,
    /// A choice is safe; a further answer may show a member that is nearer or further ahead.
    Enough,
    /// No further answer changes the choice.
    All,
}

/// Judges the answers so far. After a failure nobody waits for the old primary. A planned change
/// waits for it and for the member asked for, but not for one that does not answer.
#[must_use]
pub fn completeness(record: &Record, statuses: &[Status]) -> Completeness {
    let counted = recorded_answers(record, statuses);
    let has = |name: &str| counted.iter().any(|(member, _)| member.member == name);
    let old = has(&record.primary);
    let others = counted.len() - usize::from(old);
    match &record.planned {
        None if others < record.read_quorum() => Completeness::TooFew,
        None if others + 1 == record.members.len() => Completeness::All,
        None => Completeness::Enough,
        Some(planned) => {
            let target = planned.member.as_ref().map_or(others > 0, |name| has(name));
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

/// Chooses the member to promote from the answers of recorded stores, or `None` when too few
/// answered.
///
/// The most advanced member is the choice, because it holds every acknowledged write when
/// [`Record::read_quorum`] members answered. After a failure, the old primary is left out when the
/// others suffice: entry processes can't reach it even if this host can. A planned change goes to
/// the member asked for when it has caught up. Among equals the one that most observers reach is
/// preferred, because the verdict promised that the change serves more.
#[must_use]
pub fn choose_primary(
    record: &Record,
    statuses: &[Status],
    reach: &ReachCounts,
) -> Option<MemberName> {
    let mut answers = recorded_answers(record, statuses);
    let old = record.primary.as_str();
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
    let top = if disabled("choice-disabled") {
        positions.min()?
    } else {
        positions.max()?
    };
    let near = |member: &Member| {
        let before = record.member(old);
        before.map_or((false, false), |b| {
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
        .filter(|(_, status)| status.position == top);
    // The name makes the choice the same on every host.
    let best = best.max_by_key(|(member, _)| {
        (
            wanted(member),
            reach.get(&member.member),
            near(member),
            std::cmp::Reverse(member.member.clone()),
        )
    });
    best.map(|(member, _)| member.member.clone())
}

/// Record in which `heir` stands for the recorded primary: a database that announces itself at the
/// primary's address under another name, with the primary's log.
///
/// Where replicas copy from nobody but the primary, an empty database at this address could not
/// have got writes of the term: the primary had to end before it started. So it holds the
/// primary's log when it holds writes of the term, and at least what every other answer holds.
#[must_use]
pub fn with_renamed_primary(record: &Record, heir: &Member, statuses: &[Status]) -> Option<Record> {
    let primary = record.member(&record.primary)?;
    let own = |status: &&Status| status.member == heir.member && status.store == heir.store;
    let position = statuses.iter().find(own)?.position;
    let answers = recorded_answers(record, statuses);
    let returned = answers.iter().any(|(member, _)| *member == primary);
    let covers = answers.iter().all(|(_, s)| position.covers(s.position));
    if heir.address != primary.address
        || record.member(&heir.member).is_some()
        || position.term != record.term
        || returned
        || !covers
    {
        return None;
    }
    let others = record.members.iter().filter(|member| *member != primary);
    let mut members: Vec<_> = others.cloned().chain([heir.clone()]).collect();
    members.sort_by(|a, b| a.member.cmp(&b.member));
    Some(Record {
        primary: heir.member.clone(),
        members,
        ..record.clone()
    })
}

/// Whether a planned change may still wait for its target to catch up: the old primary answered,
/// and no wanted member is as advanced.
#[must_use]
pub fn awaits_catch_up(record: &Record, statuses: &[Status], reach: &ReachCounts) -> bool {
    record.planned.is_some()
        && choose_primary(record, statuses, reach).is_none_or(|choice| {
            let planned = record
                .planned
                .as_ref()
                .and_then(|planned| planned.member.as_ref());
            planned.map_or(choice == record.primary, |name| *name != choice)
        })
}

/// Whether the recorded primary answers but is not primary any more, and why: its disk is lost or
/// it restarted without its role.
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

/// Order that a member of a stable group needs, from its status. `finds` tells whether replicas find
/// the primary without an order, so that only a former primary needs one.
#[must_use]
pub fn needed_order(record: &Record, status: &Status, finds: bool) -> Option<Order> {
    let primary = record.member(&record.primary)?;
    if status.member == record.primary {
        // Only a promotion may order a primary: a restart that lost its role is one of these.
        return None;
    }
    let follows = !status.primary
        && (finds || status.position.term >= record.term && status.following == primary.address);
    (!follows && status.position.term <= record.term).then(|| Order::Follow {
        primary: primary.address.clone(),
        term: record.term,
    })
}
