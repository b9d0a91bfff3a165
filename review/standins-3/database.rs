//! Stand-in of a group of databases: one primary and its replicas, which apply commits at once.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufRead as _, BufReader, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::record::Record;

/// Delay of a promotion.
const PROMOTION: Duration = Duration::from_millis(300);

/// Start time of each database, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_700_000_000_000;

/// What the databases of a group share.
struct State {
    term: u64,
    number: u64,
    primary: String,
    items: HashMap<String, String>,
}

/// A group of databases.
pub struct Group {
    pub service: String,
    state: Mutex<State>,
    /// Number of connections that each database accepts.
    connections: usize,
    record: Record,
}

/// A database.
pub struct Database {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    group: Arc<Group>,
    open: AtomicUsize,
    /// Open connections.
    streams: Mutex<Vec<TcpStream>>,
    /// Whether it has crashed for good.
    crashed: AtomicBool,
    /// Whether it announces its stop.
    draining: AtomicBool,
    /// Number of announcements since its start.
    sequence: AtomicU64,
}

/// A transaction that is open on a connection.
#[derive(Default)]
struct Transaction {
    writes: Vec<(String, String, String)>,
}

impl Group {
    /// Creates a group without databases, whose first primary will be `primary`.
    pub fn new(service: &str, primary: &str, connections: usize, record: &Record) -> Arc<Self> {
        Arc::new(Self {
            service: service.to_owned(),
            state: Mutex::new(State {
                term: 1,
                number: 0,
                primary: primary.to_owned(),
                items: HashMap::new(),
            }),
            connections,
            record: record.clone(),
        })
    }

    /// Starts a database, which has the log of the group at once.
    pub fn start(
        self: &Arc<Self>,
        host: Ipv4Addr,
        id: &str,
        zone: &str,
    ) -> std::io::Result<Arc<Database>> {
        let listener = TcpListener::bind((host, 0))?;
        let database = Arc::new(Database {
            id: id.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            group: Arc::clone(self),
            open: AtomicUsize::new(0),
            streams: Mutex::default(),
            crashed: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
        });
        Arc::clone(&database).listen(listener);
        Ok(database)
    }

