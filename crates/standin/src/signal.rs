//! Requests to stop, as signals.

use std::{io, os::unix::net::UnixStream as Pair};

use compio::{buf::BufResult, io::AsyncRead, net::UnixStream};
use signal_hook::consts::{SIGINT, SIGTERM};

/// SIGTERM and SIGINT as bytes on a socket pair, which the runtime can wait for.
///
/// The signal support of compio masks signals in one thread only, so that another thread, as that
/// of the logger, would be ended by them.
#[derive(Debug)]
pub struct Signals {
    stream: UnixStream,
}

impl Signals {
    /// Takes both signals over.
    ///
    /// # Errors
    /// A handler can't be installed.
    pub fn new() -> io::Result<Self> {
        let (read, write) = Pair::pair()?;
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
