//! Directory of announced members.

use std::time::{Duration, Instant};

use base::{GroupName, HostName, Map, MemberName, RegionName, Set, StoreId, ZoneName};
use serde::{Deserialize, Serialize};

/// Time without an announcement after which a member gets no new work.
pub const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a leaving member that is the current primary still gets new work while the
/// control hosts promote a successor. After that it gets none, even if the promotion failed.
pub const HANDOVER_GRACE: Duration = Duration::from_secs(3);

/// Description that an upstream sends of itself every second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the member.
    pub member: MemberName,
    /// Group of the member.
    pub group: GroupName,
    /// Random id of the data directory.
    pub store: StoreId,
    /// IP address and port that accept connections.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Maximum number of connections.
    pub connections: u32,
    /// Maximum number of statements that run concurrently.
    pub slots: u32,
    /// Whether the member is about to stop.
    pub leaving: bool,
    /// Number of the announcement since the member started; 0 if the member does not count.
    #[serde(default)]
    pub sequence: u64,
    /// Start time of the member by its own clock, in milliseconds since the epoch; 0 if unknown.
    #[serde(default)]
    pub born: u64,
}

impl Announcement {
    /// Whether `self` was sent before `other` by the same member. Always `false` for a member that
    /// does not count its announcements.
    fn precedes(&self, other: &Self) -> bool {
        (self.born, self.sequence) < (other.born, other.sequence)
    }

    /// Whether both announcements are equal apart from their numbers.
    fn has_same_content(&self, other: &Self) -> bool {
        let other = Self {
            sequence: self.sequence,
            ..other.clone()
        };
        *self == other
    }
}

/// Latest report of a control host about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostReport {
    /// The host receives announcements. This holds until the host reports otherwise.
    Alive,
    /// The host receives no announcements.
    Lost,
    /// The host has restarted and not reported since. Its earlier report that the member is alive
    /// holds until this time.
    Expiring(Instant),
}

/// One member of the directory.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// Latest announcement.
    pub announcement: Announcement,
    /// When the latest announcement was sent, on the local clock.
    pub sent_at: Instant,
    /// When the first announcement with `leaving` was sent, on the local clock.
    leaving_since: Option<Instant>,
    /// When an announcement last arrived at this process.
    received_at: Option<Instant>,
    host_reports: Map<HostName, HostReport>,
}

/// All members that were announced.
///
/// Control hosts report changes only: that a member announced something new, or that it has not
/// been heard from for [`ANNOUNCEMENT_TIMEOUT`]. Reports of a host count while it is reachable.
/// While no control host is reachable, members don't expire.
#[derive(Debug, Default)]
pub struct Directory {
    members: Map<MemberName, KnownMember>,
    reachable_hosts: Set<HostName>,
    /// When a control host last became reachable while no other one was.
    reachable_since: Option<Instant>,
}

impl Directory {
    /// Records an announcement that arrived at this process. Returns whether its content is new.
    pub fn record_announcement(&mut self, announcement: Announcement, now: Instant) -> bool {
        let (known, changed) = self.update(announcement, now);
        known.received_at = Some(now);
        changed
    }

    /// Records the report of a control host, received at `now`, that it received `announcement`
    /// `age` ago. Returns whether the content of the announcement is new.
    pub fn record_host_report(
        &mut self,
        host: &str,
        announcement: Announcement,
        age: Duration,
        now: Instant,
    ) -> bool {
        let (known, changed) = self.update(announcement, now.checked_sub(age).unwrap_or(now));
        let report = if age < ANNOUNCEMENT_TIMEOUT {
            HostReport::Alive
        } else {
            HostReport::Lost
        };
        known.host_reports.insert(host.to_owned(), report);
        changed
    }

    fn update(&mut self, announcement: Announcement, sent_at: Instant) -> (&mut KnownMember, bool) {
        let mut changed = false;
        let name = announcement.member.clone();
        let known = self.members.entry(name).or_insert_with(|| {
            changed = true;
            KnownMember {
                announcement: announcement.clone(),
                sent_at,
                leaving_since: None,
                received_at: None,
                host_reports: Map::default(),
            }
        });
        let recent = sent_at >= known.sent_at && !announcement.precedes(&known.announcement);
        if recent || known.announcement.precedes(&announcement) {
            changed |= !known.announcement.has_same_content(&announcement);
            let leaving = announcement.leaving;
            known.leaving_since = leaving.then(|| known.leaving_since.unwrap_or(sent_at));
            known.announcement = announcement;
            known.sent_at = known.sent_at.max(sent_at);
        }
        (known, changed)
    }

    /// Records that a control host has restarted and lost the announcements that it had received.
    pub fn record_host_restart(&mut self, host: &str, now: Instant) {
        for known in self.members.values_mut() {
            if let Some(report) = known.host_reports.get_mut(host)
                && *report == HostReport::Alive
            {
                *report = HostReport::Expiring(now + ANNOUNCEMENT_TIMEOUT);
            }
        }
    }

    /// Records whether a control host is reachable.
    pub fn set_host_reachable(&mut self, host: &str, reachable: bool, now: Instant) {
        if !reachable {
            self.reachable_hosts.remove(host);
        } else if self.reachable_hosts.insert(host.to_owned()) && self.reachable_hosts.len() == 1 {
            self.reachable_since = Some(now);
        }
    }

    /// Whether a member may get new work. A member that was never announced may not.
    #[must_use]
    pub fn is_usable(&self, member: &str, now: Instant) -> bool {
        let Some(known) = self.members.get(member) else {
            return false;
        };
        !known.announcement.leaving && self.is_alive(known, now)
    }

    /// Whether the current primary may get new work. Unlike other members, it gets new work for
    /// [`HANDOVER_GRACE`] after it announced that it leaves. Otherwise writes would wait from that
    /// announcement until another member is promoted.
    #[must_use]
    pub fn is_usable_primary(&self, primary: &str, now: Instant) -> bool {
        let Some(known) = self.members.get(primary) else {
            return false;
        };
        let in_grace = |since: Instant| now.saturating_duration_since(since) < HANDOVER_GRACE;
        known.leaving_since.is_none_or(in_grace) && self.is_alive(known, now)
    }

    fn is_alive(&self, known: &KnownMember, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < ANNOUNCEMENT_TIMEOUT;
        // A host that has just become reachable may not have received announcements either.
        let settling = self.reachable_since.is_none_or(recent);
        self.reachable_hosts.is_empty()
            || settling
            || known.received_at.is_some_and(recent)
            || self
                .reachable_hosts
                .iter()
                .any(|host| match known.host_reports.get(host) {
                    Some(HostReport::Alive) => true,
                    Some(HostReport::Expiring(until)) => now < *until,
                    Some(HostReport::Lost) | None => false,
                })
    }

    /// Returns the member with this name.
    #[must_use]
    pub fn get(&self, member: &str) -> Option<&KnownMember> {
        self.members.get(member)
    }

    /// Iterates over all members in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values()
    }

    /// Removes unusable members whose latest announcement is at least `keep` old.
    pub fn prune(&mut self, keep: Duration, now: Instant) {
        let expired: Vec<_> = self
            .members
            .iter()
            .filter(|(name, known)| {
                let old = now.saturating_duration_since(known.sent_at) >= keep;
                old && !self.is_usable(name, now)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.members.remove(&name);
        }
    }
}
