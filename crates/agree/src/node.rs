//! A control host in the agreement.

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
    hard::{HardState, Verdict},
    host::HostEnvironment,
    log::{Log, Payload},
    message::{Identity, ProposeReply},
    recover::recover,
    signal::Signal,
    state::{Image, Progress, Role, State, Transfer, Waiter},
};

/// State machine that every host applies the same commands to.
pub trait StateMachine: 'static {
    /// Applies a committed command and returns its answer. Must be deterministic.
    fn apply(&mut self, index: u64, payload: &[u8]) -> Vec<u8>;
    /// The whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the whole state.
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

/// Safety mechanism that a test can switch off to show that its checks find the fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Learners count for nothing.
    LearnerExclusion,
    /// A learner is readmitted only when it holds what was committed when it asked.
    CatchUp,
    /// A readmission in the log counts against the former disk before it is committed.
    PendingReadmission,
    /// Outdated disks are detected by boot number and nonce.
    BootCheck,
    /// Only entries of the leader's own term are committed by counting.
    CurrentTermCommit,
    /// A vote goes only to a candidate whose log is at least as new.
    ElectionRestriction,
    /// A term starts only after a majority would vote for the candidate.
    PreVote,
    /// A leader that hears no majority steps down.
    CheckQuorum,
    /// A strong read waits for a heartbeat round.
    ReadIndex,
    /// Votes and entries are synced before they are answered.
    Sync,
}

/// Mechanisms that are switched off. Empty outside tests.
pub type DisabledMechanisms = Vec<Mechanism>;

/// Times and sizes of the protocol.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Bounds of the randomised election timeout.
    pub election_timeout: (Duration, Duration),
    /// Interval of heartbeats.
    pub heartbeat_interval: Duration,
    /// Deadline of a vote or append call. Below the election timeout, so that one lost message
    /// does not cause an election.
    pub call_timeout: Duration,
    /// Deadline of one snapshot chunk.
    pub snapshot_chunk_timeout: Duration,
    /// Deadline of a proposal or barrier.
    pub propose_timeout: Duration,
    /// Payload bytes applied between two snapshots; at least the size of the last snapshot.
    pub snapshot_threshold_bytes: usize,
    /// Entries kept before the snapshot for followers that are slightly behind.
    pub trailing_entries: u64,
    /// Payload bytes in one append call: about 70 ms on the link between regions.
    pub max_batch_bytes: usize,
    /// Bytes in one snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Mechanisms that are switched off, in tests only.
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
            max_batch_bytes: 256 << 10,
            snapshot_chunk_bytes: 256 << 10,
            disabled: Vec::new(),
        }
    }
}

/// Largest payload of a proposal. A message of the RPC layer may have 64 MiB.
pub const MAX_PAYLOAD_BYTES: usize = 16 << 20;

/// One control host. Its tasks run on the thread that started it until it stops or fails.
pub struct Node<M, E: Environment = HostEnvironment> {
    pub(crate) options: Options,
    pub(crate) tuning: Tuning,
    pub(crate) environment: E,
    pub(crate) machine: Rc<RefCell<M>>,
    pub(crate) state: RefCell<State>,
    /// Any change of `state` that a task may wait for.
    pub(crate) signal: Signal,
    /// Newly applied entries and changes of leadership.
    pub(crate) news: Signal,
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
    /// Takes over the address of another host.
    pub fn set_peer_address(&self, name: &str, address: SocketAddr) {
        if name != self.options.name {
            self.environment.network().moved(name, address);
        }
    }

    /// Recovers the data directory and starts the tasks of the node. The machine must be empty.
    ///
    /// # Errors
    /// The options are wrong, or the data directory is in use, damaged or of another host.
    pub fn start(options: Options, machine: Rc<RefCell<M>>) -> Result<Rc<Self>, StartError> {
        let host = HostEnvironment::open(&options)?;
        Self::start_with(options, Tuning::default(), host, machine)
    }
}

