//! Fake of the replicated log: its commands, its leader, and what each control host has stored.
//!
//! It models only the guarantees of the consensus protocol. The protocol itself is modelled in the
//! tests of `agree`.

use std::time::{Duration, Instant};

use control::machine::Command;
use rand::RngExt as _;

use crate::network::{Network, Node, ZONES};

/// Time after which a leader without answers from a majority stops acting as the leader.
pub(crate) const LEADERSHIP_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The log, with the leader and the progress of each control host.
#[derive(Debug)]
pub(crate) struct ReplicatedLog {
    /// Commands; index 1 is the first.
    pub(crate) commands: Vec<Command>,
    /// Number of the current leadership; each election adds 1.
    pub(crate) epoch: u64,
    pub(crate) leader: Node,
    /// Number of commands that the leader knows to be stored by a majority.
    pub(crate) committed: usize,
    /// Length of the log at the election. A leader acts only after it has applied this many
    /// commands.
    pub(crate) barrier: usize,
    /// Time at which a voter last answered the leader, which makes a majority of three hosts.
    pub(crate) last_quorum_contact: Instant,
    election_timeout: Duration,
    /// Number of commands that each host has stored.
    pub(crate) stored: [usize; ZONES],
    /// Hosts that may have lost stored commands and therefore have no vote.
    pub(crate) learner: [bool; ZONES],
}

impl ReplicatedLog {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            commands: Vec::new(),
            epoch: 0,
            leader: 0,
            committed: 0,
            barrier: 0,
            last_quorum_contact: now,
            election_timeout: Duration::ZERO,
            stored: [0; ZONES],
            learner: [false; ZONES],
        }
    }

    /// Appends a command on the leader of `epoch` and returns its index.
    pub(crate) fn propose(&mut self, node: Node, epoch: u64, command: Command) -> Option<usize> {
        if (node, epoch) != (self.leader, self.epoch) {
            return None;
        }
        self.commands.push(command);
        self.stored[node] = self.commands.len();
        Some(self.commands.len())
    }

    /// Records that a host answered the leader, and advances the committed part of the log.
    pub(crate) fn record_append_reply(&mut self, now: Instant, node: Node) {
        if self.learner[node] {
            // A learner becomes a voter again once it has stored the whole log.
            self.learner[node] = self.stored[node] < self.commands.len();
            return;
        }
        self.last_quorum_contact = now;
        let stored_by_majority = |index: &usize| {
            let mut hosts = 0..ZONES;
            let count = hosts
                .by_ref()
                .filter(|h| !self.learner[*h] && self.stored[*h] >= *index);
            count.count() > ZONES / 2
        };
        let last = (self.committed + 1..=self.commands.len())
            .rev()
            .find(stored_by_majority);
        self.committed = last.unwrap_or(self.committed);
    }

    /// After the election timeout, elects a voter that reaches another voter and has stored at
    /// least as many commands as that one.
    pub(crate) fn elect<M>(&mut self, network: &mut Network<M>) -> Option<Node> {
        if self.epoch > 0 && network.now < self.last_quorum_contact + self.election_timeout {
            return None;
        }
        let first = network.random.random_range(0..ZONES);
        let (stored, learner) = (&self.stored, &self.learner);
        let voters = || {
            (first..first + ZONES)
                .map(|i| i % ZONES)
                .filter(|h| !learner[*h])
        };
        let wins = |h: &Node| {
            voters().any(|o| o != *h && network.linked(*h, o) && stored[o] <= stored[*h])
        };
        let leader = voters().find(wins)?;
        self.leader = leader;
        self.epoch += 1;
        self.commands.truncate(self.stored[leader]);
        self.barrier = self.commands.len();
        for stored in &mut self.stored {
            *stored = self.barrier.min(*stored);
        }
        self.last_quorum_contact = network.now;
        self.election_timeout = network.between(600, 1_200);
        Some(leader)
    }
}
