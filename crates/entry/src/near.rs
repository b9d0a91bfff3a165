//! Entry processes of the own availability zone, and the assignment of groups to them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{EntryName, GroupName, Map, document::Service};
use event_listener::Event;
use route::affinity;

/// An entry process of the same zone that accepts forwarded sessions.
#[derive(Debug)]
pub struct NearEntry {
    /// Name of the process.
    pub name: EntryName,
    /// Address for forwarded sessions.
    pub address: SocketAddr,
    /// Time of the last answer on any connection.
    last_answer: Cell<Option<Instant>>,
    /// Whether the control hosts removed it from their list.
    unlisted: Cell<bool>,
    /// Whether it failed to answer and has not answered since.
    unresponsive: Cell<bool>,
    changed: Event,
}

impl NearEntry {
    fn new(name: &str, address: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            name: name.to_owned(),
            address,
            last_answer: Cell::new(None),
            unlisted: Cell::new(false),
            unresponsive: Cell::new(false),
            changed: Event::new(),
        })
    }

    /// Records an answer.
    pub fn record_answer(&self, now: Instant) {
        self.last_answer.set(Some(now));
        self.unresponsive.set(false);
    }

    /// Whether it answered within `limit`.
    #[must_use]
    pub fn answered_within(&self, limit: Duration, now: Instant) -> bool {
        let answered = self.last_answer.get();
        answered.is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    /// Marks the process as unresponsive. Returns whether it was not marked before.
    pub fn mark_unresponsive(&self) -> bool {
        let changed = !self.unresponsive.replace(true);
        self.changed.notify(usize::MAX);
        changed
    }

    /// Whether the control hosts no longer list it, because it is stopping or does not renew.
    #[must_use]
    pub const fn is_unlisted(&self) -> bool {
        self.unlisted.get()
    }

    /// Whether it failed to answer and has not answered since.
    #[must_use]
    pub const fn is_unresponsive(&self) -> bool {
        self.unresponsive.get()
    }

    /// Whether sessions must not be forwarded to it.
    #[must_use]
    pub const fn is_unavailable(&self) -> bool {
        self.unlisted.get() || self.unresponsive.get()
    }

    /// Waits until it is unavailable.
    pub async fn wait_unavailable(&self) {
        loop {
            let changed = self.changed.listen();
            if self.is_unavailable() {
                return;
            }
            changed.await;
        }
    }
}

/// The entry processes of the own zone, including this one, according to the leader of the control
/// hosts.
#[derive(Debug, Default)]
pub struct NearEntries {
    mark: Cell<u64>,
    entries: Cell<u32>,
    zones: Cell<u32>,
    known: RefCell<BTreeMap<EntryName, Rc<NearEntry>>>,
    /// Number of processes of this zone that serve a group, for the groups that not all of them
    /// serve.
    serving: RefCell<BTreeMap<GroupName, usize>>,
    ranked: RefCell<Map<GroupName, Vec<EntryName>>>,
}

impl NearEntries {
    /// Mark that identifies the known list; 0 before the first.
    pub const fn mark(&self) -> u64 {
        self.mark.get()
    }

    /// Number of live entry processes of the deployment, and number of zones with any.
    pub const fn counts(&self) -> (u32, u32) {
        (self.entries.get(), self.zones.get())
    }

    /// Sets the number of live entry processes, and the number of zones with any.
    pub fn set_counts(&self, entries: u32, zones: u32) {
        self.entries.set(entries);
        self.zones.set(zones);
    }

    /// Replaces the list by `list`, which has the identifier `mark`.
    pub fn set_list(&self, mark: u64, list: &BTreeMap<EntryName, SocketAddr>) {
        self.mark.set(mark);
        let mut known = self.known.borrow_mut();
        known.retain(|name, near| {
            let listed = list.get(name) == Some(&near.address);
            if !listed {
                near.unlisted.set(true);
                near.changed.notify(usize::MAX);
            }
            listed
        });
        for (name, address) in list {
            known
                .entry(name.clone())
                .or_insert_with(|| NearEntry::new(name, *address));
        }
    }

    /// Recomputes which processes serve the groups of these services.
    pub fn assign<'a>(&self, services: impl Iterator<Item = &'a Service>) {
        let (entries, zones) = (self.entries.get(), self.zones.get());
        let serving = services.filter_map(|service| {
            let count = affinity::entries_per_zone(service.connections, entries, zones)?;
            Some((service.group.clone(), count))
        });
        let serving: BTreeMap<_, _> = serving.collect();
        let hosts: Vec<_> = self.known.borrow().keys().cloned().collect();
        *self.ranked.borrow_mut() = affinity::assign(&serving, &hosts);
        *self.serving.borrow_mut() = serving;
    }

    /// Number of entry processes that hold connections to the databases of a group; `None` when all
    /// do.
    pub fn sharing_entries(&self, group: &str) -> Option<u32> {
        let count = u32::try_from(*self.serving.borrow().get(group)?).ok()?;
        Some(count.saturating_mul(self.zones.get()))
    }

    /// Whether the assignment of groups to processes is known.
    pub fn is_complete(&self) -> bool {
        self.entries.get() > 0 && (self.mark.get() != 0 || self.serving.borrow().is_empty())
    }

    /// Whether the process `name` serves a group; `None` when all do.
    pub fn serves(&self, group: &str, name: &str) -> Option<bool> {
        let count = *self.serving.borrow().get(group)?;
        let ranked = self.ranked.borrow();
        let mut serving = ranked.get(group)?.iter().take(count);
        Some(serving.any(|host| host == name))
    }

    /// Process to which the process `own` forwards the sessions of a group; `None` when it serves
    /// them itself, also because all processes that rank before it are unavailable.
    ///
    /// Sessions of an organisation `owner` go to its home among the processes that serve the group,
    /// also from another of them.
    pub fn forward_target(
        &self,
        group: &str,
        own: &str,
        owner: Option<&str>,
    ) -> Option<Rc<NearEntry>> {
        let count = *self.serving.borrow().get(group)?;
        let ranked = self.ranked.borrow();
        let ranked = ranked.get(group)?;
        let (serving, others) = ranked.split_at(count.min(ranked.len()));
        let order = match owner {
            Some(owner) => affinity::home_order(serving, group, owner),
            None if serving.iter().any(|host| host == own) => return None,
            None => {
                // Each process starts at a different place of the list, which spreads the sessions
                // equally.
                let start = ranked
                    .iter()
                    .position(|host| host == own)
                    .unwrap_or_default();
                let first = start.checked_rem(serving.len()).unwrap_or_default();
                serving[first..].iter().chain(&serving[..first]).collect()
            }
        };
        let known = self.known.borrow();
        for name in order.into_iter().chain(others) {
            if name == own {
                return None;
            }
            if let Some(near) = known.get(name).filter(|near| !near.is_unavailable()) {
                return Some(Rc::clone(near));
            }
        }
        None
    }
}
