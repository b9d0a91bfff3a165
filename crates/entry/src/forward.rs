//! Assignment of groups to entry processes, and forwarding of sessions between them.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use base::{EntryName, MemberName, StoreId, document::Service, organisation::KeyDigest};
use slog::info;

use crate::{
    dialect::{Dialect, OWN_USER, OpenError, Upstream},
    near::NearEntry,
    network::Network,
};

/// Timeout of the connection to an entry process of the same zone, and of its answer: several round
/// trips within a zone. It is short because the caller waits meanwhile; a process that does not
/// answer is skipped.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(300);

impl<D: Dialect> Network<D> {
    /// Updates the number of running entry processes and the number of zones with any.
    pub(crate) fn note_entries(&self, entries: u32, zones: u32) {
        if entries > 0 && (entries, zones) != self.near_entries.counts() {
            self.near_entries.set_counts(entries, zones);
            self.assign();
        }
    }

    /// Mark of the known list of entry processes of this zone; 0 for none.
    pub(crate) const fn near_mark(&self) -> u64 {
        self.near_entries.mark()
    }

    /// Replaces the list of entry processes of this zone.
    pub(crate) fn apply_near_list(&self, mark: u64, list: &BTreeMap<EntryName, SocketAddr>) {
        info!(self.log, "near entry processes"; "count" => list.len());
        self.near_entries.set_list(mark, list);
        self.assign();
    }

    /// Recomputes which entry processes of this zone serve which groups.
    pub(crate) fn assign(&self) {
        let services: Vec<_> = self.config.borrow().groups.values().cloned().collect();
        self.near_entries
            .assign(services.iter().map(|service| &**service));
        self.reconcile();
        self.reassignment.notify(usize::MAX);
    }

    /// Whether the assignment of groups to entry processes is known, or is not needed because no
    /// sessions are forwarded.
    #[must_use]
    pub fn is_assignment_known(&self) -> bool {
        self.settings.forwarding.is_none() || self.near_entries.is_complete()
    }

    /// Waits until the assignment of groups may have changed.
    pub fn reassigned(&self) -> impl Future<Output = ()> + use<D> {
        self.reassignment.listen()
    }

    /// Entry process to which the sessions of a service are forwarded for the organisation `owner`,
    /// or for callers without one; `None` when this one serves them.
    #[must_use]
    pub fn forward_target(&self, service: &Service, owner: Option<&str>) -> Option<Rc<NearEntry>> {
        self.near_entries
            .forward_target(&service.group, &self.settings.name, owner)
    }

    /// Opens a session on `route` at another entry process, which speaks the protocol of a database,
    /// for a caller that sent `key`.
    ///
    /// # Errors
    /// `None` if the process does not answer, otherwise the reason why it refuses the session.
    pub async fn forward(
        &self,
        near: &NearEntry,
        route: &str,
        key: Option<&KeyDigest>,
    ) -> Result<D::Client, Option<OpenError>> {
        let stream = base::net::connect(self.settings.host, near.address, FORWARD_TIMEOUT);
        let stream = stream.await.map_err(|_unreachable| None)?;
        let to = Upstream {
            group: route.to_owned(),
            member: MemberName::new(),
            store: StoreId::new(),
            user: key.map_or_else(|| OWN_USER.to_owned(), ToString::to_string),
        };
        let opening = compio::time::timeout(FORWARD_TIMEOUT, self.dialect.open(stream, &to));
        opening.await.map_err(|_elapsed| None)?.map_err(Some)
    }

    /// Number of entry processes that share the connections of a database of a group.
    pub(crate) fn sharing_entries(&self, group: &str) -> u32 {
        let (running, _zones) = self.near_entries.counts();
        let configured = self.config.borrow().entries;
        let entries = if D::REPORTS_OVERLOAD && running > 0 {
            // Equal shares of the running processes use all connections, also while some processes
            // are down. A database that reports overload refuses what exceeds its limit.
            running
        } else {
            configured.max(running)
        };
        self.near_entries.sharing_entries(group).unwrap_or(entries)
    }
}
