//! Which entry process serves a group, and sessions at another one.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use base::{EntryName, MemberName, StoreId, document::Service};
use slog::info;

use crate::{
    dialect::{Dialect, OpenError, Upstream},
    near::NearEntry,
    network::Network,
};

/// Limit on the connection to a near entry process and on its answer: several round trips within a
/// zone. A process that does not answer is passed over, while the caller waits.
const FORWARD: Duration = Duration::from_millis(300);

impl<D: Dialect> Network<D> {
    /// Notes how many entry processes run, in how many zones.
    pub(crate) fn note_entries(&self, entries: u32, zones: u32) {
        if entries > 0 && (entries, zones) != self.near_entries.counts() {
            self.near_entries.set_counts(entries, zones);
            self.assign();
        }
    }

    /// Mark of the list of near entry processes that is known; 0 for none.
    pub(crate) const fn near_mark(&self) -> u64 {
        self.near_entries.mark()
    }

    /// Takes over the list of near entry processes.
    pub(crate) fn apply_near_list(&self, mark: u64, list: &BTreeMap<EntryName, SocketAddr>) {
        info!(self.log, "near entry processes"; "count" => list.len());
        self.near_entries.set_list(mark, list);
        self.assign();
    }

    /// Decides anew which near entry processes serve which groups.
    pub(crate) fn assign(&self) {
        let services: Vec<_> = self.config.borrow().groups.values().cloned().collect();
        self.near_entries
            .assign(services.iter().map(|service| &**service));
        self.reconcile();
        self.reassignment.notify(usize::MAX);
    }

    /// Whether it is known which entry processes serve a group, where that differs.
    #[must_use]
    pub fn is_assignment_known(&self) -> bool {
        self.settings.forwarding.is_none() || self.near_entries.is_complete()
    }

    /// Waits until the entry processes that serve the groups may be others than before.
    pub fn reassigned(&self) -> impl Future<Output = ()> + use<D> {
        self.reassignment.listen()
    }

    /// Entry process that the sessions of a service are to be forwarded to; `None` when this one
    /// serves them.
    #[must_use]
    pub fn forward_target(&self, service: &Service) -> Option<Rc<NearEntry>> {
        self.near_entries
            .forward_target(&service.group, &self.settings.name)
    }

    /// Opens a session on a route at a near entry process, which speaks the protocol of a database.
    ///
    /// # Errors
    /// It can't be reached (`None`), or it refuses the session.
    pub async fn forward(
        &self,
        near: &NearEntry,
        route: &str,
    ) -> Result<D::Client, Option<OpenError>> {
        let stream = base::net::connect(self.settings.host, near.address, FORWARD);
        let stream = stream.await.map_err(|_unreachable| None)?;
        let to = Upstream {
            group: route.to_owned(),
            member: MemberName::new(),
            store: StoreId::new(),
        };
        let opening = compio::time::timeout(FORWARD, self.dialect.open(stream, &to));
        opening.await.map_err(|_elapsed| None)?.map_err(Some)
    }

    /// Most entry processes that share the connections of a database of a group.
    pub(crate) fn sharers(&self, group: &str) -> u32 {
        let entries = self
            .config
            .borrow()
            .entries
            .max(self.near_entries.counts().0);
        self.near_entries.sharers(group).unwrap_or(entries)
    }
}
