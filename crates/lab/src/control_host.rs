//! Fake control hosts: grants, loans and the steps of a promotion by the rules of `control`.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use base::Version;
use control::{
    directory::{Announcement, Directory},
    failover::{self, Verdict},
    leases::{LEASE_DURATION, Leases, LogState},
    machine::{Command, GroupState, Member, PlannedChange, Record, State},
    permits::{self, Permits},
    sighting::Sightings,
    sweep,
};
use rand::RngExt as _;
use route::Status;

use crate::{
    database,
    ledger::BELIEF,
    network::{ENTRY, MEMBER, Node, ZONES},
    operator,
    world::{CONNECTIONS, GROUP, Mechanism, Message, News, Renewal, World, zone},
};

/// Bounds of the steps, as in the product.
const SWEEP: Duration = Duration::from_secs(1);
const ORDER: Duration = Duration::from_secs(3);
const CATCH_UP: Duration = Duration::from_secs(2);
const HEARTBEAT: Duration = Duration::from_millis(150);
const RETRY: Duration = Duration::from_millis(20);
const RETRY_UPSTREAM: Duration = Duration::from_millis(100);
/// Length of a round of reads; shorter than in the product, because messages take 10 ms at most.
const READ: Duration = Duration::from_millis(300);
/// Applied commands between two snapshots.
const SNAPSHOT: u64 = 64;

/// Progress of the change that the record describes; begins anew with each version.
#[derive(Debug)]
pub(crate) struct Progress {
    version: Version,
    since: Instant,
    asked: Instant,
    proposed: Option<(u64, usize)>,
    clear: [bool; ZONES],
    released: Option<Instant>,
    round: u64,
    statuses: Vec<Status>,
}

/// A control host.
#[derive(Debug)]
pub(crate) struct ControlHost {
    pub(crate) state: State,
    leases: Leases,
    directory: Directory,
    sightings: Sightings,
    permits: Option<Permits>,
    /// Number of the leadership, and when the belief in it ends.
    leads: Option<(u64, Instant)>,
    /// Snapshot with the number of its commands.
    pub(crate) saved: (Vec<u8>, usize),
    progress: Progress,
    waiting: Vec<(usize, u64, Node)>,
    beat: Instant,
    /// Committed part of the log that the peers were told.
    told: usize,
    rounds: u64,
}

impl ControlHost {
    pub(crate) fn new(now: Instant, saved: (Vec<u8>, usize), off: Option<Mechanism>) -> Self {
        let mut state = State::default();
        if saved.1 > 0 {
            state.restore(&saved.0);
        }
        let forgets = off == Some(Mechanism::Restart);
        let start = if forgets {
            now.checked_sub(LEASE_DURATION)
        } else {
            None
        };
        Self {
            state,
            leases: Leases::new(start.unwrap_or(now)),
            directory: Directory::default(),
            sightings: Sightings::default(),
            permits: None,
            leads: None,
            saved,
            progress: Progress::new(now, 0),
            waiting: Vec::new(),
            beat: now,
            told: 0,
            rounds: 0,
        }
    }

    fn news(&self) -> Rc<News> {
        Rc::new(News {
            version: self.state.version,
            record: self.state.records.get(GROUP).cloned(),
            config: (self.state.config.version, self.state.config.digest.clone()),
        })
    }
}

impl Progress {
    fn new(now: Instant, version: Version) -> Self {
        Self {
            version,
            since: now,
            asked: now.checked_sub(SWEEP).unwrap_or(now),
            proposed: None,
            clear: [false; ZONES],
            released: None,
            round: 0,
            statuses: Vec::new(),
        }
    }
}

fn recorded(announcement: &Announcement) -> Member {
    Member {
        member: announcement.member.clone(),
        store: announcement.store.clone(),
        address: announcement.address.clone(),
        zone: announcement.zone.clone(),
        region: announcement.region.clone(),
    }
}

