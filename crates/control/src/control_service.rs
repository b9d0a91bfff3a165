//! Control interface: the calls of entry processes.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{EntryName, Position, Version, map};
use capnp::Error;
use compio::time::timeout;
use proto::{
    schema::{self, control},
    traffic::Traffic,
};

use crate::{
    cancel::Registration,
    gate::{
        duration, fill_announcement, fill_seats, list_len, read_announcement, read_text,
        wire_millis,
    },
    host::{Demand, Host, Renewal},
    leases::LEASE_DURATION,
    log::Log,
    machine::{GroupState, Record},
    permits, rates,
    session::RenewalSession,
    sighting::{Health, Sighting},
};

/// A watch without changes is answered after this time, unless the caller asks for another one.
const DEFAULT_POLL: Duration = Duration::from_secs(1);
/// Longest poll that an entry process may request.
const MAX_POLL: Duration = Duration::from_secs(10);
/// Most records and most announcements in one answer to a watch. Without a limit, hundreds of entry
/// processes on slow links that start together would make this host hold the whole directory once
/// for each of them.
const MAX_CHANGES: usize = 100;

/// Control interface of one connection.
pub(crate) struct ControlService<L> {
    host: Rc<Host<L>>,
    /// Registration for cancel requests. It ends with the connection.
    registration: RefCell<Option<Registration>>,
    traffic: Rc<Traffic>,
    session: RefCell<RenewalSession>,
}

impl<L: Log> ControlService<L> {
    pub(crate) fn new(host: Rc<Host<L>>, traffic: Rc<Traffic>) -> Self {
        Self {
            host,
            registration: RefCell::default(),
            traffic,
            session: RefCell::default(),
        }
    }

    /// Counts the bytes sent since the last call if the entry process is in another region.
    fn count_bytes(&self, entry: &str) {
        let (sent, _received) = self.traffic.take();
        self.host.count_bytes(entry, sent);
    }
}

fn read_renewal(request: schema::renew_request::Reader<'_>) -> Result<Renewal, Error> {
    let announcements = request
        .get_announcements()?
        .iter()
        .map(|a| Ok((read_announcement(a)?, duration(a.get_age()))));
    let sightings = request.get_sightings()?.iter().map(|s| {
        let position = s.get_position()?;
        let sighting = Sighting {
            health: match s.get_health()? {
                schema::Health::Ok => Health::Ok,
                schema::Health::Refused => Health::Refused,
                schema::Health::Silent => Health::Silent,
            },
            since: duration(s.get_since()),
            position: Position::new(position.get_term(), position.get_offset()),
            primary: s.get_primary(),
        };
        Ok((
            read_text(s.get_group())?,
            read_text(s.get_member())?,
            sighting,
        ))
    });
    let demands = request.get_demands()?.iter().map(|d| {
        Ok(Demand {
            member: read_text(d.get_member())?,
            used: d.get_used(),
            wanted: d.get_wanted(),
        })
    });
    Ok(Renewal {
        entry: read_text(request.get_entry())?,
        zone: read_text(request.get_zone())?,
        run: request.get_run(),
        record_version: request.get_record_version(),
        config_version: request.get_config_version(),
        announcements: announcements.collect::<Result<_, Error>>()?,
        sightings: sightings.collect::<Result<_, Error>>()?,
        demands: demands.collect::<Result<_, Error>>()?,
        http: read_text(request.get_http())?,
        forwarding: read_text(request.get_forwarding())?,
        stopping: request.get_stopping(),
        acks: Vec::new(),
        reports_acks: request.get_reports_acks(),
    })
}

/// Hash that identifies a list of near entry processes; 0 for an empty list.
fn near_mark(near: &BTreeMap<EntryName, String>) -> u64 {
    if near.is_empty() {
        return 0;
    }
    map::hash(near).max(1)
}

