//! Addresses, HTTP and small helpers of the stand-ins.

use std::{
    fmt::Write as _,
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::Mutex,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Port on which the programs serve `/metrics` and `/dump`.
pub const METRICS_PORT: u16 = 9464;
/// Port of the databases.
const DATABASE_PORT: u16 = 8080;
/// Port of the platform's API.
const PLATFORM_PORT: u16 = 8783;

/// Loopback network of one case. The addresses are 127.x.y.1 and up.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// Picks a network on whose first addresses nothing listens.
    pub fn pick() -> Self {
        let seed = unix_ms() ^ (u64::from(std::process::id()) << 20);
        for attempt in 0..200_u64 {
            // Multiplicative hashing spreads similar seeds over the networks.
            let mixed = seed
                .wrapping_add(attempt)
                .wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let network = Self {
                second: 1 + ((mixed >> 40) % 250) as u8,
                third: 1 + ((mixed >> 50) % 250) as u8,
            };
            let free = (1..32).all(|host| {
                [METRICS_PORT, DATABASE_PORT, PLATFORM_PORT, 7_100]
                    .iter()
                    .all(|port| TcpListener::bind(network.address(host, *port)).is_ok())
            });
            if free {
                return network;
            }
        }
        panic!("no free loopback network");
    }

    pub fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host))
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }

    pub fn database(self, number: u8) -> SocketAddr {
        self.address(20 + number, DATABASE_PORT)
    }

    pub fn platform(self) -> SocketAddr {
        self.address(19, PLATFORM_PORT)
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Sends an HTTP request and returns the status and the body.
pub fn http_call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status.unwrap_or(0), body.to_owned()))
}

/// Reads an HTTP request: its first line, its headers in lower case, and its body.
pub fn read_http(stream: &TcpStream) -> io::Result<(String, Vec<String>, String)> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut head = String::new();
    reader.read_line(&mut head)?;
    let (mut headers, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            break;
        }
        let line = line.trim().to_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
        headers.push(line);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((
        head.trim().to_owned(),
        headers,
        String::from_utf8_lossy(&body).into_owned(),
    ))
}

pub fn answer_http(stream: &TcpStream, status: u16) {
    let mut out = stream;
    let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    let _client_left = out.write_all(answer.as_bytes());
}

/// Text value of a field of a flat JSON object.
pub fn json_text(body: &str, field: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{field}\""))?;
    let (_, rest) = rest.split_once('"')?;
    rest.split_once('"').map(|(value, _)| value.to_owned())
}

/// Reads a line that ends with CR LF; `None` at the end of the stream.
pub fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n") {
        if reader.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(None);
        }
    }
    bytes.truncate(bytes.len() - 2);
    Ok(Some(String::from_utf8_lossy(&bytes).into_owned()))
}

/// The record of a case: what was sent, answered and run.
pub struct Record {
    start: Instant,
    lines: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            lines: Mutex::new(File::create(folder.join("record.txt"))?),
        })
    }

    /// Adds a line with the time since the start.
    pub fn add(&self, text: &str) {
        let mut line = String::new();
        let _infallible = writeln!(line, "{:8.3} s  {text}", self.start.elapsed().as_secs_f64());
        if let Ok(mut lines) = self.lines.lock() {
            let _written = lines.write_all(line.as_bytes());
        }
    }
}
