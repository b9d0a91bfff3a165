//! Bounded load of many callers that read, write and roam between entry hosts.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::task::JoinHandle;

use crate::{
    caller::{Outcome, Session},
    checker::{Action, Event},
    error::LabError,
    site::{Host, Site},
};

/// Reads after each write.
const READS: u32 = 9;
/// Chance that a caller goes to another entry host before a cycle.
const ROAM: f64 = 0.2;
/// Chance that a roaming caller has lost its token.
const FORGET: f64 = 0.2;
/// Pause after a refusal or a break.
const PAUSE: Duration = Duration::from_millis(50);
/// Attempts of one request whose outcome is unknown or that was not run.
const ATTEMPTS: u32 = 40;

/// Choices for a load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Callers per service and zone.
    pub callers: u32,
    /// Pause between two requests of a caller.
    pub pause: Duration,
    /// Writers without pause per service and zone, which measure the failover gap.
    pub probers: u32,
    /// Pause between two requests of such a writer.
    pub step: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// A load that runs.
#[derive(Debug)]
pub struct Running {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
    events: Arc<Mutex<Vec<Event>>>,
    /// Start of the run; times of events count from here.
    pub start: Instant,
}

#[derive(Debug, Clone)]
struct Desk {
    caller: i64,
    service: usize,
    database: String,
    entries: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    events: Arc<Mutex<Vec<Event>>>,
    start: Instant,
}

/// Creates the tables and the counter of every caller.
///
/// # Errors
/// The service doesn't take writes within 20 s.
pub async fn prepare(site: &Site, load: &Load) -> Result<(), LabError> {
    let entry = site.entries()[0].address();
    for (service, name) in site.services.iter().enumerate() {
        let statements = [
            "CREATE TABLE IF NOT EXISTS counter (caller int8 PRIMARY KEY, n int8)".to_owned(),
            "CREATE TABLE IF NOT EXISTS ledger (id text PRIMARY KEY, caller int8)".to_owned(),
            format!(
                "CREATE TABLE IF NOT EXISTS {} (id text PRIMARY KEY, caller int8)",
                site.table
            ),
        ];
        // One caller more than the load has, for single requests.
        let count = extra(site, load) + 1;
        let counters = (0..count).map(|i| {
            let caller = caller_number(service, i);
            format!(
                "INSERT INTO counter (caller, n) VALUES ({caller}, 0) ON CONFLICT (caller) DO \
                 NOTHING"
            )
        });
        let end = Instant::now() + Duration::from_secs(20);
        let mut session: Option<Session> = None;
        for statement in statements.into_iter().chain(counters) {
            loop {
                let outcome = match &session {
                    Some(open) => open.simple(&statement).await.map(|_rows| ()),
                    None => match Session::open(entry, name, None).await {
                        Ok(open) => {
                            session = Some(open);
                            continue;
                        }
                        Err(outcome) => Err(outcome),
                    },
                };
                match outcome {
                    Ok(()) => break,
                    Err(cause) if Instant::now() > end => {
                        return Err(LabError::Admin(format!("{name}: {statement}: {cause:?}")));
                    }
                    Err(_) => {
                        session = None;
                        tokio::time::sleep(PAUSE).await;
                    }
                }
            }
        }
    }
    Ok(())
}

/// Number of the caller of a service that the load itself does not use.
fn extra(site: &Site, load: &Load) -> i64 {
    i64::from((load.callers + load.probers) * zones(site))
}

fn zones(site: &Site) -> u32 {
    u32::from(site.zone_count())
}

fn caller_number(service: usize, i: i64) -> i64 {
    i64::try_from(service).unwrap_or(0) * 1_000 + i
}

