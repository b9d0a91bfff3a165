//! Link to one control host: lease renewals, and watching for changes.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{GroupName, Map, MemberName, Position, Term};
use futures_util::{FutureExt as _, pin_mut, select};
use proto::schema;
use rand::RngExt as _;
use route::{Announcement, Health, Place};
use slog::{info, warn};

use crate::{
    group::{MemberRecord, Phase, Record},
    network::{ControlHost, Network},
};

/// Time between renewals.
const INTERVAL: Duration = Duration::from_millis(300);
/// Time between renewals while a planned change of primary waits for the connections in use, which
/// renewals report: writes wait too, for at most 5 s.
const DRAINING: Duration = Duration::from_millis(25);
/// Limit on a connection attempt and on a renewal.
const DEADLINE: Duration = Duration::from_secs(1);
/// Limit on a watch, which the host answers after a second at the latest.
const WATCH_DEADLINE: Duration = Duration::from_millis(2_500);
/// Pause before the next attempt to connect, with jitter from half to one and a half.
const RECONNECT: Duration = Duration::from_millis(300);
/// A group is reported again after this time when nothing about it changed. A control host counts
/// an observer for 1.5 s after its report, so that one report in three renewals is enough.
const REPEAT: Duration = Duration::from_millis(800);

type Control = schema::control::Client;

/// Health, term and role of a member.
type Seen = (MemberName, Health, Term, bool);

/// What was last reported of a group, and when.
type Reported = Map<GroupName, (Vec<Seen>, Instant)>;

/// Keeps a link to the control host at `address` for as long as the process runs.
pub async fn run(network: Rc<Network>, address: SocketAddr) {
    network.hosts.borrow_mut().insert(
        address,
        ControlHost {
            name: String::new(),
            heard: None,
            leader: false,
            age: Duration::ZERO,
            directory: (0, 0),
        },
    );
    let mut was_linked = true;
    loop {
        let cause = match link(&network, address).await {
            Ok(never) => match never {},
            Err(cause) => cause,
        };
        let heard = network.hosts.borrow()[&address].heard;
        let linked = heard.is_some_and(|at| at.elapsed() < WATCH_DEADLINE);
        if was_linked || linked {
            warn!(network.log, "control host can't be reached";
                "address" => %address, "cause" => cause);
        }
        was_linked = linked;
        let jitter = rand::rng().random_range(0.5..1.5);
        compio::time::sleep(RECONNECT.mul_f64(jitter)).await;
    }
}

async fn link(
    network: &Rc<Network>,
    address: SocketAddr,
) -> Result<std::convert::Infallible, String> {
    let stream = base::net::connect(network.settings.host, address, DEADLINE)
        .await
        .map_err(|cause| cause.to_string())?;
    let (gate, driver) = proto::rpc::open::<schema::gate::Client>(stream);
    // Dropping the handle ends the connection with this function.
    let _driver = compio::runtime::spawn(driver);
    let control = limited(DEADLINE, async {
        let reply = gate.control_request().send().promise.await?;
        reply.get()?.get_control()
    })
    .await?;
    info!(network.log, "control host is linked"; "address" => %address);
    let _passing = network.passing.link(network, address, &control).await?;
    let renewing = renew_loop(network, address, &control).fuse();
    let watching = watch_loop(network, address, &control).fuse();
    pin_mut!(renewing, watching);
    let cause = select! {
        cause = renewing => cause,
        cause = watching => cause,
    };
    Err(cause)
}

async fn limited<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, String> {
    match compio::time::timeout(limit, call).await {
        Ok(result) => result.map_err(|cause| cause.to_string()),
        Err(_elapsed) => Err(format!("no answer within {} ms", limit.as_millis())),
    }
}

/// Renews until a call fails.
async fn renew_loop(network: &Rc<Network>, address: SocketAddr, control: &Control) -> String {
    let mut passed = Instant::now().checked_sub(Duration::from_secs(3));
    let mut reported = Reported::default();
    loop {
        let at_once = network.renew.listen();
        let requested = Instant::now();
        let result = limited(
            DEADLINE,
            renew(network, address, control, passed, &mut reported),
        );
        let result = result.await;
        count(network, "renew", result.is_ok());
        if let Err(cause) = result {
            return cause;
        }
        passed = Some(requested);
        let pause = if network.is_draining() {
            DRAINING
        } else {
            INTERVAL
        };
        let next = requested + pause;
        let _early = compio::time::timeout_at(next, at_once).await;
    }
}

