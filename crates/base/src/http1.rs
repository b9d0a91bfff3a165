//! HTTP/1.1 connections in front of an axum router.
//!
//! Replaces the adapter of `cyper-axum` 0.8, which leaks the file descriptor and about 25 KB of
//! memory of every connection, even after both ends have closed it. Upstreams open one connection
//! per second.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use axum::{
    Router,
    body::{Body, Bytes, to_bytes},
    http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header},
};
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use memory::FLOOR_BYTES;
use tower_service::Service as _;

use crate::{
    http_clients::{Activity, ClientState},
    meter::Account,
};

/// Maximum size of the request line and headers, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Copies of a request body that exist at the same time: as received, and as parsed.
const COPIES: usize = 2;
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;
/// Maximum number of request headers.
const MAX_HEADERS: usize = 64;
/// Maximum number of bytes per read.
const READ_BYTES: usize = 4 << 10;
/// Time limit for receiving a request, including the idle time before it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A received request, and whether the connection stays open after its response.
struct ReceivedRequest {
    request: Request<Body>,
    keep_alive: bool,
}

/// Why no request was received.
enum ReceiveError {
    /// The connection ended or failed.
    Closed,
    /// The request is rejected with this status.
    Rejected(StatusCode),
}

/// A connection of a client.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    /// Account in which large bodies count.
    pub(crate) account: Option<Rc<Account>>,
    /// Maximum size of a request body, in bytes.
    pub(crate) body_bytes: usize,
    pub(crate) state: ClientState,
}

impl Connection {
    /// Serves the requests of the connection sequentially.
    pub(crate) async fn serve(mut self, router: Router) {
        self.serve_requests(router).await;
        self.state.set(Activity::Ended);
    }

    async fn serve_requests(&mut self, router: Router) {
        let mut buffer = Vec::new();
        loop {
            self.state.set(Activity::Waiting(Instant::now()));
            let received = match timeout(REQUEST_TIMEOUT, receive(self, &mut buffer)).await {
                Ok(Ok(received)) => received,
                Ok(Err(ReceiveError::Rejected(status))) => {
                    let mut response = Response::new(Body::empty());
                    *response.status_mut() = status;
                    let _closed_anyway = send(&mut self.stream, response, false, false).await;
                    return;
                }
                Ok(Err(ReceiveError::Closed)) | Err(_) => return,
            };
            self.state.set(Activity::Served);
            let is_head = received.request.method() == Method::HEAD;
            let mut router = router.clone();
            let response = match router.call(received.request).await {
                Ok(response) => response,
                Err(never) => match never {},
            };
            if let Some(account) = &self.account {
                account.release();
            }
            // A client that doesn't read may be closed in favour of another.
            self.state.set(Activity::Waiting(Instant::now()));
            let sent = send(&mut self.stream, response, received.keep_alive, is_head).await;
            if sent.is_err() || !received.keep_alive {
                return;
            }
        }
    }

