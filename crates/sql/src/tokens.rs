//! Cutting a text into statements, each with its bytes and its tokens.

use std::ops::Range;

use sqlparser::{
    dialect::PostgreSqlDialect,
    keywords::Keyword,
    tokenizer::{Location, Token, TokenWithSpan, Tokenizer},
};

/// One statement of a text.
pub(crate) struct Piece {
    /// Bytes of the text, without the semicolon.
    pub(crate) range: Range<usize>,
    /// Tokens without white space and comments.
    pub(crate) tokens: Vec<TokenWithSpan>,
}

/// Cuts a text at its semicolons; `None` when it can't be cut into tokens.
pub(crate) fn split(text: &str) -> Option<Vec<Piece>> {
    let dialect = PostgreSqlDialect {};
    let all = Tokenizer::new(&dialect, text)
        .tokenize_with_location()
        .ok()?;
    let mut places = Places::new(text);
    let mut pieces = Vec::new();
    let mut tokens = Vec::new();
    let mut start = 0;
    for token in all {
        match token.token {
            Token::SemiColon => {
                let end = places.offset(token.span.start)?;
                if !tokens.is_empty() {
                    pieces.push(Piece {
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
        pieces.push(Piece {
            range: start..text.len(),
            tokens,
        });
    }
    Some(pieces)
}

/// Value of a leading comment `/* goldcrestrail.key=… */`.
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

/// Turns the line and column of tokens, in rising order, into byte offsets.
struct Places<'a> {
    text: &'a str,
    at: usize,
    line: u64,
    column: u64,
}

impl<'a> Places<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            text,
            at: 0,
            line: 1,
            column: 1,
        }
    }

    fn offset(&mut self, place: Location) -> Option<usize> {
        while (self.line, self.column) < (place.line, place.column) {
            let next = self.text[self.at..].chars().next()?;
            self.at += next.len_utf8();
            if next == '\n' {
                self.line += 1;
                self.column = 1;
            } else {
                self.column += 1;
            }
        }
        self.text[self.at..].starts_with(';').then_some(self.at)
    }
}

/// Upper-case text of a token that is an unquoted word.
pub(crate) fn word(token: &TokenWithSpan) -> Option<String> {
    match &token.token {
        Token::Word(word) if word.quote_style.is_none() => Some(word.value.to_ascii_uppercase()),
        _ => None,
    }
}

/// Whether a token can put an expression into another one. Names, values and commas can't, so that
/// long lists of them are parsed whatever their length; parentheses nest, which the parser bounds.
pub(crate) fn links(token: &TokenWithSpan) -> bool {
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
