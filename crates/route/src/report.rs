//! Incremental reports of an entry process to one control host over one connection.
//!
//! Members have numbers that are valid for one connection. A report carries the changes since the
//! previous one; whatever it omits is unchanged. The first report of a connection is complete.
//! Reports have sequence numbers, and after a gap the receiver requests a complete report.

use std::time::{Duration, Instant};

use base::{GroupName, Map, MemberName, Position, Set};

use crate::{AckBounds, Announcement, Health};

/// Identifies a member on one connection.
pub type MemberNumber = u16;

/// Time after which a group is reported again if nothing but its positions changed. Operators see
/// the lag of replicas from these positions. A promotion does not depend on them, because it reads
/// the members itself.
const POSITION_INTERVAL: Duration = Duration::from_secs(2);

/// State of a member as observed by an entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Health according to the probes.
    pub health: Health,
    /// Time since the last successful answer.
    pub since_last_answer: Duration,
    /// Position at the last successful answer.
    pub position: Position,
    /// Whether the member was primary at the last successful answer.
    pub primary: bool,
}

impl Observation {
    /// Whether `other` is equal in all that a promotion depends on; offsets and times may differ.
    fn same_state(&self, other: &Self) -> bool {
        let state = |o: &Self| (o.health, o.position.term, o.primary);
        state(self) == state(other)
    }
}

/// Use of and demand for connections to one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConnectionDemand {
    /// Connections in use.
    pub used: u32,
    /// Requests that wait for a connection.
    pub waiting: u32,
    /// Connections wanted, including the base share; 0 when the member is not in use.
    pub wanted: u32,
}

/// Observations of the members of one group, ordered by name.
pub type GroupObservations = Vec<(MemberName, Observation)>;

/// How far the writes of one group were acknowledged by an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GroupAcks {
    /// Any member, which stands for the group.
    pub member: MemberName,
    /// Bounds on the highest acknowledged position.
    pub bounds: AckBounds,
    /// Time since the lower bound last grew.
    pub age: Duration,
    /// Whether the primary is being changed, so that the choice of the next one needs the bounds.
    pub urgent: bool,
}

/// Everything that an entry process reports with one renewal.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClusterView {
    /// Announcements received since the previous renewal, with their ages.
    pub announcements: Vec<(Announcement, Duration)>,
    /// Observations of all observed groups.
    pub groups: Map<GroupName, GroupObservations>,
    /// Demand for the members in use, with their groups.
    pub demands: Map<MemberName, (GroupName, ConnectionDemand)>,
    /// How far writes were acknowledged, by group.
    pub acks: Map<GroupName, GroupAcks>,
}

/// Changes since the previous report.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// Sequence number: 1 for a complete report, then incremented by one.
    pub sequence: u32,
    /// Newly assigned numbers, and numbers whose group changed.
    pub names: Vec<(MemberNumber, GroupName, MemberName)>,
    /// New or changed announcements, with their ages.
    pub announcements: Vec<(MemberNumber, Announcement, Duration)>,
    /// Ages of announcements that were received again unchanged.
    pub repeats: Vec<(MemberNumber, Duration)>,
    /// Observations of all members of the groups that changed.
    pub observations: Vec<(MemberNumber, Observation)>,
    /// Changed demands.
    pub demands: Vec<(MemberNumber, ConnectionDemand)>,
    /// Changed bounds of groups, each with the number of any member.
    pub acks: Vec<(MemberNumber, AckBounds, Duration)>,
}

/// Sending side: remembers what was reported to a control host on the current connection.
#[derive(Debug, Default)]
pub struct ReportSender {
    sequence: u32,
    numbers: Map<MemberName, (MemberNumber, GroupName)>,
    members: Vec<MemberName>,
    announced: Map<MemberName, Announcement>,
    groups: Map<GroupName, (GroupObservations, Instant)>,
    demands: Map<MemberName, ConnectionDemand>,
    acks: Map<GroupName, (AckBounds, Instant)>,
}

