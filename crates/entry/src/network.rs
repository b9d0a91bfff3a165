//! State of an entry process: configuration, group records, control hosts and database members.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{GroupName, Map, MemberName, Set, StoreId, Version, document::Service};
use compio::runtime::JoinHandle;
use event_listener::Event;
use route::{Announcement, Directory, Health, Location, WriteLease};
use slog::{Logger, info, warn};

use crate::{
    cancel::CancelRelay,
    config::Config,
    dialect::{Dialect, OWN_USER, Upstream},
    group::{Group, Phase, Record, confirmations},
    member::Member,
    metrics::Metrics,
    near::NearEntries,
    pool::{Limits, Pool},
    postgres::Postgres,
    rates::{self, RateShares},
    registry::Registry,
    settings::Settings,
};

/// Members of a group are probed for this long after its last use by a caller.
const GROUP_IDLE: Duration = Duration::from_mins(1);
/// Like [`GROUP_IDLE`], for a group that other entry processes of the zone serve. It is shorter
/// because the connections of the group belong to those processes.
const UNSERVED_GROUP_IDLE: Duration = Duration::from_secs(3);
/// Number of entry processes that report the health of one group. It allows several per zone, so
/// that a majority remains when a few are lost.
const OBSERVERS_PER_GROUP: u32 = 12;
/// Announcements are discarded when they were not repeated for this long.
const ANNOUNCEMENT_EXPIRY: Duration = Duration::from_mins(10);
/// The control hosts declare a primary failed after it was silent for this long.
const PRIMARY_FAILED_AFTER: Duration = Duration::from_millis(1_500);
/// A control host counts as reachable if it answered within this time, which is three renewal
/// intervals.
const REACHABLE_WITHIN: Duration = Duration::from_millis(1_800);
/// Time without a recent state of any control host after which the seeds are tried again.
const CONTROL_LOST_AFTER: Duration = Duration::from_secs(5);
/// A write lease with less time left than this is expiring: two renewals in a row must have failed.
const LEASE_EXPIRY_WARNING: Duration = Duration::from_millis(500);
/// A process counts as isolated this long after its write lease ended. Until then a renewal may
/// just be late.
const ISOLATED_AFTER: Duration = Duration::from_millis(200);
/// Interval of the periodic work.
const TICK: Duration = Duration::from_millis(100);

/// What is known about one control host.
#[derive(Debug, Clone)]
pub struct ControlHost {
    /// Name from its answers; empty before the first one.
    pub name: String,
    /// Time of its last answer.
    pub last_answer: Option<Instant>,
    /// Whether it is the leader.
    pub leader: bool,
    /// Age of its state when it last answered.
    pub state_age: Duration,
    /// Shortest time between a renewal and its answer.
    pub min_round_trip: Option<Duration>,
    /// Version of its directory that is known here: the id of its run, and the version within that run.
    pub directory_version: (u64, u64),
}

/// A member of a group according to the group record and the announcements.
struct ExpectedMember {
    name: MemberName,
    store: StoreId,
    address: SocketAddr,
    place: Location,
    /// Number of statements that it runs concurrently, if it announced one.
    slots: Option<u32>,
}

/// State of an entry process, shared by all of its tasks.
#[derive(Debug)]
pub struct Network<D: Dialect = Postgres> {
    pub(crate) dialect: Rc<D>,
    /// Settings of the process.
    pub settings: Settings,
    /// Random id of this run, which differs after each restart.
    pub run: u64,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Logger.
    pub log: Logger,
    /// Sessions of this process.
    pub registry: Rc<Registry>,
    pub(crate) passing: CancelRelay,
    pub(crate) directory: RefCell<Directory>,
    /// Announcements that this process received, with the time, to be relayed to the control hosts.
    pub(crate) announcements: RefCell<Map<MemberName, (Announcement, Instant)>>,
    pub(crate) lease: RefCell<WriteLease>,
    pub(crate) hosts: RefCell<Map<SocketAddr, ControlHost>>,
    /// Notified when the next renewal should be sent immediately.
    pub(crate) renew_now: Rc<Event>,
    pub(crate) config: RefCell<Config>,
    known_records: Cell<Version>,
    unused_records: RefCell<Map<GroupName, Record>>,
    pub(crate) groups: RefCell<Map<GroupName, Rc<Group>>>,
    pub(crate) members: RefCell<Map<MemberName, Rc<Member<D>>>>,
    /// Tasks that talk to the control hosts; dropping a handle ends its task.
    links: RefCell<Map<SocketAddr, JoinHandle<()>>>,
    /// Whether all control hosts are known, so that a majority of them can be counted.
    control_hosts_known: Cell<bool>,
    /// Version of the list of control hosts; 0 while there is none.
    seats_version: Cell<Version>,
    /// Addresses to find control hosts at, by the newest settings.
    seeds: RefCell<Vec<SocketAddr>>,
    /// When a control host last told a state that was not older than [`CONTROL_LOST_AFTER`].
    last_control: Cell<Instant>,
    /// Number of running entry processes, and the list of those in the own zone.
    pub(crate) near_entries: NearEntries,
    /// Shares of organisations' rate limits.
    pub(crate) rates: RateShares,
    /// Notified when the assignment of groups to entry processes may have changed.
    pub(crate) reassignment: Event,
    stopped: Cell<bool>,
    stop: Event,
    stop_requests: Event,
}

