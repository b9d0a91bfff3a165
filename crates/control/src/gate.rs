//! RPC server for entry processes and other control hosts.

use std::{
    cell::Cell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use base::HostName;
use capnp::Error;
use compio::{net::TcpListener, time::timeout};
use proto::{
    schema::{self, gate, peer},
    traffic::Traffic,
};

use crate::{
    control_service::ControlService,
    directory::{Announcement, ReceivedAnnouncement},
    host::{Host, millis},
    log::Log,
    seat, tenure,
    upstream::{Order, StatusError, Target},
};

/// Longest wait of a peer's query for the end of old grants; the caller gives up after 500 ms.
const GRANTS_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of open RPC connections; each entry process and peer holds one or two.
const MAX_CONNECTIONS: usize = 10_000;

/// Accepts connections until the process ends.
pub async fn serve<L: Log>(host: Rc<Host<L>>, listener: TcpListener) {
    let open_connections = Rc::new(Cell::new(0_usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _address)) => stream,
            Err(cause) => {
                slog::warn!(host.logger, "connection can't be accepted"; "cause" => %cause);
                compio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        if open_connections.get() >= MAX_CONNECTIONS {
            slog::warn!(host.logger, "connection refused: too many are open");
            continue;
        }
        // Nagle's algorithm would add up to 40 ms to a renewal.
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (host, open_connections) = (Rc::clone(&host), Rc::clone(&open_connections));
        compio::runtime::spawn(async move {
            let traffic = Rc::new(Traffic::default());
            let gate: gate::Client = capnp_rpc::new_client(Gate {
                host: Rc::clone(&host),
                traffic: Rc::clone(&traffic),
            });
            if let Err(cause) = proto::rpc::serve_counted(stream, gate.client, traffic).await {
                slog::debug!(host.logger, "connection ended"; "cause" => %cause);
            }
            open_connections.set(open_connections.get() - 1);
        })
        .detach();
    }
}

/// Interface offered on the RPC address, from which callers get the control or peer interface.
#[derive(Debug)]
pub struct Gate<L> {
    /// Host that handles the calls.
    pub host: Rc<Host<L>>,
    /// Byte counts of the connection.
    pub traffic: Rc<Traffic>,
}

impl<L: Log> gate::Server for Gate<L> {
    async fn control(
        self: Rc<Self>,
        _params: gate::ControlParams,
        mut results: gate::ControlResults,
    ) -> Result<(), Error> {
        let host = Rc::clone(&self.host);
        results
            .get()
            .set_control(capnp_rpc::new_client(ControlService::new(
                host,
                Rc::clone(&self.traffic),
            )));
        Ok(())
    }

    async fn peer(
        self: Rc<Self>,
        _params: gate::PeerParams,
        mut results: gate::PeerResults,
    ) -> Result<(), Error> {
        let host = Rc::clone(&self.host);
        results
            .get()
            .set_peer(capnp_rpc::new_client(PeerService { host }));
        Ok(())
    }
}

pub(crate) fn read_text(reader: Result<capnp::text::Reader<'_>, Error>) -> Result<String, Error> {
    Ok(reader?.to_string()?)
}

pub(crate) fn duration(milliseconds: u32) -> Duration {
    Duration::from_millis(u64::from(milliseconds))
}

/// Whole milliseconds as a `u32` of the message schema.
pub(crate) fn wire_millis(duration: Duration) -> u32 {
    u32::try_from(millis(duration)).unwrap_or(u32::MAX)
}

/// Length of a list as a `u32` of the message schema.
pub(crate) fn list_len(list: &[impl Sized]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

pub(crate) fn fill_announcement(
    now: Instant,
    received: &ReceivedAnnouncement,
    mut builder: schema::announcement::Builder<'_>,
) {
    let announcement = &received.announcement;
    builder.set_member(&announcement.member);
    builder.set_group(&announcement.group);
    builder.set_store(&announcement.store);
    builder.set_address(&announcement.address);
    builder.set_zone(&announcement.zone);
    builder.set_region(&announcement.region);
    builder.set_connections(announcement.connections);
    builder.set_slots(announcement.slots);
    builder.set_leaving(announcement.leaving);
    builder.set_age(wire_millis(now.duration_since(received.received_at)));
    builder.set_sequence(announcement.sequence);
    builder.set_born(announcement.born);
    builder.set_gone(announcement.gone);
}

pub(crate) fn fill_target(target: &Target, mut builder: schema::target::Builder<'_>) {
    builder.set_address(&target.address);
    builder.set_group(&target.group);
    builder.set_member(&target.member);
    builder.set_store(&target.store);
}

fn read_target(reader: schema::target::Reader<'_>) -> Result<Target, Error> {
    Ok(Target {
        address: read_text(reader.get_address())?,
        group: read_text(reader.get_group())?,
        member: read_text(reader.get_member())?,
        store: read_text(reader.get_store())?,
    })
}

pub(crate) fn read_announcement(
    reader: schema::announcement::Reader<'_>,
) -> Result<Announcement, Error> {
    Ok(Announcement {
        member: read_text(reader.get_member())?,
        group: read_text(reader.get_group())?,
        store: read_text(reader.get_store())?,
        address: read_text(reader.get_address())?,
        zone: read_text(reader.get_zone())?,
        region: read_text(reader.get_region())?,
        connections: reader.get_connections(),
        slots: reader.get_slots(),
        leaving: reader.get_leaving(),
        sequence: reader.get_sequence(),
        born: reader.get_born(),
        gone: reader.get_gone(),
    })
}

pub(crate) fn fill_seats<'a>(
    seats: &BTreeMap<HostName, String>,
    list: impl FnOnce(u32) -> capnp::struct_list::Builder<'a, schema::seat::Owned>,
) {
    let mut list = list(u32::try_from(seats.len()).unwrap_or(u32::MAX));
    for (i, (name, address)) in (0..).zip(seats) {
        let mut seat = list.reborrow().get(i);
        seat.set_name(name);
        seat.set_address(address);
    }
}

struct PeerService<L> {
    host: Rc<Host<L>>,
}

impl<L: Log> peer::Server for PeerService<L> {
    async fn vote(
        self: Rc<Self>,
        params: peer::VoteParams,
        results: peer::VoteResults,
    ) -> Result<(), Error> {
        self.host.log.vote(params, results).await
    }

    async fn append(
        self: Rc<Self>,
        params: peer::AppendParams,
        results: peer::AppendResults,
    ) -> Result<(), Error> {
        self.host.log.append(params, results).await
    }

    async fn snapshot(
        self: Rc<Self>,
        params: peer::SnapshotParams,
        results: peer::SnapshotResults,
    ) -> Result<(), Error> {
        self.host.log.snapshot(params, results).await
    }

    async fn transfer(
        self: Rc<Self>,
        params: peer::TransferParams,
        results: peer::TransferResults,
    ) -> Result<(), Error> {
        self.host.log.transfer(params, results).await
    }

    async fn grants(
        self: Rc<Self>,
        params: peer::GrantsParams,
        mut results: peer::GrantsResults,
    ) -> Result<(), Error> {
        let version = params.get()?.get_version();
        let group = read_text(params.get()?.get_group())?;
        let _elapsed = timeout(GRANTS_TIMEOUT, self.host.wait_grants_expired(version)).await;
        let clear = self.host.grants_expired(Instant::now(), version);
        results.get().set_known(clear.is_some());
        results.get().set_clear(clear == Some(true));
        let complete = self.host.has_all_acks(&group);
        results.get().set_complete(complete);
        if let Some(bounds) = self.host.acks(&group) {
            let mut acks = results.get().init_acks();
            acks.set_term(bounds.term);
            acks.set_least(bounds.least);
            acks.set_most(bounds.most);
        }
        Ok(())
    }

    async fn probe(
        self: Rc<Self>,
        params: peer::ProbeParams,
        mut results: peer::ProbeResults,
    ) -> Result<(), Error> {
        let target = read_target(params.get()?.get_target()?)?;
        let status = match self.host.databases.status(&target).await {
            Ok(status) => status,
            Err(cause) => {
                results.get().set_ended(match cause {
                    StatusError::Refused(_) => schema::Ended::Refused,
                    StatusError::Replaced(_) => schema::Ended::Replaced,
                    StatusError::Unknown(_) => schema::Ended::Unknown,
                });
                return Ok(());
            }
        };
        results.get().set_reached(true);
        let mut builder = results.get().init_status();
        builder.set_member(&status.member);
        builder.set_store(&status.store);
        builder.set_primary(status.primary);
        builder.set_following(&status.following);
        let mut position = builder.init_position();
        position.set_term(status.position.term);
        position.set_offset(status.position.offset);
        Ok(())
    }

    async fn order(
        self: Rc<Self>,
        params: peer::OrderParams,
        mut results: peer::OrderResults,
    ) -> Result<(), Error> {
        let target = read_target(params.get()?.get_target()?)?;
        let order = read_text(params.get()?.get_order())?;
        let mut builder = results.get();
        let Some(order) = Order::parse(&order) else {
            builder.set_cause("only orders to follow and to become primary are passed on");
            return Ok(());
        };
        match self.host.databases.order(&target, &order).await {
            Ok(()) => builder.set_done(true),
            Err(cause) => builder.set_cause(&cause),
        }
        Ok(())
    }

    async fn announce(
        self: Rc<Self>,
        params: peer::AnnounceParams,
        _results: peer::AnnounceResults,
    ) -> Result<(), Error> {
        let now = Instant::now();
        for reader in params.get()?.get_announcements()? {
            let age = duration(reader.get_age());
            self.host
                .record_announcement(now, age, read_announcement(reader)?);
        }
        Ok(())
    }

    async fn join(
        self: Rc<Self>,
        params: peer::JoinParams,
        mut results: peer::JoinResults,
    ) -> Result<(), Error> {
        let address = read_text(params.get()?.get_address())?;
        let joined = seat::join(&self.host, &address).await;
        let mut builder = results.get();
        builder.set_leader(joined.leader.as_deref().unwrap_or_default());
        builder.set_name(joined.name.as_deref().unwrap_or_default());
        builder.set_index(joined.index);
        fill_seats(&joined.seats, |count| builder.init_seats(count));
        Ok(())
    }

    async fn holder(
        self: Rc<Self>,
        params: peer::HolderParams,
        mut results: peer::HolderResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let seat = read_text(params.get_seat())?;
        let found = tenure::holder(&self.host, &seat, params.get_incarnation()).await;
        let mut builder = results.get();
        builder.set_known(found.known);
        builder.set_address(&found.address);
        builder.set_counted(found.counted);
        fill_seats(&found.seats, |count| builder.init_seats(count));
        Ok(())
    }

    async fn propose(
        self: Rc<Self>,
        params: peer::ProposeParams,
        mut results: peer::ProposeResults,
    ) -> Result<(), Error> {
        let payload = params.get()?.get_payload()?.to_vec();
        let proposed = self.host.log.propose(payload).await;
        let mut builder = results.get();
        match proposed {
            Ok((index, answer)) => {
                builder.set_accepted(true);
                builder.set_index(index);
                builder.set_answer(&answer);
                Ok(())
            }
            Err(crate::log::LogError::NotLeader(leader)) => {
                builder.set_leader(leader.as_deref().unwrap_or_default());
                Ok(())
            }
            Err(cause) => Err(Error::failed(cause.to_string())),
        }
    }
}