impl<M: StateMachine, E: Environment> Node<M, E> {
    /// Starts a node in the given surroundings.
    ///
    /// # Errors
    /// The options are wrong, or the data directory is damaged or of another host.
    pub fn start_with(
        options: Options,
        tuning: Tuning,
        environment: E,
        machine: Rc<RefCell<M>>,
    ) -> Result<Rc<Self>, StartError> {
        let state = prepare(&options, &tuning, &environment, &machine)?;
        let node = Rc::new(Self {
            options,
            tuning,
            environment,
            machine,
            state: RefCell::new(state),
            signal: Signal::default(),
            news: Signal::default(),
            tasks: RefCell::default(),
        });
        let commit = std::mem::take(&mut node.state.borrow_mut().commit);
        node.advance(commit);
        node.run(Rc::clone(&node).write());
        node.run(Rc::clone(&node).elect());
        let others: Vec<_> = node.state.borrow().peers.keys().cloned().collect();
        for peer in others {
            node.run(Rc::clone(&node).replicate(peer.clone()));
            node.run(Rc::clone(&node).beat(peer));
        }
        Ok(node)
    }

    fn run(&self, task: impl Future<Output = ()> + 'static) {
        let (task, handle) = abortable(task);
        self.tasks.borrow_mut().push(handle);
        self.environment.spawn(task.map(drop).boxed_local());
    }

