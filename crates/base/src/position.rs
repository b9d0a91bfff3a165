//! Positions in the log of a database group.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize, de, ser};

use crate::Term;

/// A position in a group's log.
///
/// Positions are ordered by term, then by offset; a promotion ranks members in this order.
///
/// ```
/// use base::Position;
///
/// let written: Position = "3/10".parse().unwrap();
/// assert!(Position::new(4, 12).covers(written));
/// assert!(!Position::new(2, 12).covers(written));
/// assert_eq!(written.to_string(), "3/10");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Position {
    /// Term of the primary that is followed.
    pub term: Term,
    /// Number of transactions committed in the log so far, over all terms.
    pub offset: u64,
}

impl Position {
    /// Creates a position from a term and an offset.
    #[must_use]
    pub const fn new(term: Term, offset: u64) -> Self {
        Self { term, offset }
    }

    /// Whether a member at `self` has everything up to the confirmed position `other`.
    ///
    /// Both term and offset must be reached: a member of an older term may have transactions at
    /// the same offset that a promotion discarded.
    #[must_use]
    pub const fn covers(self, other: Self) -> bool {
        self.term >= other.term && self.offset >= other.offset
    }

    /// The smallest position that covers both.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self::new(self.term.max(other.term), self.offset.max(other.offset))
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.offset)
    }
}

/// Why a text is not a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PositionError {
    /// There is no slash between term and offset.
    MissingSlash,
    /// A part is not a whole number.
    InvalidNumber(ParseIntError),
}

impl fmt::Display for PositionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingSlash => {
                f.write_str("a position is written term/offset, for example 3/1042")
            }
            Self::InvalidNumber(cause) => write!(f, "term and offset are whole numbers: {cause}"),
        }
    }
}

impl std::error::Error for PositionError {}

impl FromStr for Position {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (term, offset) = text.split_once('/').ok_or(PositionError::MissingSlash)?;
        Ok(Self::new(
            term.parse().map_err(PositionError::InvalidNumber)?,
            offset.parse().map_err(PositionError::InvalidNumber)?,
        ))
    }
}

impl Serialize for Position {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Position {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(de::Error::custom)
    }
}
