//! Everything that this process knows about the deployment, and the members that it talks to.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{
    GroupName, Map, MemberName, RouteName, ServiceName, Set, StoreId, Version,
    document::{Document, Route, Service},
    patch,
};
use compio::runtime::JoinHandle;
use event_listener::Event;
use route::{Announcement, Directory, Health, Place, WriteLease};
use slog::{Logger, info, warn};

use crate::{
    cancel::CancelRelay,
    dialect::{Dialect, Upstream},
    group::{Group, Phase, Record},
    member::Member,
    metrics::Metrics,
    near::NearEntries,
    pool::{Limits, Pool},
    postgres::Postgres,
    registry::Registry,
    settings::Settings,
};

/// Members of a group are probed for this long after its last use.
const USED: Duration = Duration::from_mins(1);
/// As [`USED`], for a group that other entry processes serve: its connections are theirs.
const LEFT: Duration = Duration::from_secs(3);
/// Observers of one group; several in each zone, so that the loss of a few keeps a majority.
const OBSERVERS: u32 = 12;
/// Members not heard from for this long are forgotten.
const FORGET: Duration = Duration::from_mins(10);
/// The control hosts declare a primary failed when it was silent for this long.
const FAILED: Duration = Duration::from_millis(1_500);
/// A control host that answered within this time counts as reachable: three renewals.
const REACHABLE: Duration = Duration::from_millis(1_800);
/// Rest of the write lease at which two renewals in a row must have failed.
const FADING: Duration = Duration::from_millis(500);
/// A process whose write lease ended this long ago counts as cut off; a renewal may just be late.
const ISOLATED: Duration = Duration::from_millis(200);
/// Time between rounds of periodic work.
const TICK: Duration = Duration::from_millis(100);

/// What is known about one control host.
#[derive(Debug, Clone)]
pub struct ControlHost {
    /// Name that it gave, once it answered.
    pub name: String,
    /// Last answer.
    pub last_answer: Option<Instant>,
    /// Whether it leads.
    pub leader: bool,
    /// Age of its state when it last answered.
    pub state_age: Duration,
    /// Shortest time that an answer to a renewal took.
    pub min_round_trip: Option<Duration>,
    /// Versions of its directory: (run, version).
    pub directory_version: (u64, u64),
}

/// Configuration in force.
#[derive(Debug, Default)]
pub(crate) struct Config {
    version: Version,
    /// What it was read from.
    text: String,
    pub(crate) entries: u32,
    pub(crate) services: Map<ServiceName, Rc<Service>>,
    pub(crate) groups: Map<GroupName, Rc<Service>>,
    routes: Map<RouteName, Rc<Route>>,
}

/// A member that a group should have.
struct Expected {
    name: MemberName,
    store: StoreId,
    address: SocketAddr,
    place: Place,
    /// Statements that it runs at once, if it announced that.
    slots: Option<u32>,
}

/// State of an entry process.
#[derive(Debug)]
pub struct Network<D: Dialect = Postgres> {
    pub(crate) dialect: Rc<D>,
    /// Settings of the process.
    pub settings: Settings,
    /// Random id of this run of the process.
    pub run: u64,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Logger.
    pub log: Logger,
    /// Sessions of this process.
    pub registry: Rc<Registry>,
    pub(crate) passing: CancelRelay,
    pub(crate) directory: RefCell<Directory>,
    /// Announcements that arrived here, for the control hosts.
    pub(crate) announcements: RefCell<Map<MemberName, (Announcement, Instant)>>,
    pub(crate) lease: RefCell<WriteLease>,
    pub(crate) hosts: RefCell<Map<SocketAddr, ControlHost>>,
    /// Notified when a renewal should not wait for its interval.
    pub(crate) renew_now: Rc<Event>,
    pub(crate) config: RefCell<Config>,
    known_records: Cell<Version>,
    unused_records: RefCell<Map<GroupName, Record>>,
    pub(crate) groups: RefCell<Map<GroupName, Rc<Group>>>,
    pub(crate) members: RefCell<Map<MemberName, Rc<Member<D>>>>,
    /// Links to control hosts; dropping one ends it.
    links: RefCell<Map<SocketAddr, JoinHandle<()>>>,
    /// Whether all control hosts are known, so that a majority of them can be counted.
    control_hosts_known: Cell<bool>,
    /// Entry processes that run, and those of the own zone.
    pub(crate) near_entries: NearEntries,
    /// Notified when other entry processes may serve a group than before.
    pub(crate) reassignment: Event,
    stopped: Cell<bool>,
    stop: Event,
    stop_requests: Event,
}

