//! Changes of primary: one task per group on the leader.
//!
//! Every step starts from the record, so that another leader goes on where this one stopped.

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
    directory::Announcement,
    host::{GRANT_POLL_INTERVAL, Host, PromotionTiming, millis},
    judge::{self, Answered, Reach, Verdict},
    leases::LEASE,
    log::{Log, LogError},
    machine::{Command, GroupState, Member, Planned, Record},
    sweep, upstream,
    upstream::{Fence, Order, Target},
};

/// Pause between attempts of a step that waits for others.
const RETRY: Duration = Duration::from_millis(20);
/// Pause between reads and orders that failed.
const RETRY_UPSTREAM: Duration = Duration::from_millis(100);
/// Pause between sweeps over a stable group.
const SWEEP: Duration = Duration::from_secs(1);
/// A promotion that can't be ordered within this time is given up for the next term.
const ORDER: Duration = Duration::from_secs(3);
/// Longest time that running transactions get before a planned change.
const DRAIN: Duration = Duration::from_secs(5);
/// Longest time that the target of a planned change gets to catch up after the fencing.
const CATCH_UP: Duration = Duration::from_secs(2);
/// Pause between attempts to move a leaving primary; each one interrupts writes.
const REPLAN: Duration = Duration::from_secs(10);
/// Longest time of one round of reads.
const READ: Duration = Duration::from_secs(2);
/// Time after which a read or an order in the own region that has no direct answer is also tried
/// through the other hosts.
pub(crate) const DIRECT: Duration = Duration::from_millis(40);
/// Time that further answers get once enough members were read.
const FURTHER: Duration = Duration::from_millis(50);

/// Runs the changes of one group until this host does not lead any more.
pub async fn drive<L: Log>(host: Rc<Host<L>>, group: String) {
    let mut timing = PromotionTiming::default();
    let suspect = host.group_notify(&group);
    loop {
        let count = suspect.count();
        let result = match host.record(&group) {
            None => create(&host, &group).await,
            Some(record) => match (record.state, record.next) {
                (GroupState::Stable, 0) => watch(&host, &record, &mut timing).await,
                (GroupState::Stable, _) => drain(&host, &record, &mut timing).await,
                (GroupState::Fencing, _) => elect(&host, &record, &mut timing).await,
                (GroupState::Promoting, _) => promote(&host, &record, &mut timing).await,
            },
        };
        match result {
            Ok(Step::Again) => {}
            Ok(Step::Idle) => {
                let _elapsed = timeout(SWEEP, suspect.after(count)).await;
            }
            Err(LogError::NotLeader(_)) => {
                // The task is ended by its owner, or goes on when this host leads again.
                sleep(RETRY_UPSTREAM).await;
            }
            Err(cause) => {
                slog::warn!(host.logger, "step of a promotion has no answer of the log";
                    "group" => &group, "cause" => %cause);
                sleep(RETRY_UPSTREAM).await;
            }
        }
    }
}

/// What the task does next.
#[derive(Debug)]
enum Step {
    /// The record changed or the step is to be tried again.
    Again,
    /// Nothing is to be done until a second has passed or something speaks against the primary.
    Idle,
}

/// First record of a group, once all its databases are there and every one has been read.
async fn create<L: Log>(host: &Rc<Host<L>>, group: &str) -> Result<Step, LogError> {
    let document = host.document();
    let Some(service) = document.service_of_group(group) else {
        return Ok(Step::Idle);
    };
    if service.databases == 0 {
        return adopt(host, group, service.confirmations).await;
    }
    let databases = usize::try_from(service.databases).unwrap_or(usize::MAX);
    let announced: Vec<Announcement> = {
        let directory = host.directory.borrow();
        let present = directory.present(Instant::now(), group);
        present.into_iter().take(databases).cloned().collect()
    };
    if announced.len() < databases {
        return Ok(Step::Idle);
    }
    let members: Vec<_> = announced.iter().map(member).collect();
    let statuses = statuses(host, group, &members).await;
    let complete = members.iter().all(|m| {
        statuses
            .iter()
            .any(|s| s.member == m.member && s.store == m.store)
    });
    if !complete {
        return Ok(Step::Idle);
    }
    // A group without a record whose databases hold data already goes on with them.
    let top = statuses
        .iter()
        .map(|status| status.position)
        .max()
        .unwrap_or_default();
    let first = match top {
        Position { term: 0, offset: 0 } => members.first().map(|member| member.member.clone()),
        top => statuses
            .iter()
            .find(|s| s.position == top)
            .map(|s| s.member.clone()),
    };
    let record = Record {
        group: group.to_owned(),
        term: top.term,
        state: GroupState::Promoting,
        next: top.term + 1,
        primary: first.unwrap_or_default(),
        members,
        confirmations: service.confirmations,
        planned: None,
        removed: BTreeSet::new(),
        uncovered: 0,
        version: 0,
    };
    slog::info!(host.logger, "first record of a group"; "group" => group,
        "primary" => &record.primary, "term" => record.next);
    host.propose_record(0, record).await?;
    Ok(Step::Again)
}

