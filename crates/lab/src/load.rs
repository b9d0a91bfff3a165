//! Load generator: many callers that read, write and move between entry hosts.

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

/// Number of reads after each write.
const READS_PER_WRITE: u32 = 9;
/// Probability that a caller reconnects, possibly to another entry host, before a cycle.
const RECONNECT_PROBABILITY: f64 = 0.2;
/// Probability that a reconnecting caller has lost its token.
const TOKEN_LOSS_PROBABILITY: f64 = 0.2;
/// Pause after a refused request or a broken connection.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of attempts of a request that was not run or whose outcome is unknown.
const MAX_ATTEMPTS: u32 = 40;

/// Options of a load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Number of callers per service and zone.
    pub callers: u32,
    /// Pause of a caller between two requests.
    pub pause: Duration,
    /// Number of probers per service and zone: callers that write frequently, to measure the
    /// failover gap.
    pub probers: u32,
    /// Pause of a prober between two writes.
    pub probe_pause: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// A load in progress.
#[derive(Debug)]
pub struct RunningLoad {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
    events: Arc<Mutex<Vec<Event>>>,
    /// Start of the load; event times are relative to it.
    pub start: Instant,
}

/// A simulated caller, with the addresses of the entry hosts that it connects to.
#[derive(Debug, Clone)]
struct SimulatedCaller {
    caller: i64,
    service: usize,
    database: String,
    zone_entries: Vec<SocketAddr>,
    other_entries: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    events: Arc<Mutex<Vec<Event>>>,
    start: Instant,
}

/// Creates the tables and a counter for every caller.
///
/// # Errors
/// A service doesn't accept writes within 20 s.
pub async fn prepare(site: &Site, load: &Load) -> Result<(), LabError> {
    let entry = site.entries()[0].address();
    for (service, name) in site.services.iter().enumerate() {
        let statements = [
            "CREATE TABLE IF NOT EXISTS counter (caller int8 PRIMARY KEY, n int8)".to_owned(),
            "CREATE TABLE IF NOT EXISTS ledger (id text PRIMARY KEY, caller int8)".to_owned(),
            format!(
                "CREATE TABLE IF NOT EXISTS {} (id text PRIMARY KEY, caller int8)",
                site.non_idempotent_table
            ),
        ];
        // The load's callers and the spare caller.
        let count = spare_index(site, load) + 1;
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
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                }
            }
        }
    }
    Ok(())
}

/// Index of the spare caller of a service, which only sends the single requests of experiments.
fn spare_index(site: &Site, load: &Load) -> i64 {
    i64::from((load.callers + load.probers) * zone_count(site))
}

fn zone_count(site: &Site) -> u32 {
    u32::from(site.zone_count())
}

fn caller_number(service: usize, i: i64) -> i64 {
    i64::try_from(service).unwrap_or(0) * 1_000 + i
}

impl Load {
    /// Starts the callers of every zone and service.
    #[must_use]
    pub fn start(&self, site: &Site) -> RunningLoad {
        let running = RunningLoad {
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
                    let simulated = simulated_caller(site, zone, service, name, caller, &running);
                    let seed = self.seed ^ caller.unsigned_abs().wrapping_mul(0x9e37_79b9);
                    let random = SmallRng::seed_from_u64(seed);
                    let load = self.clone();
                    tasks.push(if i < self.callers {
                        tokio::spawn(async move { simulated.run(&load, random).await })
                    } else {
                        tokio::spawn(async move { simulated.probe(&load, random).await })
                    });
                }
            }
        }
        RunningLoad { tasks, ..running }
    }
}

fn simulated_caller(
    site: &Site,
    zone: u8,
    service: usize,
    name: &str,
    caller: i64,
    running: &RunningLoad,
) -> SimulatedCaller {
    let (in_zone, others): (Vec<Host>, Vec<Host>) = site
        .entries()
        .into_iter()
        .partition(|entry| entry.zone == zone);
    let addresses = |hosts: Vec<Host>| hosts.into_iter().map(Host::address).collect();
    SimulatedCaller {
        caller,
        service,
        database: name.to_owned(),
        zone_entries: addresses(in_zone),
        other_entries: addresses(others),
        stop: Arc::clone(&running.stop),
        events: Arc::clone(&running.events),
        start: running.start,
    }
}

impl RunningLoad {
    /// Microseconds since the start of the run.
    #[must_use]
    pub fn now(&self) -> u64 {
        micros(self.start.elapsed())
    }

    /// Returns a copy of the events so far.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Writes once through the entry hosts of one zone, as the spare caller.
    pub async fn write_in(&self, site: &Site, load: &Load, service: usize, zone: u8) {
        let (simulated, mut random) = self.spare_caller(site, load, service, zone);
        let number = u64::try_from(self.events().len()).unwrap_or_default();
        simulated
            .write(Kind::Increment, number, &mut None, &mut None, &mut random)
            .await;
    }

    /// Reads once through the entry hosts of one zone, as the spare caller in a new session without
    /// a token.
    #[must_use = "the read is recorded when it ends"]
    pub fn read_in(&self, site: &Site, load: &Load, service: usize, zone: u8) -> JoinHandle<()> {
        let (simulated, mut random) = self.spare_caller(site, load, service, zone);
        tokio::spawn(async move { simulated.read(&mut None, &mut None, &mut random).await })
    }

