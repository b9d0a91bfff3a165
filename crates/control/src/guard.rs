//! What a choice of primary needs besides enough answers, without I/O: one of them holds every
//! acknowledged write.
//!
//! A quorum of the record holds them only if the record names every database that the primary counts.
//! The bounds that entry processes report do not depend on that.

use std::time::Duration;

use base::{MemberName, Position};
use route::{AckBounds, Status};

use crate::{
    failover::{self, Completeness, ReachCounts},
    machine::Record,
};

/// Time limit on the wait for acknowledged writes that no answer holds. Their last copy may be lost;
/// then no promotion would ever finish.
pub const MISSING_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit on the wait for writes that may not have been acknowledged.
pub const UNCERTAIN_TIMEOUT: Duration = Duration::from_secs(3);

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
}

impl Guard {
    /// Compares a position with the acknowledged writes.
    #[must_use]
    pub fn coverage(&self, position: Position) -> Coverage {
        match self.acks {
            Some(acks) if !position.covers(acks.least()) => Coverage::Missing,
            Some(acks) if !position.covers(acks.most()) => Coverage::Uncertain,
            _ => Coverage::Full,
        }
    }

    /// Whether a member at `position` may be chosen now.
    #[must_use]
    pub fn allows(&self, position: Position) -> bool {
        match self.coverage(position) {
            Coverage::Full => true,
            Coverage::Uncertain => self.elapsed >= UNCERTAIN_TIMEOUT,
            Coverage::Missing => self.elapsed >= MISSING_TIMEOUT,
        }
    }

    /// Record of the members that count for the choice: without those that announced their stop, are
    /// silent and do not answer, once an answer is known to hold every acknowledged write, or after
    /// [`MISSING_TIMEOUT`].
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
        without_stopping(record, answered)
    }

    /// Like [`failover::completeness`], for the members that count. While an acknowledged write is
    /// missing, a further answer may hold it.
    #[must_use]
    pub fn completeness(&self, record: &Record, statuses: &[Status]) -> Completeness {
        let counted = self.counted(record, statuses);
        let answers = failover::recorded_answers(record, statuses);
        let best = answers.iter().map(|(_, status)| status.position).max();
        let short = best.is_none_or(|best| self.coverage(best) < Coverage::Full);
        if short && answers.len() < record.members.len() {
            return Completeness::TooFew;
        }
        failover::completeness(&counted, statuses)
    }

    /// Like [`failover::choose_primary`], for the members that count. The former primary is chosen
    /// again if only its answer holds an acknowledged write.
    #[must_use]
    pub fn choose(
        &self,
        record: &Record,
        statuses: &[Status],
        reach: &ReachCounts,
    ) -> Option<(MemberName, Position)> {
        let counted = self.counted(record, statuses);
        let choice = failover::choose_primary(&counted, statuses, reach)?;
        let answers = failover::recorded_answers(record, statuses);
        let position = |name: &str| {
            let mut answers = answers.iter();
            let found = answers.find(|(member, _)| member.member == name);
            found.map(|(_, status)| status.position)
        };
        let chosen = position(&choice).unwrap_or_default();
        let former = record.former_primary();
        match position(former) {
            Some(held)
                if self.coverage(chosen) == Coverage::Missing
                    && self.coverage(held) > Coverage::Missing =>
            {
                Some((former.to_owned(), held))
            }
            _ => Some((choice, chosen)),
        }
    }
}

/// Record without the members that announced their stop and are silent, except those that `answered`.
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