impl<L: Log> control::Server for ControlService<L> {
    async fn renew(
        self: Rc<Self>,
        params: control::RenewParams,
        mut results: control::RenewResults,
    ) -> Result<(), Error> {
        let request = params.get()?.get_request()?;
        let is_numbered = request.get_sequence() > 0;
        let renewal = if is_numbered {
            self.session.borrow_mut().read_renewal(request)?
        } else {
            Some(read_renewal(request)?)
        };
        let Some(renewal) = renewal else {
            results.get().init_reply().set_resync(true);
            return Ok(());
        };
        if renewal.entry.is_empty() {
            return Err(Error::failed(
                "renew: entry is empty; send the name of the entry".into(),
            ));
        }
        let entry = renewal.entry.clone();
        let renewed = self.host.renew(Instant::now(), renewal);
        let mut reply = results.get().init_reply();
        reply.set_granted(renewed.granted);
        if !is_numbered {
            reply.set_duration(wire_millis(LEASE_DURATION));
        }
        if !is_numbered {
            let state = self.host.state.borrow();
            reply.set_record_version(state.version);
            reply.set_config_version(state.config.version);
            reply.set_directory_version(self.host.directory.borrow().version());
        }
        if request.get_sequence() <= 1 {
            reply.set_host(&self.host.identity.name);
        }
        reply.set_leader(renewed.leader);
        reply.set_drain(renewed.drain);
        reply.set_entries(renewed.entry_count);
        reply.set_zones(renewed.zone_count);
        let mark = near_mark(&renewed.near_entries);
        reply.set_near_mark(mark);
        if mark != request.get_near_mark() {
            let count = u32::try_from(renewed.near_entries.len()).unwrap_or(u32::MAX);
            let mut list = reply.reborrow().init_near(count);
            for (i, (name, address)) in (0..).zip(&renewed.near_entries) {
                let mut near = list.reborrow().get(i);
                near.set_name(name);
                near.set_address(address);
            }
        }
        reply.set_permit_duration(wire_millis(permits::PERMIT_DURATION));
        if is_numbered {
            let session = self.session.borrow();
            let lent = renewed.permits.iter();
            let lent: Vec<_> = lent
                .filter_map(|(member, lent)| Some((session.member_number(member)?, *lent)))
                .collect();
            if !lent.is_empty() {
                let mut list = reply.init_lent(list_len(&lent));
                for (i, (number, count)) in (0..).zip(lent) {
                    let mut permit = list.reborrow().get(i);
                    permit.set_number(number);
                    permit.set_lent(count);
                }
            }
        } else {
            let mut list = reply.init_permits(list_len(&renewed.permits));
            for (i, (member, lent)) in (0..).zip(&renewed.permits) {
                let mut permit = list.reborrow().get(i);
                permit.set_member(member);
                permit.set_lent(*lent);
            }
        }
        self.count_bytes(&entry);
        Ok(())
    }

    async fn watch(
        self: Rc<Self>,
        params: control::WatchParams,
        mut results: control::WatchResults,
    ) -> Result<(), Error> {
        let request = params.get()?.get_request()?;
        let records = request.get_record_version();
        let config = request.get_config_version();
        let directory = if request.get_directory_run() == self.host.run {
            request.get_directory_version()
        } else {
            0
        };
        let seats = request.get_seats_known();
        let has_changes = |host: &Host<L>| {
            let state = host.state.borrow();
            let current = host.directory.borrow().version();
            state.version > records
                || state.config.version > config
                || current > directory
                || (seats > 0 && tells_seats(host, records, seats))
        };
        let poll = match duration(request.get_patience()) {
            Duration::ZERO => DEFAULT_POLL,
            patience => patience.min(MAX_POLL),
        };
        let wait = async {
            loop {
                let count = self.host.changes.count();
                if has_changes(&self.host) {
                    return;
                }
                self.host.changes.changed_after(count).await;
            }
        };
        // On a timeout, the reply has no changes.
        let _elapsed = timeout(poll, wait).await;
        fill_watch_reply(
            &self.host,
            results.get().init_reply(),
            (records, seats),
            (config, request.get_telling()?),
            directory,
        )?;
        let entry = self.session.borrow().entry_name().to_owned();
        let entry_in_request = request.get_entry()?.to_str()?;
        self.count_bytes(if entry_in_request.is_empty() {
            &entry
        } else {
            entry_in_request
        });
        Ok(())
    }

