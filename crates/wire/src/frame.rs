//! A message in its wire format.

use bytes::Bytes;

use crate::Cursor;

/// A message: its type byte and its body without the length field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Type byte, for example `b'Q'`.
    pub tag: u8,
    /// Body without type and length.
    pub body: Bytes,
}

impl Frame {
    /// Parses a `ParameterStatus` as (name, value); `None` if the frame is another message.
    #[must_use]
    pub fn parameter_status(&self) -> Option<(&str, &str)> {
        if self.tag != b'S' {
            return None;
        }
        let mut cursor = Cursor::new(&self.body);
        Some((cursor.text().ok()?, cursor.text().ok()?))
    }

    /// Transaction status of a `ReadyForQuery`: `b'I'`, `b'T'` or `b'E'`; `None` if the frame is
    /// another message.
    #[must_use]
    pub fn transaction_status(&self) -> Option<u8> {
        (self.tag == b'Z')
            .then(|| self.body.first().copied())
            .flatten()
    }

    /// A field of an `ErrorResponse` or `NoticeResponse`, for example `b'C'` for the SQLSTATE.
    #[must_use]
    pub fn field(&self, code: u8) -> Option<&str> {
        let mut cursor = Cursor::new(&self.body);
        loop {
            let found = cursor.byte().ok()?;
            if found == 0 {
                return None;
            }
            let value = cursor.text().ok()?;
            if found == code {
                return Some(value);
            }
        }
    }

    /// SQLSTATE of an `ErrorResponse`; `None` if the frame is another message.
    #[must_use]
    pub fn sqlstate(&self) -> Option<&str> {
        (self.tag == b'E').then(|| self.field(b'C')).flatten()
    }

    /// Tag of a `CommandComplete`, for example `INSERT 0 1`; `None` if the frame is another message.
    #[must_use]
    pub fn command_tag(&self) -> Option<&str> {
        (self.tag == b'C')
            .then(|| Cursor::new(&self.body).text().ok())
            .flatten()
    }
}
