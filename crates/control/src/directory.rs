//! Databases and entry processes that this host has heard from.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base::{EntryName, GroupName, Map, MemberName, RegionName, Set, StoreId, Version, ZoneName};
use serde::Serialize;

/// A member that is not heard from for this long gets no new work.
pub const LOST_AFTER: Duration = Duration::from_secs(3);
/// An entry process that is not heard from for this long is forgotten.
const FORGET: Duration = Duration::from_mins(1);
/// A member that is not heard from for this long is forgotten; the record still names it.
const FORGET_MEMBER: Duration = Duration::from_hours(1);
/// Bounds the directory against announcements of made-up names.
const MEMBERS_MAX: usize = 100_000;

/// What a database announced.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Announcement {
    /// Name.
    pub member: MemberName,
    /// Group.
    pub group: GroupName,
    /// Id of its data directory.
    pub store: StoreId,
    /// Address, `ip:port`.
    pub address: String,
    /// Zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Connections that it accepts.
    pub connections: u32,
    /// Statements that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Counts the announcements of one start of the database; 0 when it does not count them.
    pub sequence: u64,
    /// Start of the database in milliseconds since the epoch on its own clock; 0 when not told.
    pub born: u64,
}

impl Announcement {
    /// Whether `self` was sent before `other` of the same database.
    const fn precedes(&self, other: &Self) -> bool {
        self.born < other.born || (self.born == other.born && self.sequence < other.sequence)
    }

    /// Whether both tell the same, whenever they were sent.
    fn agrees(&self, other: &Self) -> bool {
        let other = Self {
            sequence: self.sequence,
            ..other.clone()
        };
        *self == other
    }
}

/// An announcement with the time it was heard.
#[derive(Debug, Clone)]
pub struct ReceivedAnnouncement {
    /// Last announcement.
    pub announcement: Announcement,
    /// When it was heard.
    pub received_at: Instant,
    /// Directory version of the last change.
    pub version: Version,
    lost: bool,
}

/// An entry process.
#[derive(Debug, Clone)]
pub struct EntryProcess {
    /// Zone.
    pub zone: ZoneName,
    /// Random id of its run.
    pub run: u64,
    /// Record version that it has applied.
    pub record_version: Version,
    /// Configuration version that it has applied.
    pub config_version: Version,
    /// HTTP address.
    pub http: String,
    /// Address that takes forwarded sessions; empty if there is none.
    pub forwarding: String,
    /// Whether it is stopping.
    pub stopping: bool,
    /// When it was heard from last.
    pub renewed_at: Instant,
    /// Connections in use per member.
    pub used: Map<MemberName, u32>,
}

/// Databases and entry processes, with a version that counts changes.
#[derive(Debug, Default)]
pub struct Directory {
    version: Version,
    members: Map<MemberName, ReceivedAnnouncement>,
    entries: Map<EntryName, EntryProcess>,
    /// Members by the version of their last change, so that a watch reads only what is newer.
    order: BTreeMap<Version, MemberName>,
    /// Members by group.
    groups: Map<GroupName, Set<MemberName>>,
    /// Regions by zone.
    regions: Map<ZoneName, RegionName>,
}

impl Directory {
    /// Version of the last change.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Takes an announcement that was heard `age` before `now`; returns whether it is a change.
    ///
    /// An announcement that is only repeated is no change, so that its distribution costs nothing.
    pub fn announce(&mut self, now: Instant, age: Duration, announcement: Announcement) -> bool {
        let at = now.checked_sub(age).unwrap_or(now);
        let lost = age >= LOST_AFTER;
        let name = announcement.member.clone();
        if let Some(heard) = self.members.get_mut(&name) {
            if announcement.precedes(&heard.announcement) {
                return false;
            }
            // Only the number of an announcement tells an old one that arrives late.
            if announcement.sequence == 0 && at <= heard.received_at {
                return false;
            }
            heard.received_at = heard.received_at.max(at);
            if heard.announcement.agrees(&announcement) && heard.lost == lost {
                heard.announcement.sequence = announcement.sequence;
                return false;
            }
        } else if self.members.len() >= MEMBERS_MAX {
            return false;
        }
        self.forget(&name);
        let members = self.groups.entry(announcement.group.clone()).or_default();
        members.insert(name.clone());
        self.regions
            .insert(announcement.zone.clone(), announcement.region.clone());
        let version = self.changed(&name);
        let heard = ReceivedAnnouncement {
            announcement,
            received_at: at,
            version,
            lost,
        };
        self.members.insert(name, heard);
        true
    }