    /// Proposes a command on the leader. Returns its log index and the machine's answer once it is
    /// applied on this host.
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
            if state.transfer.ceding {
                return Err(ProposeError::NotLeader(None));
            }
            let index = state.lead_entry(&Payload::Command(&payload));
            let (sender, answer) = oneshot::channel();
            let term = state.hard.term;
            state.waiting.insert(
                index,
                Waiter {
                    term,
                    answer: sender,
                },
            );
            (index, answer)
        };
        self.signal.notify();
        match self.within(self.tuning.propose_timeout, answer).await {
            Some(Ok(Some(answer))) => Ok((index, answer)),
            Some(Ok(None)) => Err(ProposeError::Dropped),
            Some(Err(_)) | None => Err(ProposeError::Unknown),
        }
    }

    /// Proposes a command here or on the leader that this host knows.
    ///
    /// # Errors
    /// No leader is known, or the outcome did not become known in time.
    pub async fn propose_or_forward(
        &self,
        payload: Vec<u8>,
    ) -> Result<(u64, Vec<u8>), ProposeError> {
        let other = {
            let state = self.state.borrow();
            state.leader.clone().filter(|_| state.role != Role::Leader)
        };
        let Some(leader) = other else {
            return self.propose(payload).await;
        };
        // The leader gives up after `propose`; its answer needs some time on top.
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

    /// Handles `Peer.propose`. Nothing means that the outcome is unknown; the server answers the
    /// call with an error then.
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

    /// Strong read point: when it completes, everything that was committed before the call is
    /// applied here, and this host was the leader during the call. Returns the applied index.
    ///
    /// # Errors
    /// This host is not the leader, or no majority answered a heartbeat in time.
    pub async fn read_index(&self) -> Result<u64, ReadIndexError> {
        let (term, round, first) = {
            let mut state = self.state.borrow_mut();
            if state.role != Role::Leader {
                return Err(ReadIndexError::NotLeader(state.leader.clone()));
            }
            state.round += 1;
            (state.hard.term, state.round, state.first)
        };
        self.signal.notify();
        let all = self.lacks(Mechanism::LearnerExclusion);
        let skip = self.lacks(Mechanism::ReadIndex);
        let passed = self.until(|state| {
            if state.role != Role::Leader || state.hard.term != term {
                return Some(Err(ReadIndexError::NotLeader(state.leader.clone())));
            }
            // Entries of earlier terms are known to be committed once one of this term is.
            let heard = skip || state.agreed(round, |peer| peer.round, all) >= Some(round);
            (heard && state.commit >= first).then_some(Ok(state.commit))
        });
        let index = self
            .within(self.tuning.propose_timeout, passed)
            .await
            .unwrap_or(Err(ReadIndexError::NoMajority))?;
        self.until(|state| (state.applied >= index).then_some(()))
            .await;
        Ok(index)
    }

    /// Whether this host leads and heard from a majority recently enough that no other host can
    /// have been elected in the meantime, except over a clock jump. Use [`Node::read_index`] where
    /// this must be certain.
    pub fn is_leader(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        state.role == Role::Leader
            && (self.lacks(Mechanism::CheckQuorum)
                || self.quorum_contact(&state, now).is_some_and(|contact| {
                    now.duration_since(contact) < self.tuning.election_timeout.0
                }))
    }

    /// Leader that this host knows.
    pub fn leader(&self) -> Option<HostName> {
        self.state.borrow().leader.clone()
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.state.borrow().applied
    }

    /// Index of the last entry on disk.
    pub fn durable_index(&self) -> u64 {
        self.state.borrow().stored
    }

    /// Time since a leader was heard; on the leader, since a majority was. A leader without a
    /// majority steps down, so the value can be too low by at most the election timeout.
    pub fn time_since_contact(&self, now: Instant) -> Option<Duration> {
        let state = self.state.borrow();
        let contact = if state.role == Role::Leader {
            self.quorum_contact(&state, now).max(state.heard)
        } else {
            state.heard
        };
        contact.map(|contact| now.saturating_duration_since(contact))
    }

    /// Time since another host answered this leader, or since the election when it never did;
    /// `None` while this host does not lead, and for itself.
    pub fn time_since_reply(&self, name: &str, now: Instant) -> Option<Duration> {
        let state = self.state.borrow();
        let peer = state.peers.get(name)?;
        let since = peer.contact.unwrap_or(state.led).max(state.led);
        (state.role == Role::Leader).then(|| now.saturating_duration_since(since))
    }

    /// Whether this host has applied everything that was committed before its start.
    pub fn is_caught_up(&self) -> bool {
        let state = self.state.borrow();
        let leads = state.role == Role::Leader && state.applied >= state.first;
        state.current.is_some() || leads
    }

    /// Newest term that this host knows.
    pub fn term(&self) -> u64 {
        self.state.borrow().hard.term
    }

    /// Whether this host has no vote and waits to be readmitted.
    pub fn is_learner(&self) -> bool {
        !self.state.borrow().is_voter()
    }

    /// Why the node stopped taking part, after a disk error.
    pub fn failure(&self) -> Option<String> {
        self.state.borrow().failure.clone()
    }

    /// Completes when an entry is applied or the leadership changes after this call.
    pub fn changed(&self) -> impl Future<Output = ()> + '_ {
        self.news.changed()
    }

    /// State for operators.
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
                    .contact
                    .map(|at| now.saturating_duration_since(at).as_millis());
                let value = json!({
                    "next": peer.next,
                    "matched": peer.matched,
                    "contact_ms": since,
                    "identity": peer.identity,
                    "waiting_for": peer.asked,
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
            "first": state.log.first(),
            "last": state.log.last(),
            "stored": state.stored,
            "commit": state.commit,
            "applied": state.applied,
            "snapshot": state.image.index,
            "log_bytes": state.log.bytes(),
            "waiting": state.waiting.len(),
            "members": state.members,
            "seen": state.hard.seen,
            "peers": peers,
            "failure": state.failure,
        })
    }

    /// Writes what is waiting to disk and ends all tasks. Proposals without an answer end with
    /// [`ProposeError::Unknown`].
    pub async fn stop(&self) {
        self.state.borrow_mut().stopping = true;
        self.signal.notify();
        let closed = self.until(|state| state.closed.then_some(()));
        let finished = self.within(self.tuning.propose_timeout, closed).await;
        self.abort();
        if finished.is_some() {
            self.environment.disk().release();
        } else {
            warn!(
                self.options.logger,
                "stopped before the disk finished a write"
            );
        }
        let mut state = self.state.borrow_mut();
        state.step_down();
        state.waiting.clear();
        drop(state);
        self.news.notify();
    }

    /// Ends all tasks at once, as a crash would.
    pub fn abort(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }

    pub(crate) fn lacks(&self, mechanism: Mechanism) -> bool {
        self.tuning.disabled.contains(&mechanism)
    }

    /// Waits until the state satisfies a condition.
    pub(crate) async fn until<T>(&self, mut found: impl FnMut(&mut State) -> Option<T>) -> T {
        loop {
            let changed = self.signal.changed();
            if let Some(value) = found(&mut self.state.borrow_mut()) {
                return value;
            }
            changed.await;
        }
    }

    /// The value of `task`, or nothing after `duration`.
    pub(crate) async fn within<T>(
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

    /// When a majority was last in contact with this leader.
    pub(crate) fn quorum_contact(&self, state: &State, now: Instant) -> Option<Instant> {
        let all = self.lacks(Mechanism::LearnerExclusion);
        state.agreed(Some(now), |peer| peer.contact, all).flatten()
    }

    /// Draws the time of the first election after the start. It is early, because all hosts may have
    /// started together; a leader that the others hear keeps them from granting the pre-vote.
    pub(crate) fn first_deadline(&self, state: &mut State) {
        let span = self.tuning.heartbeat_interval.as_micros() * 3;
        let span = u64::try_from(span).unwrap_or(u64::MAX).max(1);
        let extra = Duration::from_micros(self.environment.random() % span);
        state.deadline = self.environment.now() + self.tuning.heartbeat_interval + extra;
    }

    /// Draws the time of the next election.
    pub(crate) fn postpone(&self, state: &mut State) {
        let (low, high) = self.tuning.election_timeout;
        let span = u64::try_from(high.checked_sub(low).unwrap().as_micros())
            .unwrap_or(u64::MAX)
            .max(1);
        let extra = Duration::from_micros(self.environment.random() % span);
        state.deadline = self.environment.now() + low + extra;
    }

    /// Compares a sender with the newest boot seen.
    pub(crate) async fn hear(&self, from: &Identity) -> Verdict {
        let verdict = {
            let mut state = self.state.borrow_mut();
            if !state.peers.contains_key(&from.host) {
                return Verdict::Stranger;
            }
            if self.lacks(Mechanism::BootCheck) {
                return Verdict::Known;
            }
            let member = state.members.get(&from.host).copied();
            let verdict = state.hard.judge(from, member);
            if verdict == Verdict::Newer {
                state.touch();
            }
            verdict
        };
        self.signal.notify();
        self.saved().await;
        verdict
    }

    /// Whether a reply counts. One that another host sends, because two addresses are mixed up,
    /// must not be counted for `to`.
    pub(crate) async fn hear_reply(&self, to: &str, from: &Identity) -> bool {
        if from.host != to {
            warn!(self.options.logger, "another control host answers at this address; correct the addresses";
                "expected" => to, "found" => &from.host);
            return false;
        }
        self.hear(from).await.is_good()
    }

    /// Becomes a learner because a peer has seen a newer boot than the one it was sent. The log is
    /// kept: the leader replaces whatever differs, and nothing in it counts until readmission.
    pub(crate) fn demote(&self, sent: &Identity) {
        {
            let mut state = self.state.borrow_mut();
            if state.hard.identity != *sent {
                return;
            }
            warn!(
                self.options.logger,
                "the disk is older than what a peer has seen; asking to be readmitted as a learner"
            );
            state.hard.identity.incarnation = incarnation(self.environment.random());
            state.hard.identity.boot = 1;
            state.hard.identity.nonce = self.environment.random();
            state.touch();
            state.step_down();
        };
        self.signal.notify();
        self.news.notify();
    }

    /// Applies entries up to a new commit index.
    pub(crate) fn advance(&self, commit: u64) {
        let mut outdated = None;
        {
            let mut state = self.state.borrow_mut();
            state.commit = state.commit.max(commit.min(state.log.last()));
        };
        let mut progress = false;
        loop {
            let entry = {
                let state = self.state.borrow();
                if state.applied >= state.commit {
                    break;
                }
                state.log.get(state.applied + 1).cloned()
            };
            let Some(entry) = entry else {
                self.fail("a committed log entry is missing in memory".into());
                return;
            };
            let mut answer = Vec::new();
            match Payload::parse(&entry.payload) {
                Payload::Noop => {}
                Payload::Command(command) => {
                    answer = self.machine.borrow_mut().apply(entry.index, command);
                }
                Payload::Readmit(name, number) => {
                    outdated = self.readmitted(&name, number).or(outdated);
                }
                Payload::Unknown => {
                    self.fail(format!("log entry {} is of an unknown kind; install the version that the other hosts run", entry.index));
                    return;
                }
            }
            let mut state = self.state.borrow_mut();
            state.readmits.remove(&entry.index);
            state.applied = entry.index;
            state.since += entry.payload.len();
            if let Some(waiter) = state.waiting.remove(&entry.index) {
                let same = waiter.term == entry.term;
                // The proposer may have given up.
                let _sent = waiter.answer.send(same.then_some(answer));
            }
            progress = true;
        }
        if progress {
            self.compact();
            self.signal.notify();
            self.news.notify();
        }
        if let Some(identity) = outdated {
            self.demote(&identity);
        }
    }

    /// Records a readmission. Returns this host's identity if another disk took its place.
    fn readmitted(&self, name: &str, incarnation: u64) -> Option<Identity> {
        let mut state = self.state.borrow_mut();
        let former = state.members.insert(name.to_owned(), incarnation);
        info!(self.options.logger, "host readmitted"; "host" => name, "incarnation" => incarnation);
        let identity = &state.hard.identity;
        let replaced = identity.host == name
            && former == Some(identity.incarnation)
            && incarnation != identity.incarnation;
        replaced.then(|| identity.clone())
    }

    /// Replaces the applied part of the log by a snapshot when enough was applied.
    fn compact(&self) {
        let mut state = self.state.borrow_mut();
        if state.since
            <= self
                .tuning
                .snapshot_threshold_bytes
                .max(state.image.bytes.len())
        {
            return;
        }
        let Some(term) = state.log.term(state.applied) else {
            return;
        };
        let snapshot = Snapshot {
            index: state.applied,
            term,
            members: state.members.clone(),
            machine: self.machine.borrow().snapshot(),
        };
        state.image = Image {
            index: snapshot.index,
            term,
            bytes: snapshot.encode().into(),
        };
        state.since = 0;
        let keep = state.applied.saturating_sub(self.tuning.trailing_entries);
        state.log.compact(keep);
    }

    /// Commits what a majority has on disk.
    pub(crate) fn settle(&self) {
        loop {
            let commit = {
                let state = self.state.borrow();
                if state.role != Role::Leader {
                    return;
                }
                let all = self.lacks(Mechanism::LearnerExclusion);
                let agreed = state
                    .agreed(state.stored, |peer| peer.matched, all)
                    .unwrap_or(0);
                let own = self.lacks(Mechanism::CurrentTermCommit)
                    || state.log.term(agreed) == Some(state.hard.term);
                if agreed <= state.commit || !own {
                    return;
                }
                agreed
            };
            // A readmission that is applied here changes who counts.
            self.advance(commit);
        }
    }
}

