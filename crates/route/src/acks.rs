//! How far the writes of a group were acknowledged to callers.

use base::{Position, Term};

/// Bounds on the highest position in one term whose write was acknowledged.
///
/// A database tells the position of its log beside the answer to a commit, which may include later
/// commits that nobody has acknowledged yet. So the position of the commit itself lies between `least`
/// and `most`.
///
/// ```
/// use base::Position;
/// use route::AckBounds;
///
/// // The log was at 7 before the commit was sent, and at 9 with its answer.
/// let acks = AckBounds::of_commit(Some(Position::new(2, 7)), Position::new(2, 9));
/// assert_eq!(acks, AckBounds { term: 2, least: 8, most: 9 });
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AckBounds {
    /// Term in which the writes were acknowledged.
    pub term: Term,
    /// At least up to this offset, all writes that are acknowledged must be kept.
    pub least: u64,
    /// No write beyond this offset was acknowledged.
    pub most: u64,
}

impl AckBounds {
    /// Bounds for a commit that was answered with the position `after` of the log. `before` is a
    /// position of the same log that was known before the commit was sent.
    #[must_use]
    pub fn of_commit(before: Option<Position>, after: Position) -> Self {
        let least = before
            .filter(|before| before.term == after.term)
            .map_or(0, |before| before.offset.saturating_add(1));
        Self {
            term: after.term,
            least,
            most: after.offset.max(least),
        }
    }

    /// Bounds for a write whose exact position is known.
    #[must_use]
    pub const fn exact(position: Position) -> Self {
        Self {
            term: position.term,
            least: position.offset,
            most: position.offset,
        }
    }

    /// Bounds for the acknowledged writes of both; those of the newer term if the terms differ.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        match self.term.cmp(&other.term) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => Self {
                term: self.term,
                least: self.least.max(other.least),
                most: self.most.max(other.most),
            },
        }
    }

    /// Position that every member which holds all acknowledged writes covers.
    #[must_use]
    pub const fn least(self) -> Position {
        Position::new(self.term, self.least)
    }

    /// Position such that every member which covers it holds all acknowledged writes.
    #[must_use]
    pub const fn most(self) -> Position {
        Position::new(self.term, self.most)
    }
}
