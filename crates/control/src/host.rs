//! State that the parts of a control host share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    net::{IpAddr, SocketAddr},
    ops::Deref,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{
    EntryName, GroupName, HostName, Map, MemberName, RegionName, Set, StoreId, Version, ZoneName,
    document::{Document, Service},
    rates::Rates,
};
use compio::time::sleep;
use route::AckBounds;
use serde_json::{Value, json};

use crate::{
    cancel::Cancellers,
    directory::{Announcement, Directory, EntryProcess},
    documents::Documents,
    failover,
    leases::{Holder, Leases, LogState},
    log::{Log, LogError},
    machine::{Answer, Command, Member, Record, State},
    metrics::Metrics,
    notify::Notify,
    peers::Peers,
    permits::{Permits, Share},
    rates::Lending,
    seat,
    sighting::{Health, Observer, Sighting, Sightings},
    timing::PromotionTiming,
    upstream::{Databases, Target},
};

/// Interval at which a wait for the end of older lease grants checks them.
pub(crate) const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An entry process that sent no renewal for this long holds no lent connections any more, because
/// the longest loan has expired.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(5);

/// A host knows all entry processes once it has run for at least this long and no new one has
/// connected for [`DISCOVERY_QUIET`].
const DISCOVERY_MIN: Duration = Duration::from_millis(500);
/// See [`DISCOVERY_MIN`]. Entry processes reconnect within 0.45 s of a refused connection.
const DISCOVERY_QUIET: Duration = Duration::from_millis(400);
/// After this uptime a host counts as knowing all entry processes, even when new ones keep
/// connecting one after the other.
const DISCOVERY_MAX: Duration = Duration::from_secs(3);

/// Lease renewal sent by an entry process, with its report.
#[derive(Debug, Clone, Default)]
pub struct Renewal {
    /// Name of the entry process.
    pub entry: EntryName,
    /// Availability zone of the entry process.
    pub zone: ZoneName,
    /// Random id of the process run.
    pub run: u64,
    /// Record version that it has applied.
    pub record_version: Version,
    /// Configuration version that it has applied.
    pub config_version: Version,
    /// Announcements that it received, with their ages.
    pub announcements: Vec<(Announcement, Duration)>,
    /// Health of each member as the entry process sees it.
    pub sightings: Vec<(GroupName, MemberName, Sighting)>,
    /// Connections used and wanted, per member.
    pub demands: Vec<Demand>,
    /// HTTP address of the entry process.
    pub http: String,
    /// Address that accepts forwarded sessions; empty if there is none.
    pub forwarding: String,
    /// Whether the entry process is stopping.
    pub stopping: bool,
    /// How far it acknowledged the writes of each group, and how long ago the lower bound grew.
    pub acks: Vec<(GroupName, AckBounds, Duration)>,
    /// Whether `acks` is told at all; older versions of the program do not.
    pub reports_acks: bool,
}

/// Connections that an entry process uses and wants at one member.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Member that the connections lead to.
    pub member: MemberName,
    /// Connections in use now.
    pub used: u32,
    /// Connections wanted, including the base share.
    pub wanted: u32,
}

/// Answer to a renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RenewalReply {
    /// Whether this host grants the write lease.
    pub granted: bool,
    /// Whether this host leads; `permits` is valid only if it does.
    pub leader: bool,
    /// Connections lent to the entry process, per member.
    pub permits: Vec<(MemberName, u32)>,
    /// Whether an operator asks this run of the entry process to stop.
    pub drain: bool,
    /// Number of live entry processes; 0 while this host can't know them, such as right after its
    /// start.
    pub entry_count: u32,
    /// Number of zones with live entry processes.
    pub zone_count: u32,
    /// Live entry processes in the zone of the sender that accept forwarded sessions, with their
    /// addresses.
    pub near_entries: BTreeMap<EntryName, String>,
}

