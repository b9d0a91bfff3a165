//! Environment of a node: clock, task spawner, random numbers, disk and network.
//!
//! [`crate::HostEnvironment`] is the real one. Tests run several nodes in simulated ones.

use std::{
    io,
    time::{Duration, Instant},
};

use base::HostName;
use futures_util::future::LocalBoxFuture;

use crate::message::{
    AppendReply, AppendRequest, ProposeReply, SnapshotReply, SnapshotRequest, TransferReply,
    TransferRequest, VoteReply, VoteRequest,
};

/// File of a data directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum File {
    /// Identity, term, vote, and the newest boot of each peer.
    State,
    /// Snapshot of the state machine at a log index.
    Snapshot,
    /// Log entries, in appended frames.
    Log,
}

impl File {
    /// File name within the data directory.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::State => "state",
            Self::Snapshot => "snapshot",
            Self::Log => "log",
        }
    }
}

/// Durable files of one node. Calls never overlap.
pub trait Disk: 'static {
    /// Reads a file; `None` if it does not exist. Called only at start.
    ///
    /// # Errors
    /// The file exists but cannot be read.
    fn read(&self, file: File) -> io::Result<Option<Vec<u8>>>;

    /// Appends to a file and syncs it.
    ///
    /// # Errors
    /// The disk is full: the next call with at least these bytes replaces what was written of them. Any
    /// other error: the bytes may or may not be durable; the node stops.
    fn append(&self, file: File, bytes: Vec<u8>) -> impl Future<Output = io::Result<()>>;

    /// Replaces a file as a whole, atomically and durably.
    ///
    /// # Errors
    /// The disk is full: the file has its old content. Any other error: it has either its old or its
    /// new content; the node stops.
    fn replace(&self, file: File, bytes: Vec<u8>) -> impl Future<Output = io::Result<()>>;

    /// Unlocks the files for other processes. Called when the node has stopped.
    fn release(&self) {}
}

/// Why a call to a peer has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The peer certainly did not receive the call.
    Unsent,
    /// The peer may have received and executed the call.
    Unanswered,
}

/// RPCs to the peers of one node. Each call ends within `timeout`.
pub trait Network: 'static {
    /// Requests a vote or pre-vote from `to`.
    ///
    /// # Errors
    /// No reply arrived in time.
    fn vote(
        &self,
        to: &HostName,
        request: VoteRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<VoteReply, CallError>>;

    /// Sends log entries to `to`, or a heartbeat.
    ///
    /// # Errors
    /// No reply arrived in time.
    fn append(
        &self,
        to: &HostName,
        request: AppendRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<AppendReply, CallError>>;

    /// Sends a chunk of a snapshot to `to`.
    ///
    /// # Errors
    /// No reply arrived in time.
    fn snapshot(
        &self,
        to: &HostName,
        request: SnapshotRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<SnapshotReply, CallError>>;

    /// Forwards a proposal to `to`, the leader.
    ///
    /// # Errors
    /// No reply arrived in time, or the outcome is unknown to the leader.
    fn propose(
        &self,
        to: &HostName,
        payload: Vec<u8>,
        timeout: Duration,
    ) -> impl Future<Output = Result<ProposeReply, CallError>>;

    /// Asks `to` to start an election at once.
    ///
    /// # Errors
    /// No reply arrived in time.
    fn transfer(
        &self,
        to: &HostName,
        request: TransferRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<TransferReply, CallError>>;
}

/// Environment of one node.
pub trait Environment: 'static {
    /// Durable files.
    type Disk: Disk;
    /// RPCs to peers.
    type Network: Network;

    /// Current time.
    fn now(&self) -> Instant;
    /// Completes after `duration`.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()>;
    /// Runs a task on the thread of the node. The node aborts its tasks itself when it stops.
    fn spawn(&self, task: LocalBoxFuture<'static, ()>);
    /// Uniformly distributed random number.
    fn random(&self) -> u64;
    /// Durable files of the node.
    fn disk(&self) -> &Self::Disk;
    /// RPCs to the peers of the node.
    fn network(&self) -> &Self::Network;
}
