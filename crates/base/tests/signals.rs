//! Delivery of signals to the event loop.

use std::{
    pin::pin,
    task::{Context, Waker},
    time::Duration,
};

use base::signals::{SIGHUP, Signals};
use compio::time::{sleep, timeout};
use rustix::process::{Signal, getpid, kill_process};

/// Guards against a stop that is ignored because it arrives while the wait for it ends: a process that
/// gets a seat at that moment dropped the wait together with the signal.
#[compio::test]
async fn signal_outlives_a_dropped_wait() {
    let mut signals = Signals::new(&[SIGHUP]).unwrap();
    {
        let mut wait = pin!(signals.next());
        let mut context = Context::from_waker(Waker::noop());
        assert!(wait.as_mut().poll(&mut context).is_pending());
        kill_process(getpid(), Signal::HUP).unwrap();
        sleep(Duration::from_millis(100)).await;
    };

    let next = timeout(Duration::from_secs(2), signals.next()).await;

    next.expect("the signal was lost");
}
