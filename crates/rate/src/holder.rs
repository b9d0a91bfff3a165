//! Shares that one entry process holds.

use std::time::{Duration, Instant};

use base::Map;

use crate::{Answer, Ask, Call, INSTANT, OrgId, Share, TERM, bucket::Bucket};

/// Percentage by which a share ends early: the bound on clock drift.
const DRIFT_PERCENT: u32 = 1;
/// Time between calls that only extend shares. A share lasts for three of them.
const EXTEND_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after which a call tells that reduced shares are in force.
const REDUCED_INTERVAL: Duration = Duration::from_millis(300);
/// Demand below which an organisation without a share is forgotten, in thousandths of operations per
/// second: its last operation was half a minute ago.
const FORGOTTEN_DEMAND: u32 = 1;

/// Answer to an operation that asks to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// A token is reserved until [`Holder::release`]. [`Holder::take`] must follow that at once if the
    /// operation is sent.
    Reserved,
    /// There is no token here; the next answer of the ledger may bring one.
    Wait,
    /// The limit is reached.
    Refused,
}

/// Last call that was sent.
#[derive(Debug)]
struct Sent {
    sequence: u64,
    at: Instant,
    /// Shares that the call named.
    held: Vec<(OrgId, Share)>,
}

/// Shares that one entry process holds. All times are by [`base::clock`].
///
/// ```
/// use std::time::Instant;
/// use rate::{Admission, Answer, Grant, Holder, Share};
///
/// let now = Instant::now();
/// let mut holder = Holder::default();
/// assert_eq!(holder.admit(7, now), Admission::Wait);
/// let call = holder.next_call(now);
/// let share = Share { rate: 1_000, depth: 2_000 };
/// let grant = Grant { org: 7, share, tokens: 1_000, ..Grant::default() };
/// holder.apply(&Answer { sequence: call.sequence, term: 1, grants: vec![grant] }, now);
/// assert_eq!(holder.retry(7, now), Admission::Reserved);
/// holder.release(7);
/// assert!(holder.take(7, now));
/// ```
#[derive(Debug, Default)]
pub struct Holder {
    buckets: Map<OrgId, Bucket>,
    sequence: u64,
    /// Term of the leader whose answer was applied last.
    leader: u64,
    sent: Option<Sent>,
    /// Last call that named all shares.
    called: Option<Instant>,
    /// Whether the last answer reduced a share, which the next call confirms.
    reduced: bool,
}

impl Holder {
    /// Counts an operation of an organisation and reserves a token for it if there is one.
    pub fn admit(&mut self, org: OrgId, now: Instant) -> Admission {
        let bucket = self.buckets.entry(org).or_insert_with(|| Bucket::new(now));
        bucket.count_asked(now);
        self.retry(org, now)
    }

    /// Reserves a token for an operation that was counted before.
    pub fn retry(&mut self, org: OrgId, now: Instant) -> Admission {
        let bucket = self.buckets.entry(org).or_insert_with(|| Bucket::new(now));
        if bucket.reserve(now) {
            return Admission::Reserved;
        }
        if bucket.refuses(now) {
            return Admission::Refused;
        }
        bucket.waiting += 1;
        Admission::Wait
    }

    /// Gives up a reserved token.
    pub fn release(&mut self, org: OrgId) {
        if let Some(bucket) = self.buckets.get_mut(&org) {
            bucket.release();
        }
    }

    /// Takes a token for an operation that is sent to a database now. Returns `false` if there is none
    /// any more; then the operation must not be sent.
    #[must_use]
    pub fn take(&mut self, org: OrgId, now: Instant) -> bool {
        let bucket = self.buckets.get_mut(&org);
        bucket.is_some_and(|bucket| bucket.take(now))
    }

    /// Whether operations wait for an answer.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.buckets.values().any(|bucket| bucket.waiting > 0)
    }

    /// When the next call that extends shares is due; `None` without any organisation.
    #[must_use]
    pub fn due(&self, now: Instant) -> Option<Instant> {
        if self.buckets.is_empty() {
            return None;
        }
        let interval = if self.reduced {
            REDUCED_INTERVAL
        } else {
            EXTEND_INTERVAL
        };
        Some(self.called.map_or(now, |called| called + interval))
    }

    /// Forgets which operations wait, because there is no host to ask.
    pub fn clear_waiting(&mut self) {
        for bucket in self.buckets.values_mut() {
            bucket.waiting = 0;
        }
    }

    /// Number of shares held.
    #[must_use]
    pub fn len(&self) -> usize {
        let shares = self.buckets.values();
        shares.filter(|bucket| !bucket.share.is_zero()).count()
    }

    /// Whether no share is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Shares in force at `now`, with the tokens that their buckets last held.
    pub fn shares(&self, now: Instant) -> impl Iterator<Item = (OrgId, Share, u32)> {
        let buckets = self.buckets.iter();
        let in_force = buckets.filter(move |(_, bucket)| bucket.is_in_force(now));
        in_force.map(|(org, bucket)| (*org, bucket.share, bucket.tokens()))
    }

    /// Composes the next call, which is sent at `now`. The answers to earlier calls are void. It names
    /// only the organisations whose operations wait, unless a call that extends shares is due.
    pub fn next_call(&mut self, now: Instant) -> Call {
        let full = self.due(now).is_some_and(|due| due <= now);
        self.sequence += 1;
        if full {
            self.called = Some(now);
            self.reduced = false;
        }
        let mut asks = Vec::new();
        self.buckets.retain(|&org, bucket| {
            if !full && bucket.waiting == 0 {
                return true;
            }
            bucket.fill(now);
            bucket.shrink();
            let demand = bucket.demand(now);
            let returned = bucket.take_returned();
            let waiting = std::mem::take(&mut bucket.waiting);
            let kept = !bucket.share.is_zero() || demand >= FORGOTTEN_DEMAND;
            if kept || returned > 0 {
                asks.push(Ask {
                    org,
                    held: bucket.share,
                    tokens: bucket.tokens(),
                    returned,
                    demand,
                    waiting,
                    acknowledged: bucket.leader == self.leader,
                });
            }
            kept || bucket.is_reserved()
        });
        self.sent = Some(Sent {
            sequence: self.sequence,
            at: now,
            held: asks.iter().map(|ask| (ask.org, ask.held)).collect(),
        });
        Call {
            sequence: self.sequence,
            leader: self.leader,
            full,
            asks,
        }
    }

    /// Applies an answer that arrives at `now`, unless a later call was sent or a later leader
    /// answered before.
    pub fn apply(&mut self, answer: &Answer, now: Instant) {
        let newest = |sent: &mut Sent| sent.sequence == answer.sequence;
        if answer.term < self.leader {
            return;
        }
        let Some(sent) = self.sent.take_if(newest) else {
            return;
        };
        self.leader = answer.term;
        let until = sent.at + without_drift(TERM);
        let instant_until = sent.at + without_drift(INSTANT);
        for (org, held) in sent.held {
            let Some(bucket) = self.buckets.get_mut(&org) else {
                continue;
            };
            bucket.fill(now);
            // The ledger may have lent a share that ended meanwhile to others.
            if bucket.share != held || now >= until {
                continue;
            }
            bucket.extend(until, answer.term);
            let grant = answer.grants.iter().find(|grant| grant.org == org);
            if let Some(grant) = grant {
                self.reduced |= grant.share.max(held) != grant.share;
                bucket.apply(grant, now);
                bucket.add_instant(grant.instant, instant_until);
            }
        }
    }
}

fn without_drift(span: Duration) -> Duration {
    span * (100 - DRIFT_PERCENT) / 100
}
