//! One member of a group: its status probes and its pool.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{MemberName, Position, StoreId};
use compio::runtime::JoinHandle;
use event_listener::Event;
use route::{FailureDetector, Health, Location, Status};

use crate::{
    dialect::{Dialect, Upstream},
    group::Group,
    metrics::Metrics,
    pool::Pool,
    postgres::Postgres,
};

/// One member at one address.
#[derive(Debug)]
pub struct Member<D: Dialect = Postgres> {
    /// Name of the member.
    pub name: MemberName,
    /// Store that was known when this was made; empty when none was.
    pub store: StoreId,
    /// Its group.
    pub group: Rc<Group>,
    /// Address of its database.
    pub address: SocketAddr,
    /// Where it stands.
    pub place: Location,
    /// Connections to it.
    pub pool: Rc<Pool<D>>,
    status: RefCell<Option<(Status, Instant)>>,
    /// Last position that it told, and when.
    told: Cell<Option<(Position, Instant)>>,
    detector: RefCell<FailureDetector>,
    probe: RefCell<Option<JoinHandle<()>>>,
    /// Notified when the control hosts should hear of a failure at once.
    failure_event: Rc<Event>,
}

impl<D: Dialect> Member<D> {
    /// Makes a member and starts its probes, which end when it is dropped.
    #[must_use]
    pub fn start(
        to: &Upstream,
        group: Rc<Group>,
        address: SocketAddr,
        place: Location,
        pool: Rc<Pool<D>>,
        metrics: &Metrics,
        failure_event: Rc<Event>,
    ) -> Rc<Self> {
        let from = pool.source();
        let member = Rc::new(Self {
            name: to.member.clone(),
            store: to.store.clone(),
            group,
            address,
            place,
            pool,
            status: RefCell::default(),
            told: Cell::default(),
            detector: RefCell::new(FailureDetector::new(Instant::now())),
            probe: RefCell::default(),
            failure_event,
        });
        let probes = D::watch(Rc::clone(&member), from, metrics.clone());
        *member.probe.borrow_mut() = Some(compio::runtime::spawn(probes));
        member
    }

    /// Ends the probes and the pool; connections in use stay until they are released.
    pub fn stop(&self) {
        self.probe.borrow_mut().take();
        self.pool.drain(true);
    }

    /// Last status and when it was asked for.
    #[must_use]
    pub fn status(&self) -> Option<(Status, Instant)> {
        self.status.borrow().clone()
    }

    /// Position and role of the last status.
    #[must_use]
    pub fn position(&self) -> Option<(Position, bool)> {
        self.status
            .borrow()
            .as_ref()
            .map(|(status, _)| (status.position, status.primary))
    }

    /// Last position that it told in an answer, and the time since then.
    #[must_use]
    pub fn last_reported(&self, now: Instant) -> Option<(Position, Duration)> {
        let (position, at) = self.told.get()?;
        Some((position, now.saturating_duration_since(at)))
    }

    /// Whether the last status came from this store.
    #[must_use]
    pub fn has_store(&self, store: &str) -> bool {
        self.status
            .borrow()
            .as_ref()
            .is_some_and(|(status, _)| status.store == store)
    }

    /// State as the probes see it, with the time since the last good answer.
    #[must_use]
    pub fn health(&self, now: Instant) -> (Health, Duration) {
        let detector = self.detector.borrow();
        let health = if D::REPORTS_OVERLOAD {
            detector.last_attempt()
        } else {
            detector.health(now)
        };
        (health, detector.since_last_answer(now))
    }

    /// Whether the record names this member as the primary in force.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.group
            .current()
            .is_some_and(|record| record.primary == self.name)
    }

    /// Notes the answer to a status read that was sent at `sent`. Returns whether it is news.
    pub fn record_status(&self, status: Status, sent: Instant) -> bool {
        self.detector.borrow_mut().record_answer(Instant::now());
        let changed = self
            .status
            .borrow()
            .as_ref()
            .is_none_or(|(known, _)| *known != status);
        if D::TRACKS_POSITIONS {
            self.group.record_status(&status, sent);
        } else {
            self.group.notify();
        }
        *self.status.borrow_mut() = Some((status, sent));
        changed
    }

    /// Notes that the member answered a request at `now`, with its position if it told one.
    pub fn record_response(&self, position: Option<Position>, now: Instant) {
        self.detector.borrow_mut().record_answer(now);
        if let Some(position) = position {
            self.told.set(Some((position, now)));
        }
        if let (Some(position), Some((status, _))) = (position, &mut *self.status.borrow_mut()) {
            let term = status.position.term.max(position.term);
            status.position = Position::new(term, position.offset);
        }
    }

    /// Notes that the address accepts connections.
    pub fn record_reachable(&self) {
        self.detector.borrow_mut().record_connection();
    }

    /// Notes a failed attempt to read the status.
    pub fn record_failure(&self, refused: bool) {
        if refused {
            let before = self.health(Instant::now()).0;
            self.detector.borrow_mut().record_refusal();
            if before != Health::Refused && self.is_primary() {
                self.failure_event.notify(usize::MAX);
            }
        } else {
            self.detector.borrow_mut().record_timeout();
            self.pool.abort_reads();
        }
        // The path may have gone silent for the connections of the pool too.
        self.pool.close_idle();
        self.pool.refuse_waiting();
        self.group.notify();
    }
}