impl World {
    /// Answers a renewal.
    pub(crate) fn renew(&mut self, node: Node, from: Node, renewal: &Renewal) {
        let now = self.network.now;
        let host = &mut self.hosts[node];
        for announcement in &renewal.announcements {
            host.directory
                .announce(now, Duration::ZERO, announcement.clone());
        }
        let mut observer = renewal.observer.clone();
        observer.reported_at = now;
        let holder = (format!("entry-{from}"), renewal.run);
        host.sightings
            .report(GROUP.into(), holder.0.clone(), observer);
        let known = LogState {
            fenced: host.state.fenced,
            applied: host.state.applied,
            stored: u64::try_from(self.ledger.stored[node]).unwrap_or(u64::MAX),
            learner: self.ledger.learner[node],
            // The model's hosts wait for the end of older leases after every start.
            current: false,
        };
        host.leases.release(&holder, renewal.version);
        let granted = host
            .leases
            .renew(now, holder.clone(), renewal.version, known);
        let share = permits::Share::new(CONNECTIONS, 3);
        let lent = host
            .permits
            .as_mut()
            .map(|permits| permits.lend(now, &holder, "a", renewal.wanted, share));
        let renewed = Message::Renewed {
            requested: renewal.requested,
            version: renewal.version,
            granted,
            lent,
            news: host.news(),
        };
        self.network.send(node, from, renewed);
    }

    /// Whether no lease older than `version` is left, as far as this host knows.
    pub(crate) fn clear(&mut self, node: Node, version: Version) -> bool {
        let clear = self.hosts[node].leases.fence(self.network.now, version);
        clear == Some(true) && !self.ledger.learner[node]
    }

    /// Stores what the leader sent and applies what is committed.
    pub(crate) fn append(&mut self, node: Node, from: Node, epoch: u64, sent: (usize, usize)) {
        if epoch < self.ledger.epoch {
            return;
        }
        let host = &mut self.hosts[node];
        if host.leads.is_some_and(|(old, _)| old < epoch) {
            host.leads = None;
            host.permits = None;
        }
        let stored = &mut self.ledger.stored[node];
        *stored = sent.0.max(*stored);
        self.network.send(node, from, Message::Appended(epoch));
        self.apply(node, sent.1);
    }

    /// Notes that a host stored what this leader sent.
    pub(crate) fn appended(&mut self, node: Node, from: Node, epoch: u64) {
        let now = self.network.now;
        if epoch == self.ledger.epoch && self.ledger.leader == node {
            self.ledger.answered(now, from);
            if let Some(leads) = &mut self.hosts[node].leads {
                leads.1 = now + BELIEF;
            }
            self.apply(node, self.ledger.committed);
        }
    }

    fn apply(&mut self, node: Node, committed: usize) {
        let host = &mut self.hosts[node];
        let before = host.state.version.max(host.state.config.version);
        let top = committed.min(self.ledger.stored[node]);
        let done = usize::try_from(host.state.applied).unwrap_or(usize::MAX);
        for (index, command) in (1..).zip(&self.ledger.commands).take(top).skip(done) {
            let mut command = command.clone();
            let version = host.state.config.version;
            if let (Command::Configure(change), Some(Mechanism::Compare)) = (&mut command, self.off)
            {
                change.base = version;
            }
            let number = u64::try_from(index).unwrap_or(u64::MAX);
            let answer = host.state.apply(number, command);
            let command = &self.ledger.commands[index - 1];
            self.audit.apply(command, version, &answer, &host.state);
            if number.is_multiple_of(SNAPSHOT) {
                host.saved = (host.state.snapshot(), index);
            }
            host.waiting.retain(|(at, epoch, operator)| {
                if *at == index && *epoch == self.ledger.epoch {
                    let change = crate::audit::origin(operator::id(command)).to_owned();
                    if !self.network.random.random_ratio(self.script.lost, 100) {
                        let told = Message::Answer(change, Box::new(answer.clone()));
                        self.network.send(node, *operator, told);
                    }
                }
                *at > index
            });
        }
        if before != host.state.version.max(host.state.config.version) {
            let news = host.news();
            for entry in ENTRY..ENTRY + ZONES {
                self.network
                    .send(node, entry, Message::News(Rc::clone(&news)));
            }
        }
    }

