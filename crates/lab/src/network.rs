//! Virtual time and messages between fakes.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// Number of a process: control hosts, entry processes, databases, operators.
pub(crate) type Node = usize;

/// Hosts of each kind, one in each zone.
pub(crate) const ZONES: usize = 3;
/// Number of the first entry process.
pub(crate) const ENTRY: Node = 3;
/// Number of the first database.
pub(crate) const MEMBER: Node = 6;
/// Number of the first operator.
pub(crate) const OPERATOR: Node = 9;
/// All processes.
pub(crate) const NODES: usize = 11;

#[derive(Debug)]
struct Timed<M> {
    at: Instant,
    number: u64,
    from: Node,
    to: Node,
    boot: u64,
    message: M,
}

impl<M> PartialEq for Timed<M> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<M> Eq for Timed<M> {}

impl<M> PartialOrd for Timed<M> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Timed<M> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// The network, with the state of the processes that it connects.
#[derive(Debug)]
pub(crate) struct Network<M> {
    pub(crate) now: Instant,
    pub(crate) random: SmallRng,
    queue: BinaryHeap<Reverse<Timed<M>>>,
    sent: u64,
    /// Number of cuts in force by sender and receiver; cuts may overlap.
    cuts: [[u8; NODES]; NODES],
    frozen: [u8; NODES],
    down: [u8; NODES],
    boots: [u64; NODES],
}

impl<M> Network<M> {
    pub(crate) fn new(now: Instant, seed: u64) -> Self {
        Self {
            now,
            random: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            sent: 0,
            cuts: [[0; NODES]; NODES],
            frozen: [0; NODES],
            down: [0; NODES],
            boots: [0; NODES],
        }
    }

    /// Random time from `low` to `high` milliseconds.
    pub(crate) fn between(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_micros(self.random.random_range(low * 1_000..=high * 1_000))
    }

    /// Whether a process runs.
    pub(crate) fn runs(&self, node: Node) -> bool {
        self.down[node] == 0 && self.frozen[node] == 0
    }

    /// Whether the host of `to` answers `from` that the process does not run.
    pub(crate) fn refuses(&self, from: Node, to: Node) -> bool {
        self.down[to] > 0 && self.cuts[from][to] == 0 && self.cuts[to][from] == 0
    }

    /// Whether two processes run and reach each other.
    pub(crate) fn linked(&self, a: Node, b: Node) -> bool {
        self.runs(a) && self.runs(b) && self.cuts[a][b] == 0 && self.cuts[b][a] == 0
    }

    /// Sends a message that takes up to 10 ms and may overtake others.
    pub(crate) fn send(&mut self, from: Node, to: Node, message: M) {
        let delay = self.between(0, 10);
        self.send_after(delay, from, to, message);
    }

    pub(crate) fn send_after(&mut self, delay: Duration, from: Node, to: Node, message: M) {
        if self.cuts[from][to] > 0 {
            return;
        }
        self.sent += 1;
        self.queue.push(Reverse(Timed {
            at: self.now + delay,
            number: self.sent,
            from,
            to,
            boot: self.boots[to],
            message,
        }));
    }

    /// Next message that arrives before `until`. A frozen process gets it after it goes on, and a
    /// restarted one gets nothing that was sent to it before.
    pub(crate) fn next(&mut self, until: Instant) -> Option<(Node, Node, M)> {
        while self.queue.peek().is_some_and(|Reverse(t)| t.at < until) {
            let Reverse(mut timed) = self.queue.pop()?;
            self.now = self.now.max(timed.at);
            let to = timed.to;
            if self.cuts[timed.from][to] > 0 || self.down[to] > 0 || self.boots[to] != timed.boot {
                continue;
            }
            if self.frozen[to] > 0 {
                timed.at = until;
                self.queue.push(Reverse(timed));
                continue;
            }
            return Some((timed.from, to, timed.message));
        }
        self.now = until;
        None
    }

    /// Adds (`1`) or takes back (`-1`) a cut of what `node` sends to and receives from `others`.
    pub(crate) fn cut(
        &mut self,
        node: Node,
        others: impl Iterator<Item = Node>,
        (sends, receives): (bool, bool),
        by: i8,
    ) {
        for other in others.filter(|other| *other != node) {
            if sends {
                let cut = &mut self.cuts[node][other];
                *cut = cut.wrapping_add_signed(by);
            }
            if receives {
                let cut = &mut self.cuts[other][node];
                *cut = cut.wrapping_add_signed(by);
            }
        }
    }

    /// Adds or takes back a cut of one direction between two processes.
    pub(crate) fn unlink(&mut self, from: Node, to: Node, by: i8) {
        let cut = &mut self.cuts[from][to];
        *cut = cut.wrapping_add_signed(by);
    }

    pub(crate) fn freeze(&mut self, node: Node, by: i8) {
        self.frozen[node] = self.frozen[node].wrapping_add_signed(by);
    }

    /// Ends (`1`) or starts (`-1`) a process; returns whether it runs again.
    pub(crate) fn stop(&mut self, node: Node, by: i8) -> bool {
        self.down[node] = self.down[node].wrapping_add_signed(by);
        self.boots[node] += 1;
        self.down[node] == 0
    }
}
