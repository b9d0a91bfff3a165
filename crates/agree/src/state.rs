//! Shared state of the tasks of a node.

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

/// Larger terms come from malformed messages only; they would use up the range of terms.
pub const TERM_MAX: u64 = 1 << 48;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Follower,
    Candidate,
    Leader,
}

/// What the leader knows of one peer.
#[derive(Debug, Default, Clone)]
pub struct Progress {
    /// Sender of the last reply.
    pub identity: Option<Identity>,
    /// Index to send next.
    pub next: u64,
    /// Highest index on the peer's disk that matches the leader's log.
    pub matched: u64,
    /// Newest heartbeat round that the peer answered.
    pub round: u64,
    /// Newest heartbeat round sent.
    pub sent_round: u64,
    /// Commit index last sent.
    pub sent_commit: u64,
    /// When the last request was sent.
    pub sent: Option<Instant>,
    /// When the last answered request was sent.
    pub contact: Option<Instant>,
    /// What a learner must hold to be readmitted.
    pub asked: Option<u64>,
}

/// Snapshot file in memory, as sent to peers.
#[derive(Debug, Default, Clone)]
pub struct Image {
    pub index: u64,
    pub term: u64,
    pub bytes: Rc<[u8]>,
}

/// Snapshot that is being received.
#[derive(Debug)]
pub struct Incoming {
    pub index: u64,
    pub term: u64,
    pub bytes: Vec<u8>,
}

/// Transfer of the leadership away from this host or to it.
#[derive(Debug, Default)]
pub struct Transfer {
    /// Whether this leader takes no more entries because it is about to give up its leadership.
    pub ceding: bool,
    /// Term whose leader asked this host to stand for election.
    pub summoned: Option<u64>,
}

#[derive(Debug)]
pub struct Waiter {
    pub term: u64,
    pub answer: oneshot::Sender<Option<Vec<u8>>>,
}

#[derive(Debug)]
pub struct State {
    pub hard: HardState,
    /// Commit index at which everything that was committed before the start was applied.
    pub current: Option<u64>,
    /// Number of changes of `hard`, and of those on disk.
    pub changes: u64,
    pub saved: u64,
    pub log: Log,
    pub image: Image,
    /// Index of the snapshot on disk.
    pub image_saved: u64,
    /// Whether the log file must be written anew.
    pub rewrite: bool,
    /// Last index on disk, as far as the log in memory agrees with it.
    pub stored: u64,
    /// Lowest index that the log was truncated to since the writer last took entries.
    pub floor: u64,
    /// Commit index on disk.
    pub recorded: u64,
    pub commit: u64,
    pub applied: u64,
    /// Payload bytes applied since the last snapshot.
    pub since: usize,
    pub members: Members,
    /// Readmissions in the log that are not applied yet.
    pub readmits: BTreeMap<u64, (HostName, u64)>,
    /// Mechanisms that are switched off, in tests only.
    pub without: DisabledMechanisms,
    pub role: Role,
    pub leader: Option<HostName>,
    /// When a leader was last heard.
    pub heard: Option<Instant>,
    /// When this host was last elected.
    pub led: Instant,
    /// When the next election starts unless a leader is heard.
    pub deadline: Instant,
    pub peers: BTreeMap<HostName, Progress>,
    pub round: u64,
    /// Index of the first entry of this leadership.
    pub first: u64,
    pub waiting: BTreeMap<u64, Waiter>,
    pub incoming: Option<Incoming>,
    pub failure: Option<String>,
    pub stopping: bool,
    pub transfer: Transfer,
    pub closed: bool,
}

impl State {
    /// Marks `hard` as changed; it must be saved before the change has an effect on other hosts.
    pub const fn touch(&mut self) {
        self.changes += 1;
    }

    pub const fn is_saved(&self) -> bool {
        self.saved >= self.changes
    }

    /// Number of hosts that decide.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whether a host with this incarnation counts in majorities. Both the applied membership and
    /// the log must name it: a readmission counts for the new incarnation only when committed, but
    /// against the old one as soon as it is in the log.
    pub fn counts(&self, host: &str, incarnation: u64) -> bool {
        self.members.get(host) == Some(&incarnation)
            && (self.without.contains(&Mechanism::PendingReadmission)
                || self
                    .readmits
                    .values()
                    .all(|(name, other)| name != host || *other == incarnation))
    }

    /// Whether this host counts in majorities.
    pub fn is_voter(&self) -> bool {
        self.counts(&self.hard.identity.host, self.hard.identity.incarnation)
    }

    /// Enters a newer term as a follower.
    pub fn adopt(&mut self, term: u64) {
        if term > self.hard.term && term <= TERM_MAX {
            self.hard.term = term;
            self.hard.vote = None;
            self.touch();
            self.step_down();
        }
    }

    /// Gives up leadership or candidacy. The leader of the term, if there is one, is not known.
    pub fn step_down(&mut self) {
        self.role = Role::Follower;
        self.leader = None;
    }

    pub fn push(&mut self, entry: Entry) {
        if let Payload::Readmit(name, incarnation) = Payload::parse(&entry.payload) {
            self.readmits.insert(entry.index, (name, incarnation));
        }
        self.log.push(entry);
    }

    /// Appends an entry of this leader.
    pub fn lead_entry(&mut self, payload: &Payload<'_>) -> u64 {
        let index = self.log.last() + 1;
        self.push(Entry {
            index,
            term: self.hard.term,
            payload: payload.encode(),
        });
        index
    }

    pub fn truncate(&mut self, index: u64) {
        self.log.truncate(index);
        self.readmits.split_off(&(index + 1));
        self.floor = self.floor.min(index);
        self.stored = self.stored.min(index);
    }

    /// The value that a majority reaches: `own` is this host's, `of` gives that of a peer.
    pub fn agreed<T: Ord>(&self, own: T, of: impl Fn(&Progress) -> T, all: bool) -> Option<T> {
        let mut values = Vec::new();
        if all || self.is_voter() {
            values.push(own);
        }
        for (name, progress) in &self.peers {
            let counts = progress
                .identity
                .as_ref()
                .is_some_and(|identity| all || self.counts(name, identity.incarnation));
            if counts {
                values.push(of(progress));
            }
        }
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.majority() - 1)
    }
}