    /// Promotes a database some hundred milliseconds from now, unless it is the primary.
    pub fn promote(self: &Arc<Self>, id: &str) {
        let (group, id) = (Arc::clone(self), id.to_owned());
        thread::spawn(move || {
            thread::sleep(PROMOTION);
            let mut state = group.state();
            if state.primary != id {
                state.primary.clone_from(&id);
                state.term += 1;
                group
                    .record
                    .line(&format!("database {id} leads term {}", state.term));
            }
        });
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl Database {
    /// Accepts connections until it crashes.
    fn listen(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if self.has_crashed() {
                    // The listener is closed, so that the address refuses connections.
                    return;
                }
                let database = Arc::clone(&self);
                thread::spawn(move || {
                    database.open.fetch_add(1, Ordering::SeqCst);
                    let _ended = database.serve(&stream);
                    database.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
    }

    /// Ends the database for good, as a crash of its process.
    pub fn crash(&self) {
        self.group
            .record
            .line(&format!("database {} ends", self.id));
        self.crashed.store(true, Ordering::SeqCst);
        // Wakes the listener.
        let _refused_soon = TcpStream::connect(self.address);
        let mut streams = self.streams.lock().expect("no holder panics");
        for stream in streams.drain(..) {
            let _closed_already = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Announces its stop from now on.
    pub fn drain(&self) {
        self.group
            .record
            .line(&format!("database {} is draining", self.id));
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether it has crashed.
    pub fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::SeqCst)
    }

    /// Body of its next announcement.
    pub fn announcement(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let role = if self.leads() { "primary" } else { "replica" };
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":2,\"State\":\"{state}\",\"ColdLeftMs\":0,\"DbRole\":\"{role}\",\
             \"Seq\":{sequence},\"born\":{START_MS}}}",
            self.group.service, self.address, self.zone
        )
    }

    fn leads(&self) -> bool {
        self.group.state().primary == self.id
    }

    fn position(&self) -> String {
        let state = self.group.state();
        format!("{}.{}", state.term, state.number)
    }

    fn serve(&self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let held = stream.try_clone()?;
        self.streams.lock().expect("no holder panics").push(held);
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let login = read_line(&mut reader)?.unwrap_or_default();
        let words: Vec<_> = login.split(' ').collect();
        let named = words
            .get(3)
            .is_none_or(|id| id.is_empty() || *id == self.id);
        if words.first() != Some(&"CONNECT")
            || words.get(1) != Some(&&*self.group.service)
            || !named
        {
            return out.write_all(b"ERROR WRONGNODE \r\n");
        }
        if self.open.load(Ordering::SeqCst) > self.group.connections {
            return out.write_all(b"ERROR MAXCONN \r\n");
        }
        out.write_all(format!("READY I {}\r\n", self.position()).as_bytes())?;
        let mut open: Option<Transaction> = None;
        let mut names: BTreeMap<String, String> = BTreeMap::new();
        while let Some(line) = read_line(&mut reader)? {
            if self.has_crashed() {
                return Ok(());
            }
            let Some((id, text)) = line
                .strip_prefix("QUERY ")
                .and_then(|rest| rest.split_once(' '))
            else {
                return Ok(());
            };
            let answer = self.run(id, text, &mut open, &mut names);
            let state = if open.is_some() { "T" } else { "I" };
            let ready = format!("READY {state} {}\r\n", self.position());
            out.write_all((answer + &ready).as_bytes())?;
        }
        if open.is_some() {
            let record = &self.group.record;
            record.line(&format!(
                "database {} rolls back a closed connection",
                self.id
            ));
        }
        Ok(())
    }

    /// Runs a statement and returns its answer without the line `READY`.
    fn run(
        &self,
        id: &str,
        text: &str,
        open: &mut Option<Transaction>,
        names: &mut BTreeMap<String, String>,
    ) -> String {
        let (after, text) = match text
            .strip_prefix("AFTER ")
            .and_then(|rest| rest.split_once(' '))
        {
            Some((after, text)) => (Some(after), text),
            None => (None, text),
        };
        if after.is_some_and(|after| !self.holds(after)) {
            return "ERROR LAGGING \r\n".to_owned();
        }
        let words: Vec<_> = text.splitn(3, ' ').collect();
        let text = match words[..] {
            ["EXECUTE", name, arguments] => match names.get(name) {
                Some(kind) => format!("{kind} {arguments}"),
                None => return "ERROR NOSTMT \r\n".to_owned(),
            },
            _ => text.to_owned(),
        };
        // Reads are too many to be recorded.
        if id != "-" && !text.starts_with("FETCH") {
            let record = &self.group.record;
            record.line(&format!("database {} runs {id} {text:.60}", self.id));
        }
        let complete = format!("COMPLETE {}-{id}\r\n", self.id);
        let words: Vec<_> = text.splitn(3, ' ').collect();
        match words[..] {
            ["STATUS"] => {
                let role = if self.leads() { "primary" } else { "replica" };
                let (term, open) = (self.group.state().term, self.open.load(Ordering::SeqCst));
                format!(
                    "ROW {role} {term} {} 0 0 0 {open}\r\n{complete}",
                    self.position()
                )
            }
            ["RESET"] => {
                names.clear();
                complete
            }
            ["PREPARE", name, rest] => {
                let kind = rest.split(' ').next().unwrap_or_default();
                names.insert(name.to_owned(), kind.to_owned());
                complete
            }
            ["BEGIN", ..] if words.len() == 1 && !self.leads() => "ERROR READONLY \r\n".to_owned(),
            ["BEGIN", ..] => {
                *open = Some(Transaction::default());
                complete
            }
            ["ROLLBACK"] => {
                *open = None;
                complete
            }
            ["COMMIT"] => {
                let writes = open.take().map(|open| open.writes).unwrap_or_default();
                if !writes.is_empty() && !self.leads() {
                    return "ERROR READONLY \r\n".to_owned();
                }
                self.commit(writes);
                complete
            }
            ["STORE", ..] if !self.leads() => "ERROR READONLY \r\n".to_owned(),
            ["STORE", item, data] => {
                let write = (id.to_owned(), item.to_owned(), data.to_owned());
                match open {
                    Some(open) => open.writes.push(write),
                    None => self.commit(vec![write]),
                }
                complete
            }
            ["FETCH", item] => match self.group.state().items.get(item) {
                Some(data) => format!("ROW {data}\r\n{complete}"),
                None => complete,
            },
            _ => complete,
        }
    }

    fn holds(&self, position: &str) -> bool {
        let parsed = position.split_once('.').and_then(|(term, number)| {
            Some((term.parse::<u64>().ok()?, number.parse::<u64>().ok()?))
        });
        let state = self.group.state();
        parsed.is_some_and(|(term, number)| (state.term, state.number) >= (term, number))
    }

    fn commit(&self, writes: Vec<(String, String, String)>) {
        let mut state = self.group.state();
        state.number += u64::from(!writes.is_empty());
        for (id, item, data) in writes {
            self.group
                .record
                .line(&format!("database {} commits {id}", self.id));
            state.items.insert(item, data);
        }
    }
}

/// Reads a line without its CR LF; `None` at the end of the stream.
fn read_line(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n") {
        if reader.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(None);
        }
    }
    bytes.truncate(bytes.len() - 2);
    Ok(Some(String::from_utf8_lossy(&bytes).into_owned()))
}
