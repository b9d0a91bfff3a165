//! A control host: what its parts share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    net::{IpAddr, SocketAddr},
    ops::Deref,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{
    EntryName, GroupName, HostName, Map, MemberName, RegionName, Set, Version, ZoneName,
    document::{Document, Service},
};
use compio::time::sleep;
use serde::Serialize;
use serde_json::{Value, json};

use crate::{
    cancel::Cancellers,
    directory::{Announcement, Directory, Entry},
    documents::Documents,
    judge,
    leases::{Holder, Known, Leases},
    log::{Log, LogError},
    machine::{Answer, Command, Member, Record, State},
    metrics::Metrics,
    notify::Notify,
    peers::Peers,
    permits::{Permits, Share},
    seat,
    sighting::{Health, Observer, Sighting, Sightings},
    upstream::{Databases, Target},
};

/// Pause between looks at grants whose end is waited for.
pub(crate) const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An entry process that was not heard from for this long holds no lent connections any more: their
/// longest term has passed.
const LIVE_ENTRY: Duration = Duration::from_secs(5);

/// A host has heard from the entry processes when it runs for this long, and
const ACQUAINTED: Duration = Duration::from_millis(700);
/// no further one linked for this long: they try again within 0.45 s of a refusal,
const SETTLED: Duration = Duration::from_millis(400);
/// or when it runs for this long: they may come one after the other.
const ACQUAINTED_MOST: Duration = Duration::from_secs(3);

/// Promotions whose step durations are kept for `/dump`.
const KEPT_TIMINGS: usize = 100;

/// Duration of each step of a promotion, in milliseconds; absent when this host did not run it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PromotionTiming {
    /// Group.
    pub group: GroupName,
    /// Term that the promotion made.
    pub term: u64,
    /// Member that was promoted.
    pub member: MemberName,
    /// Why.
    pub cause: String,
    /// From the last good answer of the old primary to its declaration as failed.
    pub detection: Option<u64>,
    /// For a planned change: from the announcement to the end of running transactions.
    pub drain: Option<u64>,
    /// Commit of the fencing.
    pub fencing: Option<u64>,
    /// Wait for the end of older leases.
    pub leases: Option<u64>,
    /// Reads of terms and positions.
    pub reads: Option<u64>,
    /// From the commit of the order to its execution.
    pub order: Option<u64>,
    /// Commit of the new term.
    pub commit: Option<u64>,
}

/// A renewal of an entry process.
#[derive(Debug, Clone, Default)]
pub struct Renewal {
    /// Name.
    pub entry: EntryName,
    /// Zone.
    pub zone: ZoneName,
    /// Random id of its run.
    pub run: u64,
    /// Record version that it has applied.
    pub record_version: Version,
    /// Configuration version that it has applied.
    pub config_version: Version,
    /// Announcements that it heard, with their ages.
    pub announcements: Vec<(Announcement, Duration)>,
    /// What it sees.
    pub sightings: Vec<(GroupName, MemberName, Sighting)>,
    /// Connections per member.
    pub demands: Vec<Demand>,
    /// HTTP address.
    pub http: String,
    /// Address that takes forwarded sessions; empty if there is none.
    pub forwarding: String,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// Connections that an entry process uses and wants at one member.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Member.
    pub member: MemberName,
    /// In use now.
    pub used: u32,
    /// Wanted, base share included.
    pub wanted: u32,
}

/// Answer to a renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RenewalReply {
    /// Whether this host grants the lease.
    pub granted: bool,
    /// Whether this host leads, so that `permits` counts.
    pub leader: bool,
    /// Lent connections.
    pub permits: Vec<(MemberName, u32)>,
    /// Whether an operator asks this run of the entry process to stop.
    pub drain: bool,
    /// Entry processes heard from lately; 0 while this host can't know them, as after its start.
    pub entry_count: u32,
    /// Zones with such entry processes.
    pub zone_count: u32,
    /// Those in the zone of the renewal that take forwarded sessions, with the address.
    pub near_entries: BTreeMap<EntryName, String>,
}

/// Who this host is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name.
    pub name: HostName,
    /// Zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Source address of outgoing connections.
    pub host: IpAddr,
    /// Every control host, this one included.
    pub peers: Vec<(HostName, SocketAddr)>,
    /// Whether control hosts may be replaced by others at other addresses.
    pub allow_replacement: bool,
}

/// The configuration in force, parsed.
#[derive(Debug, Default)]
pub struct ActiveDocument {
    document: Document,
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

