//! Steps 3 to 5 of a change of primary: waits for the end of older leases, reads the members, and commits
//! the choice.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::{MemberName, Position, Term};
use compio::time::{sleep, timeout};
use futures_util::{StreamExt as _, stream::FuturesUnordered};

use route::{AckBounds, Status};

use crate::{
    calls::Calls,
    departure, directory,
    failover::{self, Completeness},
    guard::{Coverage, Guard},
    host::{Host, millis},
    log::{Log, LogError},
    machine::{GroupState, Member, Record},
    promotion::{
        DRAIN_TIMEOUT, RETRY_DELAY, Step, UPSTREAM_RETRY_DELAY, member_from, reach_counts,
        read_status, relay_delay, renamed_primary, wait_for_release,
    },
    timing::PromotionTiming,
    unrecorded::{self, unrecorded},
};

/// Time limit for the target of a planned change to catch up after fencing.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit on one round of status reads.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to wait for further answers once enough members have answered.
const EXTRA_READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Time limit on the wait for a database that is not in the record and announces itself but does not
/// answer. It may not exist; then no promotion would ever finish.
const UNRECORDED_TIMEOUT: Duration = directory::LOST_AFTER;
/// A change of primary that starts again within this time continues the former one.
const READING_PAUSE: Duration = Duration::from_secs(10);

/// Reads of the members for the change of primary that ends a term. A change that has to start again
/// continues the same waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reading {
    term: Term,
    since: Instant,
    last: Instant,
}

impl Reading {
    /// Continues `reading` at `now`, or starts it. Returns when it started.
    fn resume(reading: &mut Option<Self>, term: Term, now: Instant) -> Instant {
        let continued = reading
            .filter(|known| known.term == term && now.duration_since(known.last) < READING_PAUSE);
        let since = continued.map_or(now, |known| known.since);
        *reading = Some(Self {
            term,
            since,
            last: now,
        });
        since
    }
}

/// Steps 3 to 5: waits for the end of older leases, reads the members, then chooses the new primary
/// and commits the choice.
///
/// Which databases count: [`departure::with_announced_stops`] names those that stop; `read_statuses` asks the recorded members and those that only announced
/// themselves; [`unrecorded::without_restarted`] leaves out answers from another store than the
/// recorded one; `with_restarted_primary` takes over the new store of a primary that kept its log; a
/// database that has not answered counts until [`UNRECORDED_TIMEOUT`]. [`Guard::counted`] leaves out
/// stopping and dropped members once that is safe, [`Guard::choose`] chooses among the rest, and
/// [`Guard::allows`] holds the choice back while an acknowledged write is missing.
///
/// The choice is committed only if [`Calls::allow`] returns true for it: no request to promote another
/// member may still be carried out.
pub(crate) async fn choose_primary<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    timing: &mut PromotionTiming,
    calls: &Calls,
    reading: &mut Option<Reading>,
) -> Result<Step, LogError> {
    let start = Instant::now();
    let complete = wait_for_release(host, record).await;
    timing.leases = Some(millis(start.elapsed()));
    fail::fail_point!("promotion-released");

    let start = Instant::now();
    let (mut warned_at, mut shortfall_logged) = (start, false);
    let (choice, top, known) = loop {
        let record = &departure::with_announced_stops(host, record);
        let since = Reading::resume(reading, record.term, Instant::now());
        let guard = || Guard {
            open: host.databases.counts_any_replica(),
            ..Guard::new(record, host.acks(&record.group), complete, since.elapsed())
        };
        let waits = start.elapsed() < UNRECORDED_TIMEOUT;
        let Answers {
            statuses,
            ended,
            renamed,
            unrecorded,
        } = read_statuses(host, record, waits, &guard()).await;
        let guard = guard();
        let statuses = if host.databases.counts_any_replica() {
            unrecorded::without_restarted(record, &statuses, |member| host.announced_store(member))
        } else {
            statuses
        };
        let (known, statuses) = with_restarted_primary(host, record, statuses);
        let answered = unrecorded::answered(&unrecorded, &statuses);
        let mut known = unrecorded::with_members(&known, &answered);
        known.stopping.extend(ended);
        let known = renamed
            .and_then(|renamed| failover::with_renamed_primary(&known, &renamed, &statuses))
            .unwrap_or(known);
        if known.former_primary() != record.former_primary() {
            slog::info!(host.logger, "primary returned under another name";
                "group" => &record.group, "former" => record.former_primary(),
                "member" => known.former_primary(), "term" => record.term);
        }
        // An unrecorded database counts before it has answered, for a limited time.
        let counted = if waits {
            unrecorded::with_members(&known, &unrecorded)
        } else {
            known.clone()
        };
        let record = &counted;
        let reach = reach_counts(host, record);
        let choice = guard.choose(record, &statuses, &reach);
        let deciding = guard.counted(record, &statuses);
        let wait = failover::awaits_catch_up(&deciding, &statuses, &reach)
            && start.elapsed() < CATCH_UP_TIMEOUT;
        let open = choice
            .as_ref()
            .is_some_and(|(choice, _)| !calls.allow(choice, Instant::now()));
        let short = choice.as_ref().filter(|(_, held)| !guard.allows(*held));
        if let Some((_, held)) = short
            && !std::mem::replace(&mut shortfall_logged, true)
        {
            log_shortfall(host, record, &guard, *held, &statuses);
        }
        let short = short.is_some();
        if let Some((choice, held)) = choice.filter(|_| !wait && !open && !short) {
            log_choice(host, record, &choice, &statuses);
            log_given_up(host, record, &guard, held, &statuses);
            log_unread(host, record, &unrecorded, &answered);
            let top = statuses.iter().map(|s| s.position.term).max();
            let known = Record {
                base: Some(held.offset),
                ..known
            };
            break (choice, top, known);
        }
        // Another leader may have changed the record in the meantime.
        if !host.leads() {
            return Err(LogError::NotLeader(host.log.leader()));
        }
        if !wait && !open && !short && warned_at.elapsed() >= DRAIN_TIMEOUT {
            warned_at = Instant::now();
            slog::warn!(host.logger, "too few members answer to choose a primary";
                "group" => &record.group, "term" => record.next, "needed" => record.read_quorum(),
                "answered" => failover::recorded_answers(record, &statuses).len());
        }
        sleep(if wait {
            RETRY_DELAY
        } else {
            UPSTREAM_RETRY_DELAY
        })
        .await;
    };
    timing.reads = Some(millis(start.elapsed()));
    fail::fail_point!("promotion-chosen");
    let chosen = Record {
        state: GroupState::Promoting,
        former: Some(known.former_primary().to_owned()),
        primary: choice,
        // Members reject a term that they have already seen.
        next: record.next.max(top.unwrap_or_default() + 1),
        ..known
    };
    host.propose_record(record.version, chosen).await?;
    Ok(Step::Continue)
}