impl Network {
    /// Creates the initial state of a process in front of databases that speak the PostgreSQL
    /// protocol.
    #[must_use]
    pub fn new(settings: Settings, log: Logger) -> Rc<Self> {
        Self::with_dialect(Postgres, settings, log)
    }
}

impl<D: Dialect> Network<D> {
    /// Creates the initial state of a process, without configuration, records or members.
    #[must_use]
    pub fn with_dialect(dialect: D, settings: Settings, log: Logger) -> Rc<Self> {
        let lease = WriteLease::new(settings.control.len());
        let control_hosts_known = !settings.discover;
        let (run, metrics) = (rand::random(), Metrics::new());
        let seeds = RefCell::new(settings.control.clone());
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
            control_hosts_known: Cell::new(control_hosts_known),
            seats_version: Cell::default(),
            seeds,
            last_control: Cell::new(Instant::now()),
            near_entries: NearEntries::default(),
            rates: RateShares::default(),
            reassignment: Event::new(),
            stopped: Cell::default(),
            stop: Event::new(),
            stop_requests: Event::new(),
        })
    }

    /// Starts the tasks that talk to the control hosts, and the periodic work.
    pub fn start(self: &Rc<Self>) {
        for &address in &self.settings.control {
            self.start_link(address);
        }
        compio::runtime::spawn(run_periodic_work(Rc::clone(self))).detach();
        compio::runtime::spawn(rates::run(Rc::clone(self))).detach();
    }

    fn start_link(self: &Rc<Self>, address: SocketAddr) {
        let mut links = self.links.borrow_mut();
        links
            .entry(address)
            .or_insert_with(|| compio::runtime::spawn(crate::link::run(Rc::clone(self), address)));
    }

    /// Takes in new seeds, and connects to them unless all control hosts are known.
    pub fn set_seeds(self: &Rc<Self>, addresses: &[SocketAddr]) {
        *self.seeds.borrow_mut() = addresses.to_vec();
        if !self.control_hosts_known.get() {
            self.link_seeds();
        }
    }

    fn link_seeds(self: &Rc<Self>) {
        for &address in &*self.seeds.borrow() {
            self.start_link(address);
        }
    }

    /// Version of the list of control hosts; 0 while there is none.
    pub(crate) const fn seats_version(&self) -> Version {
        self.seats_version.get()
    }

    /// Takes in a list of control hosts unless it is older than the one known. Version 0 comes from
    /// hosts that do not tell it.
    pub(crate) fn apply_seats(self: &Rc<Self>, version: Version, addresses: &[SocketAddr]) {
        if version == 0 || version > self.seats_version.get() {
            self.seats_version.set(version);
            self.set_control_hosts(addresses);
        }
    }

    /// Turns to the seeds again once no control host on the list tells a recent state: all of them may
    /// have been replaced while this process was cut off. Until it gets a list, no lease counts.
    fn find_control_hosts(self: &Rc<Self>, now: Instant) {
        let hosts = self.hosts.borrow();
        let answered = hosts
            .values()
            .filter(|host| host.state_age < CONTROL_LOST_AFTER)
            .filter_map(|host| host.last_answer)
            .max();
        drop(hosts);
        let previous = self.last_control.get();
        let recent = answered.map_or(previous, |at| at.max(previous));
        self.last_control.set(recent);
        let is_silent = now.saturating_duration_since(recent) >= CONTROL_LOST_AFTER;
        if is_silent && self.settings.discover && self.control_hosts_known.replace(false) {
            warn!(
                self.log,
                "no control host with a recent state; turning to the seeds"
            );
            self.seats_version.set(0);
            self.link_seeds();
        }
    }

    /// Replaces the list of control hosts by `addresses`, which is complete. Lease grants of removed
    /// hosts are revoked.
    fn set_control_hosts(self: &Rc<Self>, addresses: &[SocketAddr]) {
        for &address in addresses {
            self.start_link(address);
        }
        let removed: Vec<_> = self
            .links
            .borrow_mut()
            .extract_if(|address, _| !addresses.contains(address))
            .collect();
        let mut lease = self.lease.borrow_mut();
        lease.set_hosts(addresses.len());
        for (address, task) in removed {
            info!(self.log, "control host was replaced"; "address" => %address);
            lease.revoke(&address.to_string());
            self.hosts.borrow_mut().remove(&address);
            let host = address.to_string();
            let mut directory = self.directory.borrow_mut();
            directory.set_host_reachable(&host, false, Instant::now());
            drop(directory);
            // This function may run on that task, which must not drop itself.
            compio::runtime::spawn(async move { drop(task) }).detach();
        }
        drop(lease);
        self.control_hosts_known.set(true);
    }

    /// Reachable control host with the shortest round trip.
    pub(crate) fn nearest_host(&self) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let reachable = hosts.iter().filter(|(_, host)| {
            let recent = |last_answer: Instant| last_answer.elapsed() < REACHABLE_WITHIN;
            host.last_answer.is_some_and(recent)
        });
        let nearest = reachable.min_by_key(|(address, host)| (host.min_round_trip, **address));
        nearest.map(|(address, _)| *address)
    }

    /// Whether all control hosts are known, so that a majority of them can be counted.
    pub(crate) const fn knows_control_hosts(&self) -> bool {
        self.control_hosts_known.get()
    }

    /// Requests a graceful stop, on behalf of an operator.
    pub fn request_stop(&self) {
        self.stop_requests.notify(usize::MAX);
    }

    /// Waits until an operator requests a graceful stop.
    pub async fn stop_requested(&self) {
        self.stop_requests.listen().await;
    }

    /// Starts the graceful stop.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.stop.notify(usize::MAX);
        self.renew_now.notify(usize::MAX);
    }

    /// Whether the graceful stop has started.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Waits until the graceful stop starts.
    pub async fn stopped(&self) {
        let listener = self.stop.listen();
        if !self.stopped.get() {
            listener.await;
        }
    }

    /// Whether a load balancer may send callers here: the configuration and the assignment of groups
    /// are known, the process is not stopping, and its write lease is not about to expire
    /// at `now` by [`base::clock`].
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        let configured = self.config_version() > 0 && self.is_assignment_known();
        !self.is_stopped() && configured && !self.is_lease_expiring(now)
    }

    /// Whether the write lease is about to expire because no majority of the control hosts renews it.
    /// It is reported that early because load balancers need two seconds to send callers elsewhere. `now` is by [`base::clock`].
    #[must_use]
    pub fn is_lease_expiring(&self, now: Instant) -> bool {
        let until = self.lease.borrow().expires_at(0);
        until.is_some_and(|until| until.saturating_duration_since(now) < LEASE_EXPIRY_WARNING)
    }

    /// Whether this process lost its write lease because it does not reach a majority of the control
    /// hosts. It can serve nothing that needs the primary meanwhile, while other entry processes may.
    /// `now` is by [`base::clock`].
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        let until = self.lease.borrow().expires_at(0);
        until.is_some_and(|until| now.saturating_duration_since(until) >= ISOLATED_AFTER)
    }

    /// Version up to which all changes of group records have been applied.
    #[must_use]
    pub fn record_version(&self) -> Version {
        self.known_records.get()
    }

    /// Applies record changes from a control host, which has sent all changes up to `version`.
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
            let fields = (record.group.clone(), record.term, record.primary.clone());
            let phase = record.phase;
            let newer = group.apply(record);
            if newer {
                let stable = group.in_force().map(|record| record.term);
                for member in self.members(&group.name) {
                    member.pool.abort_stale_terms(stable);
                }
                info!(self.log, "group record changed"; "group" => fields.0, "term" => fields.1,
                    "primary" => fields.2, "phase" => format!("{phase:?}"));
            }
            return newer;
        }
        let mut records = self.unused_records.borrow_mut();
        let newer = records
            .get(&record.group)
            .is_none_or(|known| known.version < record.version);
        if newer {
            records.insert(record.group.clone(), record);
        }
        newer
    }

    /// Applies an announcement that the control host `host` relayed and that is `age` old.
    pub fn apply_announcement(
        &self,
        host: &str,
        announcement: Announcement,
        age: Duration,
        now: Instant,
    ) {
        let mut directory = self.directory.borrow_mut();
        let changed = directory.record_host_report(host, announcement, age, now);
        drop(directory);
        if changed {
            self.reconcile();
        }
    }

    /// Stores an announcement that a member sent to this process, and relays it to the control hosts
    /// with the next renewals, immediately if the member leaves.
    pub fn receive_announcement(&self, announcement: Announcement, now: Instant) {
        let urgent = announcement.leaving;
        self.announcements
            .borrow_mut()
            .insert(announcement.member.clone(), (announcement.clone(), now));
        let changed = self
            .directory
            .borrow_mut()
            .record_announcement(announcement, now);
        if changed {
            self.reconcile();
        }
        if urgent {
            self.renew_now.notify(usize::MAX);
        }
    }

    /// Records a lease grant of `host` for a renewal that was sent at `requested` by
    /// [`base::clock`] with record `version`.
    pub fn record_grant(&self, host: &str, requested: Instant, version: Version) {
        self.lease
            .borrow_mut()
            .record_grant(host, requested, version);
        self.notify_all_groups();
    }

    /// Sets the number of lent connections of each member, valid for `term` from `requested`. Members
    /// without a permit get none.
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

    /// Updates in the directory which control hosts are reachable.
    pub fn check_reachable(&self, now: Instant) {
        let recent =
            |last_answer: Instant| now.saturating_duration_since(last_answer) < REACHABLE_WITHIN;
        let mut directory = self.directory.borrow_mut();
        for (address, host) in self.hosts.borrow().iter() {
            let reachable = host.last_answer.is_some_and(recent);
            directory.set_host_reachable(&address.to_string(), reachable, now);
        }
    }

    pub(crate) fn notify_all_groups(&self) {
        for group in self.groups.borrow().values() {
            group.notify();
        }
    }

    /// Whether this process probes a group and reports the results to the control hosts.
    ///
    /// In a small deployment every process observes every group. In a larger one the processes that
    /// serve a group observe it. Where the assignment does not apply, a process decides by its own
    /// rank, so that about [`OBSERVERS_PER_GROUP`] processes observe each group.
    fn observes(&self, group: &str) -> bool {
        if let Some(serves) = self.near_entries.serves(group, &self.settings.name) {
            return serves;
        }
        let entries = u64::from(self.config.borrow().entries.max(1));
        let share = u64::MAX / entries;
        route::observers::rank(group, &self.settings.name)
            <= share.saturating_mul(u64::from(OBSERVERS_PER_GROUP))
    }

    /// Returns the group of a service and marks it as used, so that its members are probed.
    pub fn use_group(&self, service: &Service, now: Instant) -> Rc<Group> {
        let group = self.ensure_group(service);
        let last = group.last_used.replace(Some(now));
        let active = last.is_some_and(|last| now.saturating_duration_since(last) < GROUP_IDLE);
        if !active {
            self.reconcile();
        }
        group
    }

    /// Finds a member that this process probes.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<Rc<Member<D>>> {
        self.members.borrow().get(name).cloned()
    }

    /// Whether a planned change of primary waits for the requests in progress at this process.
    pub(crate) fn is_draining(&self) -> bool {
        self.any_group_in_phase(|phase| phase == Phase::Draining)
    }

    /// Members of a group that this process probes.
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
    pub(crate) fn observed_members(&self) -> Vec<Rc<Member<D>>> {
        let members = self.members.borrow();
        members
            .values()
            .filter(|member| self.observes(&member.group.name))
            .cloned()
            .collect()
    }

    /// Whether the primary of any group in use is being changed.
    pub(crate) fn is_primary_changing(&self) -> bool {
        self.any_group_in_phase(|phase| phase != Phase::Stable)
    }

    /// Whether the record of any group in use has a phase that satisfies `predicate`.
    fn any_group_in_phase(&self, predicate: impl Fn(Phase) -> bool) -> bool {
        let groups = self.groups.borrow();
        let mut records = groups.values().filter_map(|group| group.current());
        records.any(|record| predicate(record.phase))
    }

    /// Whether a write was acknowledged whose position is not known.
    pub(crate) fn has_unknown_acks(&self) -> bool {
        let groups = self.groups.borrow();
        groups.values().any(|group| group.has_unknown_acks())
    }

    pub(crate) fn all_members(&self) -> Vec<Rc<Member<D>>> {
        self.members.borrow().values().cloned().collect()
    }

    /// Creates and removes groups and members to match the configuration, the group records and the
    /// announcements.
    pub fn reconcile(&self) {
        if !self.is_assignment_known() {
            return;
        }
        let now = Instant::now();
        let services: Vec<_> = self.config.borrow().groups.values().cloned().collect();
        let mut expected_names = Set::default();
        for service in &services {
            let serves = self
                .near_entries
                .serves(&service.group, &self.settings.name);
            let idle = if serves == Some(false) {
                UNSERVED_GROUP_IDLE
            } else {
                GROUP_IDLE
            };
            let used = self
                .groups
                .borrow()
                .get(&service.group)
                .is_some_and(|group| {
                    group.has_waiters()
                        || group
                            .last_used
                            .get()
                            .is_some_and(|used| now.saturating_duration_since(used) < idle)
                });
            if !used && !self.observes(&service.group) {
                continue;
            }
            let group = self.ensure_group(service);
            group.configure(confirmations(service));
            let limits = Limits {
                connections: service.connections,
                entries: self.sharing_entries(&service.group),
                slots: service.slots,
                queue: service.limits.queue,
            };
            for expected in self.expected_members(&group) {
                let limits = Limits {
                    slots: expected.slots.unwrap_or(limits.slots),
                    ..limits
                };
                self.update_member(&group, &expected, limits);
                expected_names.insert(expected.name);
            }
        }
        let removable = |name: &MemberName, member: &Rc<Member<D>>| {
            // Pending writes of a removed service must still get their confirmation.
            !expected_names.contains(name) && member.group.pending() == 0
        };
        let stopped: Vec<_> = self
            .members
            .borrow_mut()
            .extract_if(|name, member| removable(name, member))
            .collect();
        for (name, member) in stopped {
            member.stop();
            let _never_used = self.metrics.connections.remove_label_values(&[&name]);
        }
    }

    fn ensure_group(&self, service: &Service) -> Rc<Group> {
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

    /// Members of a group with their latest known address. Announcements override the record.
    fn expected_members(&self, group: &Group) -> Vec<ExpectedMember> {
        let mut members: Map<MemberName, ExpectedMember> = Map::default();
        if let Some(record) = group.current() {
            for recorded in &record.members {
                if let Ok(address) = recorded.address.parse() {
                    let expected = ExpectedMember {
                        name: recorded.member.clone(),
                        store: recorded.store.clone(),
                        address,
                        place: recorded.place.clone(),
                        slots: None,
                    };
                    members.insert(recorded.member.clone(), expected);
                }
            }
        }
        for received in self.directory.borrow().iter() {
            let announced = &received.announcement;
            if announced.group == group.name {
                let place = Location {
                    zone: announced.zone.clone(),
                    region: announced.region.clone(),
                };
                let expected = ExpectedMember {
                    name: announced.member.clone(),
                    store: announced.store.clone(),
                    address: announced.address,
                    place,
                    slots: Some(announced.slots).filter(|slots| *slots > 0),
                };
                members.insert(announced.member.clone(), expected);
            }
        }
        members.into_values().collect()
    }

    fn update_member(&self, group: &Rc<Group>, expected: &ExpectedMember, limits: Limits) {
        let ExpectedMember {
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
            user: OWN_USER.to_owned(),
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

    fn maintain(self: &Rc<Self>, now: Instant) {
        self.check_reachable(now);
        self.find_control_hosts(now);
        self.directory.borrow_mut().prune(ANNOUNCEMENT_EXPIRY, now);
        self.announcements
            .borrow_mut()
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < ANNOUNCEMENT_EXPIRY);
        for member in self.all_members() {
            let in_force = member.is_primary() && member.group.stable().is_some();
            let directory = self.directory.borrow();
            let usable = if in_force {
                directory.is_usable_primary(&member.name, now)
            } else {
                directory.is_usable(&member.name, now)
            };
            drop(directory);
            member.pool.drain(!usable);
            let (health, since) = member.health(now);
            if health != Health::Ok {
                member.pool.close_idle();
                member.pool.refuse_waiting();
            }
            let failed = health == Health::Silent
                && since >= PRIMARY_FAILED_AFTER
                && since < PRIMARY_FAILED_AFTER + TICK * 2;
            if failed && member.is_primary() {
                // Waiting for the next regular renewal would add up to 300 ms to the failover gap.
                self.renew_now.notify(usize::MAX);
            }
            member.pool.maintain(now);
        }
        for group in self.groups.borrow().values() {
            group.prune();
            self.end_failover_gap(group, now);
        }
    }

    /// Ends the measured failover gap of a group without further writes once a primary is in force.
    /// Otherwise the gap would last until the next write, which may be hours away.
    fn end_failover_gap(&self, group: &Group, now: Instant) {
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

async fn run_periodic_work<D: Dialect>(network: Rc<Network<D>>) {
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
