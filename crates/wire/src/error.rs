//! Errors of a protocol connection.

use std::{fmt, io};

/// Why a connection is no longer usable.
#[derive(Debug)]
pub enum WireError {
    /// The transport failed.
    Io(io::Error),
    /// The peer closed the connection in the middle of a message.
    ConnectionClosed,
    /// A message exceeds the size limit.
    TooLarge {
        /// Length stated by the message, in bytes.
        length: usize,
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The bytes are not a valid message of the protocol.
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
