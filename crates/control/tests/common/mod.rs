//! Test fakes: an in-memory log, a database on loopback, and a cluster of control hosts.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of the fakes"
)]

pub mod authority;
pub mod caller;
pub mod http;

use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use authority::FakeAuthority;
use base::{HostName, Map, Position};
use capnp::Error;
use compio::{
    net::{TcpListener, TcpStream},
    runtime::JoinHandle,
    time::sleep,
};
use control::{
    directory::Announcement,
    gate,
    host::{Host, Identity, Renewal},
    leader,
    log::{AppliedAnswer, Log, LogError},
    machine::{Answer, Command, ConfigChange, GroupState, Record, State},
    notify::Notify,
    sighting::{Health, Sighting},
    upstream::{Authority, Databases, Order, Postgres, StatusError, Target},
};
use futures_util::{FutureExt as _, future::LocalBoxFuture};
use proto::schema::peer;
use route::Status;
use serde_json::{Value, json};
use wire::{FrontendMessage, InitialMessage, Reader, Writer, reply};

/// An in-memory log that all hosts of a test share; every proposal commits immediately.
#[derive(Debug, Default)]
pub struct SharedLog {
    pub commands: RefCell<Vec<Vec<u8>>>,
    pub leader: RefCell<Option<HostName>>,
    pub term: Cell<u64>,
    /// While set, nothing commits and proposals have an unknown outcome.
    pub commits_blocked: Cell<bool>,
    /// Time since the host of each seat last answered the leader.
    pub seat_silence: RefCell<Map<HostName, Duration>>,
    /// Data directories that count, by seat.
    pub counted: RefCell<Map<HostName, u64>>,
    /// Addresses set on a host's log, by host and seat.
    pub seat_addresses: RefCell<Map<(HostName, HostName), SocketAddr>>,
    changed: Notify,
    states: RefCell<Vec<Rc<RefCell<State>>>>,
}

impl SharedLog {
    pub fn set_leader(&self, name: &str) {
        *self.leader.borrow_mut() = Some(name.to_owned());
        self.term.set(self.term.get() + 1);
        self.changed.notify();
    }

    fn commit(&self, payload: &[u8]) -> AppliedAnswer {
        self.commands.borrow_mut().push(payload.to_vec());
        let index = u64::try_from(self.commands.borrow().len()).unwrap();
        let mut answer = Vec::new();
        for state in self.states.borrow().iter() {
            answer = state.borrow_mut().execute(index, payload);
        }
        self.changed.notify();
        (index, answer)
    }
}

/// The view of one host on the [`SharedLog`].
#[derive(Debug)]
pub struct FakeLog {
    name: HostName,
    shared: Rc<SharedLog>,
    state: Rc<RefCell<State>>,
    /// Number of entries that are reported as stored but not applied.
    pub unapplied: Cell<u64>,
    /// Whether the host lost its disk.
    pub learner: Cell<bool>,
    /// Whether the host has applied what was committed before its start.
    pub caught_up: Cell<bool>,
    /// Time since the host last heard from a leader.
    pub leader_silence: Cell<Duration>,
}

impl FakeLog {
    /// Joins the log and replays the commands so far, as after a restart.
    pub fn join(name: &str, shared: &Rc<SharedLog>) -> (Self, Rc<RefCell<State>>) {
        let mut state = State::default();
        for (index, payload) in (1..).zip(shared.commands.borrow().iter()) {
            state.execute(index, payload);
        }
        let state = Rc::new(RefCell::new(state));
        shared.states.borrow_mut().push(Rc::clone(&state));
        let log = Self {
            name: name.to_owned(),
            shared: Rc::clone(shared),
            state: Rc::clone(&state),
            unapplied: Cell::new(0),
            learner: Cell::new(false),
            caught_up: Cell::new(false),
            leader_silence: Cell::default(),
        };
        (log, state)
    }

    fn leads(&self) -> bool {
        self.shared.leader.borrow().as_deref() == Some(&self.name)
    }
}