    /// Creates the spare caller, which connects to the entry hosts of one zone only.
    fn spare_caller(
        &self,
        site: &Site,
        load: &Load,
        service: usize,
        zone: u8,
    ) -> (SimulatedCaller, SmallRng) {
        let caller = caller_number(service, spare_index(site, load));
        let simulated =
            simulated_caller(site, zone, service, &site.services[service], caller, self);
        let other_entries = simulated.zone_entries.clone();
        (
            SimulatedCaller {
                other_entries,
                ..simulated
            },
            SmallRng::seed_from_u64(load.seed),
        )
    }

    /// Stops every caller after its current request and returns the complete history.
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

/// Kind of a write request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// One statement that increments the counter, with an idempotency key.
    Increment,
    /// A transaction that increments the counter and inserts two ledger rows, without a key.
    Transaction,
}

impl SimulatedCaller {
    fn stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Cycles of one write and several reads until the load is stopped.
    async fn run(&self, load: &Load, mut random: SmallRng) {
        let mut session = None;
        let mut token: Option<String> = None;
        let mut number = 0_u64;
        tokio::time::sleep(load.pause.mul_f64(random.random_range(0.0..10.0))).await;
        while !self.stopped() {
            if random.random_bool(RECONNECT_PROBABILITY) {
                session = None;
                if random.random_bool(TOKEN_LOSS_PROBABILITY) {
                    token = None;
                }
            }
            number += 1;
            let kind = if number.is_multiple_of(2) {
                Kind::Transaction
            } else {
                Kind::Increment
            };
            self.write(kind, number, &mut session, &mut token, &mut random)
                .await;
            for _ in 0..READS_PER_WRITE {
                tokio::time::sleep(load.pause).await;
                if self.stopped() {
                    return;
                }
                self.read(&mut session, &mut token, &mut random).await;
            }
        }
    }

    /// Writes until the load is stopped.
    async fn probe(&self, load: &Load, mut random: SmallRng) {
        let mut session = None;
        let mut token = None;
        let mut number = 0;
        while !self.stopped() {
            number += 1;
            self.write(
                Kind::Increment,
                number,
                &mut session,
                &mut token,
                &mut random,
            )
            .await;
            tokio::time::sleep(load.probe_pause).await;
        }
    }

    /// Opens a session unless one is open, with an entry host that a load balancer would choose.
    async fn session(
        &self,
        session: &mut Option<Session>,
        token: Option<&str>,
        random: &mut SmallRng,
    ) -> Result<(), Outcome> {
        if session.as_ref().is_some_and(|open| !open.is_closed()) {
            return Ok(());
        }
        // A load balancer prefers the entry hosts of the caller's zone, and uses others when none
        // of them accepts connections.
        for hosts in [&self.zone_entries, &self.other_entries] {
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

    /// Sends a write, again until it is acknowledged or must not be repeated, and records every
    /// attempt.
    async fn write(
        &self,
        kind: Kind,
        number: u64,
        session: &mut Option<Session>,
        token: &mut Option<String>,
        random: &mut SmallRng,
    ) {
        let request = format!("{}-{}-{number}", self.service, self.caller);
        for _ in 0..MAX_ATTEMPTS {
            let start = self.now();
            let outcome = match self.session(session, token.as_deref(), random).await {
                Ok(()) => match session.as_ref() {
                    Some(open) => self.try_write(kind, &request, open).await,
                    None => Err(Outcome::NotRun("no session".into())),
                },
                Err(outcome) => Err(outcome),
            };
            let outcome = outcome.err().unwrap_or(Outcome::Done);
            self.record(
                start,
                Action::Write {
                    request: request.clone(),
                    increments: true,
                    inserts_rows: kind == Kind::Transaction,
                },
                outcome.clone(),
            );
            if outcome == Outcome::Done {
                *token = session.as_ref().and_then(Session::token).or(token.take());
                return;
            }
            *session = None;
            // Without a key, only a request that was certainly not run may be repeated.
            if kind == Kind::Transaction && !matches!(outcome, Outcome::NotRun(_)) {
                return;
            }
            if self.stopped() && matches!(outcome, Outcome::NotRun(_)) {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn try_write(&self, kind: Kind, request: &str, session: &Session) -> Result<(), Outcome> {
        let caller = self.caller;
        let update = format!("UPDATE counter SET n = n + 1 WHERE caller = {caller}");
        match kind {
            Kind::Increment => {
                let with_key = format!("/* goldcrestrail.key={request} */ {update}");
                session.simple(&with_key).await.map(|_rows| ())
            }
            Kind::Transaction => {
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
                // Nothing is committed before COMMIT, so every failure here means that it was not
                // run.
                body.await
                    .map_err(|outcome| Outcome::NotRun(format!("{outcome:?}")))?;
                session.simple("COMMIT").await.map(|_rows| ())
            }
        }
    }

    /// Reads the counter once and records the result.
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
            Ok((owner, seen)) => self.record(start, Action::Read { owner, seen }, Outcome::Done),
            Err(outcome) => {
                self.record(
                    start,
                    Action::Read {
                        owner: self.caller,
                        seen: 0,
                    },
                    outcome,
                );
                *session = None;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    fn now(&self) -> u64 {
        micros(self.start.elapsed())
    }

    fn record(&self, start: u64, action: Action, outcome: Outcome) {
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
