//! Connection to one control host: renews the write lease and watches for changes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Map, Version};
use compio::net::TcpStream;
use futures_util::{FutureExt as _, pin_mut, select};
use proto::{schema, traffic::Traffic};
use rand::RngExt as _;
use route::{
    Announcement, Location,
    report::{ClusterView, ReportSender},
};
use slog::{info, warn};

use crate::{
    dialect::Dialect,
    group::{MemberRecord, Phase, Record},
    network::{ControlHost, Network},
    report,
};

/// Time between renewals. A lease lasts 1.98 s from its request, which leaves time for three
/// attempts.
const INTERVAL: Duration = Duration::from_millis(600);
/// Time between renewals while a report is urgent. The detection time of a failed primary depends
/// on it.
const URGENT_INTERVAL: Duration = Duration::from_millis(300);
/// Time between renewals while a planned change of primary waits for the connections in use. The
/// renewals report them, and writes wait for the change for at most 5 s.
const DRAINING_INTERVAL: Duration = Duration::from_millis(25);
/// Time between renewals until the assignment of groups is known, for which callers wait.
const UNASSIGNED_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a connection attempt: a few round trips between regions. A host that is just starting
/// answers a later attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a renewal.
const RENEW_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the host answers a watch even without changes. A broken connection is detected
/// by the renewals.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// Timeout of a watch.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Time that the nearest control host has to send a new configuration before the others are asked
/// for it as well. The text may be long, and a change has to be in force within seconds.
const CONFIG_FALLBACK: Duration = Duration::from_millis(300);
/// Mean pause before the next attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);

/// Pace of a process that starts, as long as it has no assignment and the host has accepted no
/// connection. After a power loss all hosts start within a fraction of a second, and a connection
/// attempt to a host without power gets no answer at all. A host that accepts a connection is up; if
/// it is slow then, it is busy, and more attempts would add to that.
const STARTING: Attempt = Attempt {
    timeout: Duration::from_millis(150),
    pause: Duration::from_millis(50),
};
/// Like [`STARTING`], for a running process.
const RUNNING: Attempt = Attempt {
    timeout: CONNECT_TIMEOUT,
    pause: RECONNECT_PAUSE,
};
/// Number of attempts at the pace of [`STARTING`], so that a host that stays away is not flooded.
const STARTING_ATTEMPTS: u32 = 20;

/// Pace of the attempts to connect to a control host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Attempt {
    timeout: Duration,
    /// Mean pause before the next attempt, with a jitter of 50% in both directions.
    pause: Duration,
}

/// Pace of the attempt after `failures` failed ones at a host that has `accepted` a connection before.
const fn next_attempt(assigned: bool, accepted: bool, failures: u32) -> Attempt {
    if !assigned && !accepted && failures < STARTING_ATTEMPTS {
        STARTING
    } else {
        RUNNING
    }
}

type Control = schema::control::Client;

/// Keeps a connection to the control host at `address` until the task is dropped.
pub async fn run<D: Dialect>(network: Rc<Network<D>>, address: SocketAddr) {
    network.hosts.borrow_mut().insert(
        address,
        ControlHost {
            name: String::new(),
            last_answer: None,
            leader: false,
            state_age: Duration::ZERO,
            min_round_trip: None,
            directory_version: (0, 0),
        },
    );
    let mut was_linked = true;
    let (mut failures, mut accepted) = (0_u32, false);
    loop {
        let attempt = next_attempt(network.is_assignment_known(), accepted, failures);
        let stream = base::net::connect(network.settings.host, address, attempt.timeout).await;
        accepted |= stream.is_ok();
        let cause = match stream {
            Ok(stream) => match run_once(&network, address, stream).await {
                Ok(never) => match never {},
                Err(cause) => cause,
            },
            Err(cause) => cause.to_string(),
        };
        let last_answer = network
            .hosts
            .borrow()
            .get(&address)
            .and_then(|host| host.last_answer);
        let linked = last_answer.is_some_and(|at| at.elapsed() < WATCH_TIMEOUT);
        if was_linked || linked {
            warn!(network.log, "control host can't be reached";
                "address" => %address, "cause" => cause);
        }
        was_linked = linked;
        failures = if linked {
            0
        } else {
            failures.saturating_add(1)
        };
        let jitter = rand::rng().random_range(0.5..1.5);
        compio::time::sleep(attempt.pause.mul_f64(jitter)).await;
    }
}

