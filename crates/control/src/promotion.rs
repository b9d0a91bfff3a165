//! Changes of primary: the leader runs one task per group.
//!
//! Steps 3 to 5, which decide who becomes primary, are in [`crate::choice`].
//!
//! Every step starts from the group record, so a new leader can continue where the old one stopped.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{MemberName, Position, Term};
use compio::time::{sleep, timeout};
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::{Either, join_all, select},
    stream::FuturesUnordered,
};

use route::Status;

use crate::{
    appoint::appoint,
    calls::Calls,
    choice::choose_primary,
    directory::Announcement,
    failover::{self, ReachCounts, Verdict},
    guard,
    host::{GRANT_POLL_INTERVAL, Host, millis},
    leases::LEASE_DURATION,
    log::{Log, LogError},
    machine::{Command, GroupState, Member, PlannedChange, Record},
    sweep,
    timing::PromotionTiming,
    upstream::{self, Fence, Order, StatusError, Target},
};

/// Delay between attempts of a step that waits for other processes.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay before a failed read or order is repeated.
pub(crate) const UPSTREAM_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between sweeps over a stable group.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit on ordering a promotion. After it the promotion is abandoned and the next term is
/// started.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for running transactions to finish before a planned change. Also the interval between
/// warnings that too few members answer.
pub(crate) const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum time between handovers planned for a stopping primary; each one interrupts writes.
const REPLAN_DELAY: Duration = Duration::from_secs(10);
/// Delay before a read or order to a member in this host's region is also sent through the other
/// control hosts.
pub(crate) const RELAY_DELAY: Duration = Duration::from_millis(40);

/// Runs the changes of primary of one group until the caller drops the task, when this host stops
/// leading.
pub async fn run_group<L: Log>(host: Rc<Host<L>>, group: String) {
    let mut timing = PromotionTiming::default();
    let mut calls = calls_of_former_leader(&host, &group);
    let mut reading = None;
    let suspect = host.group_notify(&group);
    loop {
        let count = suspect.count();
        let result = match host.record(&group) {
            None => create_record(&host, &group).await,
            Some(record) => match (record.state, record.next) {
                (GroupState::Stable, 0) => monitor(&host, &record, &mut timing).await,
                (GroupState::Stable, _) => drain(&host, &record, &mut timing).await,
                (GroupState::Fencing, _) => {
                    choose_primary(&host, &record, &mut timing, &calls, &mut reading).await
                }
                (GroupState::Promoting, _) => {
                    promote(&host, &record, &mut timing, &mut calls).await
                }
            },
        };
        match result {
            Ok(Step::Continue) => {}
            Ok(Step::Wait) => {
                let _elapsed = timeout(SWEEP_INTERVAL, suspect.changed_after(count)).await;
            }
            Err(LogError::NotLeader(_)) => {
                // The owner drops this task, or it continues when this host leads again.
                sleep(UPSTREAM_RETRY_DELAY).await;
            }
            Err(cause) => {
                slog::warn!(host.logger, "promotion step failed: no answer from the replicated log";
                    "group" => &group, "cause" => %cause);
                sleep(UPSTREAM_RETRY_DELAY).await;
            }
        }
    }
}

/// Requests to the authority that a former leader may have made, by the record.
fn calls_of_former_leader<L: Log>(host: &Host<L>, group: &str) -> Calls {
    let mut calls = Calls::default();
    let record = host
        .record(group)
        .filter(|_| host.databases.authority().is_some());
    if let Some(record) = record {
        let promoting = (record.state == GroupState::Promoting).then_some(&record.primary);
        for member in record.abandoned.iter().chain(promoting) {
            calls.assume(member, Instant::now());
        }
    }
    calls
}

/// What the group task does next.
#[derive(Debug)]
pub(crate) enum Step {
    /// Run the next step at once: the record changed or the step must be repeated.
    Continue,
    /// Wait for [`SWEEP_INTERVAL`] or until the primary is suspected to have failed.
    Wait,
}