impl Log for FakeLog {
    async fn propose(&self, payload: Vec<u8>) -> Result<AppliedAnswer, LogError> {
        if !self.leads() {
            return Err(LogError::NotLeader(self.leader()));
        }
        if self.shared.commits_blocked.get() {
            return Err(LogError::Unknown);
        }
        Ok(self.shared.commit(&payload))
    }

    async fn forward(&self, payload: Vec<u8>) -> Result<AppliedAnswer, LogError> {
        if self.leader().is_none() {
            return Err(LogError::NotLeader(None));
        }
        if self.shared.commits_blocked.get() {
            return Err(LogError::Unknown);
        }
        Ok(self.shared.commit(&payload))
    }

    async fn barrier(&self) -> Result<(), LogError> {
        if self.leads() {
            Ok(())
        } else {
            Err(LogError::NotLeader(self.leader()))
        }
    }

    fn is_leader(&self, _now: Instant) -> bool {
        self.leads()
    }

    fn leader(&self) -> Option<HostName> {
        self.shared.leader.borrow().clone()
    }

    fn last_applied(&self) -> u64 {
        self.state.borrow().applied
    }

    fn last_stored(&self) -> u64 {
        self.last_applied() + self.unapplied.get()
    }

    fn apply_backlog(&self) -> u64 {
        self.unapplied.get()
    }

    fn stored_bytes(&self) -> u64 {
        0
    }

    fn term(&self) -> u64 {
        self.shared.term.get()
    }

    fn is_learner(&self) -> bool {
        self.learner.get()
    }

    fn time_since_leader(&self, _now: Instant) -> Duration {
        self.leader_silence.get()
    }

    fn incarnation(&self) -> u64 {
        1
    }

    fn may_count(&self, seat: &str, incarnation: u64) -> bool {
        self.shared.counted.borrow().get(seat) == Some(&incarnation)
    }

    fn can_be_spared(&self, _now: Instant) -> bool {
        false
    }

    fn has_caught_up(&self) -> bool {
        self.caught_up.get()
    }

    fn time_since_answer(&self, seat: &str, _now: Instant) -> Option<Duration> {
        let gone = self.shared.seat_silence.borrow();
        (self.leads() && seat != self.name).then(|| gone.get(seat).copied().unwrap_or_default())
    }

    fn set_address(&self, seat: &str, address: SocketAddr) {
        let mut moved = self.shared.seat_addresses.borrow_mut();
        moved.insert((self.name.clone(), seat.to_owned()), address);
    }

    fn failure(&self) -> Option<String> {
        None
    }

    async fn changed(&self) {
        self.shared
            .changed
            .changed_after(self.shared.changed.count())
            .await;
    }

    fn dump(&self) -> Value {
        json!({ "term": self.shared.term.get() })
    }

    async fn transfer_leadership(&self) -> bool {
        false
    }

    async fn stop(&self) {}

    async fn transfer(
        &self,
        _: peer::TransferParams,
        _: peer::TransferResults,
    ) -> Result<(), Error> {
        Err(Error::unimplemented("the fake log has no transfer".into()))
    }

    async fn vote(&self, _: peer::VoteParams, _: peer::VoteResults) -> Result<(), Error> {
        Err(Error::unimplemented("the fake log has no votes".into()))
    }

    async fn append(&self, _: peer::AppendParams, _: peer::AppendResults) -> Result<(), Error> {
        Err(Error::unimplemented(
            "the fake log has no replication".into(),
        ))
    }

    async fn snapshot(
        &self,
        _: peer::SnapshotParams,
        _: peer::SnapshotResults,
    ) -> Result<(), Error> {
        Err(Error::unimplemented("the fake log has no snapshots".into()))
    }
}

/// State of a fake database.
#[derive(Debug, Clone, Default)]
pub struct Database {
    pub member: String,
    pub store: String,
    pub primary: bool,
    pub position: Position,
    pub following: String,
    /// Announced as about to stop.
    pub leaving: bool,
    /// Injected fault: connections are refused, or accepted and never answered.
    pub fault: Option<Health>,
    /// Refuses connections after it has executed a PROMOTE.
    pub fails_after_promote: bool,
    /// Executed statements that changed the role.
    pub statements: Vec<String>,
}

