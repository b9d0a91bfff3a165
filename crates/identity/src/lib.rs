//! Decides which organisation a caller belongs to, by the key that it sent.

mod admission;

use std::{fmt, rc::Rc};

use base::{
    Map, OrgName,
    organisation::{KeyDigest, Organisation},
};

pub use admission::{Refused, Validity};

/// Organisations of one configuration.
#[derive(Debug, Default)]
pub struct Identities {
    /// `None` if the configuration has no organisations, so that callers need no key.
    organisations: Option<Map<OrgName, Rc<Organisation>>>,
    keys: Map<KeyDigest, Rc<Organisation>>,
}

/// The key of a caller belongs to no organisation, or the caller sent none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownKey;

impl fmt::Display for UnknownKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the key belongs to no organisation; connect with a key that is in force")
    }
}

impl std::error::Error for UnknownKey {}

impl Identities {
    /// Creates the index of a configuration's organisations, which have no key in common.
    #[must_use]
    pub fn new(organisations: Option<Vec<Organisation>>) -> Self {
        let organisations: Option<Vec<_>> =
            organisations.map(|list| list.into_iter().map(Rc::new).collect());
        let keys = organisations.iter().flatten().flat_map(|organisation| {
            let keys = organisation.keys.iter();
            keys.map(move |key| (*key, Rc::clone(organisation)))
        });
        Self {
            keys: keys.collect(),
            organisations: organisations.map(|list| {
                let named = list.into_iter();
                named.map(|org| (org.name.clone(), org)).collect()
            }),
        }
    }

    /// Identifies the organisation of a caller that sent `key` on a route, which is `public` if its
    /// callers need no key. `None` means that the caller needs none.
    ///
    /// ```
    /// use base::organisation::{KeyDigest, Organisation};
    /// use identity::{Identities, UnknownKey};
    ///
    /// let key = KeyDigest::of(b"secret");
    /// let orders = Organisation {
    ///     name: "orders".to_owned(),
    ///     keys: vec![key],
    ///     priority: 0,
    ///     rate: None,
    /// };
    /// let identities = Identities::new(Some(vec![orders]));
    /// let known = identities.identify(false, Some(&key)).unwrap();
    /// assert_eq!(known.unwrap().name, "orders");
    /// assert_eq!(identities.identify(false, None), Err(UnknownKey));
    /// ```
    ///
    /// # Errors
    /// The key is missing or belongs to no organisation.
    pub fn identify(
        &self,
        public: bool,
        key: Option<&KeyDigest>,
    ) -> Result<Option<Rc<Organisation>>, UnknownKey> {
        if !self.needs_key(public) {
            return Ok(None);
        }
        let known = key.and_then(|key| self.keys.get(key));
        known.cloned().map(Some).ok_or(UnknownKey)
    }

    /// Whether callers of a route need a key.
    #[must_use]
    pub const fn needs_key(&self, public: bool) -> bool {
        !public && self.organisations.is_some()
    }

    /// Finds an organisation by name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<Rc<Organisation>> {
        self.organisations.as_ref()?.get(name).cloned()
    }

    /// All organisations, in no particular order.
    #[must_use]
    pub fn all(&self) -> Vec<Rc<Organisation>> {
        let organisations = self.organisations.iter().flat_map(Map::values);
        organisations.cloned().collect()
    }
}
