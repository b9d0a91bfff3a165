//! Runs a script against fakes in virtual time and checks safety rules that must hold in every
//! interleaving.
//!
//! Decisions are made by the product's code (`control` and `route`); network, log, databases and
//! processes are fakes. All random choices come from one seed.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{StoreId, Term, Version};
use control::{
    directory::Announcement,
    machine::{Answer, Command, GroupState, Record},
    permits,
    sighting::Observer,
};
use rand::RngExt as _;
use route::Status;

use crate::{
    audit::Audit,
    control_host::ControlHost,
    database::{self, Database, Entries},
    entry_process::EntryProcess,
    network::{ENTRY, MEMBER, NODES, Network, Node, OPERATOR, ZONES},
    operator::Operator,
    reachability::{Cut, link_cuts},
    replicated_log::ReplicatedLog,
    script::{Fault, Script, Step, Target},
};

/// Name of the only group.
pub(crate) const GROUP: &str = "group";
/// Connections of a database. The remainder of the division by three entry processes is lent.
pub(crate) const CONNECTIONS: u32 = 20;
/// Interval of the periodic work of all processes.
const TICK: Duration = Duration::from_millis(10);
/// Interval at which a replica requests the log of the primary, in ticks.
const PULL_TICKS: u32 = 2;
/// Interval between two announcements of a database, in ticks.
const ANNOUNCE_TICKS: u32 = 100;
/// Length of the final phase of a run, in which some writes must be acknowledged.
const FINAL_PHASE: Duration = Duration::from_secs(3);

/// A mechanism that can be disabled to show that the checks detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Confirmation of a write by a second member before its acknowledgement.
    Confirm,
    /// Write lease required for new writes and acknowledgements.
    Lease,
    /// Lease check immediately before the acknowledgement.
    Recheck,
    /// Choice of the most advanced member as the new primary.
    Choice,
    /// Wait for older leases to end before the status of the members is read.
    Release,
    /// Delay before a restarted control host reports that older leases have ended.
    Restart,
    /// A new term after a failed promotion.
    Term,
    /// Check that a promotion reaches the store that was chosen.
    Store,
    /// Comparison of a change's base version with the present one.
    Compare,
    /// The same change id for all attempts of a change.
    Ids,
    /// Entry processes ignore older configurations.
    Versions,
    /// Change of primary only if more entry processes can reach the new one.
    Serve,
    /// A new leader lends no connections until the permits of its predecessor have ended.
    Quiet,
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Violated safety rules.
    pub violations: BTreeSet<String>,
    /// Number of acknowledged writes.
    pub writes: usize,
    /// Number of writes acknowledged in the last 3 s.
    pub final_writes: usize,
    /// Number of terms in which a member was primary.
    pub promotions: usize,
    /// Number of operators' changes that took effect.
    pub changes: usize,
    /// Changes of primary after which the primary is reachable from no more entry processes than
    /// before.
    pub needless: usize,
    /// Time without acknowledged writes, summed over all entry processes.
    pub blocked: Duration,
    /// Faults, records and promotions in order.
    pub events: Vec<String>,
}

/// Lease renewal request of an entry process.
#[derive(Debug)]
pub(crate) struct Renewal {
    pub(crate) requested: Instant,
    pub(crate) run: u64,
    pub(crate) version: Version,
    pub(crate) announcements: Vec<Announcement>,
    pub(crate) observer: Observer,
    pub(crate) wanted: u32,
}

/// Record and configuration that a control host has applied, as sent to entry processes.
#[derive(Debug)]
pub(crate) struct StateUpdate {
    pub(crate) version: Version,
    pub(crate) record: Option<Record>,
    /// Version and digest of the configuration.
    pub(crate) config: (Version, String),
}

/// Message between two processes.
#[derive(Debug)]
pub(crate) enum Message {
    Renew(Rc<Renewal>),
    Renewed {
        requested: Instant,
        version: Version,
        granted: bool,
        lent: Option<u32>,
        update: Rc<StateUpdate>,
    },
    StateUpdate(Rc<StateUpdate>),
    /// Request for the status of a member; the number of the round is 0 for a probe of an entry
    /// process.
    StatusRequest(u64),
    Status(u64, Box<Status>),
    Write(u64),
    Committed(u64, Box<Status>),
    Confirmed(u64, Term),
    Pull,
    Pulled(Term, Entries),
    /// Asks a control host whether all leases older than the version have ended.
    CheckLeases(Version),
    LeasesEnded(Version),
    Promote(Term, StoreId),
    Promoted(Term, bool),
    Follow(Node, Term),
    Announce(Box<Announcement>),
    /// Epoch, and the length and committed length of the log.
    Append(u64, (usize, usize)),
    Appended(u64),
    Propose(Node, Box<Command>),
    Answer(String, Box<Answer>),
}