/// Record and answers with the new store of the primary, if it restarted and its answer counts.
fn with_restarted_primary<L: Log>(
    host: &Host<L>,
    record: &Record,
    mut statuses: Vec<Status>,
) -> (Record, Vec<Status>) {
    let restarted = unrecorded::restarted_primary(host, record);
    let answer = statuses
        .iter_mut()
        .find(|s| s.member == record.former_primary());
    let (Some(restarted), Some(answer)) = (restarted, answer) else {
        return (record.clone(), statuses);
    };
    answer.store.clone_from(&restarted.store);
    (unrecorded::with_store(record, &restarted), statuses)
}

/// Logs the answers that a choice rests on, so that a wrong choice can be traced.
fn log_choice<L: Log>(host: &Host<L>, record: &Record, choice: &str, statuses: &[Status]) {
    let answers: Vec<_> = statuses
        .iter()
        .map(|s| format!("{} {}.{}", s.store, s.position.term, s.position.offset))
        .collect();
    let members: Vec<_> = record.members.iter().map(|m| &m.store).collect();
    let reported = reported_position(host, record).map(|p| format!("{}.{}", p.term, p.offset));
    slog::info!(host.logger, "primary chosen"; "group" => &record.group, "term" => record.next,
        "member" => choice, "former" => record.former_primary(), "needed" => record.read_quorum(),
        "members" => ?members, "uncovered" => record.uncovered, "answers" => ?answers,
        "reported" => reported, "acknowledged" => acks_text(host.acks(&record.group)));
}

/// Logs that a choice waits because no answer holds what was acknowledged.
fn log_shortfall<L: Log>(
    host: &Host<L>,
    record: &Record,
    guard: &Guard,
    held: Position,
    statuses: &[Status],
) {
    slog::warn!(host.logger, "waiting for acknowledged writes that no answer holds";
        "group" => &record.group, "term" => record.next, "held" => text(held),
        "acknowledged" => acks_text(guard.acks), "unanswered" => ?unanswered(record, statuses));
}

/// Logs and counts the announced databases that a choice goes on without.
fn log_unread<L: Log>(host: &Host<L>, record: &Record, unrecorded: &[Member], answered: &[Member]) {
    let unread = unrecorded.len() - answered.len();
    if unread > 0 {
        slog::warn!(host.logger, "primary chosen without announced databases that do not answer";
            "group" => &record.group, "term" => record.next,
            "unread" => ?unread_names(unrecorded, answered));
        host.metrics
            .unread_members
            .inc_by(u64::try_from(unread).unwrap_or(u64::MAX));
    }
}

