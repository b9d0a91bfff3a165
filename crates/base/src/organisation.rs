//! Organisations that callers belong to, and the keys that identify them.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::OrgName;

/// Number of bytes of the digest of a key.
const DIGEST_BYTES: usize = 16;

/// Digest of a key. Only digests are stored and passed on, so that no log, metric or dump can show a
/// key.
///
/// ```
/// use base::organisation::KeyDigest;
///
/// let digest = KeyDigest::of(b"secret");
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// assert_ne!(digest, KeyDigest::of(b"other"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digest of a key as the caller sends it.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&Sha256::digest(key)[..DIGEST_BYTES]);
        Self(digest)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}

/// A text that is not the digest of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidDigest;

impl fmt::Display for InvalidDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = DIGEST_BYTES * 2;
        write!(
            f,
            "the digest of a key is not {digits} lower-case hexadecimal digits; write the first \
             {digits} digits of its SHA-256"
        )
    }
}

impl std::error::Error for InvalidDigest {}

impl FromStr for KeyDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        let digit = |byte: u8| match byte {
            b'0'..=b'9' => Ok(byte - b'0'),
            b'a'..=b'f' => Ok(byte - b'a' + 10),
            _ => Err(InvalidDigest),
        };
        if text.len() != DIGEST_BYTES * 2 {
            return Err(InvalidDigest);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            *byte = digit(pair[0])? << 4 | digit(pair[1])?;
        }
        Ok(Self(digest))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<Self, InvalidDigest> {
        text.parse()
    }
}

/// An organisation whose callers share keys, a rate limit and connections to databases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name that databases are told.
    pub name: OrgName,
    /// Digests of the keys that identify its callers.
    #[serde(default)]
    pub keys: Vec<KeyDigest>,
    /// Priority among the organisations; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Limit on its operations at all entry processes together.
    #[serde(default)]
    pub rate: Option<RateLimit>,
}

/// Limit on the operations of an organisation. An operation is a single statement or a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Sustained rate, in operations per second.
    pub per_second: u32,
    /// Number of operations that may exceed the sustained rate at any time.
    pub burst: u32,
}

impl RateLimit {
    /// Number of operations allowed in any span of length `window`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use base::organisation::RateLimit;
    ///
    /// let limit = RateLimit { per_second: 10, burst: 5 };
    /// assert_eq!(limit.allowed_in(Duration::from_secs(2)), 25.0);
    /// ```
    #[must_use]
    pub fn allowed_in(self, window: Duration) -> f64 {
        f64::from(self.per_second) * window.as_secs_f64() + f64::from(self.burst)
    }
}
