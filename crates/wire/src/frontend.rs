//! Messages from callers, the frontend of the protocol.

use base::Map;
use bytes::Bytes;

use crate::{Cursor, Frame, WireError};

/// First message on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InitialMessage {
    /// Requests TLS; rejected with `N`.
    Ssl,
    /// Requests GSS encryption; rejected with `N`.
    Gss,
    /// Cancels the running statement of another connection.
    Cancel {
        /// Process id from `BackendKeyData`.
        pid: i32,
        /// Secret key from `BackendKeyData`.
        secret: i32,
    },
    /// Starts a session, with the parameters by name and the requested minor version of the
    /// protocol.
    Startup(Map<String, String>, u16),
    /// Requests a protocol version that is not supported, as (major, minor).
    UnsupportedVersion(u16, u16),
}

const CANCEL_CODE: i32 = 80_877_102;
const SSL_CODE: i32 = 80_877_103;
const GSS_CODE: i32 = 80_877_104;

impl InitialMessage {
    /// Parses the body of the first message, without its length field.
    ///
    /// # Errors
    /// The body is not a valid first message of a connection.
    pub fn parse(body: &[u8]) -> Result<Self, WireError> {
        let mut cursor = Cursor::new(body);
        match cursor.int()? {
            SSL_CODE => Ok(Self::Ssl),
            GSS_CODE => Ok(Self::Gss),
            CANCEL_CODE => Ok(Self::Cancel {
                pid: cursor.int()?,
                secret: cursor.int()?,
            }),
            version => {
                let major = u16::try_from(version >> 16).unwrap_or_default();
                let minor = u16::try_from(version & 0xffff).unwrap_or_default();
                if major != 3 {
                    return Ok(Self::UnsupportedVersion(major, minor));
                }
                parameters(&mut cursor).map(|parameters| Self::Startup(parameters, minor))
            }
        }
    }
}

fn parameters(cursor: &mut Cursor<'_>) -> Result<Map<String, String>, WireError> {
    let mut parameters = Map::default();
    loop {
        let name = cursor.text()?;
        if name.is_empty() {
            return Ok(parameters);
        }
        parameters.insert(name.to_owned(), cursor.text()?.to_owned());
    }
}

/// Object that a `Describe` or `Close` refers to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A prepared statement.
    Statement(String),
    /// A portal.
    Portal(String),
}

/// A message of a running session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrontendMessage {
    /// Simple query.
    Query(String),
    /// Prepares a statement.
    Parse {
        /// Name of the statement; empty for the unnamed one.
        name: String,
        /// Text of the statement.
        query: String,
        /// Object ids of the parameter types; 0 leaves a type unspecified.
        types: Vec<i32>,
    },
    /// Creates a portal from a prepared statement.
    Bind {
        /// Name of the portal; empty for the unnamed one.
        portal: String,
        /// Name of the statement; empty for the unnamed one.
        statement: String,
        /// Unparsed bytes after the two names: formats, values and result formats.
        rest: Bytes,
    },
    /// Describes a statement or portal.
    Describe(Target),
    /// Closes a statement or portal.
    Close(Target),
    /// Executes a portal.
    Execute {
        /// Name of the portal.
        portal: String,
        /// Maximum number of rows to return; 0 for all.
        rows: i32,
    },
    /// Requests the responses produced so far.
    Flush,
    /// Ends a batch of extended queries.
    Sync,
    /// Ends the session.
    Terminate,
    /// Password or other authentication data, unparsed.
    Password(Bytes),
    /// Data of a COPY.
    CopyData(Bytes),
    /// End of a COPY.
    CopyDone,
    /// Failure of a COPY, with its reason.
    CopyFail(String),
}

impl FrontendMessage {
    /// Parses a frame.
    ///
    /// # Errors
    /// The type byte is unknown, or the body doesn't fit the type.
    pub fn parse(frame: &Frame) -> Result<Self, WireError> {
        let mut cursor = Cursor::new(&frame.body);
        Ok(match frame.tag {
            b'Q' => Self::Query(cursor.text()?.to_owned()),
            b'P' => parse_prepare(&mut cursor)?,
            b'B' => {
                let portal = cursor.text()?.to_owned();
                let statement = cursor.text()?.to_owned();
                let rest = frame.body.slice(frame.body.len() - cursor.rest().len()..);
                check_bind(&mut cursor)?;
                Self::Bind {
                    portal,
                    statement,
                    rest,
                }
            }
            b'D' => Self::Describe(parse_target(&mut cursor)?),
            b'C' => Self::Close(parse_target(&mut cursor)?),
            b'E' => Self::Execute {
                portal: cursor.text()?.to_owned(),
                rows: cursor.int()?,
            },
            b'H' => Self::Flush,
            b'S' => Self::Sync,
            b'X' => Self::Terminate,
            b'p' => Self::Password(frame.body.clone()),
            b'd' => Self::CopyData(frame.body.clone()),
            b'c' => Self::CopyDone,
            b'f' => Self::CopyFail(cursor.text()?.to_owned()),
            _ => return Err(WireError::Malformed("unknown message type")),
        })
    }
}

fn parse_prepare(cursor: &mut Cursor<'_>) -> Result<FrontendMessage, WireError> {
    let name = cursor.text()?.to_owned();
    let query = cursor.text()?.to_owned();
    let types = (0..cursor.short()?)
        .map(|_| cursor.int())
        .collect::<Result<_, _>>()?;
    Ok(FrontendMessage::Parse { name, query, types })
}

fn parse_target(cursor: &mut Cursor<'_>) -> Result<Target, WireError> {
    match cursor.byte()? {
        b'S' => Ok(Target::Statement(cursor.text()?.to_owned())),
        b'P' => Ok(Target::Portal(cursor.text()?.to_owned())),
        _ => Err(WireError::Malformed("neither statement nor portal")),
    }
}

/// Validates formats, values and result formats of a `Bind`, so that it can be forwarded unchanged.
fn check_bind(cursor: &mut Cursor<'_>) -> Result<(), WireError> {
    for _ in 0..cursor.short()? {
        cursor.short()?;
    }
    for _ in 0..cursor.short()? {
        cursor.value()?;
    }
    for _ in 0..cursor.short()? {
        cursor.short()?;
    }
    if cursor.rest().is_empty() {
        Ok(())
    } else {
        Err(WireError::Malformed("bytes after the bind"))
    }
}
