//! One member of a group: its status probes and its pool.

use std::{
    cell::RefCell,
    io,
    net::{IpAddr, SocketAddr},
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{MemberName, Position};
use compio::runtime::JoinHandle;
use event_listener::Event;
use futures_util::future::{Either, select};
use rand::RngExt as _;
use route::{Detector, Health, Place, SHOW_STATUS, Status};
use wire::{Failure, WireError};

use crate::{group::Group, metrics::Metrics, pool::Pool};

/// Time between probes while nothing waits.
const INTERVAL: Duration = Duration::from_millis(250);
/// Limit on one probe, the connection included.
const DEADLINE: Duration = Duration::from_secs(1);
/// First and longest pause between urgent probes that bring nothing new. Without a pause a replica
/// that lags would be asked as fast as it can answer.
const PAUSE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(16));
/// Pause after a failed probe, however urgent, with jitter from half to one and a half.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time that an unanswered probe still has once a fresh connection works. A member that was frozen
/// answers both; a path that lost track of its connections answers the fresh one only.
const GRACE: Duration = Duration::from_millis(300);
/// User of management connections.
const MONITOR: &str = "monitor";

/// One member at one address.
#[derive(Debug)]
pub struct Member {
    /// Name of the member.
    pub name: MemberName,
    /// Its group.
    pub group: Rc<Group>,
    /// Address of its database.
    pub address: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// Connections to it.
    pub pool: Rc<Pool>,
    status: RefCell<Option<(Status, Instant)>>,
    detector: RefCell<Detector>,
    probe: RefCell<Option<JoinHandle<()>>>,
    /// Notified when the control hosts should hear of a failure at once.
    alarm: Rc<Event>,
}

impl Member {
    /// Makes a member and starts its probes, which end when it is dropped.
    #[must_use]
    pub fn start(
        name: &str,
        group: Rc<Group>,
        address: SocketAddr,
        place: Place,
        pool: Rc<Pool>,
        metrics: &Metrics,
        alarm: Rc<Event>,
    ) -> Rc<Self> {
        let from = pool.source();
        let member = Rc::new(Self {
            name: name.to_owned(),
            group,
            address,
            place,
            pool,
            status: RefCell::default(),
            detector: RefCell::new(Detector::new(Instant::now())),
            probe: RefCell::default(),
            alarm,
        });
        let probes = probe(Rc::clone(&member), from, metrics.clone());
        *member.probe.borrow_mut() = Some(compio::runtime::spawn(probes));
        member
    }

    /// Ends the probes and the pool; connections in use stay until they are released.
    pub fn stop(&self) {
        self.probe.borrow_mut().take();
        self.pool.drain(true);
    }

    /// Last status and when it was asked for.
    #[must_use]
    pub fn status(&self) -> Option<(Status, Instant)> {
        self.status.borrow().clone()
    }

    /// Position and role of the last status.
    #[must_use]
    pub fn position(&self) -> Option<(Position, bool)> {
        self.status
            .borrow()
            .as_ref()
            .map(|(status, _)| (status.position, status.primary))
    }

    /// Whether the last status came from this store.
    #[must_use]
    pub fn has_store(&self, store: &str) -> bool {
        self.status
            .borrow()
            .as_ref()
            .is_some_and(|(status, _)| status.store == store)
    }

    /// State as the probes see it, with the time since the last good answer.
    #[must_use]
    pub fn health(&self, now: Instant) -> (Health, Duration) {
        let detector = self.detector.borrow();
        (detector.health(now), detector.since(now))
    }

    /// Whether the record names this member as the primary in force.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.group
            .current()
            .is_some_and(|record| record.primary == self.name)
    }

    fn answered(&self, status: Status, sent: Instant) -> bool {
        self.detector.borrow_mut().answered(Instant::now());
        let changed = self
            .status
            .borrow()
            .as_ref()
            .is_none_or(|(known, _)| *known != status);
        self.group.note(&status, sent);
        *self.status.borrow_mut() = Some((status, sent));
        changed
    }

    fn failed(&self, refused: bool) {
        if refused {
            let before = self.health(Instant::now()).0;
            self.detector.borrow_mut().refused();
            if before != Health::Refused && self.is_primary() {
                self.alarm.notify(usize::MAX);
            }
        } else {
            self.detector.borrow_mut().silent();
            self.pool.cut_reads();
        }
        // The path may have gone silent for the connections of the pool too.
        self.pool.close_idle();
        self.pool.refuse_waiting();
        self.group.notify();
    }
}

enum Fault {
    Refused,
    Silent,
    /// The connection ended; the address may still accept a fresh one.
    Lost,
}

