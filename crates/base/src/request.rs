//! HTTP/1.1 requests to other services.

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

/// Longest answer, in bytes: only its status and a short text are of use.
const ANSWER_BYTES: usize = 64 << 10;
/// Bytes read at once.
const CHUNK_BYTES: usize = 2 << 10;
/// Most headers of an answer.
const HEADERS: usize = 64;

/// A request with a JSON body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Headers beside those of the body.
    pub headers: Vec<(&'a str, String)>,
    /// Body.
    pub body: String,
}

/// Sends a request from the address `from` on a connection of its own, and returns the status.
///
/// # Errors
/// The connection can't be made or breaks, the answer is no HTTP, or it takes longer than `limit`.
pub async fn send(
    from: IpAddr,
    to: SocketAddr,
    request: &Request<'_>,
    limit: Duration,
) -> io::Result<u16> {
    let work = async {
        let mut stream = crate::net::connect(from, to, limit).await?;
        stream.write_all(encode(to, request)).await.0?;
        let mut buffer = Vec::new();
        while buffer.len() < ANSWER_BYTES {
            let BufResult(count, chunk) = stream.read(Vec::with_capacity(CHUNK_BYTES)).await;
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
    let done = timeout(limit, work).await;
    done.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
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

/// Status of an answer whose head has arrived.
fn status(buffer: &[u8]) -> io::Result<Option<u16>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    match answer.parse(buffer) {
        Ok(httparse::Status::Complete(_)) => Ok(answer.code),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(cause) => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            cause.to_string(),
        )),
    }
}
