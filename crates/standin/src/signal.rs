//! Stop requests by signal.

use std::{io, os::unix::net::UnixStream as StdUnixStream};

use compio::{buf::BufResult, io::AsyncRead, net::UnixStream};
use signal_hook::consts::{SIGINT, SIGTERM};

/// Delivers SIGTERM and SIGINT as bytes on a socket pair that the runtime can wait on.
///
/// compio masks signals in one thread only; a signal delivered to another thread, such as the
/// logger, would kill the process.
#[derive(Debug)]
pub struct Signals {
    stream: UnixStream,
}

impl Signals {
    /// Installs handlers for both signals.
    ///
    /// # Errors
    /// A handler can't be installed.
    pub fn new() -> io::Result<Self> {
        let (read, write) = StdUnixStream::pair()?;
        read.set_nonblocking(true)?;
        for signal in [SIGTERM, SIGINT] {
            signal_hook::low_level::pipe::register(signal, write.try_clone()?)?;
        }
        Ok(Self {
            stream: UnixStream::from_std(read)?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        let BufResult(outcome, _byte) = self.stream.read([0_u8; 1]).await;
        if outcome.is_err() {
            // Without signals the process runs until it is killed.
            std::future::pending::<()>().await;
        }
    }
}