fn count(network: &Network, method: &str, done: bool) {
    let result = if done { "ok" } else { "failed" };
    let calls = &network.metrics.control_calls;
    calls.with_label_values(&[method, result]).inc();
}

fn count_bytes(network: &Network, direction: &str, size: &capnp::Result<capnp::MessageSize>) {
    if let Ok(size) = size {
        let bytes = &network.metrics.control_bytes;
        bytes
            .with_label_values(&[direction])
            .inc_by(size.word_count * 8);
    }
}

async fn renew(
    network: &Rc<Network>,
    address: SocketAddr,
    control: &Control,
    passed: Option<Instant>,
    reported: &mut Reported,
) -> Result<(), capnp::Error> {
    let requested = Instant::now();
    let version = network.record_version();
    let mut call = control.renew_request();
    let mut request = call.get().init_request();
    request.set_entry(&network.settings.name);
    request.set_zone(&network.settings.zone);
    request.set_run(network.run);
    request.set_record_version(version);
    request.set_config_version(network.config_version());
    request.set_http(network.settings.http.to_string());
    request.set_stopping(network.is_stopped());
    write_announcements(network, request.reborrow(), passed, requested);
    write_sightings(network, request.reborrow(), reported, requested);
    write_demands(network, request.reborrow());
    count_bytes(network, "sent", &request.into_reader().total_size());

    let response = call.send().promise.await?;
    let reply = response.get()?.get_reply()?;
    count_bytes(network, "received", &reply.total_size());
    let now = Instant::now();
    let host = reply.get_host()?.to_str()?;
    note_host(network, address, |known| {
        host.clone_into(&mut known.name);
        known.heard = Some(now);
        known.leader = reply.get_leader();
    });
    if reply.get_granted() {
        // The lease counts hosts by address, so that a wrong name can't make one host two.
        network.granted(&address.to_string(), requested, version);
    }
    if reply.get_leader() {
        let mut permits = Map::default();
        for permit in reply.get_permits()? {
            permits.insert(permit.get_member()?.to_string()?, permit.get_lent());
        }
        let term = Duration::from_millis(reply.get_permit_duration().into());
        network.permit(&permits, requested, term);
    }
    network.check_reachable(now);
    if reply.get_drain() {
        network.ask_to_stop();
    }
    Ok(())
}

fn note_host(network: &Network, address: SocketAddr, change: impl FnOnce(&mut ControlHost)) {
    if let Some(known) = network.hosts.borrow_mut().get_mut(&address) {
        change(known);
    }
}

