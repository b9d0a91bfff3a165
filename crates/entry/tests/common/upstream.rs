//! A fake upstream with one table of keys and values.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{Map, Position};
use bytes::Bytes;
use compio::{
    net::{TcpListener, TcpStream},
    runtime::spawn,
    time::sleep,
};
use wire::{Cursor, FrontendMessage, InitialMessage, Reader, Target, Writer, reply};

/// Fault injected into a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The connection closes before the statement runs.
    CloseBefore,
    /// The statement runs, then the connection closes.
    CloseAfter,
    /// The connection closes after half of the rows.
    CloseMidway,
    /// No answer is sent.
    NoAnswer,
    /// The statement is refused with this SQLSTATE.
    Refuse(&'static str),
}

/// Data that the members of a group share.
#[derive(Debug, Default)]
pub struct Store {
    pub rows: RefCell<Map<String, String>>,
    pub keys: RefCell<Option<Map<String, [String; 3]>>>,
    pub offset: Cell<u64>,
}

/// A fake upstream over loopback.
#[derive(Debug)]
pub struct Upstream {
    pub address: SocketAddr,
    pub store: Rc<Store>,
    pub read_only: Cell<bool>,
    /// Fault of the next statement that contains the text.
    pub fault: RefCell<Option<(String, Fault)>>,
    /// Statements that ran, each with the process id of its connection.
    pub log: RefCell<Vec<(i32, String)>>,
    /// Parse messages received.
    pub parses: Cell<usize>,
    /// Sync messages received.
    pub syncs: Cell<usize>,
    /// Connections that were cancelled.
    pub cancels: RefCell<Vec<i32>>,
    cancelled: RefCell<Map<i32, Rc<Cell<bool>>>>,
    /// Time before a cancel request takes effect.
    pub cancel_delay: Cell<Duration>,
    last_pid: Cell<i32>,
}

impl Upstream {
    pub async fn start(store: &Rc<Store>, read_only: bool) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Rc::new(Self {
            address: listener.local_addr().unwrap(),
            store: Rc::clone(store),
            read_only: Cell::new(read_only),
            fault: RefCell::default(),
            log: RefCell::default(),
            parses: Cell::default(),
            syncs: Cell::default(),
            cancels: RefCell::default(),
            cancelled: RefCell::default(),
            cancel_delay: Cell::default(),
            last_pid: Cell::new(100),
        });
        let server = Rc::clone(&upstream);
        spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = Rc::clone(&server);
                spawn(async move { server.serve_connection(stream).await }).detach();
            }
        })
        .detach();
        upstream
    }

    /// Injects a fault into the next statement that contains `text`.
    pub fn fail(&self, text: &str, fault: Fault) {
        self.fault.replace(Some((text.to_owned(), fault)));
    }

    /// Whether the injected fault has happened.
    pub fn has_failed(&self) -> bool {
        self.fault.borrow().is_none()
    }

    /// Number of statements run so far that contain `text`.
    pub fn times_run(&self, text: &str) -> usize {
        let log = self.log.borrow();
        log.iter().filter(|(_, ran)| ran.contains(text)).count()
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let (read, write) = (stream.clone(), stream);
        let mut reader = Reader::new(read, 64 << 20);
        match reader.initial_message().await.ok()?? {
            InitialMessage::Cancel { pid, .. } => {
                sleep(self.cancel_delay.get()).await;
                self.cancels.borrow_mut().push(pid);
                if let Some(flag) = self.cancelled.borrow().get(&pid) {
                    flag.set(true);
                }
                return None;
            }
            InitialMessage::Startup(..) => {}
            _ => return None,
        }
        let pid = self.last_pid.get() + 1;
        self.last_pid.set(pid);
        let cancelled = Rc::new(Cell::new(false));
        self.cancelled
            .borrow_mut()
            .insert(pid, Rc::clone(&cancelled));
        let mut writer = Writer::new(write);
        writer.parts(b'R', &0_i32.to_be_bytes());
        writer.message(&reply::backend_key_data(pid, 7)).ok()?;
        writer.parts(b'Z', b"I");
        writer.flush().await.ok()?;
        let mut connection = Connection {
            upstream: &self,
            pid,
            writer,
            cancelled,
            status: b'I',
            pending: Vec::new(),
            reported_position: None,
            has_run: false,
            statements: Map::default(),
            portals: Map::default(),
            skipping: false,
            implicit: false,
        };
        while let Ok(Some(frame)) = reader.next().await {
            let message = FrontendMessage::parse(&frame).ok()?;
            connection.handle_message(message).await?;
        }
        None
    }
}

