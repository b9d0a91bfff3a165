//! Reports of an entry process to one control host as changes on one connection.
//!
//! Members have numbers that hold for one connection. A report carries what changed since the one
//! before; what it leaves out is unchanged. The first report of a connection is complete. Reports
//! are numbered, and after a gap the receiver asks for a complete one.

use std::time::{Duration, Instant};

use base::{GroupName, Map, MemberName, Position, Set};

use crate::{Announcement, Health};

/// Number of a member on one connection.
pub type MemberNumber = u16;

/// A group whose positions alone changed is reported again after this time. Operators see the lag
/// of replicas from it; no promotion is decided by it, because the members are read then.
const POSITIONS: Duration = Duration::from_secs(2);

/// What an entry process sees of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// State.
    pub health: Health,
    /// Time since the last good answer.
    pub since_last_answer: Duration,
    /// Position at the last good answer.
    pub position: Position,
    /// Whether it was primary at the last good answer.
    pub primary: bool,
}

impl Observation {
    /// Whether `other` tells the same about a promotion, whatever was written meanwhile.
    fn agrees(&self, other: &Self) -> bool {
        let state = |seen: &Self| (seen.health, seen.position.term, seen.primary);
        state(self) == state(other)
    }
}

/// Connections to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConnectionDemand {
    /// In use now.
    pub used: u32,
    /// Requests that wait for one.
    pub waiting: u32,
    /// Wanted, base share included; 0 when the member is not in use.
    pub wanted: u32,
}

/// Sightings of the members of one group, ordered by name.
pub type GroupObservations = Vec<(MemberName, Observation)>;

/// Everything that one renewal tells.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClusterView {
    /// Announcements heard since the renewal before, with their ages.
    pub announcements: Vec<(Announcement, Duration)>,
    /// All observed groups.
    pub groups: Map<GroupName, GroupObservations>,
    /// Members in use, with their groups.
    pub demands: Map<MemberName, (GroupName, ConnectionDemand)>,
}

/// Changes since the report before.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// 1 for a complete report, then one more each time.
    pub sequence: u32,
    /// Numbers given or changed.
    pub names: Vec<(MemberNumber, GroupName, MemberName)>,
    /// Announcements that are new or changed.
    pub announcements: Vec<(MemberNumber, Announcement, Duration)>,
    /// Announcements heard again unchanged.
    pub repeats: Vec<(MemberNumber, Duration)>,
    /// Sightings of all members of the groups that changed.
    pub observations: Vec<(MemberNumber, Observation)>,
    /// Demands that changed.
    pub demands: Vec<(MemberNumber, ConnectionDemand)>,
}

/// What one control host was told on the present connection.
#[derive(Debug, Default)]
pub struct ReportSender {
    sequence: u32,
    numbers: Map<MemberName, (MemberNumber, GroupName)>,
    members: Vec<MemberName>,
    announced: Map<MemberName, Announcement>,
    groups: Map<GroupName, (GroupObservations, Instant)>,
    demands: Map<MemberName, ConnectionDemand>,
}

impl ReportSender {
    /// Makes the next report complete.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Whether the view holds something that must not wait for a later report: a member that
    /// does not answer, a changed role, or requests that wait for connections not asked for yet.
    #[must_use]
    pub fn is_urgent(&self, view: &ClusterView) -> bool {
        let changed = |(group, seen): (&GroupName, &GroupObservations)| {
            seen.iter().any(|(_, seen)| seen.health != Health::Ok)
                || self
                    .groups
                    .get(group)
                    .is_none_or(|(told, _)| !agree(told, seen))
        };
        let wanted = |(name, (_, demand)): (&MemberName, &(GroupName, ConnectionDemand))| {
            let told = self.demands.get(name).map_or(0, |told| told.wanted);
            demand.waiting > 0 && demand.wanted > told
        };
        view.groups.iter().any(changed) || view.demands.iter().any(wanted)
    }

    /// Makes the next report. When it does not arrive, the connection is lost or the receiver
    /// finds a gap; in both cases [`ReportSender::reset`] must follow.
    pub fn next_report(&mut self, now: Instant, view: &ClusterView) -> Report {
        let gone = self.groups.keys().any(|g| !view.groups.contains_key(g));
        // A number of 16 bits would repeat; names are used up only by replaced members.
        if gone || self.numbers.len() + 1_000 > usize::from(MemberNumber::MAX) {
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
        for (group, seen) in &view.groups {
            let known = self.groups.get(group).is_some_and(|(told, at)| {
                let well = seen.iter().all(|(_, seen)| seen.health == Health::Ok);
                let moved = told.iter().map(|(_, seen)| seen.position);
                let still = moved.eq(seen.iter().map(|(_, seen)| seen.position));
                let recent = now.saturating_duration_since(*at) < POSITIONS;
                well && agree(told, seen) && (still || recent)
            });
            if !known {
                for (member, seen) in seen {
                    let number = self.number(&mut report, group, member);
                    report.observations.push((number, *seen));
                }
                self.groups.insert(group.clone(), (seen.clone(), now));
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

    /// Member that has a number.
    #[must_use]
    pub fn member(&self, number: MemberNumber) -> Option<&str> {
        self.members.get(usize::from(number)).map(String::as_str)
    }
}

fn agree(told: &GroupObservations, seen: &GroupObservations) -> bool {
    told.len() == seen.len()
        && told
            .iter()
            .zip(seen)
            .all(|(a, b)| a.0 == b.0 && a.1.agrees(&b.1))
}

/// What the entry process at the other end of a connection told.
#[derive(Debug, Default)]
pub struct ReportReceiver {
    sequence: u32,
    names: Map<MemberNumber, (GroupName, MemberName)>,
    numbers: Map<MemberName, MemberNumber>,
    announced: Map<MemberNumber, Announcement>,
    groups: Map<GroupName, GroupObservations>,
    demands: Map<MemberNumber, ConnectionDemand>,
}

impl ReportReceiver {
    /// Takes a report and returns the complete view, or `None` when the report does not follow
    /// the one before. Only a complete report is accepted after that.
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
        for (number, seen) in report.observations {
            let (group, member) = self.names.get(&number)?;
            let members = self.groups.entry(group.clone()).or_default();
            if changed.insert(group.clone()) {
                members.clear();
            }
            members.push((member.clone(), seen));
        }
        for (number, demand) in report.demands {
            self.names.get(&number)?;
            if demand.wanted == 0 && demand.used == 0 {
                self.demands.remove(&number);
            } else {
                self.demands.insert(number, demand);
            }
        }
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

    /// Number of a member.
    #[must_use]
    pub fn number(&self, member: &str) -> Option<MemberNumber> {
        self.numbers.get(member).copied()
    }
}
