//! Directory of the databases and entry processes that announced themselves.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base::{EntryName, GroupName, Map, MemberName, RegionName, Set, StoreId, Version, ZoneName};
use serde::Serialize;

/// A member that has not announced itself for this long gets no new work.
pub const LOST_AFTER: Duration = Duration::from_secs(3);
/// An entry process that has not renewed for this long is removed.
const ENTRY_LIFETIME: Duration = Duration::from_mins(1);
/// A member that has not announced itself for this long is removed. The group record keeps it.
const MEMBER_LIFETIME: Duration = Duration::from_hours(1);
/// Limit on the size of the directory, in case announcements carry invented names.
const MAX_MEMBERS: usize = 100_000;

/// Announcement of a database.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Announcement {
    /// Name of the member.
    pub member: MemberName,
    /// Group that the member belongs to.
    pub group: GroupName,
    /// Id of its data directory.
    pub store: StoreId,
    /// Address, `ip:port`.
    pub address: String,
    /// Availability zone that the member runs in.
    pub zone: ZoneName,
    /// Region that the member runs in.
    pub region: RegionName,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// Number of statements that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Number of the announcement since the database started; 0 if the database does not count.
    pub sequence: u64,
    /// Start time of the database by its own clock, in milliseconds since the epoch; 0 if unknown.
    pub born: u64,
    /// Whether it said that it ends now.
    pub gone: bool,
}

impl Announcement {
    /// Whether `self` was sent before `other` by the same database.
    const fn precedes(&self, other: &Self) -> bool {
        self.born < other.born || (self.born == other.born && self.sequence < other.sequence)
    }

    /// Whether both announcements are equal apart from their sequence numbers.
    fn has_same_content(&self, other: &Self) -> bool {
        let other = Self {
            sequence: self.sequence,
            ..other.clone()
        };
        *self == other
    }
}

/// Last announcement of a member, and when it was received.
#[derive(Debug, Clone)]
pub struct ReceivedAnnouncement {
    /// Latest announcement of the member.
    pub announcement: Announcement,
    /// When it was received.
    pub received_at: Instant,
    /// Directory version of the member's last change.
    pub version: Version,
    is_lost: bool,
}

/// An entry process.
#[derive(Debug, Clone)]
pub struct EntryProcess {
    /// Availability zone of the entry process.
    pub zone: ZoneName,
    /// Random id of its current run.
    pub run: u64,
    /// Record version that it has applied.
    pub record_version: Version,
    /// Configuration version that it has applied.
    pub config_version: Version,
    /// HTTP address of the entry process.
    pub http: String,
    /// Address for forwarded sessions; empty if there is none.
    pub forwarding: String,
    /// Whether it is stopping.
    pub stopping: bool,
    /// When it last renewed.
    pub renewed_at: Instant,
    /// Connections in use per member.
    pub used: Map<MemberName, u32>,
}

/// Databases and entry processes, with a version number that counts the changes of databases.
#[derive(Debug, Default)]
pub struct Directory {
    version: Version,
    members: Map<MemberName, ReceivedAnnouncement>,
    entries: Map<EntryName, EntryProcess>,
    /// Members by the version of their last change, so that a watch reads only newer ones.
    changes: BTreeMap<Version, MemberName>,
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

    /// Records an announcement received `age` before `now`. Returns whether it is a change.
    ///
    /// A repeated announcement is not a change, so it is not sent to the watchers.
    pub fn announce(&mut self, now: Instant, age: Duration, announcement: Announcement) -> bool {
        let mut at = now.checked_sub(age).unwrap_or(now);
        let name = announcement.member.clone();
        if let Some(received) = self.members.get_mut(&name) {
            if announcement.precedes(&received.announcement) {
                return false;
            }
            // Without a sequence number, only the time of receipt shows that it is old.
            if announcement.sequence == 0 && at <= received.received_at {
                return false;
            }
            at = at.max(received.received_at);
            received.received_at = at;
            let lost = now.duration_since(at) >= LOST_AFTER;
            if received.announcement.has_same_content(&announcement) && received.is_lost == lost {
                received.announcement.sequence = announcement.sequence;
                return false;
            }
        } else if self.members.len() >= MAX_MEMBERS {
            return false;
        }
        self.remove(&name);
        let members = self.groups.entry(announcement.group.clone()).or_default();
        members.insert(name.clone());
        self.regions
            .insert(announcement.zone.clone(), announcement.region.clone());
        let version = self.bump_version(&name);
        let received = ReceivedAnnouncement {
            announcement,
            received_at: at,
            version,
            is_lost: now.duration_since(at) >= LOST_AFTER,
        };
        self.members.insert(name, received);
        true
    }

