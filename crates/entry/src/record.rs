//! Records of idempotency keys, and the digest that identifies a request.

use std::{
    fmt::Write as _,
    time::{SystemTime, UNIX_EPOCH},
};

use base::document::digest;
use serde::{Deserialize, Serialize};

use crate::{
    batch::{Batch, Step, encode_message},
    request::Request,
    statements::{NameChange, Names},
};

/// Maximum total size of the answers recorded with one key, in bytes.
pub(crate) const MAX_RECORDED_BYTES: usize = 32 << 10;
/// Maximum number of requests in a transaction with a key.
const MAX_REQUESTS: usize = 1_000;

/// Recorded answer to one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    pub(crate) digest: String,
    /// Messages without `ReadyForQuery`; `None` if they were too long to be recorded.
    pub(crate) messages: Option<Vec<u8>>,
}

/// Recorded outcome of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// SQLSTATE and message if it failed.
    pub(crate) failure: Option<(String, String)>,
    /// Answers to the requests in order.
    pub(crate) answers: Vec<RecordedAnswer>,
}

/// Record of a transaction with a key, collected until it commits.
#[derive(Debug)]
pub struct TransactionRecord {
    pub(crate) key: Box<str>,
    pub(crate) answers: Vec<RecordedAnswer>,
    pub(crate) recorded_bytes: usize,
    /// Whether an expired record of the key must be deleted first.
    pub(crate) expired: bool,
}

/// Transaction that committed before and is answered from its record.
#[derive(Debug)]
pub struct Replay {
    pub(crate) answers: std::vec::IntoIter<RecordedAnswer>,
    pub(crate) position: Option<base::Position>,
}

impl TransactionRecord {
    /// Whether the limit of requests is reached.
    pub(crate) fn is_full(&self) -> bool {
        self.answers.len() >= MAX_REQUESTS
    }

    /// Adds the answer to a request of the transaction.
    pub(crate) fn add(&mut self, request: &Request<'_>, messages: &[u8]) {
        self.recorded_bytes += messages.len();
        self.answers.push(RecordedAnswer {
            digest: request.digest(),
            messages: (self.recorded_bytes <= MAX_RECORDED_BYTES).then(|| messages.to_vec()),
        });
    }

    /// Statements that write the record.
    pub(crate) fn statements(&self, request: &Request<'_>) -> Vec<String> {
        let mut answers = self.answers.clone();
        answers.push(RecordedAnswer {
            digest: request.digest(),
            messages: Some(request.expected_answer("COMMIT")),
        });
        let digests: String = answers
            .iter()
            .map(|answer| answer.digest.as_str())
            .collect();
        let outcome = Outcome {
            failure: None,
            answers,
        };
        let mut statements = Vec::new();
        if self.expired {
            statements.push(delete_statement(&self.key));
        }
        statements.push(insert_statement(&self.key, &digest(&digests), &outcome));
        statements
    }
}

impl Request<'_> {
    /// Digest of everything that determines the effect of the request and the form of its answer.
    pub(crate) fn digest(&self) -> String {
        match self {
            Self::Simple(body) => digest(&format!("Q{}", String::from_utf8_lossy(body))),
            Self::Extended(batch) => batch.digest(),
        }
    }

    /// Answer that the request gets if it runs one statement without rows, with command tag `tag`.
    pub(crate) fn expected_answer(&self, tag: &str) -> Vec<u8> {
        let complete = encode_message(b'C', format!("{tag}\0").as_bytes());
        let Self::Extended(batch) = self else {
            return complete;
        };
        let mut out = Vec::new();
        for step in &batch.steps {
            match step {
                Step::Parse(..) => out.extend(encode_message(b'1', &[])),
                Step::Bind(.., answered) if *answered => {}
                Step::Bind(..) => out.extend(encode_message(b'2', &[])),
                Step::DescribeStatement(_) => {
                    out.extend(encode_message(b't', &[0, 0]));
                    out.extend(encode_message(b'n', &[]));
                }
                Step::DescribePortal(_) => out.extend(encode_message(b'n', &[])),
                Step::Execute(..) => out.extend_from_slice(&complete),
                Step::ClosePortal(_) => out.extend(encode_message(b'3', &[])),
                Step::Local(messages, _) | Step::Fail(messages) => out.extend_from_slice(messages),
            }
        }
        out
    }

    /// Applies the name changes that belong to a replayed answer.
    pub(crate) fn apply_names(&self, names: &mut Names) {
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

pub(crate) fn quote_literal(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

pub(crate) fn delete_statement(key: &str) -> String {
    format!(
        "DELETE FROM goldcrestrail_keys WHERE key = {}",
        quote_literal(key)
    )
}

pub(crate) fn insert_statement(key: &str, digest: &str, outcome: &Outcome) -> String {
    let outcome = serde_json::to_string(outcome).unwrap_or_default();
    format!(
        "INSERT INTO goldcrestrail_keys (key, digest, outcome, created) VALUES ({}, {}, {}, {})",
        quote_literal(key),
        quote_literal(digest),
        quote_literal(&outcome),
        now_seconds()
    )
}

/// Seconds since the Unix epoch. A record outlives this process and its host, so a monotonic clock
/// would not do.
pub(crate) fn now_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
