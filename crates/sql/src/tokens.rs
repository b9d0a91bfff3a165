//! Splitting of a text into statements, each with its byte range and tokens.

use std::ops::Range;

use sqlparser::{
    dialect::PostgreSqlDialect,
    keywords::Keyword,
    tokenizer::{Location, Token, TokenWithSpan, Tokenizer},
};

/// One statement of a text.
pub(crate) struct StatementTokens {
    /// Byte range within the text, without the semicolon.
    pub(crate) range: Range<usize>,
    /// Tokens without white space and comments.
    pub(crate) tokens: Vec<TokenWithSpan>,
}

/// Splits a text at its semicolons; `None` if it can't be tokenized.
pub(crate) fn split(text: &str) -> Option<Vec<StatementTokens>> {
    let dialect = PostgreSqlDialect {};
    let all = Tokenizer::new(&dialect, text)
        .tokenize_with_location()
        .ok()?;
    let mut offsets = OffsetTracker::new(text);
    let mut statements = Vec::new();
    let mut tokens = Vec::new();
    let mut start = 0;
    for token in all {
        match token.token {
            Token::SemiColon => {
                let end = offsets.offset(token.span.start)?;
                if !tokens.is_empty() {
                    statements.push(StatementTokens {
                        range: start..end,
                        tokens: std::mem::take(&mut tokens),
                    });
                }
                start = end + 1;
            }
            Token::Whitespace(_) | Token::EOF => {}
            _ => tokens.push(token),
        }
    }
    if !tokens.is_empty() {
        statements.push(StatementTokens {
            range: start..text.len(),
            tokens,
        });
    }
    Some(statements)
}

/// Returns the idempotency key from a leading comment `/* goldcrestrail.key=… */`.
pub(crate) fn key(text: &str) -> Option<String> {
    let comment = text.trim_start().strip_prefix("/*")?;
    let (comment, _rest) = comment.split_once("*/")?;
    let key = comment.trim().strip_prefix("goldcrestrail.key")?;
    let key = key.trim_start().strip_prefix('=')?.trim();
    let key = key
        .strip_prefix('\'')
        .and_then(|key| key.strip_suffix('\''))
        .unwrap_or(key);
    (!key.is_empty()).then(|| key.to_owned())
}

/// Converts the lines and columns of tokens, in ascending order, to byte offsets.
struct OffsetTracker<'a> {
    text: &'a str,
    offset: usize,
    line: u64,
    column: u64,
}

impl<'a> OffsetTracker<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            text,
            offset: 0,
            line: 1,
            column: 1,
        }
    }

    fn offset(&mut self, location: Location) -> Option<usize> {
        while (self.line, self.column) < (location.line, location.column) {
            let next = self.text[self.offset..].chars().next()?;
            self.offset += next.len_utf8();
            if next == '\n' {
                self.line += 1;
                self.column = 1;
            } else {
                self.column += 1;
            }
        }
        self.text[self.offset..]
            .starts_with(';')
            .then_some(self.offset)
    }
}

/// Returns the upper-case text of an unquoted word, `None` for any other token.
pub(crate) fn word(token: &TokenWithSpan) -> Option<String> {
    match &token.token {
        Token::Word(word) if word.quote_style.is_none() => Some(word.value.to_ascii_uppercase()),
        _ => None,
    }
}

/// Whether a token can nest an expression in another one. Names, values and commas can't, so lists
/// of them are parsed whatever their length. Parentheses are not counted because the parser limits
/// their nesting itself.
pub(crate) fn may_nest(token: &TokenWithSpan) -> bool {
    match &token.token {
        Token::Word(word) => word.keyword != Keyword::NoKeyword,
        Token::Number(..)
        | Token::SingleQuotedString(_)
        | Token::Placeholder(_)
        | Token::Comma
        | Token::Period
        | Token::LParen
        | Token::RParen => false,
        _ => true,
    }
}
