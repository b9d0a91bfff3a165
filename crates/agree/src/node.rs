//! A node of the Raft group of control hosts: its public interface, its tasks and its commit index.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fmt,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use base::HostName;
use futures_channel::oneshot;
use futures_util::{
    FutureExt as _,
    future::{AbortHandle, Either, abortable, select},
};
use serde_json::json;
use slog::{Logger, info, warn};

use crate::{
    codec::{Members, Snapshot},
    environment::{CallError, Disk as _, Environment, Network as _},
    error::{ProposeError, ReadIndexError, StartError},
    hard::{HardState, IdentityStatus},
    host::HostEnvironment,
    log::Payload,
    message::{Identity, ProposeReply},
    recover::recover,
    signal::Signal,
    state::{
        EncodedSnapshot, FileBytes, LeadershipTransfer, PendingProposal, Progress, Role, State,
    },
};

/// Replicated state machine: every host applies the same commands in the same order.
pub trait StateMachine: 'static {
    /// Applies a committed command and returns its answer. Must be deterministic.
    fn apply(&mut self, index: u64, payload: &[u8]) -> Vec<u8>;
    /// Serializes the whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the whole state by a snapshot.
    fn restore(&mut self, bytes: &[u8]);
}

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of this host.
    pub name: HostName,
    /// Every control host, this one included.
    pub peers: Vec<(HostName, SocketAddr)>,
    /// Source address of outgoing connections.
    pub source_ip: IpAddr,
    /// Data directory.
    pub data_dir: PathBuf,
    /// Logger.
    pub logger: Logger,
}

/// Safety mechanism that a test can disable to show that its checks detect the resulting fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Learners neither vote nor count in a quorum.
    LearnerExclusion,
    /// A learner is readmitted only once it holds every entry that was committed when it asked.
    CatchUp,
    /// A readmission in the log excludes the former incarnation from quorums before it is
    /// committed.
    PendingReadmission,
    /// A readmitted host counts for a commit only once it has the entry that confirms its
    /// readmission.
    ReadmissionConfirmation,
    /// Outdated disks are detected by boot number and nonce.
    BootCheck,
    /// Only entries of the leader's current term are committed by counting replicas (Raft §5.4.2).
    CurrentTermCommit,
    /// A vote goes only to a candidate whose log is at least as up to date (Raft §5.4.1).
    ElectionRestriction,
    /// A candidate starts a new term only if a majority would vote for it.
    PreVote,
    /// A leader that gets no replies from a majority steps down.
    CheckQuorum,
    /// A linearizable read waits for a heartbeat round.
    ReadIndex,
    /// Votes and entries are synced before the reply is sent.
    Sync,
}

/// Disabled safety mechanisms. Empty outside tests.
pub type DisabledMechanisms = Vec<Mechanism>;

/// Timeouts and size limits of the protocol.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Minimum and maximum of the randomised election timeout.
    pub election_timeout: (Duration, Duration),
    /// Interval of heartbeats.
    pub heartbeat_interval: Duration,
    /// Timeout of a vote or append call. Below the election timeout, so that one lost message
    /// does not cause an election.
    pub call_timeout: Duration,
    /// Timeout of a call that sends one snapshot chunk.
    pub snapshot_chunk_timeout: Duration,
    /// Timeout of a proposal or linearizable read.
    pub propose_timeout: Duration,
    /// Payload bytes applied before the next snapshot is taken, or the size of the last snapshot if
    /// that is larger.
    pub snapshot_threshold_bytes: usize,
    /// Entries kept in memory up to the snapshot index, so that a follower that is slightly behind
    /// needs no snapshot. Fewer are kept if they have more than `catch_up_bytes`.
    pub trailing_entries: u64,
    /// Bytes of entries that a follower may lack and still be sent as entries. One that lacks more
    /// gets a snapshot if that is smaller.
    pub catch_up_bytes: usize,
    /// Maximum payload bytes in one append call: about 70 ms on the link between regions.
    pub max_batch_bytes: usize,
    /// Bytes in one snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Disabled safety mechanisms, in tests only.
    pub disabled: DisabledMechanisms,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            election_timeout: (Duration::from_millis(600), Duration::from_millis(1_200)),
            heartbeat_interval: Duration::from_millis(150),
            call_timeout: Duration::from_millis(500),
            snapshot_chunk_timeout: Duration::from_secs(5),
            propose_timeout: Duration::from_secs(3),
            snapshot_threshold_bytes: 4 << 20,
            trailing_entries: 256,
            catch_up_bytes: 1 << 20,
            max_batch_bytes: 256 << 10,
            snapshot_chunk_bytes: 256 << 10,
            disabled: Vec::new(),
        }
    }
}

