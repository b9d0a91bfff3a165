//! What this process knows about one database group, and who waits for a change of it.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Instant,
};

use base::{GroupName, MemberName, Position, StoreId, Term, Version};
use event_listener::{Event, EventListener};
use futures_channel::oneshot;
use route::{Confirmation, Location, PositionSamples, Status};

/// State of a group in the records of the control hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The primary is in force.
    Stable,
    /// The primary is in force and a planned change of it is coming: what runs may end, and
    /// nothing new starts.
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
    /// Address when the record was made.
    pub address: String,
    /// Where it stands.
    pub place: Location,
}

/// Group record of the control hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Name of the group.
    pub group: GroupName,
    /// Term in force, or the term that is being ended.
    pub term: Term,
    /// Whether the term is in force.
    pub phase: Phase,
    /// Primary of the term, or the member that is being appointed.
    pub primary: MemberName,
    /// Members with their stores.
    pub members: Vec<MemberRecord>,
    /// Log index of the last change.
    pub version: Version,
}

impl Record {
    /// Store id of a member as recorded.
    #[must_use]
    pub fn store(&self, member: &str) -> Option<&StoreId> {
        self.members
            .iter()
            .find(|known| known.member == member)
            .map(|known| &known.store)
    }
}

/// Which members a wait wants to hear from at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeTarget {
    /// The primary, for a barrier.
    Primary,
    /// The replicas, for a confirmation or a freshness.
    Replicas,
    /// All of them, while no primary is in force.
    All,
}

/// A wait that makes the members be probed at once until it is dropped.
#[derive(Debug)]
pub struct ProbeRequest {
    group: Rc<Group>,
    wanted: ProbeTarget,
}

impl Drop for ProbeRequest {
    fn drop(&mut self) {
        self.group.count(self.wanted, -1);
    }
}

/// One database group.
#[derive(Debug)]
pub struct Group {
    /// Name of the group.
    pub name: GroupName,
    /// Record in force; `None` before the first one arrives.
    pub record: RefCell<Option<Rc<Record>>>,
    /// Samples of the primary's position.
    pub samples: RefCell<PositionSamples>,
    /// Last use by a caller.
    pub last_used: Cell<Option<Instant>>,
    /// When the first write had to wait for a primary, since the last confirmation.
    pub gap_start: Cell<Option<Instant>>,
    confirmation: RefCell<Confirmation>,
    needed: Cell<usize>,
    waiting: RefCell<BTreeMap<u64, Vec<oneshot::Sender<()>>>>,
    barrier: Cell<Option<(Instant, Position)>>,
    urgent: (Cell<i64>, Cell<i64>),
    changed: Event,
    wake: Event,
}

impl Group {
    /// Makes a group without a record.
    #[must_use]
    pub fn new(name: &str, needed: u32) -> Rc<Self> {
        Rc::new(Self {
            name: name.to_owned(),
            record: RefCell::default(),
            samples: RefCell::default(),
            last_used: Cell::default(),
            gap_start: Cell::default(),
            confirmation: RefCell::new(Confirmation::new(0, Vec::new(), needed as usize)),
            needed: Cell::new(needed as usize),
            waiting: RefCell::default(),
            barrier: Cell::default(),
            urgent: (Cell::new(0), Cell::new(0)),
            changed: Event::new(),
            wake: Event::new(),
        })
    }

    /// Takes over the number of members that must hold a write.
    pub fn configure(&self, needed: u32) {
        if self.needed.replace(needed as usize) != needed as usize {
            self.sync_record();
        }
    }

    /// Takes over a newer record. Returns `false` when it is not newer.
    pub fn apply(&self, record: Record) -> bool {
        let newer = self
            .record
            .borrow()
            .as_ref()
            .is_none_or(|known| known.version < record.version);
        if newer {
            *self.record.borrow_mut() = Some(Rc::new(record));
            self.sync_record();
        }
        newer
    }

