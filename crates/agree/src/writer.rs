//! The one task that writes to the disk.
//!
//! It takes all waiting changes at once, so that one sync serves everything that waits. The state
//! file comes before the log: a host must not hold an entry of a term that it may forget.

use std::{io, rc::Rc};

use slog::crit;

use crate::{
    codec::encode_frame,
    environment::{Disk as _, Environment, File},
    node::{Mechanism, Node, StateMachine},
    state::State,
};

/// Bytes of payload in one write to the log.
const WRITE_BYTES: usize = 4 << 20;

enum Job {
    State(u64, Vec<u8>),
    Snapshot(u64, Vec<u8>),
    Rewrite(u64, u64, Vec<u8>),
    Append(u64, u64, Vec<u8>),
    Commit(u64),
    Close,
}

fn job(state: &mut State) -> Option<Job> {
    if !state.is_saved() {
        return Some(Job::State(state.changes, state.hard.encode()));
    }
    if state.image_saved < state.image.index {
        state.rewrite = true;
        return Some(Job::Snapshot(state.image.index, state.image.bytes.to_vec()));
    }
    if state.rewrite {
        state.rewrite = false;
        state.floor = u64::MAX;
        let entries = state.log.batch(state.log.first(), usize::MAX);
        let bytes = encode_frame(state.commit, &entries);
        return Some(Job::Rewrite(state.log.last(), state.commit, bytes));
    }
    if state.stored < state.log.last() {
        state.floor = u64::MAX;
        let entries = state.log.batch(state.stored + 1, WRITE_BYTES);
        let last = state.stored + entries.len() as u64;
        return Some(Job::Append(
            last,
            state.commit,
            encode_frame(state.commit, &entries),
        ));
    }
    if state.stopping {
        return Some(if state.recorded < state.commit {
            Job::Commit(state.commit)
        } else {
            Job::Close
        });
    }
    None
}

impl<M: StateMachine, E: Environment> Node<M, E> {
    pub(crate) async fn write(self: Rc<Self>) {
        loop {
            let next = self.next_job().await;
            if matches!(next, Job::Close) {
                self.state.borrow_mut().closed = true;
                self.signal.notify();
                return;
            }
            if let Err(cause) = self.perform(next).await {
                self.fail(format!(
                    "cannot write to the data directory: {cause}; the process must be restarted \
                     after the disk is repaired"
                ));
                return;
            }
            self.signal.notify();
            self.settle();
        }
    }

    /// Waits for work. A commit index alone is written with some delay: it only lets a restarted
    /// host serve newer state before it hears a leader.
    async fn next_job(&self) -> Job {
        let work = self.until(|state| {
            job(state)
                .or_else(|| (state.recorded < state.commit).then_some(Job::Commit(state.commit)))
        });
        let found = work.await;
        if !matches!(found, Job::Commit(_)) {
            return found;
        }
        let other = self
            .within(self.tuning.heartbeat_interval, self.until(job))
            .await;
        other.unwrap_or_else(|| Job::Commit(self.state.borrow().commit))
    }

    async fn perform(&self, job: Job) -> io::Result<()> {
        let disk = self.environment.disk();
        match job {
            Job::State(changes, bytes) => {
                disk.replace(File::State, bytes).await?;
                self.state.borrow_mut().saved = changes;
            }
            Job::Snapshot(index, bytes) => {
                disk.replace(File::Snapshot, bytes).await?;
                self.state.borrow_mut().image_saved = index;
            }
            Job::Rewrite(last, commit, bytes) => {
                disk.replace(File::Log, bytes).await?;
                self.written(last, commit);
            }
            Job::Append(last, commit, bytes) => {
                disk.append(File::Log, bytes).await?;
                self.written(last, commit);
            }
            Job::Commit(commit) => {
                disk.append(File::Log, encode_frame(commit, &[])).await?;
                let mut state = self.state.borrow_mut();
                state.recorded = state.recorded.max(commit);
            }
            Job::Close => {}
        }
        Ok(())
    }

    fn written(&self, last: u64, commit: u64) {
        let mut state = self.state.borrow_mut();
        state.stored = last.min(state.floor);
        state.recorded = state.recorded.max(commit);
    }

    /// Stops taking part after an error that cannot be repaired while running.
    pub(crate) fn fail(&self, cause: String) {
        crit!(self.options.logger, "control host stops taking part"; "cause" => &cause);
        {
            let mut state = self.state.borrow_mut();
            state.step_down();
            state.waiting.clear();
            state.failure.get_or_insert(cause);
            state.closed = true;
        };
        self.abort();
        self.signal.notify();
        self.news.notify();
    }

    /// Completes when everything promised so far is on disk.
    pub(crate) async fn saved(&self) {
        let wanted = self.state.borrow().changes;
        if self.lacks(Mechanism::Sync) {
            return;
        }
        self.until(|state| (state.saved >= wanted).then_some(()))
            .await;
    }
}
