//! A minimal HTTP client.

use std::{fmt::Write as _, io, net::SocketAddr};

use compio::{
    buf::BufResult,
    io::{AsyncRead, AsyncWriteExt as _},
    net::TcpStream,
};
use serde_json::Value;

/// Response of a server.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    pub fn cookie(&self) -> String {
        let mut lines = self.head.lines();
        let line = lines.find(|line| line.to_lowercase().starts_with("set-cookie:"));
        line.unwrap().split_once(':').unwrap().1.trim().to_owned()
    }
}

/// Sends one request on a new connection.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Reply> {
    let (mut read, mut write) = TcpStream::connect(address).await?.into_split();
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        write!(request, "{name}: {value}\r\n").unwrap();
    }
    write!(request, "\r\n{body}").unwrap();
    // A server that refuses the body may close the connection before it has read the whole body,
    // so a failed write counts only when there is no response.
    let BufResult(sent, _) = write.write_all(request.into_bytes()).await;
    let mut bytes = Vec::new();
    loop {
        let BufResult(count, chunk) = read.read(Vec::with_capacity(1 << 16)).await;
        match count {
            Ok(0) => break,
            Ok(_) => bytes.extend(chunk),
            Err(_) if !bytes.is_empty() => break,
            Err(cause) => return Err(cause),
        }
    }
    let text = String::from_utf8(bytes).map_err(io::Error::other)?;
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        sent?;
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    Ok(Reply {
        status: head.split(' ').nth(1).unwrap().parse().unwrap(),
        head: head.to_owned(),
        body: body.to_owned(),
    })
}

/// Percent-encodes every byte of a form value.
pub fn encode(text: &str) -> String {
    text.bytes().fold(String::new(), |mut out, byte| {
        write!(out, "%{byte:02X}").unwrap();
        out
    })
}
