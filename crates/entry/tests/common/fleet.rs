//! A fake fleet of one primary and one replica with a pool each.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
    time::{Duration, Instant},
};

use base::{
    MemberName, Position, Set, Term,
    document::{Document, Service},
    organisation::{KeyDigest, Organisation},
};
use compio::{net::TcpStream, time::sleep};
use entry::{
    fleet::{Admitted, Fleet, Lease, ReadRequirement},
    refusal::Refusal,
};
use identity::{Identities, Refused};
use wire::Client;

use super::upstream::{Store, Upstream};

type Pool = Rc<RefCell<Vec<(Client, Set<String>)>>>;

/// Result of a confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirm {
    Yes,
    No,
    /// Waits until it is set to another result.
    Wait,
}

pub struct FakeFleet {
    pub service: RefCell<Rc<Service>>,
    /// Organisations in force; none at first.
    pub identities: RefCell<Identities>,
    pub store: Rc<Store>,
    pub primary: Rc<Upstream>,
    pub replica: Rc<Upstream>,
    /// Term reported by new leases of the primary.
    pub term: Cell<Term>,
    /// Whether reads go to the replica.
    pub replica_reads: Cell<bool>,
    pub confirm: Cell<Confirm>,
    pub confirmed: RefCell<Vec<Position>>,
    pub read_requirements: RefCell<Vec<ReadRequirement>>,
    /// Organisations that connections were acquired for.
    pub owners: RefCell<Vec<Option<String>>>,
    /// Number of operations that the rate limits still admit.
    pub admitted: Rc<Cell<u32>>,
    /// Cancel requests relayed to other entry processes.
    pub relayed_cancels: RefCell<Vec<(i32, i32)>>,
    /// Whether requests wait for a connection.
    pub hold_connections: Cell<bool>,
    /// Whether a request has waited for a connection.
    pub was_held: Cell<bool>,
    stop: Cell<bool>,
    waiting: RefCell<Vec<Waker>>,
    /// Connections that were closed instead of returned.
    pub dropped: Rc<Cell<usize>>,
    pools: [Pool; 2],
}

pub struct FakeLease {
    member: MemberName,
    term: Option<Term>,
    held: Option<(Client, Set<String>)>,
    pool: Pool,
    dropped: Rc<Cell<usize>>,
}

impl Lease for FakeLease {
    fn member(&self) -> &MemberName {
        &self.member
    }

    fn primary(&self) -> Option<Term> {
        self.term
    }

    fn client(&mut self) -> &mut Client {
        &mut self.held.as_mut().unwrap().0
    }

    fn prepared(&mut self) -> &mut Set<String> {
        &mut self.held.as_mut().unwrap().1
    }

    fn release(mut self) {
        self.pool.borrow_mut().extend(self.held.take());
    }
}

impl Drop for FakeLease {
    fn drop(&mut self) {
        if self.held.is_some() {
            self.dropped.set(self.dropped.get() + 1);
        }
    }
}

impl FakeFleet {
    pub async fn new() -> Self {
        let store = Rc::new(Store::default());
        let text = "[[service]]\nname = \"orders\"\ngroup = \"orders\"\n\
                    [service.limits]\ndeadline_ms = 2000\nmessage_bytes = 100000\n\
                    [[service.non_idempotent]]\ntable = \"bills\"\nverbs = [\"insert\"]\nkey = \"required\"\n";
        let document = Document::parse(text).unwrap();
        let primary = Upstream::start(&store, false).await;
        let replica = Upstream::start(&store, true).await;
        Self {
            service: RefCell::new(Rc::new(document.services[0].clone())),
            identities: RefCell::default(),
            store,
            primary,
            replica,
            term: Cell::new(1),
            replica_reads: Cell::new(true),
            confirm: Cell::new(Confirm::Yes),
            confirmed: RefCell::default(),
            read_requirements: RefCell::default(),
            owners: RefCell::default(),
            admitted: Rc::new(Cell::new(u32::MAX)),
            relayed_cancels: RefCell::default(),
            hold_connections: Cell::new(false),
            was_held: Cell::new(false),
            stop: Cell::new(false),
            waiting: RefCell::default(),
            dropped: Rc::default(),
            pools: [Pool::default(), Pool::default()],
        }
    }

    /// Idle connections in the pool of the primary or the replica.
    pub fn pooled(&self, primary: bool) -> usize {
        self.pools[usize::from(primary)].borrow().len()
    }

    /// Statements prepared on the first pooled connection to the replica.
    pub fn prepared(&self) -> usize {
        self.pools[0]
            .borrow()
            .first()
            .map_or(0, |(_, prepared)| prepared.len())
    }

