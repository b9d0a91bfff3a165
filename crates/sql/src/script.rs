//! Parsing and classification of a query string, which may contain several statements.

use std::ops::Range;

use base::document::Verb;
use sqlparser::{dialect::PostgreSqlDialect, parser::Parser, tokenizer::Token};

use crate::{inspect, session, tokens};

/// Maximum size of a parsed text, in bytes. A longer text is bulk data in nearly all cases, and
/// parsing it would delay every other caller of the process.
const MAX_PARSED_BYTES: usize = 256 << 10;
/// Maximum nesting depth for the parser; a deeper statement is not classified.
const MAX_DEPTH: usize = 50;

/// Maximum number of tokens of a statement that can nest an expression. The parser handles operator
/// chains in a loop, but visiting and dropping the syntax tree is recursive and overflows the stack
/// on long chains.
const MAX_NESTING_TOKENS: usize = 1_000;

/// What a statement does, as far as it can be determined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Only reads.
    Read,
    /// Changes data or schema.
    Write,
    /// Can't be classified; must be routed like a write.
    Unknown,
    /// Opens a transaction.
    Begin {
        /// Whether it is declared READ ONLY.
        read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls back a transaction.
    Rollback,
    /// Sets or resets a parameter of the session.
    Set {
        /// Name in lower case; `all` for RESET ALL.
        name: String,
        /// New value, or `None` for the default.
        value: Option<String>,
        /// Whether the setting lasts only until the end of the transaction.
        local: bool,
    },
    /// Shows a parameter of the session.
    Show(String),
    /// COPY in any direction.
    Copy,
    /// Deallocates the named prepared statement, or all if `None`.
    Deallocate(Option<String>),
    /// DISCARD ALL.
    Discard,
    /// Releases cursors, locks or channels that a session over pooled connections never holds.
    /// Contains the command tag of the response.
    Release(&'static str),
    /// Leaves state in the database session, so it can't be used over a pooled connection.
    /// Contains the command.
    SessionBound(&'static str),
}

/// A change of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableChange {
    /// Table name without schema, in lower case unless it is quoted.
    pub table: String,
    /// How its rows are changed.
    pub verb: Verb,
}

/// One statement of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// Classification.
    pub kind: Kind,
    /// Byte range within the text, without the semicolon.
    pub range: Range<usize>,
    /// Tables that it changes.
    pub changes: Vec<TableChange>,
    /// Whether it was parsed, so that `changes` is complete.
    pub parsed: bool,
}

/// The classified statements of a text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Script {
    /// Statements in order; empty for a text without any.
    pub statements: Vec<Statement>,
    /// Idempotency key from a leading comment.
    pub key: Option<String>,
}

impl Script {
    /// Parses and classifies a text. A statement that can't be parsed becomes [`Kind::Unknown`].
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let key = tokens::key(text);
        let split = (text.len() <= MAX_PARSED_BYTES)
            .then(|| tokens::split(text))
            .flatten();
        let statements = match split {
            Some(split) => split
                .into_iter()
                .map(|source| classify_statement(text, source))
                .collect(),
            None => vec![unparsed(text)],
        };
        Self { statements, key }
    }

    /// Whether a replica may run all of it outside a transaction.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.is_read_from(0)
    }

    /// Whether a replica may run the statements from index `first` on outside a transaction.
    ///
    /// # Panics
    /// Panics if there are fewer statements than `first`.
    #[must_use]
    pub fn is_read_from(&self, first: usize) -> bool {
        self.statements[first..].iter().all(|statement| {
            matches!(
                statement.kind,
                Kind::Read
                    | Kind::Show(_)
                    | Kind::Set { .. }
                    | Kind::Begin { read_only: true }
                    | Kind::Commit
                    | Kind::Rollback
            )
        })
    }

    /// Whether any statement changes data or might change data.
    #[must_use]
    pub fn may_write(&self) -> bool {
        self.statements
            .iter()
            .any(|statement| matches!(statement.kind, Kind::Write | Kind::Unknown))
    }
}

fn classify_statement(text: &str, source: tokens::StatementTokens) -> Statement {
    let range = source.range.clone();
    if let Some(kind) = session::classify(&source.tokens) {
        return Statement {
            kind,
            range,
            changes: Vec::new(),
            parsed: true,
        };
    }
    let nesting = source.tokens.iter().filter(|token| tokens::may_nest(token));
    if nesting.count() > MAX_NESTING_TOKENS {
        return Statement {
            range,
            ..unparsed(text)
        };
    }
    let dialect = PostgreSqlDialect {};
    let mut parser = Parser::new(&dialect)
        .with_recursion_limit(MAX_DEPTH)
        .with_tokens_with_locations(source.tokens);
    let parsed = parser
        .parse_statement()
        .ok()
        .filter(|_| parser.peek_token_ref().token == Token::EOF);
    match parsed {
        Some(parsed) => {
            let (kind, changes) = inspect::inspect(&parsed);
            Statement {
                kind,
                range,
                changes,
                parsed: true,
            }
        }
        None => Statement {
            range,
            ..unparsed(text)
        },
    }
}

fn unparsed(text: &str) -> Statement {
    Statement {
        kind: Kind::Unknown,
        range: 0..text.len(),
        changes: Vec::new(),
        parsed: false,
    }
}
