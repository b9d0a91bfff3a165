//! State shared by the tasks of a node: role, log, quorum and pending work.

use std::{collections::BTreeMap, rc::Rc, time::Instant};

use base::HostName;
use futures_channel::oneshot;

use crate::{
    codec::Members,
    hard::HardState,
    log::{Entry, Log, Payload},
    message::Identity,
    node::{DisabledMechanisms, Mechanism},
};

/// Largest term accepted. A malformed message with a larger one could exhaust the range of terms.
pub const MAX_TERM: u64 = 1 << 48;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Follower,
    Candidate,
    Leader,
}

/// Replication progress of one peer, on the leader.
#[derive(Debug, Default, Clone)]
pub struct Progress {
    /// Identity of the peer in its last reply.
    pub identity: Option<Identity>,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Highest index known to be on the peer's disk and to match the leader's log.
    pub match_index: u64,
    /// Newest heartbeat round that the peer answered.
    pub acked_round: u64,
    /// Newest heartbeat round sent.
    pub sent_round: u64,
    /// Commit index last sent.
    pub sent_commit: u64,
    /// When the last request was sent.
    pub last_sent: Option<Instant>,
    /// When the last request with a reply was sent.
    pub last_contact: Option<Instant>,
    /// Index up to which a learner must hold the log to be readmitted.
    pub catch_up_index: Option<u64>,
    /// When `catch_up_index` was set.
    pub learner_since: Option<Instant>,
}

/// Sizes of the large files in the data directory.
#[derive(Debug, Default, Clone, Copy)]
pub struct FileBytes {
    pub log: u64,
    pub snapshot: u64,
}

/// Last snapshot in its file format, as sent to peers.
#[derive(Debug, Default, Clone)]
pub struct EncodedSnapshot {
    pub index: u64,
    pub term: u64,
    pub bytes: Rc<[u8]>,
}

/// Snapshot that is being received.
#[derive(Debug)]
pub struct IncomingSnapshot {
    pub index: u64,
    pub term: u64,
    pub bytes: Vec<u8>,
}

/// Leadership transfer from or to this host.
#[derive(Debug, Default)]
pub struct LeadershipTransfer {
    /// Whether this leader refuses proposals because it is transferring its leadership.
    pub in_progress: bool,
    /// Term whose leader asked this host to start an election.
    pub requested_term: Option<u64>,
}

/// Proposal of this leader that is not applied yet. The answer is `None` if another entry was
/// committed at its index.
#[derive(Debug)]
pub struct PendingProposal {
    pub term: u64,
    pub answer: oneshot::Sender<Option<Vec<u8>>>,
}

