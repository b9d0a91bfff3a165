//! Stop requests by signal.

use std::{io, os::unix::net::UnixStream as StdUnixStream, time::Duration};

use base::signals::limit_stop;
use compio::{buf::BufResult, io::AsyncRead, net::UnixStream};
use signal_hook::consts::{SIGINT, SIGTERM};

/// Longest duration of a stop. A process whose event loop is blocked is ended after it.
const STOP_LIMIT: Duration = Duration::from_secs(30);

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
        limit_stop(&[SIGTERM, SIGINT], STOP_LIMIT)?;
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
