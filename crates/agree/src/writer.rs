//! The task that writes to the disk, the only one that does.
//!
//! It batches all pending changes, so that one sync covers them all. The state file is written
//! before the log: a host must not store an entry of a term that is lost in a crash.

use std::{io, rc::Rc, time::Duration};

use slog::{crit, info, warn};

use crate::{
    codec::encode_frame,
    environment::{Disk as _, Environment, File},
    node::{Mechanism, Node, StateMachine},
    state::State,
};

/// Maximum payload bytes in one write to the log, except for a single larger entry.
const MAX_WRITE_BYTES: usize = 4 << 20;

/// Pause before a write is tried again on a full disk.
const FULL_DISK_RETRY: Duration = Duration::from_millis(500);

/// Whether a write failed only because the disk has no room.
fn is_full(cause: &io::Error) -> bool {
    matches!(
        cause.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}

/// Next step of the writer.
enum WriteJob {
    /// Version of the hard state and the content of its file.
    State(u64, Vec<u8>),
    /// Index of the snapshot and the content of its file.
    Snapshot(u64, Vec<u8>),
    /// Last index, commit index and the whole content of the log file.
    Rewrite(u64, u64, Vec<u8>),
    /// Last index, commit index and the frame to append to the log file.
    Append(u64, u64, Vec<u8>),
    /// Commit index to append to the log file.
    Commit(u64),
    /// Nothing is left to write and the node is stopping.
    Close,
}

/// Most urgent write, if any.
fn pending_job(state: &mut State) -> Option<WriteJob> {
    if !state.is_hard_state_saved() {
        return Some(WriteJob::State(
            state.hard_state_version,
            state.hard.encode(),
        ));
    }
    if state.durable_snapshot_index < state.snapshot.index {
        state.rewrite_log = true;
        return Some(WriteJob::Snapshot(
            state.snapshot.index,
            state.snapshot.bytes.to_vec(),
        ));
    }
    if state.rewrite_log {
        state.rewrite_log = false;
        state.truncated_to = u64::MAX;
        let entries = state.log.batch(state.log.first_index(), usize::MAX);
        let bytes = encode_frame(state.commit, &entries);
        return Some(WriteJob::Rewrite(
            state.log.last_index(),
            state.commit,
            bytes,
        ));
    }
    if state.durable_index < state.log.last_index() {
        state.truncated_to = u64::MAX;
        let entries = state.log.batch(state.durable_index + 1, MAX_WRITE_BYTES);
        let last = state.durable_index + entries.len() as u64;
        return Some(WriteJob::Append(
            last,
            state.commit,
            encode_frame(state.commit, &entries),
        ));
    }
    // A readmitted host counts at once. After a loss of power the others must know that it does.
    if state.durable_commit < state.readmitted_at {
        return Some(WriteJob::Commit(state.commit));
    }
    if state.stopping {
        return Some(if state.durable_commit < state.commit {
            WriteJob::Commit(state.commit)
        } else {
            WriteJob::Close
        });
    }
    None
}

impl<M: StateMachine, E: Environment> Node<M, E> {
    /// Performs all writes until the node stops or a write fails.
    pub(crate) async fn run_writer(self: Rc<Self>) {
        loop {
            let next = self.next_job().await;
            if matches!(next, WriteJob::Close) {
                self.state.borrow_mut().writer_closed = true;
                self.state_changed.notify();
                return;
            }
            if let Err(cause) = self.perform_with_room(&next).await {
                self.fail(format!(
                    "cannot write to the data directory: {cause}; the process must be restarted \
                     after the disk is repaired"
                ));
                return;
            }
            self.state_changed.notify();
            self.maybe_commit();
        }
    }

    /// Waits for the next write. A commit index alone is written after a delay: it only lets a
    /// restarted host serve newer state before it hears from a leader.
    async fn next_job(&self) -> WriteJob {
        let work = self.wait_until(|state| {
            pending_job(state).or_else(|| {
                (state.durable_commit < state.commit).then_some(WriteJob::Commit(state.commit))
            })
        });
        let job = work.await;
        if !matches!(job, WriteJob::Commit(_)) {
            return job;
        }
        let pending = self
            .with_timeout(self.tuning.heartbeat_interval, self.wait_until(pending_job))
            .await;
        pending.unwrap_or_else(|| WriteJob::Commit(self.state.borrow().commit))
    }

    /// Performs a write, and again for as long as the disk is full. Nothing is acknowledged meanwhile,
    /// as on a slow disk.
    async fn perform_with_room(&self, job: &WriteJob) -> io::Result<()> {
        let mut was_full = false;
        loop {
            match self.perform(job).await {
                Err(cause) if is_full(&cause) => {
                    if !was_full {
                        warn!(self.options.logger, "the data directory has no room; trying again until it has";
                            "cause" => %cause, "stored_bytes" => self.stored_bytes());
                    }
                    was_full = true;
                    self.environment.sleep(FULL_DISK_RETRY).await;
                }
                outcome => {
                    if was_full {
                        info!(self.options.logger, "the data directory has room again");
                    }
                    return outcome;
                }
            }
        }
    }

    async fn perform(&self, job: &WriteJob) -> io::Result<()> {
        let disk = self.environment.disk();
        match job {
            WriteJob::State(version, bytes) => {
                disk.replace(File::State, bytes.clone()).await?;
                self.state.borrow_mut().saved_hard_state_version = *version;
            }
            WriteJob::Snapshot(index, bytes) => {
                let size = bytes.len() as u64;
                disk.replace(File::Snapshot, bytes.clone()).await?;
                let mut state = self.state.borrow_mut();
                state.durable_snapshot_index = *index;
                state.file_bytes.snapshot = size;
            }
            WriteJob::Rewrite(last, commit, bytes) => {
                let size = bytes.len() as u64;
                disk.replace(File::Log, bytes.clone()).await?;
                self.record_log_write(*last, *commit);
                self.state.borrow_mut().file_bytes.log = size;
            }
            WriteJob::Append(last, commit, bytes) => {
                let size = bytes.len() as u64;
                disk.append(File::Log, bytes.clone()).await?;
                self.record_log_write(*last, *commit);
                self.state.borrow_mut().file_bytes.log += size;
            }
            WriteJob::Commit(commit) => {
                let frame = encode_frame(*commit, &[]);
                let size = frame.len() as u64;
                disk.append(File::Log, frame).await?;
                let mut state = self.state.borrow_mut();
                state.file_bytes.log += size;
                state.durable_commit = state.durable_commit.max(*commit);
            }
            WriteJob::Close => {}
        }
        Ok(())
    }

    /// Records that the log up to `last` is on disk, unless it was truncated in the meantime.
    fn record_log_write(&self, last: u64, commit: u64) {
        let mut state = self.state.borrow_mut();
        state.durable_index = last.min(state.truncated_to);
        state.durable_commit = state.durable_commit.max(commit);
    }

    /// Stops the node after a fatal error.
    pub(crate) fn fail(&self, cause: String) {
        crit!(self.options.logger, "control host stopped after a fatal error"; "cause" => &cause);
        {
            let mut state = self.state.borrow_mut();
            state.step_down();
            state.pending_proposals.clear();
            state.failure.get_or_insert(cause);
            state.writer_closed = true;
        };
        self.abort();
        self.state_changed.notify();
        self.progress_changed.notify();
    }

    /// Completes when all changes of the hard state so far are on disk.
    pub(crate) async fn hard_state_saved(&self) {
        let version = self.state.borrow().hard_state_version;
        if self.is_disabled(Mechanism::Sync) {
            return;
        }
        self.wait_until(|state| (state.saved_hard_state_version >= version).then_some(()))
            .await;
    }
}