    /// Waits for memory for a body that does not fit into the floor of the connection.
    async fn reserve(&self, bytes: usize) -> Result<(), ReceiveError> {
        if bytes > self.body_bytes {
            return Err(ReceiveError::Rejected(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let Some(account) = self.account.as_ref().filter(|_| bytes > FLOOR_BYTES) else {
            return Ok(());
        };
        if account.reserve(COPIES * bytes).await {
            Ok(())
        } else {
            Err(ReceiveError::Rejected(StatusCode::PAYLOAD_TOO_LARGE))
        }
    }

    async fn fill(&mut self, buffer: &mut Vec<u8>) -> Result<(), ReceiveError> {
        let BufResult(count, chunk) = self.stream.read(Vec::with_capacity(READ_BYTES)).await;
        match count {
            Ok(0) | Err(_) => Err(ReceiveError::Closed),
            Ok(count) => {
                buffer.extend_from_slice(&chunk);
                if let Some(account) = self.account.as_ref().filter(|_| buffer.len() > FLOOR_BYTES)
                {
                    account.record_moved(count);
                }
                Ok(())
            }
        }
    }
}

async fn receive(
    connection: &mut Connection,
    buffer: &mut Vec<u8>,
) -> Result<ReceivedRequest, ReceiveError> {
    loop {
        if let Some((head, length)) = parse(buffer)? {
            let body = head.body_length()?;
            connection.reserve(body).await?;
            buffer.reserve_exact((length + body).saturating_sub(buffer.len()));
            while buffer.len() < length + body {
                connection.fill(buffer).await?;
            }
            let rest = buffer.split_off(length + body);
            let body = Bytes::from(buffer.split_off(length));
            *buffer = rest;
            return Ok(head.into_request(body));
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(ReceiveError::Rejected(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ));
        }
        connection.fill(buffer).await?;
    }
}

struct Head {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    keep_alive: bool,
}

/// Parses the request line and headers; `None` while they are incomplete.
fn parse(buffer: &[u8]) -> Result<Option<(Head, usize)>, ReceiveError> {
    let bad = || ReceiveError::Rejected(StatusCode::BAD_REQUEST);
    let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut header_buffer);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_malformed) => return Err(bad()),
    };
    let mut headers = HeaderMap::new();
    for field in request.headers.iter() {
        let name = header::HeaderName::from_bytes(field.name.as_bytes()).ok();
        let value = header::HeaderValue::from_bytes(field.value).ok();
        headers.append(name.ok_or_else(bad)?, value.ok_or_else(bad)?);
    }
    let connection_header = headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok());
    let must_close = connection_header
        .is_some_and(|connection_header| connection_header.eq_ignore_ascii_case("close"));
    let head = Head {
        method: request
            .method
            .and_then(|method| method.parse().ok())
            .ok_or_else(bad)?,
        uri: request
            .path
            .and_then(|path| path.parse().ok())
            .ok_or_else(bad)?,
        keep_alive: request.version == Some(1) && !must_close,
        headers,
    };
    Ok(Some((head, length)))
}

impl Head {
    fn body_length(&self) -> Result<usize, ReceiveError> {
        if self.headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(ReceiveError::Rejected(StatusCode::LENGTH_REQUIRED));
        }
        let Some(length) = self.headers.get(header::CONTENT_LENGTH) else {
            return Ok(0);
        };
        let length = length.to_str().ok().and_then(|length| length.parse().ok());
        match length {
            None => Err(ReceiveError::Rejected(StatusCode::BAD_REQUEST)),
            Some(length) => Ok(length),
        }
    }

    fn into_request(self, body: Bytes) -> ReceivedRequest {
        let mut request = Request::new(Body::from(body));
        *request.method_mut() = self.method;
        *request.uri_mut() = self.uri;
        *request.headers_mut() = self.headers;
        ReceivedRequest {
            request,
            keep_alive: self.keep_alive,
        }
    }
}

/// Writes a response. The response to a HEAD request states the length of the body but omits it.
async fn send(
    stream: &mut TcpStream,
    response: Response<Body>,
    keep_alive: bool,
    is_head: bool,
) -> io::Result<()> {
    let (head, body) = response.into_parts();
    // The router drops the body of a response to HEAD but keeps its Content-Length.
    let stated_length = head.headers.get(header::CONTENT_LENGTH);
    let stated_length = stated_length.and_then(|length| length.to_str().ok()?.parse().ok());
    let body = to_bytes(body, MAX_RESPONSE_BYTES)
        .await
        .map_err(io::Error::other)?;
    let mut out = format!("HTTP/1.1 {}\r\n", head.status).into_bytes();
    for (name, value) in &head.headers {
        if name == header::CONTENT_LENGTH {
            continue;
        }
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let length = stated_length.filter(|_| is_head).unwrap_or(body.len());
    let tail = format!("content-length: {length}\r\nconnection: {connection}\r\n\r\n");
    out.extend_from_slice(tail.as_bytes());
    if !is_head {
        out.extend_from_slice(&body);
    }
    stream.write_all(out).await.0
}