enum Change {
    Row(String, String),
    Key(String, Option<[String; 3]>),
    Table,
}

struct Connection<'a> {
    upstream: &'a Rc<Upstream>,
    pid: i32,
    writer: Writer,
    cancelled: Rc<Cell<bool>>,
    status: u8,
    pending: Vec<Change>,
    reported_position: Option<Position>,
    /// Whether a statement has run; only then is a position reported.
    has_run: bool,
    statements: Map<String, String>,
    portals: Map<String, String>,
    skipping: bool,
    implicit: bool,
}

impl Connection<'_> {
    async fn handle_message(&mut self, message: FrontendMessage) -> Option<()> {
        if self.skipping && !matches!(message, FrontendMessage::Sync) {
            return Some(());
        }
        match message {
            FrontendMessage::Query(text) => {
                for statement in text.split(';').map(str::trim) {
                    if !statement.is_empty() && !self.run_statement(statement, true).await? {
                        break;
                    }
                }
                self.ready().await?;
            }
            FrontendMessage::Parse { name, query, .. } => {
                self.upstream.parses.set(self.upstream.parses.get() + 1);
                if !name.is_empty() && self.statements.contains_key(&name) {
                    self.error("42P05", "exists");
                } else {
                    self.statements.insert(name, query);
                    self.writer.parts(b'1', &[]);
                }
            }
            FrontendMessage::Bind {
                portal,
                statement,
                rest,
            } => match self.statements.get(&statement) {
                Some(text) => {
                    self.portals.insert(portal, bind_values(text, &rest));
                    self.writer.parts(b'2', &[]);
                }
                None => self.error("26000", "no such statement"),
            },
            FrontendMessage::Describe(target) => {
                let text = match &target {
                    Target::Statement(name) => self.statements.get(name),
                    Target::Portal(name) => self.portals.get(name),
                };
                let Some(text) = text.cloned() else {
                    self.error("34000", "nothing of that name");
                    return Some(());
                };
                if matches!(target, Target::Statement(_)) {
                    let count = (1..9)
                        .take_while(|i| text.contains(&format!("${i}")))
                        .count();
                    let mut body = i16::try_from(count).ok()?.to_be_bytes().to_vec();
                    (0..count).for_each(|_| body.extend_from_slice(&25_i32.to_be_bytes()));
                    self.writer.parts(b't', &body);
                }
                self.row_description(&text);
            }
            FrontendMessage::Execute { portal, .. } => match self.portals.get(&portal).cloned() {
                Some(text) => {
                    self.implicit |= self.status == b'I';
                    self.run_statement(&text, false).await?;
                }
                None => self.error("34000", "no such portal"),
            },
            FrontendMessage::Close(Target::Statement(name)) => {
                self.statements.remove(&name);
                self.writer.parts(b'3', &[]);
            }
            FrontendMessage::Close(Target::Portal(name)) => {
                self.portals.remove(&name);
                self.writer.parts(b'3', &[]);
            }
            FrontendMessage::Sync => {
                self.upstream.syncs.update(|count| count + 1);
                self.skipping = false;
                self.ready().await?;
            }
            _ => return None,
        }
        Some(())
    }

    fn row_description(&mut self, text: &str) {
        if !text.to_uppercase().starts_with("SELECT") {
            return self.writer.parts(b'n', &[]);
        }
        let mut body = vec![0, 1, b'v', 0, 0, 0, 0, 0, 0, 0];
        body.extend_from_slice(&25_i32.to_be_bytes());
        body.extend_from_slice(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0]);
        self.writer.parts(b'T', &body);
    }

    fn error(&mut self, sqlstate: &str, text: &str) {
        self.writer
            .message(&reply::error(sqlstate, text, ""))
            .unwrap();
        self.skipping = true;
        self.pending.clear();
        if self.status == b'T' {
            self.status = b'E';
        }
    }

    async fn ready(&mut self) -> Option<()> {
        self.skipping = false;
        if self.status == b'I' {
            self.commit();
            self.portals.clear();
        }
        self.implicit = false;
        let store = &self.upstream.store;
        let position = Position::new(1, store.offset.get());
        if self.has_run && self.reported_position != Some(position) {
            self.reported_position = Some(position);
            let report = reply::parameter_status("upstream_position", &position.to_string());
            self.writer.message(&report).ok()?;
        }
        self.writer.parts(b'Z', &[self.status]);
        self.writer.flush().await.ok()
    }

    fn commit(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let store = &self.upstream.store;
        store.offset.set(store.offset.get() + 1);
        for change in self.pending.drain(..) {
            match change {
                Change::Row(key, value) => {
                    store.rows.borrow_mut().insert(key, value);
                }
                Change::Key(key, record) => {
                    let mut keys = store.keys.borrow_mut();
                    let keys = keys.get_or_insert_default();
                    match record {
                        Some(record) => keys.insert(key, record),
                        None => keys.remove(&key),
                    };
                }
                Change::Table => {
                    store.keys.borrow_mut().get_or_insert_default();
                }
            }
        }
    }

    /// Runs one statement; returns `Some(false)` if it is refused, and `None` to close the
    /// connection.
    async fn run_statement(&mut self, text: &str, simple: bool) -> Option<bool> {
        self.has_run = true;
        let fault = {
            let mut fault = self.upstream.fault.borrow_mut();
            fault
                .take_if(|(needle, _)| text.contains(needle.as_str()))
                .map(|(_, fault)| fault)
        };
        match &fault {
            Some(Fault::CloseBefore) => return None,
            Some(Fault::NoAnswer) => {
                sleep(Duration::from_secs(30)).await;
                return None;
            }
            Some(Fault::Refuse(sqlstate)) => {
                self.error(sqlstate, "refused by the test");
                return Some(false);
            }
            _ => {}
        }
        let log = (self.pid, text.to_owned());
        self.upstream.log.borrow_mut().push(log);
        let text = text.rsplit_once("*/").map_or(text, |(_, rest)| rest.trim());
        let upper = text.to_uppercase();
        let first = upper.split_whitespace().next().unwrap_or_default();
        if self.status == b'E' && !matches!(first, "COMMIT" | "ROLLBACK") {
            self.error("25P02", "aborted");
            return Some(false);
        }
        let literals: Vec<String> = string_literals(text);
        let tag = match first {
            "BEGIN" | "START" => {
                self.status = b'T';
                "BEGIN".to_owned()
            }
            "COMMIT" if self.status != b'E' => {
                self.commit();
                self.status = b'I';
                "COMMIT".to_owned()
            }
            "COMMIT" | "ROLLBACK" => {
                self.pending.clear();
                self.status = b'I';
                "ROLLBACK".to_owned()
            }
            "SELECT" => return self.select(text, &literals, simple, fault).await,
            "SET" | "RESET" => first.to_owned(),
            _ if self.upstream.read_only.get() => {
                self.error("25006", "cannot write on a replica");
                return Some(false);
            }
            "INSERT" if text.contains("goldcrestrail_keys") => {
                if !self.insert_key(text, &literals) {
                    self.error("23505", "duplicate key");
                    return Some(false);
                }
                "INSERT 0 1".to_owned()
            }
            "INSERT" => {
                if literals[0] == "dup" {
                    self.error("23505", "duplicate key");
                    return Some(false);
                }
                self.pending
                    .push(Change::Row(literals[0].clone(), literals[1].clone()));
                "INSERT 0 1".to_owned()
            }
            "DELETE" if text.contains("created <") => {
                let oldest: u64 = text.rsplit(' ').next()?.parse().ok()?;
                let mut keys = self.upstream.store.keys.borrow_mut();
                let keys = keys.get_or_insert_default();
                keys.retain(|_, record| record[2].parse::<u64>().is_ok_and(|at| at >= oldest));
                "DELETE 1".to_owned()
            }
            "DELETE" => {
                self.pending.push(Change::Key(literals[0].clone(), None));
                "DELETE 1".to_owned()
            }
            "CREATE" => {
                self.pending.push(Change::Table);
                "CREATE TABLE".to_owned()
            }
            _ => {
                self.error("42601", "syntax error");
                return Some(false);
            }
        };
        if fault == Some(Fault::CloseAfter) {
            if self.status == b'I' {
                self.commit();
            }
            return None;
        }
        self.writer.message(&reply::command_complete(&tag)).ok()?;
        Some(true)
    }

    /// Adds the record of a key; returns false if there is one already.
    fn insert_key(&mut self, text: &str, literals: &[String]) -> bool {
        let is_deletion =
            |change: &Change| matches!(change, Change::Key(key, None) if *key == literals[0]);
        let deleted = self.pending.iter().any(is_deletion);
        let known = self.upstream.store.keys.borrow();
        let taken = known
            .as_ref()
            .is_some_and(|keys| keys.contains_key(&literals[0]));
        if taken && !deleted {
            return false;
        }
        let created = text.rsplit(',').next().unwrap_or_default();
        let created = created.trim_matches([' ', ')']).to_owned();
        let record = [literals[1].clone(), literals[2].clone(), created];
        self.pending
            .push(Change::Key(literals[0].clone(), Some(record)));
        true
    }

    async fn select(
        &mut self,
        text: &str,
        literals: &[String],
        simple: bool,
        fault: Option<Fault>,
    ) -> Option<bool> {
        let mut rows: Vec<Vec<String>> = Vec::new();
        if text.contains("goldcrestrail_keys") {
            let keys = self.upstream.store.keys.borrow();
            if let Some(keys) = keys.as_ref() {
                rows.extend(keys.get(&literals[0]).map(|record| record.to_vec()));
            } else {
                drop(keys);
                self.error("42P01", "no such table");
                return Some(false);
            }
        } else if text.contains("slow") {
            self.cancelled.set(false);
            for _ in 0..100 {
                if self.cancelled.take() {
                    self.error("57014", "canceling statement due to user request");
                    return Some(false);
                }
                sleep(Duration::from_millis(5)).await;
            }
            rows.push(vec!["slow".to_owned()]);
        } else if let Some((_, count)) = text.split_once("big LIMIT ") {
            rows.resize(count.trim().parse().ok()?, vec!["x".repeat(1_000)]);
        } else if text.contains("FROM t") {
            let found = self.upstream.store.rows.borrow().get(&literals[0]).cloned();
            rows.extend(found.map(|value| vec![value]));
        } else if text.contains("pid") {
            rows.push(vec![self.pid.to_string()]);
        } else {
            rows.push(vec!["1".to_owned()]);
        }
        if simple {
            self.row_description(text);
        }
        let count = rows.len();
        for (i, row) in rows.into_iter().enumerate() {
            if fault == Some(Fault::CloseMidway) && i >= count / 2 {
                self.writer.flush().await.ok()?;
                return None;
            }
            let mut body = i16::try_from(row.len()).ok()?.to_be_bytes().to_vec();
            for value in row {
                body.extend_from_slice(&i32::try_from(value.len()).ok()?.to_be_bytes());
                body.extend_from_slice(value.as_bytes());
            }
            self.writer.parts(b'D', &body);
            if self.writer.pending_len() > 1 << 16 {
                self.writer.flush().await.ok()?;
            }
        }
        if fault == Some(Fault::CloseAfter) {
            return None;
        }
        let tag = format!("SELECT {count}");
        self.writer.message(&reply::command_complete(&tag)).ok()?;
        Some(true)
    }
}

/// String literals in a statement.
fn string_literals(text: &str) -> Vec<String> {
    let text = text.replace("''", "\u{1}");
    let parts = text.split('\'').skip(1).step_by(2);
    parts.map(|part| part.replace('\u{1}', "'")).collect()
}

/// Replaces the parameters of a statement by the values of a `Bind`.
fn bind_values(text: &str, rest: &Bytes) -> String {
    let mut cursor = Cursor::new(rest);
    let mut text = text.to_owned();
    for _ in 0..cursor.short().unwrap() {
        cursor.short().unwrap();
    }
    for i in 1..=cursor.short().unwrap() {
        let value = cursor.value().unwrap().unwrap_or_default();
        let value = String::from_utf8_lossy(value).replace('\'', "''");
        text = text.replace(&format!("${i}"), &format!("'{value}'"));
    }
    text
}