impl Network {
    /// Makes the state of a process that knows nothing yet, in front of databases that speak the
    /// PostgreSQL protocol.
    #[must_use]
    pub fn new(settings: Settings, log: Logger) -> Rc<Self> {
        Self::with_dialect(Postgres, settings, log)
    }
}

impl<D: Dialect> Network<D> {
    /// Makes the state of a process that knows nothing yet.
    #[must_use]
    pub fn with_dialect(dialect: D, settings: Settings, log: Logger) -> Rc<Self> {
        let lease = WriteLease::new(settings.control.len());
        let seated = !settings.discover;
        let (run, metrics) = (rand::random(), Metrics::new());
        Rc::new(Self {
            dialect: Rc::new(dialect),
            settings,
            run,
            registry: Rc::new(Registry::new(run, metrics.callers.clone())),
            passing: CancelRelay::default(),
            metrics,
            log,
            directory: RefCell::default(),
            announcements: RefCell::default(),
            lease: RefCell::new(lease),
            hosts: RefCell::default(),
            renew_now: Rc::default(),
            config: RefCell::default(),
            known_records: Cell::default(),
            unused_records: RefCell::default(),
            groups: RefCell::default(),
            members: RefCell::default(),
            links: RefCell::default(),
            control_hosts_known: Cell::new(seated),
            near_entries: NearEntries::default(),
            reassignment: Event::new(),
            stopped: Cell::default(),
            stop: Event::new(),
            stop_requests: Event::new(),
        })
    }

    /// Starts the links to the control hosts and the periodic work.
    pub fn start(self: &Rc<Self>) {
        for &address in &self.settings.control {
            self.link(address);
        }
        compio::runtime::spawn(tick(Rc::clone(self))).detach();
    }

    fn link(self: &Rc<Self>, address: SocketAddr) {
        let mut links = self.links.borrow_mut();
        links
            .entry(address)
            .or_insert_with(|| compio::runtime::spawn(crate::link::run(Rc::clone(self), address)));
    }

    /// Tries further addresses where control hosts may be, until all of them are known.
    pub fn add_control_candidates(self: &Rc<Self>, addresses: &[SocketAddr]) {
        if !self.control_hosts_known.get() {
            for &address in addresses {
                self.link(address);
            }
        }
    }

    /// Takes over the addresses of all control hosts. Grants of a former host count no longer.
    pub(crate) fn set_control_hosts(self: &Rc<Self>, addresses: &[SocketAddr]) {
        for &address in addresses {
            self.link(address);
        }
        let gone: Vec<_> = self
            .links
            .borrow_mut()
            .extract_if(|address, _| !addresses.contains(address))
            .collect();
        let mut lease = self.lease.borrow_mut();
        lease.set_hosts(addresses.len());
        for (address, task) in gone {
            info!(self.log, "control host was replaced"; "address" => %address);
            lease.revoke(&address.to_string());
            self.hosts.borrow_mut().remove(&address);
            let host = address.to_string();
            let mut directory = self.directory.borrow_mut();
            directory.set_reachable(&host, false, Instant::now());
            drop(directory);
            // The task may be the one that runs this.
            compio::runtime::spawn(async move { drop(task) }).detach();
        }
        drop(lease);
        self.control_hosts_known.set(true);
    }

