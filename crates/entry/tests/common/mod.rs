//! Test harness for sessions: fake upstreams that speak the PostgreSQL protocol over loopback, and
//! a fake fleet of two of them.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

pub mod fleet;
pub mod upstream;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use base::Map;
use compio::net::{TcpListener, TcpStream};
use entry::{
    listener,
    options::{Auth, Options},
};
use wire::{Client, Frame};

pub use fleet::FakeFleet;
pub use upstream::Fault;

/// An entry process in front of a primary and a replica.
pub struct Harness {
    pub fleet: Rc<FakeFleet>,
    pub address: SocketAddr,
}

/// Options with a short delay before draining.
pub fn options() -> Options {
    let mut options = Options::new(Auth::Trust, base::log::silent());
    options.drain_delay = Duration::from_millis(20);
    options
}

impl Harness {
    pub async fn new() -> Self {
        Self::with(options()).await
    }

    pub async fn with(options: Options) -> Self {
        let fleet = Rc::new(FakeFleet::new().await);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        compio::runtime::spawn(listener::serve(listener, Rc::clone(&fleet), options)).detach();
        Self { fleet, address }
    }

    /// Logs a caller in.
    pub async fn caller(&self) -> Caller {
        let stream = TcpStream::connect(self.address).await.unwrap();
        Caller(Client::open(stream, "anna", "orders").await.unwrap())
    }

    /// Connects without sending a message.
    pub async fn stream(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Logs a caller in with additional startup parameters; returns the frames received if it is
    /// refused.
    pub async fn caller_with(&self, parameters: &[(&str, &str)]) -> Result<Caller, Vec<Frame>> {
        self.log_in(parameters, None).await
    }

    /// Logs a caller in with a password; returns the frames received if it is refused.
    pub async fn caller_with_password(&self, password: &str) -> Result<Caller, Vec<Frame>> {
        self.log_in(&[], Some(password)).await
    }

    async fn log_in(
        &self,
        parameters: &[(&str, &str)],
        password: Option<&str>,
    ) -> Result<Caller, Vec<Frame>> {
        let write = self.stream().await;
        let read = write.clone();
        let mut client = Client {
            reader: wire::Reader::new(read, 64 << 20),
            writer: wire::Writer::new(write),
            parameters: Map::default(),
            key: (0, 0),
            addresses: None,
        };
        let mut body = 196_608_i32.to_be_bytes().to_vec();
        for (name, value) in [("user", "anna"), ("database", "orders")]
            .iter()
            .chain(parameters)
        {
            body.extend_from_slice(format!("{name}\0{value}\0").as_bytes());
        }
        body.push(0);
        let length = i32::try_from(body.len() + 4).unwrap();
        client.writer.bytes(&length.to_be_bytes());
        client.writer.bytes(&body);
        if let Some(password) = password {
            let body = format!("{password}\0");
            client.writer.parts(b'p', body.as_bytes());
        }
        client.writer.flush().await.unwrap();
        let mut frames = Vec::new();
        while let Ok(Some(frame)) = client.reader.next().await {
            let last = frame.tag == b'Z';
            frames.push(frame);
            if last {
                return Ok(Caller(client));
            }
        }
        Err(frames)
    }
}

/// A caller that receives raw messages.
pub struct Caller(pub Client);

impl Caller {
    /// Sends a simple query without reading the answer.
    pub async fn send(&mut self, text: &str) {
        self.0.writer.parts(b'Q', format!("{text}\0").as_bytes());
        self.0.writer.flush().await.unwrap();
    }

    /// Adds a message of an extended query.
    pub fn add(&mut self, tag: u8, body: &[u8]) {
        self.0.writer.parts(tag, body);
    }

    /// Adds Parse, Bind, Describe and Execute of an unnamed statement without values.
    pub fn add_statement(&mut self, text: &str) {
        self.add(b'P', format!("\0{text}\0\0\0").as_bytes());
        self.add(b'B', b"\0\0\0\0\0\0\0\0");
        self.add(b'D', b"P\0");
        self.add(b'E', b"\0\0\0\0\0");
    }

    /// Sends the added messages and a Sync, and reads the answer.
    pub async fn sync(&mut self) -> Reply {
        self.add(b'S', &[]);
        self.0.writer.flush().await.unwrap();
        self.reply().await
    }

    /// Reads messages up to `ReadyForQuery` or the end of the connection.
    pub async fn reply(&mut self) -> Reply {
        let mut frames = Vec::new();
        while let Ok(Some(frame)) = self.0.reader.next().await {
            let last = frame.tag == b'Z';
            frames.push(frame);
            if last {
                break;
            }
        }
        Reply(frames)
    }

    /// Runs a simple query.
    pub async fn query(&mut self, text: &str) -> Reply {
        self.send(text).await;
        self.reply().await
    }
}

/// Answer to a request.
#[derive(Debug)]
pub struct Reply(pub Vec<Frame>);

impl Reply {
    /// Type bytes of the messages in order.
    pub fn tags(&self) -> String {
        self.0.iter().map(|frame| char::from(frame.tag)).collect()
    }

    /// SQLSTATE of the error; empty without one.
    pub fn sqlstate(&self) -> String {
        let mut states = self.0.iter().filter_map(Frame::sqlstate);
        states.next().unwrap_or_default().to_owned()
    }

    /// Message of the error; empty without one.
    pub fn message(&self) -> String {
        let error = self.0.iter().find(|frame| frame.tag == b'E');
        error
            .and_then(|frame| frame.field(b'M'))
            .unwrap_or_default()
            .to_owned()
    }

    /// First columns of all rows as text.
    pub fn rows(&self) -> Vec<String> {
        let rows = self.0.iter().filter(|frame| frame.tag == b'D');
        rows.map(|frame| String::from_utf8_lossy(&frame.body[6..]).into_owned())
            .collect()
    }

    /// Command tags.
    pub fn commands(&self) -> Vec<&str> {
        self.0.iter().filter_map(Frame::command_tag).collect()
    }

    /// Token that was reported.
    pub fn token(&self) -> Option<&str> {
        self.0
            .iter()
            .filter_map(Frame::parameter_status)
            .find(|(name, _)| *name == "goldcrestrail.token")
            .map(|(_, value)| value)
    }

    /// Transaction status at the end.
    pub fn status(&self) -> char {
        let last = self.0.last().and_then(Frame::transaction_status);
        last.map_or('-', char::from)
    }
}

/// Runs a test on its own runtime, for at most 20 s.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        compio::time::timeout(Duration::from_secs(20), test)
            .await
            .expect("the test ends in time")
    })
}
