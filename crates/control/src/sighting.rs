//! Health of group members as reported by entry processes.

use std::time::{Duration, Instant};

use base::{EntryName, GroupName, Map, MemberName, Position, ZoneName};

/// Health of a member as seen by one entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The member answers.
    Ok,
    /// The member's host refuses connections.
    Refused,
    /// The member does not answer.
    Silent,
}

/// Report of one entry process about one member.
#[derive(Debug, Clone, Copy)]
pub struct Sighting {
    /// Health at the time of the report.
    pub health: Health,
    /// Time from the last good answer to the report.
    pub since: Duration,
    /// Position at the last good answer.
    pub position: Position,
    /// Whether it was primary at the last good answer.
    pub primary: bool,
}

/// An entry process that watches a group.
#[derive(Debug, Clone)]
pub struct Observer {
    /// Availability zone of the entry process.
    pub zone: ZoneName,
    /// Time of its last report.
    pub reported_at: Instant,
    /// Whether it is stopping. Its sightings then don't count.
    pub stopping: bool,
    /// Sightings by member.
    pub members: Map<MemberName, Sighting>,
}

/// Observers of one group.
pub type Observers = Map<EntryName, Observer>;

/// Observers of all groups.
#[derive(Debug, Default)]
pub struct Sightings {
    groups: Map<GroupName, Observers>,
}

/// An observer that has not reported for this long is removed.
const OBSERVER_LIFETIME: Duration = Duration::from_secs(5);

impl Sightings {
    /// Replaces the report of an entry process about one group.
    pub fn report(&mut self, group: GroupName, entry: EntryName, observer: Observer) {
        self.groups
            .entry(group)
            .or_default()
            .insert(entry, observer);
    }

    /// Observers of a group.
    #[must_use]
    pub fn observers(&self, group: &str) -> Option<&Observers> {
        self.groups.get(group)
    }

    /// Removes observers that have not reported lately.
    pub fn expire(&mut self, now: Instant) {
        for observers in self.groups.values_mut() {
            observers
                .retain(|_, observer| now.duration_since(observer.reported_at) < OBSERVER_LIFETIME);
        }
        self.groups.retain(|_, observers| !observers.is_empty());
    }
}
