//! Statements about the session itself, classified by their keywords without the parser.

use sqlparser::tokenizer::{Token, TokenWithSpan};

use crate::{Kind, tokens::word};

/// Classifies a statement that concerns the session; `None` for any other.
pub(crate) fn classify(tokens: &[TokenWithSpan]) -> Option<Kind> {
    let (first, rest) = tokens.split_first()?;
    match word(first)?.as_str() {
        "SET" => parse_set(rest),
        "RESET" => parse_reset(rest),
        "SHOW" => Some(Kind::Show(parse_name(rest)?.0)),
        "COPY" => Some(Kind::Copy),
        "DISCARD" => match word(rest.first()?)?.as_str() {
            "ALL" => Some(Kind::Discard),
            _ => Some(Kind::SessionBound("DISCARD")),
        },
        "DEALLOCATE" => {
            let rest = match word(rest.first()?).as_deref() {
                Some("PREPARE") => &rest[1..],
                _ => rest,
            };
            match word(rest.first()?).as_deref() {
                Some("ALL") => Some(Kind::Deallocate(None)),
                _ => Some(Kind::Deallocate(Some(identifier(rest.first()?)?))),
            }
        }
        "LISTEN" => Some(Kind::SessionBound("LISTEN")),
        "UNLISTEN" => Some(Kind::Release("UNLISTEN")),
        "CLOSE" if is_word(rest.first(), "ALL") => Some(Kind::Release("CLOSE CURSOR ALL")),
        "SELECT" if is_unlock_all(rest) => Some(Kind::Release("SELECT 1")),
        "DECLARE" if is_with_hold(rest) => Some(Kind::SessionBound("DECLARE … WITH HOLD")),
        "PREPARE" if is_word(rest.first(), "TRANSACTION") => {
            Some(Kind::SessionBound("PREPARE TRANSACTION"))
        }
        "PREPARE" => Some(Kind::SessionBound("PREPARE")),
        "EXECUTE" => Some(Kind::SessionBound("EXECUTE")),
        "LOAD" => Some(Kind::SessionBound("LOAD")),
        "CREATE" if is_temporary(rest) => Some(Kind::SessionBound("CREATE TEMPORARY")),
        _ => None,
    }
}

fn is_word(token: Option<&TokenWithSpan>, expected: &str) -> bool {
    token.and_then(word).as_deref() == Some(expected)
}

/// Whether the rest of a SELECT releases all advisory locks of the session and does nothing else.
fn is_unlock_all(rest: &[TokenWithSpan]) -> bool {
    matches!(rest, [function, open, close]
        if is_word(Some(function), "PG_ADVISORY_UNLOCK_ALL")
            && open.token == Token::LParen
            && close.token == Token::RParen)
}

/// Whether the rest of a DECLARE creates a cursor that outlives its transaction.
fn is_with_hold(rest: &[TokenWithSpan]) -> bool {
    let pairs = rest.windows(2);
    pairs
        .take_while(|pair| !is_word(pair.first(), "FOR"))
        .any(|pair| is_word(pair.first(), "WITH") && is_word(pair.get(1), "HOLD"))
}

fn is_temporary(rest: &[TokenWithSpan]) -> bool {
    rest.iter()
        .take(4)
        .map_while(word)
        .take_while(|word| !matches!(word.as_str(), "TABLE" | "VIEW" | "SEQUENCE"))
        .any(|word| matches!(word.as_str(), "TEMP" | "TEMPORARY"))
}

fn parse_set(mut rest: &[TokenWithSpan]) -> Option<Kind> {
    let mut local = false;
    match word(rest.first()?).as_deref() {
        Some("LOCAL") => {
            local = true;
            rest = &rest[1..];
        }
        Some("SESSION") => {
            rest = &rest[1..];
            match word(rest.first()?).as_deref() {
                Some("CHARACTERISTICS") => {
                    return Some(Kind::SessionBound("SET SESSION CHARACTERISTICS"));
                }
                Some("AUTHORIZATION") => {
                    return Some(Kind::SessionBound("SET SESSION AUTHORIZATION"));
                }
                _ => {}
            }
        }
        _ => {}
    }
    let (name, rest) = match word(rest.first()?).as_deref() {
        // These two apply to the current transaction.
        Some("TRANSACTION" | "CONSTRAINTS") => return Some(Kind::Unknown),
        Some("ROLE") => return Some(Kind::SessionBound("SET ROLE")),
        Some("NAMES") => ("client_encoding".to_owned(), &rest[1..]),
        Some("TIME") if word(rest.get(1)?).as_deref() == Some("ZONE") => {
            ("timezone".to_owned(), &rest[2..])
        }
        _ => {
            let (name, rest) = parse_name(rest)?;
            let (sign, rest) = rest.split_first()?;
            if sign.token != Token::Eq && word(sign).as_deref() != Some("TO") {
                return None;
            }
            (name, rest)
        }
    };
    let default = matches!(rest, [only] if word(only).as_deref() == Some("DEFAULT"));
    let value = if default {
        None
    } else {
        Some(parse_value(rest)?)
    };
    Some(Kind::Set { name, value, local })
}

fn parse_reset(rest: &[TokenWithSpan]) -> Option<Kind> {
    let (name, rest) = parse_name(rest)?;
    let name = match name.as_str() {
        "time" if !rest.is_empty() => "timezone".to_owned(),
        "role" | "session" => return Some(Kind::SessionBound("RESET ROLE")),
        _ if rest.is_empty() => name,
        _ => return None,
    };
    Some(Kind::Set {
        name,
        value: None,
        local: false,
    })
}

/// Parses a name of one or more parts, and returns it with the remaining tokens.
fn parse_name(rest: &[TokenWithSpan]) -> Option<(String, &[TokenWithSpan])> {
    let (first, mut rest) = rest.split_first()?;
    let mut name = identifier(first)?;
    while let [dot, next, tail @ ..] = rest {
        if dot.token != Token::Period {
            break;
        }
        name.push('.');
        name.push_str(&identifier(next)?);
        rest = tail;
    }
    Some((name.to_ascii_lowercase(), rest))
}

fn identifier(token: &TokenWithSpan) -> Option<String> {
    match &token.token {
        Token::Word(word) if word.quote_style.is_some() => Some(word.value.clone()),
        Token::Word(word) => Some(word.value.to_ascii_lowercase()),
        _ => None,
    }
}

/// Parses the value of a SET: words, strings and numbers separated by commas.
fn parse_value(rest: &[TokenWithSpan]) -> Option<String> {
    let mut text = String::new();
    for (i, part) in rest.split(|token| token.token == Token::Comma).enumerate() {
        if i > 0 {
            text.push_str(", ");
        }
        let (minus, token) = match part {
            [token] => (false, token),
            [minus, token] if minus.token == Token::Minus => (true, token),
            _ => return None,
        };
        if minus {
            text.push('-');
        }
        match &token.token {
            Token::SingleQuotedString(part) | Token::EscapedStringLiteral(part) => {
                text.push_str(part);
            }
            Token::Number(number, _) => text.push_str(number),
            Token::Word(word) => text.push_str(&word.value),
            _ => return None,
        }
    }
    Some(text)
}
