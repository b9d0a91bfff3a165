//! Connections lent to entry processes beyond their base shares.

use std::time::{Duration, Instant};

use base::{Map, MemberName};

use crate::leases::Holder;

/// Term of a lent connection, counted by the leader from the receipt of the request.
pub const PERMIT_DURATION: Duration = Duration::from_secs(4);
/// How long a new leader lends nothing. A leader that lost its majority may lend until it notices,
/// which it does within the longest election timeout (1.2 s).
pub const NEW_LEADER_DELAY: Duration = Duration::from_millis(5_200);

/// Limits of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Connections that an entry process may always use.
    pub base: u32,
    /// Connections that may be lent in total.
    pub pool: u32,
}

impl Share {
    /// Splits `limit` connections over `entries` processes.
    ///
    /// ```
    /// let share = control::permits::Share::new(16, 9);
    /// assert_eq!((share.base, share.pool), (1, 7));
    /// ```
    #[must_use]
    pub const fn new(limit: u32, entries: u32) -> Self {
        let entries = if entries == 0 { 1 } else { entries };
        let base = limit / entries;
        Self {
            base,
            pool: limit - base * entries,
        }
    }
}

#[derive(Debug, Default)]
struct Loan {
    /// Unexpired grants with their ends; the largest counts, because the answer to a renewal may
    /// be lost and the holder may go on with an older grant.
    grants: Vec<(u32, Instant)>,
    /// Connections beyond the base share asked for last.
    asked: u32,
}

impl Loan {
    fn held(&self, now: Instant) -> u32 {
        let live = self.grants.iter().filter(|(_, until)| *until > now);
        live.map(|(count, _)| *count).max().unwrap_or(0)
    }
}

/// Loans of the leader.
#[derive(Debug)]
pub struct Permits {
    since: Instant,
    loans: Map<MemberName, Map<Holder, Loan>>,
}

impl Permits {
    /// Makes an empty table for a host that became leader at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            loans: Map::default(),
        }
    }

    /// Lends connections to `member` until `now` plus [`PERMIT_DURATION`] and returns their number.
    ///
    /// `wanted` counts the base share in. While others wait, a holder gets no more than an equal
    /// part of the pool.
    pub fn lend(
        &mut self,
        now: Instant,
        holder: &Holder,
        member: &str,
        wanted: u32,
        share: Share,
    ) -> u32 {
        let asked = wanted.saturating_sub(share.base);
        if now < self.since + NEW_LEADER_DELAY || (asked == 0 && !self.loans.contains_key(member)) {
            return 0;
        }
        let loans = self.loans.entry(member.to_owned()).or_default();
        loans.retain(|_, loan| loan.held(now) > 0 || loan.asked > 0);
        let others = || loans.iter().filter(|(other, _)| *other != holder);
        let reserved: u32 = others().map(|(_, loan)| loan.held(now)).sum();
        let waiting = others().any(|(_, loan)| loan.asked > loan.held(now));
        let askers = others().filter(|(_, loan)| loan.asked > 0).count();
        let askers = u32::try_from(askers).unwrap_or(u32::MAX - 1) + 1;
        let fair = if waiting {
            share.pool.div_ceil(askers)
        } else {
            share.pool
        };
        let lent = asked.min(fair).min(share.pool.saturating_sub(reserved));
        let loan = loans.entry(holder.clone()).or_default();
        loan.grants.retain(|(_, until)| *until > now);
        loan.asked = asked;
        if lent > 0 {
            loan.grants.push((lent, now + PERMIT_DURATION));
        }
        lent
    }

    /// Connections of `member` that are lent and may still be in use.
    #[must_use]
    pub fn held(&self, now: Instant, member: &str) -> u32 {
        let loans = self.loans.get(member).into_iter().flat_map(Map::values);
        loans.map(|loan| loan.held(now)).sum()
    }

    /// Forgets expired loans, and what processes that are gone had asked for.
    pub fn expire(&mut self, now: Instant) {
        for loans in self.loans.values_mut() {
            loans.retain(|_, loan| loan.held(now) > 0);
        }
        self.loans.retain(|_, loans| !loans.is_empty());
    }
}
