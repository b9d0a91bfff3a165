//! The implicit transaction of a pipeline whose answers are asked for before its `Sync`.

use crate::{
    fleet::Fleet,
    request::{Meaning, Request, RequestError},
    session::{Disconnected, Session, State},
};

impl<F: Fleet> Session<F> {
    /// Begins a transaction that the next `ReadyForQuery` ends; false when that failed and the
    /// caller has its error.
    pub(crate) async fn begin_implicit(
        &mut self,
        key: Option<Box<str>>,
    ) -> Result<bool, Disconnected> {
        let meaning = Meaning {
            begins: true,
            opens: true,
            key,
            ..control()
        };
        let begun = self.control(b"BEGIN\0", &meaning).await?;
        self.implicit = begun;
        Ok(begun)
    }

    /// Commits the implicit transaction, or rolls it back after an error.
    pub(crate) async fn end_implicit(&mut self) -> Result<(), Disconnected> {
        let failed = match &self.state {
            State::Idle => return Ok(()),
            State::Lost => {
                self.state = State::Idle;
                return Ok(());
            }
            State::Open(open) => open.status == b'E',
            State::Replay(_) => false,
        };
        let meaning = Meaning {
            ends: true,
            closes: true,
            commits: !failed,
            rolls_back: failed,
            ..control()
        };
        let text: &[u8] = if failed { b"ROLLBACK\0" } else { b"COMMIT\0" };
        let token = self.settings.parameters.token;
        let ended = self.control(text, &meaning).await?;
        // A commit whose outcome is unknown leaves no transaction to the caller either.
        if !matches!(self.state, State::Idle) {
            self.state = State::Idle;
        }
        if ended
            && self.settings.parameters.token != token
            && let Some(position) = self.settings.parameters.token
        {
            self.report(position);
        }
        Ok(())
    }

    /// Runs a statement that the caller did not send. Only an error of it is answered.
    async fn control(&mut self, text: &[u8], meaning: &Meaning) -> Result<bool, Disconnected> {
        let mark = self.writer.pending_len();
        match self.attempt(&Request::Simple(text), meaning).await {
            Ok(false) => {
                self.writer.truncate(mark);
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

/// Meaning of a statement that controls a transaction.
fn control() -> Meaning {
    Meaning {
        sync: true,
        primary: true,
        executes: true,
        ..Meaning::default()
    }
}