/// Statuses of the members that answer.
async fn statuses<L: Log>(host: &Host<L>, group: &str, members: &[Member]) -> Vec<Status> {
    let targets = members.iter().map(|member| host.target(group, member));
    let statuses = join_all(targets.map(|target| probe(host, target, DIRECT))).await;
    statuses.into_iter().flatten().collect()
}

/// First record of a group whose databases have a primary already: it stays in its term.
///
/// The number of databases is not configured, so that the record starts with those that are
/// announced, and later ones are added once they hold what the primary holds.
async fn adopt<L: Log>(
    host: &Rc<Host<L>>,
    group: &str,
    confirmations: u32,
) -> Result<Step, LogError> {
    let announced: Vec<Member> = {
        let directory = host.directory.borrow();
        let present = directory.present(Instant::now(), group);
        present.into_iter().map(member).collect()
    };
    let needed = usize::try_from(confirmations).unwrap_or(usize::MAX);
    if announced.len() < needed.max(1) {
        return Ok(Step::Idle);
    }
    let statuses = statuses(host, group, &announced).await;
    let lead = statuses.iter().filter(|status| status.primary);
    let Some(primary) = lead.max_by_key(|status| status.position.term) else {
        return Ok(Step::Idle);
    };
    let answered = |member: &Member| statuses.iter().any(|s| s.member == member.member);
    let members: Vec<_> = announced.into_iter().filter(answered).collect();
    if members.len() < needed {
        return Ok(Step::Idle);
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
        version: 0,
    };
    slog::info!(host.logger, "first record of a group"; "group" => group,
        "primary" => &record.primary, "term" => record.term, "members" => record.members.len());
    host.propose_record(0, record).await?;
    Ok(Step::Again)
}

/// Recorded form of an announced database.
pub(crate) fn member(announcement: &Announcement) -> Member {
    Member {
        member: announcement.member.clone(),
        store: announcement.store.clone(),
        address: announcement.address.clone(),
        zone: announcement.zone.clone(),
        region: announcement.region.clone(),
    }
}

