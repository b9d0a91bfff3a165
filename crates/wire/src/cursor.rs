//! Bounds-checked parsing of message bodies.

use crate::WireError;

/// Reads a message body sequentially; a read beyond its end returns an error instead of panicking.
///
/// ```
/// let mut cursor = wire::Cursor::new(b"name\0\x00\x02");
/// assert_eq!(cursor.text().unwrap(), "name");
/// assert_eq!(cursor.short().unwrap(), 2);
/// assert!(cursor.byte().is_err());
/// ```
#[derive(Debug, Clone)]
pub struct Cursor<'a> {
    rest: &'a [u8],
}

impl<'a> Cursor<'a> {
    /// Starts at the first byte of `body`.
    #[must_use]
    pub const fn new(body: &'a [u8]) -> Self {
        Self { rest: body }
    }

    /// Returns the bytes that have not been read.
    #[must_use]
    pub const fn rest(&self) -> &'a [u8] {
        self.rest
    }

    /// Reads `count` bytes.
    ///
    /// # Errors
    /// Fewer bytes are left.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], WireError> {
        let (head, tail) = self
            .rest
            .split_at_checked(count)
            .ok_or(WireError::Malformed("body ends too early"))?;
        self.rest = tail;
        Ok(head)
    }

    /// Reads one byte.
    ///
    /// # Errors
    /// No byte is left.
    pub fn byte(&mut self) -> Result<u8, WireError> {
        Ok(self.take(1)?[0])
    }

    /// Reads a 16-bit integer.
    ///
    /// # Errors
    /// Fewer than two bytes are left.
    pub fn short(&mut self) -> Result<i16, WireError> {
        let bytes = self.take(2)?;
        Ok(i16::from_be_bytes([bytes[0], bytes[1]]))
    }

    /// Reads a 32-bit integer.
    ///
    /// # Errors
    /// Fewer than four bytes are left.
    pub fn int(&mut self) -> Result<i32, WireError> {
        let bytes = self.take(4)?;
        Ok(i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    /// Reads a NUL-terminated string.
    ///
    /// # Errors
    /// There is no zero byte, or the string is not UTF-8.
    pub fn text(&mut self) -> Result<&'a str, WireError> {
        let end = self
            .rest
            .iter()
            .position(|&byte| byte == 0)
            .ok_or(WireError::Malformed("string without end"))?;
        let text = str::from_utf8(&self.rest[..end])
            .map_err(|_invalid| WireError::Malformed("string is not UTF-8"))?;
        self.rest = &self.rest[end + 1..];
        Ok(text)
    }

    /// Reads a value prefixed by its 32-bit length; `None` is NULL.
    ///
    /// # Errors
    /// The body ends before the value does, or the length is below -1.
    pub fn value(&mut self) -> Result<Option<&'a [u8]>, WireError> {
        match self.int()? {
            -1 => Ok(None),
            length => {
                let length = usize::try_from(length)
                    .map_err(|_negative| WireError::Malformed("negative value length"))?;
                self.take(length).map(Some)
            }
        }
    }
}
