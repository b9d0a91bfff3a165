//! RPC server for entry processes and other control hosts.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{EntryName, HostName, Position, Version, map};
use capnp::Error;
use compio::{net::TcpListener, time::timeout};
use proto::{
    schema::{self, control, gate, peer},
    traffic::Traffic,
};

use crate::{
    cancel::Registration,
    directory::{Announcement, ReceivedAnnouncement},
    host::{Demand, Host, Renewal, millis},
    leases::LEASE_DURATION,
    log::Log,
    machine::{GroupState, Record},
    permits, seat,
    session::RenewalSession,
    sighting::{Health, Sighting},
    tenure,
    upstream::{Order, StatusError, Target},
};

/// A watch without changes is answered after this time, unless the caller asks for another one.
const DEFAULT_POLL: Duration = Duration::from_secs(1);
/// Longest wait of a peer's query for the end of old grants; the caller gives up after 500 ms.
const GRANTS_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest poll that an entry process may request.
const MAX_POLL: Duration = Duration::from_secs(10);
/// Most records and most announcements in one answer to a watch. Without a limit, hundreds of entry
/// processes on slow links that start together would make this host hold the whole directory once
/// for each of them.
const MAX_CHANGES: usize = 100;
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
            .set_control(capnp_rpc::new_client(ControlService {
                host,
                registration: RefCell::default(),
                traffic: Rc::clone(&self.traffic),
                session: RefCell::default(),
            }));
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

struct ControlService<L> {
    host: Rc<Host<L>>,
    /// Registration for cancel requests. It ends with the connection.
    registration: RefCell<Option<Registration>>,
    traffic: Rc<Traffic>,
    session: RefCell<RenewalSession>,
}

impl<L: Log> ControlService<L> {
    /// Counts the bytes sent since the last call if the entry process is in another region.
    fn count_bytes(&self, entry: &str) {
        let (sent, _received) = self.traffic.take();
        self.host.count_bytes(entry, sent);
    }
}

fn read_text(reader: Result<capnp::text::Reader<'_>, Error>) -> Result<String, Error> {
    Ok(reader?.to_string()?)
}

fn duration(milliseconds: u32) -> Duration {
    Duration::from_millis(u64::from(milliseconds))
}

fn read_renewal(request: schema::renew_request::Reader<'_>) -> Result<Renewal, Error> {
    let announcements = request
        .get_announcements()?
        .iter()
        .map(|a| Ok((read_announcement(a)?, duration(a.get_age()))));
    let sightings = request.get_sightings()?.iter().map(|s| {
        let position = s.get_position()?;
        let sighting = Sighting {
            health: match s.get_health()? {
                schema::Health::Ok => Health::Ok,
                schema::Health::Refused => Health::Refused,
                schema::Health::Silent => Health::Silent,
            },
            since: duration(s.get_since()),
            position: Position::new(position.get_term(), position.get_offset()),
            primary: s.get_primary(),
        };
        Ok((
            read_text(s.get_group())?,
            read_text(s.get_member())?,
            sighting,
        ))
    });
    let demands = request.get_demands()?.iter().map(|d| {
        Ok(Demand {
            member: read_text(d.get_member())?,
            used: d.get_used(),
            wanted: d.get_wanted(),
        })
    });
    Ok(Renewal {
        entry: read_text(request.get_entry())?,
        zone: read_text(request.get_zone())?,
        run: request.get_run(),
        record_version: request.get_record_version(),
        config_version: request.get_config_version(),
        announcements: announcements.collect::<Result<_, Error>>()?,
        sightings: sightings.collect::<Result<_, Error>>()?,
        demands: demands.collect::<Result<_, Error>>()?,
        http: read_text(request.get_http())?,
        forwarding: read_text(request.get_forwarding())?,
        stopping: request.get_stopping(),
        acks: Vec::new(),
        reports_acks: request.get_reports_acks(),
    })
}

/// Whole milliseconds as a `u32` of the message schema.
fn wire_millis(duration: Duration) -> u32 {
    u32::try_from(millis(duration)).unwrap_or(u32::MAX)
}

/// Hash that identifies a list of near entry processes; 0 for an empty list.
fn near_mark(near: &BTreeMap<EntryName, String>) -> u64 {
    if near.is_empty() {
        return 0;
    }
    map::hash(near).max(1)
}

