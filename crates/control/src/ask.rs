//! Questions of a host to the control hosts that it can find.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    time::Duration,
};

use base::HostName;
use capnp::struct_list;
use compio::time::timeout;
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use proto::schema::{self, gate, peer};

use crate::{seat::Seating, tenure::Holder, upstream};

/// Time limit on one question, which takes a commit of the leader and two round trips between regions.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Addresses of the control hosts by seat.
pub type Seats = BTreeMap<HostName, String>;

/// An answer, if the host that was asked has one, and the seats that it knows.
type Reply<T> = (Option<T>, Seats);

/// A host that asks others.
#[derive(Debug, Clone, Copy)]
pub struct Asker<'a> {
    /// Source address of its connections.
    pub host: IpAddr,
    /// RPC address of its seat, which is not asked.
    pub address: &'a str,
}

impl Asker<'_> {
    /// Requests a seat for this host from the control hosts at `addresses` and those that they name.
    /// Returns `None` if the leader is not found or has no free seat.
    pub async fn request_seat(&self, addresses: &[String]) -> Option<Seating> {
        self.ask(addresses, async |peer| {
            let mut request = peer.join_request();
            request.get().set_address(self.address);
            let response = request.send().promise.await?;
            let answer = response.get()?;
            let seats = read_seats(answer.get_seats()?)?;
            let name = answer.get_name()?.to_string()?;
            let seating = (!name.is_empty()).then(|| Seating {
                name,
                index: answer.get_index(),
                seats: seats.clone(),
            });
            Ok((seating, seats))
        })
        .await
    }

    /// Asks who holds `seat`, and whether the data directory `incarnation` counts in it. Returns `None`
    /// if no leader that knows all that is committed is found.
    pub async fn request_holder(
        &self,
        addresses: &[String],
        seat: &str,
        incarnation: u64,
    ) -> Option<Holder> {
        self.ask(addresses, async |peer| {
            let mut request = peer.holder_request();
            request.get().set_seat(seat);
            request.get().set_incarnation(incarnation);
            let response = request.send().promise.await?;
            let answer = response.get()?;
            let found = Holder {
                known: answer.get_known(),
                address: answer.get_address()?.to_string()?,
                counted: answer.get_counted(),
                seats: read_seats(answer.get_seats()?)?,
            };
            let seats = found.seats.clone();
            Ok((found.known.then_some(found), seats))
        })
        .await
    }

    /// Asks the hosts at `addresses` and those that they name, all at the same time, and returns the
    /// first answer.
    async fn ask<T>(
        &self,
        addresses: &[String],
        question: impl AsyncFn(peer::Client) -> Result<Reply<T>, capnp::Error>,
    ) -> Option<T> {
        let question = &question;
        let mut visited: BTreeSet<String> = [self.address.to_owned()].into();
        let mut calls = FuturesUnordered::new();
        let mut found = addresses.to_vec();
        loop {
            for address in found.drain(..) {
                if visited.insert(address.clone()) {
                    calls.push(
                        async move { timeout(TIMEOUT, self.ask_one(&address, question)).await },
                    );
                }
            }
            match calls.next().await? {
                Ok(Ok((Some(answer), _seats))) => return Some(answer),
                Ok(Ok((None, seats))) => found.extend(seats.into_values()),
                Ok(Err(_cause)) => {}
                Err(_elapsed) => {}
            }
        }
    }

    async fn ask_one<T>(
        &self,
        address: &str,
        question: &impl AsyncFn(peer::Client) -> Result<Reply<T>, capnp::Error>,
    ) -> Result<Reply<T>, String> {
        let to = upstream::parse_address(address)?;
        let stream = base::net::connect(self.host, to, TIMEOUT).await;
        let stream = stream.map_err(|cause| cause.to_string())?;
        let (gate, driver) = proto::rpc::open::<gate::Client>(stream);
        // The connection ends when this handle is dropped at the end of the function.
        let _driver = compio::runtime::spawn(driver);
        let peer = gate.peer_request().send().pipeline.get_peer();
        question(peer).await.map_err(|cause| cause.to_string())
    }
}

fn read_seats(list: struct_list::Reader<'_, schema::seat::Owned>) -> Result<Seats, capnp::Error> {
    let seats = list.iter().map(|seat| {
        Ok((
            seat.get_name()?.to_string()?,
            seat.get_address()?.to_string()?,
        ))
    });
    seats.collect()
}
