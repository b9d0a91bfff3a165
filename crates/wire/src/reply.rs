//! Messages that a server sends, built from plain values.

use pgwire::messages::{
    response::{CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus},
    startup::{BackendKeyData, ParameterStatus, SecretKey},
};

/// An error that leaves the session open.
///
/// `mend` becomes the hint; leave it empty for none.
#[must_use]
pub fn error(sqlstate: &str, message: &str, mend: &str) -> ErrorResponse {
    failure("ERROR", sqlstate, message, mend)
}

/// An error that ends the session.
#[must_use]
pub fn fatal(sqlstate: &str, message: &str, mend: &str) -> ErrorResponse {
    failure("FATAL", sqlstate, message, mend)
}

fn failure(severity: &str, sqlstate: &str, message: &str, mend: &str) -> ErrorResponse {
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', message.to_owned()),
    ];
    if !mend.is_empty() {
        fields.push((b'H', mend.to_owned()));
    }
    ErrorResponse::new(fields)
}

/// Answer to a caller that asks for a newer minor version or for options of the protocol: protocol
/// 3.0 without any of `options` is spoken.
///
/// Returned as the body of a message of type `v`. The version is sent whole, major and minor, as
/// PostgreSQL sends it; libpq refuses a bare minor version.
#[must_use]
pub fn negotiate_protocol_version(options: &[&str]) -> Vec<u8> {
    const VERSION: i32 = 3 << 16;
    let mut body = VERSION.to_be_bytes().to_vec();
    let count = i32::try_from(options.len()).unwrap_or_default();
    body.extend_from_slice(&count.to_be_bytes());
    for option in options {
        body.extend_from_slice(option.as_bytes());
        body.push(0);
    }
    body
}

/// Ready for the next request, with the transaction status.
#[must_use]
pub fn ready_for_query(status: TransactionStatus) -> ReadyForQuery {
    ReadyForQuery::new(status)
}

/// A reported parameter.
#[must_use]
pub fn parameter_status(name: &str, value: &str) -> ParameterStatus {
    ParameterStatus::new(name.to_owned(), value.to_owned())
}

/// End of a statement with its command tag.
#[must_use]
pub fn command_complete(tag: &str) -> CommandComplete {
    CommandComplete::new(tag.to_owned())
}

/// Numbers that a cancel request must carry.
#[must_use]
pub fn backend_key_data(pid: i32, secret: i32) -> BackendKeyData {
    BackendKeyData::new(pid, SecretKey::I32(secret))
}
