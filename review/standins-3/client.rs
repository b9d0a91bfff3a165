//! Sessions of clients.

use std::{
    io::{BufRead as _, BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Time limit of a request, well above the routes' `TimeoutMs`.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A session.
pub struct Session {
    lines: BufReader<TcpStream>,
}

impl Session {
    /// Connects and logs in.
    pub fn connect(to: SocketAddr, route: &str) -> Result<Self, String> {
        let stream = TcpStream::connect_timeout(&to, TIMEOUT).map_err(|cause| cause.to_string())?;
        let limited = stream.set_read_timeout(Some(TIMEOUT));
        limited.map_err(|cause| cause.to_string())?;
        let mut session = Self {
            lines: BufReader::new(stream),
        };
        session.send(&format!("CONNECT {route} u1\r\n"))?;
        let line = session.read_line()?;
        if line.starts_with("READY") {
            Ok(session)
        } else {
            Err(line)
        }
    }

    /// Whether the other side has closed the connection. Nothing else is expected of it.
    pub fn is_closed(&self) -> bool {
        let stream = self.lines.get_ref();
        let _ignored = stream.set_nonblocking(true);
        let closed = match stream.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(cause) => cause.kind() != std::io::ErrorKind::WouldBlock,
        };
        let _ignored = stream.set_nonblocking(false);
        closed
    }

    /// Sends bytes as they are.
    pub fn send(&mut self, text: &str) -> Result<(), String> {
        let sent = self.lines.get_mut().write_all(text.as_bytes());
        sent.map_err(|cause| cause.to_string())
    }

    /// Reads a line.
    pub fn read_line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) => Err("the connection was closed".to_owned()),
            Ok(_) => Ok(line.trim_end().to_owned()),
            Err(cause) => Err(cause.to_string()),
        }
    }

    /// Reads an answer and returns its line `COMPLETE` or `ERROR`.
    pub fn read_answer(&mut self) -> Result<String, String> {
        loop {
            let line = self.read_line()?;
            if !line.starts_with("ROW") {
                self.read_line()?;
                return Ok(line);
            }
        }
    }

    /// Runs a statement and returns the line `COMPLETE` or `ERROR` of its answer.
    pub fn run(&mut self, id: &str, text: &str) -> Result<String, String> {
        self.send(&format!("QUERY {id} {text}\r\n"))?;
        self.read_answer()
    }
}
