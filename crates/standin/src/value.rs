//! SQL values and types, with their text and binary formats.

use std::rc::Rc;

use bytes::{BufMut, BytesMut};
use serde::{Deserialize, Serialize};

use crate::sql_error::SqlError;

/// Type of a column, parameter or result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Type {
    /// 32-bit integer.
    Int4,
    /// 64-bit integer.
    Int8,
    /// Character string.
    Text,
    /// Boolean.
    Bool,
    /// Double-precision number, supported only as the argument of `pg_sleep`.
    Float8,
    /// Result type of a function that returns no value.
    Void,
}

impl Type {
    /// Type OID in the protocol.
    #[must_use]
    pub const fn oid(self) -> i32 {
        match self {
            Self::Int4 => 23,
            Self::Int8 => 20,
            Self::Text => 25,
            Self::Bool => 16,
            Self::Float8 => 701,
            Self::Void => 2278,
        }
    }

    /// Type for an OID; `None` when the OID leaves the type unspecified.
    ///
    /// # Errors
    /// 0A000 when the type is outside the subset.
    pub fn from_oid(oid: i32) -> Result<Option<Self>, SqlError> {
        Ok(Some(match oid {
            0 | 705 => return Ok(None),
            23 | 21 => Self::Int4,
            20 => Self::Int8,
            25 | 1042 | 1043 | 19 => Self::Text,
            16 => Self::Bool,
            701 => Self::Float8,
            _ => return Err(SqlError::unsupported(format!("parameter type {oid}"))),
        }))
    }

    /// Size in the protocol, in bytes; -1 when it varies.
    #[must_use]
    pub const fn size(self) -> i16 {
        match self {
            Self::Int4 | Self::Void => 4,
            Self::Int8 | Self::Float8 => 8,
            Self::Text => -1,
            Self::Bool => 1,
        }
    }

    /// Name used in error messages.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Int4 => "integer",
            Self::Int8 => "bigint",
            Self::Text => "text",
            Self::Bool => "boolean",
            Self::Float8 => "double precision",
            Self::Void => "void",
        }
    }
}

/// A value of a column, parameter or result.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// NULL.
    Null,
    /// Boolean.
    Bool(bool),
    /// Integer of either size.
    Int(i64),
    /// Character string; a double precision number is kept in its text form.
    Text(Rc<str>),
}

impl Value {
    /// Creates a string value.
    #[must_use]
    pub fn text(text: &str) -> Self {
        Self::Text(text.into())
    }

    /// Whether the value is NULL.
    #[must_use]
    pub const fn is_null(&self) -> bool {
        matches!(self, Self::Null)
    }

    /// Converts the value to `kind`.
    ///
    /// # Errors
    /// 22P02 when a text is not of that type, 22003 when a number is out of range, 42804 when
    /// there is no conversion.
    pub fn cast(self, kind: Type) -> Result<Self, SqlError> {
        match (kind, self) {
            (_, Self::Null) => Ok(Self::Null),
            (Type::Int4, Self::Int(n)) if i32::try_from(n).is_err() => {
                Err(SqlError::new("22003", "integer out of range"))
            }
            (Type::Int4 | Type::Int8, value @ Self::Int(_))
            | (Type::Bool, value @ Self::Bool(_))
            | (Type::Text | Type::Float8, value @ Self::Text(_)) => Ok(value),
            (Type::Text | Type::Float8, Self::Int(n)) => Ok(Self::text(&n.to_string())),
            (Type::Text, Self::Bool(b)) => Ok(Self::text(if b { "true" } else { "false" })),
            (_, Self::Text(text)) => Self::parse(kind, &text),
            (_, value) => Err(SqlError::new(
                "42804",
                format!("{value:?} can't be converted to {}", kind.name()),
            )),
        }
    }

    /// Parses the text format.
    ///
    /// # Errors
    /// 22P02 when the text is not of that type, 22003 when a number is out of range.
    pub fn parse(kind: Type, text: &str) -> Result<Self, SqlError> {
        let invalid = || {
            SqlError::new(
                "22P02",
                format!("invalid input syntax for type {}: \"{text}\"", kind.name()),
            )
        };
        match kind {
            Type::Int4 | Type::Int8 => {
                let number: i128 = text.trim().parse().map_err(|_invalid| invalid())?;
                let number = i64::try_from(number)
                    .map_err(|_large| SqlError::new("22003", "bigint out of range"))?;
                Self::Int(number).cast(kind)
            }
            Type::Bool => match text.trim().to_ascii_lowercase().as_str() {
                "t" | "true" | "on" | "yes" | "y" | "1" => Ok(Self::Bool(true)),
                "f" | "false" | "off" | "no" | "n" | "0" => Ok(Self::Bool(false)),
                _ => Err(invalid()),
            },
            Type::Float8 => {
                let _number: f64 = text.trim().parse().map_err(|_invalid| invalid())?;
                Ok(Self::text(text.trim()))
            }
            Type::Text | Type::Void => Ok(Self::text(text)),
        }
    }

    /// Decodes the binary format.
    ///
    /// # Errors
    /// 22P03 when the bytes are not a valid encoding of the type.
    pub fn decode(kind: Type, bytes: &[u8]) -> Result<Self, SqlError> {
        let invalid = || {
            SqlError::new(
                "22P03",
                format!("incorrect binary data for {}", kind.name()),
            )
        };
        match kind {
            Type::Int4 | Type::Int8 => match *bytes {
                [a, b] => Ok(Self::Int(i16::from_be_bytes([a, b]).into())),
                [a, b, c, d] => Ok(Self::Int(i32::from_be_bytes([a, b, c, d]).into())),
                _ => {
                    let bytes = bytes.try_into().map_err(|_length| invalid())?;
                    Self::Int(i64::from_be_bytes(bytes)).cast(kind)
                }
            },
            Type::Bool => match *bytes {
                [byte] => Ok(Self::Bool(byte != 0)),
                _ => Err(invalid()),
            },
            Type::Float8 => {
                let bytes = bytes.try_into().map_err(|_length| invalid())?;
                Ok(Self::text(&f64::from_be_bytes(bytes).to_string()))
            }
            Type::Text | Type::Void => {
                let text = str::from_utf8(bytes)
                    .map_err(|_invalid| SqlError::new("22021", "text is not valid UTF-8"))?;
                Ok(Self::text(text))
            }
        }
    }

    /// Appends the value with its length, in the binary or the text format.
    ///
    /// # Panics
    /// The value is longer than 2 GiB, which no message can carry.
    pub fn encode(&self, kind: Type, binary: bool, out: &mut BytesMut) {
        let start = out.len();
        out.put_i32(-1);
        match (self, kind, binary) {
            (Self::Null, _, _) => return,
            (Self::Bool(b), _, true) => out.put_u8((*b).into()),
            (Self::Bool(b), _, false) => out.put_u8(if *b { b't' } else { b'f' }),
            #[expect(
                clippy::cast_possible_truncation,
                reason = "the type bounds the number"
            )]
            (Self::Int(n), Type::Int4, true) => out.put_i32(*n as i32),
            (Self::Int(n), Type::Int8, true) => out.put_i64(*n),
            (Self::Int(n), _, _) => out.put_slice(n.to_string().as_bytes()),
            (Self::Text(text), Type::Float8, true) => {
                out.put_f64(text.parse().unwrap_or_default());
            }
            (Self::Text(text), _, _) => out.put_slice(text.as_bytes()),
        }
        let length = i32::try_from(out.len() - start - 4).expect("values are under 2 GiB");
        out[start..start + 4].copy_from_slice(&length.to_be_bytes());
    }
}
