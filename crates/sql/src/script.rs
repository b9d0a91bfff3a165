//! Meaning of a whole statement text.

use std::ops::Range;

use base::document::Verb;
use sqlparser::{dialect::PostgreSqlDialect, parser::Parser, tokenizer::Token};

use crate::{inspect, session, tokens};

/// Longest text that is parsed, in bytes. The text of a longer one is bulk data in nearly all
/// cases, and parsing it would hold up every other caller of the process.
const PARSED_BYTES: usize = 256 << 10;
/// Deepest nesting that the parser follows; a deeper statement is not classified.
const DEPTH: usize = 50;

/// Most tokens of a statement that may each put an expression into another one. Chains of operators
/// are parsed in a loop, but walked and dropped by recursion, which overflows the stack.
const LINKS: usize = 1_000;

/// What a statement does, as far as it is certain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Only reads.
    Read,
    /// Changes data or schema.
    Write,
    /// Can't be told apart with certainty; to be run where writes run.
    Unknown,
    /// Opens a transaction.
    Begin {
        /// Whether it is declared READ ONLY.
        read_only: bool,
    },
    /// Ends a transaction with its effects.
    Commit,
    /// Ends a transaction without its effects.
    Rollback,
    /// Sets or resets a parameter of the session.
    Set {
        /// Name in lower case; `all` for RESET ALL.
        name: String,
        /// New value, or `None` for the default.
        value: Option<String>,
        /// Whether it ends with the transaction.
        local: bool,
    },
    /// Shows a parameter of the session.
    Show(String),
    /// COPY in any direction.
    Copy,
    /// Forgets prepared statements, all or the one named.
    Deallocate(Option<String>),
    /// DISCARD ALL.
    Discard,
    /// Gives up cursors, locks or channels that a session over pooled connections never holds.
    /// Holds the command tag of its answer.
    Release(&'static str),
    /// Leaves state behind in the session of the database, so that it can't be used over a pooled
    /// connection. Holds the command.
    SessionBound(&'static str),
}

/// A change of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableChange {
    /// Table name without schema, in the case that the database sees.
    pub table: String,
    /// What is done to its rows.
    pub verb: Verb,
}

/// One statement of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// What it does.
    pub kind: Kind,
    /// Bytes of the text that it takes, without the semicolon.
    pub range: Range<usize>,
    /// Tables that it changes.
    pub changes: Vec<TableChange>,
    /// Whether the parser understood it, so that `changes` is complete.
    pub parsed: bool,
}

/// A statement text with its meaning.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Script {
    /// Statements in order; empty for a text without any.
    pub statements: Vec<Statement>,
    /// Key given by a leading comment.
    pub key: Option<String>,
}

impl Script {
    /// Classifies a text. Whatever can't be understood becomes [`Kind::Unknown`].
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let key = tokens::key(text);
        let pieces = (text.len() <= PARSED_BYTES)
            .then(|| tokens::split(text))
            .flatten();
        let statements = match pieces {
            Some(pieces) => pieces
                .into_iter()
                .map(|piece| statement(text, piece))
                .collect(),
            None => vec![opaque(text)],
        };
        Self { statements, key }
    }

    /// Whether a replica may run all of it outside a transaction.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.is_read_from(0)
    }

    /// Whether a replica may run all of it but the first statements outside a transaction.
    ///
    /// # Panics
    /// There are fewer statements than `first`.
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

    /// Whether some statement changes data, for certain or possibly.
    #[must_use]
    pub fn may_write(&self) -> bool {
        self.statements
            .iter()
            .any(|statement| matches!(statement.kind, Kind::Write | Kind::Unknown))
    }
}

fn statement(text: &str, piece: tokens::Piece) -> Statement {
    let range = piece.range.clone();
    if let Some(kind) = session::recognise(&piece.tokens) {
        return Statement {
            kind,
            range,
            changes: Vec::new(),
            parsed: true,
        };
    }
    let links = piece.tokens.iter().filter(|token| tokens::links(token));
    if links.count() > LINKS {
        return Statement {
            range,
            ..opaque(text)
        };
    }
    let dialect = PostgreSqlDialect {};
    let mut parser = Parser::new(&dialect)
        .with_recursion_limit(DEPTH)
        .with_tokens_with_locations(piece.tokens);
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
            ..opaque(text)
        },
    }
}

fn opaque(text: &str) -> Statement {
    Statement {
        kind: Kind::Unknown,
        range: 0..text.len(),
        changes: Vec::new(),
        parsed: false,
    }
}
