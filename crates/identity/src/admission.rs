//! Decides whether an operation may start, or go on, for a caller.

use std::{
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};

use base::organisation::{KeyDigest, Organisation};

use crate::{Identities, UnknownKey};

/// For how long keys count while no control host is heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Validity {
    /// Keys of the last known configuration count for as long as it takes.
    Unbounded,
    /// Keys count only while the configuration was known to be current within this time.
    Within(Duration),
}

/// Why an operation is not run for a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The key belongs to no organisation.
    UnknownKey,
    /// No control host was heard for so long that the key may have been taken away.
    Outdated,
    /// The key belongs to another organisation than at the start of the transaction.
    Moved,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownKey => UnknownKey.fmt(f),
            Self::Outdated => f.write_str(
                "keys can't be checked, as no control host is reachable; connect to another host",
            ),
            Self::Moved => f.write_str("the key was moved to another organisation; start again"),
        }
    }
}

impl std::error::Error for Refused {}

impl From<UnknownKey> for Refused {
    fn from(_cause: UnknownKey) -> Self {
        Self::UnknownKey
    }
}

impl Validity {
    /// Whether keys count at `now`, if the configuration was last known to be current at
    /// `current_at`, both by a clock that counts suspended time.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use identity::Validity;
    ///
    /// let validity = Validity::Within(Duration::from_secs(5));
    /// let start = Instant::now();
    /// assert!(validity.holds(Some(start), start + Duration::from_secs(4)));
    /// assert!(!validity.holds(Some(start), start + Duration::from_secs(5)));
    /// ```
    #[must_use]
    pub fn holds(self, current_at: Option<Instant>, now: Instant) -> bool {
        match self {
            Self::Unbounded => true,
            Self::Within(bound) => {
                current_at.is_some_and(|at| now.saturating_duration_since(at) < bound)
            }
        }
    }
}

impl Identities {
    /// Identifies a caller like [`Self::identify`], with `current` telling whether keys count now
    /// ([`Validity::holds`]).
    ///
    /// ```
    /// use identity::{Identities, Refused};
    ///
    /// let identities = Identities::new(Some(Vec::new()));
    /// assert_eq!(identities.admit(false, None, false), Err(Refused::Outdated));
    /// assert_eq!(identities.admit(false, None, true), Err(Refused::UnknownKey));
    /// assert_eq!(identities.admit(true, None, false), Ok(None));
    /// ```
    ///
    /// # Errors
    /// The caller needs a key, and it is unknown or can't be checked.
    pub fn admit(
        &self,
        public: bool,
        key: Option<&KeyDigest>,
        current: bool,
    ) -> Result<Option<Rc<Organisation>>, Refused> {
        if self.needs_key(public) && !current {
            return Err(Refused::Outdated);
        }
        Ok(self.identify(public, key)?)
    }

    /// Checks that an operation which started for the organisation `owner` may go on. `None` stands
    /// for a caller that needed no key.
    ///
    /// ```
    /// use base::organisation::{KeyDigest, Organisation};
    /// use identity::{Identities, Refused};
    ///
    /// let key = KeyDigest::of(b"secret");
    /// let orders = Organisation {
    ///     name: "orders".to_owned(),
    ///     keys: vec![key],
    ///     priority: 0,
    ///     rate: None,
    /// };
    /// let identities = Identities::new(Some(vec![orders]));
    /// let confirm = |owner| identities.confirm(false, Some(&key), true, owner);
    /// assert_eq!(confirm(Some("orders")), Ok(()));
    /// assert_eq!(confirm(Some("tickets")), Err(Refused::Moved));
    /// ```
    ///
    /// # Errors
    /// The caller's key is unknown, can't be checked, or belongs to another organisation.
    pub fn confirm(
        &self,
        public: bool,
        key: Option<&KeyDigest>,
        current: bool,
        owner: Option<&str>,
    ) -> Result<(), Refused> {
        let known = self.admit(public, key, current)?;
        if known.as_ref().map(|known| known.name.as_str()) == owner {
            Ok(())
        } else {
            Err(Refused::Moved)
        }
    }
}
