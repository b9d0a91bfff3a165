//! Minimal HTTP/1.1 client for requests to other services.

use std::{
    fmt::{self, Write as _},
    io,
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
    time::timeout_at,
};

/// Maximum size of a response, in bytes; only its status and a short text are useful.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Maximum number of bytes per read.
const READ_BYTES: usize = 2 << 10;
/// Maximum number of response headers.
const MAX_HEADERS: usize = 64;

/// A request with a JSON body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Headers in addition to `host`, `connection` and those of the body.
    pub headers: Vec<(&'a str, String)>,
    /// Body.
    pub body: String,
}

/// Why a request has no status code.
#[derive(Debug)]
pub enum SendError {
    /// Nothing was sent.
    Unsent(io::Error),
    /// The request may have been received.
    Unanswered(io::Error),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(cause) => write!(f, "nothing was sent: {cause}"),
            Self::Unanswered(cause) => write!(f, "no answer: {cause}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Sends a request over a new connection from the address `from`, and returns the status code.
///
/// `may_send` is asked once the connection is open, right before the request is written: connecting
/// takes time in which the reason for the request may have gone. Without an answer within `limit`, the
/// connection is reset, so that what has not left this host by then is not sent.
///
/// # Errors
/// [`SendError::Unsent`] if the connection can't be opened or `may_send` refuses.
/// [`SendError::Unanswered`] if the connection fails, the response is not valid HTTP, or the exchange
/// takes longer than `limit`.
pub async fn send(
    from: IpAddr,
    to: SocketAddr,
    request: &Request<'_>,
    limit: Duration,
    may_send: impl Fn() -> bool,
) -> Result<u16, SendError> {
    let deadline = Instant::now() + limit;
    let stream = crate::net::connect_resetting(from, to, limit).await;
    let stream = stream.map_err(SendError::Unsent)?;
    if !may_send() {
        let cause = "the request is no longer valid";
        return Err(SendError::Unsent(io::Error::other(cause)));
    }
    let answer = timeout_at(deadline, exchange(stream, to, request)).await;
    let answer = answer.unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into()));
    answer.map_err(SendError::Unanswered)
}

async fn exchange(mut stream: TcpStream, to: SocketAddr, request: &Request<'_>) -> io::Result<u16> {
    stream.write_all(encode(to, request)).await.0?;
    let mut buffer = Vec::new();
    while buffer.len() < MAX_RESPONSE_BYTES {
        let BufResult(count, chunk) = stream.read(Vec::with_capacity(READ_BYTES)).await;
        if count? == 0 {
            break;
        }
        buffer.extend_from_slice(&chunk);
        if let Some(status) = status(&buffer)? {
            return Ok(status);
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

fn encode(to: SocketAddr, request: &Request<'_>) -> Vec<u8> {
    let mut text = format!(
        "{} {} HTTP/1.1\r\nhost: {to}\r\n",
        request.method, request.path
    );
    for (name, value) in &request.headers {
        let _infallible = write!(text, "{name}: {value}\r\n");
    }
    let _infallible = write!(
        text,
        "content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{}",
        request.body.len(),
        request.body
    );
    text.into_bytes()
}

/// Parses the status code of a response; `None` while its headers are incomplete.
fn status(buffer: &[u8]) -> io::Result<Option<u16>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(buffer) {
        Ok(httparse::Status::Complete(_)) => Ok(response.code),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(cause) => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            cause.to_string(),
        )),
    }
}