    /// Takes an operator's change, or passes it on to the leader.
    pub(crate) fn propose(&mut self, node: Node, operator: Node, command: Box<Command>) {
        let Some((epoch, _)) = self.hosts[node].leads else {
            let leader = self.ledger.leader;
            if leader != node {
                let proposal = Message::Propose(operator, command);
                self.network.send(node, leader, proposal);
            }
            return;
        };
        if let Some(index) = self.ledger.propose(node, epoch, *command) {
            self.hosts[node].waiting.push((index, epoch, operator));
        }
    }

    /// Regular work of a control host.
    pub(crate) fn run_control(&mut self, node: Node) {
        let now = self.network.now;
        let host = &mut self.hosts[node];
        host.sightings.expire(now);
        if host.leads.is_some_and(|(_, until)| until <= now) {
            host.leads = None;
            host.permits = None;
        }
        let Some((epoch, _)) = host.leads else {
            return;
        };
        if epoch == self.ledger.epoch {
            let length = self.ledger.commands.len();
            let committed = self.ledger.committed;
            let beats = host.beat <= now || host.told < committed;
            host.told = committed;
            for peer in (0..ZONES).filter(|peer| *peer != node) {
                if beats || self.ledger.stored[peer] < length {
                    let append = Message::Append(epoch, (length, committed));
                    self.network.send(node, peer, append);
                }
            }
            if beats {
                host.beat = now + HEARTBEAT;
            }
            if host.state.applied < u64::try_from(self.ledger.barrier).unwrap_or(u64::MAX) {
                return;
            }
            if host.permits.is_none() {
                let since = match self.off {
                    Some(Mechanism::Quiet) => now.checked_sub(permits::NEW_LEADER_DELAY),
                    _ => Some(now),
                };
                host.permits = Some(Permits::new(since.unwrap_or(now)));
            }
        } else if host.permits.is_none() {
            return;
        }
        self.advance(node, epoch);
    }

    /// Makes this host the leader of the present epoch.
    pub(crate) fn lead(&mut self, node: Node) {
        let now = self.network.now;
        let host = &mut self.hosts[node];
        host.leads = Some((self.ledger.epoch, now + BELIEF));
        host.permits = None;
        host.beat = now;
    }

    fn put(&mut self, node: Node, epoch: u64, base: Version, record: Record) {
        let progress = &self.hosts[node].progress;
        if let Some((proposed, index)) = progress.proposed
            && proposed == epoch
            && u64::try_from(index).is_ok_and(|index| self.hosts[node].state.applied < index)
        {
            return;
        }
        let index = self
            .ledger
            .propose(node, epoch, Command::Record { base, record });
        self.hosts[node].progress.proposed = index.map(|index| (epoch, index));
    }

    /// Next step of the change that the record describes.
    fn advance(&mut self, node: Node, epoch: u64) {
        let now = self.network.now;
        let Some(record) = self.hosts[node].state.records.get(GROUP).cloned() else {
            let members = (MEMBER..MEMBER + ZONES).map(|m| recorded(&self.announcement(m)));
            let record = Record {
                group: GROUP.into(),
                term: 0,
                state: GroupState::Promoting,
                next: 1,
                primary: "a".into(),
                members: members.collect(),
                confirmations: 2,
                planned: None,
                removed: BTreeSet::new(),
                uncovered: 0,
                version: 0,
            };
            return self.put(node, epoch, 0, record);
        };
        if self.hosts[node].progress.version != record.version {
            self.hosts[node].progress = Progress::new(now, record.version);
        }
        match (record.state, record.next) {
            (GroupState::Stable, 0) => self.watch(node, epoch, &record),
            (GroupState::Stable, next) => {
                // Running transactions end within a random time.
                if self.network.random.random_ratio(1, 20) {
                    self.fence(node, epoch, &record, next, record.planned.clone());
                }
            }
            (GroupState::Fencing, _) => self.elect_primary(node, epoch, &record),
            (GroupState::Promoting, _) => self.promote(node, epoch, &record),
        }
    }

