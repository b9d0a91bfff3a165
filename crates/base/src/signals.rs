//! Asynchronous handling of Unix signals.

use std::{io, os::unix::net::UnixStream as StdStream};

use compio::{BufResult, io::AsyncRead, net::UnixStream};
pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Unix signals, delivered as bytes on a socket pair that the async runtime can poll.
#[derive(Debug)]
pub struct Signals {
    stream: UnixStream,
}

impl Signals {
    /// Installs handlers for the given signals.
    ///
    /// # Errors
    /// The socket pair can't be created, or a handler can't be installed.
    pub fn new(signals: &[i32]) -> io::Result<Self> {
        let (read, write) = StdStream::pair()?;
        read.set_nonblocking(true)?;
        for signal in signals {
            signal_hook::low_level::pipe::register(*signal, write.try_clone()?)?;
        }
        Ok(Self {
            stream: UnixStream::from_std(read)?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        let BufResult(result, _) = self.stream.read([0_u8; 1]).await;
        if result.is_err() {
            // No signal arrives after this error, so the process runs until it is killed.
            std::future::pending::<()>().await;
        }
    }
}
