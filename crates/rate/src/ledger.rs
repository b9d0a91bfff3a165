//! Shares that the leading control host lends.

use std::time::{Duration, Instant};

use base::{EntryName, Map, Set};

use crate::{Answer, Ask, Call, Grant, OrgId, Share, TAKEOVER, TERM, account::Account};

/// Name of an entry process and the random id of its run.
pub type HolderId = (EntryName, u64);

/// Time after which a holder that doesn't call is forgotten. No call of it is under way then.
const FORGOTTEN_AFTER: Duration = TERM.saturating_mul(12);

/// Shares that the leading control host lends. All times are by [`base::clock`].
///
/// ```
/// use std::time::Instant;
/// use rate::{Ask, Call, Ledger, Share, TAKEOVER};
///
/// let start = Instant::now();
/// let limit = Share { rate: 300_000, depth: 300_000 };
/// let mut ledger = Ledger::new(3, Some([(7, limit)]), start);
/// let ask = Ask { org: 7, demand: 5_000, waiting: 1, ..Ask::default() };
/// let call = Call { sequence: 1, leader: 0, full: true, asks: vec![ask] };
/// let holder = ("entry-1".to_owned(), 1);
/// let answer = ledger.lend(&holder, &call, start + TAKEOVER).unwrap();
/// assert!(answer.grants[0].share.rate > 5_000);
/// ```
#[derive(Debug)]
pub struct Ledger {
    term: u64,
    /// End of the shares that former leaders lent; `None` before the first configuration.
    full_from: Option<Instant>,
    accounts: Map<OrgId, Account>,
    /// Last call of each holder.
    calls: Map<HolderId, (u64, Instant)>,
}

impl Ledger {
    /// Ledger of a host that became leader in `term`, at `now` or before. `limits` are those of the
    /// configuration in force; `None` before the first one, when no leader has lent anything yet.
    #[must_use]
    pub fn new<I>(term: u64, limits: Option<I>, now: Instant) -> Self
    where
        I: IntoIterator<Item = (OrgId, Share)>,
    {
        let mut ledger = Self {
            term,
            full_from: None,
            accounts: Map::default(),
            calls: Map::default(),
        };
        if let Some(limits) = limits {
            ledger.full_from = Some(now + TAKEOVER);
            ledger.configure(limits, now);
        }
        ledger
    }

    /// Term of the leader.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Applies the limits of a configuration.
    pub fn configure(&mut self, limits: impl IntoIterator<Item = (OrgId, Share)>, now: Instant) {
        let mut named = Set::default();
        for (org, limit) in limits {
            named.insert(org);
            if let Some(account) = self.accounts.get_mut(&org) {
                account.set_limit(limit, now);
                continue;
            }
            let account = match self.full_from {
                Some(full_from) => Account::inherited(limit, now, full_from),
                None => Account::unused(limit, now),
            };
            self.accounts.insert(org, account);
        }
        self.full_from = self.full_from.or(Some(now));
        self.accounts.retain(|org, account| {
            if !named.contains(org) {
                account.set_limit(Share::default(), now);
            }
            !account.is_closed(now)
        });
    }

    /// Extends the shares of a holder and changes them by the demand. `None` if the holder has sent
    /// a later call.
    pub fn lend(&mut self, holder: &HolderId, call: &Call, now: Instant) -> Option<Answer> {
        let last = self.calls.get(holder).map_or(0, |(sequence, _)| *sequence);
        if call.sequence <= last {
            return None;
        }
        self.calls
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < FORGOTTEN_AFTER);
        self.calls.insert(holder.clone(), (call.sequence, now));
        let acknowledged = call.leader == self.term;
        let named: Set<_> = call.asks.iter().map(|ask| ask.org).collect();
        for (&org, account) in &mut self.accounts {
            if let Some(confirmed) = account.holds(holder)
                && call.full
                && !named.contains(&org)
            {
                let ask = Ask {
                    org,
                    ..Ask::default()
                };
                account.lend(now, holder, &ask, acknowledged && confirmed);
            }
        }
        let grants = call.asks.iter().map(|ask| {
            let account = self.accounts.get_mut(&ask.org);
            let none = Grant {
                org: ask.org,
                exhausted: true,
                ..Grant::default()
            };
            let grant = account.map_or(none, |a| {
                a.lend(now, holder, ask, acknowledged && ask.acknowledged)
            });
            (grant, ask)
        });
        let is_change = |(grant, ask): &(Grant, &Ask)| {
            grant.share != ask.held || grant.tokens > 0 || ask.waiting > 0
        };
        Some(Answer {
            sequence: call.sequence,
            term: self.term,
            grants: grants.filter(is_change).map(|(grant, _)| grant).collect(),
        })
    }

    /// Sum of the shares of an organisation that may be in use.
    #[must_use]
    pub fn lent(&self, org: OrgId) -> Share {
        self.accounts
            .get(&org)
            .map(Account::lent)
            .unwrap_or_default()
    }
}