/// Creates the record of a group once all its configured databases have announced themselves and
/// answered a status read.
async fn create_record<L: Log>(host: &Rc<Host<L>>, group: &str) -> Result<Step, LogError> {
    let document = host.document();
    let Some(service) = document.service_of_group(group) else {
        return Ok(Step::Wait);
    };
    if service.databases == 0 {
        return adopt_primary(host, group, service.confirmations).await;
    }
    let databases = usize::try_from(service.databases).unwrap_or(usize::MAX);
    let announced: Vec<Announcement> = {
        let directory = host.directory.borrow();
        let present = directory.present_members(Instant::now(), group);
        present.into_iter().take(databases).cloned().collect()
    };
    if announced.len() < databases {
        return Ok(Step::Wait);
    }
    let members: Vec<_> = announced.iter().map(member_from).collect();
    let statuses = probe_all(host, group, &members).await;
    let complete = members.iter().all(|m| {
        statuses
            .iter()
            .any(|s| s.member == m.member && s.store == m.store)
    });
    if !complete {
        return Ok(Step::Wait);
    }
    // The databases may already hold data. The one that is furthest ahead then becomes primary.
    let newest_position = statuses
        .iter()
        .map(|status| status.position)
        .max()
        .unwrap_or_default();
    let first = match newest_position {
        Position { term: 0, offset: 0 } => members.first().map(|member| member.member.clone()),
        newest_position => statuses
            .iter()
            .find(|s| s.position == newest_position)
            .map(|s| s.member.clone()),
    };
    let record = Record {
        group: group.to_owned(),
        term: newest_position.term,
        state: GroupState::Promoting,
        next: newest_position.term + 1,
        primary: first.unwrap_or_default(),
        members,
        confirmations: service.confirmations,
        planned: None,
        removed: BTreeSet::new(),
        uncovered: 0,
        abandoned: BTreeSet::new(),
        stopping: BTreeSet::new(),
        base: None,
        former: None,
        version: 0,
    };
    slog::info!(host.logger, "creating group record"; "group" => group,
        "primary" => &record.primary, "term" => record.next);
    host.propose_record(0, record).await?;
    Ok(Step::Continue)
}

/// Reads the statuses of all members and returns those that answered.
async fn probe_all<L: Log>(host: &Host<L>, group: &str, members: &[Member]) -> Vec<Status> {
    let targets = members.iter().map(|member| host.target(group, member));
    let statuses = join_all(targets.map(|target| probe(host, target, RELAY_DELAY))).await;
    statuses.into_iter().flatten().collect()
}

/// Creates the record of a group whose databases already have a primary, which keeps its term.
///
/// The number of databases is not configured here, so the record starts with the announced members
/// that answer. Later ones are added once they have caught up with the primary.
async fn adopt_primary<L: Log>(
    host: &Rc<Host<L>>,
    group: &str,
    confirmations: u32,
) -> Result<Step, LogError> {
    let announced: Vec<Member> = {
        let directory = host.directory.borrow();
        let present = directory.present_members(Instant::now(), group);
        present.into_iter().map(member_from).collect()
    };
    let needed = usize::try_from(confirmations).unwrap_or(usize::MAX);
    if announced.len() < needed.max(1) {
        return Ok(Step::Wait);
    }
    let statuses = probe_all(host, group, &announced).await;
    let primaries = statuses.iter().filter(|status| status.primary);
    let Some(primary) = primaries.max_by_key(|status| status.position.term) else {
        return Ok(Step::Wait);
    };
    let answered = |member: &Member| statuses.iter().any(|s| s.member == member.member);
    let members: Vec<_> = announced.into_iter().filter(answered).collect();
    if members.len() < needed {
        return Ok(Step::Wait);
    }
    let record = Record {
        group: group.to_owned(),
        term: primary.position.term,
        state: GroupState::Stable,
        next: 0,
        primary: primary.member.clone(),
        members,
        confirmations,
        planned: None,
        removed: BTreeSet::new(),
        uncovered: 0,
        abandoned: BTreeSet::new(),
        stopping: BTreeSet::new(),
        base: None,
        former: None,
        version: 0,
    };
    slog::info!(host.logger, "creating group record"; "group" => group,
        "primary" => &record.primary, "term" => record.term, "members" => record.members.len());
    host.propose_record(0, record).await?;
    Ok(Step::Continue)
}

/// Converts an announced database to a member of a group record.
pub(crate) fn member_from(announcement: &Announcement) -> Member {
    Member {
        member: announcement.member.clone(),
        store: announcement.store.clone(),
        address: announcement.address.clone(),
        zone: announcement.zone.clone(),
        region: announcement.region.clone(),
    }
}

