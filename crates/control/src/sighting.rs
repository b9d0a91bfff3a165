//! What entry processes see of the members of groups.

use std::time::{Duration, Instant};

use base::{EntryName, GroupName, Map, MemberName, Position, ZoneName};

/// State of a member as one entry process sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    Ok,
    /// Its host refuses connections.
    Refused,
    /// It does not answer.
    Silent,
}

/// What one entry process sees of one member.
#[derive(Debug, Clone, Copy)]
pub struct Sighting {
    /// State.
    pub health: Health,
    /// Time since the last good answer, when it was reported.
    pub since: Duration,
    /// Position at the last good answer.
    pub position: Position,
    /// Whether it was primary at the last good answer.
    pub primary: bool,
}

/// An entry process that watches a group.
#[derive(Debug, Clone)]
pub struct Observer {
    /// Zone.
    pub zone: ZoneName,
    /// When it reported.
    pub reported_at: Instant,
    /// Whether it is stopping; its sightings do not count then.
    pub stopping: bool,
    /// What it sees.
    pub members: Map<MemberName, Sighting>,
}

/// Observers of one group.
pub type Observers = Map<EntryName, Observer>;

/// Observers of all groups.
#[derive(Debug, Default)]
pub struct Sightings {
    groups: Map<GroupName, Observers>,
}

/// An observer that is not heard from for this long is forgotten.
const FORGET: Duration = Duration::from_secs(5);

impl Sightings {
    /// Replaces what an entry process sees of one group.
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

    /// Forgets observers that are gone.
    pub fn expire(&mut self, now: Instant) {
        for observers in self.groups.values_mut() {
            observers.retain(|_, observer| now.duration_since(observer.reported_at) < FORGET);
        }
        self.groups.retain(|_, observers| !observers.is_empty());
    }
}
