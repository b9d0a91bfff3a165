//! What is recorded with a key, and what of a request decides about it.

use std::{
    fmt::Write as _,
    time::{SystemTime, UNIX_EPOCH},
};

use base::document::digest;
use serde::{Deserialize, Serialize};

use crate::{
    batch::{Batch, Step, message},
    request::Request,
    statements::{NameChange, Names},
};

/// Bytes of answers that are kept with one key.
pub(crate) const KEPT_BYTES: usize = 32 << 10;
/// Requests that a transaction with a key may have.
const REQUESTS: usize = 1_000;

/// Answer to one request, as it was given first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    pub(crate) digest: String,
    /// Messages without `ReadyForQuery`; `None` when they were too long to be kept.
    pub(crate) messages: Option<Vec<u8>>,
}

/// First outcome of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// SQLSTATE and message when it failed.
    pub(crate) failure: Option<(String, String)>,
    /// Answers to its requests in order.
    pub(crate) answers: Vec<Answered>,
}

/// Record of a transaction with a key, until it commits.
#[derive(Debug)]
pub struct Record {
    pub(crate) key: Box<str>,
    pub(crate) answers: Vec<Answered>,
    pub(crate) kept: usize,
    /// Whether an expired record has to go first.
    pub(crate) expired: bool,
}

/// Transaction that ran before, and is answered from its record.
#[derive(Debug)]
pub struct Replay {
    pub(crate) answers: std::vec::IntoIter<Answered>,
    pub(crate) position: Option<base::Position>,
}

impl Record {
    /// Whether no further request fits.
    pub(crate) fn is_full(&self) -> bool {
        self.answers.len() >= REQUESTS
    }

    /// Adds the answer to a request of the transaction.
    pub(crate) fn add(&mut self, request: &Request<'_>, messages: &[u8]) {
        self.kept += messages.len();
        self.answers.push(Answered {
            digest: request.digest(),
            messages: (self.kept <= KEPT_BYTES).then(|| messages.to_vec()),
        });
    }

    /// Statements that write the record.
    pub(crate) fn statements(&self, request: &Request<'_>) -> Vec<String> {
        let mut answers = self.answers.clone();
        answers.push(Answered {
            digest: request.digest(),
            messages: Some(request.expected_answer("COMMIT")),
        });
        let digests: String = answers.iter().map(|given| given.digest.as_str()).collect();
        let outcome = Outcome {
            failure: None,
            answers,
        };
        let mut statements = Vec::new();
        if self.expired {
            statements.push(delete(&self.key));
        }
        statements.push(insert(&self.key, &digest(&digests), &outcome));
        statements
    }
}

impl Request<'_> {
    /// Digest of everything that decides what the request does and what its answer looks like.
    pub(crate) fn digest(&self) -> String {
        match self {
            Self::Simple(body) => digest(&format!("Q{}", String::from_utf8_lossy(body))),
            Self::Extended(batch) => batch.digest(),
        }
    }

    /// Answer when all that it runs is one statement without rows.
    pub(crate) fn expected_answer(&self, tag: &str) -> Vec<u8> {
        let complete = message(b'C', format!("{tag}\0").as_bytes());
        let Self::Extended(batch) = self else {
            return complete;
        };
        let mut out = Vec::new();
        for step in &batch.steps {
            match step {
                Step::Parse(..) => out.extend(message(b'1', &[])),
                Step::Bind(.., known) if *known => {}
                Step::Bind(..) => out.extend(message(b'2', &[])),
                Step::DescribeStatement(_) => {
                    out.extend(message(b't', &[0, 0]));
                    out.extend(message(b'n', &[]));
                }
                Step::DescribePortal(_) => out.extend(message(b'n', &[])),
                Step::Execute(..) => out.extend_from_slice(&complete),
                Step::ClosePortal(_) => out.extend(message(b'3', &[])),
                Step::Local(messages, _) | Step::Fail(messages) => out.extend_from_slice(messages),
            }
        }
        out
    }

    /// Applies the name changes that belong to a replayed answer.
    pub(crate) fn name(&self, names: &mut Names) {
        let Self::Extended(batch) = self else {
            return;
        };
        for step in &batch.steps {
            match step {
                Step::Parse(name, prepared) => {
                    let prepared = std::rc::Rc::clone(prepared);
                    names.apply(NameChange::Add(name.clone(), prepared));
                }
                Step::Local(_, Some(change)) => names.apply(change.clone()),
                _ => {}
            }
        }
    }
}

impl Batch {
    fn digest(&self) -> String {
        let mut text = String::new();
        for step in &self.steps {
            let _infallible = match step {
                Step::Parse(_, prepared) => {
                    write!(text, "P{}\0{:?}", prepared.text, prepared.types)
                }
                Step::Bind(portal, prepared, rest, _) => {
                    write!(text, "B{portal}\0{}\0{rest:?}", prepared.text)
                }
                Step::DescribeStatement(prepared) => write!(text, "S{}", prepared.text),
                Step::DescribePortal(portal) => write!(text, "D{portal}"),
                Step::Execute(portal, rows) => write!(text, "E{portal}\0{rows}"),
                Step::ClosePortal(portal) => write!(text, "C{portal}"),
                Step::Local(messages, _) => write!(text, "K{messages:?}"),
                Step::Fail(_) => write!(text, "F"),
            };
            text.push('\0');
        }
        digest(&text)
    }
}

pub(crate) fn literal(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

pub(crate) fn delete(key: &str) -> String {
    format!(
        "DELETE FROM goldcrestrail_keys WHERE key = {}",
        literal(key)
    )
}

pub(crate) fn insert(key: &str, digest: &str, outcome: &Outcome) -> String {
    let outcome = serde_json::to_string(outcome).unwrap_or_default();
    format!(
        "INSERT INTO goldcrestrail_keys (key, digest, outcome, created) VALUES ({}, {}, {}, {})",
        literal(key),
        literal(digest),
        literal(&outcome),
        now_seconds()
    )
}

/// Seconds since 1970, because a record outlives this process and its host.
pub(crate) fn now_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
