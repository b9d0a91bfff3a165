//! Asynchronous handling of Unix signals.

use std::{
    io::{self, Read},
    os::unix::net::UnixStream as StdStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use compio::{BufResult, io::AsyncRead, net::UnixStream};
pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::exit::Exit;

/// Unix signals. Bytes on a socket pair, which the async runtime can poll, wake the event loop.
#[derive(Debug)]
pub struct Signals {
    stream: UnixStream,
    /// Whether a signal arrived that [`Signals::next`] has not returned.
    arrived: Arc<AtomicBool>,
}

impl Signals {
    /// Installs handlers for the given signals.
    ///
    /// # Errors
    /// The socket pair can't be created, or a handler can't be installed.
    pub fn new(signals: &[i32]) -> io::Result<Self> {
        let arrived = Arc::new(AtomicBool::new(false));
        // Handlers run in the order of their registration: the flag is set before the event loop wakes.
        for signal in signals {
            signal_hook::flag::register(*signal, Arc::clone(&arrived))?;
        }
        let read = receiver(signals)?;
        read.set_nonblocking(true)?;
        Ok(Self {
            arrived,
            stream: UnixStream::from_std(read)?,
        })
    }

    /// Waits for the next signal. Signals that arrive before the wait is polled again count once; none
    /// is lost when the wait is dropped.
    pub async fn next(&mut self) {
        // The byte alone is no proof: a dropped wait may have read it.
        while !self.arrived.swap(false, Ordering::SeqCst) {
            let BufResult(result, _) = self.stream.read([0_u8; 1]).await;
            if result.is_err() {
                // No signal wakes the event loop after this error, so the process runs until its
                // stop limit ends it, or it is killed.
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Ends the process with [`Exit::Failed`] when it still runs `limit` after the first of `signals`.
///
/// The limit holds even when the event loop is blocked and handles no signal. `limit` must exceed the
/// duration of a graceful stop.
///
/// ```
/// use std::time::Duration;
///
/// use base::signals::{SIGTERM, limit_stop};
///
/// limit_stop(&[SIGTERM], Duration::from_secs(10)).unwrap();
/// ```
///
/// # Errors
/// A handler can't be installed, or the thread that watches the limit can't be started.
pub fn limit_stop(signals: &[i32], limit: Duration) -> io::Result<()> {
    let mut read = receiver(signals)?;
    let watch = move || {
        if read.read_exact(&mut [0]).is_ok() {
            thread::sleep(limit);
            eprintln!("the process did not stop within {limit:?} of a signal; it ends now");
            std::process::exit(Exit::Failed.code().into());
        }
    };
    thread::Builder::new()
        .name("stop-limit".to_owned())
        .spawn(watch)?;
    Ok(())
}

/// Installs handlers for `signals` and returns the socket that receives a byte for each of them.
fn receiver(signals: &[i32]) -> io::Result<StdStream> {
    let (read, write) = StdStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, write.try_clone()?)?;
    }
    Ok(read)
}
