//! Session variables and prepared statements of a pooled connection.

use std::{borrow::Cow, collections::BTreeMap, fmt::Write as _, rc::Rc};

use base::{Set, document::digest_bytes};
use bstr::{BStr, BString};

use crate::{command::StatementKind, session::MAX_NAMES, statement::Setup};

/// Session variables by name.
pub type SessionVariables = BTreeMap<BString, BString>;

/// Prepared statements that a connection keeps; when there are more, all are dropped by a reset.
const MAX_PREPARED: usize = 256;

/// Longest text that a connection keeps as it is, in bytes. Of a longer one it keeps the digest: all
/// pooled connections together would keep many copies.
const MAX_KEPT_BYTES: usize = 256;

/// The text, or a shorter one in its place that differs from those of all other texts.
fn shortened(text: &BString) -> Cow<'_, BStr> {
    if text.len() <= MAX_KEPT_BYTES {
        return Cow::Borrowed(BStr::new(text));
    }
    // The blanks make it longer than any text that is kept as it is.
    let mut digest = digest_bytes(text);
    digest.push_str(&" ".repeat(MAX_KEPT_BYTES));
    Cow::Owned(digest.into())
}

/// A prepared statement.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PreparedStatement {
    /// Whether the statement reads or writes.
    pub kind: StatementKind,
    /// Statement template.
    pub template: BString,
    /// Name on pooled connections, derived from the kind and the template.
    pub name: BString,
}

impl PreparedStatement {
    /// Creates a prepared statement.
    ///
    /// The name encodes the kind and the whole template, or the digest of a long template, so
    /// different statements have different names.
    ///
    /// ```
    /// use session::{PreparedStatement, StatementKind};
    ///
    /// let read = PreparedStatement::new(StatementKind::Read, "q2c".into());
    /// assert_ne!(read.name, PreparedStatement::new(StatementKind::Write, "q2c".into()).name);
    /// ```
    #[must_use]
    pub fn new(kind: StatementKind, template: BString) -> Self {
        let mut name = String::from(match kind {
            StatementKind::Read => "r",
            StatementKind::Write => "w",
        });
        let text: &[u8] = if template.len() > MAX_KEPT_BYTES {
            // An escaped byte is never followed by this.
            name.push_str("__");
            name.push_str(&digest_bytes(&template));
            b""
        } else {
            &template
        };
        for byte in text.iter().copied() {
            if byte.is_ascii_lowercase() || byte.is_ascii_digit() {
                name.push(char::from(byte));
            } else {
                let _infallible = write!(name, "_{byte:02X}");
            }
        }
        Self {
            kind,
            template,
            name: name.into(),
        }
    }
}

/// Session variables and the prepared statement that a statement needs on its connection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SessionState {
    /// Variables of the session.
    pub variables: Rc<SessionVariables>,
    /// Prepared statement that it runs; `None` for a statement sent as text.
    pub prepared: Option<Rc<PreparedStatement>>,
    /// Whether it belongs to a transaction, whose start shares the round trip of its setup.
    pub in_transaction: bool,
}

/// State of a pooled connection that persists across the sessions that use it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionState {
    variables: SessionVariables,
    prepared: Set<BString>,
    /// Whether the variables on the connection may differ from `variables`.
    invalidated: bool,
    transaction: TransactionEffect,
}

/// What the end of a connection's transaction does to its session variables.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum TransactionEffect {
    /// No transaction is open.
    #[default]
    None,
    /// Nothing: all were set before the transaction.
    Unchanged,
    /// A rollback may revert some that were set within the transaction.
    Revertible,
}

impl ConnectionState {
    /// Records the end of a transaction, if one was open. After a rollback, the variables that were set
    /// within it are unknown.
    pub fn end_transaction(&mut self, committed: bool) {
        let effect = std::mem::take(&mut self.transaction);
        self.invalidated |= !committed && effect == TransactionEffect::Revertible;
    }