/// Incarnation 0 is reserved for founding hosts.
const fn incarnation(random: u64) -> u64 {
    if random == 0 { 1 } else { random }
}

/// Readmissions in the log after the entry `applied`.
fn readmissions(log: &Log, applied: u64) -> BTreeMap<u64, (HostName, u64)> {
    let entries = (log.first().max(applied + 1)..=log.last()).filter_map(|i| log.get(i));
    let readmits = entries.filter_map(|entry| match Payload::parse(&entry.payload) {
        Payload::Readmit(name, incarnation) => Some((entry.index, (name, incarnation))),
        _ => None,
    });
    readmits.collect()
}

fn prepare<M: StateMachine, E: Environment>(
    options: &Options,
    tuning: &Tuning,
    environment: &E,
    machine: &Rc<RefCell<M>>,
) -> Result<State, StartError> {
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
    let found = recover(environment.disk(), &options.data_dir)?;
    if found.torn {
        warn!(
            options.logger,
            "dropping a record that was not written completely before the last stop"
        );
    }
    let fresh = found.hard.is_none();
    let mut hard = found
        .hard
        .unwrap_or_else(|| HardState::new(options.name.clone(), incarnation(environment.random())));
    if hard.identity.host != options.name {
        return Err(StartError::Options(format!(
            "the data directory {} belongs to control host `{}`, not `{}`; correct `name` or `data`",
            options.data_dir.display(),
            hard.identity.host,
            options.name
        )));
    }
    if fresh {
        warn!(
            options.logger,
            "empty data directory: starting as a learner until readmitted; founding hosts are formatted with `--format` first"
        );
    }
    hard.identity.boot += 1;
    hard.identity.nonce = environment.random();
    let mut image = Image::default();
    if let Some((snapshot, bytes)) = found.snapshot {
        machine.borrow_mut().restore(&snapshot.machine);
        for (name, incarnation) in &snapshot.members {
            if let Some(known) = members.get_mut(name) {
                *known = *incarnation;
            }
        }
        image = Image {
            index: snapshot.index,
            term: snapshot.term,
            bytes,
        };
    }
    let readmits = readmissions(&found.log, image.index);
    let now = environment.now();
    Ok(State {
        hard,
        current: None,
        changes: 1,
        saved: 0,
        log: found.log,
        image_saved: image.index,
        // Writing the log anew syncs what a killed process wrote last and drops a torn end.
        rewrite: true,
        stored: 0,
        floor: u64::MAX,
        recorded: 0,
        commit: found.commit,
        applied: image.index,
        image,
        since: 0,
        members,
        readmits,
        without: tuning.disabled.clone(),
        role: Role::Follower,
        leader: None,
        heard: None,
        led: now,
        deadline: now,
        peers,
        round: 0,
        first: 0,
        waiting: BTreeMap::new(),
        incoming: None,
        failure: None,
        stopping: false,
        transfer: Transfer::default(),
        closed: false,
    })
}
