//! Shares lent of one organisation's limit.

use std::{cmp::Ordering, collections::VecDeque, time::Instant};

use base::Map;

use crate::{
    Ask, DEPOSED_WITHIN, Grant, INSTANT, Milli, Share, TERM,
    ledger::HolderId,
    share::{OPERATION, lendable, milli},
};

/// Least depth of a bucket with a rate. Most of what flows into a smaller one is lost.
const RATE_DEPTH: Milli = 4 * OPERATION;
/// Smallest change of a share, as a divisor of it, that is worth an answer.
const CHANGE_DIVISOR: Milli = 8;

/// Share of one holder.
#[derive(Debug, Clone, Copy)]
struct Loan {
    /// Share that the holder had at its last call.
    held: Share,
    /// Share of the answer to that call, which the holder may not have received.
    lent: Share,
    until: Instant,
    demand: Milli,
    /// Whether the share was lent or extended by this ledger while it was in force.
    confirmed: bool,
}

impl Loan {
    /// Bound on the share that the holder may use.
    fn bound(&self) -> Share {
        self.held.max(self.lent)
    }
}

/// What is lent of one organisation's limit, and the tokens that are left.
#[derive(Debug)]
pub(crate) struct Account {
    limit: Share,
    /// Sum of the shares of former leaders that this ledger took over; more may not be lent before
    /// `full_from`.
    claimed: Share,
    /// From then on, all shares of former leaders have ended.
    full_from: Instant,
    loans: Map<HolderId, Loan>,
    /// Tokens of the pool, in thousandths.
    pool: f64,
    filled: Instant,
    /// Instant tokens that may still be used, with their end.
    instants: VecDeque<(Instant, Milli)>,
}

impl Account {
    /// Account of a limit whose shares former leaders may have lent, until `full_from`.
    pub(crate) fn inherited(limit: Share, now: Instant, full_from: Instant) -> Self {
        Self {
            limit,
            claimed: Share::default(),
            full_from,
            loans: Map::default(),
            pool: 0.0,
            filled: now,
            instants: VecDeque::new(),
        }
    }

    /// Account of a limit from the first configuration, of which nothing was used yet.
    pub(crate) fn unused(limit: Share, now: Instant) -> Self {
        Self {
            pool: f64::from(limit.depth),
            ..Self::inherited(limit, now, now)
        }
    }

    /// Whether nothing is lent and nothing can be.
    pub(crate) fn is_closed(&self, now: Instant) -> bool {
        self.limit.is_zero() && self.loans.is_empty() && now >= self.full_from
    }

    pub(crate) fn set_limit(&mut self, limit: Share, now: Instant) {
        self.update(now);
        self.limit = limit;
    }

    /// Whether a holder has a share, and whether that is confirmed.
    pub(crate) fn holds(&self, holder: &HolderId) -> Option<bool> {
        self.loans.get(holder).map(|loan| loan.confirmed)
    }

    /// Sum of all shares that may be in use.
    pub(crate) fn lent(&self) -> Share {
        let loans = self.loans.values().map(Loan::bound);
        loans.fold(Share::default(), Share::plus)
    }

    /// What this ledger may use at all, for shares and its pool.
    fn budget(&self, now: Instant) -> Share {
        if now >= self.full_from {
            return self.limit;
        }
        let never_lent = if now + TERM >= self.full_from + INSTANT {
            self.limit.minus(lendable(self.limit))
        } else {
            Share::default()
        };
        self.limit.min(self.claimed.plus(never_lent))
    }

    /// What this ledger may lend as shares.
    fn share_budget(&self, now: Instant) -> Share {
        let lendable = lendable(self.limit);
        if now >= self.full_from {
            return lendable;
        }
        lendable.min(self.claimed)
    }

