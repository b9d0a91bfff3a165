//! What a choice of primary needs besides enough answers, without I/O: one of them holds every
//! acknowledged write.
//!
//! A quorum of the record holds them only if the record names every database that the primary counts.
//! The bounds that entry processes report do not depend on that.

use std::time::Duration;

use base::{MemberName, Position, fault::disabled};
use route::{AckBounds, Status};

use crate::{
    failover::{self, Completeness, ReachCounts},
    machine::Record,
};

/// Time limit on the wait for writes that no answer holds and that may have been acknowledged. Their last
/// copy may be lost; then no promotion would ever finish.
pub const MISSING_TIMEOUT: Duration = Duration::from_secs(8);

/// How a position compares with the acknowledged writes of its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Coverage {
    /// An acknowledged write lies beyond it.
    Missing,
    /// A write lies beyond it that may have been acknowledged.
    Uncertain,
    /// It covers all acknowledged writes.
    Full,
}

/// What is known of the acknowledged writes while a primary is chosen.
///
/// ```
/// use base::Position;
/// use control::guard::{Coverage, Guard};
/// use route::AckBounds;
///
/// let acks = Some(AckBounds { term: 1, least: 8, most: 9 });
/// let guard = Guard { acks, ..Guard::default() };
/// assert_eq!(guard.coverage(Position::new(1, 7)), Coverage::Missing);
/// assert_eq!(guard.coverage(Position::new(1, 8)), Coverage::Uncertain);
/// assert_eq!(guard.coverage(Position::new(1, 9)), Coverage::Full);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Guard {
    /// How far writes were acknowledged, as far as entry processes told; `None` before the first one.
    pub acks: Option<AckBounds>,
    /// Whether every entry process that may have acknowledged writes told so.
    pub complete: bool,
    /// Time since the members were first read.
    pub elapsed: Duration,
    /// Whether databases come and go by themselves, so that a dropped member has ended.
    pub open: bool,
}

impl Guard {
    /// Guard of the term that the record ends. Of what was acknowledged in earlier terms, the part that
    /// was given up no longer counts.
    #[must_use]
    pub fn new(
        record: &Record,
        acks: Option<AckBounds>,
        complete: bool,
        elapsed: Duration,
    ) -> Self {
        let kept = |acks: AckBounds| match record.base {
            Some(base) if acks.term < record.term => AckBounds {
                term: acks.term,
                least: acks.least.min(base),
                most: acks.most.min(base),
            },
            _ => acks,
        };
        Self {
            acks: acks.map(kept),
            complete,
            elapsed,
            open: false,
        }
    }

    /// Compares a position with the acknowledged writes.
    #[must_use]
    pub fn coverage(&self, position: Position) -> Coverage {
        if disabled("guard-disabled") {
            return Coverage::Full;
        }
        match self.acks {
            Some(acks) if !position.covers(acks.least()) => Coverage::Missing,
            Some(acks) if !position.covers(acks.most()) => Coverage::Uncertain,
            _ => Coverage::Full,
        }
    }

    /// Time after which a choice may become possible without a further answer.
    #[must_use]
    pub fn next_decision(&self) -> Duration {
        match MISSING_TIMEOUT.checked_sub(self.elapsed) {
            Some(left) if !left.is_zero() => left,
            _ => Duration::MAX,
        }
    }

    /// Whether a member at `position` may be chosen now.
    #[must_use]
    pub fn allows(&self, position: Position) -> bool {
        self.coverage(position) == Coverage::Full || self.elapsed >= MISSING_TIMEOUT
    }

    /// Record of the members that count for the choice. Once an answer is known to hold every
    /// acknowledged write, or after [`MISSING_TIMEOUT`], members that announced their stop and do not
    /// answer are left out. So are dropped members and replaced stores; after the time only if they have
    /// ended.
    #[must_use]
    pub fn counted(&self, record: &Record, statuses: &[Status]) -> Record {
        let answers = failover::recorded_answers(record, statuses);
        let others = answers
            .iter()
            .filter(|(member, _)| member.member != record.former_primary());
        let best = others.map(|(_, status)| status.position).max();
        let covered = self.complete
            && self.acks.is_some()
            && best.is_some_and(|best| self.coverage(best) == Coverage::Full);
        if !covered && self.elapsed < MISSING_TIMEOUT {
            return record.clone();
        }
        let answered = |name: &str| answers.iter().any(|(member, _)| member.member == name);
        let counted = without_stopping(record, answered);
        if covered || self.open {
            Record {
                uncovered: 0,
                ..counted
            }
        } else {
            counted
        }
    }

    /// Like [`failover::completeness`], for the members that count. While an acknowledged write is
    /// missing, a further answer may hold it.
    #[must_use]
    pub fn completeness(&self, record: &Record, statuses: &[Status]) -> Completeness {
        let answers = failover::recorded_answers(record, statuses);
        let best = answers.iter().map(|(_, status)| status.position).max();
        let short = best.is_none_or(|best| self.coverage(best) < Coverage::Full);
        if short && !has_all_others(record, statuses) {
            return Completeness::TooFew;
        }
        match failover::completeness(&self.counted(record, statuses), statuses) {
            // The former primary may hold it.
            Completeness::All if short => Completeness::Enough,
            found => found,
        }
    }

    /// Like [`failover::choose_primary`], for the members that count, with the position of the choice.
    ///
    /// The former primary is chosen again if its answer holds more of what was acknowledged than all
    /// others; for a write that may not have been acknowledged, until [`MISSING_TIMEOUT`].
    #[must_use]
    pub fn choose(
        &self,
        record: &Record,
        statuses: &[Status],
        reach: &ReachCounts,
    ) -> Option<(MemberName, Position)> {
        let counted = self.counted(record, statuses);
        let mut choice = failover::choose_primary(&counted, statuses, reach)?;
        let answers = failover::recorded_answers(record, statuses);
        let position = |name: &str| {
            let mut answers = answers.iter();
            let found = answers.find(|(member, _)| member.member == name);
            found.map(|(_, status)| status.position)
        };
        let former = record.former_primary();
        let mut chosen = position(&choice).unwrap_or_default();
        // A replica that copies the log of a newer term is beyond all others, and may have little of it.
        let others = answers.iter().filter(|(member, _)| member.member != former);
        let fullest = others.max_by_key(|(member, status)| {
            (
                self.coverage(status.position),
                status.position,
                reach.get(&member.member),
                std::cmp::Reverse(&member.member),
            )
        });
        if let Some((member, status)) = fullest
            && self.coverage(status.position) > self.coverage(chosen)
        {
            choice.clone_from(&member.member);
            chosen = status.position;
        }
        let (held, found) = (position(former), self.coverage(chosen));
        match held {
            Some(held)
                if self.coverage(held) > found
                    && (found == Coverage::Missing || self.elapsed < MISSING_TIMEOUT) =>
            {
                Some((former.to_owned(), held))
            }
            _ => Some((choice, chosen)),
        }
    }
}

/// Whether all members but the former primary answered.
fn has_all_others(record: &Record, statuses: &[Status]) -> bool {
    let answers = failover::recorded_answers(record, statuses);
    record.members.iter().all(|member| {
        member.member == record.former_primary()
            || answers.iter().any(|(answered, _)| *answered == member)
    })
}

/// Record without the members that announced their stop, except those that `answered`.
#[must_use]
pub fn without_stopping(record: &Record, answered: impl Fn(&str) -> bool) -> Record {
    let mut counted = record.clone();
    counted.members.retain(|member| {
        member.member == record.former_primary()
            || !record.stopping.contains(&member.member)
            || answered(&member.member)
    });
    counted
}
