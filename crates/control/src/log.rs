//! Interface of the replicated log.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::HostName;
use capnp::Error;
use proto::schema::peer;
use serde_json::Value;

/// Error of a proposal that got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    /// This host is not the leader; holds the leader if known. The proposal was not made.
    NotLeader(Option<HostName>),
    /// Another leader replaced the proposal. It was not applied.
    Lost,
    /// The outcome is unknown: the proposal may be applied later.
    Unknown,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(Some(leader)) => write!(f, "the leader is {leader}"),
            Self::NotLeader(None) => f.write_str("there is no leader with a majority"),
            Self::Lost => f.write_str("another leader replaced the proposal"),
            Self::Unknown => f.write_str("no majority answered in time; the outcome is unknown"),
        }
    }
}

impl std::error::Error for LogError {}

/// Index of an applied command with its answer.
pub type AppliedAnswer = (u64, Vec<u8>);

/// A replicated log that applies commands to this host's [`State`](crate::machine::State).
pub trait Log: 'static {
    /// Appends a command, on the leader only, and returns once it is applied here.
    async fn propose(&self, payload: Vec<u8>) -> Result<AppliedAnswer, LogError>;
    /// Like [`Log::propose`], but forwards the command to the leader if this host is not the leader.
    async fn forward(&self, payload: Vec<u8>) -> Result<AppliedAnswer, LogError>;
    /// Returns once a majority has confirmed that this host still leads, and everything committed
    /// before the call is applied here.
    async fn barrier(&self) -> Result<(), LogError>;
    /// Whether this host leads and has recently heard from a majority.
    fn is_leader(&self, now: Instant) -> bool;
    /// Returns the leader, if known.
    fn leader(&self) -> Option<HostName>;
    /// Returns the last applied log index.
    fn last_applied(&self) -> u64;
    /// Returns the last stored log index.
    fn last_stored(&self) -> u64;
    /// Returns the number of committed entries that this host knows of and has not applied yet.
    fn apply_backlog(&self) -> u64;
    /// Returns the bytes of the log and its snapshot on disk.
    fn stored_bytes(&self) -> u64;
    /// Returns the current term of the log.
    fn term(&self) -> u64;
    /// Whether this host lost its disk and has no vote until it is readmitted.
    fn is_learner(&self) -> bool;
    /// Returns the random id of this host's data directory.
    fn incarnation(&self) -> u64;
    /// Whether a data directory of the host of a seat counts in a quorum, or will once a pending entry
    /// is committed.
    fn may_count(&self, seat: &str, incarnation: u64) -> bool;
    /// Whether this leader is not needed for a majority.
    fn can_be_spared(&self, now: Instant) -> bool;
    /// Whether this host has applied everything that was committed before its start.
    fn has_caught_up(&self) -> bool;
    /// Returns the time since this host last heard from a leader with a majority.
    fn time_since_leader(&self, now: Instant) -> Duration;
    /// Returns the time since the host of another seat last answered this leader; `None` while this
    /// host does not lead, and for its own seat.
    fn time_since_answer(&self, seat: &str, now: Instant) -> Option<Duration>;
    /// Sets the address of the host of another seat.
    fn set_address(&self, seat: &str, address: SocketAddr);
    /// Returns the disk error because of which this host stopped taking part, if any.
    fn failure(&self) -> Option<String>;
    /// Waits for the next change of the applied state or of the leader.
    async fn changed(&self);
    /// Returns the state of the log for `/dump`.
    fn dump(&self) -> Value;
    /// Transfers the leadership to a host that holds the whole log, and returns whether another host
    /// leads afterwards.
    async fn transfer_leadership(&self) -> bool;
    /// Stops taking part, after everything accepted is on disk.
    async fn stop(&self);
    /// Answers a peer's vote request.
    async fn vote(&self, params: peer::VoteParams, results: peer::VoteResults)
    -> Result<(), Error>;
    /// Answers a peer's append request.
    async fn append(
        &self,
        params: peer::AppendParams,
        results: peer::AppendResults,
    ) -> Result<(), Error>;
    /// Answers a peer's snapshot chunk.
    async fn snapshot(
        &self,
        params: peer::SnapshotParams,
        results: peer::SnapshotResults,
    ) -> Result<(), Error>;
    /// Answers a leader that transfers its leadership.
    async fn transfer(
        &self,
        params: peer::TransferParams,
        results: peer::TransferResults,
    ) -> Result<(), Error>;
}