async fn probe(member: Rc<Member>, from: IpAddr, metrics: Metrics) {
    let count = |result| metrics.probes.with_label_values(&[result]).inc();
    let mut client = None;
    let mut pause = Duration::ZERO;
    let mut watched = true;
    // A connection whose probe was not answered, and when that was noticed.
    let mut unanswered: Option<(wire::Client, Instant)> = None;
    loop {
        let sent = Instant::now();
        let fresh = client.is_none();
        let asked = compio::time::timeout(DEADLINE, ask(&mut client, from, &member)).await;
        let fault = match asked {
            Ok(Ok(status)) => {
                count("ok");
                let changed = member.answered(status, sent);
                pause = if changed {
                    Duration::ZERO
                } else {
                    (pause * 5 / 4).clamp(PAUSE.0, PAUSE.1)
                };
                if let Some((old, noticed)) = unanswered.take() {
                    compio::runtime::spawn(judge_path(Rc::clone(&member), old, noticed)).detach();
                }
                None
            }
            Ok(Err(Fault::Lost)) if !fresh => Some(Fault::Lost),
            Ok(Err(Fault::Refused | Fault::Lost)) => Some(Fault::Refused),
            Ok(Err(Fault::Silent)) | Err(_) => Some(Fault::Silent),
        };
        match fault {
            None => {
                // A member that sends something unasked after every probe is not asked more often.
                let idle = client.as_ref().filter(|_| watched);
                watched = !wait(&member, pause, idle).await;
            }
            Some(fault) => {
                let old = client.take();
                match fault {
                    Fault::Lost => {
                        count("lost");
                        member.pool.close_idle();
                    }
                    Fault::Refused => {
                        count("refused");
                        member.failed(true);
                        retry_pause().await;
                    }
                    Fault::Silent => {
                        count("silent");
                        member.failed(false);
                        if let Some(old) = old.filter(|_| !fresh) {
                            unanswered = Some((old, Instant::now()));
                        }
                        retry_pause().await;
                    }
                }
            }
        }
    }
}

/// Cuts the connections in use from before `noticed` when the probe on `old` stays unanswered
/// although a fresh connection works.
async fn judge_path(member: Rc<Member>, mut old: wire::Client, noticed: Instant) {
    let answer = compio::time::timeout(GRACE, old.frame()).await;
    if !matches!(answer, Ok(Ok(_))) {
        member.pool.cut_before(noticed);
    }
}

async fn retry_pause() {
    let jitter = rand::rng().random_range(0.5..1.5);
    compio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
}

/// Waits for the next probe: the interval, or less when something waits for this member or the
/// connection `idle` ends. Returns whether the connection ended or brought something.
async fn wait(member: &Member, pause: Duration, idle: Option<&wire::Client>) -> bool {
    if member.group.is_urgent(member.is_primary()) {
        if !pause.is_zero() {
            let urgent = member.group.listen_urgent();
            let _elapsed = compio::time::timeout(pause, urgent).await;
        }
        return false;
    }
    let end = Instant::now() + INTERVAL;
    let news = pin!(async {
        match idle {
            Some(client) => client.reader.readable().await,
            None => std::future::pending().await,
        }
    });
    let urgent = pin!(async {
        loop {
            let urgent = member.group.listen_urgent();
            if member.group.is_urgent(member.is_primary()) {
                return;
            }
            urgent.await;
        }
    });
    let woken = compio::time::timeout_at(end, select(news, urgent)).await;
    matches!(woken, Ok(Either::Left(_)))
}

async fn ask(
    client: &mut Option<wire::Client>,
    from: IpAddr,
    member: &Member,
) -> Result<Status, Fault> {
    let open = if let Some(open) = client {
        open
    } else {
        let stream = base::net::connect(from, member.address, DEADLINE)
            .await
            .map_err(|cause| match cause.kind() {
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Fault::Refused,
                // An unreachable network tells nothing about the member.
                _ => Fault::Silent,
            })?;
        let opened = wire::Client::open(stream, MONITOR, &member.group.name).await;
        client.insert(opened.map_err(|failure| fault(&failure))?)
    };
    let rows = open
        .query(SHOW_STATUS)
        .await
        .map_err(|failure| fault(&failure))?;
    let status = rows
        .into_iter()
        .next()
        .and_then(Status::parse)
        .ok_or(Fault::Refused)?;
    // Another process took over the address.
    if status.member == member.name {
        Ok(status)
    } else {
        Err(Fault::Refused)
    }
}

fn fault(failure: &Failure) -> Fault {
    match failure {
        Failure::Refused(..) => Fault::Refused,
        Failure::Wire(WireError::Io(cause)) if cause.kind() == io::ErrorKind::TimedOut => {
            Fault::Silent
        }
        Failure::Wire(_) => Fault::Lost,
    }
}
