//! Plays a script against fakes in virtual time, and checks rules that no interleaving may break.
//!
//! The decisions are those of the product (`control` and `route`); network, log, databases and
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
    gateway::Gateway,
    ledger::Ledger,
    network::{ENTRY, MEMBER, NODES, Network, Node, OPERATOR, ZONES},
    operator::Operator,
    reachability::{Cut, cuts},
    script::{Fault, Script, Step, Target},
};

/// The only group.
pub(crate) const GROUP: &str = "group";
/// Connections of a database; the rest of the division by three entry processes is lent.
pub(crate) const CONNECTIONS: u32 = 20;
/// Distance between two rounds of regular work.
const TICK: Duration = Duration::from_millis(10);
/// Pause between two requests of a replica, in ticks.
const PULL: u32 = 2;
/// Pause between two announcements, in ticks.
const ANNOUNCE: u32 = 100;
/// Part of the run at its end in which writes must be acknowledged.
const LATE: Duration = Duration::from_secs(3);

/// A mechanism that can be switched off to show that the rules find its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Confirmation by a second member.
    Confirm,
    /// Write lease, for new writes and acknowledgements.
    Lease,
    /// Check of the lease right before the acknowledgement.
    Recheck,
    /// Choice of the most advanced member.
    Choice,
    /// Wait for the end of older leases before members are read.
    Release,
    /// Wait of a restarted control host before it reports on older leases.
    Restart,
    /// A new term after a promotion that could not be ordered.
    Term,
    /// Check of the store to which an order to become primary goes.
    Store,
    /// Comparison of the version that an operator saw.
    Compare,
    /// One change id for all attempts of a change.
    Ids,
    /// Entry processes ignore an older configuration.
    Versions,
    /// Change of primary only when the new state serves more.
    Serve,
    /// A new leader lends nothing until older loans ended.
    Quiet,
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Rules that were broken.
    pub broken: BTreeSet<String>,
    /// Acknowledged writes.
    pub writes: usize,
    /// Acknowledged writes in the last 3 s.
    pub late: usize,
    /// Terms in which a member was primary.
    pub promotions: usize,
    /// Changes of operators that took effect.
    pub changes: usize,
    /// Changes of primary after which no more entry processes reach the primary than before.
    pub needless: usize,
    /// Time during which an entry process acknowledged no write, summed over all of them.
    pub blocked: Duration,
    /// Faults, records and promotions in their order.
    pub events: Vec<String>,
}

/// Renewal of an entry process.
#[derive(Debug)]
pub(crate) struct Renewal {
    pub(crate) requested: Instant,
    pub(crate) run: u64,
    pub(crate) version: Version,
    pub(crate) announcements: Vec<Announcement>,
    pub(crate) observer: Observer,
    pub(crate) wanted: u32,
}

/// State that a control host has applied.
#[derive(Debug)]
pub(crate) struct News {
    pub(crate) version: Version,
    pub(crate) record: Option<Record>,
    pub(crate) config: (Version, String),
}

#[derive(Debug)]
pub(crate) enum Message {
    Renew(Rc<Renewal>),
    Renewed {
        requested: Instant,
        version: Version,
        granted: bool,
        lent: Option<u32>,
        news: Rc<News>,
    },
    News(Rc<News>),
    Query(u64),
    Status(u64, Box<Status>),
    Write(u64),
    Committed(u64, Box<Status>),
    Confirmed(u64, Term),
    Pull,
    Pulled(Term, Entries),
    Clear(Version),
    Cleared(Version),
    Promote(Term, StoreId),
    Promoted(Term, bool),
    Follow(Node, Term),
    Announce(Box<Announcement>),
    /// Epoch, with the length and the committed part of the log.
    Append(u64, (usize, usize)),
    Appended(u64),
    Propose(Node, Box<Command>),
    Answer(String, Box<Answer>),
}

/// A step with the moments that were drawn for it.
#[derive(Debug)]
struct Planned {
    step: Step,
    from: Instant,
    until: Instant,
    nodes: Option<Vec<Node>>,
}

/// All fakes.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) network: Network<Message>,
    pub(crate) ledger: Ledger,
    pub(crate) hosts: Vec<ControlHost>,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) members: Vec<Database>,
    pub(crate) operators: Vec<Operator>,
    pub(crate) audit: Audit,
    pub(crate) script: Script,
    pub(crate) off: Option<Mechanism>,
    pub(crate) written: u64,
    pub(crate) late: Instant,
    /// Faults that wait for what a process does next, and when they end.
    armed: [Option<(Fault, Instant)>; NODES],
    triggered: Vec<(Instant, Fault, Node)>,
    ticks: u32,
    /// Member that was promoted last.
    serving: Option<Node>,
    cuts: Vec<Cut>,
}

