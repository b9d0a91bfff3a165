//! What the daemon needs from the replicated log.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::HostName;
use capnp::Error;
use proto::schema::peer;
use serde_json::Value;

/// Why a proposal has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    /// This host is not the leader; names the leader if known. The proposal was not made.
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
    /// As [`Log::propose`], but sent on to the leader when this host is not it.
    async fn forward(&self, payload: Vec<u8>) -> Result<AppliedAnswer, LogError>;
    /// Returns once a majority has confirmed that this host still leads, with everything
    /// committed before applied here.
    async fn barrier(&self) -> Result<(), LogError>;
    /// Whether this host leads, with a majority heard lately.
    fn is_leader(&self, now: Instant) -> bool;
    /// Leader, if known.
    fn leader(&self) -> Option<HostName>;
    /// Log index applied last.
    fn last_applied(&self) -> u64;
    /// Log index stored last.
    fn last_stored(&self) -> u64;
    /// Term of the log.
    fn term(&self) -> u64;
    /// Whether this host lost its disk and has no vote until it is readmitted.
    fn is_learner(&self) -> bool;
    /// Whether this host has applied everything that was committed before its start.
    fn has_caught_up(&self) -> bool;
    /// Time since this host last heard from a leader with a majority.
    fn time_since_leader(&self, now: Instant) -> Duration;
    /// Time since the host of another seat answered this leader; `None` while this host does not
    /// lead, or for its own seat.
    fn time_since_answer(&self, seat: &str, now: Instant) -> Option<Duration>;
    /// Takes over the address of the host of another seat.
    fn set_address(&self, seat: &str, address: SocketAddr);
    /// Why this host stopped taking part, after a disk error.
    fn failure(&self) -> Option<String>;
    /// Waits for the next change of the applied state or of the leader.
    async fn changed(&self);
    /// State for `/dump`.
    fn dump(&self) -> Value;
    /// Gives up the leadership in favour of a host that holds the whole log, and returns whether
    /// another host leads then.
    async fn transfer_leadership(&self) -> bool;
    /// Stops taking part, with everything accepted on disk.
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
    /// Answers a leader that hands over.
    async fn transfer(
        &self,
        params: peer::TransferParams,
        results: peer::TransferResults,
    ) -> Result<(), Error>;
}
