//! A minimal HTTP/1.1 client and server.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Time limit of a call, after which callers turn to another host.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Makes a call and returns the status and the body.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let invalid = || std::io::Error::other("no HTTP response");
    let status = answer.split(' ').nth(1).ok_or_else(invalid)?;
    let status = status.parse().map_err(|_cause| invalid())?;
    let (_, body) = answer.split_once("\r\n\r\n").ok_or_else(invalid)?;
    Ok((status, body.to_owned()))
}

/// Reads one request, passes its first line and body to `answer`, and sends the status that it returns.
pub fn serve_one(stream: &TcpStream, answer: impl Fn(&str, &str) -> u16) -> std::io::Result<()> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first)?;
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        if header.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let status = answer(first.trim(), &String::from_utf8_lossy(&body));
    let mut out = stream;
    write!(
        out,
        "HTTP/1.1 {status} x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    )
}

/// Value of a text field of a flat JSON object.
pub fn json_text<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = body.split_once(&format!("\"{name}\""))?;
    rest.split('"').nth(1)
}