/// Zone of a process.
pub(crate) fn zone(node: Node) -> String {
    format!("zone-{}", node % ZONES)
}

/// Plays a script with a seed, with a mechanism switched off if one is named.
#[must_use]
pub fn play(script: &Script, seed: u64, off: Option<Mechanism>) -> Report {
    let start = Instant::now();
    let mut network = Network::new(start, seed);
    let draw = |step: &Step| {
        let from = start + network.between(step.at, step.at + step.spread);
        let until = from + network.between(step.lasts.0, step.lasts.1);
        Planned {
            step: step.clone(),
            from,
            until,
            nodes: None,
        }
    };
    let mut steps: Vec<_> = script.step.iter().map(draw).collect();
    let end = start + Duration::from_millis(script.ms);
    let mut world = World {
        network,
        ledger: Ledger::new(start),
        hosts: (0..ZONES)
            .map(|_| ControlHost::new(start, (Vec::new(), 0), off))
            .collect(),
        gateways: (0..ZONES).map(|_| Gateway::new(start, 0)).collect(),
        members: (MEMBER..MEMBER + ZONES).map(Database::new).collect(),
        operators: (OPERATOR..NODES).map(|_| Operator::new(start)).collect(),
        audit: Audit::default(),
        script: script.clone(),
        off,
        written: 0,
        late: end.checked_sub(LATE).unwrap_or(end),
        armed: [None; NODES],
        triggered: Vec::new(),
        ticks: 0,
        serving: None,
        cuts: cuts(&script.links, start, seed),
    };
    let mut last = Vec::new();
    while world.network.now < end {
        world.fault(&mut steps, &mut last);
        world.tick();
        let until = world.network.now + TICK;
        while let Some((from, to, message)) = world.network.next(until) {
            world.handle(from, to, message);
        }
        world.check();
    }
    world.finish(seed)
}