    /// Marks the session variables as unknown, so that the next statement resets the connection.
    pub const fn invalidate(&mut self) {
        self.invalidated = true;
    }

    /// Statements that give the connection the state of a session.
    ///
    /// ```
    /// use std::rc::Rc;
    /// use session::{ConnectionState, SessionState, Setup};
    ///
    /// let variables = Rc::new([("tz".into(), "east".into())].into());
    /// let session = SessionState { variables, ..SessionState::default() };
    /// let mut connection = ConnectionState::default();
    /// let set = Setup::Set { name: "tz".into(), value: "east".into() };
    /// assert_eq!(connection.setup_statements(&session), [set.clone()]);
    /// connection.apply(&set);
    /// assert_eq!(connection.setup_statements(&session), []);
    /// ```
    #[must_use]
    pub fn setup_statements<'a>(&self, session: &'a SessionState) -> Vec<Setup<'a>> {
        let mut statements = Vec::new();
        let reset = self.needs_reset(session);
        if reset {
            statements.push(Setup::Reset);
        }
        for (name, value) in &*session.variables {
            if reset || !self.has_value(name, value) {
                statements.push(Setup::Set {
                    name: name.as_ref(),
                    value: value.as_ref(),
                });
            }
        }
        if let Some(prepared) = &session.prepared
            && (reset || !self.prepared.contains(&prepared.name))
        {
            statements.push(Setup::Prepare {
                name: prepared.name.as_ref(),
                kind: prepared.kind,
                template: prepared.template.as_ref(),
            });
        }
        statements
    }

    /// Cost of giving the connection the state of a session: the number of statements; more for a
    /// reset, which drops the prepared statements of other sessions.
    #[must_use]
    pub fn setup_cost(&self, session: &SessionState) -> u32 {
        let number = if self.needs_reset(session) {
            MAX_NAMES + self.prepared.len()
        } else {
            let variables = session.variables.iter();
            let missing = variables.filter(|(name, value)| !self.has_value(name, value));
            let unprepared = session
                .prepared
                .iter()
                .filter(|prepared| !self.prepared.contains(&prepared.name));
            missing.count() + unprepared.count()
        };
        u32::try_from(number).unwrap_or(u32::MAX)
    }

    /// Whether only a reset takes the connection to the state of a session.
    fn needs_reset(&self, session: &SessionState) -> bool {
        let is_known = |name: &&BString| self.variables.contains_key(&*shortened(name));
        let known = session.variables.keys().filter(is_known).count();
        let is_full = session.prepared.is_none() && self.prepared.len() >= MAX_PREPARED;
        self.invalidated || is_full || known < self.variables.len()
    }

    fn has_value(&self, name: &BString, value: &BString) -> bool {
        let known = self.variables.get(&*shortened(name));
        known.is_some_and(|known| BStr::new(known) == &*shortened(value))
    }

    /// Records the effect of a setup statement that succeeded.
    pub fn apply(&mut self, statement: &Setup<'_>) {
        if self.transaction == TransactionEffect::Unchanged {
            self.transaction = TransactionEffect::Revertible;
        }
        match statement {
            Setup::Reset => {
                let transaction = self.transaction;
                *self = Self {
                    transaction,
                    ..Self::default()
                };
            }
            Setup::Set { name, value } => {
                let (name, value) = ((*name).to_owned(), (*value).to_owned());
                let value = shortened(&value).into_owned();
                self.variables.insert(shortened(&name).into_owned(), value);
            }
            Setup::Prepare { name, .. } => {
                self.prepared.insert((*name).to_owned());
            }
            Setup::Begin(_) => self.transaction = TransactionEffect::Unchanged,
        }
    }

    /// Removes a prepared statement that the database does not know.
    pub fn forget(&mut self, prepared: &PreparedStatement) {
        self.prepared.remove(&prepared.name);
    }
}
