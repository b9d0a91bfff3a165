//! Implements [`Log`] for the replicated log of the crate `agree`.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use agree::{
    Node, ProposeError, ReadIndexError, StateMachine,
    message::{AppendRequest, SnapshotRequest, TransferRequest, VoteRequest},
};
use base::HostName;
use capnp::Error;
use proto::schema::peer;
use serde_json::Value;

use crate::{
    log::{AppliedAnswer, Log, LogError},
    machine::State,
};

/// Age reported by a host that has not heard from a leader since its start.
const NEVER: Duration = Duration::from_hours(1);

impl StateMachine for State {
    fn apply(&mut self, index: u64, payload: &[u8]) -> Vec<u8> {
        self.execute(index, payload)
    }

    fn snapshot(&self) -> Vec<u8> {
        Self::snapshot(self)
    }

    fn restore(&mut self, bytes: &[u8]) {
        Self::restore(self, bytes);
    }
}

impl From<ProposeError> for LogError {
    fn from(cause: ProposeError) -> Self {
        match cause {
            ProposeError::NotLeader(leader) => Self::NotLeader(leader),
            ProposeError::Dropped => Self::Lost,
            ProposeError::Unknown => Self::Unknown,
        }
    }
}

impl Log for Rc<Node<State>> {
    async fn propose(&self, payload: Vec<u8>) -> Result<AppliedAnswer, LogError> {
        Ok(Node::propose(self, payload).await?)
    }

    async fn forward(&self, payload: Vec<u8>) -> Result<AppliedAnswer, LogError> {
        Ok(Node::propose_or_forward(self, payload).await?)
    }

    async fn barrier(&self) -> Result<(), LogError> {
        match Node::read_index(self).await {
            Ok(_index) => Ok(()),
            Err(ReadIndexError::NotLeader(leader)) => Err(LogError::NotLeader(leader)),
            Err(ReadIndexError::NoMajority) => Err(LogError::NotLeader(None)),
        }
    }

    fn is_leader(&self, now: Instant) -> bool {
        Node::is_leader(self, now)
    }

    fn leader(&self) -> Option<HostName> {
        Node::leader(self)
    }

    fn last_applied(&self) -> u64 {
        Node::applied_index(self)
    }

    fn last_stored(&self) -> u64 {
        Node::durable_index(self)
    }

    fn apply_backlog(&self) -> u64 {
        Node::apply_backlog(self)
    }

    fn stored_bytes(&self) -> u64 {
        Node::stored_bytes(self)
    }

    fn term(&self) -> u64 {
        Node::term(self)
    }

    fn is_learner(&self) -> bool {
        Node::is_learner(self)
    }

    fn incarnation(&self) -> u64 {
        Node::incarnation(self)
    }

    fn may_count(&self, seat: &str, incarnation: u64) -> bool {
        Node::may_count(self, seat, incarnation)
    }

    fn can_be_spared(&self, now: Instant) -> bool {
        Node::can_be_spared(self, now)
    }

    fn has_caught_up(&self) -> bool {
        Node::is_caught_up(self)
    }

    fn time_since_leader(&self, now: Instant) -> Duration {
        Node::time_since_contact(self, now).unwrap_or(NEVER)
    }

    fn time_since_answer(&self, seat: &str, now: Instant) -> Option<Duration> {
        Node::time_since_reply(self, seat, now)
    }

    fn set_address(&self, seat: &str, address: SocketAddr) {
        Node::set_peer_address(self, seat, address);
    }

    fn failure(&self) -> Option<String> {
        Node::failure(self)
    }

    async fn changed(&self) {
        Node::changed(self).await;
    }

    fn dump(&self) -> Value {
        Node::dump(self)
    }

    async fn transfer_leadership(&self) -> bool {
        Node::transfer_leadership(self).await
    }

    async fn stop(&self) {
        Node::stop(self).await;
    }

    async fn vote(
        &self,
        params: peer::VoteParams,
        mut results: peer::VoteResults,
    ) -> Result<(), Error> {
        let request = VoteRequest::read(params.get()?.get_request()?)?;
        let reply = self.on_vote(request).await;
        reply.write(results.get().init_reply());
        Ok(())
    }

    async fn append(
        &self,
        params: peer::AppendParams,
        mut results: peer::AppendResults,
    ) -> Result<(), Error> {
        let request = AppendRequest::read(params.get()?.get_request()?)?;
        let reply = self.on_append(request).await;
        reply.write(results.get().init_reply());
        Ok(())
    }

    async fn snapshot(
        &self,
        params: peer::SnapshotParams,
        mut results: peer::SnapshotResults,
    ) -> Result<(), Error> {
        let request = SnapshotRequest::read(params.get()?.get_request()?)?;
        let reply = self.on_snapshot(request).await;
        reply.write(results.get().init_reply());
        Ok(())
    }

    async fn transfer(
        &self,
        params: peer::TransferParams,
        mut results: peer::TransferResults,
    ) -> Result<(), Error> {
        let request = TransferRequest::read(params.get()?.get_request()?)?;
        let reply = self.on_transfer(request).await;
        reply.write(results.get().init_reply());
        Ok(())
    }
}
