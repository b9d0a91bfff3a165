//! Calls to peers over Cap'n Proto RPC.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fmt,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use base::HostName;
use capnp::ErrorKind;
use proto::schema::{gate, peer};

use crate::{
    environment::{CallError, Network},
    message::{
        AppendReply, AppendRequest, ProposeReply, SnapshotReply, SnapshotRequest, TransferReply,
        TransferRequest, VoteReply, VoteRequest,
    },
};

/// Timeout for opening a connection. A peer in another region is 30 ms away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Messages with more bytes than this use a second connection, so that heartbeats and votes do not
/// queue behind them.
const MAX_SMALL_MESSAGE_BYTES: usize = 16 << 10;

/// Name of the peer, and whether the connection is for large messages.
type ConnectionKey = (HostName, bool);

/// Connections to the other control hosts, opened on first use and again after a failure.
pub struct RpcNetwork {
    source_ip: IpAddr,
    addresses: RefCell<BTreeMap<HostName, SocketAddr>>,
    connections: RefCell<BTreeMap<ConnectionKey, Rc<Connection>>>,
}

struct Connection {
    peer: peer::Client,
    /// Drives the connection; dropping it closes the connection.
    _driver: compio::runtime::Task<Result<(), Box<dyn std::any::Any + Send>>>,
}

impl fmt::Debug for RpcNetwork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RpcNetwork")
            .field("source_ip", &self.source_ip)
            .field("addresses", &self.addresses)
            .finish_non_exhaustive()
    }
}

impl RpcNetwork {
    /// Calls the given peers; outgoing connections have the source address `source_ip`.
    #[must_use]
    pub fn new(source_ip: IpAddr, peers: &[(HostName, SocketAddr)]) -> Self {
        Self {
            source_ip,
            addresses: RefCell::new(peers.iter().cloned().collect()),
            connections: RefCell::default(),
        }
    }

    /// Changes the address of a peer and closes the connections to the former one.
    pub(crate) fn set_peer_address(&self, name: &str, address: SocketAddr) {
        let before = self.addresses.borrow_mut().insert(name.to_owned(), address);
        if before != Some(address) {
            self.connections
                .borrow_mut()
                .retain(|(peer, _), _| peer != name);
        }
    }

    /// Returns the open connection or opens one.
    async fn connection(&self, key: &ConnectionKey) -> Result<Rc<Connection>, CallError> {
        if let Some(connection) = self.connections.borrow().get(key) {
            return Ok(Rc::clone(connection));
        }
        let address = self.addresses.borrow().get(&key.0).copied();
        let address = address.ok_or(CallError::Unsent)?;
        let stream = base::net::connect(self.source_ip, address, CONNECT_TIMEOUT)
            .await
            .map_err(|_cause| CallError::Unsent)?;
        let (gate, driver) = proto::rpc::open::<gate::Client>(stream);
        let connection = Rc::new(Connection {
            peer: gate.peer_request().send().pipeline.get_peer(),
            _driver: compio::runtime::spawn(async move {
                // The calls in flight fail when the connection ends.
                let _ended = driver.await;
            }),
        });
        self.connections
            .borrow_mut()
            .insert(key.clone(), Rc::clone(&connection));
        Ok(connection)
    }

    /// Makes one call. A connection that fails or times out is replaced at the next call.
    async fn call<T>(
        &self,
        to: &HostName,
        size: usize,
        timeout: Duration,
        call: impl AsyncFnOnce(&peer::Client) -> capnp::Result<T>,
    ) -> Result<T, CallError> {
        let key = (to.clone(), size > MAX_SMALL_MESSAGE_BYTES);
        let connection = self.connection(&key).await?;
        let outcome = compio::time::timeout(timeout, call(&connection.peer)).await;
        let broken = match &outcome {
            Ok(Ok(_)) => false,
            Ok(Err(cause)) => cause.kind != ErrorKind::Failed,
            Err(_elapsed) => true,
        };
        if broken {
            let mut connections = self.connections.borrow_mut();
            if connections
                .get(&key)
                .is_some_and(|current| Rc::ptr_eq(current, &connection))
            {
                connections.remove(&key);
            }
        }
        outcome
            .ok()
            .and_then(Result::ok)
            .ok_or(CallError::Unanswered)
    }
}

impl Network for RpcNetwork {
    async fn vote(
        &self,
        to: &HostName,
        request: VoteRequest,
        timeout: Duration,
    ) -> Result<VoteReply, CallError> {
        self.call(to, 0, timeout, async |peer| {
            let mut call = peer.vote_request();
            request.write(call.get().init_request());
            VoteReply::read(call.send().promise.await?.get()?.get_reply()?)
        })
        .await
    }

    async fn append(
        &self,
        to: &HostName,
        request: AppendRequest,
        timeout: Duration,
    ) -> Result<AppendReply, CallError> {
        let size = request
            .entries
            .iter()
            .map(|entry| entry.payload.len())
            .sum();
        self.call(to, size, timeout, async |peer| {
            let mut call = peer.append_request();
            request.write(call.get().init_request());
            AppendReply::read(call.send().promise.await?.get()?.get_reply()?)
        })
        .await
    }

    async fn snapshot(
        &self,
        to: &HostName,
        request: SnapshotRequest,
        timeout: Duration,
    ) -> Result<SnapshotReply, CallError> {
        self.call(to, request.chunk.len(), timeout, async |peer| {
            let mut call = peer.snapshot_request();
            request.write(call.get().init_request());
            SnapshotReply::read(call.send().promise.await?.get()?.get_reply()?)
        })
        .await
    }

    async fn propose(
        &self,
        to: &HostName,
        payload: Vec<u8>,
        timeout: Duration,
    ) -> Result<ProposeReply, CallError> {
        self.call(to, payload.len(), timeout, async |peer| {
            let mut call = peer.propose_request();
            call.get().set_payload(&payload);
            ProposeReply::read(call.send().promise.await?.get()?)
        })
        .await
    }

    async fn transfer(
        &self,
        to: &HostName,
        request: TransferRequest,
        timeout: Duration,
    ) -> Result<TransferReply, CallError> {
        self.call(to, 0, timeout, async |peer| {
            let mut call = peer.transfer_request();
            request.write(call.get().init_request());
            TransferReply::read(call.send().promise.await?.get()?.get_reply()?)
        })
        .await
    }
}