/// A step with its randomly chosen start and end.
#[derive(Debug)]
struct ScheduledStep {
    step: Step,
    from: Instant,
    until: Instant,
    /// Affected processes, once the step has begun.
    nodes: Option<Vec<Node>>,
}

/// State of all fakes during a run.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) network: Network<Message>,
    pub(crate) log: ReplicatedLog,
    pub(crate) hosts: Vec<ControlHost>,
    pub(crate) entries: Vec<EntryProcess>,
    pub(crate) members: Vec<Database>,
    pub(crate) operators: Vec<Operator>,
    pub(crate) audit: Audit,
    pub(crate) script: Script,
    pub(crate) disabled: Option<Mechanism>,
    pub(crate) last_write_id: u64,
    pub(crate) final_phase_start: Instant,
    /// Faults that begin with a certain action of a process, and when they end.
    pending_faults: [Option<(Fault, Instant)>; NODES],
    /// Pending faults that have begun, with the time at which they end.
    triggered: Vec<(Instant, Fault, Node)>,
    ticks: u32,
    /// Member that was promoted most recently.
    last_promoted: Option<Node>,
    link_cuts: Vec<Cut>,
}

/// Name of the zone of a process.
pub(crate) fn zone(node: Node) -> String {
    format!("zone-{}", node % ZONES)
}

/// Runs a script with a seed, optionally with one mechanism disabled.
#[must_use]
pub fn simulate(script: &Script, seed: u64, disabled: Option<Mechanism>) -> Report {
    let start = Instant::now();
    let mut network = Network::new(start, seed);
    let draw = |step: &Step| {
        let from = start + network.between(step.at, step.at + step.spread);
        let until = from + network.between(step.lasts.0, step.lasts.1);
        ScheduledStep {
            step: step.clone(),
            from,
            until,
            nodes: None,
        }
    };
    let mut steps: Vec<_> = script.step.iter().map(draw).collect();
    let end = start + Duration::from_millis(script.ms);
    let mut simulation = Simulation {
        network,
        log: ReplicatedLog::new(start),
        hosts: (0..ZONES)
            .map(|_| ControlHost::new(start, (Vec::new(), 0), disabled))
            .collect(),
        entries: (0..ZONES).map(|_| EntryProcess::new(start, 0)).collect(),
        members: (MEMBER..MEMBER + ZONES).map(Database::new).collect(),
        operators: (OPERATOR..NODES).map(|_| Operator::new(start)).collect(),
        audit: Audit::default(),
        script: script.clone(),
        disabled,
        last_write_id: 0,
        final_phase_start: end.checked_sub(FINAL_PHASE).unwrap_or(end),
        pending_faults: [None; NODES],
        triggered: Vec::new(),
        ticks: 0,
        last_promoted: None,
        link_cuts: link_cuts(&script.links, start, seed),
    };
    let mut last = Vec::new();
    while simulation.network.now < end {
        simulation.update_faults(&mut steps, &mut last);
        simulation.tick();
        let until = simulation.network.now + TICK;
        while let Some((from, to, message)) = simulation.network.next(until) {
            simulation.handle(from, to, message);
        }
        simulation.check_invariants();
    }
    simulation.finish(seed)
}

impl Simulation {
    /// Begins and ends the faults that are due.
    fn update_faults(&mut self, steps: &mut Vec<ScheduledStep>, last: &mut Vec<Node>) {
        let now = self.network.now;
        for planned in steps.iter_mut() {
            if planned.nodes.is_none() && planned.from <= now {
                *last = self.resolve_target(planned.step.target, last);
                for node in last.clone() {
                    self.inject(planned.step.fault, node, 1, planned.until);
                }
                planned.nodes = Some(last.clone());
            }
        }
        let (over, left) = std::mem::take(steps)
            .into_iter()
            .partition(|planned: &ScheduledStep| planned.nodes.is_some() && planned.until <= now);
        *steps = left;
        for planned in over {
            for node in planned.nodes.into_iter().flatten() {
                self.inject(planned.step.fault, node, -1, planned.until);
            }
        }
        for cut in &mut self.link_cuts {
            let active = cut.from <= now && now < cut.until;
            if active != cut.active {
                cut.active = active;
                self.network
                    .unlink(cut.sender, cut.receiver, if active { 1 } else { -1 });
            }
        }
        let over: Vec<_> = self.triggered.extract_if(.., |s| s.0 <= now).collect();
        for (until, fault, node) in over {
            self.inject(fault, node, -1, until);
        }
    }

    /// Group record of the control host that has applied the most commands.
    fn record(&self) -> Option<&Record> {
        let newest = self.hosts.iter().max_by_key(|host| host.state.applied)?;
        newest.state.records.get(GROUP)
    }

