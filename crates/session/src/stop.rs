//! What a graceful stop ends, and when.
//!
//! A request that no database has yet is refused as not run from [`Phase::AbortingTransactions`] on. A
//! request that a database has is waited for until [`Phase::Ending`]; its reply then says that it may
//! have run. [`crate::serve::ShutdownSchedule`] sets the times.

use std::{pin::pin, time::Duration};

use entry::dialect::Dialect;
use futures_util::future::{Either, select};

use crate::{
    shared::Shared,
    statement::{Code, Failure, StatementClient},
};

/// A session may be closed once its caller sent nothing for this long. Most callers send their next
/// request much sooner.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(300);

/// Shutdown phase, which determines the sessions that are closed between two requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Normal operation: no session is closed.
    Serving,
    /// The process is cut off from the control hosts. Sessions without a transaction are closed, so
    /// that callers reconnect and load balancers send them to another process.
    Isolated,
    /// The process shuts down: sessions without a transaction are closed.
    ClosingIdle,
    /// Late in the shutdown: open transactions are aborted too, and requests that no database has yet
    /// are refused.
    AbortingTransactions,
    /// At the end of the shutdown: requests that a database has not answered get their final reply.
    Ending,
}

/// Cause reported for a request whose wait the shutdown ended.
pub(crate) const STOPPING: &str = "this process is stopping";

/// Failure of a request that the shutdown ended before it was sent to a database.
pub(crate) fn stopping_failure() -> Failure {
    Failure::new(Code::Busy, STOPPING)
}

impl<D: Dialect> Shared<D>
where
    D::Client: StatementClient,
{
    /// Sets the shutdown phase and wakes the sessions that wait for it.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_changed.notify(usize::MAX);
    }

    /// Current shutdown phase.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Waits until the shutdown has reached `phase`.
    pub async fn wait_for_phase(&self, phase: Phase) {
        loop {
            let changed = self.phase_changed.listen();
            if self.phase.get() >= phase {
                return;
            }
            changed.await;
        }
    }

    /// Runs `work` until the shutdown has reached `phase`; `None` if that was first. `work` must be
    /// safe to drop.
    pub(crate) async fn until_phase<T>(
        &self,
        phase: Phase,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        if self.phase() >= phase {
            return None;
        }
        match select(pin!(work), pin!(self.wait_for_phase(phase))).await {
            Either::Left((done, _)) => Some(done),
            Either::Right(((), _)) => None,
        }
    }

    /// Runs `work`, which sends nothing to a database, until the shutdown refuses requests.
    ///
    /// # Errors
    /// The shutdown ended the wait, so that the request has not run.
    pub(crate) async fn until_refused<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        let done = self.until_phase(Phase::AbortingTransactions, work).await;
        done.ok_or_else(stopping_failure)
    }

    /// Whether the shutdown refuses requests that no database has yet.
    pub(crate) fn refuses_requests(&self) -> bool {
        self.phase() >= Phase::AbortingTransactions
    }

    /// Waits until a session that is between two requests should close. With an open transaction,
    /// that is late in the shutdown; without one, as soon as the process shuts down or is isolated,
    /// or when `moved` completes because another process now serves the route.
    pub(crate) async fn wait_to_close(
        &self,
        in_transaction: bool,
        moved: impl Future<Output = ()>,
    ) {
        if in_transaction {
            return self.wait_for_phase(Phase::AbortingTransactions).await;
        }
        select(pin!(self.wait_for_phase(Phase::Isolated)), pin!(moved)).await;
        // A caller that just connected or got a reply is probably about to send a request.
        compio::time::sleep(IDLE_BEFORE_CLOSE).await;
    }
}
