//! Databases of one service that speak the line protocol, and the platform that promotes them.
//!
//! All databases copy the log of the primary that they follow. A commit is acknowledged once a
//! replica has received it. A replica applies it some milliseconds later.

use std::{
    collections::{HashMap, HashSet},
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::net::{
    Network, Record, answer_http, http_call, json_text, read_http, read_line, unix_ms,
};

/// Time between a promotion call and its effect.
const PROMOTE_TIME: Duration = Duration::from_millis(1_000);
/// Time after which a replica applies a commit that it has received.
const APPLY_LAG: Duration = Duration::from_millis(20);
/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Interval at which a stopped or idle listener looks for its next connection.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which replicas look for a part of the log that they lack.
const COPY_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which a replica that holds nothing copies the log, once the primary is there.
const FIRST_COPY: Duration = Duration::from_millis(1_000);
/// Time after a promotion at which the former primary becomes a replica.
const STEP_DOWN_AFTER: Duration = Duration::from_secs(1);

/// A committed write.
#[derive(Debug, Clone)]
pub struct Commit {
    pub term: u64,
    pub number: u64,
    pub ids: Vec<String>,
    pub items: Vec<(String, String)>,
    at: Instant,
}

/// A statement that a database ran for a request id.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub text: String,
    pub database: String,
    /// Session values of the connection when it ran.
    pub values: HashMap<String, String>,
}

/// A change of primary.
#[derive(Debug, Clone)]
pub struct Promotion {
    pub id: String,
    pub term: u64,
    pub at: Instant,
    /// Request ids of the writes in the log of the new primary.
    pub ids: HashSet<String>,
}

#[derive(Debug)]
struct Database {
    id: String,
    address: SocketAddr,
    primary: bool,
    term: u64,
    log: Vec<Commit>,
    draining: bool,
    sequence: u64,
    born: u64,
    connections: u32,
    up: bool,
    /// Whether its replication is paused: it receives nothing.
    paused: bool,
    /// When it was started last.
    started: Instant,
    /// Streams of its connections, which a crash ends.
    streams: Vec<TcpStream>,
}

impl Database {
    fn position(&self) -> String {
        match self.log.last() {
            Some(last) => format!("{}.{}", last.term, last.number),
            None => format!("{}.0", self.term.min(1)),
        }
    }
}

#[derive(Default)]
struct State {
    databases: Vec<Database>,
    runs: Vec<Run>,
    promotions: Vec<Promotion>,
    /// Of this many `SET`s, one fails; 0 for none.
    failing_sets: u32,
    /// Database where they fail.
    failing_database: String,
    /// Number of `SET`s that this database got.
    sets: u32,
}

/// The databases of a service.
pub struct Group {
    pub name: String,
    state: Mutex<State>,
    record: Arc<Record>,
}

impl Group {
    /// Starts `count` databases, of which the first is the primary.
    pub fn start(name: &str, network: Network, count: u8, record: &Arc<Record>) -> Arc<Self> {
        let group = Arc::new(Self {
            name: name.to_owned(),
            state: Mutex::default(),
            record: Arc::clone(record),
        });
        for number in 1..=count {
            group.add(network, number, number == 1);
        }
        group.copy_logs();
        group
    }

    /// Starts one more database.
    pub fn add(self: &Arc<Self>, network: Network, number: u8, primary: bool) {
        let address = network.database(number);
        let mut state = self.lock();
        let log = state.databases.iter().find(|d| d.primary);
        let (log, term) = log.map_or((Vec::new(), 1), |d| (d.log.clone(), d.term));
        let id = format!("i-{number:04x}{:06x}", unix_ms() & 0xff_ffff);
        state.databases.push(Database {
            id: id.clone(),
            address,
            primary,
            term,
            log,
            draining: false,
            sequence: 0,
            born: unix_ms(),
            connections: 0,
            up: true,
            paused: false,
            started: Instant::now(),
            streams: Vec::new(),
        });
        drop(state);
        let group = Arc::clone(self);
        thread::spawn(move || group.listen(&id, address));
    }

