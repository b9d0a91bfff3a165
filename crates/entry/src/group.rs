//! State of a database group: its record, confirmed positions, and the requests that wait for them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Instant,
};

use base::{GroupName, MemberName, Position, StoreId, Term, Version, document::Service};
use event_listener::{Event, EventListener};
use futures_channel::oneshot;
use route::{AckBounds, Confirmation, Location, PositionSamples, Status};

/// Phase of a group in the records of the control hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The primary is in force.
    Stable,
    /// The primary is in force and a planned change of primary is pending: requests in progress may
    /// finish, and no new ones start.
    Draining,
    /// The term is being ended.
    Fencing,
    /// A primary of the next term is being appointed.
    Promoting,
}

/// A member in a group record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name of the member.
    pub member: MemberName,
    /// Random id of its data directory.
    pub store: StoreId,
    /// Address at the time of the record.
    pub address: String,
    /// Zone and region of its host.
    pub place: Location,
}

/// Group record of the control hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Name of the group.
    pub group: GroupName,
    /// Term in force, or the term that is being ended.
    pub term: Term,
    /// Phase, which tells whether the term is in force.
    pub phase: Phase,
    /// Primary of the term, or the member that is being appointed.
    pub primary: MemberName,
    /// Members and their stores.
    pub members: Vec<MemberRecord>,
    /// Log index of the last change.
    pub version: Version,
}

impl Record {
    /// Recorded store id of a member.
    #[must_use]
    pub fn store(&self, member: &str) -> Option<&StoreId> {
        self.members
            .iter()
            .find(|known| known.member == member)
            .map(|known| &known.store)
    }
}

/// Members that a waiting request wants to be probed without delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeTarget {
    /// The primary, for a read barrier.
    Primary,
    /// The replicas, for the confirmation of a write or a sufficiently fresh read.
    Replicas,
    /// All members, while no primary is in force.
    All,
}

/// Guard of a waiting request: members are probed without delay until it is dropped.
#[derive(Debug)]
pub struct ProbeRequest {
    group: Rc<Group>,
    target: ProbeTarget,
}

impl Drop for ProbeRequest {
    fn drop(&mut self) {
        self.group.count_request(self.target, -1);
    }
}

/// A database group.
#[derive(Debug)]
pub struct Group {
    /// Name of the group.
    pub name: GroupName,
    /// Latest record; `None` before the first one arrives.
    pub record: RefCell<Option<Rc<Record>>>,
    /// Samples of the primary's position, which give the age of replicas.
    pub samples: RefCell<PositionSamples>,
    /// Last use by a caller.
    pub last_used: Cell<Option<Instant>>,
    /// When the first write after the last confirmation had to wait for a primary.
    pub gap_start: Cell<Option<Instant>>,
    acks: Cell<Option<(AckBounds, Instant)>>,
    has_unknown_acks: Cell<bool>,
    confirmation: RefCell<Confirmation>,
    required: Cell<usize>,
    waiting: RefCell<BTreeMap<u64, Vec<oneshot::Sender<()>>>>,
    barrier: Cell<Option<(Instant, Position)>>,
    probe_requests: (Cell<i64>, Cell<i64>),
    changed: Event,
    probe_requested: Event,
}

impl Group {
    /// Creates a group without a record, whose writes `required` members must hold.
    #[must_use]
    pub fn new(name: &str, required: u32) -> Rc<Self> {
        Rc::new(Self {
            name: name.to_owned(),
            record: RefCell::default(),
            samples: RefCell::default(),
            last_used: Cell::default(),
            gap_start: Cell::default(),
            acks: Cell::default(),
            has_unknown_acks: Cell::default(),
            confirmation: RefCell::new(Confirmation::new(0, Vec::new(), required as usize)),
            required: Cell::new(required as usize),
            waiting: RefCell::default(),
            barrier: Cell::default(),
            probe_requests: (Cell::new(0), Cell::new(0)),
            changed: Event::new(),
            probe_requested: Event::new(),
        })
    }

    /// Sets the number of members that must hold a write.
    pub fn configure(&self, required: u32) {
        if self.required.replace(required as usize) != required as usize {
            self.apply_current_record();
        }
    }

    /// Applies a record if it is newer than the known one. Returns whether it is.
    pub fn apply(&self, record: Record) -> bool {
        let newer = self
            .record
            .borrow()
            .as_ref()
            .is_none_or(|known| known.version < record.version);
        if newer {
            *self.record.borrow_mut() = Some(Rc::new(record));
            self.apply_current_record();
        }
        newer
    }

    fn apply_current_record(&self) {
        let Some(record) = self.current() else { return };
        let pairs = record
            .members
            .iter()
            .map(|known| (known.member.clone(), known.store.clone()))
            .collect();
        let term = self.confirmation.borrow().term();
        self.confirmation
            .borrow_mut()
            .update_record(record.term, pairs, self.required.get());
        if term != record.term || self.in_force().is_none() {
            // The waiting writes see from the dropped senders that their term has ended.
            self.waiting.borrow_mut().clear();
            self.barrier.set(None);
        }
        self.wake_confirmed();
        self.probe_requested.notify(usize::MAX);
        self.notify();
    }

    /// Latest record.
    #[must_use]
    pub fn current(&self) -> Option<Rc<Record>> {
        self.record.borrow().clone()
    }

    /// Latest record if its term is in force, which includes the time before a planned change.
    #[must_use]
    pub fn in_force(&self) -> Option<Rc<Record>> {
        self.current()
            .filter(|record| matches!(record.phase, Phase::Stable | Phase::Draining))
    }

    /// Latest record if new requests may go to its primary.
    #[must_use]
    pub fn stable(&self) -> Option<Rc<Record>> {
        self.current()
            .filter(|record| record.phase == Phase::Stable)
    }

