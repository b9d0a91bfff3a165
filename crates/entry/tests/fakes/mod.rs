//! Fakes for the peers of an entry process: control hosts over RPC and upstreams over the
//! PostgreSQL protocol, all in the test process.
#![allow(dead_code, reason = "each test file uses a part of the fakes")]

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Position, Version};
use compio::net::TcpListener;
use entry::{
    fleet::{Fleet as _, ReadRequirement},
    group::{MemberRecord, Phase, Record},
    network::Network,
    pool::PooledConn,
    refusal::Refusal,
    settings::Settings,
};
use event_listener::Event;
use futures_util::future::{Either, select};
use proto::schema::{self, control, gate};
use route::{Announcement, Location};
use wire::{InitialMessage, Reader, Writer};

/// Runs a test on its own runtime.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(test)
}

pub fn deadline_in(millis: u64) -> Instant {
    Instant::now() + Duration::from_millis(millis)
}

pub async fn sleep(millis: u64) {
    compio::time::sleep(Duration::from_millis(millis)).await;
}

/// Waits until `condition` holds, for at most five seconds.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = deadline_in(5_000);
    while !condition() {
        assert!(Instant::now() < end, "not within 5 s: {what}");
        sleep(2).await;
    }
}

/// State that all fake control hosts share and report.
#[derive(Default)]
pub struct ControlState {
    pub grants_leases: Cell<bool>,
    pub records: RefCell<Vec<Record>>,
    pub record_version: Cell<Version>,
    /// Version of the last record that ended a term. As on a real control host, it still applies
    /// after the group is stable again.
    pub term_end_version: Cell<Version>,
    pub document: RefCell<String>,
    pub config_version: Cell<Version>,
    pub members: RefCell<Vec<(Announcement, u32)>>,
    pub directory_version: Cell<u64>,
    pub lent: RefCell<Vec<(String, u32)>>,
    pub sightings: Cell<u32>,
    pub announced: RefCell<Vec<String>>,
    pub renewals: Cell<u32>,
    /// Control hosts that are told to processes without a list.
    pub seats: RefCell<Vec<SocketAddr>>,
    /// When a member was first reported as refusing connections.
    pub first_refused: Cell<Option<Instant>>,
    changed: Event,
}

impl ControlState {
    pub fn put_record(&self, mut record: Record) {
        let version = self.record_version.get() + 1;
        record.version = version;
        let mut records = self.records.borrow_mut();
        let ended = |known: &Record| known.group == record.group && known.term < record.term;
        if record.phase == Phase::Fencing || records.iter().any(ended) {
            self.term_end_version.set(version);
        }
        records.retain(|known| known.group != record.group);
        records.push(record);
        self.record_version.set(version);
        self.changed.notify(usize::MAX);
    }

    pub fn put_document(&self, text: &str) {
        text.clone_into(&mut self.document.borrow_mut());
        self.config_version.update(|version| version + 1);
        self.changed.notify(usize::MAX);
    }

    pub fn put_member(&self, announcement: Announcement, age: u32) {
        let mut members = self.members.borrow_mut();
        members.retain(|(known, _)| known.member != announcement.member);
        members.push((announcement, age));
        self.directory_version.update(|version| version + 1);
        self.changed.notify(usize::MAX);
    }
}

/// A fake control host; dropping it closes its connections.
pub struct FakeControl {
    pub address: SocketAddr,
    _server: compio::runtime::JoinHandle<()>,
}

impl FakeControl {
    pub async fn start(control_state: Rc<ControlState>, name: &str, leader: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let name = name.to_owned();
        let server = compio::runtime::spawn(async move {
            let mut open = Vec::new();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let gate: gate::Client = capnp_rpc::new_client(FakeControlHost {
                    control_state: Rc::clone(&control_state),
                    name: name.clone(),
                    leader,
                });
                open.push(compio::runtime::spawn(async move {
                    let _ended = proto::rpc::serve(stream, gate.client).await;
                }));
            }
        });
        Self {
            address,
            _server: server,
        }
    }
}