impl World {
    /// Begins and ends faults.
    fn fault(&mut self, steps: &mut Vec<Planned>, last: &mut Vec<Node>) {
        let now = self.network.now;
        for planned in steps.iter_mut() {
            if planned.nodes.is_none() && planned.from <= now {
                *last = self.find(planned.step.target, last);
                for node in last.clone() {
                    self.inject(planned.step.fault, node, 1, planned.until);
                }
                planned.nodes = Some(last.clone());
            }
        }
        let (over, left) = std::mem::take(steps)
            .into_iter()
            .partition(|planned: &Planned| planned.nodes.is_some() && planned.until <= now);
        *steps = left;
        for planned in over {
            for node in planned.nodes.into_iter().flatten() {
                self.inject(planned.step.fault, node, -1, planned.until);
            }
        }
        for cut in &mut self.cuts {
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

    fn record(&self) -> Option<&Record> {
        let newest = self.hosts.iter().max_by_key(|host| host.state.applied)?;
        newest.state.records.get(GROUP)
    }

    fn find(&mut self, target: Target, last: &[Node]) -> Vec<Node> {
        let primary = self.record().map_or(MEMBER, |r| database::node(&r.primary));
        let leader = self.ledger.leader;
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

    fn inject(&mut self, fault: Fault, node: Node, by: i8, until: Instant) {
        let what = if by > 0 { "begins" } else { "ends" };
        self.audit
            .note(&format!("{fault:?} of process {node} {what}"));
        match fault {
            Fault::Cut => self.network.cut(node, 0..NODES, (true, true), by),
            Fault::Mute => self.network.cut(node, 0..NODES, (true, false), by),
            Fault::Deaf => self.network.cut(node, 0..NODES, (false, true), by),
            Fault::Part => {
                let others = (0..MEMBER).filter(|other| other % ZONES != node % ZONES);
                self.network.cut(node, others, (true, true), by);
            }
            Fault::Freeze => self.network.freeze(node, by),
            Fault::FreezeConfirmed | Fault::MutePromoted => {
                self.armed[node] = (by > 0).then_some((fault, until));
            }
            Fault::Kill | Fault::Wipe | Fault::Rewind => {
                if self.network.stop(node, by) {
                    self.restart(fault, node);
                }
            }
        }
    }

    /// Begins a fault that waited for what the process has just done.
    pub(crate) fn trigger(&mut self, node: Node) {
        if let Some((fault, until)) = self.armed[node].take() {
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
            let run = self.gateway(node).run + 1;
            *self.gateway(node) = Gateway::new(now, run);
            return;
        }
        let mut saved = std::mem::take(&mut self.hosts[node].saved);
        if fault == Fault::Wipe {
            saved = (Vec::new(), 0);
        }
        if fault != Fault::Kill {
            // The boot number shows the peers that the disk is not the one they know.
            self.ledger.stored[node] = saved.1;
            self.ledger.learner[node] = true;
        }
        self.hosts[node] = ControlHost::new(now, saved, self.off);
    }

    /// Regular work of all processes that run.
    fn tick(&mut self) {
        self.ticks += 1;
        self.audit.at = self.ticks * 10;
        if let Some(leader) = self.ledger.elect(&mut self.network) {
            self.lead(leader);
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

    fn replicate(&mut self, node: Node) {
        let follows = self.members[node - MEMBER].follows;
        if let Some(primary) = follows.filter(|_| self.ticks.is_multiple_of(PULL)) {
            self.network.send(node, primary, Message::Pull);
        }
        if self.ticks.is_multiple_of(ANNOUNCE) {
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
                news,
            } => {
                let gateway = self.gateway(to);
                if granted {
                    let host = format!("control-{from}");
                    gateway.lease.record_grant(&host, requested, version);
                }
                if let Some(lent) = lent {
                    gateway
                        .share
                        .add_permit(lent, requested, permits::PERMIT_DURATION);
                }
                self.learn(to, &news);
            }
            Message::News(news) => self.learn(to, &news),
            Message::Query(round) => {
                let status = Box::new(self.members[to - MEMBER].status());
                self.network.send(to, from, Message::Status(round, status));
            }
            Message::Status(_, status) if to >= ENTRY => self.note_status(to, from, &status),
            Message::Status(round, status) => self.answered(to, from, round, &status),
            Message::Write(id) => {
                let member = &mut self.members[to - MEMBER];
                if member.write(id).is_some() {
                    let committed = Message::Committed(id, Box::new(member.status()));
                    self.network.send(to, from, committed);
                }
            }
            Message::Committed(id, status) => self.committed(to, id, &status),
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
            Message::Clear(version) => {
                if self.clear(to, version) {
                    self.network.send(to, from, Message::Cleared(version));
                }
            }
            Message::Cleared(version) => self.cleared(to, from, version),
            Message::Promote(term, store) => {
                let member = &mut self.members[to - MEMBER];
                // The product reads the store on the connection that carries the order.
                let known = member.store() == store || self.off == Some(Mechanism::Store);
                let obeyed = known && member.promote(term);
                if obeyed {
                    self.compare(to);
                    self.audit.promote(term, &self.members[to - MEMBER]);
                    self.trigger(to);
                }
                self.network.send(to, from, Message::Promoted(term, obeyed));
            }
            Message::Promoted(term, obeyed) => self.promoted(to, from, term, obeyed),
            Message::Follow(primary, term) => self.members[to - MEMBER].follow(primary, term),
            Message::Announce(announcement) => self.gateway(to).heard.push(*announcement),
            Message::Append(epoch, sent) => self.append(to, from, epoch, sent),
            Message::Appended(epoch) => self.appended(to, from, epoch),
            Message::Propose(operator, command) => self.propose(to, operator, command),
            Message::Answer(change, answer) => self.handle_answer(to, &change, &answer),
        }
    }

    /// Notes a change to a member that no more entry processes reach than the primary before it.
    fn compare(&mut self, member: Node) {
        let reach = |m: Node| {
            (ENTRY..MEMBER)
                .filter(|e| self.network.linked(*e, m))
                .count()
        };
        let needless = self
            .serving
            .is_some_and(|old| old != member && reach(old) >= reach(member));
        self.audit.needless += usize::from(needless);
        self.serving = Some(member);
    }

    /// Rules that hold at every moment.
    fn check(&mut self) {
        let now = self.network.now;
        let old = |g: &&Gateway| g.version < self.audit.ended && g.lease.is_valid(g.version, now);
        if self.gateways.iter().any(|gateway| old(&gateway)) {
            self.audit
                .broke("a write lease is older than a fence that ended it");
        }
        let held = self
            .gateways
            .iter()
            .map(|g| g.share.limit(now, Duration::ZERO));
        if held.sum::<u32>() > CONNECTIONS {
            self.audit.broke("more connections lent than there are");
        }
    }

    fn finish(mut self, seed: u64) -> Report {
        let record = self.record().filter(|r| r.state == GroupState::Stable);
        if let Some(primary) = record.map(|record| database::node(&record.primary)) {
            let member = &self.members[primary - MEMBER];
            // A primary that failed at the end may not be replaced yet.
            if member.primary {
                self.audit.survive(member);
            }
        }
        for node in ENTRY..MEMBER {
            self.audit.pause(node);
        }
        Report {
            seed,
            needless: self.audit.needless,
            blocked: Duration::from_millis(self.audit.blocked.into()),
            writes: self.audit.acknowledged.len(),
            late: self.audit.late,
            promotions: self.audit.promotions,
            changes: self.audit.changes,
            broken: self.audit.broken,
            events: self.audit.events,
        }
    }
}
