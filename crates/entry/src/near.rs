//! Entry processes of the own availability zone, and which of them serve each group.

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

/// An entry process that takes forwarded sessions.
#[derive(Debug)]
pub struct NearEntry {
    /// Name.
    pub name: EntryName,
    /// Address that takes forwarded sessions.
    pub address: SocketAddr,
    /// Last answer on any connection.
    heard: Cell<Option<Instant>>,
    /// Whether it left the list of the control hosts.
    gone: Cell<bool>,
    /// Whether it did not answer, and has not since.
    lost: Cell<bool>,
    changed: Event,
}

impl NearEntry {
    fn new(name: &str, address: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            name: name.to_owned(),
            address,
            heard: Cell::new(None),
            gone: Cell::new(false),
            lost: Cell::new(false),
            changed: Event::new(),
        })
    }

    /// Notes an answer.
    pub fn record_answer(&self, now: Instant) {
        self.heard.set(Some(now));
        self.lost.set(false);
    }

    /// Whether it answered within `limit`.
    #[must_use]
    pub fn answered_within(&self, limit: Duration, now: Instant) -> bool {
        let heard = self.heard.get();
        heard.is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    /// Notes that it does not answer; returns whether that is news.
    pub fn mark_unresponsive(&self) -> bool {
        let news = !self.lost.replace(true);
        self.changed.notify(usize::MAX);
        news
    }

    /// Whether the control hosts don't name it any more: it stops, or they don't hear from it.
    #[must_use]
    pub const fn is_unlisted(&self) -> bool {
        self.gone.get()
    }

    /// Whether sessions had better not be there.
    #[must_use]
    pub const fn is_unavailable(&self) -> bool {
        self.gone.get() || self.lost.get()
    }

    /// Waits until it is lost.
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

/// The entry processes of the own zone, this one included, as the leader of the control hosts tells.
#[derive(Debug, Default)]
pub struct NearEntries {
    mark: Cell<u64>,
    entries: Cell<u32>,
    zones: Cell<u32>,
    known: RefCell<BTreeMap<EntryName, Rc<NearEntry>>>,
    /// How many processes of this zone serve each group that not all of them serve.
    serving: RefCell<BTreeMap<GroupName, usize>>,
    ranked: RefCell<Map<GroupName, Vec<EntryName>>>,
}

impl NearEntries {
    /// Mark of the list that is known.
    pub const fn mark(&self) -> u64 {
        self.mark.get()
    }

    /// Live entry processes of the deployment, and the zones with some.
    pub const fn counts(&self) -> (u32, u32) {
        (self.entries.get(), self.zones.get())
    }

    /// Notes how many entry processes live, in how many zones.
    pub fn set_counts(&self, entries: u32, zones: u32) {
        self.entries.set(entries);
        self.zones.set(zones);
    }

    /// Takes over the list with a new mark.
    pub fn set_list(&self, mark: u64, list: &BTreeMap<EntryName, SocketAddr>) {
        self.mark.set(mark);
        let mut known = self.known.borrow_mut();
        known.retain(|name, near| {
            let stays = list.get(name) == Some(&near.address);
            if !stays {
                near.gone.set(true);
                near.changed.notify(usize::MAX);
            }
            stays
        });
        for (name, address) in list {
            known
                .entry(name.clone())
                .or_insert_with(|| NearEntry::new(name, *address));
        }
    }

    /// Decides anew which processes serve the groups of these services.
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

    /// Entry processes that hold connections to the databases of a group; `None` when all do.
    pub fn sharers(&self, group: &str) -> Option<u32> {
        let count = u32::try_from(*self.serving.borrow().get(group)?).ok()?;
        Some(count.saturating_mul(self.zones.get()))
    }

    /// Whether it is known which processes serve each group.
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

    /// Process that the sessions of a group at the process `own` are to be forwarded to; `None` when
    /// it serves them itself, as it does when all that rank before it are lost.
    pub fn forward_target(&self, group: &str, own: &str) -> Option<Rc<NearEntry>> {
        let count = *self.serving.borrow().get(group)?;
        let ranked = self.ranked.borrow();
        let ranked = ranked.get(group)?;
        let serving = &ranked[..count.min(ranked.len())];
        if serving.iter().any(|host| host == own) {
            return None;
        }
        // Each process starts elsewhere in the list, so that those that serve get equal parts.
        let start = ranked
            .iter()
            .position(|host| host == own)
            .unwrap_or_default();
        let turn = start.checked_rem(serving.len()).unwrap_or_default();
        let order = serving[turn..].iter().chain(&serving[..turn]);
        let known = self.known.borrow();
        for name in order.chain(&ranked[serving.len()..]) {
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