/// Identity of a control host and its peers.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name.
    pub name: HostName,
    /// Availability zone that the host runs in.
    pub zone: ZoneName,
    /// Region that the host runs in.
    pub region: RegionName,
    /// Source address of outgoing connections.
    pub host: IpAddr,
    /// Every control host, this one included.
    pub peers: Vec<(HostName, SocketAddr)>,
    /// Whether a new host at another address may replace a control host.
    pub allow_replacement: bool,
    /// Log index from which on this host holds its seat; 0 for a founding host.
    pub seat_index: u64,
    /// Enforcement of the organisations' rate limits.
    pub rates: Rates,
}

/// Parsed document of the configuration in force.
#[derive(Debug, Default)]
pub struct ActiveDocument {
    document: Document,
    /// Index of the service that each group serves.
    groups: Map<GroupName, usize>,
}

impl ActiveDocument {
    fn new(document: Document) -> Self {
        let groups = document.services.iter().enumerate();
        let groups = groups
            .map(|(i, service)| (service.group.clone(), i))
            .collect();
        Self { document, groups }
    }

    /// Returns the service that a group serves.
    #[must_use]
    pub fn service_of_group(&self, group: &str) -> Option<&Service> {
        self.document.services.get(*self.groups.get(group)?)
    }
}

impl Deref for ActiveDocument {
    type Target = Document;

    fn deref(&self) -> &Document {
        &self.document
    }
}

/// How far writes of a group were acknowledged.
#[derive(Debug, Clone, Copy)]
struct KnownAcks {
    bounds: AckBounds,
    /// When the lower bound last grew, by the reports of entry processes to this host.
    grown_at: Option<Instant>,
}

/// Longest time that a report is under way.
const REPORT_DELAY: Duration = Duration::from_secs(2);

/// State of a control host.
#[derive(Debug)]
pub struct Host<L> {
    /// Runs of entry processes that an operator asked to stop.
    pub drain_requests: RefCell<Set<Holder>>,
    /// Identity of this host.
    pub identity: Identity,
    /// Log through which the control hosts agree on changes.
    pub log: L,
    /// Databases of the deployment.
    pub databases: Rc<dyn Databases>,
    /// Members whose announcements arrived here and have not been forwarded to the other hosts yet.
    pub pending_announcements: RefCell<Map<MemberName, Instant>>,
    /// Reports a pending announcement of a new store, which is forwarded without delay.
    pub(crate) pending_store: Notify,
    /// Replicated state that the log is applied to.
    pub state: Rc<RefCell<State>>,
    /// Write lease grants.
    pub leases: RefCell<Leases>,
    /// Known databases and entry processes.
    pub directory: RefCell<Directory>,
    /// Random id of this process run; a directory version is valid only within one run.
    pub run: u64,
    /// Health of the members as entry processes see it.
    pub sightings: RefCell<Sightings>,
    /// How far entry processes acknowledged the writes of each group.
    acks: RefCell<Map<GroupName, KnownAcks>>,
    /// Connections lent to entry processes; `Some` while this host leads.
    pub permits: RefCell<Option<Permits>>,
    /// Shares of rate limits lent to entry processes; `Some` while this host leads.
    pub rates: RefCell<Option<Lending>>,
    /// Entry processes that receive cancel requests.
    pub cancellers: Rc<Cancellers>,
    /// RPC clients of the other control hosts.
    pub peers: Peers,
    /// Notifies of changes of the log and the directory.
    pub changes: Notify,
    /// Step durations of the most recent promotions.
    pub timings: RefCell<VecDeque<PromotionTiming>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Logger.
    pub logger: slog::Logger,
    /// Whether this host is stopping.
    pub stopping: Cell<bool>,
    /// Number of operator changes that are not answered yet.
    pub pending_changes: Cell<usize>,
    /// Texts of recent configuration documents that entry processes may hold.
    pub documents: RefCell<Documents>,
    started_at: Instant,
    /// When an unknown entry process last sent its first renewal.
    last_new_entry: Cell<Instant>,
    /// Whether this host knows all entry processes; never reset.
    entries_discovered: Cell<bool>,
    /// Address that this host last gave each seat to, and when.
    pub reassigned_seats: RefCell<Map<HostName, (String, Instant)>>,
    /// When a change of primary was last planned for a group whose primary is leaving.
    pub last_planned: RefCell<Map<GroupName, Instant>>,
    /// Wakes the task of each group.
    group_notifiers: RefCell<Map<GroupName, Rc<Notify>>>,
    /// Reports new database stores to the task of each group.
    arrivals: RefCell<Map<GroupName, Rc<Notify>>>,
    /// Record version up to which the group tasks have been notified of changes.
    notified_version: Cell<Version>,
    /// Cached [`ActiveDocument`] with the configuration version that it was parsed from.
    document: RefCell<(Version, Rc<ActiveDocument>)>,
}

