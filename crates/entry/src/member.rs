//! A member of a group, with its health, its last status and its connection pool.

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

/// A member at one address. A change of the address creates a new one.
#[derive(Debug)]
pub struct Member<D: Dialect = Postgres> {
    /// Name of the member.
    pub name: MemberName,
    /// Store that was known when this was created; empty if none was.
    pub store: StoreId,
    /// Group that the member belongs to.
    pub group: Rc<Group>,
    /// Address of its database.
    pub address: SocketAddr,
    /// Zone and region of its host.
    pub place: Location,
    /// Pool of connections to the member.
    pub pool: Rc<Pool<D>>,
    status: RefCell<Option<(Status, Instant)>>,
    /// Last position in an answer to a request, and when it arrived.
    last_reported: Cell<Option<(Position, Instant)>>,
    detector: RefCell<FailureDetector>,
    probe: RefCell<Option<JoinHandle<()>>>,
    /// Notified when a failure should be reported to the control hosts immediately.
    failure_event: Rc<Event>,
}

impl<D: Dialect> Member<D> {
    /// Creates a member and starts its probes, which end when it is dropped.
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
            last_reported: Cell::default(),
            detector: RefCell::new(FailureDetector::new(Instant::now())),
            probe: RefCell::default(),
            failure_event,
        });
        let probes = D::watch(Rc::clone(&member), from, metrics.clone());
        *member.probe.borrow_mut() = Some(compio::runtime::spawn(probes));
        member
    }

    /// Stops the probes and drains the pool. Connections in use stay open until they are released.
    pub fn stop(&self) {
        self.probe.borrow_mut().take();
        self.pool.drain(true);
    }

    /// Last status, and when it was requested by [`base::clock`].
    #[must_use]
    pub fn status(&self) -> Option<(Status, Instant)> {
        self.status.borrow().clone()
    }

    /// Position in the last status, and whether the member was the primary.
    #[must_use]
    pub fn position(&self) -> Option<(Position, bool)> {
        self.status
            .borrow()
            .as_ref()
            .map(|(status, _)| (status.position, status.primary))
    }

    /// Last position that it reported in an answer to a request, and the time since then.
    #[must_use]
    pub fn last_reported(&self, now: Instant) -> Option<(Position, Duration)> {
        let (position, at) = self.last_reported.get()?;
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

    /// Health according to the probes, and the time since the last successful answer.
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

    /// Whether the group record names this member as the primary.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.group
            .current()
            .is_some_and(|record| record.primary == self.name)
    }

    /// Records the answer to a status request that was sent at `sent` by [`base::clock`]. Returns
    /// whether the status changed.
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

    /// Records that the member answered a request at `now`, with the position from the answer if it
    /// had one.
    pub fn record_response(&self, position: Option<Position>, now: Instant) {
        self.detector.borrow_mut().record_answer(now);
        if let Some(position) = position {
            self.last_reported.set(Some((position, now)));
        }
        if let (Some(position), Some((status, _))) = (position, &mut *self.status.borrow_mut()) {
            let term = status.position.term.max(position.term);
            status.position = Position::new(term, position.offset);
        }
    }

    /// Records that the address accepts connections.
    pub fn record_reachable(&self) {
        self.detector.borrow_mut().record_connection();
    }

    /// Records a failed status request: `refused`, or unanswered.
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
        // The network path may have failed for the connections of the pool as well.
        self.pool.close_idle();
        self.pool.refuse_waiting();
        self.group.notify();
    }
}
