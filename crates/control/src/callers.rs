//! What a host without a seat learns from those that call it.
//!
//! A host that lost its disk knows its seeds only, and none of them may know the control hosts any
//! more. Those call it at the address of its former seat.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    fmt, io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use capnp::Error;
use compio::{
    net::{TcpListener, TcpStream},
    runtime::{JoinHandle, spawn},
    time::timeout,
};
use proto::schema::gate;

/// Number of callers that are remembered: more than there are control hosts.
const MAX_CALLERS: usize = 64;
/// A connection is closed after this time. A caller that goes on opens the next one.
const MAX_OPEN: Duration = Duration::from_secs(1);

/// Remembers the hosts that call this one as another control host, and refuses their calls, until it
/// is dropped.
pub struct Callers {
    address: SocketAddr,
    hosts: Rc<RefCell<BTreeSet<IpAddr>>>,
    _task: JoinHandle<()>,
}

impl fmt::Debug for Callers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Callers")
            .field("address", &self.address)
            .field("hosts", &self.hosts)
            .finish_non_exhaustive()
    }
}

impl Callers {
    /// Listens on `address`, the RPC address of this host.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn listen(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let hosts = Rc::<RefCell<BTreeSet<IpAddr>>>::default();
        let task = spawn(accept(listener, Rc::clone(&hosts)));
        Ok(Self {
            address,
            hosts,
            _task: task,
        })
    }

    /// RPC addresses of the callers. Hosts that may replace each other use the same port.
    #[must_use]
    pub fn addresses(&self) -> Vec<String> {
        let hosts = self.hosts.borrow();
        let addresses = hosts
            .iter()
            .map(|host| SocketAddr::new(*host, self.address.port()).to_string());
        addresses.collect()
    }
}

/// Accepts connections one after the other, each for a short time.
async fn accept(listener: TcpListener, hosts: Rc<RefCell<BTreeSet<IpAddr>>>) {
    let mut open = std::collections::VecDeque::new();
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            compio::time::sleep(MAX_OPEN).await;
            continue;
        };
        // Dropping the oldest handle ends its connection.
        open.push_back(spawn(refuse(stream, from.ip(), Rc::clone(&hosts))));
        if open.len() > MAX_CALLERS {
            open.pop_front();
        }
    }
}

async fn refuse(stream: TcpStream, from: IpAddr, hosts: Rc<RefCell<BTreeSet<IpAddr>>>) {
    let gate: gate::Client = capnp_rpc::new_client(SeatlessGate { from, hosts });
    let _ended = timeout(MAX_OPEN, proto::rpc::serve(stream, gate.client)).await;
}

/// Interface of a host without a seat.
struct SeatlessGate {
    from: IpAddr,
    hosts: Rc<RefCell<BTreeSet<IpAddr>>>,
}

fn no_seat<T>() -> Result<T, Error> {
    Err(Error::failed("this host has no seat yet".to_owned()))
}

impl gate::Server for SeatlessGate {
    async fn control(
        self: Rc<Self>,
        _params: gate::ControlParams,
        _results: gate::ControlResults,
    ) -> Result<(), Error> {
        no_seat()
    }

    async fn peer(
        self: Rc<Self>,
        _params: gate::PeerParams,
        _results: gate::PeerResults,
    ) -> Result<(), Error> {
        let mut hosts = self.hosts.borrow_mut();
        if hosts.len() < MAX_CALLERS {
            hosts.insert(self.from);
        }
        no_seat()
    }
}