    fn resolve_target(&mut self, target: Target, last: &[Node]) -> Vec<Node> {
        let primary = self.record().map_or(MEMBER, |r| database::node(&r.primary));
        let leader = self.log.leader;
        let any = self.network.random.random_range(0..ZONES);
        let other = self.network.random.random_range(1..ZONES);
        match target {
            Target::Primary => vec![primary],
            Target::Replica => vec![MEMBER + (primary - MEMBER + other) % ZONES],
            Target::Leader => vec![leader],
            Target::Control => vec![(leader + other) % ZONES],
            Target::Others => (0..ZONES).filter(|node| *node != leader).collect(),
            Target::Entry => vec![ENTRY + any],
            Target::Zone => (0..OPERATOR)
                .filter(|n| n % ZONES == primary % ZONES)
                .collect(),
            Target::Last => last.to_vec(),
        }
    }

    /// Begins (`1`) or ends (`-1`) a fault of a process.
    fn inject(&mut self, fault: Fault, node: Node, delta: i8, until: Instant) {
        let what = if delta > 0 { "begins" } else { "ends" };
        self.audit
            .log_event(&format!("{fault:?} of process {node} {what}"));
        match fault {
            Fault::Cut => self.network.cut(node, 0..NODES, (true, true), delta),
            Fault::Mute => self.network.cut(node, 0..NODES, (true, false), delta),
            Fault::Deaf => self.network.cut(node, 0..NODES, (false, true), delta),
            Fault::Part => {
                let others = (0..MEMBER).filter(|other| other % ZONES != node % ZONES);
                self.network.cut(node, others, (true, true), delta);
            }
            Fault::Freeze => self.network.freeze(node, delta),
            Fault::FreezeConfirmed | Fault::MutePromoted => {
                self.pending_faults[node] = (delta > 0).then_some((fault, until));
            }
            Fault::Kill | Fault::Wipe | Fault::Rewind => {
                if self.network.stop(node, delta) {
                    self.restart(fault, node);
                }
            }
        }
    }

    /// Begins the pending fault of a process that has just done the action it waits for.
    pub(crate) fn trigger_pending_fault(&mut self, node: Node) {
        if let Some((fault, until)) = self.pending_faults[node].take() {
            let fault = match fault {
                Fault::FreezeConfirmed => Fault::Freeze,
                _ => Fault::Mute,
            };
            self.inject(fault, node, 1, until);
            self.triggered.push((until, fault, node));
        }
    }

    fn restart(&mut self, fault: Fault, node: Node) {
        let now = self.network.now;
        if node >= MEMBER {
            return self.members[node - MEMBER].restart(fault == Fault::Wipe);
        }
        if node >= ENTRY {
            let run = self.entry(node).run + 1;
            *self.entry(node) = EntryProcess::new(now, run);
            return;
        }
        let mut snapshot = std::mem::take(&mut self.hosts[node].snapshot);
        if fault == Fault::Wipe {
            snapshot = (Vec::new(), 0);
        }
        if fault != Fault::Kill {
            // The boot number tells the peers that the host may have lost stored commands.
            self.log.stored[node] = snapshot.1;
            self.log.learner[node] = true;
        }
        self.hosts[node] = ControlHost::new(now, snapshot, self.disabled);
    }

    /// Periodic work of all running processes.
    fn tick(&mut self) {
        self.ticks += 1;
        self.audit.now_ms = self.ticks * 10;
        if let Some(leader) = self.log.elect(&mut self.network) {
            self.become_leader(leader);
        }
        for node in 0..NODES {
            if !self.network.runs(node) {
                continue;
            }
            match node {
                0..ENTRY => self.run_control(node),
                ENTRY..MEMBER => self.run_entry(node),
                MEMBER..OPERATOR => self.replicate(node),
                _ => self.run_operator(node),
            }
        }
    }

    /// Periodic work of a database: requests the log of the primary and announces itself.
    fn replicate(&mut self, node: Node) {
        let follows = self.members[node - MEMBER].follows;
        if let Some(primary) = follows.filter(|_| self.ticks.is_multiple_of(PULL_TICKS)) {
            self.network.send(node, primary, Message::Pull);
        }
        if self.ticks.is_multiple_of(ANNOUNCE_TICKS) {
            let entry = self.network.random.random_range(ENTRY..MEMBER);
            let announce = Message::Announce(Box::new(self.announcement(node)));
            self.network.send(node, entry, announce);
        }
    }