/// A database on loopback that answers the management statements.
#[derive(Debug)]
pub struct FakeMember {
    pub state: Rc<RefCell<Database>>,
    pub address: SocketAddr,
    /// Announces nothing any more, whether or not it answers.
    pub unheard: Cell<bool>,
    task: Option<JoinHandle<()>>,
}

impl FakeMember {
    pub async fn start(member: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(RefCell::new(Database {
            member: member.to_owned(),
            store: format!("store-{member}"),
            ..Database::default()
        }));
        let shared = Rc::clone(&state);
        let task = compio::runtime::spawn(async move {
            loop {
                let (stream, _from) = listener.accept().await.unwrap();
                if shared.borrow().fault == Some(Health::Refused) {
                    continue;
                }
                let shared = Rc::clone(&shared);
                compio::runtime::spawn(async move {
                    let _ended = serve_connection(stream, shared).await;
                })
                .detach();
            }
        });
        Self {
            state,
            address,
            unheard: Cell::new(false),
            task: Some(task),
        }
    }

    pub fn announcement(&self, group: &str, zone: &str) -> Announcement {
        let state = self.state.borrow();
        Announcement {
            member: state.member.clone(),
            group: group.to_owned(),
            store: state.store.clone(),
            address: self.address.to_string(),
            zone: zone.to_owned(),
            region: "r".to_owned(),
            connections: 16,
            slots: 2,
            leaving: state.leaving,
            ..Announcement::default()
        }
    }

    /// Ends the process: the address refuses connections.
    pub fn end(&mut self) {
        self.task = None;
    }

    /// Turns the database into an empty replica with a new store.
    pub fn lose_disk(&self) {
        let mut state = self.state.borrow_mut();
        "new".clone_into(&mut state.store);
        state.position = Position::default();
        state.primary = false;
        state.following.clear();
    }

    /// Executed PROMOTE statements.
    pub fn promote_statements(&self) -> Vec<String> {
        let state = self.state.borrow();
        state
            .statements
            .iter()
            .filter(|o| o.starts_with("PROMOTE"))
            .cloned()
            .collect()
    }
}

async fn serve_connection(stream: TcpStream, state: Rc<RefCell<Database>>) -> Option<()> {
    let (read, write) = (stream.clone(), stream);
    let (mut reader, mut writer) = (Reader::new(read, 1 << 20), Writer::new(write));
    let Some(InitialMessage::Startup(..)) = reader.initial_message().await.ok()? else {
        return None;
    };
    writer.parts(b'R', &0_i32.to_be_bytes());
    writer
        .message(&reply::ready_for_query(idle_status()))
        .ok()?;
    writer.flush().await.ok()?;
    while let Some(frame) = reader.next().await.ok()? {
        let Ok(FrontendMessage::Query(sql)) = FrontendMessage::parse(&frame) else {
            return None;
        };
        if state.borrow().fault == Some(Health::Silent) {
            std::future::pending::<()>().await;
        }
        let answer = execute(&mut state.borrow_mut(), &sql);
        match answer {
            Ok(Some(row)) => {
                let mut body = i16::try_from(row.len()).unwrap().to_be_bytes().to_vec();
                for value in row {
                    body.extend(i32::try_from(value.len()).unwrap().to_be_bytes());
                    body.extend(value.as_bytes());
                }
                writer.parts(b'D', &body);
                writer.message(&reply::command_complete("SHOW")).ok()?;
            }
            Ok(None) => writer.message(&reply::command_complete("DONE")).ok()?,
            Err(cause) => writer.message(&reply::error("55000", &cause, "")).ok()?,
        }
        writer
            .message(&reply::ready_for_query(idle_status()))
            .ok()?;
        writer.flush().await.ok()?;
    }
    None
}

fn idle_status() -> wire::pg::response::TransactionStatus {
    wire::pg::response::TransactionStatus::Idle
}