/// Largest payload of a proposal. The RPC layer limits a message to 64 MiB.
pub const MAX_PAYLOAD_BYTES: usize = 16 << 20;

/// One control host. Its tasks run on the thread that started it until it stops or fails.
pub struct Node<M, E: Environment = HostEnvironment> {
    pub(crate) options: Options,
    pub(crate) tuning: Tuning,
    pub(crate) environment: E,
    pub(crate) machine: Rc<RefCell<M>>,
    pub(crate) state: RefCell<State>,
    /// Notified at each change of `state` that a task may wait for.
    pub(crate) state_changed: Signal,
    /// Notified when entries are applied or the leadership changes.
    pub(crate) progress_changed: Signal,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl<M, E: Environment> fmt::Debug for Node<M, E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node")
            .field("name", &self.options.name)
            .finish_non_exhaustive()
    }
}

impl<M: StateMachine> Node<M> {
    /// Changes the address of another host; connections to the former address are closed.
    pub fn set_peer_address(&self, name: &str, address: SocketAddr) {
        if name != self.options.name {
            self.environment.network().set_peer_address(name, address);
        }
    }

    /// Recovers the data directory and starts the tasks of the node. The state machine must be
    /// empty.
    ///
    /// # Errors
    /// The options are wrong, or the data directory is in use, damaged or of another host.
    pub fn start(options: Options, machine: Rc<RefCell<M>>) -> Result<Rc<Self>, StartError> {
        let host = HostEnvironment::open(&options)?;
        Self::start_with(options, Tuning::default(), host, machine)
    }
}

impl<M: StateMachine, E: Environment> Node<M, E> {
    /// Starts a node with the given tuning and environment.
    ///
    /// # Errors
    /// The options are wrong, or the data directory is damaged or of another host.
    pub fn start_with(
        options: Options,
        tuning: Tuning,
        environment: E,
        machine: Rc<RefCell<M>>,
    ) -> Result<Rc<Self>, StartError> {
        let state = initial_state(&options, &tuning, &environment, &machine)?;
        let node = Rc::new(Self {
            options,
            tuning,
            environment,
            machine,
            state: RefCell::new(state),
            state_changed: Signal::default(),
            progress_changed: Signal::default(),
            tasks: RefCell::default(),
        });
        let commit = std::mem::take(&mut node.state.borrow_mut().commit);
        node.advance_commit(commit);
        node.spawn(Rc::clone(&node).run_writer());
        node.spawn(Rc::clone(&node).run_elections());
        let others: Vec<_> = node.state.borrow().peers.keys().cloned().collect();
        for peer in others {
            node.spawn(Rc::clone(&node).run_replication(peer.clone()));
            node.spawn(Rc::clone(&node).run_heartbeats(peer));
        }
        Ok(node)
    }