    /// Control host that answers the fastest of those that answered lately.
    pub(crate) fn nearest_host(&self) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let live = hosts.iter().filter(|(_, host)| {
            let recent = |heard: Instant| heard.elapsed() < REACHABLE;
            host.last_answer.is_some_and(recent)
        });
        let nearest = live.min_by_key(|(address, host)| (host.min_round_trip, **address));
        nearest.map(|(address, _)| *address)
    }

    /// Whether a majority of the control hosts can be counted.
    pub(crate) const fn knows_control_hosts(&self) -> bool {
        self.control_hosts_known.get()
    }

    /// Asks for a graceful stop, on behalf of an operator.
    pub fn request_stop(&self) {
        self.stop_requests.notify(usize::MAX);
    }

    /// Waits until an operator asks for a graceful stop.
    pub async fn stop_requested(&self) {
        self.stop_requests.listen().await;
    }

    /// Tells the process to stop.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.stop.notify(usize::MAX);
        self.renew_now.notify(usize::MAX);
    }

    /// Whether the process was told to stop.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Waits until the process is told to stop.
    pub async fn stopped(&self) {
        let listener = self.stop.listen();
        if !self.stopped.get() {
            listener.await;
        }
    }

    /// Whether a balancer may send callers: a configuration is known, the process goes on, and it is
    /// not cut off.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        let informed = self.config_version() > 0 && self.is_assignment_known();
        !self.is_stopped() && informed && !self.is_lease_expiring(now)
    }

    /// Whether no majority of the control hosts has renewed the write lease for so long that it is
    /// about to end. Balancers take two seconds to send callers elsewhere.
    #[must_use]
    pub fn is_lease_expiring(&self, now: Instant) -> bool {
        let until = self.lease.borrow().until(0);
        until.is_some_and(|until| until.saturating_duration_since(now) < FADING)
    }

    /// Whether this process had a write lease and lost it, because it does not reach a majority of
    /// the control hosts: nothing that needs the primary can be served until that changes, while
    /// other entry processes may go on.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        let until = self.lease.borrow().until(0);
        until.is_some_and(|until| now.saturating_duration_since(until) >= ISOLATED)
    }

    /// Version of the configuration in force; 0 before the first.
    #[must_use]
    pub fn config_version(&self) -> Version {
        self.config.borrow().version
    }

    /// Version up to which all record changes are known.
    #[must_use]
    pub fn record_version(&self) -> Version {
        self.known_records.get()
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

    /// Puts a newer configuration in force, which a change leads to from that of version `base`.
    pub(crate) fn apply_change(&self, version: Version, base: Version, change: &[u8]) {
        if version <= self.config_version() {
            return;
        }
        let old = self.config.borrow();
        let text = match base {
            0 => patch::apply("", change),
            base if base == old.version => patch::apply(&old.text, change),
            // Another control host told a newer one meanwhile; the next answer starts from that.
            _ => return,
        };
        drop(old);
        match text {
            Ok(text) => self.apply_config(version, &text),
            Err(cause) => {
                warn!(self.log, "change of the configuration can't be used"; "version" => version,
                    "base" => base, "cause" => %cause);
            }
        }
    }

    /// Puts a newer configuration in force; an older or equal one changes nothing.
    pub fn apply_config(&self, version: Version, text: &str) {
        if version <= self.config_version() {
            return;
        }
        let document = match Document::parse(text) {
            Ok(document) => document,
            Err(cause) => {
                warn!(self.log, "configuration can't be used"; "version" => version, "cause" => %cause);
                return;
            }
        };
        let services = document.services.into_iter().map(Rc::new);
        let services: Vec<_> = services.collect();
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
        };
        info!(self.log, "configuration in force"; "version" => version);
        self.assign();
        self.notify_groups();
    }

    /// Takes over record changes from a control host that has applied everything up to `version`.
    pub fn apply_records(&self, version: Version, records: Vec<Record>) {
        let mut changed = false;
        for record in records {
            changed |= self.apply_record(record);
        }
        if version > self.known_records.get() {
            self.known_records.set(version);
            self.renew_now.notify(usize::MAX);
        }
        if changed {
            self.reconcile();
        }
    }

    fn apply_record(&self, record: Record) -> bool {
        let group = self.groups.borrow().get(&record.group).cloned();
        if let Some(group) = group {
            let log = (record.group.clone(), record.term, record.primary.clone());
            let phase = record.phase;
            let newer = group.apply(record);
            if newer {
                let stable = group.in_force().map(|record| record.term);
                for member in self.members(&group.name) {
                    member.pool.abort_stale_terms(stable);
                }
                info!(self.log, "group record changed"; "group" => log.0, "term" => log.1,
                    "primary" => log.2, "phase" => format!("{phase:?}"));
            }
            return newer;
        }
        let mut unused = self.unused_records.borrow_mut();
        let newer = unused
            .get(&record.group)
            .is_none_or(|known| known.version < record.version);
        if newer {
            unused.insert(record.group.clone(), record);
        }
        newer
    }

    /// Notes what a control host tells about a member that it heard from `age` ago.
    pub fn apply_announcement(
        &self,
        host: &str,
        announcement: Announcement,
        age: Duration,
        now: Instant,
    ) {
        let mut directory = self.directory.borrow_mut();
        let changed = directory.told(host, announcement, age, now);
        drop(directory);
        if changed {
            self.reconcile();
        }
    }

    /// Notes an announcement that arrived here, to be passed on to the control hosts.
    pub fn receive_announcement(&self, announcement: Announcement, now: Instant) {
        let urgent = announcement.leaving;
        self.announcements
            .borrow_mut()
            .insert(announcement.member.clone(), (announcement.clone(), now));
        let changed = self.directory.borrow_mut().hear(announcement, now);
        if changed {
            self.reconcile();
        }
        if urgent {
            self.renew_now.notify(usize::MAX);
        }
    }

    /// Notes a grant of the write lease.
    pub fn record_grant(&self, host: &str, requested: Instant, version: Version) {
        self.lease.borrow_mut().granted(host, requested, version);
        self.notify_groups();
    }

    /// Notes a permit for lent connections.
    pub fn apply_permits(
        &self,
        permits: &Map<MemberName, u32>,
        requested: Instant,
        term: Duration,
    ) {
        for (name, member) in self.members.borrow().iter() {
            let lent = permits.get(name).copied().unwrap_or(0);
            member.pool.apply_permit(lent, requested, term);
        }
    }

    /// Notes which control hosts answered in the last second.
    pub fn check_reachable(&self, now: Instant) {
        let recent = |heard: Instant| now.saturating_duration_since(heard) < REACHABLE;
        let mut directory = self.directory.borrow_mut();
        for (address, host) in self.hosts.borrow().iter() {
            let reachable = host.last_answer.is_some_and(recent);
            directory.set_reachable(&address.to_string(), reachable, now);
        }
    }

    fn notify_groups(&self) {
        for group in self.groups.borrow().values() {
            group.notify();
        }
    }

    /// Whether this process observes a group for the control hosts.
    ///
    /// Every process observes every group of a small deployment. In a larger one those do that serve
    /// it; where that is not known, each process decides by its rank alone.
    fn observes(&self, group: &str) -> bool {
        if let Some(serves) = self.near_entries.serves(group, &self.settings.name) {
            return serves;
        }
        let entries = u64::from(self.config.borrow().entries.max(1));
        let share = u64::MAX / entries;
        route::observers::rank(group, &self.settings.name)
            <= share.saturating_mul(u64::from(OBSERVERS))
    }

    /// Finds the group of a service, and has its members probed from now on.
    pub fn use_group(&self, service: &Service, now: Instant) -> Rc<Group> {
        let group = self.group(service);
        let used = group.last_used.replace(Some(now));
        let fresh = used.is_some_and(|used| now.saturating_duration_since(used) < USED);
        if !fresh {
            self.reconcile();
        }
        group
    }

    /// Finds a member that is in use.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<Rc<Member<D>>> {
        self.members.borrow().get(name).cloned()
    }

    /// Whether a planned change of primary waits for this process to finish its work.
    pub(crate) fn is_draining(&self) -> bool {
        self.any_phase(|phase| phase == Phase::Draining)
    }

    /// Members of a group that are in use.
    #[must_use]
    pub fn members(&self, group: &str) -> Vec<Rc<Member<D>>> {
        let members = self.members.borrow();
        members
            .values()
            .filter(|member| member.group.name == group)
            .cloned()
            .collect()
    }

    /// Members of the groups that this process observes.
    pub(crate) fn observed(&self) -> Vec<Rc<Member<D>>> {
        let members = self.members.borrow();
        members
            .values()
            .filter(|member| self.observes(&member.group.name))
            .cloned()
            .collect()
    }

    /// Whether a change of primary goes on in a group that is in use.
    pub(crate) fn is_changing(&self) -> bool {
        self.any_phase(|phase| phase != Phase::Stable)
    }

    /// Whether the record of a group that is in use has such a phase.
    fn any_phase(&self, wanted: impl Fn(Phase) -> bool) -> bool {
        let groups = self.groups.borrow();
        let mut records = groups.values().filter_map(|group| group.current());
        records.any(|record| wanted(record.phase))
    }

    pub(crate) fn all_members(&self) -> Vec<Rc<Member<D>>> {
        self.members.borrow().values().cloned().collect()
    }

    /// Brings groups and members in line with configuration, records and directory.
    pub fn reconcile(&self) {
        if !self.is_assignment_known() {
            return;
        }
        let now = Instant::now();
        let services: Vec<_> = self.config.borrow().groups.values().cloned().collect();
        let mut wanted = Set::default();
        for service in &services {
            let serves = self
                .near_entries
                .serves(&service.group, &self.settings.name);
            let kept = if serves == Some(false) { LEFT } else { USED };
            let used = self
                .groups
                .borrow()
                .get(&service.group)
                .is_some_and(|group| {
                    group.has_waiters()
                        || group
                            .last_used
                            .get()
                            .is_some_and(|used| now.saturating_duration_since(used) < kept)
                });
            if !used && !self.observes(&service.group) {
                continue;
            }
            let group = self.group(service);
            group.configure(confirmations(service));
            let limits = Limits {
                connections: service.connections,
                entries: self.sharers(&service.group),
                slots: service.slots,
                queue: service.limits.queue,
            };
            for expected in self.expected(&group) {
                let limits = Limits {
                    slots: expected.slots.unwrap_or(limits.slots),
                    ..limits
                };
                self.keep(&group, &expected, limits);
                wanted.insert(expected.name);
            }
        }
        let gone = |name: &MemberName, member: &Rc<Member<D>>| {
            // Writes of a removed service that wait for their confirmation still get it.
            !wanted.contains(name) && member.group.pending() == 0
        };
        let stopped: Vec<_> = self
            .members
            .borrow_mut()
            .extract_if(|name, member| gone(name, member))
            .collect();
        for (name, member) in stopped {
            member.stop();
            let _never_used = self.metrics.connections.remove_label_values(&[&name]);
        }
    }

    fn group(&self, service: &Service) -> Rc<Group> {
        if let Some(group) = self.groups.borrow().get(&service.group) {
            return Rc::clone(group);
        }
        let group = Group::new(&service.group, confirmations(service));
        if let Some(record) = self.unused_records.borrow_mut().remove(&service.group) {
            group.apply(record);
        }
        self.groups
            .borrow_mut()
            .insert(service.group.clone(), Rc::clone(&group));
        group
    }

    /// Members that a group should have, with the latest known address of each.
    fn expected(&self, group: &Group) -> Vec<Expected> {
        let mut found: Map<MemberName, Expected> = Map::default();
        if let Some(record) = group.current() {
            for known in &record.members {
                if let Ok(address) = known.address.parse() {
                    let expected = Expected {
                        name: known.member.clone(),
                        store: known.store.clone(),
                        address,
                        place: known.place.clone(),
                        slots: None,
                    };
                    found.insert(known.member.clone(), expected);
                }
            }
        }
        for heard in self.directory.borrow().iter() {
            let announced = &heard.announcement;
            if announced.group == group.name {
                let place = Place {
                    zone: announced.zone.clone(),
                    region: announced.region.clone(),
                };
                let expected = Expected {
                    name: announced.member.clone(),
                    store: announced.store.clone(),
                    address: announced.address,
                    place,
                    slots: Some(announced.slots).filter(|slots| *slots > 0),
                };
                found.insert(announced.member.clone(), expected);
            }
        }
        found.into_values().collect()
    }

    fn keep(&self, group: &Rc<Group>, expected: &Expected, limits: Limits) {
        let Expected {
            name,
            store,
            address,
            place,
            ..
        } = expected;
        if let Some(known) = self.members.borrow().get(name)
            && known.address == *address
            && (known.store == *store || !D::BINDS_STORE)
            && Rc::ptr_eq(&known.group, group)
        {
            known.pool.configure(limits);
            return;
        }
        let far = place.region != self.settings.region;
        let from = self.settings.host;
        let to = Upstream {
            group: group.name.clone(),
            member: name.clone(),
            store: store.clone(),
        };
        let dialect = Rc::clone(&self.dialect);
        let pool = Pool::with_dialect(
            dialect,
            to.clone(),
            *address,
            from,
            far,
            limits,
            &self.metrics,
        );
        let member = Member::start(
            &to,
            Rc::clone(group),
            *address,
            place.clone(),
            pool,
            &self.metrics,
            Rc::clone(&self.renew_now),
        );
        let before = self.members.borrow_mut().insert(name.clone(), member);
        if let Some(before) = before {
            before.stop();
        }
        group.notify();
    }

    fn maintain(&self, now: Instant) {
        self.check_reachable(now);
        self.directory.borrow_mut().prune(FORGET, now);
        self.announcements
            .borrow_mut()
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < FORGET);
        for member in self.all_members() {
            let in_force = member.is_primary() && member.group.stable().is_some();
            let directory = self.directory.borrow();
            let usable = if in_force {
                directory.serves(&member.name, now)
            } else {
                directory.usable(&member.name, now)
            };
            drop(directory);
            member.pool.drain(!usable);
            let (health, since) = member.health(now);
            if health != Health::Ok {
                member.pool.close_idle();
                member.pool.refuse_waiting();
            }
            let failed = health == Health::Silent && since >= FAILED && since < FAILED + TICK * 2;
            if failed && member.is_primary() {
                // The next regular renewal would add up to 300 ms to the failover gap.
                self.renew_now.notify(usize::MAX);
            }
            member.pool.maintain(now);
        }
        for group in self.groups.borrow().values() {
            group.prune();
            self.end_gap(group, now);
        }
    }

    /// Ends a failover gap after which no write came: it ended when a primary was in force again,
    /// not with the next write, which may be hours away.
    fn end_gap(&self, group: &Group, now: Instant) {
        let Some(since) = group.gap_start.get() else {
            return;
        };
        let idle = !group.has_waiters() && group.pending() == 0;
        if let Ok((member, _)) = self.primary(group, now)
            && idle
            && member.pool.demand().0 == 0
        {
            group.gap_start.set(None);
            let gap = now.saturating_duration_since(since);
            self.metrics.gap.observe(gap.as_secs_f64());
        }
    }
}

/// Members that must answer an entry process before a write is acknowledged.
const fn confirmations(service: &Service) -> u32 {
    // A primary that answers for the others is enough.
    if service.synchronous {
        1
    } else {
        service.confirmations
    }
}

async fn tick<D: Dialect>(network: Rc<Network<D>>) {
    let mut round = 0_u32;
    loop {
        compio::time::sleep(TICK).await;
        network.maintain(Instant::now());
        round = round.wrapping_add(1);
        if round.is_multiple_of(10) {
            network.reconcile();
        }
    }
}
