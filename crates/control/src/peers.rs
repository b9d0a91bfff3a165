//! RPC client for the other control hosts.

use std::{
    cell::RefCell,
    fmt,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use base::{HostName, Map, Position, Version};
use compio::{runtime::JoinHandle, time::timeout};
use proto::schema::{self, gate, peer};

use route::{AckBounds, Status};

use crate::{
    directory::ReceivedAnnouncement,
    gate::{fill_announcement, fill_target, list_len},
    upstream::{self, Order, StatusError, Target},
};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call that the peer answers from memory.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call for which the peer itself calls a database.
const RELAY_TIMEOUT: Duration = upstream::CALL_TIMEOUT.saturating_add(CALL_TIMEOUT);

struct Link {
    client: peer::Client,
    /// Drives the connection; dropping the task closes the connection.
    _task: JoinHandle<()>,
}

/// Connections to the other control hosts, opened on demand.
pub struct Peers {
    host: IpAddr,
    own_name: HostName,
    /// Addresses of the other control hosts.
    addresses: RefCell<Vec<(HostName, SocketAddr)>>,
    links: RefCell<Map<HostName, Rc<Link>>>,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peers")
            .field("addresses", &self.addresses)
            .finish_non_exhaustive()
    }
}

impl Peers {
    /// Creates a client for the hosts in `all` except `own_name`; `host` is the source address of its
    /// connections.
    #[must_use]
    pub fn new(host: IpAddr, own_name: &str, all: &[(HostName, SocketAddr)]) -> Self {
        let addresses = all
            .iter()
            .filter(|(name, _)| name != own_name)
            .cloned()
            .collect();
        Self {
            host,
            own_name: own_name.to_owned(),
            addresses: RefCell::new(addresses),
            links: RefCell::default(),
        }
    }

    /// Returns the names of the other control hosts.
    #[must_use]
    pub fn names(&self) -> Vec<HostName> {
        let addresses = self.addresses.borrow();
        addresses.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Returns the address of another control host.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let addresses = self.addresses.borrow();
        let found = addresses.iter().find(|(known, _)| known == name);
        found.map(|(_, address)| *address)
    }

    /// Sets the address of another host, and closes the connection to its former address.
    pub fn set_address(&self, name: &str, address: SocketAddr) {
        if name == self.own_name || self.address(name) == Some(address) {
            return;
        }
        let mut addresses = self.addresses.borrow_mut();
        addresses.retain(|(known, _)| known != name);
        addresses.push((name.to_owned(), address));
        self.links.borrow_mut().remove(name);
    }

    /// Returns the open connection to a host, or opens one.
    async fn connection(&self, name: &str) -> Result<Rc<Link>, String> {
        if let Some(link) = self.links.borrow().get(name) {
            return Ok(Rc::clone(link));
        }
        let address = self
            .address(name)
            .ok_or_else(|| format!("{name} is not another control host"))?;
        let stream = base::net::connect(self.host, address, CONNECT_TIMEOUT)
            .await
            .map_err(|cause| format!("{name} at {address}: {cause}"))?;
        let (gate, driver) = proto::rpc::open::<gate::Client>(stream);
        let task = compio::runtime::spawn(async move {
            // Calls on a closed connection fail, so its result is not needed.
            let _ended = driver.await;
        });
        let client = gate.peer_request().send().pipeline.get_peer();
        let link = Rc::new(Link {
            client,
            _task: task,
        });
        self.links
            .borrow_mut()
            .insert(name.to_owned(), Rc::clone(&link));
        Ok(link)
    }

    /// Runs one call. When the call fails or times out, its connection is dropped and the next call
    /// opens a new one.
    async fn call<T>(
        &self,
        name: &str,
        limit: Duration,
        call: impl AsyncFnOnce(&peer::Client) -> Result<T, capnp::Error>,
    ) -> Result<T, String> {
        let link = self.connection(name).await?;
        let cause = match timeout(limit, call(&link.client)).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(cause)) => format!("{name}: {cause}"),
            Err(_elapsed) => format!("{name}: no answer within {limit:?}"),
        };
        let mut links = self.links.borrow_mut();
        if links
            .get(name)
            .is_some_and(|known| Rc::ptr_eq(known, &link))
        {
            links.remove(name);
        }
        Err(cause)
    }

    /// Asks whether a host holds no lease grant older than `version`; `None` when it can't know yet.
    /// Also returns how far writes of `group` were acknowledged, as far as that host was told, and
    /// whether it was told all.
    ///
    /// # Errors
    /// The host can't be reached.
    pub async fn grants_expired(
        &self,
        name: &str,
        version: Version,
        group: &str,
    ) -> Result<(Option<bool>, Option<AckBounds>, bool), String> {
        self.call(name, CALL_TIMEOUT, async |client| {
            let mut request = client.grants_request();
            request.get().set_version(version);
            request.get().set_group(group);
            let response = request.send().promise.await?;
            let answer = response.get()?;
            let clear = answer.get_known().then(|| answer.get_clear());
            let acks = answer.get_acks()?;
            let bounds = AckBounds {
                term: acks.get_term(),
                least: acks.get_least(),
                most: acks.get_most(),
            };
            Ok((
                clear,
                (bounds.term > 0).then_some(bounds),
                answer.get_complete(),
            ))
        })
        .await
    }

    /// Reads the status of a database through a host.
    ///
    /// # Errors
    /// The host or the database can't be reached.
    pub async fn relay_status(&self, name: &str, target: &Target) -> Result<Status, StatusError> {
        self.call(name, RELAY_TIMEOUT, async |client| {
            let mut request = client.probe_request();
            fill_target(target, request.get().init_target());
            let response = request.send().promise.await?;
            let answer = response.get()?;
            if !answer.get_reached() {
                let cause = format!("{name} can't reach {} either", target.address);
                return Ok(Err(match answer.get_ended()? {
                    schema::Ended::Refused => StatusError::Refused(cause),
                    schema::Ended::Replaced => StatusError::Replaced(cause),
                    schema::Ended::Unknown => StatusError::Unknown(cause),
                }));
            }
            let status = answer.get_status()?;
            let position = status.get_position()?;
            Ok(Ok(Status {
                member: status.get_member()?.to_string()?,
                store: status.get_store()?.to_string()?,
                primary: status.get_primary(),
                position: Position::new(position.get_term(), position.get_offset()),
                following: status.get_following()?.to_string()?,
            }))
        })
        .await?
    }

    /// Forwards announcements that arrived at this host.
    ///
    /// # Errors
    /// The host can't be reached.
    pub async fn forward_announcements(
        &self,
        name: &str,
        announcements: &[ReceivedAnnouncement],
        now: Instant,
    ) -> Result<(), String> {
        self.call(name, CALL_TIMEOUT, async |client| {
            let mut request = client.announce_request();
            let mut list = request.get().init_announcements(list_len(announcements));
            for (i, announcement) in (0..).zip(announcements) {
                fill_announcement(now, announcement, list.reborrow().get(i));
            }
            request.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Sends an order to a database through a host.
    ///
    /// # Errors
    /// The host or the database can't be reached, or the database refuses.
    pub async fn relay_order(
        &self,
        name: &str,
        target: &Target,
        order: &Order,
    ) -> Result<(), String> {
        self.call(name, RELAY_TIMEOUT, async |client| {
            let mut request = client.order_request();
            fill_target(target, request.get().init_target());
            request.get().set_order(order.to_string());
            let response = request.send().promise.await?;
            let answer = response.get()?;
            Ok(if answer.get_done() {
                Ok(())
            } else {
                Err(answer.get_cause()?.to_string()?)
            })
        })
        .await?
    }
}