    fn sync_record(&self) {
        let Some(record) = self.current() else { return };
        let pairs = record
            .members
            .iter()
            .map(|known| (known.member.clone(), known.store.clone()))
            .collect();
        let term = self.confirmation.borrow().term();
        self.confirmation
            .borrow_mut()
            .update_record(record.term, pairs, self.needed.get());
        if term != record.term || self.in_force().is_none() {
            // Dropped senders tell the waiting writes that their term has ended.
            self.waiting.borrow_mut().clear();
            self.barrier.set(None);
        }
        self.release();
        self.wake.notify(usize::MAX);
        self.notify();
    }

    /// Record in force.
    #[must_use]
    pub fn current(&self) -> Option<Rc<Record>> {
        self.record.borrow().clone()
    }

    /// Record in force when its term is, which includes the time before a planned change.
    #[must_use]
    pub fn in_force(&self) -> Option<Rc<Record>> {
        self.current()
            .filter(|record| matches!(record.phase, Phase::Stable | Phase::Draining))
    }

    /// Record in force when new work may go to its primary.
    #[must_use]
    pub fn stable(&self) -> Option<Rc<Record>> {
        self.current()
            .filter(|record| record.phase == Phase::Stable)
    }

    /// Notes the answer to a probe that was sent at `sent`.
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
        self.release();
        self.notify();
    }

    /// Notes a position that the primary of `term` reported on a data connection.
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
            self.release();
        }
    }

    /// Whether enough members hold `position`.
    #[must_use]
    pub fn is_confirmed(&self, position: Position) -> bool {
        self.confirmed()
            .is_some_and(|held| held.term == position.term && held.offset >= position.offset)
    }

    /// Highest position that enough members hold in the term of the record.
    #[must_use]
    pub fn confirmed(&self) -> Option<Position> {
        self.confirmation.borrow().confirmed()
    }

    /// Position of the primary that was read after `since`.
    #[must_use]
    pub fn barrier(&self, since: Instant) -> Option<Position> {
        self.barrier
            .get()
            .filter(|(sent, _)| *sent >= since)
            .map(|(_, position)| position)
    }

    /// Resolves when the offset is confirmed in the present term, and fails when the term ends.
    pub fn wait_confirmed(&self, offset: u64) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.waiting
            .borrow_mut()
            .entry(offset)
            .or_default()
            .push(sender);
        receiver
    }

    /// Wakes the writes whose position is now confirmed, and only them.
    fn release(&self) {
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

    /// Forgets writes that gave up.
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

    /// Makes the members be probed at once while the result is kept.
    #[must_use]
    pub fn request_probes(self: &Rc<Self>, wanted: ProbeTarget) -> ProbeRequest {
        self.count(wanted, 1);
        self.wake.notify(usize::MAX);
        ProbeRequest {
            group: Rc::clone(self),
            wanted,
        }
    }

    fn count(&self, wanted: ProbeTarget, by: i64) {
        if wanted != ProbeTarget::Replicas {
            self.urgent.0.update(|count| count + by);
        }
        if wanted != ProbeTarget::Primary {
            self.urgent.1.update(|count| count + by);
        }
    }

    /// Whether something waits for the status of the primary or of a replica.
    #[must_use]
    pub fn wants_probe(&self, primary: bool) -> bool {
        let urgent = if primary {
            &self.urgent.0
        } else {
            &self.urgent.1
        };
        urgent.get() > 0
    }

    /// Whether anything waits for this group.
    #[must_use]
    pub fn has_waiters(&self) -> bool {
        self.wants_probe(true) || self.wants_probe(false)
    }

    /// Listens for the next change of record, status or lease.
    #[must_use]
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Listens for the next urgent wait.
    #[must_use]
    pub fn listen_probe_requests(&self) -> EventListener {
        self.wake.listen()
    }

    /// Wakes everything that listens for a change.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }
}
