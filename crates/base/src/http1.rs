//! HTTP/1.1 connections in front of an axum router.
//!
//! The adapter of `cyper-axum` 0.8 keeps the descriptor and about 25 KB of every connection for
//! good, also after both ends have closed it. Upstreams open one connection a second.

use std::{io, time::Duration};

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
use tower_service::Service as _;

/// Longest request line with headers, in bytes.
const HEAD_BYTES: usize = 16 << 10;
/// Longest request body, in bytes.
const BODY_BYTES: usize = 4 << 20;
/// Longest answer, in bytes.
const ANSWER_BYTES: usize = 256 << 20;
/// Most headers of a request.
const HEADERS: usize = 64;
/// Bytes read at once.
const CHUNK_BYTES: usize = 4 << 10;
/// Time for a request to arrive, and for a connection to stay idle between two.
const ARRIVAL: Duration = Duration::from_secs(30);

/// A request with what decides about the connection after it.
struct Received {
    request: Request<Body>,
    keep: bool,
}

/// Why no request could be read.
enum Fault {
    /// The connection ended or failed.
    Closed,
    /// The request is refused with this status.
    Refused(StatusCode),
}

/// Answers the requests of one connection, one after the other.
pub async fn answer(mut stream: TcpStream, router: Router) {
    let mut buffer = Vec::new();
    loop {
        let received = match timeout(ARRIVAL, receive(&mut stream, &mut buffer)).await {
            Ok(Ok(received)) => received,
            Ok(Err(Fault::Refused(status))) => {
                let mut response = Response::new(Body::empty());
                *response.status_mut() = status;
                let _closed_anyway = send(&mut stream, response, false, false).await;
                return;
            }
            Ok(Err(Fault::Closed)) | Err(_) => return,
        };
        let head = received.request.method() == Method::HEAD;
        let mut router = router.clone();
        let response = match router.call(received.request).await {
            Ok(response) => response,
            Err(never) => match never {},
        };
        if send(&mut stream, response, received.keep, head)
            .await
            .is_err()
            || !received.keep
        {
            return;
        }
    }
}

async fn receive(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<Received, Fault> {
    loop {
        if let Some((head, length)) = parse(buffer)? {
            let body = head.body_length()?;
            while buffer.len() < length + body {
                fill(stream, buffer).await?;
            }
            let rest = buffer.split_off(length + body);
            let body = Bytes::from(buffer.split_off(length));
            *buffer = rest;
            return Ok(head.into_request(body));
        }
        if buffer.len() > HEAD_BYTES {
            return Err(Fault::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
        }
        fill(stream, buffer).await?;
    }
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<(), Fault> {
    let BufResult(count, chunk) = stream.read(Vec::with_capacity(CHUNK_BYTES)).await;
    match count {
        Ok(0) | Err(_) => Err(Fault::Closed),
        Ok(_) => {
            buffer.extend_from_slice(&chunk);
            Ok(())
        }
    }
}

struct Head {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    keep: bool,
}

/// Parses the request line and headers; `None` while they have not arrived in full.
fn parse(buffer: &[u8]) -> Result<Option<(Head, usize)>, Fault> {
    let bad = || Fault::Refused(StatusCode::BAD_REQUEST);
    let mut space = [httparse::EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut space);
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
    let option = headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok());
    let closes = option.is_some_and(|option| option.eq_ignore_ascii_case("close"));
    let head = Head {
        method: request
            .method
            .and_then(|method| method.parse().ok())
            .ok_or_else(bad)?,
        uri: request
            .path
            .and_then(|path| path.parse().ok())
            .ok_or_else(bad)?,
        keep: request.version == Some(1) && !closes,
        headers,
    };
    Ok(Some((head, length)))
}

impl Head {
    fn body_length(&self) -> Result<usize, Fault> {
        if self.headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(Fault::Refused(StatusCode::LENGTH_REQUIRED));
        }
        let Some(length) = self.headers.get(header::CONTENT_LENGTH) else {
            return Ok(0);
        };
        let length = length.to_str().ok().and_then(|length| length.parse().ok());
        match length {
            None => Err(Fault::Refused(StatusCode::BAD_REQUEST)),
            Some(length) if length > BODY_BYTES => {
                Err(Fault::Refused(StatusCode::PAYLOAD_TOO_LARGE))
            }
            Some(length) => Ok(length),
        }
    }

    fn into_request(self, body: Bytes) -> Received {
        let mut request = Request::new(Body::from(body));
        *request.method_mut() = self.method;
        *request.uri_mut() = self.uri;
        *request.headers_mut() = self.headers;
        Received {
            request,
            keep: self.keep,
        }
    }
}

/// Writes a response; to a HEAD request, without the body whose length it states.
async fn send(
    stream: &mut TcpStream,
    response: Response<Body>,
    keep: bool,
    bodiless: bool,
) -> io::Result<()> {
    let (head, body) = response.into_parts();
    // The router has dropped the body of an answer to HEAD, and kept its length.
    let stated = head.headers.get(header::CONTENT_LENGTH);
    let stated = stated.and_then(|length| length.to_str().ok()?.parse().ok());
    let body = to_bytes(body, ANSWER_BYTES)
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
    let connection = if keep { "keep-alive" } else { "close" };
    let length = stated.filter(|_| bodiless).unwrap_or(body.len());
    let tail = format!("content-length: {length}\r\nconnection: {connection}\r\n\r\n");
    out.extend_from_slice(tail.as_bytes());
    if !bodiless {
        out.extend_from_slice(&body);
    }
    stream.write_all(out).await.0
}