/// Step 1: assesses the primary whenever it is suspected to have failed, and sweeps the members
/// concurrently, because a sweep may wait for a silent member.
async fn monitor<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    timing: &mut PromotionTiming,
) -> Result<Step, LogError> {
    let suspect = host.group_notify(&record.group);
    let arrivals = host.arrivals(&record.group);
    let mut sweep = std::pin::pin!(async {
        let arrived = arrivals.count();
        let outcome = sweep::sweep(host, record).await;
        if matches!(outcome, Ok(sweep::Outcome::Done)) {
            // A new database may acknowledge commits at once, so it is recorded without delay.
            let _elapsed = timeout(SWEEP_INTERVAL, arrivals.changed_after(arrived)).await;
        }
        outcome
    });
    let (cause, detection) = loop {
        let count = suspect.count();
        if let Verdict::Failed { cause, detection } = assess(host, record) {
            break (cause, Some(detection));
        }
        if host
            .record(&record.group)
            .is_none_or(|current| current.version != record.version)
        {
            return Ok(Step::Continue);
        }
        if plan_handover(host, record).await? {
            return Ok(Step::Continue);
        }
        let change = std::pin::pin!(suspect.changed_after(count));
        match select(&mut sweep, change).await {
            Either::Left((outcome, _change)) => match outcome? {
                sweep::Outcome::Demoted(cause) => break (cause, None),
                sweep::Outcome::Changed | sweep::Outcome::Done => return Ok(Step::Continue),
            },
            Either::Right(((), _sweep)) => {}
        }
    };
    *timing = PromotionTiming {
        cause,
        detection: detection.map(millis),
        ..PromotionTiming::default()
    };
    slog::warn!(host.logger, "primary failed"; "group" => &record.group, "term" => record.term,
        "member" => &record.primary, "cause" => &timing.cause);
    fence(host, record, record.term + 1, timing).await
}

/// Plans a change if the primary announces that it is about to stop. Returns whether it did.
async fn plan_handover<L: Log>(host: &Rc<Host<L>>, record: &Record) -> Result<bool, LogError> {
    let now = Instant::now();
    let Some(member) = successor(host, record, now) else {
        return Ok(false);
    };
    let last_planned = host.last_planned.borrow().get(&record.group).copied();
    if last_planned.is_some_and(|planned_at| now.duration_since(planned_at) < REPLAN_DELAY) {
        return Ok(false);
    }
    host.last_planned
        .borrow_mut()
        .insert(record.group.clone(), now);
    slog::info!(host.logger, "primary is stopping; planning a handover"; "group" => &record.group,
        "member" => &record.primary, "successor" => &member);
    let planned = PlannedChange {
        change: format!(
            "leaving-{}-{}-{}",
            record.group, record.primary, record.version
        ),
        member: Some(member),
    };
    let command = Command::Plan {
        group: record.group.clone(),
        planned,
    };
    host.log.propose(command.encode()).await?;
    Ok(true)
}

/// Member that takes over from a stopping primary: the most advanced one that keeps running, with
/// those in the region of the primary first among equals.
fn successor<L: Log>(host: &Host<L>, record: &Record, now: Instant) -> Option<MemberName> {
    let directory = host.directory.borrow();
    let announced = &directory.member(&record.primary)?.announcement;
    let primary = record.member(&record.primary)?;
    if !announced.leaving || announced.store != primary.store {
        return None;
    }
    let sightings = host.sightings.borrow();
    let observers = sightings.observers(&record.group)?;
    let position = |name: &str| {
        let seen = observers.values().filter_map(|o| o.members.get(name));
        seen.map(|seen| seen.position).max()
    };
    let present = directory.present_members(now, &record.group);
    let reach = failover::count_reach(now, record, observers);
    let staying = record.members.iter().filter(|member| {
        let recorded = |a: &&Announcement| a.member == member.member && a.store == member.store;
        member.member != record.primary
            && reach.get(&member.member).is_some_and(|count| *count > 0)
            && present.iter().any(recorded)
    });
    let best =
        staying.max_by_key(|member| (position(&member.member), member.region == primary.region));
    best.map(|member| member.member.clone())
}