    fn record_owner(&self, owner: Option<&str>) {
        self.owners.borrow_mut().push(owner.map(str::to_owned));
    }

    /// Tells the process to stop.
    pub fn stop(&self) {
        self.stop.set(true);
        self.waiting.take().into_iter().for_each(Waker::wake);
    }

    /// Sets the creation time of all key records to the Unix epoch.
    pub fn expire_keys(&self) {
        for record in self
            .store
            .keys
            .borrow_mut()
            .iter_mut()
            .flat_map(base::Map::values_mut)
        {
            "0".clone_into(&mut record[2]);
        }
    }

    async fn lease(&self, primary: bool) -> Result<FakeLease, Refusal> {
        while self.hold_connections.get() {
            self.was_held.set(true);
            sleep(Duration::from_millis(5)).await;
        }
        let pool = Rc::clone(&self.pools[usize::from(primary)]);
        let kept = pool.borrow_mut().pop();
        let held = if let Some(kept) = kept {
            kept
        } else {
            let upstream = if primary {
                &self.primary
            } else {
                &self.replica
            };
            let stream = TcpStream::connect(upstream.address).await.unwrap();
            stream.set_nodelay(true).unwrap();
            let client = Client::open(stream, "anna", "orders").await;
            (
                client.map_err(|_failed| Refusal::NoPrimary)?,
                Set::default(),
            )
        };
        Ok(FakeLease {
            member: if primary { "a" } else { "b" }.to_owned(),
            term: primary.then_some(self.term.get()),
            held: Some(held),
            pool,
            dropped: Rc::clone(&self.dropped),
        })
    }
}

/// Admission that lowers the number of operations when it is counted.
pub struct FakeOperation(Rc<Cell<u32>>);

impl Admitted for FakeOperation {
    fn count(&mut self) -> Result<(), Refusal> {
        self.0.set(self.0.get() - 1);
        Ok(())
    }
}

impl Fleet for FakeFleet {
    type Lease = FakeLease;
    type Operation = FakeOperation;

    async fn admit(
        self: &Rc<Self>,
        organisation: Option<&Organisation>,
        _deadline: Instant,
    ) -> Result<FakeOperation, Refusal> {
        match organisation {
            Some(organisation) if self.admitted.get() == 0 => {
                Err(Refusal::RateLimit(organisation.name.clone()))
            }
            _ => Ok(FakeOperation(Rc::clone(&self.admitted))),
        }
    }

    fn service(&self, name: &str) -> Option<Rc<Service>> {
        (name == "orders").then(|| Rc::clone(&self.service.borrow()))
    }

    fn needs_key(&self) -> bool {
        self.identities.borrow().needs_key(false)
    }

    fn identify(&self, key: Option<&KeyDigest>) -> Result<Option<Rc<Organisation>>, Refused> {
        self.identities.borrow().admit(false, key, true)
    }

    fn confirm_owner(&self, key: Option<&KeyDigest>, owner: Option<&str>) -> Result<(), Refused> {
        let identities = self.identities.borrow();
        identities.confirm(false, key, true, owner)
    }

    async fn read(
        &self,
        _service: &Service,
        owner: Option<&str>,
        need: ReadRequirement,
    ) -> Result<(FakeLease, Option<Position>), Refusal> {
        self.record_owner(owner);
        self.read_requirements.borrow_mut().push(need);
        let lease = self.lease(!self.replica_reads.get()).await?;
        Ok((lease, need.token.or(Some(Position::new(1, 0)))))
    }

    async fn write(
        &self,
        _service: &Service,
        owner: Option<&str>,
        _deadline: Instant,
    ) -> Result<FakeLease, Refusal> {
        self.record_owner(owner);
        self.lease(true).await
    }

    async fn confirm(
        &self,
        _service: &Service,
        _term: Term,
        position: Position,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        while self.confirm.get() == Confirm::Wait && Instant::now() < deadline {
            sleep(Duration::from_millis(2)).await;
        }
        if self.confirm.get() != Confirm::Yes {
            return Err(Refusal::OutcomeUnknown("not confirmed".into()));
        }
        self.confirmed.borrow_mut().push(position);
        Ok(())
    }

    async fn pass_cancel(&self, pid: i32, secret: i32) {
        self.relayed_cancels.borrow_mut().push((pid, secret));
    }

    async fn stopping(&self) {
        poll_fn(|cx| {
            if self.stop.get() {
                return Poll::Ready(());
            }
            self.waiting.borrow_mut().push(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    fn is_stopping(&self) -> bool {
        self.stop.get()
    }
}
