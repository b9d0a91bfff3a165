//! The implicit transaction of a pipeline that has a `Flush` before its `Sync`.

use crate::{
    fleet::Fleet,
    request::{Request, RequestError, RequestInfo},
    session::{Disconnected, Session, State},
};

impl<F: Fleet> Session<F> {
    /// Begins a transaction that ends with the next `ReadyForQuery`. Returns false if that failed;
    /// the caller then has the error.
    pub(crate) async fn begin_implicit(
        &mut self,
        key: Option<Box<str>>,
    ) -> Result<bool, Disconnected> {
        let info = RequestInfo {
            begins_writable: true,
            is_begin: true,
            key,
            ..control_info()
        };
        let begun = self.run_control(b"BEGIN\0", &info).await?;
        self.implicit = begun;
        Ok(begun)
    }

    /// Commits the implicit transaction, or rolls it back after an error.
    pub(crate) async fn end_implicit(&mut self) -> Result<(), Disconnected> {
        let failed = match &self.state {
            State::Idle => return Ok(()),
            State::Aborted => {
                self.state = State::Idle;
                return Ok(());
            }
            State::Open(open) => open.status == b'E',
            State::Replay(_) => false,
        };
        let info = RequestInfo {
            may_end: true,
            surely_ends: true,
            is_commit: !failed,
            is_rollback: failed,
            ..control_info()
        };
        let text: &[u8] = if failed { b"ROLLBACK\0" } else { b"COMMIT\0" };
        let token = self.settings.parameters.token;
        let ended = self.run_control(text, &info).await?;
        // The caller is outside a transaction even if the outcome of the commit is unknown.
        if !matches!(self.state, State::Idle) {
            self.state = State::Idle;
        }
        if ended
            && self.settings.parameters.token != token
            && let Some(position) = self.settings.parameters.token
        {
            self.report_token(position);
        }
        Ok(())
    }

    /// Runs a statement that the caller did not send. Only its error is forwarded.
    async fn run_control(&mut self, text: &[u8], info: &RequestInfo) -> Result<bool, Disconnected> {
        let output_start = self.writer.pending_len();
        match self.run_request(&Request::Simple(text), info).await {
            Ok(false) => {
                self.writer.truncate(output_start);
                return Ok(true);
            }
            Ok(true) => {}
            Err(RequestError::Disconnected) => return Err(Disconnected),
            Err(RequestError::Error(sqlstate, message)) => self.error(sqlstate, &message),
            Err(RequestError::Upstream(sqlstate, message)) => self.error(&sqlstate, &message),
        }
        Ok(false)
    }
}

/// Properties of a statement that begins or ends a transaction.
fn control_info() -> RequestInfo {
    RequestInfo {
        sync: true,
        needs_primary: true,
        executes: true,
        ..RequestInfo::default()
    }
}
