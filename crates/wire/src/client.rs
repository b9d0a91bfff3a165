//! Client side of a connection to an upstream.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use base::Map;
use compio::net::TcpStream;
use pgwire::messages::{
    cancel::CancelRequest,
    simplequery::Query,
    startup::{SecretKey, Startup},
};

use crate::{Cursor, Frame, Reader, WireError, Writer};

/// Longest message accepted from an upstream, in bytes.
const LIMIT_BYTES: usize = 64 << 20;

/// Rows of a simple query as text; `None` stands for NULL.
pub type Rows = Vec<Vec<Option<String>>>;

/// Why a request to an upstream failed.
#[derive(Debug)]
pub enum Failure {
    /// The connection failed; what was sent may have run.
    Wire(WireError),
    /// The upstream refused, with SQLSTATE and message.
    Refused(String, String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Wire(cause) => cause.fmt(f),
            Self::Refused(sqlstate, message) => write!(f, "{sqlstate}: {message}"),
        }
    }
}

impl std::error::Error for Failure {}

impl From<WireError> for Failure {
    fn from(cause: WireError) -> Self {
        Self::Wire(cause)
    }
}

/// A session with an upstream.
#[derive(Debug)]
pub struct Client {
    /// Messages from the upstream.
    pub reader: Reader,
    /// Messages to the upstream.
    pub writer: Writer,
    /// Parameters as the upstream reported them last.
    pub parameters: Map<String, String>,
    /// Process number and secret for cancel requests.
    pub key: (i32, i32),
    /// Own and remote address of the stream; a cancel request goes between the same two hosts.
    pub addresses: Option<(SocketAddr, SocketAddr)>,
}

impl Client {
    /// Logs in over a fresh stream, with trust authentication.
    ///
    /// # Errors
    /// The stream failed, or the upstream refused the login or wants a password.
    pub async fn open(stream: TcpStream, user: &str, database: &str) -> Result<Self, Failure> {
        Self::open_with(stream, user, database, &[]).await
    }

    /// Logs in as [`Client::open`] does, with further parameters as defaults of the session.
    ///
    /// # Errors
    /// As [`Client::open`].
    pub async fn open_with(
        stream: TcpStream,
        user: &str,
        database: &str,
        defaults: &[(&str, &str)],
    ) -> Result<Self, Failure> {
        let addresses = stream.local_addr().ok().zip(stream.peer_addr().ok());
        let (read, write) = (stream.clone(), stream);
        let mut client = Self {
            reader: Reader::new(read, LIMIT_BYTES),
            writer: Writer::new(write),
            parameters: Map::default(),
            key: (0, 0),
            addresses,
        };
        let mut startup = Startup::new();
        startup.parameters = BTreeMap::from([
            ("user".to_owned(), user.to_owned()),
            ("database".to_owned(), database.to_owned()),
        ]);
        let defaults = defaults
            .iter()
            .map(|&(name, value)| (name.to_owned(), value.to_owned()));
        startup.parameters.extend(defaults);
        client.writer.message(&startup)?;
        client.writer.flush().await?;
        client.login().await?;
        Ok(client)
    }

    async fn login(&mut self) -> Result<(), Failure> {
        loop {
            let frame = self.frame().await?;
            let mut cursor = Cursor::new(&frame.body);
            match frame.tag {
                b'R' if cursor.int()? != 0 => {
                    return Err(Failure::Wire(WireError::Malformed(
                        "upstream asks for an authentication that is not spoken here",
                    )));
                }
                b'K' => self.key = (cursor.int()?, cursor.int()?),
                b'S' => self.record_parameter(&frame),
                b'E' => return Err(parse_error(&frame)),
                b'Z' => return Ok(()),
                _ => {}
            }
        }
    }

    /// Runs one simple query and returns its rows.
    ///
    /// # Errors
    /// The connection failed, or the upstream refused; after a refusal the session goes on.
    pub async fn query(&mut self, sql: &str) -> Result<Rows, Failure> {
        self.writer.message(&Query::new(sql.to_owned()))?;
        self.writer.flush().await?;
        let mut rows = Rows::new();
        let mut refused = None;
        loop {
            let frame = self.frame().await?;
            match frame.tag {
                b'S' => self.record_parameter(&frame),
                b'D' => rows.push(parse_row(&frame)?),
                b'E' => refused = Some(parse_error(&frame)),
                b'Z' => return refused.map_or(Ok(rows), Err),
                _ => {}
            }
        }
    }

    /// Keeps the parameter that a `ParameterStatus` reports; other frames are left alone.
    pub fn record_parameter(&mut self, frame: &Frame) {
        let Some((name, value)) = frame.parameter_status() else {
            return;
        };
        if let Some(kept) = self.parameters.get_mut(name) {
            value.clone_into(kept);
        } else {
            self.parameters.insert(name.to_owned(), value.to_owned());
        }
    }

    /// Waits for the next frame; the end of the connection is an error here.
    ///
    /// # Errors
    /// The connection failed or ended.
    pub async fn frame(&mut self) -> Result<Frame, WireError> {
        self.reader.next().await?.ok_or(WireError::ConnectionClosed)
    }
}

/// Asks an upstream, over a fresh stream, to cancel what the session with `key` runs.
///
/// # Errors
/// The stream failed.
pub async fn cancel(stream: TcpStream, key: (i32, i32)) -> Result<(), WireError> {
    let mut writer = Writer::new(stream);
    writer.message(&CancelRequest::new(key.0, SecretKey::I32(key.1)))?;
    writer.flush().await
}

/// Reads an `ErrorResponse`.
#[must_use]
pub fn parse_error(frame: &Frame) -> Failure {
    let text = |code| frame.field(code).unwrap_or_default().to_owned();
    Failure::Refused(text(b'C'), text(b'M'))
}

/// Reads a `DataRow` as text.
///
/// # Errors
/// The body ends before the row does.
pub fn parse_row(frame: &Frame) -> Result<Vec<Option<String>>, WireError> {
    let mut cursor = Cursor::new(&frame.body);
    (0..cursor.short()?)
        .map(|_| {
            Ok(cursor
                .value()?
                .map(|bytes| String::from_utf8_lossy(bytes).into_owned()))
        })
        .collect()
}
