//! Prepared statements and portals.

use std::rc::Rc;

use wire::{Cursor, WireError};

use crate::{
    command::Command,
    exec::Rows,
    sql_error::SqlError,
    value::{Type, Value},
};

/// A prepared statement.
#[derive(Debug)]
pub struct Prepared {
    /// Parsed statement; `None` for an empty query.
    pub command: Option<Rc<Command>>,
    /// Types of its parameters.
    pub types: Vec<Type>,
}

/// Format codes of columns or parameters, as encoded in the protocol.
#[derive(Debug, Clone, Default)]
pub struct Formats(Vec<i16>);

impl Formats {
    fn read(cursor: &mut Cursor<'_>) -> Result<Self, WireError> {
        (0..cursor.short()?)
            .map(|_| cursor.short())
            .collect::<Result<_, _>>()
            .map(Self)
    }

    /// Whether the column or parameter at `i` is binary.
    pub fn is_binary(&self, i: usize) -> bool {
        let format = match self.0.as_slice() {
            [all] => Some(all),
            formats => formats.get(i),
        };
        format == Some(&1)
    }
}

/// A prepared statement bound to parameters.
#[derive(Debug)]
pub struct Portal {
    /// Prepared statement.
    pub statement: Rc<Prepared>,
    /// Parameters.
    pub params: Vec<Value>,
    /// Formats of the result.
    pub formats: Formats,
    /// Result rows once the statement has run, with the number of rows already sent.
    pub rest: Option<(Rows, usize)>,
    /// Command tag once the statement has run.
    pub tag: Option<String>,
}

impl Portal {
    /// Parses the part of a Bind message after the two names.
    ///
    /// # Errors
    /// 08P01 when the number of parameters is wrong, or the error of parsing a parameter value.
    pub fn bind(statement: &Rc<Prepared>, rest: &[u8]) -> Result<Self, SqlError> {
        let malformed = |cause: WireError| SqlError::new("08P01", cause.to_string());
        let mut cursor = Cursor::new(rest);
        let formats = Formats::read(&mut cursor).map_err(malformed)?;
        let count = cursor.short().map_err(malformed)?;
        if usize::try_from(count) != Ok(statement.types.len()) {
            return Err(SqlError::new(
                "08P01",
                format!(
                    "bind message supplies {count} parameters, but the statement requires {}",
                    statement.types.len()
                ),
            ));
        }
        let mut params = Vec::with_capacity(statement.types.len());
        for (i, kind) in statement.types.iter().enumerate() {
            params.push(match cursor.value().map_err(malformed)? {
                None => Value::Null,
                Some(bytes) if formats.is_binary(i) => Value::decode(*kind, bytes)?,
                Some(bytes) => {
                    let text = str::from_utf8(bytes)
                        .map_err(|_invalid| SqlError::new("22021", "text is not valid UTF-8"))?;
                    Value::parse(*kind, text)?
                }
            });
        }
        Ok(Self {
            statement: Rc::clone(statement),
            params,
            formats: Formats::read(&mut cursor).map_err(malformed)?,
            rest: None,
            tag: None,
        })
    }
}
