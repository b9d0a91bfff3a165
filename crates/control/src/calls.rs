//! Requests to the [`Authority`](crate::upstream::Authority) that may still be carried out, without
//! I/O.
//!
//! The authority acts some time after a request, and a request can't be taken back. Another member may
//! therefore be promoted only once the requests for the former one are settled: a late one would promote
//! a database that lacks what was acknowledged since.

use std::time::{Duration, Instant};

use base::{Map, MemberName};

use crate::upstream::CallOutcome;

/// Time within which an accepted request is carried out. It is not repeated before.
pub const ACCEPTED_LIMIT: Duration = Duration::from_secs(3);
/// Time within which a request without an answer is carried out, if the authority got it.
pub const UNANSWERED_LIMIT: Duration = Duration::from_secs(5);
/// Delay before a request without an answer is repeated. Each one that is carried out starts a term.
const UNANSWERED_RETRY: Duration = Duration::from_secs(1);
/// Time that a new leader allows for the effect of a request that the former one may have made.
const RESUME_DELAY: Duration = Duration::from_millis(1_100);

#[derive(Debug, Clone, Copy)]
struct Call {
    /// When the request may be repeated.
    repeat_at: Instant,
    /// When the last request can no longer be carried out.
    settled_at: Instant,
    requests: u32,
}

/// Requests for the members of one group.
///
/// ```
/// use std::time::{Duration, Instant};
/// use control::{calls::Calls, upstream::CallOutcome};
///
/// let (mut calls, now) = (Calls::default(), Instant::now());
/// assert!(calls.is_due("a", now));
/// calls.record("a", now, &CallOutcome::Accepted);
/// assert!(!calls.is_due("a", now));
/// assert!(calls.allow("a", now) && !calls.allow("b", now));
/// assert!(calls.allow("b", now + Duration::from_secs(3)));
/// ```
#[derive(Debug, Default)]
pub struct Calls {
    last: Map<MemberName, Call>,
}

impl Calls {
    /// Records that a former leader may have requested the promotion of `member` until `now`.
    pub fn assume(&mut self, member: &str, now: Instant) {
        let call = Call {
            repeat_at: now + RESUME_DELAY,
            settled_at: now + UNANSWERED_LIMIT,
            // It may have repeated the request.
            requests: 2,
        };
        self.last.insert(member.to_owned(), call);
    }

    /// Records the outcome of a request that ended at `now`.
    pub fn record(&mut self, member: &str, now: Instant, outcome: &CallOutcome) {
        let (repeat, settled) = match outcome {
            CallOutcome::Accepted => (ACCEPTED_LIMIT, ACCEPTED_LIMIT),
            CallOutcome::Unanswered(_) => (UNANSWERED_RETRY, UNANSWERED_LIMIT),
            CallOutcome::Refused(_) | CallOutcome::Unsent(_) => return,
        };
        let known = self.last.get(member);
        let call = Call {
            repeat_at: now + repeat,
            settled_at: known.map_or(now, |call| call.settled_at).max(now + settled),
            requests: known.map_or(0, |call| call.requests).saturating_add(1),
        };
        self.last.insert(member.to_owned(), call);
    }

    /// Whether the promotion of `member` may be requested, for the first time or again.
    #[must_use]
    pub fn is_due(&self, member: &str, now: Instant) -> bool {
        self.last
            .get(member)
            .is_none_or(|call| call.repeat_at <= now)
    }

    /// Whether a request for `member` may still be carried out.
    #[must_use]
    pub fn is_open(&self, member: &str, now: Instant) -> bool {
        self.last
            .get(member)
            .is_some_and(|call| call.settled_at > now)
    }

    /// Whether a request for `member`, which has been promoted, may be carried out once more.
    #[must_use]
    pub fn is_repeated(&self, member: &str, now: Instant) -> bool {
        let last = self.last.get(member);
        last.is_some_and(|call| call.settled_at > now && call.requests > 1)
    }

    /// Whether `member` may be promoted: no request for another member may still be carried out.
    #[must_use]
    pub fn allow(&self, member: &str, now: Instant) -> bool {
        let mut others = self.last.iter().filter(|(name, _)| *name != member);
        others.all(|(_, call)| call.settled_at <= now)
    }
}