impl<L: Log> Host<L> {
    /// Creates a host that starts at `now`.
    #[must_use]
    pub fn new(
        now: Instant,
        identity: Identity,
        log: L,
        databases: Rc<dyn Databases>,
        state: Rc<RefCell<State>>,
        logger: slog::Logger,
    ) -> Rc<Self> {
        let peers = Peers::new(identity.host, &identity.name, &identity.peers);
        Rc::new(Self {
            identity,
            log,
            databases,
            pending_announcements: RefCell::default(),
            pending_store: Notify::default(),
            state,
            documents: RefCell::default(),
            started_at: now,
            last_new_entry: Cell::new(now),
            entries_discovered: Cell::new(false),
            leases: RefCell::new(Leases::new(now)),
            directory: RefCell::default(),
            run: rand::random(),
            sightings: RefCell::default(),
            acks: RefCell::default(),
            permits: RefCell::default(),
            rates: RefCell::default(),
            peers,
            changes: Notify::default(),
            timings: RefCell::default(),
            metrics: Metrics::new(),
            logger,
            stopping: Cell::new(false),
            cancellers: Rc::default(),
            drain_requests: RefCell::default(),
            pending_changes: Cell::new(0),
            reassigned_seats: RefCell::default(),
            last_planned: RefCell::default(),
            group_notifiers: RefCell::default(),
            arrivals: RefCell::default(),
            notified_version: Cell::new(0),
            document: RefCell::default(),
        })
    }

