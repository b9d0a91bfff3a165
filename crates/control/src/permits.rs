//! Permits for connections beyond the base share, lent to entry processes by the leader.

use std::time::{Duration, Instant};

use base::{Map, MemberName};

use crate::leases::Holder;

/// Duration of a permit, counted by the leader from receipt of the request.
pub const PERMIT_DURATION: Duration = Duration::from_secs(4);
/// Time during which a new leader lends nothing: the duration of a permit plus the longest election
/// timeout (1.2 s), within which a former leader notices that it lost its majority.
pub const NEW_LEADER_DELAY: Duration = Duration::from_millis(5_200);

/// Connection limits of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Connections that an entry process may always use.
    pub base: u32,
    /// Connections that may be lent to all entry processes together.
    pub pool: u32,
}

impl Share {
    /// Splits `limit` connections between `entries` entry processes and the pool.
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
    /// Unexpired grants with their expiry. The largest counts, because the holder may still use an
    /// older grant if the answer to a later renewal was lost.
    grants: Vec<(u32, Instant)>,
    /// Connections beyond the base share in the last request.
    requested: u32,
}

impl Loan {
    fn held(&self, now: Instant) -> u32 {
        let live = self
            .grants
            .iter()
            .filter(|(_, expires_at)| *expires_at > now);
        live.map(|(count, _)| *count).max().unwrap_or(0)
    }
}

/// Connections lent by the leader.
#[derive(Debug)]
pub struct Permits {
    leader_since: Instant,
    loans: Map<MemberName, Map<Holder, Loan>>,
}

impl Permits {
    /// Creates an empty table for a host that became leader at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            leader_since: now,
            loans: Map::default(),
        }
    }

    /// Lends connections to `member` until `now` plus [`PERMIT_DURATION`] and returns their number.
    ///
    /// `wanted` includes the base share. While other holders wait for connections, a holder gets at
    /// most an equal part of the pool.
    pub fn lend(
        &mut self,
        now: Instant,
        holder: &Holder,
        member: &str,
        wanted: u32,
        share: Share,
    ) -> u32 {
        let requested = wanted.saturating_sub(share.base);
        if now < self.leader_since + NEW_LEADER_DELAY
            || (requested == 0 && !self.loans.contains_key(member))
        {
            return 0;
        }
        let loans = self.loans.entry(member.to_owned()).or_default();
        loans.retain(|_, loan| loan.held(now) > 0 || loan.requested > 0);
        let others = || loans.iter().filter(|(other, _)| *other != holder);
        let reserved: u32 = others().map(|(_, loan)| loan.held(now)).sum();
        let waiting = others().any(|(_, loan)| loan.requested > loan.held(now));
        let requesters = others().filter(|(_, loan)| loan.requested > 0).count();
        let requesters = u32::try_from(requesters).unwrap_or(u32::MAX - 1) + 1;
        let fair_part = if waiting {
            share.pool.div_ceil(requesters)
        } else {
            share.pool
        };
        let lent = requested
            .min(fair_part)
            .min(share.pool.saturating_sub(reserved));
        let loan = loans.entry(holder.clone()).or_default();
        loan.grants.retain(|(_, expires_at)| *expires_at > now);
        loan.requested = requested;
        if lent > 0 {
            loan.grants.push((lent, now + PERMIT_DURATION));
        }
        lent
    }

    /// Number of connections of `member` that are lent and may still be in use.
    #[must_use]
    pub fn held(&self, now: Instant, member: &str) -> u32 {
        let loans = self.loans.get(member).into_iter().flat_map(Map::values);
        loans.map(|loan| loan.held(now)).sum()
    }

    /// Removes expired loans and the requests of processes that are gone.
    pub fn expire(&mut self, now: Instant) {
        for loans in self.loans.values_mut() {
            loans.retain(|_, loan| loan.held(now) > 0);
        }
        self.loans.retain(|_, loans| !loans.is_empty());
    }
}