impl ReportSender {
    /// Forgets what was reported, so that the next report is complete.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Whether the view contains something that must be reported at once: a member that does not
    /// answer, a changed role, or requests that wait for connections not requested yet.
    #[must_use]
    pub fn is_urgent(&self, view: &ClusterView) -> bool {
        let changed = |(group, current): (&GroupName, &GroupObservations)| {
            current
                .iter()
                .any(|(_, observation)| observation.health != Health::Ok)
                || self
                    .groups
                    .get(group)
                    .is_none_or(|(reported, _)| !same_states(reported, current))
        };
        let unmet = |(name, (_, demand)): (&MemberName, &(GroupName, ConnectionDemand))| {
            let reported = self.demands.get(name).map_or(0, |reported| reported.wanted);
            demand.waiting > 0 && demand.wanted > reported
        };
        view.groups.iter().any(changed) || view.demands.iter().any(unmet)
    }

    /// Returns the next report. If it is not delivered, the connection is lost or the receiver
    /// detects a gap; in both cases [`ReportSender::reset`] must be called.
    pub fn next_report(&mut self, now: Instant, view: &ClusterView) -> Report {
        let removed = self.groups.keys().any(|g| !view.groups.contains_key(g));
        // Starts over before the 16-bit numbers run out, which only replaced members use up.
        if removed || self.numbers.len() + 1_000 > usize::from(MemberNumber::MAX) {
            self.reset();
        }
        self.sequence += 1;
        let mut report = Report {
            sequence: self.sequence,
            ..Report::default()
        };
        for (announcement, age) in &view.announcements {
            let member = &announcement.member;
            let number = self.number(&mut report, &announcement.group, member);
            if self.announced.get(member) == Some(announcement) {
                report.repeats.push((number, *age));
            } else {
                self.announced.insert(member.clone(), announcement.clone());
                report
                    .announcements
                    .push((number, announcement.clone(), *age));
            }
        }
        for (group, current) in &view.groups {
            let known = self.groups.get(group).is_some_and(|(reported, at)| {
                let healthy = current
                    .iter()
                    .all(|(_, observation)| observation.health == Health::Ok);
                let positions = reported.iter().map(|(_, observation)| observation.position);
                let unmoved =
                    positions.eq(current.iter().map(|(_, observation)| observation.position));
                let recent = now.saturating_duration_since(*at) < POSITION_INTERVAL;
                healthy && same_states(reported, current) && (unmoved || recent)
            });
            if !known {
                for (member, observation) in current {
                    let number = self.number(&mut report, group, member);
                    report.observations.push((number, *observation));
                }
                self.groups.insert(group.clone(), (current.clone(), now));
            }
        }
        let ended: Vec<_> = self
            .demands
            .keys()
            .filter(|name| !view.demands.contains_key(*name))
            .cloned()
            .collect();
        for member in ended {
            self.demands.remove(&member);
            if let Some((number, _)) = self.numbers.get(&member) {
                report.demands.push((*number, ConnectionDemand::default()));
            }
        }
        for (member, (group, demand)) in &view.demands {
            if self.demands.get(member) != Some(demand) {
                let number = self.number(&mut report, group, member);
                report.demands.push((number, *demand));
                self.demands.insert(member.clone(), *demand);
            }
        }
        for (group, acks) in &view.acks {
            let known = self.acks.get(group).is_some_and(|(reported, at)| {
                let recent = now.saturating_duration_since(*at) < POSITION_INTERVAL;
                *reported == acks.bounds || (recent && !acks.urgent)
            });
            if !known {
                let number = self.number(&mut report, group, &acks.member);
                report.acks.push((number, acks.bounds, acks.age));
                self.acks.insert(group.clone(), (acks.bounds, now));
            }
        }
        report
    }