    fn fence(
        &mut self,
        n: Node,
        epoch: u64,
        record: &Record,
        next: u64,
        plan: Option<PlannedChange>,
    ) {
        let fenced = Record {
            state: GroupState::Fencing,
            next,
            planned: plan,
            ..record.clone()
        };
        self.put(n, epoch, record.version, fenced);
    }

    fn watch(&mut self, node: Node, epoch: u64, record: &Record) {
        let now = self.network.now;
        let host = &mut self.hosts[node];
        let decide = match self.off {
            Some(Mechanism::Serve) => failover::detect_failure,
            _ => failover::assess_primary,
        };
        let verdict = host
            .sightings
            .observers(GROUP)
            .map(|o| decide(now, record, o));
        if let Some(Verdict::Failed { .. }) = verdict {
            return self.fence(node, epoch, record, record.term + 1, None);
        }
        if now >= host.progress.asked + SWEEP {
            self.ask(node);
        }
    }

    /// Begins a round of reads.
    fn ask(&mut self, node: Node) {
        let host = &mut self.hosts[node];
        host.rounds += 1;
        host.progress.round = host.rounds;
        host.progress.asked = self.network.now;
        host.progress.statuses.clear();
        for member in MEMBER..MEMBER + ZONES {
            let query = Message::Query(self.hosts[node].rounds);
            self.network.send(node, member, query);
        }
    }

    /// Takes the status of a member.
    pub(crate) fn answered(&mut self, node: Node, from: Node, round: u64, status: &Status) {
        let host = &mut self.hosts[node];
        let Some((epoch, _)) = host.leads.filter(|_| round == host.progress.round) else {
            return;
        };
        host.progress.statuses.push(status.clone());
        let Some(record) = host.state.records.get(GROUP).cloned() else {
            return;
        };
        if (record.state, record.next) != (GroupState::Stable, 0)
            || record.version != host.progress.version
        {
            return;
        }
        if failover::demotion_cause(&record, status).is_some() {
            return self.fence(node, epoch, &record, record.term + 1, None);
        }
        if failover::needed_order(&record, status, false).is_some() {
            let follow = Message::Follow(database::node(&record.primary), record.term);
            self.network.send(node, from, follow);
        }
        let present = host.directory.present_members(self.network.now, GROUP);
        let replaced = |a: &&Announcement| {
            let known = record.member(&a.member);
            known.is_some_and(|member| member.store != a.store)
        };
        let newcomers: Vec<_> = present.into_iter().filter(replaced).cloned().collect();
        let statuses = &host.progress.statuses;
        let primary = statuses.iter().find(|s| s.member == record.primary);
        let changed = primary.and_then(|primary| {
            sweep::with_newcomers(&record, primary, statuses.iter(), &newcomers)
        });
        if let Some(changed) = changed {
            self.put(node, epoch, record.version, changed);
        }
    }

    /// Takes the report of another host on older leases.
    pub(crate) fn cleared(&mut self, node: Node, from: Node, version: Version) {
        let progress = &mut self.hosts[node].progress;
        if progress.version == version {
            progress.clear[from] = true;
        }
    }