/// Step 1: judges the primary whenever something speaks against it, and sweeps the members at the
/// same time, because a sweep may wait for a silent member.
async fn watch<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    timing: &mut PromotionTiming,
) -> Result<Step, LogError> {
    let suspect = host.group_notify(&record.group);
    let mut sweep = std::pin::pin!(async {
        let swept = sweep::sweep(host, record).await;
        if matches!(swept, Ok(sweep::Swept::Done)) {
            sleep(SWEEP).await;
        }
        swept
    });
    let (cause, detection) = loop {
        let count = suspect.count();
        if let Verdict::Failed { cause, detection } = verdict(host, record) {
            break (cause, Some(detection));
        }
        if host
            .record(&record.group)
            .is_none_or(|current| current.version != record.version)
        {
            return Ok(Step::Again);
        }
        if leave(host, record).await? {
            return Ok(Step::Again);
        }
        let news = std::pin::pin!(suspect.after(count));
        match select(&mut sweep, news).await {
            Either::Left((swept, _news)) => match swept? {
                sweep::Swept::Demoted(cause) => break (cause, None),
                sweep::Swept::Changed | sweep::Swept::Done => return Ok(Step::Again),
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

/// Plans a change when the primary announces that it is about to stop, and returns whether it did.
async fn leave<L: Log>(host: &Rc<Host<L>>, record: &Record) -> Result<bool, LogError> {
    let now = Instant::now();
    let Some(member) = successor(host, record, now) else {
        return Ok(false);
    };
    let last = host.last_planned.borrow().get(&record.group).copied();
    if last.is_some_and(|at| now.duration_since(at) < REPLAN) {
        return Ok(false);
    }
    host.last_planned
        .borrow_mut()
        .insert(record.group.clone(), now);
    slog::info!(host.logger, "primary is leaving"; "group" => &record.group,
        "member" => &record.primary, "successor" => &member);
    let planned = Planned {
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

/// Member that takes over from a primary that announces its stop: the most advanced one that stays,
/// the nearest among equals.
fn successor<L: Log>(host: &Host<L>, record: &Record, now: Instant) -> Option<MemberName> {
    let directory = host.directory.borrow();
    let leaving = &directory.member(&record.primary)?.announcement;
    let primary = record.member(&record.primary)?;
    if !leaving.leaving || leaving.store != primary.store {
        return None;
    }
    let sightings = host.sightings.borrow();
    let observers = sightings.of(&record.group)?;
    let position = |name: &str| {
        let seen = observers.values().filter_map(|o| o.members.get(name));
        seen.map(|seen| seen.position).max()
    };
    let present = directory.present(now, &record.group);
    let stays = record.members.iter().filter(|member| {
        let recorded = |a: &&Announcement| a.member == member.member && a.store == member.store;
        member.member != record.primary && present.iter().any(recorded)
    });
    let best =
        stays.max_by_key(|member| (position(&member.member), member.region == primary.region));
    best.map(|member| member.member.clone())
}

fn verdict<L: Log>(host: &Host<L>, record: &Record) -> Verdict {
    let now = Instant::now();
    let sightings = host.sightings.borrow();
    let Some(observers) = sightings.of(&record.group) else {
        return Verdict::Stay;
    };
    if heir(host, record).is_some() {
        // The primary ended, and what took its place may be chosen even when few others answer.
        return judge::lost(now, record, observers);
    }
    judge::judge(now, record, observers)
}

fn reach<L: Log>(host: &Host<L>, record: &Record) -> Reach {
    let sightings = host.sightings.borrow();
    let observers = sightings.of(&record.group);
    observers.map_or_else(Reach::default, |observers| {
        judge::reach(Instant::now(), record, observers)
    })
}

/// Planned change: gives running transactions time to finish, then fences.
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
    while start.elapsed() < DRAIN && !drained(host, record) {
        if let Verdict::Failed { cause, detection } = verdict(host, record) {
            timing.cause = cause;
            timing.detection = Some(millis(detection));
            let record = Record {
                planned: None,
                ..record.clone()
            };
            return fence(host, &record, record.next, timing).await;
        }
        sleep(RETRY).await;
    }
    timing.drain = Some(millis(start.elapsed()));
    fence(host, record, record.next, timing).await
}

/// Whether every live entry process knows of the planned change and uses no connection to the
/// primary.
fn drained<L: Log>(host: &Host<L>, record: &Record) -> bool {
    let now = Instant::now();
    let directory = host.directory.borrow();
    let mut live = directory
        .entries()
        .values()
        .filter(|entry| now.duration_since(entry.at) < judge::LIVE);
    live.all(|entry| {
        entry.records >= record.version && entry.used.get(&record.primary).is_none_or(|n| *n == 0)
    })
}

/// Step 2: commits that the term ends.
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
    Ok(Step::Again)
}

/// Steps 3 to 5: waits for the end of older leases, reads, chooses and commits the choice.
async fn elect<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    timing: &mut PromotionTiming,
) -> Result<Step, LogError> {
    let start = Instant::now();
    released(host, record).await;
    timing.leases = Some(millis(start.elapsed()));
    fail::fail_point!("promotion-released");

    let start = Instant::now();
    let mut told = start;
    let (choice, top, members) = loop {
        let (statuses, heir) = read(host, record).await;
        let resumed = heir.and_then(|heir| judge::resumed(record, &heir, &statuses));
        if let Some(resumed) = &resumed {
            slog::info!(host.logger, "primary returned under another name";
                "group" => &record.group, "former" => &record.primary,
                "member" => &resumed.primary, "term" => record.term);
        }
        let record = resumed.as_ref().unwrap_or(record);
        let reach = reach(host, record);
        let choice = judge::choose(record, &statuses, &reach);
        let wait = judge::catching_up(record, &statuses, &reach) && start.elapsed() < CATCH_UP;
        if let Some(choice) = choice.filter(|_| !wait) {
            let top = statuses.iter().map(|s| s.position.term).max();
            break (choice, top, record.members.clone());
        }
        // Without a leader the record may have been changed by another host.
        if !host.log.is_leader(Instant::now()) {
            return Err(LogError::NotLeader(host.log.leader()));
        }
        if !wait && told.elapsed() >= DRAIN {
            told = Instant::now();
            slog::warn!(host.logger, "too few members answer to choose a primary";
                "group" => &record.group, "term" => record.next, "needed" => record.reads(),
                "answered" => judge::counted(record, &statuses).len());
        }
        sleep(if wait { RETRY } else { RETRY_UPSTREAM }).await;
    };
    timing.reads = Some(millis(start.elapsed()));
    fail::fail_point!("promotion-chosen");
    let chosen = Record {
        state: GroupState::Promoting,
        primary: choice,
        members,
        // A member rejects a term that it has seen already.
        next: record.next.max(top.unwrap_or_default() + 1),
        ..record.clone()
    };
    host.propose_record(record.version, chosen).await?;
    Ok(Step::Again)
}

/// Waits until a majority of control hosts hold no grant older than the record.
///
/// Every host is asked on its own, so that one that can't be reached does not hold up the answers
/// of the others. An answer stays true: a host grants nothing older from its answer on.
pub(crate) async fn released<L: Log>(host: &Host<L>, record: &Record) {
    let names = host.peers.names();
    let others = names.iter().map(|name| {
        let asking = async move {
            loop {
                match host.peers.grants_expired(name, record.version).await {
                    Ok(Some(true)) => return,
                    Ok(_) => sleep(GRANT_POLL_INTERVAL).await,
                    Err(_cause) => sleep(RETRY).await,
                }
            }
        };
        asking.boxed_local()
    });
    let mut waits: FuturesUnordered<_> = others.collect();
    waits.push(host.wait_grants_expired(record.version).boxed_local());
    let mut clear = 0;
    while clear < host.majority() {
        match timeout(2 * LEASE, waits.next()).await {
            Ok(Some(())) => clear += 1,
            // Never: there are as many waits as hosts.
            Ok(None) => return,
            Err(_elapsed) => {
                slog::warn!(host.logger,
                    "no majority of control hosts reports the end of old leases";
                    "group" => &record.group, "clear" => clear);
            }
        }
    }
}

/// Database that announces itself at the address of the recorded primary under another name, where
/// it may hold the primary's log.
fn heir<L: Log>(host: &Host<L>, record: &Record) -> Option<Member> {
    let address = &record.member(&record.primary)?.address;
    if !host.databases.may_return_renamed() {
        return None;
    }
    let directory = host.directory.borrow();
    let present = directory.present(Instant::now(), &record.group);
    let mut present = present.into_iter();
    let heir = present.find(|a| a.address == *address && record.member(&a.member).is_none())?;
    Some(member(heir))
}

/// Reads the status of every recorded member and of the [`heir`], and returns early once those
/// have answered that the choice needs.
async fn read<L: Log>(host: &Rc<Host<L>>, record: &Record) -> (Vec<Status>, Option<Member>) {
    let heir = heir(host, record);
    let mut answers: FuturesUnordered<_> = record
        .members
        .iter()
        .chain(&heir)
        .map(|member| {
            let target = host.target(&record.group, member);
            probe(host, target, patience(host, member))
        })
        .collect();
    let mut statuses = Vec::new();
    let all = async {
        let mut limit = READ;
        while let Ok(Some(answer)) = timeout(limit, answers.next()).await {
            statuses.extend(answer);
            match judge::answered(record, &statuses) {
                Answered::All => break,
                Answered::Enough => limit = FURTHER,
                Answered::TooFew => {}
            }
        }
    };
    let _elapsed = timeout(READ, all).await;
    (statuses, heir)
}

/// Time that a direct attempt gets before the other control hosts are asked too. A fresh connection
/// to another region takes three round trips, while the hosts there are connected already.
fn patience<L: Log>(host: &Host<L>, member: &Member) -> Duration {
    if member.region == host.identity.region {
        DIRECT
    } else {
        Duration::ZERO
    }
}

/// Reads a status directly, and also through the other control hosts when that fails or takes
/// longer than `patience`. The first answer counts.
pub(crate) async fn probe<L: Log>(
    host: &Host<L>,
    target: Target,
    patience: Duration,
) -> Option<Status> {
    let mut direct = host.databases.status(&target);
    let failed = match timeout(patience, &mut direct).await {
        Ok(Ok(status)) => return Some(status),
        Ok(Err(_cause)) => true,
        Err(_elapsed) => false,
    };
    let names = host.peers.names();
    let relayed = names
        .iter()
        .map(|name| host.peers.relay_status(name, &target).boxed_local());
    let mut attempts: FuturesUnordered<_> = relayed.collect();
    if !failed {
        attempts.push(direct);
    }
    while let Some(answer) = attempts.next().await {
        if let Ok(status) = answer {
            return Some(status);
        }
    }
    None
}

/// Sends a statement directly, and also through the other control hosts when that fails or takes
/// longer than `patience`.
///
/// Sending it several times is harmless: an order names its term, and repeating it changes nothing.
pub(crate) async fn order<L: Log>(
    host: &Host<L>,
    target: &Target,
    order: &Order,
    patience: Duration,
) -> Result<(), String> {
    let mut direct = host.databases.order(target, order);
    if host.databases.finds_primary() && matches!(order, Order::Promote { .. }) {
        // The authority that carries it out is asked once, by the host that leads.
        return direct.await;
    }
    let mut cause = match timeout(patience, &mut direct).await {
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

/// Whether an order failed because the member refuses it, whoever sends it.
fn is_final(cause: &str) -> bool {
    cause.starts_with(upstream::REFUSED_SQLSTATE)
}

/// Orders every other recorded member to follow the member that is primary of the next term.
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
            // The sweep repeats an order that fails.
            let target = host.target(&record.group, member);
            let ordering = order(host, &target, follow, patience(host, member));
            let _outcome = timeout(ORDER, ordering).await;
        }
    });
    join_all(orders).await;
}

/// Term that the promoted member leads. Where databases number their terms themselves, it is read
/// from the member.
async fn led_term<L: Log>(host: &Host<L>, record: &Record, target: &Member) -> Option<Term> {
    if !host.databases.finds_primary() {
        return Some(record.next);
    }
    let address = host.target(&record.group, target);
    let status = probe(host, address, patience(host, target)).await?;
    status.primary.then_some(status.position.term)
}

/// Steps 5 and 6: orders the promotion that the record names, and commits the new term.
async fn promote<L: Log>(
    host: &Rc<Host<L>>,
    record: &Record,
    timing: &mut PromotionTiming,
) -> Result<Step, LogError> {
    let start = Instant::now();
    let Some(target) = record.member(&record.primary) else {
        return fence(host, record, record.next + 1, timing).await;
    };
    let promotion = Order::Promote {
        term: record.next,
        fence: Fence {
            holder: host.identity.name.clone(),
            token: host.log.term(),
        },
    };
    let ordered = timeout(ORDER, async {
        loop {
            let address = host.target(&record.group, target);
            match order(host, &address, &promotion, patience(host, target)).await {
                Ok(()) => return Ok(()),
                Err(cause) if is_final(&cause) => return Err(cause),
                Err(_cause) => sleep(RETRY_UPSTREAM).await,
            }
        }
    });
    let cause = match ordered.await {
        Ok(Ok(())) => None,
        Ok(Err(cause)) => Some(cause),
        Err(_elapsed) => Some(format!("no answer within {ORDER:?}")),
    };
    if let Some(cause) = cause {
        slog::warn!(host.logger, "promotion can't be ordered"; "group" => &record.group,
            "member" => &record.primary, "term" => record.next, "cause" => cause);
        // What failed is not planned any more: the next choice must not wait for its target.
        let record = Record {
            planned: None,
            ..record.clone()
        };
        return fence(host, &record, record.next + 1, timing).await;
    }
    let Some(term) = led_term(host, record, target).await else {
        return fence(host, record, record.next + 1, timing).await;
    };
    let record = &Record {
        next: term,
        ..record.clone()
    };
    timing.order = Some(millis(start.elapsed()));
    fail::fail_point!("promotion-ordered");
    // No write can be confirmed before another member follows. The sweep would order that only
    // after it has waited for the failed member.
    compio::runtime::spawn(order_followers(Rc::clone(host), record.clone())).detach();

    let start = Instant::now();
    let stable = Record {
        state: GroupState::Stable,
        term: record.next,
        next: 0,
        planned: None,
        ..record.clone()
    };
    if !host.propose_record(record.version, stable).await? {
        return Ok(Step::Again);
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
    Ok(Step::Again)
}
