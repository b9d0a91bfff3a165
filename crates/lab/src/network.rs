//! Simulated network between the fakes: virtual time, message delivery and faults.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// Number of a process, in the order: control hosts, entry processes, databases, operators.
pub(crate) type Node = usize;

/// Number of zones; each has one control host, entry process and database.
pub(crate) const ZONES: usize = 3;
/// Number of the first entry process.
pub(crate) const ENTRY: Node = 3;
/// Number of the first database.
pub(crate) const MEMBER: Node = 6;
/// Number of the first operator.
pub(crate) const OPERATOR: Node = 9;
/// Number of processes.
pub(crate) const NODES: usize = 11;

#[derive(Debug)]
struct Delivery<M> {
    at: Instant,
    sequence: u64,
    from: Node,
    to: Node,
    boot: u64,
    message: M,
}

impl<M> PartialEq for Delivery<M> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<M> Eq for Delivery<M> {}

impl<M> PartialOrd for Delivery<M> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Delivery<M> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// The network, and the state of the processes that it connects.
#[derive(Debug)]
pub(crate) struct Network<M> {
    pub(crate) now: Instant,
    pub(crate) random: SmallRng,
    queue: BinaryHeap<Reverse<Delivery<M>>>,
    sent: u64,
    /// Number of cuts in force by sender and receiver; cuts may overlap.
    cuts: [[u8; NODES]; NODES],
    /// Number of overlapping freezes of each process.
    frozen: [u8; NODES],
    /// Number of overlapping stops of each process.
    down: [u8; NODES],
    /// Number of stops and starts of each process; messages to an earlier one are dropped.
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

    /// Returns a random duration from `low` to `high` milliseconds.
    pub(crate) fn between(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_micros(self.random.random_range(low * 1_000..=high * 1_000))
    }

    /// Whether a process is neither stopped nor frozen.
    pub(crate) fn runs(&self, node: Node) -> bool {
        self.down[node] == 0 && self.frozen[node] == 0
    }

    /// Whether a connection from `from` to `to` is refused: the process is down, but its host is
    /// reachable.
    pub(crate) fn refuses(&self, from: Node, to: Node) -> bool {
        self.down[to] > 0 && self.cuts[from][to] == 0 && self.cuts[to][from] == 0
    }

    /// Whether two processes are running and not cut off from each other.
    pub(crate) fn linked(&self, a: Node, b: Node) -> bool {
        self.runs(a) && self.runs(b) && self.cuts[a][b] == 0 && self.cuts[b][a] == 0
    }

    /// Sends a message with a random delay of up to 10 ms, so that messages may be reordered.
    pub(crate) fn send(&mut self, from: Node, to: Node, message: M) {
        let delay = self.between(0, 10);
        self.send_after(delay, from, to, message);
    }

    /// Sends a message with a given delay, unless the direction is cut.
    pub(crate) fn send_after(&mut self, delay: Duration, from: Node, to: Node, message: M) {
        if self.cuts[from][to] > 0 {
            return;
        }
        self.sent += 1;
        self.queue.push(Reverse(Delivery {
            at: self.now + delay,
            sequence: self.sent,
            from,
            to,
            boot: self.boots[to],
            message,
        }));
    }

    /// Returns the next message that arrives before `until`, and advances the time to its arrival.
    ///
    /// Messages to a frozen process are delayed until it resumes; messages sent to a process before
    /// its restart are dropped.
    pub(crate) fn next(&mut self, until: Instant) -> Option<(Node, Node, M)> {
        while self.queue.peek().is_some_and(|Reverse(t)| t.at < until) {
            let Reverse(mut delivery) = self.queue.pop()?;
            self.now = self.now.max(delivery.at);
            let to = delivery.to;
            if self.cuts[delivery.from][to] > 0
                || self.down[to] > 0
                || self.boots[to] != delivery.boot
            {
                continue;
            }
            if self.frozen[to] > 0 {
                delivery.at = until;
                self.queue.push(Reverse(delivery));
                continue;
            }
            return Some((delivery.from, to, delivery.message));
        }
        self.now = until;
        None
    }

    /// Adds (`1`) or removes (`-1`) a cut between `node` and `others`, of what it sends, receives
    /// or both.
    pub(crate) fn cut(
        &mut self,
        node: Node,
        others: impl Iterator<Item = Node>,
        (sends, receives): (bool, bool),
        delta: i8,
    ) {
        for other in others.filter(|other| *other != node) {
            if sends {
                let cut = &mut self.cuts[node][other];
                *cut = cut.wrapping_add_signed(delta);
            }
            if receives {
                let cut = &mut self.cuts[other][node];
                *cut = cut.wrapping_add_signed(delta);
            }
        }
    }

    /// Adds (`1`) or removes (`-1`) a cut of one direction between two processes.
    pub(crate) fn unlink(&mut self, from: Node, to: Node, delta: i8) {
        let cut = &mut self.cuts[from][to];
        *cut = cut.wrapping_add_signed(delta);
    }

    /// Adds (`1`) or removes (`-1`) a freeze of a process.
    pub(crate) fn freeze(&mut self, node: Node, delta: i8) {
        self.frozen[node] = self.frozen[node].wrapping_add_signed(delta);
    }

    /// Adds (`1`) or removes (`-1`) a stop of a process; returns whether it is up afterwards.
    pub(crate) fn stop(&mut self, node: Node, delta: i8) -> bool {
        self.down[node] = self.down[node].wrapping_add_signed(delta);
        self.boots[node] += 1;
        self.down[node] == 0
    }
}