async fn run_once<D: Dialect>(
    network: &Rc<Network<D>>,
    address: SocketAddr,
    stream: TcpStream,
) -> Result<std::convert::Infallible, String> {
    let traffic = Rc::new(Traffic::default());
    let (gate, driver) =
        proto::rpc::open_counted::<schema::gate::Client>(stream, Rc::clone(&traffic));
    // The connection ends with this function, which drops the handle.
    let _driver = compio::runtime::spawn(driver);
    let control = with_timeout(RENEW_TIMEOUT, async {
        let reply = gate.control_request().send().promise.await?;
        reply.get()?.get_control()
    })
    .await?;
    info!(network.log, "control host is linked"; "address" => %address);
    let _passing = network.passing.register(network, address, &control).await?;
    let _linked = network.rates.link(address, &control);
    let renewing = renew_loop(network, address, &control, &traffic).fuse();
    let watching = watch_loop(network, address, &control).fuse();
    pin_mut!(renewing, watching);
    let cause = select! {
        cause = renewing => cause,
        cause = watching => cause,
    };
    Err(cause)
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, String> {
    match compio::time::timeout(limit, call).await {
        Ok(result) => result.map_err(|cause| cause.to_string()),
        Err(_elapsed) => Err(format!("no answer within {} ms", limit.as_millis())),
    }
}

/// Sends renewals until a call fails. Returns the cause.
async fn renew_loop<D: Dialect>(
    network: &Rc<Network<D>>,
    address: SocketAddr,
    control: &Control,
    traffic: &Traffic,
) -> String {
    let mut last_applied = None;
    let mut sender = ReportSender::default();
    loop {
        let immediate = network.renew_now.listen();
        let requested = Instant::now();
        let observed = report::collect(network, last_applied, requested);
        let renewal = renew(network, address, control, &observed, &mut sender);
        let result = with_timeout(RENEW_TIMEOUT, renewal).await;
        count_call(network, "renew", result.is_ok());
        count_bytes(network, traffic);
        match result {
            Ok(RenewOutcome::Applied) => last_applied = Some(requested),
            Ok(RenewOutcome::Resync) => {
                sender.reset();
                last_applied = None;
                continue;
            }
            Err(cause) => return cause,
        }
        if !network.is_assignment_known() {
            let _early = compio::time::timeout_at(requested + UNASSIGNED_INTERVAL, immediate).await;
            continue;
        }
        if network.is_draining() {
            let _early = compio::time::timeout_at(requested + DRAINING_INTERVAL, immediate).await;
            continue;
        }
        let early = compio::time::timeout_at(requested + URGENT_INTERVAL, immediate).await;
        if early.is_ok() || is_urgent(network, &sender) {
            continue;
        }
        let immediate = network.renew_now.listen();
        let _early = compio::time::timeout_at(requested + INTERVAL, immediate).await;
    }
}

/// Whether a primary is being changed or the next report to the control hosts is urgent.
fn is_urgent<D: Dialect>(network: &Network<D>, sender: &ReportSender) -> bool {
    let now = Instant::now();
    // Announcements are not urgent; with `now` as the start none are collected.
    network.is_primary_changing() || sender.is_urgent(&report::collect(network, Some(now), now))
}

fn count_call<D: Dialect>(network: &Network<D>, method: &str, done: bool) {
    let result = if done { "ok" } else { "failed" };
    let calls = &network.metrics.control_calls;
    calls.with_label_values(&[method, result]).inc();
}

fn count_bytes<D: Dialect>(network: &Network<D>, traffic: &Traffic) {
    let (sent, received) = traffic.take();
    for (direction, bytes) in [("sent", sent), ("received", received)] {
        let counter = &network.metrics.control_bytes;
        counter.with_label_values(&[direction]).inc_by(bytes);
    }
}

/// Outcome of a renewal.
enum RenewOutcome {
    /// The control host applied the report.
    Applied,
    /// The report did not continue the last one that the control host has.
    Resync,
}

async fn renew<D: Dialect>(
    network: &Rc<Network<D>>,
    address: SocketAddr,
    control: &Control,
    observed: &ClusterView,
    sender: &mut ReportSender,
) -> Result<RenewOutcome, capnp::Error> {
    let (requested, lease_start) = (Instant::now(), base::clock::now());
    let version = network.record_version();
    let changes = sender.next_report(requested, observed);
    let mut call = control.renew_request();
    let mut request = call.get().init_request();
    if changes.sequence == 1 {
        request.set_entry(&network.settings.name);
        request.set_zone(&network.settings.zone);
        request.set_run(network.run);
        request.set_http(network.settings.http.to_string());
        if let Some(forwarding) = network.settings.forwarding {
            request.set_forwarding(forwarding.to_string());
        }
    }
    request.set_near_mark(network.near_mark());
    request.set_record_version(version);
    request.set_config_version(network.config_version());
    request.set_stopping(network.is_stopped());
    request.set_reports_acks(!network.has_unknown_acks());
    report::write(&changes, request);

    let response = call.send().promise.await?;
    let reply = response.get()?.get_reply()?;
    let now = Instant::now();
    if reply.get_resync() {
        return Ok(RenewOutcome::Resync);
    }
    let host = reply.get_host()?.to_str()?;
    update_host(network, address, |known| {
        if !host.is_empty() {
            host.clone_into(&mut known.name);
        }
        known.last_answer = Some(now);
        known.leader = reply.get_leader();
        let took = now.saturating_duration_since(requested);
        known.min_round_trip = Some(known.min_round_trip.map_or(took, |least| least.min(took)));
    });
    network.note_entries(reply.get_entries(), reply.get_zones());
    if reply.get_granted() {
        // Grants are counted by address, so that a host with a wrong name is not counted twice.
        network.record_grant(&address.to_string(), lease_start, version);
    }
    // A leader that has just started sends no list; its mark is 0.
    let mark = reply.get_near_mark();
    if reply.get_leader() && mark != 0 && mark != network.near_mark() {
        let mut near = BTreeMap::new();
        for entry in reply.get_near()? {
            let address = entry.get_address()?.to_str()?;
            let address = address.parse().map_err(|_unparsable| {
                capnp::Error::failed(format!(
                    "renew: address {address} of an entry process is not ip:port"
                ))
            })?;
            near.insert(entry.get_name()?.to_string()?, address);
        }
        network.apply_near_list(mark, &near);
    }
    if reply.get_leader() {
        let mut permits = Map::default();
        for permit in reply.get_permits()? {
            permits.insert(permit.get_member()?.to_string()?, permit.get_lent());
        }
        for lent in reply.get_lent()? {
            if let Some(member) = sender.member(lent.get_number()) {
                permits.insert(member.to_owned(), lent.get_lent());
            }
        }
        let term = Duration::from_millis(reply.get_permit_duration().into());
        network.apply_permits(&permits, requested, term);
    }
    network.check_reachable(now);
    if reply.get_drain() {
        network.request_stop();
    }
    Ok(RenewOutcome::Applied)
}

fn update_host<D: Dialect>(
    network: &Network<D>,
    address: SocketAddr,
    change: impl FnOnce(&mut ControlHost),
) {
    if let Some(known) = network.hosts.borrow_mut().get_mut(&address) {
        change(known);
    }
}

/// Sends watches until a call fails. Returns the cause.
async fn watch_loop<D: Dialect>(
    network: &Rc<Network<D>>,
    address: SocketAddr,
    control: &Control,
) -> String {
    // Version of the configuration that the host reported without its text.
    let mut reported = 0;
    loop {
        let nearest = network.nearest_host() == Some(address);
        let telling = if nearest || reported > network.config_version() {
            schema::Telling::Change
        } else {
            schema::Telling::Version
        };
        let watching = watch(network, address, control, (telling, reported));
        let result = with_timeout(WATCH_TIMEOUT, watching).await;
        count_call(network, "watch", result.is_ok());
        match result {
            Ok(version) => reported = version,
            Err(cause) => return cause,
        }
        if reported > network.config_version() {
            compio::time::sleep(CONFIG_FALLBACK).await;
        }
    }
}

async fn watch<D: Dialect>(
    network: &Rc<Network<D>>,
    address: SocketAddr,
    control: &Control,
    (telling, reported): (schema::Telling, Version),
) -> Result<Version, capnp::Error> {
    // A replaced host is removed from the map shortly before its link ends.
    let known = network.hosts.borrow().get(&address).cloned();
    let (run, directory) = known.map_or((0, 0), |host| host.directory_version);
    let mut call = control.watch_request();
    let mut request = call.get().init_request();
    request.set_record_version(network.record_version());
    let config = network.config_version();
    // A host that is asked for the version only must not answer again because of a version that it
    // has already reported; the nearest host sends the text.
    let known = if telling == schema::Telling::Version {
        config.max(reported)
    } else {
        config
    };
    request.set_config_version(known);
    request.set_telling(telling);
    request.set_directory_version(directory);
    request.set_directory_run(run);
    request.set_seats_known(network.seats_version() + 1);
    let patience = network.settings.keys.max_watch().min(WATCH_WAIT);
    request.set_patience(u32::try_from(patience.as_millis()).unwrap_or(0));

    // The time of the answer would be too late after this process was frozen.
    let asked = base::clock::now();
    let response = call.send().promise.await?;
    let reply = response.get()?.get_reply()?;
    let now = Instant::now();
    if run != reply.get_directory_run() {
        let mut directory = network.directory.borrow_mut();
        directory.record_host_restart(&address.to_string(), now);
    }
    update_host(network, address, |known| {
        known.last_answer = Some(now);
        known.state_age = Duration::from_millis(reply.get_age().into());
        known.directory_version = (reply.get_directory_run(), reply.get_directory_version());
    });
    for announcement in reply.get_announcements()? {
        let age = Duration::from_millis(announcement.get_age().into());
        if let Some(announcement) = read_announcement(announcement)? {
            network.apply_announcement(&address.to_string(), announcement, age, now);
        }
    }
    // The list of control hosts must be applied before the records: a lease for these records
    // counts the grants of the hosts on this list.
    let seats = reply.get_seats()?;
    if !seats.is_empty() {
        let addresses = seats.iter().map(|seat| {
            let address = seat.get_address()?.to_str()?;
            address.parse().map_err(|_unparsable| {
                capnp::Error::failed(format!(
                    "watch: control host address {address} is not ip:port"
                ))
            })
        });
        let addresses = addresses.collect::<Result<Vec<SocketAddr>, capnp::Error>>()?;
        network.apply_seats(reply.get_seats_version(), &addresses);
    }
    let records = reply
        .get_records()?
        .iter()
        .map(read_record)
        .collect::<Result<Vec<_>, _>>()?;
    network.apply_records(reply.get_record_version(), records);
    let config = reply.get_config_version();
    if reply.has_change() {
        network.apply_change(config, reply.get_change_base(), reply.get_change()?);
    } else if reply.has_document() {
        network.apply_config(config, reply.get_document()?.to_str()?);
    }
    if config <= network.config_version() {
        let age = Duration::from_millis(reply.get_age().into());
        network.record_current(asked.checked_sub(age));
    }
    network.check_reachable(now);
    Ok(config)
}

/// Reads an announcement; `None` when its address can't be parsed.
fn read_announcement(
    reader: schema::announcement::Reader<'_>,
) -> Result<Option<Announcement>, capnp::Error> {
    let Ok(address) = reader.get_address()?.to_str()?.parse() else {
        return Ok(None);
    };
    Ok(Some(Announcement {
        member: reader.get_member()?.to_string()?,
        group: reader.get_group()?.to_string()?,
        store: reader.get_store()?.to_string()?,
        address,
        zone: reader.get_zone()?.to_string()?,
        region: reader.get_region()?.to_string()?,
        connections: reader.get_connections(),
        slots: reader.get_slots(),
        leaving: reader.get_leaving(),
        sequence: reader.get_sequence(),
        born: reader.get_born(),
    }))
}

fn read_record(reader: schema::group_record::Reader<'_>) -> Result<Record, capnp::Error> {
    let members = reader
        .get_members()?
        .iter()
        .map(|known| {
            Ok::<_, capnp::Error>(MemberRecord {
                member: known.get_member()?.to_string()?,
                store: known.get_store()?.to_string()?,
                address: known.get_address()?.to_string()?,
                place: Location {
                    zone: known.get_zone()?.to_string()?,
                    region: known.get_region()?.to_string()?,
                },
            })
        })
        .collect::<Result<_, _>>()?;
    Ok(Record {
        group: reader.get_group()?.to_string()?,
        term: reader.get_term(),
        phase: match reader.get_state()? {
            schema::GroupState::Stable if reader.get_next() != 0 => Phase::Draining,
            schema::GroupState::Stable => Phase::Stable,
            schema::GroupState::Fencing => Phase::Fencing,
            schema::GroupState::Promoting => Phase::Promoting,
        },
        primary: reader.get_primary()?.to_string()?,
        members,
        version: reader.get_version(),
    })
}