    /// Returns the number of hosts that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.identity.peers.len() / 2 + 1
    }

    /// Returns the record of a group.
    #[must_use]
    pub fn record(&self, group: &str) -> Option<Record> {
        self.state.borrow().records.get(group).cloned()
    }

    /// Returns the parsed configuration in force; empty while there is none.
    #[must_use]
    pub fn document(&self) -> Rc<ActiveDocument> {
        let state = self.state.borrow();
        let mut cached = self.document.borrow_mut();
        if cached.0 != state.config.version {
            match Document::parse(&state.config.document) {
                Ok(document) => {
                    *cached = (state.config.version, Rc::new(ActiveDocument::new(document)));
                }
                Err(cause) => {
                    // A newer version of the program accepted a document that this one can't parse.
                    // Keep the last parsed document, and log the error only once.
                    cached.0 = state.config.version;
                    slog::error!(self.logger, "can't parse the configuration; the previous one is kept";
                        "version" => state.config.version, "cause" => %cause);
                }
            }
        }
        Rc::clone(&cached.1)
    }

    /// Updates addresses, metrics and waiting tasks after the log was applied.
    pub fn on_applied(&self) {
        let state = self.state.borrow();
        let set = |gauge: &prometheus::IntGauge, value: u64| {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        set(&self.metrics.config_version, state.config.version);
        set(&self.metrics.record_version, state.version);
        set(&self.metrics.apply_backlog, self.log.apply_backlog());
        set(&self.metrics.stored_bytes, self.log.stored_bytes());
        for (name, address) in &state.seats {
            match address.parse() {
                Ok(address) => {
                    self.peers.set_address(name, address);
                    self.log.set_address(name, address);
                }
                Err(cause) => slog::error!(self.logger, "can't parse the address of a seat";
                    "seat" => name, "address" => address, "cause" => %cause),
            }
        }
        let config = &state.config;
        self.documents
            .borrow_mut()
            .add(config.version, &config.document);
        let notified = self.notified_version.replace(state.version);
        let notifiers = self.group_notifiers.borrow();
        for record in state.records_since(notified) {
            if let Some(notify) = notifiers.get(&record.group) {
                notify.notify();
            }
        }
        self.changes.notify();
    }

    /// Drops expired grants, sightings, loans and directory entries.
    pub fn expire(&self, now: Instant) {
        let holders = self.leases.borrow_mut().expire(now);
        self.metrics
            .lease_holders
            .set(i64::try_from(holders).unwrap_or(i64::MAX));
        self.sightings.borrow_mut().expire(now);
        if let Some(permits) = self.permits.borrow_mut().as_mut() {
            permits.expire(now);
        }
        if self.directory.borrow_mut().expire(now) {
            self.changes.notify();
        }
    }

    /// Whether this host leads. After a suspension it does not until a majority replies again.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.log.is_leader(base::clock::now())
    }

    /// Whether this host holds no unexpired lease grant older than `version`; `None` when it can't
    /// know, because it has just started or lost its disk.
    #[must_use]
    pub fn grants_expired(&self, now: Instant, version: Version) -> Option<bool> {
        let clear = self.leases.borrow_mut().fence(now, version);
        clear.filter(|_| !self.log.is_learner())
    }

    /// How far entry processes acknowledged the writes of a group, as far as this host was told.
    #[must_use]
    pub fn acks(&self, group: &str) -> Option<AckBounds> {
        self.acks.borrow().get(group).map(|known| known.bounds)
    }

    /// Takes in how far writes of a group were acknowledged, and when the lower bound grew, if an entry
    /// process told this.
    pub(crate) fn merge_acks(&self, group: &str, bounds: AckBounds, grown_at: Option<Instant>) {
        let mut acks = self.acks.borrow_mut();
        let known = acks.entry(group.to_owned()).or_insert(KnownAcks {
            bounds,
            grown_at: None,
        });
        if known.grown_at.is_none() || bounds.least() > known.bounds.least() {
            known.grown_at = known.grown_at.max(grown_at);
        }
        known.bounds = known.bounds.merge(bounds);
    }

    /// Whether this host was told all that entry processes with a lease from it acknowledged in a group.
    /// A lease that ended without a report leaves this open until a later write is known to be
    /// acknowledged: its position is beyond all earlier ones.
    #[must_use]
    pub fn has_all_acks(&self, group: &str) -> bool {
        let unreported_at = self.leases.borrow().unreported_at();
        let acks = self.acks.borrow();
        let grown_at = acks.get(group).and_then(|known| known.grown_at);
        grown_at.is_some_and(|at| at.saturating_duration_since(unreported_at) >= REPORT_DELAY)
    }

    /// Waits until this host knows that it holds no unexpired lease grant older than `version`.
    pub async fn wait_grants_expired(&self, version: Version) {
        while self.grants_expired(Instant::now(), version) != Some(true) {
            sleep(GRANT_POLL_INTERVAL).await;
        }
    }

    /// Whether another host has taken over the seat of this one.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        seat::is_displaced(&self.state.borrow(), &self.identity)
    }

    /// Records an announcement that arrived at this host and queues it for the other hosts.
    pub fn receive_announcement(&self, now: Instant, announcement: Announcement) {
        let member = announcement.member.clone();
        self.pending_announcements.borrow_mut().insert(member, now);
        let is_new = self.new_store_group(&announcement).is_some();
        self.record_announcement(now, Duration::ZERO, announcement);
        if is_new {
            self.pending_store.notify();
        }
    }

    /// Records an announcement that arrived `age` before `now`, here or at another host, and logs a
    /// new member or store.
    pub fn record_announcement(&self, now: Instant, age: Duration, announcement: Announcement) {
        let (member, store) = (announcement.member.clone(), announcement.store.clone());
        let before = {
            let directory = self.directory.borrow();
            let known = directory.member(&member);
            known.map(|received| received.announcement.store.clone())
        };
        if self.store_announcement(now, age, announcement) {
            if before.as_ref() != Some(&store) {
                slog::info!(self.logger, "first announcement of a database store";
                    "member" => &member, "store" => store, "before" => before);
            }
            self.changes.notify();
        }
    }

    /// Stores an announcement in the directory and returns whether that changed it.
    fn store_announcement(&self, now: Instant, age: Duration, announcement: Announcement) -> bool {
        self.metrics.announcements.inc();
        let group = announcement.leaving.then(|| announcement.group.clone());
        let arrived = self.new_store_group(&announcement);
        let changed = self.directory.borrow_mut().announce(now, age, announcement);
        if let Some(notify) = arrived.and_then(|group| self.arrivals.borrow().get(&group).cloned())
        {
            notify.notify();
        }
        // Wake the group task now: the next sweep would plan the change of a leaving primary up to
        // a second later.
        let group = group.filter(|_| changed);
        if let Some(notify) =
            group.and_then(|group| self.group_notifiers.borrow().get(&group).cloned())
        {
            notify.notify();
        }
        changed
    }

    /// Group of an announced database whose store was not announced before.
    fn new_store_group(&self, announcement: &Announcement) -> Option<GroupName> {
        let directory = self.directory.borrow();
        let known = directory.member(&announcement.member);
        let known = known.is_some_and(|known| known.announcement.store == announcement.store);
        (!known).then(|| announcement.group.clone())
    }

    /// Processes a renewal and returns its reply.
    pub fn renew(&self, now: Instant, renewal: Renewal) -> RenewalReply {
        let holder = (renewal.entry.clone(), renewal.run);
        // Before the release of a lease, whose end a change of primary waits for.
        for (group, bounds, age) in renewal.acks {
            self.merge_acks(&group, bounds, now.checked_sub(age));
        }
        let known = LogState {
            fenced: self.state.borrow().fenced,
            applied: self.log.last_applied(),
            stored: self.log.last_stored(),
            learner: self.log.is_learner() || self.is_replaced(),
            current: self.log.has_caught_up(),
        };
        let granted = {
            let mut leases = self.leases.borrow_mut();
            if !renewal.reports_acks {
                leases.note_unreported(now);
            }
            leases.release(&holder, renewal.record_version);
            leases.renew(now, holder.clone(), renewal.record_version, known)
        };
        let result = if granted { "granted" } else { "refused" };
        self.metrics.renewals.with_label_values(&[result]).inc();

        let mut changed = false;
        for (announcement, age) in renewal.announcements {
            changed |= self.store_announcement(now, age, announcement);
        }
        let used = renewal
            .demands
            .iter()
            .map(|d| (d.member.clone(), d.used))
            .collect();
        let entry = EntryProcess {
            zone: renewal.zone.clone(),
            run: renewal.run,
            record_version: renewal.record_version,
            config_version: renewal.config_version,
            http: renewal.http,
            forwarding: renewal.forwarding,
            stopping: renewal.stopping,
            renewed_at: now,
            used,
        };
        let is_new = self
            .directory
            .borrow_mut()
            .update_entry(renewal.entry.clone(), entry);
        if is_new {
            self.last_new_entry.set(now);
        }
        if changed {
            self.changes.notify();
        }
        self.record_sightings(
            now,
            &renewal.entry,
            &renewal.zone,
            renewal.stopping,
            renewal.sightings,
        );
        let leader = self.leads();
        let permits = if leader {
            self.lend_connections(now, &holder, &renewal.demands)
        } else {
            Vec::new()
        };
        let discovered = self.has_discovered_entries(now);
        let (entries, zones) = if discovered {
            self.count_live_entries(now)
        } else {
            (0, 0)
        };
        let near = if leader && discovered {
            self.near_entries(&renewal.zone, now)
        } else {
            BTreeMap::new()
        };
        RenewalReply {
            granted,
            leader,
            permits,
            drain: self.drain_requests.borrow().contains(&holder),
            entry_count: entries,
            zone_count: zones,
            near_entries: near,
        }
    }

    /// Whether this host knows all entry processes; once true, it stays true.
    fn has_discovered_entries(&self, now: Instant) -> bool {
        let uptime = now.saturating_duration_since(self.started_at);
        let quiet = now.saturating_duration_since(self.last_new_entry.get());
        let discovered =
            (uptime >= DISCOVERY_MIN && quiet >= DISCOVERY_QUIET) || uptime >= DISCOVERY_MAX;
        self.entries_discovered
            .set(self.entries_discovered.get() || discovered);
        self.entries_discovered.get()
    }

    /// Returns the live entry processes of a zone that accept forwarded sessions, with their
    /// addresses.
    fn near_entries(&self, zone: &str, now: Instant) -> BTreeMap<EntryName, String> {
        let directory = self.directory.borrow();
        let near = directory
            .live_entries(now, failover::REPORT_MAX_AGE)
            .filter(|(_, entry)| {
                entry.zone == zone && !entry.stopping && !entry.forwarding.is_empty()
            });
        near.map(|(name, entry)| (name.clone(), entry.forwarding.clone()))
            .collect()
    }

    /// Returns the number of live entry processes and of zones that have some.
    fn count_live_entries(&self, now: Instant) -> (u32, u32) {
        let directory = self.directory.borrow();
        let zones: Vec<_> = directory
            .live_entries(now, ENTRY_TIMEOUT)
            .map(|(_, entry)| &entry.zone)
            .collect();
        let count = zones.len();
        let zones: Set<_> = zones.into_iter().collect();
        let number = |count| u32::try_from(count).unwrap_or(u32::MAX);
        (number(count), number(zones.len()))
    }

    /// Stores what an entry process sees, and wakes the task of each group whose primary it does
    /// not see as a healthy primary.
    fn record_sightings(
        &self,
        now: Instant,
        entry: &str,
        zone: &str,
        stopping: bool,
        sightings: Vec<(GroupName, MemberName, Sighting)>,
    ) {
        let mut groups: Map<GroupName, Observer> = Map::default();
        for (group, member, sighting) in sightings {
            let observer = groups.entry(group).or_insert_with(|| Observer {
                zone: zone.to_owned(),
                reported_at: now,
                stopping,
                members: Map::default(),
            });
            observer.members.insert(member, sighting);
        }
        let state = self.state.borrow();
        for (group, observer) in groups {
            let Some(record) = state.records.get(&group) else {
                continue;
            };
            let primary = observer.members.get(&record.primary);
            let suspect = primary.is_some_and(|seen| seen.health != Health::Ok || !seen.primary);
            self.sightings
                .borrow_mut()
                .report(group.clone(), entry.to_owned(), observer);
            if suspect && let Some(notify) = self.group_notifiers.borrow().get(&group) {
                notify.notify();
            }
        }
    }

    /// Counts bytes sent to an entry process if it is in another region.
    pub fn count_bytes(&self, entry: &str, bytes: u64) {
        let directory = self.directory.borrow();
        let zone = directory
            .entries()
            .get(entry)
            .map(|entry| entry.zone.as_str());
        let region = zone.and_then(|zone| directory.region(zone));
        if region.is_some_and(|region| region != self.identity.region) {
            let counter = self.metrics.region_bytes.with_label_values(&[entry]);
            counter.inc_by(bytes);
        }
    }

    /// Returns the notifier of the task of `group`, which is woken when its record changes, or an
    /// observer reports its primary as unhealthy, or a member announces that it is leaving.
    pub fn group_notify(&self, group: &str) -> Rc<Notify> {
        let mut notifiers = self.group_notifiers.borrow_mut();
        Rc::clone(notifiers.entry(group.to_owned()).or_default())
    }

    /// Returns the notifier that reports new database stores of `group`.
    pub(crate) fn arrivals(&self, group: &str) -> Rc<Notify> {
        let mut arrivals = self.arrivals.borrow_mut();
        Rc::clone(arrivals.entry(group.to_owned()).or_default())
    }

    /// Lends connections to an entry process, and returns the number for each member.
    fn lend_connections(
        &self,
        now: Instant,
        holder: &(EntryName, u64),
        demands: &[Demand],
    ) -> Vec<(String, u32)> {
        let document = self.document();
        let entries = document.entries.max.max(self.count_live_entries(now).0);
        let mut permits = self.permits.borrow_mut();
        let Some(permits) = permits.as_mut() else {
            return Vec::new();
        };
        let directory = self.directory.borrow();
        let lent = demands.iter().filter_map(|demand| {
            let announced = &directory.member(&demand.member)?.announcement;
            let service = document.service_of_group(&announced.group)?;
            let limit = match announced.connections {
                0 => service.connections,
                announced => service.connections.min(announced),
            };
            let share = Share::new(limit, entries);
            let lent = permits.lend(now, holder, &demand.member, demand.wanted, share);
            (lent > 0).then(|| (demand.member.clone(), lent))
        });
        let lent: Vec<_> = lent.collect();
        self.metrics
            .connections_lent
            .inc_by(lent.iter().map(|(_, count)| u64::from(*count)).sum());
        lent
    }

    /// Proposes a new version of a record, based on version `base`. Returns `false` if the record
    /// has changed since then.
    ///
    /// # Errors
    /// The log gave no answer.
    pub async fn propose_record(&self, base: Version, record: Record) -> Result<bool, LogError> {
        let command = Command::Record { base, record };
        let (_, answer) = self.log.propose(command.encode()).await?;
        Ok(matches!(Answer::decode(&answer), Answer::Done { .. }))
    }

    /// Returns the address of a recorded member: the announced address if it is not empty and the
    /// announced store is the recorded one, else the recorded address.
    #[must_use]
    pub fn member_address(&self, member: &Member) -> String {
        let directory = self.directory.borrow();
        let received = directory
            .member(&member.member)
            .map(|received| &received.announcement);
        let current = received.filter(|a| a.store == member.store && !a.address.is_empty());
        current.map_or(&member.address, |a| &a.address).clone()
    }

    /// Store that a member announced last.
    pub(crate) fn announced_store(&self, member: &str) -> Option<StoreId> {
        let directory = self.directory.borrow();
        let received = directory.member(member);
        received.map(|received| received.announcement.store.clone())
    }

    /// Returns the target for orders to a recorded member.
    #[must_use]
    pub fn target(&self, group: &str, member: &Member) -> Target {
        Target {
            address: self.member_address(member),
            group: group.to_owned(),
            member: member.member.clone(),
            store: member.store.clone(),
        }
    }

    /// Returns the bounds of acknowledged writes for `/dump`.
    pub(crate) fn acks_json(&self) -> Value {
        let acks = self.acks.borrow();
        let acks = acks.iter().map(|(group, known)| {
            let AckBounds { term, least, most } = known.bounds;
            let complete = self.has_all_acks(group);
            let bounds = json!({"term": term, "least": least, "most": most, "complete": complete});
            (group.clone(), bounds)
        });
        Value::Object(acks.collect())
    }

    /// Returns the announced members for `/v1/status` and `/dump`.
    #[must_use]
    pub fn members_json(&self, now: Instant) -> Value {
        let directory = self.directory.borrow();
        let permits = self.permits.borrow();
        let mut members: Vec<_> = directory.members().collect();
        members.sort_by(|a, b| a.announcement.member.cmp(&b.announcement.member));
        let members = members.into_iter().map(|received| {
            let name = &received.announcement.member;
            json!({
                "announcement": received.announcement,
                "age_ms": millis(now.duration_since(received.received_at)),
                "lent": permits.as_ref().map(|permits| permits.held(now, name)),
            })
        });
        members.collect()
    }

    /// Returns the known entry processes for `/v1/status` and `/dump`.
    #[must_use]
    pub fn entries_json(&self, now: Instant) -> Value {
        let directory = self.directory.borrow();
        let mut entries: Vec<_> = directory.entries().iter().collect();
        entries.sort_by_key(|(name, _)| name.as_str());
        let entries = entries.into_iter().map(|(name, entry)| {
            json!({
                "name": name,
                "zone": entry.zone,
                "run": entry.run,
                "record_version": entry.record_version,
                "config_version": entry.config_version,
                "http": entry.http,
                "stopping": entry.stopping,
                "age_ms": millis(now.duration_since(entry.renewed_at)),
            })
        });
        entries.collect()
    }
}

/// Converts a duration to whole milliseconds.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
