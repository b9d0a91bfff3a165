//! Fake entry processes, which hold leases, confirm writes, detect failures and share connections
//! by the rules of `route`.

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
    simulation::{CONNECTIONS, Mechanism, Message, Renewal, Simulation, StateUpdate, zone},
};

/// Interval between two lease renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two probes of every member.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(40);

/// An entry process.
#[derive(Debug)]
pub(crate) struct EntryProcess {
    pub(crate) run: u64,
    pub(crate) version: Version,
    pub(crate) record: Option<Record>,
    pub(crate) config: Version,
    pub(crate) lease: WriteLease,
    pub(crate) share: ConnectionShare,
    confirmation: Confirmation,
    detectors: Vec<FailureDetector>,
    /// Last known position of each member, and whether it is the primary.
    last_statuses: BTreeMap<String, (Position, bool)>,
    /// Announcements received since the last renewal.
    pub(crate) announcements: Vec<Announcement>,
    /// Positions of committed writes that are not confirmed.
    pending: BTreeMap<u64, Position>,
    next_renewal: Instant,
    next_probe: Instant,
    next_write: Instant,
}

impl EntryProcess {
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
            last_statuses: BTreeMap::new(),
            announcements: Vec::new(),
            pending: BTreeMap::new(),
            next_renewal: now,
            next_probe: now,
            next_write: now,
        }
    }

    /// Record of a stable group; its primary may be used while the lease is valid for its version.
    fn stable_record(&self) -> Option<&Record> {
        let record = self.record.as_ref();
        record.filter(|record| record.state == GroupState::Stable)
    }

    /// Health of all members as seen by this entry process.
    fn observer(&self, now: Instant, node: Node) -> Observer {
        let sighting = |(i, detector): (usize, &FailureDetector)| {
            let member = database::name(MEMBER + i);
            let (position, primary) = self.last_statuses.get(&member).copied().unwrap_or_default();
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

impl Simulation {
    /// Entry process with a node number.
    pub(crate) fn entry(&mut self, node: Node) -> &mut EntryProcess {
        &mut self.entries[node - ENTRY]
    }

    /// Periodic work of an entry process.
    pub(crate) fn run_entry(&mut self, node: Node) {
        let now = self.network.now;
        let wanted = self.network.random.random_range(0..CONNECTIONS);
        for i in 0..ZONES {
            if self.network.refuses(node, MEMBER + i) {
                self.entry(node).detectors[i].record_refusal();
            }
        }
        if self.entry(node).next_renewal <= now {
            let entry = self.entry(node);
            entry.next_renewal = now + RENEWAL_INTERVAL;
            let renewal = Rc::new(Renewal {
                requested: now,
                run: entry.run,
                version: entry.version,
                announcements: std::mem::take(&mut entry.announcements),
                observer: entry.observer(now, node),
                wanted,
            });
            for host in 0..ZONES {
                let renew = Message::Renew(Rc::clone(&renewal));
                self.network.send(node, host, renew);
            }
        }
        if self.entry(node).next_probe <= now {
            self.entry(node).next_probe = now + PROBE_INTERVAL;
            for member in MEMBER..MEMBER + ZONES {
                self.network.send(node, member, Message::StatusRequest(0));
            }
        }
        let without_lease = self.disabled == Some(Mechanism::Lease);
        let entry = &mut self.entries[node - ENTRY];
        if entry.next_write <= now {
            entry.next_write = now + WRITE_INTERVAL;
            let usable = entry.stable_record().filter(|record| {
                record.next == 0 && (without_lease || entry.lease.is_valid(record.version, now))
            });
            if let Some(record) = usable {
                let primary = database::node(&record.primary);
                self.last_write_id += 1;
                let write = Message::Write(self.last_write_id);
                self.network.send(node, primary, write);
            }
        }
    }

    /// Adopts a newer record and a newer configuration.
    pub(crate) fn apply_update(&mut self, node: Node, update: &StateUpdate) {
        let accepts_older = self.disabled == Some(Mechanism::Versions);
        let entry = &mut self.entries[node - ENTRY];
        if update.config.0 > entry.config || accepts_older {
            if update.config.0 < entry.config {
                self.audit
                    .report_violation("an entry process reverted its configuration");
            }
            entry.config = update.config.0;
            self.audit.check_config(update.config.0, &update.config.1);
        }
        if update.version <= entry.version {
            return;
        }
        entry.version = update.version;
        entry.record.clone_from(&update.record);
        if let Some(record) = &entry.record {
            let recorded = record.members.iter();
            let recorded = recorded.map(|m| (m.member.clone(), m.store.clone()));
            let needed = usize::try_from(record.confirmations).unwrap_or(usize::MAX);
            entry
                .confirmation
                .update_record(record.term, recorded.collect(), needed);
        }
    }

    /// Records the status of a member and confirms the writes that it covers.
    pub(crate) fn record_status(&mut self, node: Node, from: Node, status: &Status) {
        let now = self.network.now;
        let entry = &mut self.entries[node - ENTRY];
        entry.detectors[from - MEMBER].record_answer(now);
        let seen = (status.position, status.primary);
        entry.last_statuses.insert(status.member.clone(), seen);
        entry
            .confirmation
            .update_position(&status.member, &status.store, status.position);
        self.confirm_pending(node);
    }

    /// Records that the primary committed a write.
    pub(crate) fn record_commit(&mut self, node: Node, id: u64, status: &Status) {
        let entry = &mut self.entries[node - ENTRY];
        let term = entry.stable_record().map(|record| record.term);
        if term == Some(status.position.term) {
            entry
                .confirmation
                .update_position(&status.member, &status.store, status.position);
            entry.pending.insert(id, status.position);
            self.confirm_pending(node);
        }
    }

    /// Schedules the acknowledgement of confirmed writes and drops writes of other terms.
    fn confirm_pending(&mut self, node: Node) {
        let unconfirmed = self.disabled == Some(Mechanism::Confirm);
        let entry = &mut self.entries[node - ENTRY];
        let confirmed = entry.confirmation.confirmed();
        let mut ready = Vec::new();
        entry.pending.retain(|id, position| {
            let done =
                unconfirmed || confirmed.is_some_and(|confirmed| confirmed.covers(*position));
            if done {
                ready.push((*id, position.term));
            }
            !done && position.term == entry.confirmation.term()
        });
        for (id, term) in ready {
            let delay = self.network.between(0, 5);
            let confirmed = Message::Confirmed(id, term);
            self.network.send_after(delay, node, node, confirmed);
            self.trigger_pending_fault(node);
        }
    }

    /// Acknowledges a confirmed write if its term is still in force and the lease is valid.
    pub(crate) fn acknowledge(&mut self, node: Node, id: u64, term: Term) {
        let now = self.network.now;
        let unchecked = matches!(self.disabled, Some(Mechanism::Lease | Mechanism::Recheck));
        let entry = &self.entries[node - ENTRY];
        let stable = entry.stable_record().filter(|record| record.term == term);
        if stable.is_some_and(|r| unchecked || entry.lease.is_valid(r.version, now)) {
            self.audit.record_acknowledgement(node, id, term);
            self.audit.final_writes += usize::from(now >= self.final_phase_start);
        }
    }
}