#[derive(Clone)]
struct FakeControlHost {
    control_state: Rc<ControlState>,
    name: String,
    leader: bool,
}

impl gate::Server for FakeControlHost {
    async fn control(
        self: Rc<Self>,
        _: gate::ControlParams,
        mut results: gate::ControlResults,
    ) -> Result<(), capnp::Error> {
        results
            .get()
            .set_control(capnp_rpc::new_client((*self).clone()));
        Ok(())
    }
}

impl control::Server for FakeControlHost {
    async fn renew(
        self: Rc<Self>,
        params: control::RenewParams,
        mut results: control::RenewResults,
    ) -> Result<(), capnp::Error> {
        let request = params.get()?.get_request()?;
        let control_state = &self.control_state;
        control_state.renewals.update(|count| count + 1);
        control_state
            .sightings
            .update(|count| count + request.get_seen().unwrap().len());
        let refused = |seen: schema::seen::Reader<'_>| {
            matches!(seen.get_health(), Ok(schema::Health::Refused))
        };
        if request.get_seen()?.iter().any(refused) && control_state.first_refused.get().is_none() {
            control_state.first_refused.set(Some(Instant::now()));
        }
        for announced in request.get_announcements()? {
            control_state
                .announced
                .borrow_mut()
                .push(announced.get_member()?.to_string()?);
        }
        let granted = control_state.grants_leases.get()
            && request.get_record_version() >= control_state.term_end_version.get();
        let mut reply = results.get().init_reply();
        reply.set_granted(granted);
        reply.set_duration(2_000);
        reply.set_host(&self.name);
        reply.set_leader(self.leader);
        reply.set_permit_duration(4_000);
        let lent = control_state.lent.borrow();
        let mut list = reply.init_permits(u32::try_from(lent.len()).unwrap());
        for (i, (member, count)) in (0..).zip(lent.iter()) {
            let mut permit = list.reborrow().get(i);
            permit.set_member(member);
            permit.set_lent(*count);
        }
        Ok(())
    }

    async fn watch(
        self: Rc<Self>,
        params: control::WatchParams,
        mut results: control::WatchResults,
    ) -> Result<(), capnp::Error> {
        let request = params.get()?.get_request()?;
        let control_state = &self.control_state;
        let known_versions = (
            request.get_record_version(),
            request.get_config_version(),
            request.get_directory_version(),
        );
        let changed = control_state.changed.listen();
        let has_changes = control_state.record_version.get() > known_versions.0
            || control_state.config_version.get() > known_versions.1
            || control_state.directory_version.get() > known_versions.2;
        if !has_changes {
            let _late = compio::time::timeout(Duration::from_secs(1), changed).await;
        }
        let mut reply = results.get().init_reply();
        reply.set_record_version(control_state.record_version.get());
        reply.set_config_version(control_state.config_version.get());
        reply.set_directory_version(control_state.directory_version.get());
        reply.set_directory_run(1);
        let seats = control_state.seats.borrow().clone();
        if request.get_seats_known() == 1 && !seats.is_empty() {
            reply.set_seats_version(1);
            let mut list = reply
                .reborrow()
                .init_seats(u32::try_from(seats.len()).unwrap());
            for (i, address) in (0..).zip(seats) {
                list.reborrow().get(i).set_address(address.to_string());
            }
        }
        if control_state.config_version.get() > known_versions.1 {
            reply.set_document(control_state.document.borrow().as_str());
        }
        let records = control_state.records.borrow();
        let newer: Vec<_> = records
            .iter()
            .filter(|record| record.version > known_versions.0)
            .collect();
        let mut list = reply
            .reborrow()
            .init_records(u32::try_from(newer.len()).unwrap());
        for (i, record) in (0..).zip(newer) {
            write_record(record, list.reborrow().get(i));
        }
        if control_state.directory_version.get() > known_versions.2 {
            let members = control_state.members.borrow();
            let mut list = reply.init_announcements(u32::try_from(members.len()).unwrap());
            for (i, (announced, age)) in (0..).zip(members.iter()) {
                let mut one = list.reborrow().get(i);
                one.set_member(&announced.member);
                one.set_group(&announced.group);
                one.set_store(&announced.store);
                one.set_address(announced.address.to_string());
                one.set_zone(&announced.zone);
                one.set_region(&announced.region);
                one.set_connections(announced.connections);
                one.set_slots(announced.slots);
                one.set_leaving(announced.leaving);
                one.set_age(*age);
                one.set_sequence(announced.sequence);
                one.set_born(announced.born);
            }
        }
        Ok(())
    }
}