    /// Makes a new version that is the last change of a member.
    fn changed(&mut self, name: &str) -> Version {
        self.version += 1;
        self.order.insert(self.version, name.to_owned());
        self.version
    }

    /// Removes a member from all tables.
    fn forget(&mut self, name: &str) {
        let Some(heard) = self.members.remove(name) else {
            return;
        };
        self.order.remove(&heard.version);
        if let Some(members) = self.groups.get_mut(&heard.announcement.group) {
            members.remove(name);
        }
    }

    /// Marks members as lost that are not heard from, forgets what is long gone, and returns
    /// whether something changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.entries
            .retain(|_, entry| now.duration_since(entry.renewed_at) < FORGET);
        let silent =
            |heard: &ReceivedAnnouncement, limit| now.duration_since(heard.received_at) >= limit;
        let names =
            |directory: &Self, filter: &dyn Fn(&ReceivedAnnouncement) -> bool| -> Vec<MemberName> {
                let found = directory.members.iter().filter(|(_, heard)| filter(heard));
                found.map(|(name, _)| name.clone()).collect()
            };
        for name in names(self, &|heard| silent(heard, FORGET_MEMBER)) {
            self.forget(&name);
        }
        self.groups.retain(|_, members| !members.is_empty());
        let lost = names(self, &|heard| !heard.lost && silent(heard, LOST_AFTER));
        for name in &lost {
            let version = self.changed(name);
            if let Some(heard) = self.members.get_mut(name) {
                self.order.remove(&heard.version);
                heard.lost = true;
                heard.version = version;
            }
        }
        !lost.is_empty()
    }

    /// Members that changed after `version`, in the order of their changes.
    #[must_use]
    pub fn changed_since(&self, version: Version) -> Vec<&ReceivedAnnouncement> {
        let newer = self.order.range(version.saturating_add(1)..);
        newer
            .filter_map(|(_, name)| self.members.get(name))
            .collect()
    }

    /// Members of a group that are heard from and stay, ordered by name.
    #[must_use]
    pub fn present_members(&self, now: Instant, group: &str) -> Vec<&Announcement> {
        let names = self.groups.get(group).into_iter().flatten();
        let heard = names.filter_map(|name| self.members.get(name));
        let live = heard.filter(|heard| now.duration_since(heard.received_at) < LOST_AFTER);
        let mut present: Vec<_> = live
            .map(|heard| &heard.announcement)
            .filter(|member| !member.leaving)
            .collect();
        present.sort_by(|a, b| a.member.cmp(&b.member));
        present
    }

    /// Last announcement of a member.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&ReceivedAnnouncement> {
        self.members.get(name)
    }

    /// Region of a zone, as databases announce it.
    #[must_use]
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }

    /// Every member heard from.
    pub fn members(&self) -> impl Iterator<Item = &ReceivedAnnouncement> {
        self.members.values()
    }

    /// Notes a renewal of an entry process; returns whether it was not known.
    pub fn update_entry(&mut self, name: EntryName, entry: EntryProcess) -> bool {
        self.entries.insert(name, entry).is_none()
    }

    /// Entry processes heard from within `limit`.
    pub fn live_entries(
        &self,
        now: Instant,
        limit: Duration,
    ) -> impl Iterator<Item = (&EntryName, &EntryProcess)> {
        let entries = self.entries.iter();
        entries.filter(move |(_, entry)| now.duration_since(entry.renewed_at) < limit)
    }

    /// Entry processes by name.
    #[must_use]
    pub const fn entries(&self) -> &Map<EntryName, EntryProcess> {
        &self.entries
    }
}
