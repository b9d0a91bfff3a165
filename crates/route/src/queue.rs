//! Bounded waiting queue with deadlines.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Weight of a new measurement in a running mean.
const WEIGHT: u32 = 16;
/// Mean service times that a request must have left when it starts. With a single one, half of the
/// requests that start last end after their deadline: the database did their work for nothing.
const RESERVE: u32 = 2;

/// Why a request was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueError {
    /// The queue holds as many requests as it may.
    Full,
    /// The request would wait past its deadline.
    Late,
}

#[derive(Debug)]
struct Waiting<T> {
    item: T,
    deadline: Instant,
}

/// Requests that wait for one database, first come first served.
///
/// A caller has one request at a time, so that a caller that comes back goes behind all others and
/// the order is fair between callers. A request that could not finish before its deadline is
/// refused at once or dropped when its turn comes, so that no work is spent on it under overload.
#[derive(Debug)]
pub struct Queue<T> {
    limit: usize,
    waiting: VecDeque<Waiting<T>>,
    service: Duration,
    interval: Duration,
    served: Option<Instant>,
}

impl<T> Queue<T> {
    /// Makes an empty queue for `limit` requests.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            waiting: VecDeque::new(),
            service: Duration::ZERO,
            interval: Duration::ZERO,
            served: None,
        }
    }

    /// Changes the limit; requests over it stay.
    pub const fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Adds a request at the end.
    ///
    /// # Errors
    /// The queue is full, or the expected wait ends after the deadline.
    pub fn push(&mut self, item: T, deadline: Instant, now: Instant) -> Result<(), QueueError> {
        if self.waiting.len() >= self.limit {
            return Err(QueueError::Full);
        }
        if now + self.expected_wait() + self.service * RESERVE > deadline {
            // Without any request served, the means would never change and refuse for ever.
            if !self.waiting.is_empty() {
                return Err(QueueError::Late);
            }
        }
        self.waiting.push_back(Waiting { item, deadline });
        Ok(())
    }

    /// Takes the first request that can still finish before its deadline. Requests that can't are
    /// handed to `late`.
    pub fn pop(&mut self, now: Instant, mut late: impl FnMut(T)) -> Option<T> {
        while let Some(first) = self.waiting.pop_front() {
            let last = self.waiting.is_empty();
            if now >= first.deadline || (!last && now + self.service * RESERVE > first.deadline) {
                late(first.item);
                continue;
            }
            if let Some(before) = self.served.replace(now) {
                // While the database serves, one statement at least ends in the time of one. A longer
                // pause is an outage, and tells nothing about the wait after it.
                let mut gap = now.saturating_duration_since(before);
                if !self.service.is_zero() {
                    gap = gap.min(self.service);
                }
                self.interval = mean(self.interval, gap);
            }
            if last {
                // The time until the next request arrives is no measure of the capacity.
                self.served = None;
            }
            return Some(first.item);
        }
        self.served = None;
        None
    }

    /// Takes the first request, whatever its deadline, to send it elsewhere.
    pub fn pop_front(&mut self) -> Option<T> {
        self.waiting.pop_front().map(|waiting| waiting.item)
    }

    /// Keeps only requests for which `keep` holds, for example those whose caller still waits.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.waiting.retain(|waiting| keep(&waiting.item));
    }

    /// Notes how long a request kept the database busy.
    pub fn record_service_time(&mut self, busy: Duration) {
        self.service = mean(self.service, busy);
    }

    /// Expected wait of a request that is added now.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let ahead = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.interval.saturating_mul(ahead)
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

fn mean(old: Duration, new: Duration) -> Duration {
    if old.is_zero() {
        new
    } else {
        (old * (WEIGHT - 1) + new) / WEIGHT
    }
}