    /// Accepts connections while the database is up. Its port has no listener while it is down.
    fn listen(self: &Arc<Self>, id: &str, address: SocketAddr) {
        let mut listener = None;
        loop {
            if !self.is_up(id) {
                listener = None;
            } else if listener.is_none() {
                let bound = TcpListener::bind(address).expect("the address is free");
                bound
                    .set_nonblocking(true)
                    .expect("a listener can be polled");
                listener = Some(bound);
            }
            let accepted = listener
                .as_ref()
                .and_then(|listener| listener.accept().ok());
            let Some((stream, _)) = accepted else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let (group, id) = (Arc::clone(self), id.to_owned());
            thread::spawn(move || {
                let kept = stream
                    .set_nonblocking(false)
                    .and_then(|()| stream.try_clone());
                let Ok(kept) = kept else { return };
                group.change(&id, |database| {
                    database.connections += 1;
                    database.streams.push(kept);
                });
                let _client_left = group.serve(&id, &stream);
                let _closed = stream.shutdown(Shutdown::Both);
                group.change(&id, |database| {
                    database.connections = database.connections.saturating_sub(1);
                });
            });
        }
    }

    fn is_up(&self, id: &str) -> bool {
        self.lock().databases.iter().any(|d| d.id == id && d.up)
    }

    /// Ends the processes of databases at the same moment.
    pub fn crash(&self, ids: &[&str]) {
        let mut state = self.lock();
        for database in state
            .databases
            .iter_mut()
            .filter(|d| ids.contains(&d.id.as_str()))
        {
            (database.up, database.connections) = (false, 0);
            for stream in database.streams.drain(..) {
                let _closed_before = stream.shutdown(Shutdown::Both);
            }
        }
        drop(state);
        self.record.add(&format!("{ids:?} crash"));
    }

    /// Lets a replica receive nothing, or everything again.
    pub fn pause_replication(&self, id: &str, paused: bool) {
        self.change(id, |database| database.paused = paused);
        let position = self.position(id);
        let what = if paused {
            "receives nothing from now on"
        } else {
            "receives again"
        };
        self.record.add(&format!("{id} {what}, at {position}"));
    }

    /// Starts a database again under its id. A primary comes back with its log, as a replica if
    /// another database was promoted; a replica holds nothing.
    pub fn restart(&self, id: &str, control: &[SocketAddr]) {
        let newest = self
            .lock()
            .databases
            .iter()
            .map(|d| d.term)
            .max()
            .unwrap_or(0);
        self.change(id, |database| {
            (database.up, database.born, database.sequence) = (true, unix_ms(), 0);
            database.started = Instant::now();
            if !database.primary {
                (database.term, database.log) = (0, Vec::new());
            }
            database.primary &= database.term == newest;
        });
        let position = self.position(id);
        self.record
            .add(&format!("{id} is back, with its log up to {position}"));
        self.send_heartbeat(id, control, 0);
    }