    fn handle(&mut self, from: Node, to: Node, message: Message) {
        match message {
            Message::Renew(renewal) => self.renew(to, from, &renewal),
            Message::Renewed {
                requested,
                version,
                granted,
                lent,
                update,
            } => {
                let entry = self.entry(to);
                if granted {
                    let host = format!("control-{from}");
                    entry.lease.record_grant(&host, requested, version);
                }
                if let Some(lent) = lent {
                    entry
                        .share
                        .add_permit(lent, requested, permits::PERMIT_DURATION);
                }
                self.apply_update(to, &update);
            }
            Message::StateUpdate(update) => self.apply_update(to, &update),
            Message::StatusRequest(round) => {
                let status = Box::new(self.members[to - MEMBER].status());
                self.network.send(to, from, Message::Status(round, status));
            }
            Message::Status(_, status) if to >= ENTRY => self.record_status(to, from, &status),
            Message::Status(round, status) => self.handle_status(to, from, round, &status),
            Message::Write(id) => {
                let member = &mut self.members[to - MEMBER];
                if member.write(id).is_some() {
                    let committed = Message::Committed(id, Box::new(member.status()));
                    self.network.send(to, from, committed);
                }
            }
            Message::Committed(id, status) => self.record_commit(to, id, &status),
            Message::Confirmed(id, term) => self.acknowledge(to, id, term),
            Message::Pull => {
                let member = &self.members[to - MEMBER];
                if member.primary {
                    let log = Rc::clone(&member.log);
                    let pulled = Message::Pulled(member.position().term, log);
                    let delay = self.network.between(0, 10 + self.script.lag);
                    self.network.send_after(delay, to, from, pulled);
                }
            }
            Message::Pulled(term, log) => self.members[to - MEMBER].receive(from, term, log),
            Message::CheckLeases(version) => {
                if self.older_leases_ended(to, version) {
                    self.network.send(to, from, Message::LeasesEnded(version));
                }
            }
            Message::LeasesEnded(version) => self.record_leases_ended(to, from, version),
            Message::Promote(term, store) => {
                let member = &mut self.members[to - MEMBER];
                // The product reads the store id on the connection that carries the promotion.
                let known = member.store() == store || self.disabled == Some(Mechanism::Store);
                let accepted = known && member.promote(term);
                if accepted {
                    self.count_needless_change(to);
                    self.audit
                        .record_promotion(term, &self.members[to - MEMBER]);
                    self.trigger_pending_fault(to);
                }
                self.network
                    .send(to, from, Message::Promoted(term, accepted));
            }
            Message::Promoted(term, accepted) => self.handle_promoted(to, from, term, accepted),
            Message::Follow(primary, term) => self.members[to - MEMBER].follow(primary, term),
            Message::Announce(announcement) => self.entry(to).announcements.push(*announcement),
            Message::Append(epoch, sent) => self.append(to, from, epoch, sent),
            Message::Appended(epoch) => self.record_append_reply(to, from, epoch),
            Message::Propose(operator, command) => self.propose(to, operator, command),
            Message::Answer(change, answer) => self.handle_answer(to, &change, &answer),
        }
    }

    /// Counts a change of primary if the new primary is reachable from no more entry processes than
    /// the old one.
    fn count_needless_change(&mut self, member: Node) {
        let reach = |m: Node| {
            (ENTRY..MEMBER)
                .filter(|e| self.network.linked(*e, m))
                .count()
        };
        let needless = self
            .last_promoted
            .is_some_and(|old| old != member && reach(old) >= reach(member));
        self.audit.needless += usize::from(needless);
        self.last_promoted = Some(member);
    }

    /// Checks the rules that hold at all times.
    fn check_invariants(&mut self) {
        let now = self.network.now;
        let has_outdated_lease = |e: &&EntryProcess| {
            e.version < self.audit.released_version && e.lease.is_valid(e.version, now)
        };
        if self.entries.iter().any(|entry| has_outdated_lease(&entry)) {
            self.audit
                .report_violation("a write lease is older than a fence that ended it");
        }
        let limits = self
            .entries
            .iter()
            .map(|e| e.share.limit(now, Duration::ZERO));
        if limits.sum::<u32>() > CONNECTIONS {
            self.audit
                .report_violation("more connections lent than there are");
        }
    }

    fn finish(mut self, seed: u64) -> Report {
        let record = self.record().filter(|r| r.state == GroupState::Stable);
        if let Some(primary) = record.map(|record| database::node(&record.primary)) {
            let member = &self.members[primary - MEMBER];
            // A primary that failed shortly before the end may not have been replaced yet.
            if member.primary {
                self.audit.check_acknowledged_writes(member);
            }
        }
        for node in ENTRY..MEMBER {
            self.audit.end_pause(node);
        }
        Report {
            seed,
            needless: self.audit.needless,
            blocked: Duration::from_millis(self.audit.blocked.into()),
            writes: self.audit.acknowledged.len(),
            final_writes: self.audit.final_writes,
            promotions: self.audit.promotions,
            changes: self.audit.changes,
            violations: self.audit.violations,
            events: self.audit.events,
        }
    }
}