    fn elect_primary(&mut self, node: Node, epoch: u64, record: &Record) {
        let now = self.network.now;
        let Some(released) = self.hosts[node].progress.released else {
            let clear = self.clear(node, record.version);
            let progress = &mut self.hosts[node].progress;
            progress.clear[node] = clear;
            let count = progress.clear.iter().filter(|clear| **clear).count();
            if count > ZONES / 2 || self.off == Some(Mechanism::Release) {
                progress.released = Some(now);
                self.audit.ended = self.audit.ended.max(record.version);
                return self.ask(node);
            }
            if now >= progress.asked + RETRY {
                progress.asked = now;
                for peer in (0..ZONES).filter(|peer| *peer != node) {
                    self.network
                        .send(node, peer, Message::Clear(record.version));
                }
            }
            return;
        };
        let progress = &self.hosts[node].progress;
        let statuses = &progress.statuses;
        let others = failover::recorded_answers(record, statuses);
        let others = others.iter().filter(|(m, _)| m.member != record.primary);
        let enough = record.planned.is_none()
            && others.count() >= record.read_quorum().max(record.members.len() - 1);
        if !enough && statuses.len() < ZONES && now < progress.asked + READ {
            return;
        }
        let worst = || {
            let counted = failover::recorded_answers(record, statuses);
            let others = counted.iter().filter(|(m, _)| m.member != record.primary);
            others
                .min_by_key(|(_, s)| s.position)
                .map(|(m, _)| m.member.clone())
        };
        let observers = self.hosts[node].sightings.observers(GROUP);
        let reach = observers.map(|observers| failover::count_reach(now, record, observers));
        let reach = reach.unwrap_or_default();
        let choice =
            failover::choose_primary(record, statuses, &reach).and_then(|choice| match self.off {
                Some(Mechanism::Choice) => worst(),
                _ => Some(choice),
            });
        let wait = failover::awaits_catch_up(record, statuses, &reach) && now < released + CATCH_UP;
        let top = statuses.iter().map(|s| s.position.term).max();
        let Some(primary) = choice.filter(|_| !wait) else {
            return self.ask(node);
        };
        let floor = match self.off {
            Some(Mechanism::Term) => 0,
            _ => top.unwrap_or_default() + 1,
        };
        let chosen = Record {
            state: GroupState::Promoting,
            primary,
            next: record.next.max(floor),
            ..record.clone()
        };
        self.put(node, epoch, record.version, chosen);
    }

    fn promote(&mut self, node: Node, epoch: u64, record: &Record) {
        let now = self.network.now;
        let progress = &mut self.hosts[node].progress;
        if now >= progress.since + ORDER {
            return self.refused(node, epoch, record);
        }
        if now >= progress.asked + RETRY_UPSTREAM {
            progress.asked = now;
            let target = database::node(&record.primary);
            let store = record.member(&record.primary).map(|m| m.store.clone());
            let order = Message::Promote(record.next, store.unwrap_or_default());
            self.network.send(node, target, order);
        }
    }

    fn refused(&mut self, node: Node, epoch: u64, record: &Record) {
        let next = match self.off {
            Some(Mechanism::Term) => record.next,
            _ => record.next + 1,
        };
        self.fence(node, epoch, record, next, None);
    }

    /// Takes the answer to an order to become primary.
    pub(crate) fn promoted(&mut self, node: Node, from: Node, term: u64, obeyed: bool) {
        let host = &self.hosts[node];
        let record = host.state.records.get(GROUP).cloned();
        let Some(((epoch, _), record)) = host.leads.zip(record) else {
            return;
        };
        let asked = record.state == GroupState::Promoting && record.next == term;
        if !asked || database::node(&record.primary) != from {
            return;
        }
        if !obeyed {
            return self.refused(node, epoch, &record);
        }
        for member in (MEMBER..MEMBER + ZONES).filter(|member| *member != from) {
            self.network.send(node, member, Message::Follow(from, term));
        }
        let stable = Record {
            state: GroupState::Stable,
            term,
            next: 0,
            planned: None,
            ..record.clone()
        };
        self.put(node, epoch, record.version, stable);
    }

    /// What a database announces.
    pub(crate) fn announcement(&self, node: Node) -> Announcement {
        let member = &self.members[node - MEMBER];
        Announcement {
            member: database::name(node),
            group: GROUP.into(),
            store: member.store(),
            address: database::address(node),
            zone: zone(node),
            region: "region".into(),
            connections: CONNECTIONS,
            slots: 2,
            leaving: false,
            ..Announcement::default()
        }
    }
}