fn write_record(record: &Record, mut builder: schema::group_record::Builder<'_>) {
    builder.set_group(&record.group);
    builder.set_term(record.term);
    builder.set_state(match record.phase {
        Phase::Stable | Phase::Draining => schema::GroupState::Stable,
        Phase::Fencing => schema::GroupState::Fencing,
        Phase::Promoting => schema::GroupState::Promoting,
    });
    let planned = record.phase == Phase::Draining;
    builder.set_next(if planned { record.term + 1 } else { 0 });
    builder.set_primary(&record.primary);
    builder.set_version(record.version);
    let mut list = builder.init_members(u32::try_from(record.members.len()).unwrap());
    for (i, member) in (0..).zip(&record.members) {
        let mut one = list.reborrow().get(i);
        one.set_member(&member.member);
        one.set_store(&member.store);
        one.set_address(&member.address);
        one.set_zone(&member.place.zone);
        one.set_region(&member.place.region);
    }
}

/// A fake upstream.
pub struct Upstream {
    pub name: String,
    pub address: SocketAddr,
    pub store: RefCell<String>,
    pub primary: Cell<bool>,
    pub position: Cell<Position>,
    /// Connections with a number below this one get no answers.
    pub silent_below: Cell<u32>,
    pub accepted: Cell<u32>,
    pub open: Cell<u32>,
    pub max_open: Cell<u32>,
    pub status_queries: Cell<u32>,
    pub queries: Cell<u32>,
    /// User of the connection and text of each query.
    pub log: RefCell<Vec<(String, String)>>,
    /// Whether connections close after their next query.
    pub close_after_query: Cell<bool>,
    /// Duration of a query in milliseconds.
    pub query_ms: Cell<u64>,
    /// Whether to send an unsolicited message after each answer.
    pub sends_unsolicited: Cell<bool>,
    /// Notified when the upstream is killed.
    killed: Event,
}