    /// Service that a group serves.
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

/// A control host.
#[derive(Debug)]
pub struct Host<L> {
    /// Runs of entry processes that an operator asked to stop.
    pub drain_requests: RefCell<Set<Holder>>,
    /// Who this host is.
    pub identity: Identity,
    /// Replicated log.
    pub log: L,
    /// Databases of the deployment.
    pub databases: Rc<dyn Databases>,
    /// Announcements that arrived at this host since it passed them on last.
    pub pending_announcements: RefCell<Map<MemberName, Instant>>,
    /// State that the log is applied to.
    pub state: Rc<RefCell<State>>,
    /// Write lease grants.
    pub leases: RefCell<Leases>,
    /// Databases and entry processes heard from.
    pub directory: RefCell<Directory>,
    /// Random id of this run; a directory version counts only together with it.
    pub run: u64,
    /// What entry processes see.
    pub sightings: RefCell<Sightings>,
    /// Loans, while this host leads.
    pub permits: RefCell<Option<Permits>>,
    /// Entry processes that receive cancel requests.
    pub cancellers: Rc<Cancellers>,
    /// Calls to the other control hosts.
    pub peers: Peers,
    /// Reports changes of the log, the directory and sightings that speak against a primary.
    pub changes: Notify,
    /// Step durations of the last promotions.
    pub timings: RefCell<VecDeque<PromotionTiming>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Logger.
    pub logger: slog::Logger,
    /// Whether this host is stopping.
    pub stopping: Cell<bool>,
    /// Changes of operators that have no answer yet.
    pub pending_changes: Cell<usize>,
    /// Texts of configurations that entry processes may have.
    pub documents: RefCell<Documents>,
    /// When this host started.
    start: Instant,
    /// When it first heard from an entry process last.
    met: Cell<Instant>,
    /// Whether it knows the entry processes.
    acquainted: Cell<bool>,
    /// When this host gave each seat to a new host.
    pub reassigned_seats: RefCell<Map<HostName, Instant>>,
    /// When a change was planned last for a leaving primary.
    pub last_planned: RefCell<Map<GroupName, Instant>>,
    /// Wakes the task of one group.
    suspects: RefCell<Map<GroupName, Rc<Notify>>>,
    /// Record version whose changes the tasks of groups were told.
    told: Cell<Version>,
    document: RefCell<(Version, Rc<ActiveDocument>)>,
}

impl<L: Log> Host<L> {
    /// Makes a host that starts at `now`.
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
            state,
            documents: RefCell::default(),
            start: now,
            met: Cell::new(now),
            acquainted: Cell::new(false),
            leases: RefCell::new(Leases::new(now)),
            directory: RefCell::default(),
            run: rand::random(),
            sightings: RefCell::default(),
            permits: RefCell::default(),
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
            suspects: RefCell::default(),
            told: Cell::new(0),
            document: RefCell::default(),
        })
    }

    /// Hosts that make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.identity.peers.len() / 2 + 1
    }

    /// Record of a group.
    #[must_use]
    pub fn record(&self, group: &str) -> Option<Record> {
        self.state.borrow().records.get(group).cloned()
    }

    /// Configuration in force, parsed; empty while there is none.
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
                    // A newer program accepted what this one can't read: the last known one goes
                    // on, and the fault is told once.
                    cached.0 = state.config.version;
                    slog::error!(self.logger, "the configuration can't be read";
                        "version" => state.config.version, "cause" => %cause);
                }
            }
        }
        Rc::clone(&cached.1)
    }

    /// Takes a change of the log into account.
    pub fn on_applied(&self) {
        let state = self.state.borrow();
        let set = |gauge: &prometheus::IntGauge, value: u64| {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        set(&self.metrics.config_version, state.config.version);
        set(&self.metrics.record_version, state.version);
        for (name, address) in &state.seats {
            match address.parse() {
                Ok(address) => {
                    self.peers.set_address(name, address);
                    self.log.set_address(name, address);
                }
                Err(cause) => slog::error!(self.logger, "the address of a seat can't be read";
                    "seat" => name, "address" => address, "cause" => %cause),
            }
        }
        let config = &state.config;
        self.documents
            .borrow_mut()
            .note(config.version, &config.document);
        let told = self.told.replace(state.version);
        let suspects = self.suspects.borrow();
        for record in state.newer(told) {
            if let Some(notify) = suspects.get(&record.group) {
                notify.notify();
            }
        }
        self.changes.notify();
    }

    /// Forgets what is gone.
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

    /// Whether this host holds no unexpired grant older than `version`; `None` when it can't know,
    /// because it started a moment ago or lost its disk.
    #[must_use]
    pub fn grants_expired(&self, now: Instant, version: Version) -> Option<bool> {
        let clear = self.leases.borrow_mut().clear(now, version);
        clear.filter(|_| !self.log.is_learner())
    }

    /// Waits until this host knows that it holds no unexpired grant older than `version`.
    pub async fn wait_grants_expired(&self, version: Version) {
        while self.grants_expired(Instant::now(), version) != Some(true) {
            sleep(GRANT_POLL_INTERVAL).await;
        }
    }

    /// Whether another host took over the seat of this one.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        seat::displaced(&self.state.borrow(), &self.identity)
    }

    /// Takes an announcement that arrived at this host, and passes it on to the others later.
    pub fn receive_announcement(&self, now: Instant, announcement: Announcement) {
        let member = announcement.member.clone();
        self.pending_announcements.borrow_mut().insert(member, now);
        self.record_announcement(now, Duration::ZERO, announcement);
    }

    /// Takes an announcement that was heard `age` before `now`, here or at another host.
    pub fn record_announcement(&self, now: Instant, age: Duration, announcement: Announcement) {
        let (member, store) = (announcement.member.clone(), announcement.store.clone());
        let before = {
            let directory = self.directory.borrow();
            let known = directory.member(&member);
            known.map(|heard| heard.announcement.store.clone())
        };
        if self.announced(now, age, announcement) {
            if before.as_ref() != Some(&store) {
                slog::info!(self.logger, "database heard for the first time"; "member" => &member,
                    "store" => store, "before" => before);
            }
            self.changes.notify();
        }
    }

    /// Notes an announcement; returns whether it is a change.
    fn announced(&self, now: Instant, age: Duration, announcement: Announcement) -> bool {
        self.metrics.announcements.inc();
        let group = announcement.leaving.then(|| announcement.group.clone());
        let changed = self.directory.borrow_mut().announce(now, age, announcement);
        // The next sweep would plan the change of a leaving primary up to a second later.
        let group = group.filter(|_| changed);
        if let Some(notify) = group.and_then(|group| self.suspects.borrow().get(&group).cloned()) {
            notify.notify();
        }
        changed
    }

    /// Answers a renewal.
    pub fn renew(&self, now: Instant, renewal: Renewal) -> RenewalReply {
        let holder = (renewal.entry.clone(), renewal.run);
        let known = Known {
            fenced: self.state.borrow().fenced,
            applied: self.log.last_applied(),
            stored: self.log.last_stored(),
            learner: self.log.is_learner() || self.is_replaced(),
            current: self.log.has_caught_up(),
        };
        let granted = {
            let mut leases = self.leases.borrow_mut();
            leases.release(&holder, renewal.record_version);
            leases.renew(now, holder.clone(), renewal.record_version, known)
        };
        let result = if granted { "granted" } else { "refused" };
        self.metrics.renewals.with_label_values(&[result]).inc();

        let mut news = false;
        for (announcement, age) in renewal.announcements {
            news |= self.announced(now, age, announcement);
        }
        let used = renewal
            .demands
            .iter()
            .map(|d| (d.member.clone(), d.used))
            .collect();
        let entry = Entry {
            zone: renewal.zone.clone(),
            run: renewal.run,
            records: renewal.record_version,
            config: renewal.config_version,
            http: renewal.http,
            forwarding: renewal.forwarding,
            stopping: renewal.stopping,
            at: now,
            used,
        };
        let met = self
            .directory
            .borrow_mut()
            .hear(renewal.entry.clone(), entry);
        if met {
            self.met.set(now);
        }
        if news {
            self.changes.notify();
        }
        self.sight(
            now,
            &renewal.entry,
            &renewal.zone,
            renewal.stopping,
            renewal.sightings,
        );
        let leader = self.log.is_leader(now);
        let permits = if leader {
            self.lend(now, &holder, &renewal.demands)
        } else {
            Vec::new()
        };
        let acquainted = self.is_acquainted(now);
        let (entries, zones) = if acquainted {
            self.live_entries(now)
        } else {
            (0, 0)
        };
        let near = if leader && acquainted {
            self.near(&renewal.zone, now)
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

    /// Whether this host has heard from the entry processes since its start.
    fn is_acquainted(&self, now: Instant) -> bool {
        let running = now.saturating_duration_since(self.start);
        let quiet = now.saturating_duration_since(self.met.get());
        let acquainted = (running >= ACQUAINTED && quiet >= SETTLED) || running >= ACQUAINTED_MOST;
        self.acquainted.set(self.acquainted.get() || acquainted);
        self.acquainted.get()
    }

    /// Entry processes of a zone that take forwarded sessions, with the address.
    fn near(&self, zone: &str, now: Instant) -> BTreeMap<EntryName, String> {
        let directory = self.directory.borrow();
        let near = directory.live(now, judge::LIVE).filter(|(_, entry)| {
            entry.zone == zone && !entry.stopping && !entry.forwarding.is_empty()
        });
        near.map(|(name, entry)| (name.clone(), entry.forwarding.clone()))
            .collect()
    }

    /// Number of entry processes heard from lately, and of zones with some.
    fn live_entries(&self, now: Instant) -> (u32, u32) {
        let directory = self.directory.borrow();
        let zones: Vec<_> = directory
            .live(now, LIVE_ENTRY)
            .map(|(_, entry)| &entry.zone)
            .collect();
        let count = zones.len();
        let zones: Set<_> = zones.into_iter().collect();
        let number = |count| u32::try_from(count).unwrap_or(u32::MAX);
        (number(count), number(zones.len()))
    }

    fn sight(
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
                at: now,
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
            if suspect && let Some(notify) = self.suspects.borrow().get(&group) {
                notify.notify();
            }
        }
    }

    /// Counts bytes sent to an entry process, if it is in another region.
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

    /// Event that wakes the task of `group` when something speaks against its primary.
    pub fn group_notify(&self, group: &str) -> Rc<Notify> {
        let mut suspects = self.suspects.borrow_mut();
        Rc::clone(suspects.entry(group.to_owned()).or_default())
    }

    fn lend(
        &self,
        now: Instant,
        holder: &(EntryName, u64),
        demands: &[Demand],
    ) -> Vec<(String, u32)> {
        let document = self.document();
        let entries = document.entries.max.max(self.live_entries(now).0);
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

    /// Proposes a change of a record, unless it changed since it was read.
    ///
    /// # Errors
    /// The log has no answer; `Ok(false)` means that the record changed meanwhile.
    pub async fn propose_record(&self, base: Version, record: Record) -> Result<bool, LogError> {
        let command = Command::Record { base, record };
        let (_, answer) = self.log.propose(command.encode()).await?;
        Ok(matches!(Answer::decode(&answer), Answer::Done { .. }))
    }

    /// Address of a recorded member: the announced one while its store is the recorded one.
    #[must_use]
    pub fn member_address(&self, member: &Member) -> String {
        let directory = self.directory.borrow();
        let heard = directory
            .member(&member.member)
            .map(|heard| &heard.announcement);
        let current = heard.filter(|a| a.store == member.store && !a.address.is_empty());
        current.map_or(&member.address, |a| &a.address).clone()
    }

    /// Target of orders to a recorded member.
    #[must_use]
    pub fn target(&self, group: &str, member: &Member) -> Target {
        Target {
            address: self.member_address(member),
            group: group.to_owned(),
            member: member.member.clone(),
            store: member.store.clone(),
        }
    }

    /// Keeps and logs the step durations of a finished promotion.
    pub fn record_timing(&self, timing: PromotionTiming) {
        let steps = [
            ("detection", timing.detection),
            ("drain", timing.drain),
            ("fencing", timing.fencing),
            ("leases", timing.leases),
            ("reads", timing.reads),
            ("order", timing.order),
            ("commit", timing.commit),
        ];
        for (name, took) in steps {
            if let Some(took) = took {
                self.metrics.observe_step(name, Duration::from_millis(took));
            }
        }
        slog::info!(self.logger, "promotion finished"; "group" => &timing.group,
            "term" => timing.term, "member" => &timing.member, "cause" => &timing.cause,
            "detection_ms" => timing.detection, "drain_ms" => timing.drain,
            "fencing_ms" => timing.fencing, "leases_ms" => timing.leases,
            "reads_ms" => timing.reads, "order_ms" => timing.order,
            "commit_ms" => timing.commit);
        let mut timings = self.timings.borrow_mut();
        timings.push_back(timing);
        if timings.len() > KEPT_TIMINGS {
            timings.pop_front();
        }
    }

    /// Whole state, for `/dump`.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Value {
        let state = self.state.borrow();
        json!({
            "name": self.identity.name,
            "zone": self.identity.zone,
            "run": self.run,
            "leader": self.log.is_leader(now),
            "log": self.log.dump(),
            "config": state.config,
            "history": state.history,
            "records": state.records,
            "record_version": state.version,
            "fenced": state.fenced,
            "applied": state.applied,
            "members": self.members_json(now),
            "entries": self.entries_json(now),
            "timings": *self.timings.borrow(),
        })
    }

    /// Members heard from, for status and dump.
    #[must_use]
    pub fn members_json(&self, now: Instant) -> Value {
        let directory = self.directory.borrow();
        let permits = self.permits.borrow();
        let mut members: Vec<_> = directory.members().collect();
        members.sort_by(|a, b| a.announcement.member.cmp(&b.announcement.member));
        let members = members.into_iter().map(|heard| {
            let name = &heard.announcement.member;
            json!({
                "announcement": heard.announcement,
                "age_ms": millis(now.duration_since(heard.at)),
                "lent": permits.as_ref().map(|permits| permits.held(now, name)),
            })
        });
        members.collect()
    }

    /// Entry processes, for status and dump.
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
                "record_version": entry.records,
                "config_version": entry.config,
                "http": entry.http,
                "stopping": entry.stopping,
                "age_ms": millis(now.duration_since(entry.at)),
            })
        });
        entries.collect()
    }
}

/// Whole milliseconds of a duration.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