/// Logs what a choice goes on without: acknowledged writes, and members that stop and do not answer.
fn log_given_up<L: Log>(
    host: &Host<L>,
    record: &Record,
    guard: &Guard,
    held: Position,
    statuses: &[Status],
) {
    if guard.coverage(held) < Coverage::Full {
        let least = guard.acks.map_or(0, |acks| acks.least);
        host.metrics
            .missing_writes
            .inc_by(least.saturating_sub(held.offset));
        slog::warn!(host.logger, "primary chosen without writes that may have been acknowledged";
            "group" => &record.group, "term" => record.next, "held" => text(held),
            "acknowledged" => acks_text(guard.acks), "unanswered" => ?unanswered(record, statuses));
    }
    let counted = guard.counted(record, statuses);
    if counted.members.len() < record.members.len() {
        slog::info!(host.logger, "primary chosen without members that stop and do not answer";
            "group" => &record.group, "term" => record.next, "complete" => guard.complete,
            "unanswered" => ?unanswered(record, statuses));
    }
}

fn text(position: Position) -> String {
    format!("{}.{}", position.term, position.offset)
}

fn acks_text(acks: Option<AckBounds>) -> Option<String> {
    acks.map(|acks| format!("{}.{}..{}", acks.term, acks.least, acks.most))
}

/// Recorded members that did not answer.
fn unanswered<'a>(record: &'a Record, statuses: &[Status]) -> Vec<&'a str> {
    let answers = failover::recorded_answers(record, statuses);
    let silent = record
        .members
        .iter()
        .filter(|member| !answers.iter().any(|(answered, _)| answered == member));
    silent.map(|member| member.member.as_str()).collect()
}

/// Most advanced position of the former primary that entry processes reported. It may include commits
/// that nobody has acknowledged.
fn reported_position<L: Log>(host: &Host<L>, record: &Record) -> Option<Position> {
    let sightings = host.sightings.borrow();
    let observers = sightings.observers(&record.group)?.values();
    let seen = observers.filter_map(|observer| observer.members.get(record.former_primary()));
    seen.map(|seen| seen.position).max()
}

fn unread_names<'a>(unrecorded: &'a [Member], answered: &[Member]) -> Vec<&'a str> {
    let unread = unrecorded
        .iter()
        .filter(|member| !answered.contains(member));
    unread.map(|member| member.member.as_str()).collect()
}

/// Answers to one round of status reads.
struct Answers {
    statuses: Vec<Status>,
    /// Members that are known to have ended.
    ended: Vec<MemberName>,
    /// Database that took the place of the primary.
    renamed: Option<Member>,
    /// Databases outside the record that were asked as well.
    unrecorded: Vec<Member>,
}

/// Reads the status of every recorded member, of the [`renamed_primary`] and of the databases that
/// announce themselves outside the record. Returns early once the members that the choice needs have
/// answered; with `wait_unrecorded`, databases outside the record are needed like members.
async fn read_statuses<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    wait_unrecorded: bool,
    guard: &Guard,
) -> Answers {
    let renamed = renamed_primary(host, record);
    let unrecorded: Vec<_> = unrecorded(host, record).iter().map(member_from).collect();
    let asked = unrecorded::with_members(record, &unrecorded);
    let needed = if wait_unrecorded { &asked } else { record };
    let read = async |member: &Member| {
        let target = host.target(&record.group, member);
        let answer = read_status(host, &target, relay_delay(host, member)).await;
        (member.clone(), answer)
    };
    let members = asked.members.iter().chain(&renamed);
    let mut answers: FuturesUnordered<_> = members.map(read).collect();
    let (mut statuses, mut ended) = (Vec::new(), Vec::new());
    let all = async {
        let mut limit = READ_TIMEOUT;
        while let Ok(Some((member, answer))) = timeout(limit, answers.next()).await {
            match answer {
                Ok(status) => statuses.push(status),
                Err(cause) if departure::ended_cause(host, record, &member, &cause).is_some() => {
                    ended.push(member.member);
                }
                Err(_cause) => {}
            }
            match guard.completeness(needed, &statuses) {
                Completeness::All => break,
                Completeness::Enough => limit = EXTRA_READ_TIMEOUT,
                Completeness::TooFew => {}
            }
        }
    };
    let _elapsed = timeout(guard.next_decision().min(READ_TIMEOUT), all).await;
    Answers {
        statuses,
        ended,
        renamed: renamed.clone(),
        unrecorded,
    }
}
