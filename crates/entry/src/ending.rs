//! The end of a graceful stop: requests that are still in progress get a final answer.
//!
//! A request that waits for a connection is refused as not run ([`Refusal::Stopping`], in
//! [`Session::lease`]). The outcome of one that a database has, or that is not confirmed yet, is
//! unknown.

use std::{pin::pin, rc::Rc};

use futures_util::future::{Either, select};

use crate::{
    fleet::Fleet,
    refusal::Refusal,
    request::{Request, RequestError, RequestInfo},
    session::{Session, State},
    shared::Shared,
};

impl<F> Shared<F> {
    /// Whether requests that are still in progress end because the process is about to exit.
    pub fn is_ending(&self) -> bool {
        self.ending.get()
    }

    /// Ends the requests in progress. Each gets a final answer.
    pub fn end_requests(&self) {
        self.ending.set(true);
        self.end.notify(usize::MAX);
    }

    /// Runs `work` until the requests in progress end; `None` if that was first. `work` must be safe
    /// to drop.
    pub async fn until_ending<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        if self.is_ending() {
            return None;
        }
        match select(pin!(work), pin!(self.end.listen())).await {
            Either::Left((done, _)) => Some(done),
            Either::Right(((), _)) => None,
        }
    }
}

impl<F: Fleet> Session<F> {
    /// Runs a request like [`Session::run_request`], or ends it when the process is about to exit.
    pub(crate) async fn run_until_ending(
        &mut self,
        request: &Request<'_>,
        info: &RequestInfo,
    ) -> Result<bool, RequestError> {
        let shared = Rc::clone(&self.shared);
        let was_idle = matches!(self.state, State::Idle);
        if shared.is_ending() {
            if !was_idle {
                self.state = State::Aborted;
            }
            return Err(Refusal::Stopping.into());
        }
        let (sent, output_start) = (self.writer.sent(), self.writer.pending_len());
        let running = self.run_request(request, info);
        if let Some(outcome) = shared.until_ending(running).await {
            return outcome;
        }
        // The connection of the transaction was dropped with the request, which closed it. A COMMIT
        // that was sent may have run all the same.
        if !was_idle {
            self.state = State::Aborted;
        }
        if self.writer.sent() != sent || self.writer.pending_len() < output_start {
            // An error would be read as a part of the answer that is cut off.
            return Err(RequestError::Disconnected);
        }
        self.writer.truncate(output_start);
        Err(Refusal::OutcomeUnknown("this process is stopping".to_owned()).into())
    }

    /// Ends the session between two requests. Closing the connection rolls back an open transaction.
    pub(crate) async fn end_for_shutdown(&mut self) {
        let message = "this process is stopping; what was not answered has not run; connect again";
        let _closing = self.fatal("57P01", message).await;
    }
}
