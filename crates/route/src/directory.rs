//! Directory of announced members.

use std::time::{Duration, Instant};

use base::{GroupName, HostName, Map, MemberName, RegionName, Set, StoreId, ZoneName};
use serde::{Deserialize, Serialize};

/// A member that is not heard from for this long gets no new work.
pub const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// A leaving member that is the primary in force gets new work for this long, while the control
/// hosts move its role. After that no work goes to it, whatever became of the change.
pub const HANDOVER_GRACE: Duration = Duration::from_secs(3);

/// What an upstream tells about itself every second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the member.
    pub member: MemberName,
    /// Group that it belongs to.
    pub group: GroupName,
    /// Random id of its data directory.
    pub store: StoreId,
    /// IP address and port that accept connections.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Connections that it accepts.
    pub connections: u32,
    /// Statements that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// What a control host last told about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Word {
    /// It is heard from, until the host tells otherwise.
    Live,
    /// It is not heard from.
    Lost,
    /// The host has restarted and has not told anything since; its former word counts until then.
    Former(Instant),
}

/// One member of the directory.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// Latest announcement.
    pub announcement: Announcement,
    /// When the latest content was sent, on the local clock.
    pub sent_at: Instant,
    /// When it was first heard that the member leaves.
    left: Option<Instant>,
    here: Option<Instant>,
    words: Map<HostName, Word>,
}

/// All members that were announced.
///
/// Control hosts tell changes only: that a member announced something new, or that it has not been
/// heard from for [`ANNOUNCEMENT_TIMEOUT`]. Their word counts while they can be reached. While none
/// can be, a
/// member does not expire.
#[derive(Debug, Default)]
pub struct Directory {
    members: Map<MemberName, KnownMember>,
    hosts: Set<HostName>,
    since: Option<Instant>,
}

impl Directory {
    /// Notes an announcement that arrived at this process. Returns whether its content is new.
    pub fn record_announcement(&mut self, announcement: Announcement, now: Instant) -> bool {
        let (known, changed) = self.update(announcement, now);
        known.here = Some(now);
        changed
    }

    /// Notes what a control host tells at `now`: it heard `announcement` `age` ago. Returns whether
    /// its content is new.
    pub fn record_host_report(
        &mut self,
        host: &str,
        announcement: Announcement,
        age: Duration,
        now: Instant,
    ) -> bool {
        let (known, changed) = self.update(announcement, now.checked_sub(age).unwrap_or(now));
        let word = if age < ANNOUNCEMENT_TIMEOUT {
            Word::Live
        } else {
            Word::Lost
        };
        known.words.insert(host.to_owned(), word);
        changed
    }

    fn update(&mut self, announcement: Announcement, at: Instant) -> (&mut KnownMember, bool) {
        let mut changed = false;
        let name = announcement.member.clone();
        let known = self.members.entry(name).or_insert_with(|| {
            changed = true;
            KnownMember {
                announcement: announcement.clone(),
                sent_at: at,
                left: None,
                here: None,
                words: Map::default(),
            }
        });
        if at >= known.sent_at {
            changed |= known.announcement != announcement;
            let leaving = announcement.leaving;
            known.left = leaving.then(|| known.left.unwrap_or(at));
            known.announcement = announcement;
            known.sent_at = at;
        }
        (known, changed)
    }

    /// Notes that a control host has restarted and lost what it had heard.
    pub fn record_host_restart(&mut self, host: &str, now: Instant) {
        for known in self.members.values_mut() {
            if let Some(word) = known.words.get_mut(host)
                && *word == Word::Live
            {
                *word = Word::Former(now + ANNOUNCEMENT_TIMEOUT);
            }
        }
    }

    /// Notes whether a control host can be reached.
    pub fn set_host_reachable(&mut self, host: &str, reachable: bool, now: Instant) {
        if !reachable {
            self.hosts.remove(host);
        } else if self.hosts.insert(host.to_owned()) && self.hosts.len() == 1 {
            self.since = Some(now);
        }
    }

    /// Whether a member may get new work. A member that was never announced may not.
    #[must_use]
    pub fn is_usable(&self, member: &str, now: Instant) -> bool {
        let Some(known) = self.members.get(member) else {
            return false;
        };
        !known.announcement.leaving && self.is_live(known, now)
    }

    /// Whether the primary in force may get new work: as any member, but a leaving one for
    /// [`HANDOVER_GRACE`] longer. Writes would otherwise wait from the announcement on until another
    /// member is promoted.
    #[must_use]
    pub fn is_usable_primary(&self, primary: &str, now: Instant) -> bool {
        let Some(known) = self.members.get(primary) else {
            return false;
        };
        let handing = |left: Instant| now.saturating_duration_since(left) < HANDOVER_GRACE;
        known.left.is_none_or(handing) && self.is_live(known, now)
    }

    fn is_live(&self, known: &KnownMember, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < ANNOUNCEMENT_TIMEOUT;
        // A host that has just become reachable again may not have heard anything either.
        let settling = self.since.is_none_or(recent);
        self.hosts.is_empty()
            || settling
            || known.here.is_some_and(recent)
            || self.hosts.iter().any(|host| match known.words.get(host) {
                Some(Word::Live) => true,
                Some(Word::Former(until)) => now < *until,
                Some(Word::Lost) | None => false,
            })
    }

    /// Finds a member.
    #[must_use]
    pub fn get(&self, member: &str) -> Option<&KnownMember> {
        self.members.get(member)
    }

    /// All members, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values()
    }

    /// Forgets members that have not been usable and not changed for `keep`.
    pub fn prune(&mut self, keep: Duration, now: Instant) {
        let gone: Vec<_> = self
            .members
            .iter()
            .filter(|(name, known)| {
                let old = now.saturating_duration_since(known.sent_at) >= keep;
                old && !self.is_usable(name, now)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.members.remove(&name);
        }
    }
}
