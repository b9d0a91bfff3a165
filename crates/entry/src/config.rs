//! Configuration in force at an entry process.

use std::{rc::Rc, time::Instant};

use base::{
    GroupName, Map, RouteName, ServiceName, Version,
    document::{Document, Route, Service},
    organisation::{KeyDigest, Organisation},
    patch,
};
use identity::{Identities, Refused};
use slog::{info, warn};

use crate::{dialect::Dialect, network::Network};

/// Configuration in force.
#[derive(Debug, Default)]
pub(crate) struct Config {
    version: Version,
    /// Source text of the document.
    text: String,
    pub(crate) entries: u32,
    pub(crate) services: Map<ServiceName, Rc<Service>>,
    pub(crate) groups: Map<GroupName, Rc<Service>>,
    routes: Map<RouteName, Rc<Route>>,
    identities: Identities,
    /// When the configuration was last known to be current, by [`base::clock`].
    current_at: Option<Instant>,
}

impl<D: Dialect> Network<D> {
    /// Version of the configuration in force; 0 before the first.
    #[must_use]
    pub fn config_version(&self) -> Version {
        self.config.borrow().version
    }

    /// Finds a service of the configuration in force.
    #[must_use]
    pub fn find_service(&self, name: &str) -> Option<Rc<Service>> {
        self.config.borrow().services.get(name).cloned()
    }

    /// Finds a route of the configuration in force.
    #[must_use]
    pub fn find_route(&self, name: &str) -> Option<Rc<Route>> {
        self.config.borrow().routes.get(name).cloned()
    }

    /// Applies `change`, a patch from configuration `base` to `version`. Does nothing if the
    /// configuration is not older than `version`, or if it is not `base`; a `base` of 0 is the empty
    /// text.
    pub(crate) fn apply_change(&self, version: Version, base: Version, change: &[u8]) {
        if version <= self.config_version() {
            return;
        }
        let old = self.config.borrow();
        let text = match base {
            0 => patch::apply("", change),
            base if base == old.version => patch::apply(&old.text, change),
            // Another control host sent a newer configuration meanwhile. The next watch asks for a
            // patch that starts from it.
            _ => return,
        };
        drop(old);
        match text {
            Ok(text) => self.apply_config(version, &text),
            Err(cause) => {
                warn!(self.log, "configuration change can't be applied"; "version" => version,
                    "base" => base, "cause" => %cause);
            }
        }
    }

    /// Replaces the configuration if `version` is newer.
    pub fn apply_config(&self, version: Version, text: &str) {
        if version <= self.config_version() {
            return;
        }
        let document = match Document::parse(text) {
            Ok(document) => document,
            Err(cause) => {
                warn!(self.log, "configuration can't be parsed"; "version" => version, "cause" => %cause);
                return;
            }
        };
        let services = document.services.into_iter().map(Rc::new);
        let services: Vec<_> = services.collect();
        let current_at = self.config.borrow().current_at;
        *self.config.borrow_mut() = Config {
            version,
            text: text.to_owned(),
            entries: document.entries.max,
            services: services
                .iter()
                .map(|service| (service.name.clone(), Rc::clone(service)))
                .collect(),
            groups: services
                .iter()
                .map(|service| (service.group.clone(), Rc::clone(service)))
                .collect(),
            routes: document
                .routes
                .into_iter()
                .map(|route| (route.name.clone(), Rc::new(route)))
                .collect(),
            identities: Identities::new(document.organisations),
            current_at,
        };
        info!(self.log, "configuration in force"; "version" => version);
        self.assign();
        self.notify_all_groups();
    }

    /// Whether callers that use a service by its own name need a key.
    #[must_use]
    pub fn asks_for_keys(&self) -> bool {
        self.config.borrow().identities.needs_key(false)
    }

    /// Records that no newer configuration was in force at `at` by [`base::clock`].
    pub(crate) fn record_current(&self, at: Option<Instant>) {
        let mut config = self.config.borrow_mut();
        config.current_at = config.current_at.max(at);
    }

    /// Identifies the organisation of a caller that sent `key`; `None` where callers need no key.
    /// Without a `route` the caller uses a service by its own name, which is not public. `now` is by
    /// [`base::clock`].
    ///
    /// # Errors
    /// The key belongs to no organisation of the configuration in force, or can't be checked.
    pub fn identify(
        &self,
        route: Option<&Route>,
        key: Option<&KeyDigest>,
        now: Instant,
    ) -> Result<Option<Rc<Organisation>>, Refused> {
        let config = self.config.borrow();
        let public = route.is_some_and(|route| route.public);
        let current = self.settings.keys.validity().holds(config.current_at, now);
        let known = config.identities.admit(public, key, current);
        known.inspect_err(|cause| self.count_refused_key(*cause))
    }

    /// Checks that an operation which started for the organisation `owner` may go on; `None` stands
    /// for a caller that needed no key. `route` and `now` are as in [`Self::identify`].
    ///
    /// # Errors
    /// The key no longer belongs to that organisation, or can't be checked.
    pub fn confirm_owner(
        &self,
        route: Option<&Route>,
        key: Option<&KeyDigest>,
        owner: Option<&str>,
        now: Instant,
    ) -> Result<(), Refused> {
        let config = self.config.borrow();
        let current = self.settings.keys.validity().holds(config.current_at, now);
        let in_force = route.map(|route| {
            let in_force = config.routes.get(&route.name);
            in_force.map_or(route, |route| &**route)
        });
        let public = in_force.is_some_and(|route| route.public);
        let confirmed = config.identities.confirm(public, key, current, owner);
        confirmed.inspect_err(|cause| self.count_refused_key(*cause))
    }

    fn count_refused_key(&self, cause: Refused) {
        let reason = match cause {
            Refused::UnknownKey => "unknown",
            Refused::Outdated => "outdated",
            Refused::Moved => "moved",
        };
        let counter = &self.metrics.refused_keys;
        counter.with_label_values(&[reason]).inc();
    }

    /// Finds an organisation of the configuration in force.
    #[must_use]
    pub fn find_organisation(&self, name: &str) -> Option<Rc<Organisation>> {
        self.config.borrow().identities.find(name)
    }

    /// Organisations of the configuration in force.
    #[must_use]
    pub fn organisations(&self) -> Vec<Rc<Organisation>> {
        self.config.borrow().identities.all()
    }
}