impl Load {
    /// Starts the callers of every zone and service.
    #[must_use]
    pub fn start(&self, site: &Site) -> Running {
        let running = Running {
            stop: Arc::default(),
            tasks: Vec::new(),
            events: Arc::default(),
            start: Instant::now(),
        };
        let mut tasks = Vec::new();
        for (service, name) in site.services.iter().enumerate() {
            let mut number = 0;
            for zone in site.zone_numbers() {
                for i in 0..self.callers + self.probers {
                    let caller = caller_number(service, number);
                    number += 1;
                    let desk = desk(site, zone, service, name, caller, &running);
                    let seed = self.seed ^ caller.unsigned_abs().wrapping_mul(0x9e37_79b9);
                    let random = SmallRng::seed_from_u64(seed);
                    let load = self.clone();
                    tasks.push(if i < self.callers {
                        tokio::spawn(async move { desk.work(&load, random).await })
                    } else {
                        tokio::spawn(async move { desk.probe(&load, random).await })
                    });
                }
            }
        }
        Running { tasks, ..running }
    }
}

fn desk(site: &Site, zone: u8, service: usize, name: &str, caller: i64, running: &Running) -> Desk {
    let (near, far): (Vec<Host>, Vec<Host>) = site
        .entries()
        .into_iter()
        .partition(|entry| entry.zone == zone);
    let addresses = |hosts: Vec<Host>| hosts.into_iter().map(Host::address).collect();
    Desk {
        caller,
        service,
        database: name.to_owned(),
        entries: addresses(near),
        far: addresses(far),
        stop: Arc::clone(&running.stop),
        events: Arc::clone(&running.events),
        start: running.start,
    }
}

impl Running {
    /// Microseconds since the start of the run.
    #[must_use]
    pub fn now(&self) -> u64 {
        micros(self.start.elapsed())
    }

    /// Events so far.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Writes once through the entry hosts of one zone as the caller that the load does not use.
    pub async fn write_in(&self, site: &Site, load: &Load, service: usize, zone: u8) {
        let (desk, mut random) = self.single(site, load, service, zone);
        let number = u64::try_from(self.events().len()).unwrap_or_default();
        desk.write(Kind::Count, number, &mut None, &mut None, &mut random)
            .await;
    }

    /// Reads once through the entry hosts of one zone as that caller, in a new session without a
    /// token.
    #[must_use = "the read is recorded when it ends"]
    pub fn read_in(&self, site: &Site, load: &Load, service: usize, zone: u8) -> JoinHandle<()> {
        let (desk, mut random) = self.single(site, load, service, zone);
        tokio::spawn(async move { desk.read(&mut None, &mut None, &mut random).await })
    }

    fn single(&self, site: &Site, load: &Load, service: usize, zone: u8) -> (Desk, SmallRng) {
        let caller = caller_number(service, extra(site, load));
        let desk = desk(site, zone, service, &site.services[service], caller, self);
        let far = desk.entries.clone();
        (Desk { far, ..desk }, SmallRng::seed_from_u64(load.seed))
    }

    /// Lets every caller end its cycle, and returns the whole history.
    pub async fn finish(self) -> Vec<Event> {
        self.stop.store(true, Ordering::SeqCst);
        for task in self.tasks {
            let _panicked = task.await;
        }
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut events)
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// One request of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// One statement that counts, with a key.
    Count,
    /// One transaction that counts and files two rows, without a key.
    File,
}

impl Desk {
    fn stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    async fn work(&self, load: &Load, mut random: SmallRng) {
        let mut session = None;
        let mut token: Option<String> = None;
        let mut number = 0_u64;
        tokio::time::sleep(load.pause.mul_f64(random.random_range(0.0..10.0))).await;
        while !self.stopped() {
            if random.random_bool(ROAM) {
                session = None;
                if random.random_bool(FORGET) {
                    token = None;
                }
            }
            number += 1;
            let kind = if number.is_multiple_of(2) {
                Kind::File
            } else {
                Kind::Count
            };
            self.write(kind, number, &mut session, &mut token, &mut random)
                .await;
            for _ in 0..READS {
                tokio::time::sleep(load.pause).await;
                if self.stopped() {
                    return;
                }
                self.read(&mut session, &mut token, &mut random).await;
            }
        }
    }

    async fn probe(&self, load: &Load, mut random: SmallRng) {
        let mut session = None;
        let mut token = None;
        let mut number = 0;
        while !self.stopped() {
            number += 1;
            self.write(Kind::Count, number, &mut session, &mut token, &mut random)
                .await;
            tokio::time::sleep(load.step).await;
        }
    }

