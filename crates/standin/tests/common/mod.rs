//! Test members that run in threads of the test process.

#![allow(dead_code, reason = "each test file uses only some helpers")]

use std::{
    io::{Read as _, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    path::Path,
    sync::{
        atomic::{AtomicU32, Ordering},
        mpsc,
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use base::{Exit, Position};
use compio::runtime::{
    Runtime,
    event::{Event, EventHandle},
};
use standin::{Daemon, Settings};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// Settings of member `a` with its data in `folder`, on free ports and without simulated delays.
///
/// Each member has its own loopback address, so that its port is still free when it restarts.
pub fn settings(folder: &Path) -> Settings {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let n = LAST.fetch_add(1, Ordering::Relaxed) % 60_000 + 256;
    let part = |n: u32| u8::try_from(n % 256).unwrap();
    let host = Ipv4Addr::new(
        127,
        64 + part(std::process::id() % 64),
        part(n / 256),
        part(n),
    );
    let local = SocketAddr::new(host.into(), 0);
    Settings {
        member: "a".into(),
        group: "orders".into(),
        zone: "z".into(),
        region: "r".into(),
        host: local.ip(),
        address: local,
        advertise: local,
        http: local,
        data: folder.to_owned(),
        connections: 16,
        slots: 2,
        connect_ms: 0,
        statement_us: 0,
        lag_ms: 0,
        announce: Vec::new(),
    }
}

/// A member that runs in a thread.
pub struct TestMember {
    pub address: SocketAddr,
    pub http: SocketAddr,
    stops: Vec<EventHandle>,
    thread: Option<JoinHandle<Exit>>,
}

impl TestMember {
    pub fn start(settings: Settings) -> Self {
        let (sender, receiver) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            Runtime::new().unwrap().block_on(async {
                let (first, second) = (Event::new(), Event::new());
                let stops = vec![first.handle(), second.handle()];
                let daemon = Daemon::open(settings, base::log::silent()).await.unwrap();
                sender
                    .send((daemon.address().unwrap(), daemon.http().unwrap(), stops))
                    .unwrap();
                let mut events = vec![second, first];
                daemon
                    .serve(async || match events.pop() {
                        Some(event) => event.wait().await,
                        None => std::future::pending().await,
                    })
                    .await
            })
        });
        let (address, http, stops) = receiver.recv().unwrap();
        Self {
            address,
            http,
            stops,
            thread: Some(thread),
        }
    }

    /// Requests a graceful shutdown.
    pub fn stop(&mut self) {
        self.stops.remove(0).notify();
    }

    /// Waits for the member to exit.
    pub fn join(mut self) -> Exit {
        self.thread.take().unwrap().join().unwrap()
    }

    /// Stops the member without a graceful shutdown.
    pub fn kill(mut self) {
        for stop in self.stops.drain(..) {
            stop.notify();
        }
        self.join();
    }

    /// Opens a data connection.
    pub async fn client(&self) -> Client {
        self.login("caller").await.unwrap()
    }

    /// Opens a connection as `user`.
    pub async fn login(&self, user: &str) -> Result<Client, tokio_postgres::Error> {
        let text = format!(
            "host={} port={} user={user} dbname=orders",
            self.address.ip(),
            self.address.port()
        );
        let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Sends a command over a new management connection.
    pub async fn manage(
        &self,
        sql: &str,
    ) -> Result<Vec<SimpleQueryMessage>, tokio_postgres::Error> {
        self.login("monitor").await?.simple_query(sql).await
    }

    /// Reads a column of `SHOW upstream_status`.
    pub async fn status(&self, column: &str) -> String {
        let messages = self.manage("SHOW upstream_status").await.unwrap();
        messages
            .iter()
            .find_map(|message| match message {
                SimpleQueryMessage::Row(row) => Some(row.get(column).unwrap().to_owned()),
                _ => None,
            })
            .unwrap()
    }

    /// Position in `SHOW upstream_status`.
    pub async fn position(&self) -> Position {
        let messages = self.manage("SHOW upstream_status").await.unwrap();
        for message in messages {
            if let SimpleQueryMessage::Row(row) = message {
                let number = |name| row.get(name).unwrap().parse().unwrap();
                return Position::new(number("term"), number("offset"));
            }
        }
        panic!("the status has no row")
    }

    /// Waits until the member reports a position.
    pub async fn wait_for_position(&self, position: &str) {
        let start = Instant::now();
        loop {
            let found = self.position().await.to_string();
            if found == position {
                return;
            }
            assert!(
                start.elapsed() < Duration::from_secs(10),
                "{found} instead of {position}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends an HTTP request and returns the status and the body.
    pub fn request(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.http).unwrap();
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        )
        .unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let status = text.split_whitespace().nth(1).unwrap().parse().unwrap();
        let body = text.split_once("\r\n\r\n").unwrap().1.to_owned();
        (status, body)
    }
}

/// SQLSTATE of an error.
pub fn sqlstate<T: std::fmt::Debug>(outcome: Result<T, tokio_postgres::Error>) -> String {
    let error = outcome.unwrap_err();
    error
        .code()
        .map_or_else(|| error.to_string(), |code| code.code().to_owned())
}