fn execute(state: &mut Database, sql: &str) -> Result<Option<Vec<String>>, String> {
    if sql == "SHOW upstream_status" {
        let role = if state.primary { "primary" } else { "replica" };
        return Ok(Some(vec![
            state.member.clone(),
            state.store.clone(),
            role.to_owned(),
            state.position.term.to_string(),
            state.position.offset.to_string(),
            state.following.clone(),
        ]));
    }
    let term: u64 = sql.rsplit(' ').next().unwrap().parse().unwrap();
    if sql.starts_with("PROMOTE") {
        if term <= state.position.term && !(state.primary && term == state.position.term) {
            return Err("the term is not newer".into());
        }
        state.primary = true;
        state.following.clear();
        if state.fails_after_promote {
            state.fault = Some(Health::Refused);
        }
    } else {
        if term < state.position.term {
            return Err("the term is older".into());
        }
        state.primary = false;
        sql.split('\'')
            .nth(1)
            .unwrap()
            .clone_into(&mut state.following);
    }
    state.position.term = term;
    state.statements.push(sql.to_owned());
    Ok(None)
}

/// Like [`Postgres`], but databases may come back with their log under another name.
#[derive(Debug)]
pub struct RenamingPostgres {
    pub postgres: Postgres,
    /// Whether the primary acknowledges a commit that any replica has.
    pub any_replica: bool,
    /// Promotes the databases in place of orders.
    pub authority: Option<Rc<FakeAuthority>>,
}

impl Databases for RenamingPostgres {
    fn status<'a>(&'a self, target: &'a Target) -> LocalBoxFuture<'a, Result<Status, StatusError>> {
        let status = self.postgres.status(target);
        if !self.any_replica {
            return status;
        }
        // As on the users' platform, a status doesn't tell the store.
        let named = async move {
            status.await.map(|status| Status {
                store: target.store.clone(),
                ..status
            })
        };
        named.boxed_local()
    }

    fn order<'a>(
        &'a self,
        target: &'a Target,
        order: &'a Order,
    ) -> LocalBoxFuture<'a, Result<(), String>> {
        self.postgres.order(target, order)
    }

    fn authority(&self) -> Option<&dyn Authority> {
        let authority = self.authority.as_deref()?;
        Some(authority)
    }

    fn finds_primary(&self) -> bool {
        self.authority.is_some()
    }

    fn may_return_renamed(&self) -> bool {
        true
    }

    fn counts_any_replica(&self) -> bool {
        self.any_replica
    }
}

/// A control host that serves RPC on loopback.
#[derive(Debug)]
pub struct TestHost {
    pub host: Rc<Host<FakeLog>>,
    tasks: Vec<JoinHandle<()>>,
}

impl TestHost {
    /// Aborts its tasks, like a crash.
    pub fn crash(&mut self) {
        self.tasks.clear();
    }
}

/// Returns a start time in the past, so that hosts do not wait for grants from before their start.
pub fn past_start() -> Instant {
    Instant::now().checked_sub(Duration::from_mins(1)).unwrap()
}

/// Three control hosts that share one log.
#[derive(Debug)]
pub struct Cluster {
    pub shared: Rc<SharedLog>,
    pub hosts: Vec<TestHost>,
    pub addresses: Vec<(HostName, SocketAddr)>,
    any_replica: bool,
    authority: Option<Rc<FakeAuthority>>,
}

impl Cluster {
    /// Starts three hosts; the first leads.
    pub async fn start() -> Self {
        Self::start_with(false).await
    }

    /// Like [`Self::start`], with databases that `authority` promotes.
    pub async fn start_managed(authority: &Rc<FakeAuthority>) -> Self {
        Self::launch(true, Some(Rc::clone(authority))).await
    }

    /// Like [`Self::start`]; with `any_replica`, the primary acknowledges a commit that any replica
    /// has.
    pub async fn start_with(any_replica: bool) -> Self {
        Self::launch(any_replica, None).await
    }

    async fn launch(any_replica: bool, authority: Option<Rc<FakeAuthority>>) -> Self {
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addresses = listeners.iter().enumerate();
        let addresses: Vec<_> = addresses
            .map(|(i, l)| (format!("c{i}"), l.local_addr().unwrap()))
            .collect();
        let mut cluster = Self {
            shared: Rc::default(),
            hosts: Vec::new(),
            addresses,
            any_replica,
            authority,
        };
        for (i, listener) in listeners.into_iter().enumerate() {
            let running = cluster.run(i, listener, past_start());
            cluster.hosts.push(running);
        }
        cluster.shared.set_leader("c0");
        cluster
    }