impl Upstream {
    pub async fn start(name: &str) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Rc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            store: RefCell::new(format!("store-{name}")),
            primary: Cell::new(false),
            position: Cell::new(Position::new(1, 10)),
            silent_below: Cell::new(0),
            accepted: Cell::new(0),
            open: Cell::new(0),
            max_open: Cell::new(0),
            status_queries: Cell::new(0),
            queries: Cell::new(0),
            log: RefCell::default(),
            close_after_query: Cell::new(false),
            query_ms: Cell::new(0),
            sends_unsolicited: Cell::new(false),
            killed: Event::new(),
        });
        let server = Rc::clone(&upstream);
        compio::runtime::spawn(async move {
            let mut killed = server.killed.listen();
            while let Either::Left((accepted, _)) =
                select(pin!(listener.accept()), &mut killed).await
            {
                let (stream, _) = accepted.unwrap();
                let number = server.accepted.get();
                server.accepted.set(number + 1);
                let server = Rc::clone(&server);
                compio::runtime::spawn(async move {
                    let (read, write) = (stream.clone(), stream);
                    let mut reader = Reader::new(read, 1 << 20);
                    let mut writer = Writer::new(write);
                    let session = pin!(server.serve_connection(number, &mut reader, &mut writer));
                    let _ended = select(session, server.killed.listen()).await;
                })
                .detach();
            }
        })
        .detach();
        upstream
    }

    /// Closes the listener and all connections, as when the process dies.
    pub fn kill(&self) {
        self.killed.notify(usize::MAX);
    }

    async fn serve_connection(
        &self,
        number: u32,
        reader: &mut Reader,
        writer: &mut Writer,
    ) -> Result<(), wire::WireError> {
        let Some(InitialMessage::Startup(parameters, _)) = reader.initial_message().await? else {
            return Ok(());
        };
        let data = parameters["user"] != "monitor";
        writer.parts(b'R', &[0, 0, 0, 0]);
        writer.parts(b'Z', b"I");
        writer.flush().await?;
        if data {
            self.open.update(|open| open + 1);
            self.max_open.set(self.max_open.get().max(self.open.get()));
        }
        let result = self
            .serve(number, &parameters["user"], reader, writer)
            .await;
        if data {
            self.open.update(|open| open - 1);
        }
        result
    }

    async fn serve(
        &self,
        number: u32,
        user: &str,
        reader: &mut Reader,
        writer: &mut Writer,
    ) -> Result<(), wire::WireError> {
        while let Some(frame) = reader.next().await? {
            if number < self.silent_below.get() {
                std::future::pending::<()>().await;
            }
            if frame.tag == b'Q' && frame.body.starts_with(b"SHOW upstream_status") {
                self.status_queries.update(|count| count + 1);
                self.write_status(writer);
            } else if frame.tag == b'Q' {
                self.queries.update(|count| count + 1);
                let text = String::from_utf8_lossy(&frame.body);
                let text = text.trim_end_matches('\0').to_owned();
                self.log.borrow_mut().push((user.to_owned(), text));
                sleep(self.query_ms.get()).await;
                writer.parts(b'C', b"OK\0");
            }
            writer.parts(b'Z', b"I");
            writer.flush().await?;
            if self.sends_unsolicited.get() {
                sleep(5).await;
                writer.parts(b'S', b"name\0value\0");
                writer.flush().await?;
            }
            if self.close_after_query.get() && frame.body.starts_with(b"SELECT") {
                return Ok(());
            }
        }
        Ok(())
    }

    fn write_status(&self, writer: &mut Writer) {
        let position = self.position.get();
        let role = if self.primary.get() {
            "primary"
        } else {
            "replica"
        };
        let values = [
            self.name.clone(),
            self.store.borrow().clone(),
            role.to_owned(),
            position.term.to_string(),
            position.offset.to_string(),
            String::new(),
        ];
        let mut row = 6_u16.to_be_bytes().to_vec();
        for value in values {
            row.extend(u32::try_from(value.len()).unwrap().to_be_bytes());
            row.extend(value.as_bytes());
        }
        writer.parts(b'D', &row);
        writer.parts(b'C', b"SHOW\0");
    }

    pub fn announcement(&self) -> Announcement {
        Announcement {
            member: self.name.clone(),
            group: "orders".into(),
            store: self.store.borrow().clone(),
            address: self.address,
            zone: "north".into(),
            region: "east".into(),
            connections: 4,
            slots: 4,
            leaving: false,
            sequence: 0,
            born: 0,
        }
    }
}

pub const DOCUMENT: &str = "[entries]\nmax = 1\n[[service]]\nname = \"orders\"\n\
    group = \"orders\"\nconnections = 4\nslots = 4\n";

/// A deployment of one group with members a (primary), b and c, and one entry process.
pub struct Deployment {
    pub control_state: Rc<ControlState>,
    pub controls: Vec<FakeControl>,
    pub upstreams: Vec<Rc<Upstream>>,
    pub network: Rc<Network>,
}

impl Deployment {
    pub async fn start(document: &str) -> Self {
        Self::start_in_regions(document, ["east"; 3]).await
    }

