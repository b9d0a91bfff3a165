//! Fake of the replicated log: what is stored, committed and applied where, and who leads.
//!
//! The consensus protocol has its own model in the tests of `agree`; here only its promises count.

use std::time::{Duration, Instant};

use control::machine::Command;
use rand::RngExt as _;

use crate::network::{Network, Node, ZONES};

/// Longest time for which a leader that lost its majority believes that it leads.
pub(crate) const BELIEF: Duration = Duration::from_millis(1_200);

/// The log.
#[derive(Debug)]
pub(crate) struct Ledger {
    /// Commands; index 1 is the first.
    pub(crate) commands: Vec<Command>,
    /// Number of the leadership.
    pub(crate) epoch: u64,
    pub(crate) leader: Node,
    /// Commands that the leader knows to be stored by a majority.
    pub(crate) committed: usize,
    /// Length at the election: a leader acts once it has applied that.
    pub(crate) barrier: usize,
    /// Last time a majority answered the leader.
    pub(crate) heard: Instant,
    patience: Duration,
    /// Commands that each host has stored.
    pub(crate) stored: [usize; ZONES],
    /// Hosts that may have lost what they had stored: they have no vote.
    pub(crate) learner: [bool; ZONES],
}

impl Ledger {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            commands: Vec::new(),
            epoch: 0,
            leader: 0,
            committed: 0,
            barrier: 0,
            heard: now,
            patience: Duration::ZERO,
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

    /// Notes that a host answered the leader.
    pub(crate) fn answered(&mut self, now: Instant, node: Node) {
        if self.learner[node] {
            // It counts again once it holds everything.
            self.learner[node] = self.stored[node] < self.commands.len();
            return;
        }
        self.heard = now;
        let voters = |index: &usize| {
            let mut hosts = 0..ZONES;
            let count = hosts
                .by_ref()
                .filter(|h| !self.learner[*h] && self.stored[*h] >= *index);
            count.count() > ZONES / 2
        };
        let top = (self.committed + 1..=self.commands.len())
            .rev()
            .find(voters);
        self.committed = top.unwrap_or(self.committed);
    }

    /// Elects a host that reaches another voter and has stored at least as much, once the leader
    /// was not heard from for long enough.
    pub(crate) fn elect<M>(&mut self, network: &mut Network<M>) -> Option<Node> {
        if self.epoch > 0 && network.now < self.heard + self.patience {
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
        self.heard = network.now;
        self.patience = network.between(600, 1_200);
        Some(leader)
    }
}
