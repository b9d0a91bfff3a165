//! Fake control hosts, which grant leases, lend connections and change primaries by the rules of
//! `control`.

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
    network::{ENTRY, MEMBER, Node, ZONES},
    operator,
    replicated_log::LEADERSHIP_TIMEOUT,
    simulation::{CONNECTIONS, GROUP, Mechanism, Message, Renewal, Simulation, StateUpdate, zone},
};

/// Interval between two checks of the members of a stable group, as in the product.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Limit for a promotion to be accepted, as in the product.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit for waiting until the best candidate has caught up, as in the product.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two heartbeats of the leader, as in the product.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which the other control hosts are asked about older leases, as in the product.
const LEASE_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a promotion is resent, as in the product.
const PROMOTION_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Limit for a round of status reads. Shorter than in the product, because messages take at most 10
/// ms.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of applied commands between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 64;

/// Progress of the change that the record describes; reset with each version of the record.
#[derive(Debug)]
pub(crate) struct Progress {
    version: Version,
    since: Instant,
    last_request: Instant,
    /// Epoch and log index of the last proposed record.
    proposed: Option<(u64, usize)>,
    /// Control hosts that reported the end of all older leases.
    leases_ended: [bool; ZONES],
    released_at: Option<Instant>,
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
    /// Epoch in which this host leads, and the time at which it stops acting as the leader.
    leadership: Option<(u64, Instant)>,
    /// Last snapshot and the number of commands in it.
    pub(crate) snapshot: (Vec<u8>, usize),
    progress: Progress,
    /// Log index, epoch and operator of each change that has not been answered.
    proposals: Vec<(usize, u64, Node)>,
    next_heartbeat: Instant,
    /// Committed length of the log that was last sent to the peers.
    told_commit: usize,
    last_round: u64,
}

impl ControlHost {
    pub(crate) fn new(
        now: Instant,
        snapshot: (Vec<u8>, usize),
        disabled: Option<Mechanism>,
    ) -> Self {
        let mut state = State::default();
        if snapshot.1 > 0 {
            state.restore(&snapshot.0);
        }
        let skips_wait = disabled == Some(Mechanism::Restart);
        let start = if skips_wait {
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
            leadership: None,
            snapshot,
            progress: Progress::new(now, 0),
            proposals: Vec::new(),
            next_heartbeat: now,
            told_commit: 0,
            last_round: 0,
        }
    }