fn number(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn write_announcements(
    network: &Network,
    request: schema::renew_request::Builder<'_>,
    passed: Option<Instant>,
    now: Instant,
) {
    let heard = network.heard.borrow();
    let fresh: Vec<_> = heard
        .values()
        .filter(|(_, at)| passed.is_none_or(|passed| *at >= passed))
        .collect();
    let mut list = request.init_announcements(number(fresh.len()));
    for (i, (announcement, at)) in (0..).zip(fresh) {
        let mut one = list.reborrow().get(i);
        one.set_member(&announcement.member);
        one.set_group(&announcement.group);
        one.set_store(&announcement.store);
        one.set_address(announcement.address.to_string());
        one.set_zone(&announcement.zone);
        one.set_region(&announcement.region);
        one.set_connections(announcement.connections);
        one.set_slots(announcement.slots);
        one.set_leaving(announcement.leaving);
        one.set_age(millis(now.saturating_duration_since(*at)));
    }
}

/// Reports the observed groups. A report replaces the one before, so that it names all members of
/// the group. A group in which all members answer and nothing changed is reported less often.
fn write_sightings(
    network: &Network,
    request: schema::renew_request::Builder<'_>,
    reported: &mut Reported,
    now: Instant,
) {
    let mut groups: Map<GroupName, Vec<_>> = Map::default();
    for member in network.observed() {
        let (health, since) = member.health(now);
        let (position, primary) = member.position().unwrap_or_default();
        let of_group = groups.entry(member.group.name.clone()).or_default();
        of_group.push((member, health, since, position, primary));
    }
    let mut seen = Vec::new();
    for (group, mut members) in groups {
        members.sort_by(|a, b| a.0.name.cmp(&b.0.name));
        let state: Vec<Seen> = members
            .iter()
            .map(|(member, health, _, position, primary)| {
                (member.name.clone(), *health, position.term, *primary)
            })
            .collect();
        let healthy = members.iter().all(|(_, health, ..)| *health == Health::Ok);
        let repeated = reported.get(&group).is_some_and(|(old, at)| {
            healthy && *old == state && now.saturating_duration_since(*at) < REPEAT
        });
        if !repeated {
            reported.insert(group, (state, now));
            seen.append(&mut members);
        }
    }
    let mut list = request.init_sightings(number(seen.len()));
    for (i, (member, health, since, position, primary)) in (0..).zip(seen) {
        let mut one = list.reborrow().get(i);
        one.set_group(&member.group.name);
        one.set_member(&member.name);
        one.set_health(match health {
            Health::Ok => schema::Health::Ok,
            Health::Refused => schema::Health::Refused,
            Health::Silent => schema::Health::Silent,
        });
        one.set_since(millis(since));
        one.set_primary(primary);
        write_position(one.init_position(), position);
    }
}

fn write_position(mut builder: schema::position::Builder<'_>, position: Position) {
    builder.set_term(position.term);
    builder.set_offset(position.offset);
}

fn write_demands(network: &Network, request: schema::renew_request::Builder<'_>) {
    let demands: Vec<_> = network
        .all_members()
        .into_iter()
        .map(|member| (member.pool.demand(), member))
        .filter(|((_, _, wanted), _)| *wanted > 0)
        .collect();
    let mut list = request.init_demands(number(demands.len()));
    for (i, ((used, waiting, wanted), member)) in (0..).zip(demands) {
        let mut one = list.reborrow().get(i);
        one.set_member(&member.name);
        one.set_used(used);
        one.set_waiting(waiting);
        one.set_wanted(wanted);
    }
}

/// Watches until a call fails.
async fn watch_loop(network: &Rc<Network>, address: SocketAddr, control: &Control) -> String {
    loop {
        let result = limited(WATCH_DEADLINE, watch(network, address, control)).await;
        count(network, "watch", result.is_ok());
        if let Err(cause) = result {
            return cause;
        }
    }
}

async fn watch(
    network: &Rc<Network>,
    address: SocketAddr,
    control: &Control,
) -> Result<(), capnp::Error> {
    let (run, directory) = network.hosts.borrow()[&address].directory;
    let mut call = control.watch_request();
    let mut request = call.get().init_request();
    request.set_entry(&network.settings.name);
    request.set_record_version(network.record_version());
    request.set_config_version(network.config_version());
    request.set_directory_version(directory);
    request.set_directory_run(run);
    count_bytes(network, "sent", &request.into_reader().total_size());

    let response = call.send().promise.await?;
    let reply = response.get()?.get_reply()?;
    count_bytes(network, "received", &reply.total_size());
    let now = Instant::now();
    if run != reply.get_directory_run() {
        let mut directory = network.directory.borrow_mut();
        directory.restarted(&address.to_string(), now);
    }
    note_host(network, address, |known| {
        known.heard = Some(now);
        known.age = Duration::from_millis(reply.get_age().into());
        known.directory = (reply.get_directory_run(), reply.get_directory_version());
    });
    for announcement in reply.get_announcements()? {
        let age = Duration::from_millis(announcement.get_age().into());
        if let Some(heard) = read_announcement(announcement)? {
            network.told(&address.to_string(), heard, age, now);
        }
    }
    let records = reply
        .get_records()?
        .iter()
        .map(read_record)
        .collect::<Result<Vec<_>, _>>()?;
    network.apply_records(reply.get_record_version(), records);
    network.apply_config(reply.get_config_version(), reply.get_document()?.to_str()?);
    network.check_reachable(now);
    Ok(())
}

/// Reads an announcement; `None` when its address is not one.
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
                place: Place {
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
