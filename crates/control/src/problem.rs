//! Errors of the administration API and the console.

use axum::{
    Json,
    http::StatusCode,
    response::{IntoResponse, Response},
};
use base::document::InvalidField;
use serde::Serialize;

use crate::{log::LogError, machine::Answer};

/// An error with its HTTP status; serialized as the JSON body of the response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// HTTP status.
    #[serde(skip)]
    pub status: StatusCode,
    /// What is wrong.
    pub cause: String,
    /// How to fix it.
    pub mend: String,
    /// Name of the invalid field, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
}

impl Problem {
    /// Creates an error that names no field.
    #[must_use]
    pub fn new(status: StatusCode, cause: &str, mend: &str) -> Self {
        Self {
            status,
            cause: cause.to_owned(),
            mend: mend.to_owned(),
            field: None,
        }
    }

    /// Creates an error for an invalid field.
    #[must_use]
    pub fn for_field(field: &str, cause: &str, mend: &str) -> Self {
        Self {
            field: Some(field.to_owned()),
            ..Self::new(StatusCode::BAD_REQUEST, cause, mend)
        }
    }

    /// Converts an answer other than [`Answer::Done`] to an error.
    #[must_use]
    pub fn from_answer(answer: Answer) -> Option<Self> {
        match answer {
            Answer::Done { .. } => None,
            Answer::Conflict { version } => Some(Self::new(
                StatusCode::CONFLICT,
                &format!("the version in force is {version}"),
                "read it, apply the change to it and send it as a new change",
            )),
            Answer::Refused { field, cause } => Some(match field.as_str() {
                "group" => Self {
                    field: Some(field),
                    ..Self::new(StatusCode::NOT_FOUND, &cause, "see /v1/status for groups")
                },
                "" => Self::new(StatusCode::CONFLICT, &cause, "wait until it is done"),
                _ => Self::for_field(&field, &cause, "see /v1/status for the names"),
            }),
        }
    }
}

impl From<InvalidField> for Problem {
    fn from(invalid: InvalidField) -> Self {
        Self::for_field(&invalid.field, &invalid.cause, &invalid.fix)
    }
}

impl From<LogError> for Problem {
    fn from(cause: LogError) -> Self {
        Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            &format!("{cause}; the outcome is unknown"),
            "send the change again with the same change id",
        )
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        (self.status, Json(self)).into_response()
    }
}