#[derive(Debug)]
pub struct State {
    pub hard: HardState,
    /// Commit index at which everything that was committed before the start was applied.
    pub caught_up_at: Option<u64>,
    /// Number of changes of `hard`.
    pub hard_state_version: u64,
    /// Number of changes of `hard` that are on disk.
    pub saved_hard_state_version: u64,
    pub log: Log,
    pub snapshot: EncodedSnapshot,
    /// Index of the snapshot on disk.
    pub durable_snapshot_index: u64,
    /// Whether the log file must be rewritten as a whole.
    pub rewrite_log: bool,
    /// Last index up to which the log on disk agrees with the log in memory.
    pub durable_index: u64,
    /// Lowest index that the log was truncated to since the writer last took entries, else
    /// `u64::MAX`.
    pub truncated_to: u64,
    /// Commit index on disk.
    pub durable_commit: u64,
    /// Size of the log file and of the snapshot file, in bytes.
    pub file_bytes: FileBytes,
    pub commit: u64,
    /// Highest commit index that a leader told this host.
    pub leader_commit: u64,
    pub applied: u64,
    /// Index of the last readmission that was applied.
    pub readmitted_at: u64,
    /// Payload bytes applied since the last snapshot.
    pub bytes_since_snapshot: usize,
    pub members: Members,
    /// Readmissions and their confirmations in the log that are not applied yet.
    pub pending_readmissions: BTreeMap<u64, (HostName, u64)>,
    /// Incarnation that was confirmed last for each host, and the index of the confirmation. A leader
    /// confirms a readmission that is committed, by an entry like that of the readmission. Every host
    /// that has the entry knows that the readmission is committed.
    pub confirmed_readmissions: BTreeMap<HostName, (u64, u64)>,
    /// Disabled safety mechanisms, in tests only.
    pub disabled: DisabledMechanisms,
    pub role: Role,
    pub leader: Option<HostName>,
    /// When the last message of a leader arrived.
    pub last_leader_contact: Option<Instant>,
    /// When this host was last elected.
    pub elected_at: Instant,
    /// When the next election starts unless a message of a leader arrives before.
    pub election_deadline: Instant,
    pub peers: BTreeMap<HostName, Progress>,
    /// Newest heartbeat round; a new one is started to confirm a linearizable read.
    pub heartbeat_round: u64,
    /// Index of the first entry of the term in which this host was last elected.
    pub first_index_of_term: u64,
    /// Proposals of this leader by log index.
    pub pending_proposals: BTreeMap<u64, PendingProposal>,
    pub incoming_snapshot: Option<IncomingSnapshot>,
    /// Cause of a fatal error.
    pub failure: Option<String>,
    pub stopping: bool,
    pub transfer: LeadershipTransfer,
    /// Whether the writer has ended, after the last write or a fatal error.
    pub writer_closed: bool,
}

impl State {
    /// Marks `hard` as changed; it must be saved before the change affects other hosts.
    pub const fn mark_hard_state_changed(&mut self) {
        self.hard_state_version += 1;
    }

    pub const fn is_hard_state_saved(&self) -> bool {
        self.saved_hard_state_version >= self.hard_state_version
    }

    /// Number of hosts that form a quorum.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whether a host with this incarnation counts in a quorum. A new incarnation counts only once
    /// its readmission is committed, which its confirmation in the log proves, but the former one is
    /// excluded as soon as the readmission is in the log.
    pub fn counts_in_quorum(&self, host: &str, incarnation: u64) -> bool {
        let applied = self.members.get(host).copied();
        if self.disabled.contains(&Mechanism::PendingReadmission) {
            return applied == Some(incarnation);
        }
        let (mut counted, mut latest) = (applied, applied);
        for pending in self.pending_readmissions_of(host) {
            counted = Some(pending).filter(|_| latest == Some(pending));
            latest = Some(pending);
        }
        counted == Some(incarnation)
    }

    fn pending_readmissions_of(&self, host: &str) -> impl DoubleEndedIterator<Item = u64> {
        let pending = self.pending_readmissions.values();
        pending
            .filter(move |(name, _)| name == host)
            .map(|(_, incarnation)| *incarnation)
    }

    /// Members whose readmission is committed and not confirmed in the log of this host.
    pub fn unconfirmed_members(&self) -> Vec<(HostName, u64)> {
        let readmitted = self
            .members
            .iter()
            .filter(|(_, incarnation)| **incarnation != 0);
        let unconfirmed = readmitted.filter(|(name, incarnation)| {
            let confirmed = self
                .confirmed_readmissions
                .get(*name)
                .map(|(confirmed, _)| confirmed);
            confirmed != Some(*incarnation) && self.counts_in_quorum(name, **incarnation)
        });
        unconfirmed
            .map(|(name, incarnation)| (name.clone(), *incarnation))
            .collect()
    }

    /// Highest index that a peer has on disk and that counts for a commit: 0 until a readmitted host
    /// has the confirmation of its readmission. Every host that holds an entry committed with its help then
    /// also holds the confirmation, and can count it in an election.
    fn counted_match(&self, name: &str, progress: &Progress) -> u64 {
        let incarnation = progress
            .identity
            .as_ref()
            .map_or(0, |known| known.incarnation);
        let confirmed = self.confirmed_readmissions.get(name);
        let holds_confirmation = confirmed
            .is_some_and(|(known, at)| *known == incarnation && progress.match_index >= *at);
        if incarnation == 0 || holds_confirmation {
            progress.match_index
        } else {
            0
        }
    }

