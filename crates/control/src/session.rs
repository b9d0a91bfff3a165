//! Decodes the renewals of one entry process connection, which report only changes.

use std::time::Duration;

use base::Position;
use capnp::Error;
use proto::schema;
use route::{
    AckBounds,
    report::{ClusterView, MemberNumber, Observation, Report, ReportReceiver},
};

use crate::{
    directory::Announcement,
    host::{Demand, Renewal},
    sighting::{Health, Sighting},
};

/// State accumulated from the reports of one connection.
#[derive(Debug, Default)]
pub(crate) struct RenewalSession {
    /// Fields that only the first report carries.
    identity: Renewal,
    receiver: ReportReceiver,
}

impl RenewalSession {
    /// Decodes a renewal and completes it from the earlier reports; `None` when one of those is
    /// missing.
    pub(crate) fn read_renewal(
        &mut self,
        request: schema::renew_request::Reader<'_>,
    ) -> Result<Option<Renewal>, Error> {
        let report = report(request)?;
        if report.sequence == 1 {
            self.identity = Renewal {
                entry: request.get_entry()?.to_string()?,
                zone: request.get_zone()?.to_string()?,
                http: request.get_http()?.to_string()?,
                forwarding: request.get_forwarding()?.to_string()?,
                run: request.get_run(),
                ..Renewal::default()
            };
        }
        let Some(view) = self.receiver.receive(report) else {
            return Ok(None);
        };
        let mut renewal = self.identity.clone();
        renewal.record_version = request.get_record_version();
        renewal.config_version = request.get_config_version();
        renewal.stopping = request.get_stopping();
        renewal.reports_acks = request.get_reports_acks();
        fill(&mut renewal, view);
        Ok(Some(renewal))
    }

    /// Returns the name of the entry process; empty before its first report.
    pub(crate) fn entry_name(&self) -> &str {
        &self.identity.entry
    }

    /// Returns the number that the entry process assigned to a member.
    pub(crate) fn member_number(&self, member: &str) -> Option<MemberNumber> {
        self.receiver.number(member)
    }
}

/// Copies the merged reports into a renewal.
fn fill(renewal: &mut Renewal, view: ClusterView) {
    let announcements = view.announcements.into_iter().map(|(announcement, age)| {
        let announcement = Announcement {
            member: announcement.member,
            group: announcement.group,
            store: announcement.store,
            address: announcement.address.to_string(),
            zone: announcement.zone,
            region: announcement.region,
            connections: announcement.connections,
            slots: announcement.slots,
            leaving: announcement.leaving,
            sequence: announcement.sequence,
            born: announcement.born,
            ..Announcement::default()
        };
        (announcement, age)
    });
    renewal.announcements = announcements.collect();
    for (group, members) in view.groups {
        for (member, observation) in members {
            let sighting = Sighting {
                health: match observation.health {
                    route::Health::Ok => Health::Ok,
                    route::Health::Refused => Health::Refused,
                    route::Health::Silent => Health::Silent,
                },
                since: observation.since_last_answer,
                position: observation.position,
                primary: observation.primary,
            };
            renewal.sightings.push((group.clone(), member, sighting));
        }
    }
    let demands = view.demands.into_iter();
    renewal.demands = demands
        .map(|(member, (_, demand))| Demand {
            member,
            used: demand.used,
            wanted: demand.wanted,
        })
        .collect();
    let acks = view.acks.into_iter();
    renewal.acks = acks
        .map(|(group, acks)| (group, acks.bounds, acks.age))
        .collect();
}

fn millis(milliseconds: u32) -> Duration {
    Duration::from_millis(milliseconds.into())
}

/// Converts the message of a renewal to a report.
fn report(request: schema::renew_request::Reader<'_>) -> Result<Report, Error> {
    let names = request.get_names()?.iter().map(|name| {
        let (group, member) = (name.get_group()?, name.get_member()?);
        Ok((name.get_number(), group.to_string()?, member.to_string()?))
    });
    let announcements = request.get_announcements()?.iter().map(|a| {
        let address = a.get_address()?.to_str()?;
        let announcement = route::Announcement {
            member: a.get_member()?.to_string()?,
            group: a.get_group()?.to_string()?,
            store: a.get_store()?.to_string()?,
            address: address.parse().map_err(|_unparsable| {
                Error::failed(format!("renew: {address} is no address; send ip:port"))
            })?,
            zone: a.get_zone()?.to_string()?,
            region: a.get_region()?.to_string()?,
            connections: a.get_connections(),
            slots: a.get_slots(),
            leaving: a.get_leaving(),
            sequence: a.get_sequence(),
            born: a.get_born(),
        };
        Ok((a.get_number(), announcement, millis(a.get_age())))
    });
    let repeats = request.get_repeats()?.iter();
    let sightings = request.get_seen()?.iter().map(|s| {
        let observation = Observation {
            health: match s.get_health()? {
                schema::Health::Ok => route::Health::Ok,
                schema::Health::Refused => route::Health::Refused,
                schema::Health::Silent => route::Health::Silent,
            },
            since_last_answer: millis(s.get_since()),
            position: Position::new(s.get_term(), s.get_offset()),
            primary: s.get_primary(),
        };
        Ok((s.get_number(), observation))
    });
    let demands = request.get_wanted()?.iter().map(|d| {
        let demand = route::report::ConnectionDemand {
            used: d.get_used(),
            waiting: d.get_waiting(),
            wanted: d.get_wanted(),
        };
        (d.get_number(), demand)
    });
    let acks = request.get_acks()?.iter().map(|a| {
        let bounds = AckBounds {
            term: a.get_term(),
            least: a.get_least(),
            most: a.get_most(),
        };
        (a.get_number(), bounds, millis(a.get_age()))
    });
    Ok(Report {
        sequence: request.get_sequence(),
        names: names.collect::<Result<_, Error>>()?,
        announcements: announcements.collect::<Result<_, Error>>()?,
        repeats: repeats
            .map(|r| (r.get_number(), millis(r.get_age())))
            .collect(),
        observations: sightings.collect::<Result<_, Error>>()?,
        demands: demands.collect(),
        acks: acks.collect(),
    })
}