fn assess<L: Log>(host: &Host<L>, record: &Record) -> Verdict {
    let now = Instant::now();
    // A change is worth a try without stopping members that nobody reaches, and without those that ended.
    // Whether it can do without them is decided when the members are read.
    let reach = reach_counts(host, record);
    let mut counted = guard::without_stopping(record, |name| {
        reach.get(name).is_some_and(|count| *count > 0)
    });
    if host.databases.counts_any_replica() {
        counted.uncovered = 0;
    }
    let record = &counted;
    let sightings = host.sightings.borrow();
    let Some(observers) = sightings.observers(&record.group) else {
        return Verdict::Stay;
    };
    if renamed_primary(host, record).is_some() {
        // The primary's process ended. The database that replaced it may be chosen even if few
        // other members answer.
        return failover::detect_failure(now, record, observers);
    }
    failover::assess_primary(now, record, observers)
}

pub(crate) fn reach_counts<L: Log>(host: &Host<L>, record: &Record) -> ReachCounts {
    let sightings = host.sightings.borrow();
    let observers = sightings.observers(&record.group);
    observers.map_or_else(ReachCounts::default, |observers| {
        failover::count_reach(Instant::now(), record, observers)
    })
}

/// Planned change: waits for running transactions to finish, then fences.
async fn drain<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    timing: &mut PromotionTiming,
) -> Result<Step, LogError> {
    let start = Instant::now();
    let cause = record
        .planned
        .as_ref()
        .map(|planned| format!("planned change {}", planned.change));
    *timing = PromotionTiming {
        cause: cause.unwrap_or_default(),
        ..PromotionTiming::default()
    };
    while start.elapsed() < DRAIN_TIMEOUT && !is_drained(host, record) {
        if let Verdict::Failed { cause, detection } = assess(host, record) {
            timing.cause = cause;
            timing.detection = Some(millis(detection));
            let record = Record {
                planned: None,
                ..record.clone()
            };
            return fence(host, &record, record.next, timing).await;
        }
        sleep(RETRY_DELAY).await;
    }
    timing.drain = Some(millis(start.elapsed()));
    fence(host, record, record.next, timing).await
}

/// Whether every live entry process has applied the planned change and uses no connection to the
/// primary.
fn is_drained<L: Log>(host: &Host<L>, record: &Record) -> bool {
    let now = Instant::now();
    let directory = host.directory.borrow();
    let mut live_entries = directory
        .entries()
        .values()
        .filter(|entry| now.duration_since(entry.renewed_at) < failover::REPORT_MAX_AGE);
    live_entries.all(|entry| {
        entry.record_version >= record.version
            && entry.used.get(&record.primary).is_none_or(|n| *n == 0)
    })
}

/// Step 2: commits the end of the term.
async fn fence<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    next: Term,
    timing: &mut PromotionTiming,
) -> Result<Step, LogError> {
    let start = Instant::now();
    fail::fail_point!("promotion-fence");
    let fenced = Record {
        state: GroupState::Fencing,
        next,
        ..record.clone()
    };
    host.propose_record(record.version, fenced).await?;
    timing.fencing = Some(millis(start.elapsed()));
    Ok(Step::Continue)
}

/// Waits until a majority of control hosts hold no grant older than the record, and learns from them
/// how far writes of the group were acknowledged. Returns whether they told all.
///
/// The hosts are asked concurrently, so an unreachable one does not delay the others. A positive
/// answer stays valid, because the host grants no older lease after it.
pub(crate) async fn wait_for_release<L: Log>(host: &Host<L>, record: &Record) -> bool {
    let names = host.peers.names();
    let others = names.iter().map(|name| {
        let request = async move {
            loop {
                let asked = host
                    .peers
                    .grants_expired(name, record.version, &record.group);
                match asked.await {
                    Ok((Some(true), acks, complete)) => {
                        if let Some(bounds) = acks {
                            host.merge_acks(&record.group, bounds, None);
                        }
                        return complete;
                    }
                    Ok(_) => sleep(GRANT_POLL_INTERVAL).await,
                    Err(_cause) => sleep(RETRY_DELAY).await,
                }
            }
        };
        request.boxed_local()
    });
    let mut waits: FuturesUnordered<_> = others.collect();
    let own = async {
        host.wait_grants_expired(record.version).await;
        host.has_all_acks(&record.group)
    };
    waits.push(own.boxed_local());
    let (mut released, mut all_complete) = (0, true);
    while released < host.majority() {
        match timeout(2 * LEASE_DURATION, waits.next()).await {
            Ok(Some(complete)) => {
                released += 1;
                all_complete &= complete;
            }
            // Unreachable: there are as many waits as hosts.
            Ok(None) => return false,
            Err(_elapsed) => {
                slog::warn!(host.logger,
                    "no majority of control hosts reports the end of old leases";
                    "group" => &record.group, "clear" => released);
            }
        }
    }
    all_complete
}

