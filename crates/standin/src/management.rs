//! Commands accepted on management connections.

use std::{net::SocketAddr, rc::Rc};

use base::Term;
use slog::info;

use crate::{
    exec::{Outcome, Rows},
    member::Member,
    sql_error::SqlError,
    store::Role,
    types::Field,
    value::{Type, Value},
};

/// A management command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ManagementCommand {
    /// `SHOW upstream_status`
    Status,
    /// `PROMOTE TERM n`
    Promote(Term),
    /// `FOLLOW 'ip:port' TERM n`
    Follow(SocketAddr, Term),
}

impl ManagementCommand {
    /// Parses a management command; returns `None` for any other statement.
    ///
    /// # Errors
    /// 42601 when a command is incomplete, 22P02 when an address or a term is invalid.
    pub fn parse(sql: &str) -> Result<Option<Self>, SqlError> {
        let text = sql.trim().trim_end_matches(';').trim_end();
        let words: Vec<_> = text.split_whitespace().collect();
        let is = |i: usize, word: &str| words.get(i).is_some_and(|w| w.eq_ignore_ascii_case(word));
        if is(0, "show") && is(1, "upstream_status") && words.len() == 2 {
            return Ok(Some(Self::Status));
        }
        if is(0, "promote") {
            return match words.as_slice() {
                [_, _, number] if is(1, "term") => Ok(Some(Self::Promote(parse_term(number)?))),
                _ => Err(SqlError::new("42601", "the order is PROMOTE TERM n")),
            };
        }
        if is(0, "follow") {
            return match words.as_slice() {
                [_, address, _, number] if is(2, "term") => {
                    let address = address
                        .strip_prefix('\'')
                        .and_then(|rest| rest.strip_suffix('\''))
                        .and_then(|text| text.parse().ok())
                        .ok_or_else(|| {
                            SqlError::new("22P02", format!("{address} is not an address 'ip:port'"))
                        })?;
                    Ok(Some(Self::Follow(address, parse_term(number)?)))
                }
                _ => Err(SqlError::new(
                    "42601",
                    "the order is FOLLOW 'ip:port' TERM n",
                )),
            };
        }
        Ok(None)
    }

    /// Executes the command.
    ///
    /// # Errors
    /// 55000 when the term is too old.
    pub fn run(self, member: &Rc<Member>) -> Result<Outcome, SqlError> {
        let current = member.store.borrow().position().term;
        match self {
            Self::Status => return Ok(status(member)),
            // A member with the `stubborn` fault reports success but ignores newer terms.
            Self::Promote(term) | Self::Follow(_, term)
                if member.faults.current().stubborn && term > current => {}
            Self::Promote(term) => {
                member.store.borrow_mut().promote(term)?;
                info!(member.log, "promoted to primary"; "term" => term);
                member.notify_change();
            }
            Self::Follow(address, term) => {
                member.store.borrow_mut().follow(address, term)?;
                info!(member.log, "following new primary"; "primary" => %address, "term" => term);
                member.notify_change();
            }
        }
        Ok(Outcome::tag(match self {
            Self::Promote(_) => "PROMOTE",
            _ => "FOLLOW",
        }))
    }
}

fn parse_term(text: &str) -> Result<Term, SqlError> {
    text.parse()
        .map_err(|_invalid| SqlError::new("22P02", format!("{text} is not a term")))
}

fn status(member: &Member) -> Outcome {
    let store = member.store.borrow();
    let position = store.position();
    let (role, primary) = match store.role() {
        Role::Primary => ("primary", String::new()),
        Role::Replica(None) => ("replica", String::new()),
        Role::Replica(Some((address, _term))) => ("replica", address.to_string()),
    };
    let row = [
        ("member", member.settings.member.clone()),
        ("store", store.id().clone()),
        ("role", role.to_owned()),
        ("term", position.term.to_string()),
        ("offset", position.offset.to_string()),
        ("primary", primary),
    ];
    let fields = row
        .iter()
        .map(|(name, _value)| Field::new(name, Type::Text))
        .collect();
    let values = row
        .iter()
        .map(|(_name, value)| Value::text(value))
        .collect();
    Outcome {
        tag: "SHOW".to_owned(),
        rows: Some(Rows {
            fields,
            rows: vec![values],
        }),
    }
}
