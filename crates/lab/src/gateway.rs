//! Fake entry processes: lease, confirmation, detection and shares by the rules of `route`.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Position, Term, Version};
use control::{
    directory::Announcement,
    machine::{GroupState, Record},
    sighting::{self, Observer, Sighting},
};
use rand::RngExt as _;
use route::Status;
use route::{Confirmation, ConnectionShare, FailureDetector, Health, WriteLease};

use crate::{
    database,
    network::{ENTRY, MEMBER, Node, ZONES},
    world::{CONNECTIONS, Mechanism, Message, News, Renewal, World, zone},
};

const RENEWAL: Duration = Duration::from_millis(300);
const PROBE: Duration = Duration::from_millis(50);
const WRITE: Duration = Duration::from_millis(40);

/// An entry process.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) run: u64,
    pub(crate) version: Version,
    pub(crate) record: Option<Record>,
    pub(crate) config: Version,
    pub(crate) lease: WriteLease,
    pub(crate) share: ConnectionShare,
    confirmation: Confirmation,
    detectors: Vec<FailureDetector>,
    seen: BTreeMap<String, (Position, bool)>,
    pub(crate) heard: Vec<Announcement>,
    pending: BTreeMap<u64, Position>,
    renews: Instant,
    probes: Instant,
    writes: Instant,
}

impl Gateway {
    pub(crate) fn new(now: Instant, run: u64) -> Self {
        Self {
            run,
            version: 0,
            record: None,
            config: 0,
            lease: WriteLease::new(ZONES),
            share: ConnectionShare::new(CONNECTIONS, 3),
            confirmation: Confirmation::new(0, Vec::new(), 2),
            detectors: vec![FailureDetector::new(now); ZONES],
            seen: BTreeMap::new(),
            heard: Vec::new(),
            pending: BTreeMap::new(),
            renews: now,
            probes: now,
            writes: now,
        }
    }

    /// Record whose primary may be used, once the lease knows it.
    fn stable(&self) -> Option<&Record> {
        let record = self.record.as_ref();
        record.filter(|record| record.state == GroupState::Stable)
    }

    fn observer(&self, now: Instant, node: Node) -> Observer {
        let sighting = |(i, detector): (usize, &FailureDetector)| {
            let member = database::name(MEMBER + i);
            let (position, primary) = self.seen.get(&member).copied().unwrap_or_default();
            let health = match detector.health(now) {
                Health::Ok => sighting::Health::Ok,
                Health::Refused => sighting::Health::Refused,
                Health::Silent => sighting::Health::Silent,
            };
            let since = detector.since_last_answer(now);
            (
                member,
                Sighting {
                    health,
                    since,
                    position,
                    primary,
                },
            )
        };
        Observer {
            zone: zone(node),
            reported_at: now,
            stopping: false,
            members: self.detectors.iter().enumerate().map(sighting).collect(),
        }
    }
}

impl World {
    pub(crate) fn gateway(&mut self, node: Node) -> &mut Gateway {
        &mut self.gateways[node - ENTRY]
    }

    /// Regular work of an entry process.
    pub(crate) fn run_entry(&mut self, node: Node) {
        let now = self.network.now;
        let wanted = self.network.random.random_range(0..CONNECTIONS);
        for i in 0..ZONES {
            if self.network.refuses(node, MEMBER + i) {
                self.gateway(node).detectors[i].record_refusal();
            }
        }
        if self.gateway(node).renews <= now {
            let gateway = self.gateway(node);
            gateway.renews = now + RENEWAL;
            let renewal = Rc::new(Renewal {
                requested: now,
                run: gateway.run,
                version: gateway.version,
                announcements: std::mem::take(&mut gateway.heard),
                observer: gateway.observer(now, node),
                wanted,
            });
            for host in 0..ZONES {
                let renew = Message::Renew(Rc::clone(&renewal));
                self.network.send(node, host, renew);
            }
        }
        if self.gateway(node).probes <= now {
            self.gateway(node).probes = now + PROBE;
            for member in MEMBER..MEMBER + ZONES {
                self.network.send(node, member, Message::Query(0));
            }
        }
        let free = self.off == Some(Mechanism::Lease);
        let gateway = &mut self.gateways[node - ENTRY];
        if gateway.writes <= now {
            gateway.writes = now + WRITE;
            let usable = gateway.stable().filter(|record| {
                record.next == 0 && (free || gateway.lease.is_valid(record.version, now))
            });
            if let Some(record) = usable {
                let primary = database::node(&record.primary);
                self.written += 1;
                let write = Message::Write(self.written);
                self.network.send(node, primary, write);
            }
        }
    }

