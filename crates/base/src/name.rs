//! Names that other programs give to databases and groups.

/// Whether a name can stand between the blanks of a line: it is not empty, has at most `max` bytes,
/// and has no blanks or control characters.
///
/// A line end in a name would end the message that carries it, and make the rest of the name a
/// message of its own.
///
/// ```
/// use base::name::is_word;
///
/// assert!(is_word("i-7f3a91c2", 63));
/// assert!(!is_word("i-7\r\nQUERY 1 STORE k v", 63));
/// assert!(!is_word("", 63));
/// assert!(!is_word("long", 3));
/// ```
#[must_use]
pub fn is_word(name: &str, max: usize) -> bool {
    (1..=max).contains(&name.len()) && !name.chars().any(|c| c.is_whitespace() || c.is_control())
}
