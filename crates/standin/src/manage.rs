//! Orders on management connections.

use std::{net::SocketAddr, rc::Rc};

use base::Term;
use slog::info;

use crate::{
    exec::{Outcome, Rows},
    member::Member,
    refusal::Refusal,
    store::Role,
    types::Field,
    value::{Type, Value},
};

/// An order to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// `SHOW upstream_status`
    Status,
    /// `PROMOTE TERM n`
    Promote(Term),
    /// `FOLLOW 'ip:port' TERM n`
    Follow(SocketAddr, Term),
}

impl Order {
    /// Reads an order; `None` when the text is another statement.
    ///
    /// # Errors
    /// 42601 when an order is incomplete, 22P02 when an address or a term is none.
    pub fn parse(sql: &str) -> Result<Option<Self>, Refusal> {
        let text = sql.trim().trim_end_matches(';').trim_end();
        let words: Vec<_> = text.split_whitespace().collect();
        let is = |i: usize, word: &str| words.get(i).is_some_and(|w| w.eq_ignore_ascii_case(word));
        if is(0, "show") && is(1, "upstream_status") && words.len() == 2 {
            return Ok(Some(Self::Status));
        }
        if is(0, "promote") {
            return match words.as_slice() {
                [_, _, number] if is(1, "term") => Ok(Some(Self::Promote(term(number)?))),
                _ => Err(Refusal::new("42601", "the order is PROMOTE TERM n")),
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
                            Refusal::new("22P02", format!("{address} is not an address 'ip:port'"))
                        })?;
                    Ok(Some(Self::Follow(address, term(number)?)))
                }
                _ => Err(Refusal::new(
                    "42601",
                    "the order is FOLLOW 'ip:port' TERM n",
                )),
            };
        }
        Ok(None)
    }

    /// Carries the order out.
    ///
    /// # Errors
    /// 55000 when the term is too old.
    pub fn run(self, member: &Rc<Member>) -> Result<Outcome, Refusal> {
        let known = member.store.borrow().position().term;
        match self {
            Self::Status => return Ok(status(member)),
            // A stubborn member takes no notice and does not admit it.
            Self::Promote(term) | Self::Follow(_, term)
                if member.faults.current().stubborn && term > known => {}
            Self::Promote(term) => {
                member.store.borrow_mut().promote(term)?;
                info!(member.log, "promoted"; "term" => term);
                member.announce_change();
            }
            Self::Follow(address, term) => {
                member.store.borrow_mut().follow(address, term)?;
                info!(member.log, "following"; "primary" => %address, "term" => term);
                member.announce_change();
            }
        }
        Ok(Outcome::tag(match self {
            Self::Promote(_) => "PROMOTE",
            _ => "FOLLOW",
        }))
    }
}

fn term(text: &str) -> Result<Term, Refusal> {
    text.parse()
        .map_err(|_invalid| Refusal::new("22P02", format!("{text} is not a term")))
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
