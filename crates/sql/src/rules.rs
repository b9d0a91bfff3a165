//! The rules of a service for statements that must not run twice.

use base::document::{KeyRule, Rule};

use crate::{Script, Statement};

/// Returns the first rule that requires an idempotency key for some statement of `text`.
///
/// A statement that could not be parsed is treated as a change of every table that its text
/// mentions, so that an unusual spelling can't bypass a rule.
#[must_use]
pub fn rule_requiring_key<'a>(text: &str, script: &Script, rules: &'a [Rule]) -> Option<&'a Rule> {
    rules
        .iter()
        .filter(|rule| rule.key == KeyRule::Required)
        .find(|rule| {
            script
                .statements
                .iter()
                .any(|statement| rule_applies(text, statement, rule))
        })
}

fn rule_applies(text: &str, statement: &Statement, rule: &Rule) -> bool {
    if !statement.parsed {
        let text = text.get(statement.range.clone()).unwrap_or(text);
        return mentions(&text.to_lowercase(), &rule.table.to_lowercase());
    }
    statement
        .changes
        .iter()
        .any(|change| change.table == rule.table && rule.verbs.contains(&change.verb))
}

fn mentions(text: &str, table: &str) -> bool {
    let is_identifier_char = |c: char| c.is_alphanumeric() || c == '_';
    !table.is_empty()
        && text.match_indices(table).any(|(at, found)| {
            !text[..at].ends_with(is_identifier_char)
                && !text[at + found.len()..].starts_with(is_identifier_char)
        })
}