    fn run(&self, i: usize, listener: TcpListener, now: Instant) -> TestHost {
        let name = format!("c{i}");
        let (log, state) = FakeLog::join(&name, &self.shared);
        let identity = Identity {
            name,
            zone: format!("z{i}"),
            region: "r".to_owned(),
            host: IpAddr::V4(Ipv4Addr::LOCALHOST),
            peers: self.addresses.clone(),
            allow_replacement: false,
            seat_index: 0,
            rates: base::rates::Rates::default(),
        };
        let databases = Rc::new(RenamingPostgres {
            postgres: Postgres {
                host: identity.host,
            },
            any_replica: self.any_replica,
            authority: self.authority.clone(),
        });
        let host = Host::new(now, identity, log, databases, state, base::log::silent());
        let tasks = vec![
            compio::runtime::spawn(gate::serve(Rc::clone(&host), listener)),
            compio::runtime::spawn(leader::run(Rc::clone(&host))),
            compio::runtime::spawn(leader::report_applied(Rc::clone(&host))),
            compio::runtime::spawn(leader::expire_tables(Rc::clone(&host))),
        ];
        TestHost { host, tasks }
    }

    /// Restarts host `i` with only the state in the log.
    pub async fn restart(&mut self, i: usize, now: Instant) {
        self.hosts[i].crash();
        sleep(Duration::from_millis(5)).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        self.hosts[i] = self.run(i, listener, now);
    }

    /// Makes host `i` unresponsive: its address accepts connections and answers nothing.
    pub async fn silence(&mut self, i: usize) {
        self.hosts[i].crash();
        sleep(Duration::from_millis(5)).await;
        let listener = TcpListener::bind(self.addresses[i].1).await.unwrap();
        let silent = compio::runtime::spawn(async move {
            let mut held = Vec::new();
            while let Ok((stream, _from)) = listener.accept().await {
                held.push(stream);
            }
        });
        self.hosts[i].tasks.push(silent);
    }

    pub fn leader(&self) -> &Rc<Host<FakeLog>> {
        let leader = self.shared.leader.borrow().clone().unwrap();
        &self
            .hosts
            .iter()
            .find(|running| running.host.identity.name == leader)
            .unwrap()
            .host
    }

    /// Proposes a command on the leader.
    pub async fn propose(&self, command: Command) {
        self.leader().log.propose(command.encode()).await.unwrap();
    }

    /// Sets the group record to a step of the change to term 2, as left behind by a leader that
    /// crashed at that step.
    pub async fn interrupt(&self, state: GroupState, primary: &str) {
        let old = self.record().unwrap();
        let base = old.version;
        let primary = primary.to_owned();
        let record = Record {
            state,
            next: 2,
            primary,
            ..old
        };
        self.propose(Command::Record { base, record }).await;
    }

    pub fn record(&self) -> Option<Record> {
        self.leader().record("g")
    }

    /// Puts a configuration with one service of group `g` in force.
    pub fn configure(&self) {
        self.configure_with("[[service]]\nname = \"s\"\ngroup = \"g\"\n");
    }

    /// Like [`Self::configure`], with databases that come and go without an operator's order.
    pub fn configure_open_group(&self) {
        self.configure_with("[[service]]\nname = \"s\"\ngroup = \"g\"\ndatabases = 0\n");
    }

    fn configure_with(&self, document: &str) {
        let answer = self
            .shared
            .commit(&configure("first", 0, document).encode())
            .1;
        assert!(matches!(Answer::decode(&answer), Answer::Done { .. }));
    }

    /// Sends the renewal of an entry process to every host, and returns which hosts granted it.
    pub fn renew(&self, renewal: &Renewal) -> Vec<bool> {
        let now = Instant::now();
        self.hosts
            .iter()
            .map(|r| r.host.renew(now, renewal.clone()).granted)
            .collect()
    }
}