    /// Takes an open session, or opens one where the balancer sends the caller.
    async fn session(
        &self,
        session: &mut Option<Session>,
        token: Option<&str>,
        random: &mut SmallRng,
    ) -> Result<(), Outcome> {
        if session.as_ref().is_some_and(|open| !open.is_closed()) {
            return Ok(());
        }
        // A balancer sends callers to the entry hosts of their zone, and elsewhere when none there
        // accepts.
        for hosts in [&self.entries, &self.far] {
            for _ in 0..2 {
                let address = hosts[random.random_range(0..hosts.len())];
                if let Ok(open) = Session::open(address, &self.database, token).await {
                    *session = Some(open);
                    return Ok(());
                }
            }
        }
        Err(Outcome::NotRun("no entry host accepts".into()))
    }

    async fn write(
        &self,
        kind: Kind,
        number: u64,
        session: &mut Option<Session>,
        token: &mut Option<String>,
        random: &mut SmallRng,
    ) {
        let request = format!("{}-{}-{number}", self.service, self.caller);
        for _ in 0..ATTEMPTS {
            let start = self.now();
            let outcome = match self.session(session, token.as_deref(), random).await {
                Ok(()) => match session.as_ref() {
                    Some(open) => self.attempt(kind, &request, open).await,
                    None => Err(Outcome::NotRun("no session".into())),
                },
                Err(outcome) => Err(outcome),
            };
            let outcome = outcome.err().unwrap_or(Outcome::Done);
            self.note(
                start,
                Action::Write {
                    request: request.clone(),
                    increments: true,
                    inserts_rows: kind == Kind::File,
                },
                outcome.clone(),
            );
            if outcome == Outcome::Done {
                *token = session.as_ref().and_then(Session::token).or(token.take());
                return;
            }
            *session = None;
            // Without a key only what certainly did not run may be sent again.
            if kind == Kind::File && !matches!(outcome, Outcome::NotRun(_)) {
                return;
            }
            if self.stopped() && matches!(outcome, Outcome::NotRun(_)) {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn attempt(&self, kind: Kind, request: &str, session: &Session) -> Result<(), Outcome> {
        let caller = self.caller;
        let update = format!("UPDATE counter SET n = n + 1 WHERE caller = {caller}");
        match kind {
            Kind::Count => {
                let keyed = format!("/* goldcrestrail.key={request} */ {update}");
                session.simple(&keyed).await.map(|_rows| ())
            }
            Kind::File => {
                let body = async {
                    session.simple("BEGIN").await?;
                    session.simple(&update).await?;
                    for row in 1..=2 {
                        let id = format!("{request}#{row}");
                        let insert =
                            format!("INSERT INTO ledger (id, caller) VALUES ('{id}', {caller})");
                        session.simple(&insert).await?;
                    }
                    Ok::<(), Outcome>(())
                };
                // Nothing was committed yet, so that every failure here means not run.
                body.await
                    .map_err(|outcome| Outcome::NotRun(format!("{outcome:?}")))?;
                session.simple("COMMIT").await.map(|_rows| ())
            }
        }
    }

    async fn read(
        &self,
        session: &mut Option<Session>,
        token: &mut Option<String>,
        random: &mut SmallRng,
    ) {
        let start = self.now();
        let read = match self.session(session, token.as_deref(), random).await {
            Ok(()) => match session.as_ref() {
                Some(open) => open.counter(self.caller).await,
                None => Err(Outcome::NotRun("no session".into())),
            },
            Err(outcome) => Err(outcome),
        };
        match read {
            Ok((owner, seen)) => self.note(start, Action::Read { owner, seen }, Outcome::Done),
            Err(outcome) => {
                self.note(
                    start,
                    Action::Read {
                        owner: self.caller,
                        seen: 0,
                    },
                    outcome,
                );
                *session = None;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    fn now(&self) -> u64 {
        micros(self.start.elapsed())
    }

    fn note(&self, start: u64, action: Action, outcome: Outcome) {
        let event = Event {
            service: self.service,
            caller: self.caller,
            start,
            end: self.now(),
            action,
            outcome,
        };
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(event);
    }
}
