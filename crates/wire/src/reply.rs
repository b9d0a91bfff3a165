//! Constructors for the messages that a server sends.

use pgwire::messages::{
    response::{CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus},
    startup::{BackendKeyData, ParameterStatus, SecretKey},
};

/// `ErrorResponse` that leaves the session open. An empty `hint` is omitted.
#[must_use]
pub fn error(sqlstate: &str, message: &str, hint: &str) -> ErrorResponse {
    error_response("ERROR", sqlstate, message, hint)
}

/// `ErrorResponse` that ends the session. An empty `hint` is omitted.
#[must_use]
pub fn fatal(sqlstate: &str, message: &str, hint: &str) -> ErrorResponse {
    error_response("FATAL", sqlstate, message, hint)
}

fn error_response(severity: &str, sqlstate: &str, message: &str, hint: &str) -> ErrorResponse {
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', message.to_owned()),
    ];
    if !hint.is_empty() {
        fields.push((b'H', hint.to_owned()));
    }
    ErrorResponse::new(fields)
}

/// Body of a `NegotiateProtocolVersion` (type `v`), the response to a caller that requests a newer
/// minor version or protocol options: the session uses protocol 3.0 without any of `options`.
///
/// The version contains both major and minor, as PostgreSQL sends it; libpq rejects a bare minor
/// version.
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

/// `ReadyForQuery` with the transaction status.
#[must_use]
pub fn ready_for_query(status: TransactionStatus) -> ReadyForQuery {
    ReadyForQuery::new(status)
}

/// `ParameterStatus` that reports one parameter.
#[must_use]
pub fn parameter_status(name: &str, value: &str) -> ParameterStatus {
    ParameterStatus::new(name.to_owned(), value.to_owned())
}

/// `CommandComplete` with the command tag of a statement.
#[must_use]
pub fn command_complete(tag: &str) -> CommandComplete {
    CommandComplete::new(tag.to_owned())
}

/// `BackendKeyData` with the process id and secret key that a cancel request must contain.
#[must_use]
pub fn backend_key_data(pid: i32, secret: i32) -> BackendKeyData {
    BackendKeyData::new(pid, SecretKey::I32(secret))
}