    /// Spawns a task that ends with the node.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let (task, handle) = abortable(task);
        self.tasks.borrow_mut().push(handle);
        self.environment.spawn(task.map(drop).boxed_local());
    }

    /// Proposes a command on the leader. Returns its log index and the answer of the state machine
    /// once it is applied on this host.
    ///
    /// # Errors
    /// This host is not the leader, or the outcome did not become known in time.
    pub async fn propose(&self, payload: Vec<u8>) -> Result<(u64, Vec<u8>), ProposeError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(ProposeError::Dropped);
        }
        let (index, answer) = {
            let mut state = self.state.borrow_mut();
            if state.role != Role::Leader || state.stopping {
                return Err(ProposeError::NotLeader(state.leader.clone()));
            }
            if state.transfer.in_progress {
                return Err(ProposeError::NotLeader(None));
            }
            let index = state.append_as_leader(&Payload::Command(payload.into()));
            let (sender, answer) = oneshot::channel();
            let term = state.hard.term;
            state.pending_proposals.insert(
                index,
                PendingProposal {
                    term,
                    answer: sender,
                },
            );
            (index, answer)
        };
        self.state_changed.notify();
        match self.with_timeout(self.tuning.propose_timeout, answer).await {
            Some(Ok(Some(answer))) => Ok((index, answer)),
            Some(Ok(None)) => Err(ProposeError::Dropped),
            Some(Err(_)) | None => Err(ProposeError::Unknown),
        }
    }

    /// Proposes a command on this host if it is the leader, else forwards it to the known leader.
    ///
    /// # Errors
    /// No leader is known, or the outcome did not become known in time.
    pub async fn propose_or_forward(
        &self,
        payload: Vec<u8>,
    ) -> Result<(u64, Vec<u8>), ProposeError> {
        let remote_leader = {
            let state = self.state.borrow();
            state.leader.clone().filter(|_| state.role != Role::Leader)
        };
        let Some(leader) = remote_leader else {
            return self.propose(payload).await;
        };
        // The leader gives up after `propose_timeout`; allow for the delivery of its reply as well.
        let timeout = self.tuning.propose_timeout + self.tuning.call_timeout;
        match self
            .environment
            .network()
            .propose(&leader, payload, timeout)
            .await
        {
            Ok(reply) if reply.accepted => Ok((reply.index, reply.answer)),
            Ok(reply) => Err(ProposeError::NotLeader(
                Some(reply.leader).filter(|name| !name.is_empty()),
            )),
            Err(CallError::Unsent) => Err(ProposeError::NotLeader(None)),
            Err(CallError::Unanswered) => Err(ProposeError::Unknown),
        }
    }

    /// Handles `Peer.propose`. Returns `None` when the outcome is unknown; the server then answers
    /// the call with an error.
    pub async fn on_propose(&self, payload: Vec<u8>) -> Option<ProposeReply> {
        let refused = |leader: Option<HostName>| ProposeReply {
            accepted: false,
            index: 0,
            answer: Vec::new(),
            leader: leader.unwrap_or_default(),
        };
        match self.propose(payload).await {
            Ok((index, answer)) => Some(ProposeReply {
                accepted: true,
                index,
                answer,
                leader: self.options.name.clone(),
            }),
            Err(ProposeError::NotLeader(leader)) => Some(refused(leader)),
            Err(ProposeError::Dropped) => Some(refused(None)),
            Err(ProposeError::Unknown) => None,
        }
    }

    /// Establishes a read point for linearizable reads (ReadIndex): when it completes, everything
    /// that was committed before the call is applied here, and this host was the leader during the
    /// call. Returns the read index.
    ///
    /// # Errors
    /// This host is not the leader, or no majority replied to a heartbeat in time.
    pub async fn read_index(&self) -> Result<u64, ReadIndexError> {
        let (term, round, first) = {
            let mut state = self.state.borrow_mut();
            if state.role != Role::Leader {
                return Err(ReadIndexError::NotLeader(state.leader.clone()));
            }
            state.heartbeat_round += 1;
            (
                state.hard.term,
                state.heartbeat_round,
                state.first_index_of_term,
            )
        };
        self.state_changed.notify();
        let count_learners = self.is_disabled(Mechanism::LearnerExclusion);
        let skip = self.is_disabled(Mechanism::ReadIndex);
        let ready = self.wait_until(|state| {
            if state.role != Role::Leader || state.hard.term != term {
                return Some(Err(ReadIndexError::NotLeader(state.leader.clone())));
            }
            // The commit index covers all earlier terms only once an entry of this term is
            // committed.
            let confirmed = skip
                || state.quorum_value(round, |_, peer| peer.acked_round, count_learners)
                    >= Some(round);
            (confirmed && state.commit >= first).then_some(Ok(state.commit))
        });
        let index = self
            .with_timeout(self.tuning.propose_timeout, ready)
            .await
            .unwrap_or(Err(ReadIndexError::NoMajority))?;
        self.wait_until(|state| (state.applied >= index).then_some(()))
            .await;
        Ok(index)
    }

    /// Whether this host leads and a majority replied recently enough that no other host can
    /// have been elected in the meantime, except over a clock jump. Use [`Node::read_index`] where
    /// this must be certain.
    pub fn is_leader(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        state.role == Role::Leader
            && (self.is_disabled(Mechanism::CheckQuorum)
                || self.quorum_contact(&state, now).is_some_and(|contact| {
                    now.duration_since(contact) < self.tuning.election_timeout.0
                }))
    }

    /// Current leader as far as this host knows.
    pub fn leader(&self) -> Option<HostName> {
        self.state.borrow().leader.clone()
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.state.borrow().applied
    }

    /// Index of the last entry on disk.
    pub fn durable_index(&self) -> u64 {
        self.state.borrow().durable_index
    }

    /// Time since the last message of a leader; on the leader, since a majority last replied. A
    /// leader without a majority steps down, so the value can be too low by at most the election
    /// timeout.
    pub fn time_since_contact(&self, now: Instant) -> Option<Duration> {
        let state = self.state.borrow();
        let contact = if state.role == Role::Leader {
            self.quorum_contact(&state, now)
                .max(state.last_leader_contact)
        } else {
            state.last_leader_contact
        };
        contact.map(|contact| now.saturating_duration_since(contact))
    }

    /// Time since another host last replied to this leader, or since the election if it never did.
    /// `None` when this host does not lead, and for this host itself.
    pub fn time_since_reply(&self, name: &str, now: Instant) -> Option<Duration> {
        let state = self.state.borrow();
        let peer = state.peers.get(name)?;
        let since = peer
            .last_contact
            .unwrap_or(state.elected_at)
            .max(state.elected_at);
        (state.role == Role::Leader).then(|| now.saturating_duration_since(since))
    }

    /// Whether this host has applied everything that was committed before its start.
    pub fn is_caught_up(&self) -> bool {
        let state = self.state.borrow();
        let leads = state.role == Role::Leader && state.applied >= state.first_index_of_term;
        state.caught_up_at.is_some() || leads
    }

    /// Current term of this host.
    pub fn term(&self) -> u64 {
        self.state.borrow().hard.term
    }

    /// Whether this host is a learner: it has no vote until it is readmitted.
    pub fn is_learner(&self) -> bool {
        !self.state.borrow().is_voter()
    }

    /// Random id of this host's data directory.
    pub fn incarnation(&self) -> u64 {
        self.state.borrow().hard.identity.incarnation
    }

    /// Whether an incarnation of a host counts in a quorum, or will once a readmission in the log of
    /// this host is committed.
    pub fn may_count(&self, name: &str, incarnation: u64) -> bool {
        let state = self.state.borrow();
        let mut pending = state.pending_readmissions.values();
        state.members.get(name) == Some(&incarnation)
            || pending.any(|(host, other)| host == name && *other == incarnation)
    }

    /// Whether a majority of the voters without this one replied to this leader within the shortest
    /// election timeout, so that another host could lead.
    pub fn can_be_spared(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        let replied = state.peers.iter().filter(|(name, peer)| {
            let counts = peer
                .identity
                .as_ref()
                .is_some_and(|identity| state.counts_in_quorum(name, identity.incarnation));
            let recent = |contact| now.duration_since(contact) < self.tuning.election_timeout.0;
            counts && peer.last_contact.is_some_and(recent)
        });
        state.role == Role::Leader && replied.count() >= state.majority()
    }

    /// Number of committed entries that this host knows of and has not applied yet.
    pub fn apply_backlog(&self) -> u64 {
        let state = self.state.borrow();
        state.leader_commit.saturating_sub(state.applied)
    }

    /// Bytes of the log and the snapshot in the data directory.
    pub fn stored_bytes(&self) -> u64 {
        let bytes = self.state.borrow().file_bytes;
        bytes.log + bytes.snapshot
    }

    /// Why the node stopped, after a disk error or another fatal error.
    pub fn failure(&self) -> Option<String> {
        self.state.borrow().failure.clone()
    }

    /// Completes when an entry is applied or the leadership changes after this call.
    pub fn changed(&self) -> impl Future<Output = ()> + '_ {
        self.progress_changed.changed()
    }

    /// Internal state as JSON, for operators.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.environment.now();
        let contact = self.time_since_contact(now).map(|since| since.as_millis());
        let state = self.state.borrow();
        let identity = &state.hard.identity;
        let peers: serde_json::Map<_, _> = state
            .peers
            .iter()
            .map(|(name, peer)| {
                let since = peer
                    .last_contact
                    .map(|at| now.saturating_duration_since(at).as_millis());
                let value = json!({
                    "next": peer.next_index,
                    "matched": peer.match_index,
                    "contact_ms": since,
                    "identity": peer.identity,
                    "waiting_for": peer.catch_up_index,
                });
                (name.clone(), value)
            })
            .collect();
        json!({
            "name": identity.host,
            "incarnation": identity.incarnation,
            "boot": identity.boot,
            "learner": !state.is_voter(),
            "role": format!("{:?}", state.role).to_lowercase(),
            "term": state.hard.term,
            "vote": state.hard.vote,
            "leader": state.leader,
            "contact_ms": contact,
            "first": state.log.first_index(),
            "last": state.log.last_index(),
            "stored": state.durable_index,
            "commit": state.commit,
            "applied": state.applied,
            "leader_commit": state.leader_commit,
            "snapshot": state.snapshot.index,
            "snapshot_bytes": state.snapshot.bytes.len(),
            "log_bytes": state.log.payload_bytes(),
            "stored_bytes": state.file_bytes.log + state.file_bytes.snapshot,
            "waiting": state.pending_proposals.len(),
            "members": state.members,
            "seen": state.hard.seen,
            "peers": peers,
            "failure": state.failure,
        })
    }

    /// Writes pending changes to disk and ends all tasks. Pending proposals end with
    /// [`ProposeError::Unknown`].
    pub async fn stop(&self) {
        self.state.borrow_mut().stopping = true;
        self.state_changed.notify();
        let closed = self.wait_until(|state| state.writer_closed.then_some(()));
        let finished = self.with_timeout(self.tuning.propose_timeout, closed).await;
        self.abort();
        if finished.is_some() {
            self.environment.disk().release();
        } else {
            warn!(
                self.options.logger,
                "stopped before a pending disk write completed"
            );
        }
        let mut state = self.state.borrow_mut();
        state.step_down();
        state.pending_proposals.clear();
        drop(state);
        self.progress_changed.notify();
    }

    /// Ends all tasks at once, as a crash would.
    pub fn abort(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }

    pub(crate) fn is_disabled(&self, mechanism: Mechanism) -> bool {
        self.tuning.disabled.contains(&mechanism)
    }

    /// Waits until `condition` returns a value; it is called again after each change of the state.
    pub(crate) async fn wait_until<T>(
        &self,
        mut condition: impl FnMut(&mut State) -> Option<T>,
    ) -> T {
        loop {
            let changed = self.state_changed.changed();
            if let Some(value) = condition(&mut self.state.borrow_mut()) {
                return value;
            }
            changed.await;
        }
    }

    /// Result of `task`, or `None` if it takes longer than `duration`.
    pub(crate) async fn with_timeout<T>(
        &self,
        duration: Duration,
        task: impl Future<Output = T>,
    ) -> Option<T> {
        let sleep = std::pin::pin!(self.environment.sleep(duration));
        match select(std::pin::pin!(task), sleep).await {
            Either::Left((value, _)) => Some(value),
            Either::Right(_) => None,
        }
    }

    /// Time of the last contact of this leader with a majority, itself included.
    pub(crate) fn quorum_contact(&self, state: &State, now: Instant) -> Option<Instant> {
        let count_learners = self.is_disabled(Mechanism::LearnerExclusion);
        state
            .quorum_value(Some(now), |_, peer| peer.last_contact, count_learners)
            .flatten()
    }

    /// Sets the election deadline after the start. It is short because all hosts may have started
    /// together; if there is a leader, the hosts that hear from it deny the pre-vote.
    pub(crate) fn set_initial_election_deadline(&self, state: &mut State) {
        let span = self.tuning.heartbeat_interval.as_micros() * 3;
        let span = u64::try_from(span).unwrap_or(u64::MAX).max(1);
        let extra = Duration::from_micros(self.environment.random() % span);
        state.election_deadline = self.environment.now() + self.tuning.heartbeat_interval + extra;
    }

    /// Sets a new randomised election deadline.
    pub(crate) fn reset_election_deadline(&self, state: &mut State) {
        let (low, high) = self.tuning.election_timeout;
        let span = u64::try_from(high.checked_sub(low).unwrap().as_micros())
            .unwrap_or(u64::MAX)
            .max(1);
        let extra = Duration::from_micros(self.environment.random() % span);
        state.election_deadline = self.environment.now() + low + extra;
    }

    /// Compares a sender with the newest boot seen, and waits until a newer one is saved.
    pub(crate) async fn check_sender(&self, from: &Identity) -> IdentityStatus {
        let status = {
            let mut state = self.state.borrow_mut();
            if !state.peers.contains_key(&from.host) {
                return IdentityStatus::UnknownHost;
            }
            if self.is_disabled(Mechanism::BootCheck) {
                return IdentityStatus::Known;
            }
            let member = state.members.get(&from.host).copied();
            let status = state.hard.check_identity(from, member);
            if status == IdentityStatus::Newer {
                state.mark_hard_state_changed();
            }
            status
        };
        self.state_changed.notify();
        self.hard_state_saved().await;
        status
    }

    /// Whether a reply is valid. A reply from another host, because two addresses are mixed up,
    /// must not be counted for `to`.
    pub(crate) async fn check_reply_sender(&self, to: &str, from: &Identity) -> bool {
        if from.host != to {
            warn!(self.options.logger, "another control host answers at this address; correct the addresses";
                "expected" => to, "found" => &from.host);
            return false;
        }
        self.check_sender(from).await.is_accepted()
    }

    /// Becomes a learner with a new incarnation because `sent`, the identity of this host, is stale
    /// or replaced. The log is kept: the leader overwrites conflicting entries, and this host
    /// counts in no quorum until it is readmitted.
    pub(crate) fn become_learner(&self, sent: &Identity) {
        {
            let mut state = self.state.borrow_mut();
            if state.hard.identity != *sent {
                return;
            }
            warn!(
                self.options.logger,
                "the data directory is outdated or was replaced; continuing as a learner until readmitted"
            );
            state.hard.identity.incarnation = nonzero_incarnation(self.environment.random());
            state.hard.identity.boot = 1;
            state.hard.identity.nonce = self.environment.random();
            state.mark_hard_state_changed();
            state.step_down();
        };
        self.state_changed.notify();
        self.progress_changed.notify();
    }

    /// Advances the commit index and applies the entries up to it.
    pub(crate) fn advance_commit(&self, commit: u64) {
        let mut outdated = None;
        {
            let mut state = self.state.borrow_mut();
            state.commit = state.commit.max(commit.min(state.log.last_index()));
        };
        let mut any_applied = false;
        loop {
            let entry = {
                let state = self.state.borrow();
                if state.applied >= state.commit {
                    break;
                }
                state.log.get(state.applied + 1).cloned()
            };
            let Some(entry) = entry else {
                self.fail("a committed log entry is missing from the log in memory".into());
                return;
            };
            let mut answer = Vec::new();
            match Payload::parse(&entry.payload) {
                Payload::Noop => {}
                Payload::Command(command) => {
                    answer = self.machine.borrow_mut().apply(entry.index, &command);
                }
                Payload::Readmit(name, number) => {
                    outdated = self
                        .apply_readmission(entry.index, &name, number)
                        .or(outdated);
                }
                Payload::Unknown => {
                    self.fail(format!("log entry {} is of an unknown kind; install the version that the other hosts run", entry.index));
                    return;
                }
            }
            let mut state = self.state.borrow_mut();
            state.pending_readmissions.remove(&entry.index);
            state.applied = entry.index;
            state.bytes_since_snapshot += entry.payload.len();
            if let Some(proposal) = state.pending_proposals.remove(&entry.index) {
                let same = proposal.term == entry.term;
                // The proposer may have given up.
                let _sent = proposal.answer.send(same.then_some(answer));
            }
            any_applied = true;
        }
        if any_applied {
            self.confirm_readmissions(&mut self.state.borrow_mut());
            self.maybe_compact();
            self.state_changed.notify();
            self.progress_changed.notify();
        }
        if let Some(identity) = outdated {
            self.become_learner(&identity);
        }
    }

    /// Applies a readmission. Returns this host's identity if a newer incarnation replaced it.
    fn apply_readmission(&self, index: u64, name: &str, incarnation: u64) -> Option<Identity> {
        let mut state = self.state.borrow_mut();
        let former = state.members.insert(name.to_owned(), incarnation);
        if former == Some(incarnation) {
            // A confirmation.
            return None;
        }
        state.readmitted_at = index;
        info!(self.options.logger, "host readmitted"; "host" => name, "incarnation" => incarnation);
        let identity = &state.hard.identity;
        let replaced = identity.host == name
            && former == Some(identity.incarnation)
            && incarnation != identity.incarnation;
        replaced.then(|| identity.clone())
    }

    /// Appends a confirmation of each readmission that this leader knows to be committed.
    pub(crate) fn confirm_readmissions(&self, state: &mut State) {
        if state.role != Role::Leader || self.is_disabled(Mechanism::ReadmissionConfirmation) {
            return;
        }
        for (name, incarnation) in state.unconfirmed_members() {
            state.append_as_leader(&Payload::Readmit(name, incarnation));
        }
    }

    /// Takes a snapshot and compacts the log once enough bytes were applied since the last one.
    fn maybe_compact(&self) {
        let mut state = self.state.borrow_mut();
        if state.bytes_since_snapshot
            > self
                .tuning
                .snapshot_threshold_bytes
                .max(state.snapshot.bytes.len())
        {
            self.take_snapshot(&mut state);
        }
    }

    /// Takes a snapshot and compacts the log.
    pub(crate) fn take_snapshot(&self, state: &mut State) {
        let Some(term) = state.log.term(state.applied) else {
            return;
        };
        let snapshot = Snapshot {
            index: state.applied,
            term,
            members: state.members.clone(),
            machine: self.machine.borrow().snapshot(),
        };
        state.snapshot = EncodedSnapshot {
            index: snapshot.index,
            term,
            bytes: snapshot.encode().into(),
        };
        state.bytes_since_snapshot = 0;
        let applied = state.applied;
        let compact_to = applied.saturating_sub(self.tuning.trailing_entries);
        state.log.compact(compact_to);
        state
            .log
            .compact_to_bytes(applied, self.tuning.catch_up_bytes);
    }

    /// Advances the commit index to the highest index that a majority has on disk.
    pub(crate) fn maybe_commit(&self) {
        loop {
            let commit = {
                let state = self.state.borrow();
                if state.role != Role::Leader {
                    return;
                }
                let count_learners = self.is_disabled(Mechanism::LearnerExclusion);
                let quorum_index = state.quorum_index(count_learners);
                let is_committable = self.is_disabled(Mechanism::CurrentTermCommit)
                    || state.log.term(quorum_index) == Some(state.hard.term);
                if quorum_index <= state.commit || !is_committable {
                    return;
                }
                quorum_index
            };
            // Applying a readmission changes the quorum, so the commit index is computed again.
            self.advance_commit(commit);
        }
    }
}