/// Database that announces itself at the address of the recorded primary under another name, if the
/// kind of database allows that it holds the primary's log.
pub(crate) fn renamed_primary<L: Log>(host: &Host<L>, record: &Record) -> Option<Member> {
    let address = &record.member(record.former_primary())?.address;
    if !host.databases.may_return_renamed() {
        return None;
    }
    let directory = host.directory.borrow();
    let present = directory.present_members(Instant::now(), &record.group);
    let mut present = present.into_iter();
    let renamed = present.find(|a| a.address == *address && record.member(&a.member).is_none())?;
    Some(member_from(renamed))
}

/// Delay before a request to a member is also sent through the other control hosts. It is zero for
/// another region: a new connection there takes three round trips, while the connections to the
/// control hosts already exist.
pub(crate) fn relay_delay<L: Log>(host: &Host<L>, member: &Member) -> Duration {
    if member.region == host.identity.region {
        RELAY_DELAY
    } else {
        Duration::ZERO
    }
}

/// Reads a status directly, and also through the other control hosts if that fails or takes longer
/// than `delay`. Returns the first answer.
pub(crate) async fn probe<L: Log>(
    host: &Host<L>,
    target: Target,
    delay: Duration,
) -> Option<Status> {
    read_status(host, &target, delay).await.ok()
}

/// Like [`probe`]. Without an answer, the error tells whether any host found that the database ended.
pub(crate) async fn read_status<L: Log>(
    host: &Host<L>,
    target: &Target,
    delay: Duration,
) -> Result<Status, StatusError> {
    let mut direct = host.databases.status(target);
    let mut error = match timeout(delay, &mut direct).await {
        Ok(Ok(status)) => return Ok(status),
        Ok(Err(cause)) => Some(cause),
        Err(_elapsed) => None,
    };
    let names = host.peers.names();
    let relayed = names
        .iter()
        .map(|name| host.peers.relay_status(name, target).boxed_local());
    let mut attempts: FuturesUnordered<_> = relayed.collect();
    if error.is_none() {
        attempts.push(direct);
    }
    while let Some(answer) = attempts.next().await {
        match answer {
            Ok(status) => return Ok(status),
            Err(cause) if matches!(error, None | Some(StatusError::Unknown(_))) => {
                error = Some(cause);
            }
            Err(_cause) => {}
        }
    }
    Err(error.unwrap_or_else(|| StatusError::Unknown(format!("no answer from {}", target.address))))
}

/// Sends an order directly, and also through the other control hosts if that fails or takes longer
/// than `delay`.
///
/// Sending an order several times is safe: it names its term, so repeating it changes nothing.
pub(crate) async fn send_order<L: Log>(
    host: &Host<L>,
    target: &Target,
    order: &Order,
    delay: Duration,
) -> Result<(), String> {
    let mut direct = host.databases.order(target, order);
    let mut cause = match timeout(delay, &mut direct).await {
        Ok(Err(cause)) if !is_final(&cause) => Some(cause),
        Ok(outcome) => return outcome,
        Err(_elapsed) => None,
    };
    let names = host.peers.names();
    let relayed = names
        .iter()
        .map(|name| host.peers.relay_order(name, target, order).boxed_local());
    let mut attempts: FuturesUnordered<_> = relayed.collect();
    if cause.is_none() {
        attempts.push(direct);
    }
    while let Some(outcome) = attempts.next().await {
        match outcome {
            Err(failed) if !is_final(&failed) => cause = cause.or(Some(failed)),
            outcome => return outcome,
        }
    }
    Err(cause.unwrap_or_default())
}

/// Whether the member itself refused the order, so that sending it through another host can't help.
fn is_final(cause: &str) -> bool {
    cause.starts_with(upstream::REFUSED_SQLSTATE)
}

