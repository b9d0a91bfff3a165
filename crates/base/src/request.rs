//! Minimal HTTP/1.1 client for requests to other services.

use std::{
    fmt::Write as _,
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    time::timeout,
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

/// Sends a request over a new connection from the address `from`, and returns the status code.
///
/// # Errors
/// The connection can't be opened or fails, the response is not valid HTTP, or the exchange takes
/// longer than `limit`.
pub async fn send(
    from: IpAddr,
    to: SocketAddr,
    request: &Request<'_>,
    limit: Duration,
) -> io::Result<u16> {
    let exchange = async {
        let mut stream = crate::net::connect(from, to, limit).await?;
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
        Err(io::Error::from(io::ErrorKind::UnexpectedEof))
    };
    let result = timeout(limit, exchange).await;
    result.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
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