pub fn configure(change: &str, base: u64, document: &str) -> Command {
    Command::Configure(ConfigChange {
        change: change.to_owned(),
        base,
        document: document.to_owned(),
        author: "anna".to_owned(),
        reason: "test".to_owned(),
        time: 1,
        confirmations: [("g".to_owned(), 2)].into(),
    })
}

/// The three databases of group `g`; creates the renewals of entry processes that observe them.
#[derive(Debug)]
pub struct Group {
    pub members: Vec<FakeMember>,
}

impl Group {
    pub async fn start() -> Self {
        let mut members = Vec::new();
        for name in ["a", "b", "c"] {
            members.push(FakeMember::start(name).await);
        }
        Self { members }
    }

    pub fn announcements(&self) -> Vec<(Announcement, Duration)> {
        let members = self.members.iter().enumerate();
        let heard = members.filter(|(_, m)| !m.unheard.get());
        heard
            .map(|(i, m)| (m.announcement("g", &format!("z{i}")), Duration::ZERO))
            .collect()
    }

    /// Creates the renewal of entry process `i`, with the health of each member from `health_of`.
    pub fn renewal(
        &self,
        i: usize,
        records: u64,
        health_of: impl Fn(&Database) -> Health,
    ) -> Renewal {
        let sightings = self.members.iter().map(|member| {
            let state = member.state.borrow();
            let health = health_of(&state);
            let since = if health == Health::Ok { 0 } else { 1_600 };
            let sighting = Sighting {
                health,
                since: Duration::from_millis(since),
                position: state.position,
                primary: state.primary,
            };
            ("g".to_owned(), state.member.clone(), sighting)
        });
        Renewal {
            entry: format!("e{i}"),
            zone: format!("z{}", i % 3),
            run: 1,
            record_version: records,
            config_version: 1,
            announcements: self.announcements(),
            sightings: sightings.collect(),
            reports_acks: true,
            ..Renewal::default()
        }
    }

    /// Health according to the injected fault.
    pub fn actual_health(database: &Database) -> Health {
        database.fault.unwrap_or(Health::Ok)
    }

    /// Sends the renewals of three live entry processes that know the newest record.
    pub fn observe(&self, cluster: &Cluster) {
        let records = cluster.leader().state.borrow().version;
        for i in 0..3 {
            cluster.renew(&self.renewal(i, records, Self::actual_health));
        }
    }
}

/// Sends renewals every 50 ms until `done`, for at most `limit`, and returns the elapsed time.
pub async fn observe_until(
    cluster: &Cluster,
    group: &Group,
    limit: Duration,
    done: impl Fn() -> bool,
) -> Duration {
    let start = Instant::now();
    while !done() {
        assert!(
            start.elapsed() < limit,
            "not within {limit:?}: {:?}",
            cluster.record()
        );
        group.observe(cluster);
        sleep(Duration::from_millis(50)).await;
    }
    start.elapsed()
}

/// Sends renewals until the record is stable in `term` or a newer one and every member has its role.
pub async fn observe_until_term(cluster: &Cluster, group: &Group, term: u64) -> Duration {
    observe_until(cluster, group, Duration::from_secs(12), || {
        cluster.record().is_some_and(|record| record.term >= term) && is_settled(cluster, group)
    })
    .await
}

/// Starts a cluster with a stable group in term 1: the primary is `a`, and all members are at
/// offset 10.
pub async fn stable_group() -> (Cluster, Group) {
    stable_group_of(Cluster::start().await).await
}

/// Like [`stable_group`], for a new cluster.
pub async fn stable_group_of(cluster: Cluster) -> (Cluster, Group) {
    let group = Group::start().await;
    cluster.configure();
    observe_until_term(&cluster, &group, 1).await;
    for member in &group.members {
        member.state.borrow_mut().position.offset = 10;
    }
    (cluster, group)
}

/// Whether the record is stable and every member without a fault has its role.
pub fn is_settled(cluster: &Cluster, group: &Group) -> bool {
    let Some(record) = cluster.record() else {
        return false;
    };
    record.state == GroupState::Stable
        && record.next == 0
        && group.members.iter().all(|member| {
            let state = member.state.borrow();
            state.fault.is_some()
                || (state.position.term == record.term
                    && state.primary == (state.member == record.primary))
        })
}
