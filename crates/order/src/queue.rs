//! Bounded queue of requests.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use base::Map;

use crate::Terms;

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
struct Request<T> {
    item: T,
    terms: Terms,
    arrival: Instant,
}

/// Requests that wait for one database.
///
/// Requests that can still be answered within their objective go before those that can't, then those
/// of a higher priority. Among these, organisations take turns, and in each round the earliest
/// objective goes first. Priorities rise with the wait, for organisations that have had no turn in
/// the current round. Requests with nothing but a deadline are served
/// first in, first out.
///
/// A request that could not finish before its deadline is refused on arrival or dropped when the
/// next one is served, so that no work is wasted on it under overload.
#[derive(Debug)]
pub struct Queue<T> {
    limit: usize,
    /// Waiting requests in the order of their arrival.
    waiting: Vec<Request<T>>,
    /// Rounds in which organisations are served next, for those that have had a turn in the current
    /// round.
    rounds: Map<Option<Rc<str>>, u64>,
    /// Current round, in which each organisation has a turn.
    round: u64,
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
            waiting: Vec::new(),
            rounds: Map::default(),
            round: 0,
            service_time: Duration::ZERO,
            pop_interval: Duration::ZERO,
            last_pop: None,
        }
    }

    /// Changes the limit. Queued requests above it stay.
    pub const fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Adds a request. If the queue is full, the last request in the order makes room for one that
    /// goes before it, and is returned to be refused.
    ///
    /// # Errors
    /// The queue is full, or the request is not expected to finish before its deadline.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use order::{Queue, Terms};
    ///
    /// let now = Instant::now();
    /// let terms = |priority| Terms { priority, ..Terms::until(now + Duration::from_secs(1)) };
    /// let mut queue = Queue::new(2);
    /// queue.push("low", terms(2), now)?;
    /// queue.push("high", terms(0), now)?;
    /// assert_eq!(queue.push("middle", terms(1), now)?, Some("low"));
    /// assert_eq!(queue.pop(now, drop), Some("high"));
    /// # Ok::<(), order::QueueError>(())
    /// ```
    pub fn push(&mut self, item: T, terms: Terms, now: Instant) -> Result<Option<T>, QueueError> {
        let request = Request {
            item,
            terms,
            arrival: now,
        };
        let place = self.place(&request, now);
        let ahead = |other: &&Request<T>| self.place(other, now) <= place;
        let wait = self.wait_behind(self.waiting.iter().filter(ahead).count());
        // An empty queue accepts the request: without any request served, the averages would never
        // change and every request would be refused.
        let expected = now + wait + self.service_time * REQUIRED_SERVICE_TIMES;
        if !self.waiting.is_empty() && expected > request.terms.deadline {
            return Err(QueueError::Late);
        }
        let mut displaced = None;
        if self.waiting.len() >= self.limit {
            let places = self.waiting.iter().map(|other| self.place(other, now));
            let last = places.enumerate().max_by_key(|(_, place)| *place);
            let (index, _) = last
                .filter(|(_, last)| *last > place)
                .ok_or(QueueError::Full)?;
            displaced = Some(self.waiting.remove(index).item);
        }
        self.waiting.push(request);
        Ok(displaced)
    }

    /// Removes and returns the first request that can still finish before its deadline. Those that
    /// can't are passed to `on_expired`. The only request in the queue is returned unless its
    /// deadline has passed.
    pub fn pop(&mut self, now: Instant, on_expired: impl FnMut(T)) -> Option<T> {
        self.pop_if(now, |_| true, on_expired)
    }

    /// Like [`Queue::pop`], but passes over requests that `usable` is false for. They keep their
    /// places.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use order::{Queue, Terms};
    ///
    /// let now = Instant::now();
    /// let mut queue = Queue::new(10);
    /// for item in 1..=3 {
    ///     queue.push(item, Terms::until(now + Duration::from_secs(1)), now)?;
    /// }
    /// assert_eq!(queue.pop_if(now, |item| item % 2 == 0, drop), Some(2));
    /// assert_eq!(queue.pop(now, drop), Some(1));
    /// # Ok::<(), order::QueueError>(())
    /// ```
    pub fn pop_if(
        &mut self,
        now: Instant,
        mut usable: impl FnMut(&T) -> bool,
        mut on_expired: impl FnMut(T),
    ) -> Option<T> {
        let done = now + self.service_time * REQUIRED_SERVICE_TIMES;
        let mut index = 0;
        while let Some(request) = self.waiting.get(index) {
            let deadline = request.terms.deadline;
            if now >= deadline || (self.waiting.len() > 1 && done > deadline) {
                on_expired(self.waiting.remove(index).item);
            } else {
                index += 1;
            }
        }
        if self.waiting.is_empty() {
            self.last_pop = None;
            return None;
        }
        let first = self.first(now);
        let first = first.filter(|index| usable(&self.waiting[*index].item));
        let index = first.or_else(|| {
            let mut order = self.order(now).into_iter();
            order.find(|index| usable(&self.waiting[*index].item))
        })?;
        let request = self.waiting.remove(index);
        self.record_turn(request.terms.owner);
        if let Some(previous) = self.last_pop.replace(now) {
            // A working database finishes at least one statement per service time. A longer
            // gap is an outage, which says nothing about the wait after it.
            let mut gap = now.saturating_duration_since(previous);
            if !self.service_time.is_zero() {
                gap = gap.min(self.service_time);
            }
            self.pop_interval = moving_average(self.pop_interval, gap);
        }
        if self.waiting.is_empty() {
            // The time until the next request arrives does not measure the capacity.
            self.last_pop = None;
        }
        Some(request.item)
    }

    /// Counts a turn of an organisation.
    fn record_turn(&mut self, owner: Option<Rc<str>>) {
        let round = self.rounds.get(&owner).copied().unwrap_or(self.round);
        self.rounds.insert(owner, round + 1);
        let waiting = self.waiting.iter();
        let earliest = waiting.map(|request| self.next_round(&request.terms)).min();
        self.round = earliest.unwrap_or(round + 1);
        let current = self.round;
        self.rounds.retain(|_, round| *round > current);
    }

    /// Place of a request in the order, apart from the turns of the organisations; smaller ones go
    /// first.
    fn place(&self, request: &Request<T>, now: Instant) -> (bool, u32, Instant) {
        let Request { terms, arrival, .. } = request;
        // The backlog of an organisation that sends more than its part would otherwise rise above
        // the requests of all others.
        let had_turn = self.next_round(terms) > self.round;
        let priority = if had_turn {
            terms.priority
        } else {
            terms.priority_at(now)
        };
        let due = terms.objective.map_or(*arrival, |(due, _)| due);
        (terms.is_late(now + self.service_time), priority, due)
    }

    /// Round in which an organisation is served next.
    fn next_round(&self, terms: &Terms) -> u64 {
        self.rounds.get(&terms.owner).copied().unwrap_or(self.round)
    }

    /// Index of the request that is served next, without sorting the others.
    fn first(&self, now: Instant) -> Option<usize> {
        let requests = self.waiting.iter().enumerate();
        let first = requests.min_by_key(|(_, request)| {
            let (late, priority, due) = self.place(request, now);
            (late, priority, self.next_round(&request.terms), due)
        });
        first.map(|(index, _)| index)
    }

    /// Indices of the waiting requests in the order in which they are served.
    fn order(&self, now: Instant) -> Vec<usize> {
        let places = self.waiting.iter().map(|request| self.place(request, now));
        let mut places: Vec<_> = places.zip(0..).collect();
        places.sort_unstable();
        let mut turns: Map<&Option<Rc<str>>, u64> = Map::default();
        let mut order: Vec<_> = places
            .into_iter()
            .map(|((late, priority, _), index)| {
                let terms = &self.waiting[index].terms;
                let turn = turns
                    .entry(&terms.owner)
                    .or_insert_with(|| self.next_round(terms));
                *turn += 1;
                ((late, priority, *turn), index)
            })
            .collect();
        order.sort_by_key(|(place, _)| *place);
        order.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns the queued requests in the order in which they are served.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = &T> {
        let order = self.order(now).into_iter();
        order.map(|index| &self.waiting[index].item)
    }

    /// Returns the first request in the order for which `wanted` returns true. It keeps its place.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use order::{Queue, Terms};
    ///
    /// let now = Instant::now();
    /// let mut queue = Queue::new(10);
    /// for item in 1..=3 {
    ///     queue.push(item, Terms::until(now + Duration::from_secs(1)), now)?;
    /// }
    /// assert_eq!(queue.find_mut(now, |item| *item > 1), Some(&mut 2));
    /// assert_eq!(queue.len(), 3);
    /// # Ok::<(), order::QueueError>(())
    /// ```
    pub fn find_mut(&mut self, now: Instant, wanted: impl Fn(&T) -> bool) -> Option<&mut T> {
        if self.waiting.is_empty() {
            return None;
        }
        let mut order = self.order(now).into_iter();
        let index = order.find(|index| wanted(&self.waiting[*index].item))?;
        self.waiting.get_mut(index).map(|request| &mut request.item)
    }

    /// Removes and returns all requests, to send them elsewhere.
    pub fn drain(&mut self) -> impl Iterator<Item = T> {
        self.waiting.drain(..).map(|request| request.item)
    }

    /// Keeps only the requests for which `keep` returns true, for example those whose caller is
    /// still connected.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.waiting.retain(|request| keep(&request.item));
    }

    /// Number of queued requests by priority.
    #[must_use]
    pub fn priorities(&self) -> BTreeMap<u32, usize> {
        let mut counts = BTreeMap::new();
        for request in &self.waiting {
            *counts.entry(request.terms.priority).or_default() += 1;
        }
        counts
    }

    /// Records how long a finished request occupied the database.
    pub fn record_service_time(&mut self, took: Duration) {
        self.service_time = moving_average(self.service_time, took);
    }

    /// Expected wait of a request that goes behind all others.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        self.wait_behind(self.waiting.len())
    }

    fn wait_behind(&self, ahead: usize) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
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