/// Orders every other recorded member to follow the new primary.
async fn order_followers<L: Log>(host: Rc<Host<L>>, record: Record) {
    let Some(primary) = record.member(&record.primary) else {
        return;
    };
    let follow = Order::Follow {
        primary: host.member_address(primary),
        term: record.next,
    };
    let others = record
        .members
        .iter()
        .filter(|member| member.member != record.primary);
    let orders = others.map(|member| {
        let (host, follow, record) = (&host, &follow, &record);
        async move {
            // If this fails, the next sweep repeats the order.
            let target = host.target(&record.group, member);
            let ordering = send_order(host, &target, follow, relay_delay(host, member));
            let _outcome = timeout(ORDER_TIMEOUT, ordering).await;
        }
    });
    join_all(orders).await;
}

/// Orders the promotion of `target` and returns the term that it leads, or why it is given up.
async fn order_promotion<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    target: &Member,
) -> Result<Term, String> {
    let promotion = Order::Promote {
        term: record.next,
        fence: Fence {
            holder: host.identity.name.clone(),
            token: host.log.term(),
        },
    };
    let ordered = timeout(ORDER_TIMEOUT, async {
        loop {
            let address = host.target(&record.group, target);
            match send_order(host, &address, &promotion, relay_delay(host, target)).await {
                Ok(()) => return Ok(record.next),
                Err(cause) if is_final(&cause) => return Err(cause),
                Err(_cause) => sleep(UPSTREAM_RETRY_DELAY).await,
            }
        }
    });
    let no_answer = |_elapsed| Err(format!("no answer within {ORDER_TIMEOUT:?}"));
    ordered.await.unwrap_or_else(no_answer)
}

/// Steps 5 and 6: orders the promotion in the record and commits the new term.
async fn promote<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    timing: &mut PromotionTiming,
    calls: &mut Calls,
) -> Result<Step, LogError> {
    let start = Instant::now();
    let Some(target) = record.member(&record.primary) else {
        return fence(host, record, record.next + 1, timing).await;
    };
    let ordered = match host.databases.authority() {
        Some(authority) => appoint(host, authority, record, target, calls).await?,
        None => order_promotion(host, record, target).await,
    };
    let term = match ordered {
        Ok(term) => term,
        Err(cause) => {
            slog::warn!(host.logger, "promotion order failed"; "group" => &record.group,
                "member" => &record.primary, "term" => record.next, "cause" => cause);
            let mut given_up = Record {
                // Without the plan, the next choice does not wait for the target that failed.
                planned: None,
                ..record.clone()
            };
            if calls.is_open(&record.primary, Instant::now()) {
                given_up.abandoned.insert(record.primary.clone());
            }
            // The same member may be chosen and refused again.
            sleep(UPSTREAM_RETRY_DELAY).await;
            return fence(host, &given_up, record.next + 1, timing).await;
        }
    };
    let record = &Record {
        next: term,
        ..record.clone()
    };
    timing.order = Some(millis(start.elapsed()));
    fail::fail_point!("promotion-ordered");
    // No write can be confirmed before another member follows. The next sweep would order it later,
    // because it first waits for the failed member.
    compio::runtime::spawn(order_followers(Rc::clone(host), record.clone())).detach();

    let start = Instant::now();
    let mut abandoned = record.abandoned.clone();
    abandoned.retain(|member| calls.is_open(member, start));
    if calls.is_repeated(&record.primary, start) {
        abandoned.insert(record.primary.clone());
    }
    let stable = Record {
        state: GroupState::Stable,
        term: record.next,
        next: 0,
        planned: None,
        abandoned,
        former: None,
        ..record.clone()
    };
    if !host.propose_record(record.version, stable).await? {
        return Ok(Step::Continue);
    }
    timing.commit = Some(millis(start.elapsed()));
    let kind = match (&record.planned, record.term) {
        (Some(_), _) => "planned",
        (None, 0) => "first",
        (None, _) => "failure",
    };
    host.metrics.promotions.with_label_values(&[kind]).inc();
    let done = std::mem::take(timing);
    host.record_timing(PromotionTiming {
        group: record.group.clone(),
        term: record.next,
        member: record.primary.clone(),
        cause: if done.cause.is_empty() {
            kind.to_owned()
        } else {
            done.cause.clone()
        },
        ..done
    });
    Ok(Step::Continue)
}
