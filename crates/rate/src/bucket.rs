//! Token bucket of one organisation at one holder.

use std::time::{Duration, Instant};

use crate::{
    Grant, Milli, Share,
    share::{OPERATION, milli},
};

/// Time over which demand is averaged.
const DEMAND_SPAN: f64 = 5.0;
/// Time for which operations are refused at once after an answer that nothing is left.
const EXHAUSTED_FOR: Duration = Duration::from_millis(400);

/// Token bucket, with the demand for it.
#[derive(Debug)]
pub(crate) struct Bucket {
    pub(crate) share: Share,
    /// Thousandths of operations.
    tokens: f64,
    filled: Instant,
    /// End of the share.
    until: Instant,
    /// Term of the leader that extended the share last.
    pub(crate) leader: u64,
    /// Number of admitted operations that were not sent yet.
    reserved: u32,
    /// Operations asked for per second.
    demand: f64,
    averaged: Instant,
    /// Number of operations that wait for the next answer.
    pub(crate) waiting: u32,
    /// Operations are refused until then.
    refuse_until: Option<Instant>,
    /// Tokens beyond a reduced depth, in thousandths.
    returned: f64,
    /// Number of operations that may run in addition, until `instant_until`.
    instant: u32,
    instant_until: Instant,
}

impl Bucket {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            share: Share::default(),
            tokens: 0.0,
            filled: now,
            until: now,
            leader: 0,
            reserved: 0,
            demand: 0.0,
            averaged: now,
            waiting: 0,
            refuse_until: None,
            returned: 0.0,
            instant: 0,
            instant_until: now,
        }
    }

    /// Adds what flowed in until `now`, at most until the end of the share.
    pub(crate) fn fill(&mut self, now: Instant) {
        let end = now.min(self.until);
        let span = end.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        let depth = f64::from(self.share.depth);
        self.tokens = f64::from(self.share.rate)
            .mul_add(span, self.tokens)
            .min(depth);
        if now >= self.instant_until {
            self.instant = 0;
        }
        if now >= self.until {
            self.share = Share::default();
            self.tokens = 0.0;
        }
    }

    pub(crate) fn count_asked(&mut self, now: Instant) {
        self.average(now);
        self.demand += 1.0 / DEMAND_SPAN;
    }

    fn average(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.averaged).as_secs_f64();
        self.averaged = self.averaged.max(now);
        self.demand *= (-span / DEMAND_SPAN).exp();
    }

    /// Operations asked for per second, in thousandths.
    pub(crate) fn demand(&mut self, now: Instant) -> Milli {
        self.average(now);
        milli(self.demand)
    }

    /// Reserves a token for an operation. Returns `false` if there is none.
    pub(crate) fn reserve(&mut self, now: Instant) -> bool {
        self.fill(now);
        let needed =
            f64::from(OPERATION) * f64::from((self.reserved + 1).saturating_sub(self.instant));
        let free = self.tokens >= needed;
        self.reserved += u32::from(free);
        free
    }

    pub(crate) const fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Takes a token. Returns `false` if there is none.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        self.fill(now);
        if self.instant > 0 {
            self.instant -= 1;
            return true;
        }
        let there = self.tokens >= f64::from(OPERATION);
        if there {
            self.tokens -= f64::from(OPERATION);
        }
        there
    }

    pub(crate) fn refuses(&self, now: Instant) -> bool {
        self.refuse_until.is_some_and(|until| now < until)
    }

    pub(crate) fn tokens(&self) -> Milli {
        milli(self.tokens / f64::from(OPERATION))
    }

    /// Takes the tokens that the next call gives back.
    pub(crate) fn take_returned(&mut self) -> Milli {
        milli(std::mem::take(&mut self.returned) / f64::from(OPERATION))
    }

    /// Reduces the depth of a bucket that doesn't fill to what it holds, so that the rest can be lent
    /// to others.
    pub(crate) fn shrink(&mut self) {
        if self.share.rate == 0 {
            self.share.depth = self.tokens();
            self.tokens = f64::from(self.share.depth);
        }
    }

    pub(crate) const fn is_reserved(&self) -> bool {
        self.reserved > 0
    }

    pub(crate) fn is_in_force(&self, now: Instant) -> bool {
        now < self.until && !self.share.is_zero()
    }

    /// Adds operations that may run until `until`.
    pub(crate) fn add_instant(&mut self, operations: u32, until: Instant) {
        self.instant = self.instant.saturating_add(operations);
        self.instant_until = until;
    }

    /// Extends the share until `until` by an answer of `leader`.
    pub(crate) fn extend(&mut self, until: Instant, leader: u64) {
        self.leader = leader;
        self.until = self.until.max(until);
    }

    /// Applies a changed share.
    pub(crate) fn apply(&mut self, grant: &Grant, now: Instant) {
        self.share = grant.share;
        let tokens = self.tokens + f64::from(grant.tokens);
        self.tokens = tokens.min(f64::from(grant.share.depth));
        self.returned += tokens - self.tokens;
        self.refuse_until = grant.exhausted.then(|| now + EXHAUSTED_FOR);
    }
}
