//! Reports that renewals carry to a control host.

use std::time::{Duration, Instant};

use base::Map;
use proto::schema;
use route::{
    Health,
    report::{ClusterView, ConnectionDemand, GroupAcks, Observation, Report},
};

use crate::{dialect::Dialect, group::Phase, network::Network};

/// Collects the state to report at `now`, with the announcements received since `since`, or all of
/// them.
pub(crate) fn collect<D: Dialect>(
    network: &Network<D>,
    since: Option<Instant>,
    now: Instant,
) -> ClusterView {
    let received = network.announcements.borrow();
    let announcements = received
        .values()
        .filter(|(_, at)| since.is_none_or(|since| *at >= since))
        .map(|(announcement, at)| (announcement.clone(), now.saturating_duration_since(*at)))
        .collect();
    let mut groups: Map<_, Vec<_>> = Map::default();
    for member in network.observed_members() {
        let (health, since) = member.health(now);
        if D::REPORTS_OVERLOAD && health == Health::Ok && member.position().is_none() {
            // Nothing is known about the member yet, which must not count as an observation.
            continue;
        }
        let (position, primary) = member.position().unwrap_or_default();
        let observation = Observation {
            health,
            // The control hosts evaluate the time only for members that don't answer.
            since_last_answer: if health == Health::Ok {
                Duration::ZERO
            } else {
                since
            },
            position,
            primary,
        };
        let of_group = groups.entry(member.group.name.clone()).or_default();
        of_group.push((member.name.clone(), observation));
    }
    for members in groups.values_mut() {
        members.sort_by(|a, b| a.0.cmp(&b.0));
    }
    let demands = network.all_members().into_iter().filter_map(|member| {
        let (used, waiting, wanted) = member.pool.demand();
        let demand = ConnectionDemand {
            used,
            waiting,
            wanted,
        };
        let group = member.group.name.clone();
        (wanted > 0).then(|| (member.name.clone(), (group, demand)))
    });
    let known_groups = network.groups.borrow();
    let acks = known_groups.values().filter_map(|group| {
        let (record, (bounds, grown_at)) = (group.current()?, group.acks()?);
        let acks = GroupAcks {
            member: record.primary.clone(),
            bounds,
            age: now.saturating_duration_since(grown_at),
            urgent: record.phase != Phase::Stable,
        };
        Some((group.name.clone(), acks))
    });
    ClusterView {
        announcements,
        groups,
        demands: demands.collect(),
        acks: acks.collect(),
    }
}

fn len_u32(list: &[impl Sized]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

fn as_millis_u32(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Writes a report into a request.
pub(crate) fn write(report: &Report, mut request: schema::renew_request::Builder<'_>) {
    request.set_sequence(report.sequence);
    if !report.names.is_empty() {
        let mut list = request.reborrow().init_names(len_u32(&report.names));
        for (i, (number, group, member)) in (0..).zip(&report.names) {
            let mut item = list.reborrow().get(i);
            item.set_number(*number);
            item.set_group(group);
            item.set_member(member);
        }
    }
    if !report.announcements.is_empty() {
        let count = len_u32(&report.announcements);
        let mut list = request.reborrow().init_announcements(count);
        for (i, (number, announcement, age)) in (0..).zip(&report.announcements) {
            let mut item = list.reborrow().get(i);
            item.set_number(*number);
            item.set_member(&announcement.member);
            item.set_group(&announcement.group);
            item.set_store(&announcement.store);
            item.set_address(announcement.address.to_string());
            item.set_zone(&announcement.zone);
            item.set_region(&announcement.region);
            item.set_connections(announcement.connections);
            item.set_slots(announcement.slots);
            item.set_leaving(announcement.leaving);
            item.set_sequence(announcement.sequence);
            item.set_born(announcement.born);
            item.set_age(as_millis_u32(*age));
        }
    }
    if !report.repeats.is_empty() {
        let mut list = request.reborrow().init_repeats(len_u32(&report.repeats));
        for (i, (number, age)) in (0..).zip(&report.repeats) {
            let mut item = list.reborrow().get(i);
            item.set_number(*number);
            item.set_age(as_millis_u32(*age));
        }
    }
    if !report.observations.is_empty() {
        let mut list = request.reborrow().init_seen(len_u32(&report.observations));
        for (i, (number, observation)) in (0..).zip(&report.observations) {
            let mut item = list.reborrow().get(i);
            item.set_number(*number);
            item.set_health(match observation.health {
                Health::Ok => schema::Health::Ok,
                Health::Refused => schema::Health::Refused,
                Health::Silent => schema::Health::Silent,
            });
            item.set_since(as_millis_u32(observation.since_last_answer));
            item.set_primary(observation.primary);
            item.set_term(observation.position.term);
            item.set_offset(observation.position.offset);
        }
    }
    if !report.demands.is_empty() {
        let mut list = request.reborrow().init_wanted(len_u32(&report.demands));
        for (i, (number, demand)) in (0..).zip(&report.demands) {
            let mut item = list.reborrow().get(i);
            item.set_number(*number);
            item.set_used(demand.used);
            item.set_waiting(demand.waiting);
            item.set_wanted(demand.wanted);
        }
    }
    if !report.acks.is_empty() {
        let mut list = request.init_acks(len_u32(&report.acks));
        for (i, (number, bounds, age)) in (0..).zip(&report.acks) {
            let mut item = list.reborrow().get(i);
            item.set_number(*number);
            item.set_term(bounds.term);
            item.set_least(bounds.least);
            item.set_most(bounds.most);
            item.set_age(as_millis_u32(*age));
        }
    }
}
