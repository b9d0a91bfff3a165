//! Signals that a process waits for.

use std::{io, os::unix::net::UnixStream as StdStream};

use compio::{BufResult, io::AsyncRead, net::UnixStream};
pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Signals as bytes on a socket pair, which the runtime can wait for.
#[derive(Debug)]
pub struct Signals {
    stream: UnixStream,
}

impl Signals {
    /// Receives the given signals from now on.
    ///
    /// # Errors
    /// There are no descriptors for the socket pair, or a signal can't be received.
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
            // Without signals the process runs until it is killed.
            std::future::pending::<()>().await;
        }
    }
}
