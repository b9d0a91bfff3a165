//! Failures of a connection that speaks the protocol.

use std::{fmt, io};

/// Why a connection can't be used any longer.
#[derive(Debug)]
pub enum WireError {
    /// The transport failed.
    Io(io::Error),
    /// The peer closed the connection in the middle of a message.
    ConnectionClosed,
    /// A message is longer than the limit, in bytes.
    TooLarge {
        /// Length that the message claims.
        length: usize,
        /// Longest length accepted.
        limit: usize,
    },
    /// The bytes are not a message of the protocol.
    Malformed(&'static str),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(cause) => cause.fmt(f),
            Self::ConnectionClosed => f.write_str("connection closed in the middle of a message"),
            Self::TooLarge { length, limit } => {
                write!(
                    f,
                    "message of {length} bytes is over the limit of {limit}; send less at once"
                )
            }
            Self::Malformed(what) => write!(f, "malformed message: {what}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(cause: io::Error) -> Self {
        Self::Io(cause)
    }
}