/// Maps 0 to 1: incarnation 0 is reserved for founding hosts.
const fn nonzero_incarnation(random: u64) -> u64 {
    if random == 0 { 1 } else { random }
}

/// Returns the other hosts, and all hosts as founding members.
fn founding_members(
    options: &Options,
) -> Result<(BTreeMap<HostName, Progress>, Members), StartError> {
    let mut peers = BTreeMap::new();
    let mut members = Members::new();
    for (name, _address) in &options.peers {
        if members.insert(name.clone(), 0).is_some() {
            return Err(StartError::Options(format!(
                "control host `{name}` is listed twice; list each host once"
            )));
        }
        peers.insert(name.clone(), Progress::default());
    }
    if peers.remove(&options.name).is_none() {
        return Err(StartError::Options(format!(
            "`{}` is not among the control hosts; list every control host, this one included",
            options.name
        )));
    }
    Ok((peers, members))
}

/// Recovers the data directory and returns the state after the start.
fn initial_state<M: StateMachine, E: Environment>(
    options: &Options,
    tuning: &Tuning,
    environment: &E,
    machine: &Rc<RefCell<M>>,
) -> Result<State, StartError> {
    let (peers, mut members) = founding_members(options)?;
    let recovered = recover(environment.disk(), &options.data_dir)?;
    if recovered.torn {
        warn!(
            options.logger,
            "dropping an incompletely written record at the end of the log"
        );
    }
    let is_new = recovered.hard_state.is_none();
    let mut hard_state = recovered.hard_state.unwrap_or_else(|| {
        HardState::new(
            options.name.clone(),
            nonzero_incarnation(environment.random()),
        )
    });
    if hard_state.identity.host != options.name {
        return Err(StartError::Options(format!(
            "the data directory {} belongs to control host `{}`, not `{}`; correct `name` or `data`",
            options.data_dir.display(),
            hard_state.identity.host,
            options.name
        )));
    }
    if is_new {
        warn!(
            options.logger,
            "empty data directory: starting as a learner until readmitted; founding hosts are formatted with `--format` first"
        );
    }
    hard_state.identity.boot += 1;
    hard_state.identity.nonce = environment.random();
    let mut encoded = EncodedSnapshot::default();
    if let Some((snapshot, bytes)) = recovered.snapshot {
        machine.borrow_mut().restore(&snapshot.machine);
        for (name, incarnation) in &snapshot.members {
            if let Some(known) = members.get_mut(name) {
                *known = *incarnation;
            }
        }
        encoded = EncodedSnapshot {
            index: snapshot.index,
            term: snapshot.term,
            bytes,
        };
    }
    let now = environment.now();
    let applied = encoded.index;
    let mut state = State {
        hard: hard_state,
        caught_up_at: None,
        hard_state_version: 1,
        saved_hard_state_version: 0,
        log: recovered.log,
        durable_snapshot_index: encoded.index,
        // Rewriting the log syncs what a killed process wrote last and drops a torn frame.
        rewrite_log: true,
        durable_index: 0,
        truncated_to: u64::MAX,
        durable_commit: 0,
        file_bytes: FileBytes {
            log: 0,
            snapshot: encoded.bytes.len() as u64,
        },
        commit: recovered.commit,
        leader_commit: 0,
        applied: encoded.index,
        readmitted_at: 0,
        snapshot: encoded,
        bytes_since_snapshot: 0,
        members,
        pending_readmissions: BTreeMap::new(),
        confirmed_readmissions: BTreeMap::new(),
        disabled: tuning.disabled.clone(),
        role: Role::Follower,
        leader: None,
        last_leader_contact: None,
        elected_at: now,
        election_deadline: now,
        peers,
        heartbeat_round: 0,
        first_index_of_term: 0,
        pending_proposals: BTreeMap::new(),
        incoming_snapshot: None,
        failure: None,
        stopping: false,
        transfer: LeadershipTransfer::default(),
        writer_closed: false,
    };
    state.note_readmissions_after(applied);
    Ok(state)
}