    async fn listen(
        self: Rc<Self>,
        params: control::ListenParams,
        _results: control::ListenResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let cancellers = &self.host.cancellers;
        let registration = cancellers.register(params.get_run(), params.get_canceller()?);
        self.registration.replace(Some(registration));
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: control::CancelParams,
        mut results: control::CancelResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let cancellers = Rc::clone(&self.host.cancellers);
        let reached = cancellers
            .cancel(params.get_pid(), params.get_secret())
            .await;
        results.get().set_reached(reached);
        Ok(())
    }

    async fn lend_rates(
        self: Rc<Self>,
        params: control::LendRatesParams,
        mut results: control::LendRatesResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let holder = (read_text(params.get_entry())?, params.get_run());
        let call = rates::read_call(params)?;
        if let Some(answer) = self.host.lend_rates(&holder, &call, base::clock::now()) {
            rates::fill_answer(&answer, results.get());
        }
        self.count_bytes(&holder.0);
        Ok(())
    }
}

/// Whether a caller that has records up to `records` and the list of seats `seats`, as in its request,
/// is told the seats. A host that still applies what was committed before its start may know former
/// seats only, and a caller would turn to hosts that are gone.
fn tells_seats<L: Log>(host: &Host<L>, records: Version, seats: u64) -> bool {
    let seated = host.state.borrow().seated;
    match seats.checked_sub(1) {
        Some(known) => seated > known && host.log.has_caught_up(),
        None => seated > records,
    }
}

fn fill_watch_reply<L: Log>(
    host: &Host<L>,
    mut reply: schema::watch_reply::Builder<'_>,
    (records, seats): (Version, u64),
    (config, telling): (Version, schema::Telling),
    directory: Version,
) -> Result<(), Error> {
    let now = Instant::now();
    let state = host.state.borrow();
    reply.set_record_version(state.version);
    reply.set_config_version(state.config.version);
    if state.config.version > config {
        match telling {
            schema::Telling::Text => reply.set_document(&state.config.document),
            schema::Telling::Change => {
                let mut documents = host.documents.borrow_mut();
                documents.add(state.config.version, &state.config.document);
                let (base, change) = documents.patch_from(config)?;
                reply.set_change_base(base);
                reply.set_change(&change);
            }
            schema::Telling::Version => {}
        }
    }
    reply.set_directory_run(host.run);
    reply.set_age(wire_millis(host.log.time_since_leader(base::clock::now())));
    let mut changed: Vec<_> = state.records_since(records).collect();
    if changed.len() > MAX_CHANGES {
        changed.sort_unstable_by_key(|record| record.version);
        changed.truncate(MAX_CHANGES);
        // The next watch asks for the records after this version.
        reply.set_record_version(changed.last().map_or(records, |record| record.version));
    }
    let mut list = reply.reborrow().init_records(list_len(&changed));
    for (i, record) in (0..).zip(changed) {
        fill_record(record, list.reborrow().get(i));
    }
    if tells_seats(host, records, seats) {
        reply.set_seats_version(state.seated);
        fill_seats(&state.seats, |count| reply.reborrow().init_seats(count));
    }
    let current = host.directory.borrow();
    reply.set_directory_version(current.version());
    let mut changed = current.changed_since(directory);
    if changed.len() > MAX_CHANGES {
        changed.truncate(MAX_CHANGES);
        reply.set_directory_version(changed.last().map_or(directory, |last| last.version));
    }
    let mut list = reply.init_announcements(list_len(&changed));
    for (i, received) in (0..).zip(changed) {
        fill_announcement(now, received, list.reborrow().get(i));
    }
    Ok(())
}

fn fill_record(record: &Record, mut builder: schema::group_record::Builder<'_>) {
    builder.set_group(&record.group);
    builder.set_term(record.term);
    builder.set_state(match record.state {
        GroupState::Stable => schema::GroupState::Stable,
        GroupState::Fencing => schema::GroupState::Fencing,
        GroupState::Promoting => schema::GroupState::Promoting,
    });
    builder.set_next(record.next);
    builder.set_primary(&record.primary);
    builder.set_version(record.version);
    let mut list = builder.init_members(list_len(&record.members));
    for (i, member) in (0..).zip(&record.members) {
        let mut builder = list.reborrow().get(i);
        builder.set_member(&member.member);
        builder.set_store(&member.store);
        builder.set_address(&member.address);
        builder.set_zone(&member.zone);
        builder.set_region(&member.region);
    }
}