    /// Lets replicas that lack a part of the log copy it from the primary, until the process ends.
    pub fn copy_logs(self: &Arc<Self>) {
        let group = Arc::clone(self);
        thread::spawn(move || {
            loop {
                thread::sleep(COPY_INTERVAL);
                let mut state = group.lock();
                let now = Instant::now();
                let newest = state.databases.iter().map(|d| d.term).max().unwrap_or(0);
                let primary = state
                    .databases
                    .iter()
                    .find(|d| d.primary && d.up && d.term == newest);
                let Some((term, log, since)) = primary.map(|d| (d.term, d.log.clone(), d.started))
                else {
                    continue;
                };
                for replica in state
                    .databases
                    .iter_mut()
                    .filter(|d| d.up && !d.primary && !d.paused)
                {
                    if replica.log.is_empty() && now < since.max(replica.started) + FIRST_COPY {
                        continue;
                    }
                    if replica.term != term || replica.log.len() < log.len() {
                        (replica.term, replica.log) = (term, log.clone());
                    }
                }
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn change(&self, id: &str, change: impl FnOnce(&mut Database)) {
        if let Some(database) = self.lock().databases.iter_mut().find(|d| d.id == id) {
            change(database);
        }
    }

    /// Sends heartbeats to the control hosts, in turn, until the process ends.
    pub fn announce(self: &Arc<Self>, control: &[SocketAddr]) {
        let (group, control) = (Arc::clone(self), control.to_vec());
        thread::spawn(move || {
            for round in 0_usize.. {
                for id in group.ids() {
                    group.send_heartbeat(&id, &control, round);
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn send_heartbeat(&self, id: &str, control: &[SocketAddr], round: usize) {
        for attempt in 0..control.len() {
            let body = {
                let mut state = self.lock();
                let up = state.databases.iter_mut().find(|d| d.id == id && d.up);
                let Some(database) = up else {
                    return;
                };
                database.sequence += 1;
                format!(
                    "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":2,\
                     \"State\":\"{}\",\"ColdLeftMs\":0,\"DbRole\":\"{}\",\"Seq\":{},\"born\":{}}}",
                    self.name,
                    database.address,
                    if database.draining {
                        "draining"
                    } else {
                        "ready"
                    },
                    if database.primary {
                        "primary"
                    } else {
                        "replica"
                    },
                    database.sequence,
                    database.born
                )
            };
            let to = control[(round + attempt) % control.len()];
            let answer = http_call(to, "PUT", &format!("/-/instances/{id}"), &body);
            if answer.is_ok_and(|(status, _)| (200..300).contains(&status)) {
                return;
            }
        }
    }

    /// Makes the primary say that it leaves, at once and in all later heartbeats.
    pub fn drain_primary(&self, control: &[SocketAddr]) {
        let id = self.primary();
        self.change(&id, |database| database.draining = true);
        self.record
            .add(&format!("{id} announces that it is draining"));
        self.send_heartbeat(&id, control, 0);
    }

    pub fn ids(&self) -> Vec<String> {
        self.lock().databases.iter().map(|d| d.id.clone()).collect()
    }

    /// Primary of the newest term.
    pub fn primary(&self) -> String {
        let state = self.lock();
        let primaries = state.databases.iter().filter(|d| d.primary);
        primaries
            .max_by_key(|d| d.term)
            .map_or(String::new(), |d| d.id.clone())
    }

    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        let state = self.lock();
        state
            .databases
            .iter()
            .find(|d| d.id == id)
            .map(|d| d.address)
    }

    /// All statements that ran, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Changes of primary, in order.
    pub fn promotions(&self) -> Vec<Promotion> {
        self.lock().promotions.clone()
    }

    /// Commits of the primary's log.
    pub fn commits(&self) -> Vec<Commit> {
        let primary = self.primary();
        let state = self.lock();
        let found = state.databases.iter().find(|d| d.id == primary);
        found.map_or(Vec::new(), |d| d.log.clone())
    }

    /// Lets one of `of` `SET`s fail at the present primary from now on; 0 for none.
    pub fn fail_sets(&self, of: u32) {
        let primary = self.primary();
        let mut state = self.lock();
        (state.failing_sets, state.failing_database) = (of, primary);
    }

    /// Lets `id` lead the next term with what it has received.
    fn promote(&self, id: &str) {
        let mut state = self.lock();
        let term = state.databases.iter().map(|d| d.term).max().unwrap_or(0) + 1;
        let Some(chosen) = state.databases.iter().position(|d| d.id == id) else {
            return;
        };
        if !state.databases[chosen].up
            || state.databases[chosen].primary && state.databases[chosen].term + 1 == term
        {
            return;
        }
        let log = state.databases[chosen].log.clone();
        state.databases[chosen].primary = true;
        state.databases[chosen].term = term;
        for database in state
            .databases
            .iter_mut()
            .filter(|d| !d.primary && d.up && !d.paused)
        {
            (database.term, database.log) = (term, log.clone());
        }
        let ids = state.databases[chosen]
            .log
            .iter()
            .flat_map(|c| c.ids.clone())
            .collect();
        let at = Instant::now();
        state.promotions.push(Promotion {
            id: id.to_owned(),
            term,
            at,
            ids,
        });
        drop(state);
        let position = self.position(id);
        self.record.add(&format!(
            "{id} leads term {term}, with its log up to {position}"
        ));
    }

    /// Makes a primary of an earlier term a replica of the newest one.
    fn step_down(&self, id: &str, term: u64) {
        let mut state = self.lock();
        let newest = state
            .databases
            .iter()
            .filter(|d| d.primary)
            .max_by_key(|d| d.term);
        let Some((newest, log)) = newest.map(|d| (d.term, d.log.clone())) else {
            return;
        };
        if let Some(database) = state.databases.iter_mut().find(|d| d.id == id)
            && database.up
            && database.primary
            && database.term < term.min(newest)
        {
            (database.primary, database.term, database.log) = (false, newest, log);
        }
    }

    fn serve(&self, id: &str, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream.try_clone()?;
        let login = read_line(&mut reader)?.unwrap_or_default();
        let words: Vec<_> = login.splitn(4, ' ').collect();
        if words.first() != Some(&"CONNECT")
            || words.get(1) != Some(&self.name.as_str())
            || words.get(3).is_some_and(|expected| *expected != id)
        {
            return out.write_all(format!("ERROR WRONGNODE {id}\r\n").as_bytes());
        }
        out.write_all(format!("READY I {}\r\n", self.position(id)).as_bytes())?;
        let mut session = Session::default();
        while let Some(line) = read_line(&mut reader)? {
            let Some((request, text)) = line
                .strip_prefix("QUERY ")
                .and_then(|rest| rest.split_once(' '))
            else {
                return Ok(());
            };
            let answer = self.run(id, &mut session, request, text);
            let state = match (&session.writes, session.failed) {
                (_, true) => "E",
                (Some(_), false) => "T",
                (None, false) => "I",
            };
            let ready = format!("READY {state} {}\r\n", self.position(id));
            out.write_all((answer + &ready).as_bytes())?;
        }
        Ok(())
    }

    fn position(&self, id: &str) -> String {
        let state = self.lock();
        let found = state.databases.iter().find(|d| d.id == id);
        found.map_or_else(|| "-".to_owned(), Database::position)
    }

    /// Runs a statement and returns the answer without its `READY` line.
    fn run(&self, id: &str, session: &mut Session, request: &str, text: &str) -> String {
        let error = |code: &str| format!("ERROR {code} {id}\r\n");
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').unwrap_or(("", rest)),
            None => ("", text),
        };
        let words: Vec<_> = text.splitn(3, ' ').collect();
        if session.failed && text != "ROLLBACK" && text != "COMMIT" {
            return error("MALFORMED");
        }
        let done = |rows: &str| format!("{rows}COMPLETE -\r\n");
        match words[..] {
            ["STATUS"] => {
                let state = self.lock();
                let Some(d) = state.databases.iter().find(|d| d.id == id) else {
                    return error("BUSY");
                };
                let role = if d.primary { "primary" } else { "replica" };
                let row = format!(
                    "ROW {role} {} {} {} 12 0 {}\r\n",
                    d.term,
                    d.position(),
                    0,
                    d.connections
                );
                return done(&row);
            }
            ["STEPDOWN", term] => {
                self.step_down(id, term.parse().unwrap_or(0));
                return done("");
            }
            ["RESET"] => {
                (session.values, session.prepared) = (HashMap::new(), HashMap::new());
                return done("");
            }
            ["SET", name, value] => {
                if self.next_set_fails(id) {
                    self.record
                        .add(&format!("{id} fails SET {name} {value} of {request}"));
                    return error("FAILED");
                }
                session.values.insert(name.to_owned(), value.to_owned());
                return done("");
            }
            ["PREPARE", name, statement] => {
                session
                    .prepared
                    .insert(name.to_owned(), statement.to_owned());
                return done("");
            }
            ["DEALLOC", name] => {
                session.prepared.remove(name);
                return done("");
            }
            ["ROLLBACK"] => {
                (session.writes, session.failed) = (None, false);
                return done("");
            }
            _ => {}
        }
        let statement = match words[..] {
            ["EXECUTE", name, arguments] => match session.prepared.get(name) {
                Some(prepared) => {
                    let kind = prepared.split(' ').next().unwrap_or_default();
                    format!("{kind} {arguments}")
                }
                None => return error("NOSTMT"),
            },
            _ => text.to_owned(),
        };
        let words: Vec<_> = statement.splitn(3, ' ').collect();
        let is_primary = {
            let state = self.lock();
            state
                .databases
                .iter()
                .any(|d| d.id == id && d.primary && d.up)
        };
        if !after.is_empty() && !self.has_applied(id, is_primary, after) {
            return error("LAGGING");
        }
        let signature = format!("7.{request}.{id}");
        match words[..] {
            ["BEGIN"] if !is_primary => error("READONLY"),
            ["BEGIN"] | ["BEGIN", "FETCH"] => {
                session.writes = Some(Vec::new());
                format!("COMPLETE {signature}\r\n")
            }
            ["FETCH", item] => {
                self.record_run(id, session, request, text);
                let row = self.value(id, is_primary, item);
                let row = row.map_or(String::new(), |value| format!("ROW {value}\r\n"));
                format!("{row}COMPLETE {signature}\r\n")
            }
            ["STORE", ..] if !is_primary => {
                session.failed = session.writes.is_some();
                error("READONLY")
            }
            ["STORE", item, data] => {
                self.record_run(id, session, request, text);
                let write = (request.to_owned(), item.to_owned(), data.to_owned());
                match &mut session.writes {
                    Some(writes) => writes.push(write),
                    None => self.commit(id, vec![write]),
                }
                format!("COMPLETE {signature}\r\n")
            }
            ["COMMIT"] => {
                let writes = session.writes.take().unwrap_or_default();
                if std::mem::take(&mut session.failed) {
                    return error("ABORTED");
                }
                if !writes.is_empty() && !is_primary {
                    return error("READONLY");
                }
                if !writes.is_empty() {
                    self.commit(id, writes);
                }
                format!("COMPLETE {signature}\r\n")
            }
            _ => error("MALFORMED"),
        }
    }

    fn next_set_fails(&self, id: &str) -> bool {
        let mut state = self.lock();
        if state.failing_sets == 0 || state.failing_database != id {
            return false;
        }
        state.sets += 1;
        state.sets % state.failing_sets == 0
    }

    fn record_run(&self, id: &str, session: &Session, request: &str, text: &str) {
        self.record.add(&format!("{id} runs {request} {text:.60}"));
        self.lock().runs.push(Run {
            id: request.to_owned(),
            text: text.to_owned(),
            database: id.to_owned(),
            values: session.values.clone(),
        });
    }

    /// Commits writes and copies them to the replicas.
    fn commit(&self, id: &str, writes: Vec<(String, String, String)>) {
        let mut state = self.lock();
        let Some(primary) = state.databases.iter_mut().find(|d| d.id == id) else {
            return;
        };
        let number = primary.log.last().map_or(0, |last| last.number) + 1;
        let commit = Commit {
            term: primary.term,
            number,
            ids: writes.iter().map(|(request, ..)| request.clone()).collect(),
            items: writes
                .into_iter()
                .map(|(_, item, data)| (item, data))
                .collect(),
            at: Instant::now(),
        };
        primary.log.push(commit.clone());
        let term = primary.term;
        let mut received = false;
        let copies = |d: &&mut Database| {
            d.up && !d.paused && !d.primary && d.term == term && d.log.len() as u64 + 1 == number
        };
        for replica in state.databases.iter_mut().filter(copies) {
            replica.log.push(commit.clone());
            received = true;
        }
        drop(state);
        if !received {
            // Without a replica that has it, a commit is not acknowledged.
            thread::sleep(Duration::from_secs(60));
        }
    }

    fn has_applied(&self, id: &str, is_primary: bool, position: &str) -> bool {
        let number = |text: &str| {
            text.split_once('.')
                .and_then(|(_, n)| n.parse::<u64>().ok())
        };
        let state = self.lock();
        let Some(database) = state.databases.iter().find(|d| d.id == id) else {
            return false;
        };
        let applied = applied(&database.log, is_primary).last();
        applied.map_or(0, |last| last.number) >= number(position).unwrap_or(0)
    }

    fn value(&self, id: &str, is_primary: bool, item: &str) -> Option<String> {
        let state = self.lock();
        let database = state.databases.iter().find(|d| d.id == id)?;
        let commits = applied(&database.log, is_primary).rev();
        let mut written = commits.flat_map(|commit| commit.items.iter().rev());
        written
            .find(|(name, _)| name == item)
            .map(|(_, value)| value.clone())
    }

    /// Serves `POST /promote` until the process ends.
    pub fn serve_platform(self: &Arc<Self>, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the address is free");
        let group = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let group = Arc::clone(&group);
                thread::spawn(move || {
                    let Ok((head, headers, body)) = read_http(&stream) else {
                        return;
                    };
                    group
                        .record
                        .add(&format!("platform gets {head} {body} {headers:?}"));
                    let Some(id) = json_text(&body, "Id").filter(|id| group.is_up(id)) else {
                        return answer_http(&stream, 409);
                    };
                    answer_http(&stream, 200);
                    thread::sleep(PROMOTE_TIME);
                    let former = group.primary();
                    group.promote(&id);
                    thread::sleep(STEP_DOWN_AFTER);
                    group.step_down(&former, u64::MAX);
                });
            }
        });
    }
}

/// Commits that a database has applied.
fn applied(log: &[Commit], is_primary: bool) -> std::slice::Iter<'_, Commit> {
    let count = log
        .iter()
        .rev()
        .take_while(|c| !is_primary && c.at.elapsed() < APPLY_LAG)
        .count();
    log[..log.len() - count].iter()
}

/// State of a connection to a database.
#[derive(Default)]
struct Session {
    values: HashMap<String, String>,
    prepared: HashMap<String, String>,
    /// Writes of the open transaction: request id, item and data.
    writes: Option<Vec<(String, String, String)>>,
    failed: bool,
}
