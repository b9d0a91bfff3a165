//! The service's rules for statements that must not run twice.

use base::document::{KeyRule, Rule};

use crate::{Script, Statement};

/// Finds the first rule that wants a key for some statement of `text`.
///
/// A statement that the parser didn't understand counts as a change of every table that its text
/// mentions, so that no spelling gets round a rule.
#[must_use]
pub fn rule_requiring_key<'a>(text: &str, script: &Script, rules: &'a [Rule]) -> Option<&'a Rule> {
    rules
        .iter()
        .filter(|rule| rule.key == KeyRule::Required)
        .find(|rule| {
            script
                .statements
                .iter()
                .any(|statement| concerns(text, statement, rule))
        })
}

fn concerns(text: &str, statement: &Statement, rule: &Rule) -> bool {
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
    let inside = |c: char| c.is_alphanumeric() || c == '_';
    !table.is_empty()
        && text.match_indices(table).any(|(at, found)| {
            !text[..at].ends_with(inside) && !text[at + found.len()..].starts_with(inside)
        })
}