    fn number(&mut self, report: &mut Report, group: &str, member: &str) -> MemberNumber {
        let next = MemberNumber::try_from(self.numbers.len()).unwrap_or(MemberNumber::MAX);
        let number = match self.numbers.get(member) {
            Some((number, known)) if known == group => return *number,
            Some((number, _)) => *number,
            None => {
                self.members.push(member.to_owned());
                next
            }
        };
        self.numbers
            .insert(member.to_owned(), (number, group.to_owned()));
        report
            .names
            .push((number, group.to_owned(), member.to_owned()));
        number
    }

    /// Returns the member with this number.
    #[must_use]
    pub fn member(&self, number: MemberNumber) -> Option<&str> {
        self.members.get(usize::from(number)).map(String::as_str)
    }
}

fn same_states(reported: &GroupObservations, current: &GroupObservations) -> bool {
    reported.len() == current.len()
        && reported
            .iter()
            .zip(current)
            .all(|(a, b)| a.0 == b.0 && a.1.same_state(&b.1))
}

/// Receiving side: rebuilds the view of the entry process at the other end of a connection.
#[derive(Debug, Default)]
pub struct ReportReceiver {
    sequence: u32,
    names: Map<MemberNumber, (GroupName, MemberName)>,
    numbers: Map<MemberName, MemberNumber>,
    announced: Map<MemberNumber, Announcement>,
    groups: Map<GroupName, GroupObservations>,
    demands: Map<MemberNumber, ConnectionDemand>,
    acks: Map<GroupName, GroupAcks>,
}

impl ReportReceiver {
    /// Applies a report and returns the complete view; `None` if the report does not follow the
    /// previous one or can't be applied. After that, only a complete report is accepted.
    pub fn receive(&mut self, report: Report) -> Option<ClusterView> {
        if report.sequence == 1 {
            *self = Self::default();
        } else if self.sequence == 0 || report.sequence != self.sequence + 1 {
            self.sequence = 0;
            return None;
        }
        self.sequence = report.sequence;
        let view = self.apply(report);
        if view.is_none() {
            self.sequence = 0;
        }
        view
    }

    fn apply(&mut self, report: Report) -> Option<ClusterView> {
        for (number, group, member) in report.names {
            self.numbers.insert(member.clone(), number);
            self.names.insert(number, (group, member));
        }
        let mut view = ClusterView::default();
        for (number, announcement, age) in report.announcements {
            self.announced.insert(number, announcement.clone());
            view.announcements.push((announcement, age));
        }
        for (number, age) in report.repeats {
            let announcement = self.announced.get(&number)?.clone();
            view.announcements.push((announcement, age));
        }
        let mut changed: Set<GroupName> = Set::default();
        for (number, observation) in report.observations {
            let (group, member) = self.names.get(&number)?;
            let members = self.groups.entry(group.clone()).or_default();
            if changed.insert(group.clone()) {
                members.clear();
            }
            members.push((member.clone(), observation));
        }
        for (number, demand) in report.demands {
            self.names.get(&number)?;
            if demand.wanted == 0 && demand.used == 0 {
                self.demands.remove(&number);
            } else {
                self.demands.insert(number, demand);
            }
        }
        for (number, bounds, age) in report.acks {
            let (group, member) = self.names.get(&number)?;
            let acks = GroupAcks {
                member: member.clone(),
                bounds,
                age,
                urgent: false,
            };
            self.acks.insert(group.clone(), acks);
        }
        view.acks.clone_from(&self.acks);
        view.groups.clone_from(&self.groups);
        view.demands = self
            .demands
            .iter()
            .filter_map(|(number, demand)| {
                let (group, member) = self.names.get(number)?;
                Some((member.clone(), (group.clone(), *demand)))
            })
            .collect();
        Some(view)
    }

    /// Returns the number of a member.
    #[must_use]
    pub fn number(&self, member: &str) -> Option<MemberNumber> {
        self.numbers.get(member).copied()
    }
}