    /// Starts with a, b and c in the given regions; the entry process is in `east`.
    pub async fn start_in_regions(document: &str, regions: [&str; 3]) -> Self {
        let control_state = Rc::new(ControlState::default());
        control_state.grants_leases.set(true);
        let mut controls = Vec::new();
        for (name, leader) in [("k1", true), ("k2", false), ("k3", false)] {
            controls.push(FakeControl::start(Rc::clone(&control_state), name, leader).await);
        }
        let mut upstreams = Vec::new();
        for name in ["a", "b", "c"] {
            upstreams.push(Upstream::start(name).await);
        }
        upstreams[0].primary.set(true);
        let mut first = record(&upstreams, 1, Phase::Stable, "a");
        for ((upstream, region), known) in upstreams.iter().zip(regions).zip(&mut first.members) {
            let announcement = Announcement {
                region: region.into(),
                ..upstream.announcement()
            };
            control_state.put_member(announcement, 0);
            known.place.region = region.into();
        }
        control_state.put_record(first);
        control_state.put_document(document);
        let addresses: Vec<_> = controls
            .iter()
            .map(|control| format!("\"{}\"", control.address))
            .collect();
        let text = format!(
            "name = \"entry-1\"\nzone = \"north\"\nregion = \"east\"\nhost = \"127.0.0.1\"\n\
             address = \"127.0.0.1:1\"\nhttp = \"127.0.0.1:2\"\ncontrol = [{}]\n",
            addresses.join(", ")
        );
        let settings: Settings =
            base::settings::parse(std::path::Path::new("entry.toml"), &text).unwrap();
        let network = Network::new(settings, base::log::silent());
        network.start();
        let deployment = Self {
            control_state,
            controls,
            upstreams,
            network,
        };
        wait_until("the service is known", || {
            deployment.network.find_service("orders").is_some()
        })
        .await;
        deployment
    }

    pub async fn ready() -> Self {
        let deployment = Self::start(DOCUMENT).await;
        drop(deployment.write(3_000).await.unwrap());
        deployment.wait_for_statuses().await;
        deployment
    }

    /// Waits until the status of every database is known; none serves reads before that.
    pub async fn wait_for_statuses(&self) {
        wait_until("the status of every database is known", || {
            ["a", "b", "c"].iter().all(|name| {
                let member = self.network.member(name);
                member.is_some_and(|member| member.status().is_some())
            })
        })
        .await;
    }

    pub fn put_record(&self, term: u64, phase: Phase, primary: &str) {
        let record = record(&self.upstreams, term, phase, primary);
        self.control_state.put_record(record);
    }

    pub async fn write(&self, millis: u64) -> Result<PooledConn, Refusal> {
        let service = self.network.service("orders").unwrap();
        self.network
            .write(&service, None, deadline_in(millis))
            .await
    }

    pub async fn read(
        &self,
        token: Option<Position>,
        max_age: Option<u64>,
        millis: u64,
    ) -> Result<(PooledConn, Option<Position>), Refusal> {
        let service = self.network.service("orders").unwrap();
        let need = ReadRequirement {
            token,
            max_age: max_age.map(Duration::from_millis),
            since: base::clock::now(),
            deadline: deadline_in(millis),
        };
        self.network.read(&service, None, need).await
    }

    pub async fn confirm(&self, position: Position, millis: u64) -> Result<(), Refusal> {
        let service = self.network.service("orders").unwrap();
        self.network
            .confirm(&service, position.term, position, deadline_in(millis))
            .await
    }

    /// Sets the position of the given members.
    pub fn set_position(&self, members: &[usize], position: Position) {
        for &i in members {
            self.upstreams[i].position.set(position);
        }
    }
}

pub fn record(upstreams: &[Rc<Upstream>], term: u64, phase: Phase, primary: &str) -> Record {
    Record {
        group: "orders".into(),
        term,
        phase,
        primary: primary.into(),
        members: upstreams
            .iter()
            .map(|upstream| MemberRecord {
                member: upstream.name.clone(),
                store: format!("store-{}", upstream.name),
                address: upstream.address.to_string(),
                place: Location {
                    zone: "north".into(),
                    region: "east".into(),
                },
            })
            .collect(),
        version: 0,
    }
}

/// Runs a query on a leased connection and returns the connection.
pub async fn query(mut lease: PooledConn) {
    lease.client().query("SELECT 1").await.unwrap();
    lease.release();
}