    /// Records the answer to a probe that was sent at `sent` by [`base::clock`].
    pub fn record_status(&self, status: &Status, sent: Instant) {
        self.confirmation.borrow_mut().update_position(
            &status.member,
            &status.store,
            status.position,
        );
        if let Some(record) = self.in_force()
            && status.primary
            && status.member == record.primary
            && status.position.term == record.term
            && record.store(&status.member) == Some(&status.store)
        {
            self.samples.borrow_mut().add(sent, status.position);
            if self.barrier.get().is_none_or(|(last, _)| last < sent) {
                self.barrier.set(Some((sent, status.position)));
            }
        }
        self.wake_confirmed();
        self.notify();
    }

    /// Records a position that the primary reported on a data connection. Ignored unless the term of
    /// the position is in force.
    pub fn record_primary_position(&self, position: Position) {
        let Some(record) = self
            .in_force()
            .filter(|record| record.term == position.term)
        else {
            return;
        };
        if let Some(store) = record.store(&record.primary) {
            self.confirmation
                .borrow_mut()
                .update_position(&record.primary, store, position);
            self.wake_confirmed();
        }
    }

    /// Records that a write is acknowledged. Call it before the caller gets the answer, and without
    /// waiting after the term was verified, so that a report of the end of the term includes it.
    pub fn record_acks(&self, now: Instant, bounds: AckBounds) {
        let (known, grown_at) = self.acks.get().unwrap_or((bounds, now));
        let merged = known.merge(bounds);
        let grown_at = if merged.least() > known.least() {
            now
        } else {
            grown_at
        };
        self.acks.set(Some((merged, grown_at)));
    }

    /// Records that a write is acknowledged whose position is not known.
    pub fn record_unknown_ack(&self) {
        self.has_unknown_acks.set(true);
    }

    /// Whether a write was acknowledged whose position is not known.
    #[must_use]
    pub const fn has_unknown_acks(&self) -> bool {
        self.has_unknown_acks.get()
    }

    /// How far writes were acknowledged, and when the lower bound last grew; `None` before the first
    /// write.
    #[must_use]
    pub const fn acks(&self) -> Option<(AckBounds, Instant)> {
        self.acks.get()
    }

    /// Whether enough members hold `position`.
    #[must_use]
    pub fn is_confirmed(&self, position: Position) -> bool {
        self.confirmed()
            .is_some_and(|held| held.term == position.term && held.offset >= position.offset)
    }

    /// Highest position that enough members hold in the term of the latest record.
    #[must_use]
    pub fn confirmed(&self) -> Option<Position> {
        self.confirmation.borrow().confirmed()
    }

    /// Position of the primary, if it was requested at or after `since`.
    #[must_use]
    pub fn barrier(&self, since: Instant) -> Option<Position> {
        self.barrier
            .get()
            .filter(|(sent, _)| *sent >= since)
            .map(|(_, position)| position)
    }

    /// Returns a channel that resolves when `offset` is confirmed in the current term, and fails when
    /// the term ends.
    pub fn wait_confirmed(&self, offset: u64) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.waiting
            .borrow_mut()
            .entry(offset)
            .or_default()
            .push(sender);
        receiver
    }

    /// Wakes exactly those writes whose position is confirmed.
    fn wake_confirmed(&self) {
        let Some(held) = self.confirmed() else { return };
        let mut waiting = self.waiting.borrow_mut();
        while let Some(first) = waiting.first_entry()
            && *first.key() <= held.offset
        {
            for sender in first.remove() {
                let _receiver_gave_up = sender.send(());
            }
        }
    }

    /// Removes waiting writes that gave up.
    pub fn prune(&self) {
        self.waiting.borrow_mut().retain(|_, senders| {
            senders.retain(|sender| !sender.is_canceled());
            !senders.is_empty()
        });
    }

    /// Number of writes that wait for a confirmation.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.waiting.borrow().values().map(Vec::len).sum()
    }

    /// Requests that members are probed without delay until the returned guard is dropped.
    #[must_use]
    pub fn request_probes(self: &Rc<Self>, target: ProbeTarget) -> ProbeRequest {
        self.count_request(target, 1);
        self.probe_requested.notify(usize::MAX);
        ProbeRequest {
            group: Rc::clone(self),
            target,
        }
    }

    fn count_request(&self, target: ProbeTarget, by: i64) {
        if target != ProbeTarget::Replicas {
            self.probe_requests.0.update(|count| count + by);
        }
        if target != ProbeTarget::Primary {
            self.probe_requests.1.update(|count| count + by);
        }
    }

    /// Whether any request waits for the status of the primary, or of a replica if `primary` is
    /// false.
    #[must_use]
    pub fn wants_probe(&self, primary: bool) -> bool {
        let requests = if primary {
            &self.probe_requests.0
        } else {
            &self.probe_requests.1
        };
        requests.get() > 0
    }

    /// Whether any request waits for the status of a member.
    #[must_use]
    pub fn has_waiters(&self) -> bool {
        self.wants_probe(true) || self.wants_probe(false)
    }

    /// Listens for the next change of the record, a status or the write lease.
    #[must_use]
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Listens for the next request for a probe without delay.
    #[must_use]
    pub fn listen_probe_requests(&self) -> EventListener {
        self.probe_requested.listen()
    }

    /// Wakes all listeners for changes.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }
}

/// Number of members that must hold a write before this process acknowledges it.
pub(crate) const fn confirmations(service: &Service) -> u32 {
    // A synchronous primary answers only when `confirmations` members hold the write.
    if service.synchronous {
        1
    } else {
        service.confirmations
    }
}
