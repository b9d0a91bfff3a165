//! Messages from callers.

use base::Map;
use bytes::Bytes;

use crate::{Cursor, Frame, WireError};

/// First message on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InitialMessage {
    /// Asks for TLS; answered with `N`.
    Ssl,
    /// Asks for GSS encryption; answered with `N`.
    Gss,
    /// Cancels what another connection runs.
    Cancel {
        /// Process number from `BackendKeyData`.
        pid: i32,
        /// Secret from `BackendKeyData`.
        secret: i32,
    },
    /// Starts a session, with the parameters by name and the minor version of the protocol that is
    /// asked for.
    Startup(Map<String, String>, u16),
    /// Asks for a protocol version that is not spoken here, as (major, minor).
    UnsupportedVersion(u16, u16),
}

const CANCEL_CODE: i32 = 80_877_102;
const SSL_CODE: i32 = 80_877_103;
const GSS_CODE: i32 = 80_877_104;

impl InitialMessage {
    /// Parses the body of a first message, without its length field.
    ///
    /// # Errors
    /// The body is not one of the messages that may open a connection.
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
                parameters(&mut cursor).map(|found| Self::Startup(found, minor))
            }
        }
    }
}

fn parameters(cursor: &mut Cursor<'_>) -> Result<Map<String, String>, WireError> {
    let mut found = Map::default();
    loop {
        let name = cursor.text()?;
        if name.is_empty() {
            return Ok(found);
        }
        found.insert(name.to_owned(), cursor.text()?.to_owned());
    }
}

/// What a `Describe` or `Close` names.
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
        /// Parameter types as object ids; 0 leaves the type open.
        types: Vec<i32>,
    },
    /// Makes a portal of a statement.
    Bind {
        /// Name of the portal; empty for the unnamed one.
        portal: String,
        /// Name of the statement; empty for the unnamed one.
        statement: String,
        /// Everything behind the two names, as it came: formats, values, result formats.
        rest: Bytes,
    },
    /// Describes a statement or portal.
    Describe(Target),
    /// Closes a statement or portal.
    Close(Target),
    /// Runs a portal.
    Execute {
        /// Name of the portal.
        portal: String,
        /// Most rows to return; 0 for all.
        rows: i32,
    },
    /// Asks for the answers so far.
    Flush,
    /// Ends a batch of extended queries.
    Sync,
    /// Ends the session.
    Terminate,
    /// Password, or a step of another authentication, as it came.
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
            b'P' => parse(&mut cursor)?,
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
            b'D' => Self::Describe(target(&mut cursor)?),
            b'C' => Self::Close(target(&mut cursor)?),
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

fn parse(cursor: &mut Cursor<'_>) -> Result<FrontendMessage, WireError> {
    let name = cursor.text()?.to_owned();
    let query = cursor.text()?.to_owned();
    let types = (0..cursor.short()?)
        .map(|_| cursor.int())
        .collect::<Result<_, _>>()?;
    Ok(FrontendMessage::Parse { name, query, types })
}

fn target(cursor: &mut Cursor<'_>) -> Result<Target, WireError> {
    match cursor.byte()? {
        b'S' => Ok(Target::Statement(cursor.text()?.to_owned())),
        b'P' => Ok(Target::Portal(cursor.text()?.to_owned())),
        _ => Err(WireError::Malformed("neither statement nor portal")),
    }
}

/// Checks formats, values and result formats of a `Bind`, so that it can be sent on as it came.
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