    /// Takes over newer records and the configuration.
    pub(crate) fn learn(&mut self, node: Node, news: &News) {
        let any = self.off == Some(Mechanism::Versions);
        let gateway = &mut self.gateways[node - ENTRY];
        if news.config.0 > gateway.config || any {
            if news.config.0 < gateway.config {
                self.audit
                    .broke("an entry process reverted its configuration");
            }
            gateway.config = news.config.0;
            self.audit.config(news.config.0, &news.config.1);
        }
        if news.version <= gateway.version {
            return;
        }
        gateway.version = news.version;
        gateway.record.clone_from(&news.record);
        if let Some(record) = &gateway.record {
            let recorded = record.members.iter();
            let recorded = recorded.map(|m| (m.member.clone(), m.store.clone()));
            let needed = usize::try_from(record.confirmations).unwrap_or(usize::MAX);
            gateway
                .confirmation
                .update_record(record.term, recorded.collect(), needed);
        }
    }

    /// Notes the status of a member and the writes that it confirms.
    pub(crate) fn note_status(&mut self, node: Node, from: Node, status: &Status) {
        let now = self.network.now;
        let gateway = &mut self.gateways[node - ENTRY];
        gateway.detectors[from - MEMBER].record_answer(now);
        let seen = (status.position, status.primary);
        gateway.seen.insert(status.member.clone(), seen);
        gateway
            .confirmation
            .update_position(&status.member, &status.store, status.position);
        self.confirm(node);
    }

    /// The primary committed a write.
    pub(crate) fn committed(&mut self, node: Node, id: u64, status: &Status) {
        let gateway = &mut self.gateways[node - ENTRY];
        let term = gateway.stable().map(|record| record.term);
        if term == Some(status.position.term) {
            gateway
                .confirmation
                .update_position(&status.member, &status.store, status.position);
            gateway.pending.insert(id, status.position);
            self.confirm(node);
        }
    }

    fn confirm(&mut self, node: Node) {
        let all = self.off == Some(Mechanism::Confirm);
        let gateway = &mut self.gateways[node - ENTRY];
        let top = gateway.confirmation.confirmed();
        let mut ready = Vec::new();
        gateway.pending.retain(|id, position| {
            let done = all || top.is_some_and(|top| top.covers(*position));
            if done {
                ready.push((*id, position.term));
            }
            !done && position.term == gateway.confirmation.term()
        });
        for (id, term) in ready {
            let delay = self.network.between(0, 5);
            let confirmed = Message::Confirmed(id, term);
            self.network.send_after(delay, node, node, confirmed);
            self.trigger(node);
        }
    }

    /// Acknowledges a confirmed write when its term is still in force.
    pub(crate) fn acknowledge(&mut self, node: Node, id: u64, term: Term) {
        let now = self.network.now;
        let unchecked = matches!(self.off, Some(Mechanism::Lease | Mechanism::Recheck));
        let gateway = &self.gateways[node - ENTRY];
        let stable = gateway.stable().filter(|record| record.term == term);
        if stable.is_some_and(|r| unchecked || gateway.lease.is_valid(r.version, now)) {
            self.audit.acknowledge(node, id, term);
            self.audit.late += usize::from(now >= self.late);
        }
    }
}