    /// Creates a new version and records it as the last change of a member.
    fn bump_version(&mut self, name: &str) -> Version {
        self.version += 1;
        self.changes.insert(self.version, name.to_owned());
        self.version
    }

    /// Removes a member from all tables.
    fn remove(&mut self, name: &str) {
        let Some(received) = self.members.remove(name) else {
            return;
        };
        self.changes.remove(&received.version);
        if let Some(members) = self.groups.get_mut(&received.announcement.group) {
            members.remove(name);
        }
    }

    /// Marks silent members as lost and removes members and entry processes that have been silent
    /// for long. Returns whether a member was marked.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.entries
            .retain(|_, entry| now.duration_since(entry.renewed_at) < ENTRY_LIFETIME);
        let silent = |m: &ReceivedAnnouncement, limit| now.duration_since(m.received_at) >= limit;
        let names =
            |directory: &Self, filter: &dyn Fn(&ReceivedAnnouncement) -> bool| -> Vec<MemberName> {
                let found = directory.members.iter().filter(|(_, m)| filter(m));
                found.map(|(name, _)| name.clone()).collect()
            };
        for name in names(self, &|m| silent(m, MEMBER_LIFETIME)) {
            self.remove(&name);
        }
        self.groups.retain(|_, members| !members.is_empty());
        let lost = names(self, &|m| !m.is_lost && silent(m, LOST_AFTER));
        for name in &lost {
            let version = self.bump_version(name);
            if let Some(received) = self.members.get_mut(name) {
                self.changes.remove(&received.version);
                received.is_lost = true;
                received.version = version;
            }
        }
        !lost.is_empty()
    }

    /// Members that changed after `version`, in order of their last change.
    #[must_use]
    pub fn changed_since(&self, version: Version) -> Vec<&ReceivedAnnouncement> {
        let newer = self.changes.range(version.saturating_add(1)..);
        newer
            .filter_map(|(_, name)| self.members.get(name))
            .collect()
    }

    /// Live members of a group that are not about to stop, ordered by name.
    #[must_use]
    pub fn present_members(&self, now: Instant, group: &str) -> Vec<&Announcement> {
        let mut present = self.live_members(now, group);
        present.retain(|member| !member.leaving);
        present
    }

    /// Live members of a group, ordered by name, including those that are about to stop.
    #[must_use]
    pub fn live_members(&self, now: Instant, group: &str) -> Vec<&Announcement> {
        let names = self.groups.get(group).into_iter().flatten();
        let members = names.filter_map(|name| self.members.get(name));
        let live = members.filter(|m| now.duration_since(m.received_at) < LOST_AFTER);
        let mut live: Vec<_> = live.map(|m| &m.announcement).collect();
        live.sort_by(|a, b| a.member.cmp(&b.member));
        live
    }

    /// Last announcement of a member.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&ReceivedAnnouncement> {
        self.members.get(name)
    }

    /// Region of a zone, as announced by its databases.
    #[must_use]
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &ReceivedAnnouncement> {
        self.members.values()
    }

    /// Records a renewal of an entry process. Returns whether the process is new.
    pub fn update_entry(&mut self, name: EntryName, entry: EntryProcess) -> bool {
        self.entries.insert(name, entry).is_none()
    }

    /// Entry processes that renewed within the last `limit`.
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
