//! Bounded request queue with deadlines.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Divisor of a new sample in the exponential moving averages.
const SMOOTHING: u32 = 16;
/// Number of average service times that must be left before the deadline when a request starts.
/// With one, half of the requests that start last finish after their deadline, and the work of the
/// database on them is wasted.
const REQUIRED_SERVICE_TIMES: u32 = 2;

/// Why a request was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueError {
    /// The queue has reached its limit.
    Full,
    /// The request would not finish before its deadline.
    Late,
}

#[derive(Debug)]
struct QueuedRequest<T> {
    item: T,
    deadline: Instant,
}

/// Requests that wait for one database, in first-in, first-out order.
///
/// A caller has one request at a time, so its next request goes behind those of all others and the
/// order is fair between callers. A request that could not finish before its deadline is refused
/// on arrival or dropped at its turn, so that no work is wasted on it under overload.
#[derive(Debug)]
pub struct Queue<T> {
    limit: usize,
    waiting: VecDeque<QueuedRequest<T>>,
    /// Average time that a request occupies the database.
    service_time: Duration,
    /// Average time between two requests that leave the queue.
    pop_interval: Duration,
    last_pop: Option<Instant>,
}

impl<T> Queue<T> {
    /// Creates an empty queue for up to `limit` requests.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            waiting: VecDeque::new(),
            service_time: Duration::ZERO,
            pop_interval: Duration::ZERO,
            last_pop: None,
        }
    }

    /// Changes the limit. Queued requests above it stay.
    pub const fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Adds a request at the end.
    ///
    /// # Errors
    /// The queue is full, or the request is not expected to finish before its deadline.
    pub fn push(&mut self, item: T, deadline: Instant, now: Instant) -> Result<(), QueueError> {
        if self.waiting.len() >= self.limit {
            return Err(QueueError::Full);
        }
        if now + self.expected_wait() + self.service_time * REQUIRED_SERVICE_TIMES > deadline {
            // An empty queue accepts the request: without any request served, the averages would
            // never change and every request would be refused.
            if !self.waiting.is_empty() {
                return Err(QueueError::Late);
            }
        }
        self.waiting.push_back(QueuedRequest { item, deadline });
        Ok(())
    }

    /// Removes and returns the first request that can still finish before its deadline. Requests
    /// before it that can't are passed to `on_expired`. The last request in the queue is returned
    /// unless its deadline has passed.
    pub fn pop(&mut self, now: Instant, on_expired: impl FnMut(T)) -> Option<T> {
        self.pop_if(now, |_| true, on_expired)
    }

    /// Like [`Queue::pop`], but passes over requests that `usable` is false for. They keep their
    /// places.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use route::Queue;
    ///
    /// let now = Instant::now();
    /// let mut queue = Queue::new(10);
    /// for item in 1..=3 {
    ///     queue.push(item, now + Duration::from_secs(1), now)?;
    /// }
    /// assert_eq!(queue.pop_if(now, |item| item % 2 == 0, drop), Some(2));
    /// assert_eq!(queue.pop(now, drop), Some(1));
    /// # Ok::<(), route::QueueError>(())
    /// ```
    pub fn pop_if(
        &mut self,
        now: Instant,
        mut usable: impl FnMut(&T) -> bool,
        mut on_expired: impl FnMut(T),
    ) -> Option<T> {
        let mut index = 0;
        while let Some(request) = self.waiting.get(index) {
            let last = self.waiting.len() == 1;
            if now >= request.deadline
                || (!last && now + self.service_time * REQUIRED_SERVICE_TIMES > request.deadline)
            {
                if let Some(request) = self.waiting.remove(index) {
                    on_expired(request.item);
                }
                continue;
            }
            if !usable(&request.item) {
                index += 1;
                continue;
            }
            if let Some(previous) = self.last_pop.replace(now) {
                // A working database finishes at least one statement per service time. A longer
                // gap is an outage, which says nothing about the wait after it.
                let mut gap = now.saturating_duration_since(previous);
                if !self.service_time.is_zero() {
                    gap = gap.min(self.service_time);
                }
                self.pop_interval = moving_average(self.pop_interval, gap);
            }
            if last {
                // The time until the next request arrives does not measure the capacity.
                self.last_pop = None;
            }
            return self.waiting.remove(index).map(|request| request.item);
        }
        if self.waiting.is_empty() {
            self.last_pop = None;
        }
        None
    }

    /// Returns the queued requests in their order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiting.iter().map(|request| &request.item)
    }

    /// Removes and returns the first request regardless of its deadline, to send it elsewhere.
    pub fn pop_front(&mut self) -> Option<T> {
        self.waiting.pop_front().map(|request| request.item)
    }

    /// Keeps only the requests for which `keep` returns true, for example those whose caller is
    /// still connected.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.waiting.retain(|request| keep(&request.item));
    }

    /// Records how long a finished request occupied the database.
    pub fn record_service_time(&mut self, took: Duration) {
        self.service_time = moving_average(self.service_time, took);
    }

    /// Expected wait of a request that is added now.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let ahead = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.pop_interval.saturating_mul(ahead)
    }

    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

fn moving_average(average: Duration, sample: Duration) -> Duration {
    if average.is_zero() {
        sample
    } else {
        (average * (SMOOTHING - 1) + sample) / SMOOTHING
    }
}
