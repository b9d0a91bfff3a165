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

/// Maximum size of a message from an upstream, in bytes.
const LIMIT_BYTES: usize = 64 << 20;

/// Rows of a simple query in text format; `None` is NULL.
pub type Rows = Vec<Vec<Option<String>>>;

/// Why a request to an upstream failed.
#[derive(Debug)]
pub enum Failure {
    /// The connection failed; the request may have been executed.
    Wire(WireError),
    /// The upstream returned an error, with SQLSTATE and message.
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
    /// Latest values of the parameters that the upstream reported.
    pub parameters: Map<String, String>,
    /// Process id and secret key for cancel requests.
    pub key: (i32, i32),
    /// Local and remote address of the stream; a cancel request uses the same two hosts.
    pub addresses: Option<(SocketAddr, SocketAddr)>,
}

impl Client {
    /// Logs in over a new stream, with trust authentication.
    ///
    /// # Errors
    /// The stream failed, or the upstream rejected the login or requires a password.
    pub async fn open(stream: TcpStream, user: &str, database: &str) -> Result<Self, Failure> {
        Self::open_with(stream, user, database, &[]).await
    }

    /// Logs in like [`Client::open`], with further startup parameters as defaults of the session.
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
    /// The connection failed, or the upstream returned an error; after the latter the session
    /// remains usable.
    pub async fn query(&mut self, sql: &str) -> Result<Rows, Failure> {
        self.writer.message(&Query::new(sql.to_owned()))?;
        self.writer.flush().await?;
        let mut rows = Rows::new();
        let mut error = None;
        loop {
            let frame = self.frame().await?;
            match frame.tag {
                b'S' => self.record_parameter(&frame),
                b'D' => rows.push(parse_row(&frame)?),
                b'E' => error = Some(parse_error(&frame)),
                b'Z' => return error.map_or(Ok(rows), Err),
                _ => {}
            }
        }
    }

    /// Stores the parameter that a `ParameterStatus` reports; ignores other frames.
    pub fn record_parameter(&mut self, frame: &Frame) {
        let Some((name, value)) = frame.parameter_status() else {
            return;
        };
        if let Some(stored) = self.parameters.get_mut(name) {
            value.clone_into(stored);
        } else {
            self.parameters.insert(name.to_owned(), value.to_owned());
        }
    }

    /// Waits for the next frame; the end of the connection is an error.
    ///
    /// # Errors
    /// The connection failed or ended.
    pub async fn frame(&mut self) -> Result<Frame, WireError> {
        self.reader.next().await?.ok_or(WireError::ConnectionClosed)
    }
}

/// Asks an upstream, over a new stream, to cancel the running statement of the session with `key`.
///
/// # Errors
/// The stream failed.
pub async fn cancel(stream: TcpStream, key: (i32, i32)) -> Result<(), WireError> {
    let mut writer = Writer::new(stream);
    writer.message(&CancelRequest::new(key.0, SecretKey::I32(key.1)))?;
    writer.flush().await
}

/// Parses an `ErrorResponse`.
#[must_use]
pub fn parse_error(frame: &Frame) -> Failure {
    let text = |code| frame.field(code).unwrap_or_default().to_owned();
    Failure::Refused(text(b'C'), text(b'M'))
}

/// Parses a `DataRow` in text format.
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