/// Length of a list as a `u32` of the message schema.
pub(crate) fn list_len(list: &[impl Sized]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

impl<L: Log> control::Server for ControlService<L> {
    async fn renew(
        self: Rc<Self>,
        params: control::RenewParams,
        mut results: control::RenewResults,
    ) -> Result<(), Error> {
        let request = params.get()?.get_request()?;
        let is_numbered = request.get_sequence() > 0;
        let renewal = if is_numbered {
            self.session.borrow_mut().read_renewal(request)?
        } else {
            Some(read_renewal(request)?)
        };
        let Some(renewal) = renewal else {
            results.get().init_reply().set_resync(true);
            return Ok(());
        };
        if renewal.entry.is_empty() {
            return Err(Error::failed(
                "renew: entry is empty; send the name of the entry".into(),
            ));
        }
        let entry = renewal.entry.clone();
        let renewed = self.host.renew(Instant::now(), renewal);
        let mut reply = results.get().init_reply();
        reply.set_granted(renewed.granted);
        if !is_numbered {
            reply.set_duration(wire_millis(LEASE_DURATION));
        }
        if !is_numbered {
            let state = self.host.state.borrow();
            reply.set_record_version(state.version);
            reply.set_config_version(state.config.version);
            reply.set_directory_version(self.host.directory.borrow().version());
        }
        if request.get_sequence() <= 1 {
            reply.set_host(&self.host.identity.name);
        }
        reply.set_leader(renewed.leader);
        reply.set_drain(renewed.drain);
        reply.set_entries(renewed.entry_count);
        reply.set_zones(renewed.zone_count);
        let mark = near_mark(&renewed.near_entries);
        reply.set_near_mark(mark);
        if mark != request.get_near_mark() {
            let count = u32::try_from(renewed.near_entries.len()).unwrap_or(u32::MAX);
            let mut list = reply.reborrow().init_near(count);
            for (i, (name, address)) in (0..).zip(&renewed.near_entries) {
                let mut near = list.reborrow().get(i);
                near.set_name(name);
                near.set_address(address);
            }
        }
        reply.set_permit_duration(wire_millis(permits::PERMIT_DURATION));
        if is_numbered {
            let session = self.session.borrow();
            let lent = renewed.permits.iter();
            let lent: Vec<_> = lent
                .filter_map(|(member, lent)| Some((session.member_number(member)?, *lent)))
                .collect();
            if !lent.is_empty() {
                let mut list = reply.init_lent(list_len(&lent));
                for (i, (number, count)) in (0..).zip(lent) {
                    let mut permit = list.reborrow().get(i);
                    permit.set_number(number);
                    permit.set_lent(count);
                }
            }
        } else {
            let mut list = reply.init_permits(list_len(&renewed.permits));
            for (i, (member, lent)) in (0..).zip(&renewed.permits) {
                let mut permit = list.reborrow().get(i);
                permit.set_member(member);
                permit.set_lent(*lent);
            }
        }
        self.count_bytes(&entry);
        Ok(())
    }

    async fn watch(
        self: Rc<Self>,
        params: control::WatchParams,
        mut results: control::WatchResults,
    ) -> Result<(), Error> {
        let request = params.get()?.get_request()?;
        let records = request.get_record_version();
        let config = request.get_config_version();
        let directory = if request.get_directory_run() == self.host.run {
            request.get_directory_version()
        } else {
            0
        };
        let seats = request.get_seats_known();
        let has_changes = |host: &Host<L>| {
            let state = host.state.borrow();
            let current = host.directory.borrow().version();
            state.version > records
                || state.config.version > config
                || current > directory
                || (seats > 0 && tells_seats(host, records, seats))
        };
        let poll = match duration(request.get_patience()) {
            Duration::ZERO => DEFAULT_POLL,
            patience => patience.min(MAX_POLL),
        };
        let wait = async {
            loop {
                let count = self.host.changes.count();
                if has_changes(&self.host) {
                    return;
                }
                self.host.changes.changed_after(count).await;
            }
        };
        // On a timeout, the reply has no changes.
        let _elapsed = timeout(poll, wait).await;
        fill_watch_reply(
            &self.host,
            results.get().init_reply(),
            (records, seats),
            (config, request.get_telling()?),
            directory,
        )?;
        let entry = self.session.borrow().entry_name().to_owned();
        let entry_in_request = request.get_entry()?.to_str()?;
        self.count_bytes(if entry_in_request.is_empty() {
            &entry
        } else {
            entry_in_request
        });
        Ok(())
    }

    async fn listen(
        self: Rc<Self>,
        params: control::ListenParams,
        _results: control::ListenResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let cancellers = &self.host.cancellers;
        let registration = cancellers.register(params.get_run(), params.get_canceller()?);
        self.registration.replace(Some(registration));
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: control::CancelParams,
        mut results: control::CancelResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let cancellers = Rc::clone(&self.host.cancellers);
        let reached = cancellers
            .cancel(params.get_pid(), params.get_secret())
            .await;
        results.get().set_reached(reached);
        Ok(())
    }
}

/// Whether a caller that has records up to `records` and the list of seats `seats`, as in its request,
/// is told the seats. A host that still applies what was committed before its start may know former
/// seats only, and a caller would turn to hosts that are gone.
fn tells_seats<L: Log>(host: &Host<L>, records: Version, seats: u64) -> bool {
    let seated = host.state.borrow().seated;
    match seats.checked_sub(1) {
        Some(known) => seated > known && host.log.has_caught_up(),
        None => seated > records,
    }
}

fn fill_watch_reply<L: Log>(
    host: &Host<L>,
    mut reply: schema::watch_reply::Builder<'_>,
    (records, seats): (Version, u64),
    (config, telling): (Version, schema::Telling),
    directory: Version,
) -> Result<(), Error> {
    let now = Instant::now();
    let state = host.state.borrow();
    reply.set_record_version(state.version);
    reply.set_config_version(state.config.version);
    if state.config.version > config {
        match telling {
            schema::Telling::Text => reply.set_document(&state.config.document),
            schema::Telling::Change => {
                let mut documents = host.documents.borrow_mut();
                documents.add(state.config.version, &state.config.document);
                let (base, change) = documents.patch_from(config)?;
                reply.set_change_base(base);
                reply.set_change(&change);
            }
            schema::Telling::Version => {}
        }
    }
    reply.set_directory_run(host.run);
    reply.set_age(wire_millis(host.log.time_since_leader(base::clock::now())));
    let mut changed: Vec<_> = state.records_since(records).collect();
    if changed.len() > MAX_CHANGES {
        changed.sort_unstable_by_key(|record| record.version);
        changed.truncate(MAX_CHANGES);
        // The next watch asks for the records after this version.
        reply.set_record_version(changed.last().map_or(records, |record| record.version));
    }
    let mut list = reply.reborrow().init_records(list_len(&changed));
    for (i, record) in (0..).zip(changed) {
        fill_record(record, list.reborrow().get(i));
    }
    if tells_seats(host, records, seats) {
        reply.set_seats_version(state.seated);
        fill_seats(&state.seats, |count| reply.reborrow().init_seats(count));
    }
    let current = host.directory.borrow();
    reply.set_directory_version(current.version());
    let mut changed = current.changed_since(directory);
    if changed.len() > MAX_CHANGES {
        changed.truncate(MAX_CHANGES);
        reply.set_directory_version(changed.last().map_or(directory, |last| last.version));
    }
    let mut list = reply.init_announcements(list_len(&changed));
    for (i, received) in (0..).zip(changed) {
        fill_announcement(now, received, list.reborrow().get(i));
    }
    Ok(())
}

fn fill_record(record: &Record, mut builder: schema::group_record::Builder<'_>) {
    builder.set_group(&record.group);
    builder.set_term(record.term);
    builder.set_state(match record.state {
        GroupState::Stable => schema::GroupState::Stable,
        GroupState::Fencing => schema::GroupState::Fencing,
        GroupState::Promoting => schema::GroupState::Promoting,
    });
    builder.set_next(record.next);
    builder.set_primary(&record.primary);
    builder.set_version(record.version);
    let mut list = builder.init_members(list_len(&record.members));
    for (i, member) in (0..).zip(&record.members) {
        let mut builder = list.reborrow().get(i);
        builder.set_member(&member.member);
        builder.set_store(&member.store);
        builder.set_address(&member.address);
        builder.set_zone(&member.zone);
        builder.set_region(&member.region);
    }
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

fn read_announcement(reader: schema::announcement::Reader<'_>) -> Result<Announcement, Error> {
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

fn fill_seats<'a>(
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