    /// Highest index that a majority has on disk.
    pub fn quorum_index(&self, count_learners: bool) -> u64 {
        let counted = |name: &str, progress: &Progress| {
            if count_learners || self.disabled.contains(&Mechanism::ReadmissionConfirmation) {
                progress.match_index
            } else {
                self.counted_match(name, progress)
            }
        };
        self.quorum_value(self.durable_index, counted, count_learners)
            .unwrap_or(0)
    }

    /// Whether this host counts in a quorum.
    pub fn is_voter(&self) -> bool {
        self.counts_in_quorum(&self.hard.identity.host, self.hard.identity.incarnation)
    }

    /// Enters a newer term as a follower. Terms above [`MAX_TERM`] are ignored.
    pub fn advance_term(&mut self, term: u64) {
        if term > self.hard.term && term <= MAX_TERM {
            self.hard.term = term;
            self.hard.vote = None;
            self.mark_hard_state_changed();
            self.step_down();
        }
    }

    /// Becomes a follower that knows no leader.
    pub fn step_down(&mut self) {
        self.role = Role::Follower;
        self.leader = None;
    }

    /// Appends an entry to the log in memory.
    pub fn append(&mut self, entry: Entry) {
        self.note_readmission(&entry);
        self.log.push(entry);
    }

    /// Takes in the readmissions and their confirmations of the log after the index `applied`.
    pub fn note_readmissions_after(&mut self, applied: u64) {
        let first = self.log.first_index().max(applied + 1);
        for index in first..=self.log.last_index() {
            if let Some(entry) = self.log.get(index).cloned() {
                self.note_readmission(&entry);
            }
        }
    }

    /// Takes in a readmission or confirmation of the log that is not applied yet.
    fn note_readmission(&mut self, entry: &Entry) {
        if let Some((name, incarnation)) = entry.readmission() {
            let applied = self.members.get(&name).copied();
            let latest = self.pending_readmissions_of(&name).next_back().or(applied);
            if latest == Some(incarnation) {
                let confirmation = (incarnation, entry.index);
                self.confirmed_readmissions
                    .insert(name.clone(), confirmation);
            }
            self.pending_readmissions
                .insert(entry.index, (name, incarnation));
        }
    }

    /// Appends an entry of this leader and returns its index.
    pub fn append_as_leader(&mut self, payload: &Payload<'_>) -> u64 {
        let index = self.log.last_index() + 1;
        self.append(Entry {
            index,
            term: self.hard.term,
            payload: payload.encode(),
        });
        index
    }

    /// Drops all entries after `index`.
    pub fn truncate(&mut self, index: u64) {
        self.log.truncate(index);
        self.pending_readmissions.split_off(&(index + 1));
        self.confirmed_readmissions
            .retain(|_, (_, at)| *at <= index);
        self.truncated_to = self.truncated_to.min(index);
        self.durable_index = self.durable_index.min(index);
    }

    /// Largest value that a majority has reached: `own` is the value of this host, `of` returns
    /// that of a peer. With `count_learners`, which only tests set, learners count as well.
    pub fn quorum_value<T: Ord>(
        &self,
        own: T,
        of: impl Fn(&str, &Progress) -> T,
        count_learners: bool,
    ) -> Option<T> {
        let mut values = Vec::new();
        if count_learners || self.is_voter() {
            values.push(own);
        }
        for (name, progress) in &self.peers {
            let counts = progress.identity.as_ref().is_some_and(|identity| {
                count_learners || self.counts_in_quorum(name, identity.incarnation)
            });
            if counts {
                values.push(of(name, progress));
            }
        }
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.majority() - 1)
    }
}