    fn state_update(&self) -> Rc<StateUpdate> {
        Rc::new(StateUpdate {
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
            last_request: now.checked_sub(SWEEP_INTERVAL).unwrap_or(now),
            proposed: None,
            leases_ended: [false; ZONES],
            released_at: None,
            round: 0,
            statuses: Vec::new(),
        }
    }
}

fn recorded_member(announcement: &Announcement) -> Member {
    Member {
        member: announcement.member.clone(),
        store: announcement.store.clone(),
        address: announcement.address.clone(),
        zone: announcement.zone.clone(),
        region: announcement.region.clone(),
    }
}

impl Simulation {
    /// Handles the renewal request of an entry process.
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
        let log_state = LogState {
            fenced: host.state.fenced,
            applied: host.state.applied,
            stored: u64::try_from(self.log.stored[node]).unwrap_or(u64::MAX),
            learner: self.log.learner[node],
            // The fake hosts wait for older leases to end after every start.
            current: false,
        };
        host.leases.release(&holder, renewal.version);
        let granted = host
            .leases
            .renew(now, holder.clone(), renewal.version, log_state);
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
            update: host.state_update(),
        };
        self.network.send(node, from, renewed);
    }

    /// Whether all leases older than `version` that this host may have granted have ended.
    pub(crate) fn older_leases_ended(&mut self, node: Node, version: Version) -> bool {
        let ended = self.hosts[node].leases.fence(self.network.now, version);
        ended == Some(true) && !self.log.learner[node]
    }

    /// Stores the commands sent by the leader and applies the committed ones.
    pub(crate) fn append(&mut self, node: Node, from: Node, epoch: u64, sent: (usize, usize)) {
        if epoch < self.log.epoch {
            return;
        }
        let host = &mut self.hosts[node];
        if host.leadership.is_some_and(|(old, _)| old < epoch) {
            host.leadership = None;
            host.permits = None;
        }
        let stored = &mut self.log.stored[node];
        *stored = sent.0.max(*stored);
        self.network.send(node, from, Message::Appended(epoch));
        self.apply(node, sent.1);
    }

    /// Records that a host stored the commands sent by this leader.
    pub(crate) fn record_append_reply(&mut self, node: Node, from: Node, epoch: u64) {
        let now = self.network.now;
        if epoch == self.log.epoch && self.log.leader == node {
            self.log.record_append_reply(now, from);
            if let Some(leadership) = &mut self.hosts[node].leadership {
                leadership.1 = now + LEADERSHIP_TIMEOUT;
            }
            self.apply(node, self.log.committed);
        }
    }

    /// Applies committed commands, answers their operators and sends changes to the entry
    /// processes.
    fn apply(&mut self, node: Node, committed: usize) {
        let host = &mut self.hosts[node];
        let before = host.state.version.max(host.state.config.version);
        let end = committed.min(self.log.stored[node]);
        let applied = usize::try_from(host.state.applied).unwrap_or(usize::MAX);
        for (index, command) in (1..).zip(&self.log.commands).take(end).skip(applied) {
            let mut command = command.clone();
            let version = host.state.config.version;
            if let (Command::Configure(change), Some(Mechanism::Compare)) =
                (&mut command, self.disabled)
            {
                change.base = version;
            }
            let number = u64::try_from(index).unwrap_or(u64::MAX);
            let answer = host.state.apply(number, command);
            let command = &self.log.commands[index - 1];
            self.audit
                .record_applied(command, version, &answer, &host.state);
            if number.is_multiple_of(SNAPSHOT_INTERVAL) {
                host.snapshot = (host.state.snapshot(), index);
            }
            host.proposals.retain(|(at, epoch, operator)| {
                if *at == index && *epoch == self.log.epoch {
                    let change = crate::audit::original_change(operator::id(command)).to_owned();
                    if !self.network.random.random_ratio(self.script.lost, 100) {
                        let answered = Message::Answer(change, Box::new(answer.clone()));
                        self.network.send(node, *operator, answered);
                    }
                }
                *at > index
            });
        }
        if before != host.state.version.max(host.state.config.version) {
            let update = host.state_update();
            for entry in ENTRY..ENTRY + ZONES {
                self.network
                    .send(node, entry, Message::StateUpdate(Rc::clone(&update)));
            }
        }
    }

    /// Proposes an operator's change, or forwards it to the leader.
    pub(crate) fn propose(&mut self, node: Node, operator: Node, command: Box<Command>) {
        let Some((epoch, _)) = self.hosts[node].leadership else {
            let leader = self.log.leader;
            if leader != node {
                let proposal = Message::Propose(operator, command);
                self.network.send(node, leader, proposal);
            }
            return;
        };
        if let Some(index) = self.log.propose(node, epoch, *command) {
            self.hosts[node].proposals.push((index, epoch, operator));
        }
    }

    /// Periodic work of a control host.
    pub(crate) fn run_control(&mut self, node: Node) {
        let now = self.network.now;
        let host = &mut self.hosts[node];
        host.sightings.expire(now);
        if host.leadership.is_some_and(|(_, until)| until <= now) {
            host.leadership = None;
            host.permits = None;
        }
        let Some((epoch, _)) = host.leadership else {
            return;
        };
        if epoch == self.log.epoch {
            let length = self.log.commands.len();
            let committed = self.log.committed;
            let heartbeat_due = host.next_heartbeat <= now || host.told_commit < committed;
            host.told_commit = committed;
            for peer in (0..ZONES).filter(|peer| *peer != node) {
                if heartbeat_due || self.log.stored[peer] < length {
                    let append = Message::Append(epoch, (length, committed));
                    self.network.send(node, peer, append);
                }
            }
            if heartbeat_due {
                host.next_heartbeat = now + HEARTBEAT_INTERVAL;
            }
            if host.state.applied < u64::try_from(self.log.barrier).unwrap_or(u64::MAX) {
                return;
            }
            if host.permits.is_none() {
                let since = match self.disabled {
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

    /// Makes this host the leader of the current epoch.
    pub(crate) fn become_leader(&mut self, node: Node) {
        let now = self.network.now;
        let host = &mut self.hosts[node];
        host.leadership = Some((self.log.epoch, now + LEADERSHIP_TIMEOUT));
        host.permits = None;
        host.next_heartbeat = now;
    }

    /// Proposes a new group record unless an earlier proposal of this epoch is still unapplied.
    fn propose_record(&mut self, node: Node, epoch: u64, base: Version, record: Record) {
        let progress = &self.hosts[node].progress;
        if let Some((proposed, index)) = progress.proposed
            && proposed == epoch
            && u64::try_from(index).is_ok_and(|index| self.hosts[node].state.applied < index)
        {
            return;
        }
        let index = self
            .log
            .propose(node, epoch, Command::Record { base, record });
        self.hosts[node].progress.proposed = index.map(|index| (epoch, index));
    }

    /// Takes the next step of the change that the record describes.
    fn advance(&mut self, node: Node, epoch: u64) {
        let now = self.network.now;
        let Some(record) = self.hosts[node].state.records.get(GROUP).cloned() else {
            let members = (MEMBER..MEMBER + ZONES).map(|m| recorded_member(&self.announcement(m)));
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
                abandoned: BTreeSet::new(),
                stopping: BTreeSet::new(),
                base: None,
                former: None,
                version: 0,
            };
            return self.propose_record(node, epoch, 0, record);
        };
        if self.hosts[node].progress.version != record.version {
            self.hosts[node].progress = Progress::new(now, record.version);
        }
        match (record.state, record.next) {
            (GroupState::Stable, 0) => self.check_primary(node, epoch, &record),
            (GroupState::Stable, next) => {
                // Running transactions take a random time to end.
                if self.network.random.random_ratio(1, 20) {
                    self.fence(node, epoch, &record, next, record.planned.clone());
                }
            }
            (GroupState::Fencing, _) => self.elect_primary(node, epoch, &record),
            (GroupState::Promoting, _) => self.promote(node, epoch, &record),
        }
    }

    /// Proposes the fencing of the present primary.
    fn fence(
        &mut self,
        node: Node,
        epoch: u64,
        record: &Record,
        next: u64,
        planned: Option<PlannedChange>,
    ) {
        let fenced = Record {
            state: GroupState::Fencing,
            next,
            planned,
            ..record.clone()
        };
        self.propose_record(node, epoch, record.version, fenced);
    }

    /// Fences the primary if it has failed; otherwise checks the members at regular intervals.
    fn check_primary(&mut self, node: Node, epoch: u64, record: &Record) {
        let now = self.network.now;
        let host = &mut self.hosts[node];
        let decide = match self.disabled {
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
        if now >= host.progress.last_request + SWEEP_INTERVAL {
            self.request_statuses(node);
        }
    }

    /// Begins a round of status reads.
    fn request_statuses(&mut self, node: Node) {
        let host = &mut self.hosts[node];
        host.last_round += 1;
        host.progress.round = host.last_round;
        host.progress.last_request = self.network.now;
        host.progress.statuses.clear();
        for member in MEMBER..MEMBER + ZONES {
            let query = Message::StatusRequest(self.hosts[node].last_round);
            self.network.send(node, member, query);
        }
    }

    /// Handles the status of a member.
    pub(crate) fn handle_status(&mut self, node: Node, from: Node, round: u64, status: &Status) {
        let host = &mut self.hosts[node];
        let Some((epoch, _)) = host.leadership.filter(|_| round == host.progress.round) else {
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
            self.propose_record(node, epoch, record.version, changed);
        }
    }

    /// Records that older leases have ended at another control host.
    pub(crate) fn record_leases_ended(&mut self, node: Node, from: Node, version: Version) {
        let progress = &mut self.hosts[node].progress;
        if progress.version == version {
            progress.leases_ended[from] = true;
        }
    }

    /// Chooses the new primary once a majority of control hosts reported the end of older leases.
    fn elect_primary(&mut self, node: Node, epoch: u64, record: &Record) {
        let now = self.network.now;
        let Some(released_at) = self.hosts[node].progress.released_at else {
            let ended = self.older_leases_ended(node, record.version);
            let progress = &mut self.hosts[node].progress;
            progress.leases_ended[node] = ended;
            let count = progress.leases_ended.iter().filter(|ended| **ended).count();
            if count > ZONES / 2 || self.disabled == Some(Mechanism::Release) {
                progress.released_at = Some(now);
                self.audit.released_version = self.audit.released_version.max(record.version);
                return self.request_statuses(node);
            }
            if now >= progress.last_request + LEASE_RETRY_INTERVAL {
                progress.last_request = now;
                for peer in (0..ZONES).filter(|peer| *peer != node) {
                    self.network
                        .send(node, peer, Message::CheckLeases(record.version));
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
        if !enough && statuses.len() < ZONES && now < progress.last_request + READ_TIMEOUT {
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
            failover::choose_primary(record, statuses, &reach).and_then(|choice| {
                match self.disabled {
                    Some(Mechanism::Choice) => worst(),
                    _ => Some(choice),
                }
            });
        let wait = failover::awaits_catch_up(record, statuses, &reach)
            && now < released_at + CATCH_UP_TIMEOUT;
        let highest_term = statuses.iter().map(|s| s.position.term).max();
        let Some(primary) = choice.filter(|_| !wait) else {
            return self.request_statuses(node);
        };
        let floor = match self.disabled {
            Some(Mechanism::Term) => 0,
            _ => highest_term.unwrap_or_default() + 1,
        };
        let chosen = Record {
            state: GroupState::Promoting,
            primary,
            next: record.next.max(floor),
            ..record.clone()
        };
        self.propose_record(node, epoch, record.version, chosen);
    }

    /// Sends the promotion to the chosen primary until it answers or the limit is reached.
    fn promote(&mut self, node: Node, epoch: u64, record: &Record) {
        let now = self.network.now;
        let progress = &mut self.hosts[node].progress;
        if now >= progress.since + PROMOTION_TIMEOUT {
            return self.fence_after_refusal(node, epoch, record);
        }
        if now >= progress.last_request + PROMOTION_RETRY_INTERVAL {
            progress.last_request = now;
            let target = database::node(&record.primary);
            let store = record.member(&record.primary).map(|m| m.store.clone());
            let order = Message::Promote(record.next, store.unwrap_or_default());
            self.network.send(node, target, order);
        }
    }

    /// Returns to fencing with a new term after a promotion that was refused or not answered.
    fn fence_after_refusal(&mut self, node: Node, epoch: u64, record: &Record) {
        let next = match self.disabled {
            Some(Mechanism::Term) => record.next,
            _ => record.next + 1,
        };
        self.fence(node, epoch, record, next, None);
    }

    /// Handles the answer to a promotion.
    pub(crate) fn handle_promoted(&mut self, node: Node, from: Node, term: u64, accepted: bool) {
        let host = &self.hosts[node];
        let record = host.state.records.get(GROUP).cloned();
        let Some(((epoch, _), record)) = host.leadership.zip(record) else {
            return;
        };
        let ordered = record.state == GroupState::Promoting && record.next == term;
        if !ordered || database::node(&record.primary) != from {
            return;
        }
        if !accepted {
            return self.fence_after_refusal(node, epoch, &record);
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
        self.propose_record(node, epoch, record.version, stable);
    }

    /// Announcement of a database.
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