    /// Fills the pool and ends shares whose term is over.
    pub(crate) fn update(&mut self, now: Instant) {
        let budget = self.budget(self.filled).min(self.budget(now));
        let free = budget.minus(self.lent());
        let span = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.pool += f64::from(free.rate) * span;
        self.loans.retain(|_, loan| now < loan.until);
        while self
            .instants
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.instants.pop_front();
        }
        self.limit_pool(now);
    }

    /// Removes tokens beyond the depth that is not lent.
    fn limit_pool(&mut self, now: Instant) {
        let free = self.budget(now).minus(self.lent()).depth;
        let free = free.saturating_sub(self.outstanding());
        self.pool = self.pool.min(f64::from(free));
    }

    /// Instant tokens that may still be used.
    fn outstanding(&self) -> Milli {
        self.instants.iter().map(|(_, tokens)| *tokens).sum()
    }

    /// Records what a holder has and decides on its share. `acknowledged`: the holder applied an answer
    /// of this ledger, and none of another one since.
    pub(crate) fn lend(
        &mut self,
        now: Instant,
        holder: &HolderId,
        ask: &Ask,
        acknowledged: bool,
    ) -> Grant {
        self.update(now);
        let loan = self.loans.get(holder).copied();
        let known = loan.as_ref().map(Loan::bound).unwrap_or_default();
        let held = if acknowledged {
            ask.held
        } else {
            // A former leader that still answers may lend to others what it takes from this holder.
            ask.held.max(known)
        };
        let mut confirmed = loan.map_or(ask.held.is_zero(), |loan| loan.confirmed);
        if loan.is_some() && acknowledged && !confirmed {
            self.claimed = self.claimed.plus(held);
            confirmed = true;
        }
        self.pool += f64::from(ask.returned);
        let loan = Loan {
            held,
            lent: held,
            until: now + TERM + DEPOSED_WITHIN,
            demand: ask.demand,
            confirmed,
        };
        self.loans.insert(holder.clone(), loan);
        let share = self.share(now, holder, ask, confirmed);
        if let Some(loan) = self.loans.get_mut(holder) {
            loan.lent = share;
            if loan.bound().is_zero() && ask.demand == 0 {
                self.loans.remove(holder);
            }
        }
        self.limit_pool(now);
        let tokens = self.tokens(ask, share);
        self.pool -= f64::from(tokens);
        let there = ask.tokens.min(share.depth).saturating_add(tokens);
        let needed = ask.waiting.saturating_mul(OPERATION).saturating_sub(there);
        let instant = needed
            .div_ceil(OPERATION)
            .min(self.tokens_left() / OPERATION);
        if instant > 0 {
            self.pool -= f64::from(instant * OPERATION);
            self.instants
                .push_back((now + INSTANT, instant * OPERATION));
        }
        Grant {
            org: ask.org,
            share,
            tokens,
            instant,
            exhausted: instant * OPERATION < needed,
        }
    }

    /// Share of a holder by its part of the demand.
    fn share(&self, now: Instant, holder: &HolderId, ask: &Ask, confirmed: bool) -> Share {
        let whole = lendable(self.limit);
        let others = self.loans.iter().filter(|(other, _)| *other != holder);
        let others: Vec<_> = others.map(|(_, loan)| loan).collect();
        let lent = others.iter().map(|loan| loan.bound());
        let lent = lent.fold(Share::default(), Share::plus);
        if now < self.full_from && !confirmed {
            // A share that a former leader lent is extended before it counts as claimed.
            return ask.held.min(whole.minus(lent));
        }
        let instants = Share {
            rate: 0,
            depth: self.outstanding(),
        };
        let free = self.budget(now).minus(lent).minus(instants);
        let free = free.min(self.share_budget(now).minus(lent));
        let demand: u64 = others.iter().map(|loan| u64::from(loan.demand)).sum();
        let part = Part {
            own: u64::from(ask.demand),
            all: demand + u64::from(ask.demand),
        };

        let more = |loan: &&&Loan| loan.demand.cmp(&ask.demand) == Ordering::Greater;
        let ahead = others.iter().filter(more).count();
        let asking = others.iter().filter(|loan| loan.demand > 0).count() + 1;
        if ask.demand == 0 || operations(ahead + 1) > whole.depth {
            return Share::default();
        }
        // Enough for the operations between two calls.
        let useful = ask.demand.saturating_mul(3);
        let further = part.of(whole.depth.saturating_sub(operations(asking)));
        let depth = OPERATION.saturating_add(further.min(useful));
        let depth = if is_near(depth, ask.held.depth) {
            ask.held.depth
        } else {
            depth
        };
        let depth = depth.min(free.depth);
        if depth < OPERATION {
            return Share::default();
        }
        if depth < RATE_DEPTH {
            return Share { rate: 0, depth };
        }
        let rate = part.of(whole.rate).min(ask.demand.saturating_mul(2));
        let rate = if is_near(rate, ask.held.rate) {
            ask.held.rate
        } else {
            rate
        };
        Share {
            rate: rate.min(free.rate),
            depth,
        }
    }

    /// Tokens in the pool.
    fn tokens_left(&self) -> Milli {
        milli(self.pool.max(0.0) / f64::from(OPERATION))
    }

    /// Tokens that a holder gets from the pool.
    fn tokens(&self, ask: &Ask, share: Share) -> Milli {
        let there = ask.tokens.min(share.depth);
        let wanted = share.depth - there;
        let demand: u64 = self.loans.values().map(|loan| u64::from(loan.demand)).sum();
        let part = Part {
            own: u64::from(ask.demand),
            all: demand,
        };
        let pool = self.tokens_left();
        let least = OPERATION.saturating_sub(there);
        wanted.min(part.of(pool).max(least)).min(pool)
    }
}

/// Part of the demand.
#[derive(Debug, Clone, Copy)]
struct Part {
    own: u64,
    all: u64,
}

impl Part {
    /// This part of `whole`, rounded down.
    fn of(self, whole: Milli) -> Milli {
        let part = (u64::from(whole) * self.own).checked_div(self.all);
        part.and_then(|part| Milli::try_from(part).ok())
            .unwrap_or(0)
    }
}

fn operations(count: usize) -> Milli {
    let count = Milli::try_from(count).unwrap_or(Milli::MAX);
    count.saturating_mul(OPERATION)
}

fn is_near(value: Milli, held: Milli) -> bool {
    value.abs_diff(held) <= held / CHANGE_DIVISOR
}
