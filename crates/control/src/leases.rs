//! Write lease grants of this host to entry processes.

use std::time::{Duration, Instant};

use base::{EntryName, Map, Version};

/// Duration of a grant, counted from receipt of the request.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);

/// One run of an entry process. A restarted process counts as another holder.
pub type Holder = (EntryName, u64);

/// State of this host's replicated log that decides whether a lease may be granted.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogState {
    /// Log index of the last applied record change that ended a term.
    pub fenced: Version,
    /// Index of the last applied log entry.
    pub applied: u64,
    /// Index of the last stored log entry.
    pub stored: u64,
    /// Whether this host lost its disk, so that a fencing change may be missing.
    pub learner: bool,
    /// Whether this host has applied everything that was committed before its start.
    pub current: bool,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    version: Version,
    expires_at: Instant,
}

/// Grants of this host, held in memory only.
#[derive(Debug)]
pub struct Leases {
    start: Instant,
    min_version: Version,
    grants: Map<Holder, Grant>,
    unreported_at: Instant,
}

impl Leases {
    /// Creates an empty table for a process that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            min_version: 0,
            grants: Map::default(),
            unreported_at: now,
        }
    }

    /// Grants the lease at record version `version` for [`LEASE_DURATION`] from `now`. Returns
    /// whether it was granted.
    ///
    /// A log entry that is stored but not applied may be a fencing change, so nothing is granted
    /// until it is applied. Nothing is granted during the first [`LEASE_DURATION`] after the start
    /// either: a late request from before the restart must not renew a lease that this host already
    /// reported as ended. The host may grant earlier once it has applied every change from before
    /// its start.
    pub fn renew(&mut self, now: Instant, holder: Holder, version: Version, log: LogState) -> bool {
        let granted_version = self.grants.get(&holder).map_or(0, |grant| grant.version);
        if (now < self.start + LEASE_DURATION && !log.current)
            || version < log.fenced.max(self.min_version).max(granted_version)
            || log.stored > log.applied
            || log.learner
        {
            return false;
        }
        self.grants.insert(
            holder,
            Grant {
                version,
                expires_at: now + LEASE_DURATION,
            },
        );
        true
    }

    /// Records that the holder of a grant has applied all changes up to `version`, so that it no longer
    /// uses the grant for what those ended. This happens even if no new grant can be given.
    ///
    /// The grant itself stays: the holder goes on using it for what is in force at `version`.
    pub fn release(&mut self, holder: &Holder, version: Version) {
        if let Some(grant) = self.grants.get_mut(holder) {
            grant.version = grant.version.max(version);
        }
    }

    /// Refuses leases older than `version` from now on, and returns whether no unexpired grant is
    /// older. Returns `None` if this host started too recently to know.
    ///
    /// A host that has not yet received the fencing change would otherwise grant an old lease after
    /// it reported that there is none.
    pub fn fence(&mut self, now: Instant, version: Version) -> Option<bool> {
        self.min_version = self.min_version.max(version);
        self.expire(now);
        (now >= self.start + LEASE_DURATION)
            .then(|| self.grants.values().all(|grant| grant.version >= version))
    }

    /// Records that a holder does not tell what it acknowledged.
    pub const fn note_unreported(&mut self, now: Instant) {
        self.unreported_at = now;
    }

    /// When a grant last ended without a report of its holder; at least the start of this host.
    #[must_use]
    pub const fn unreported_at(&self) -> Instant {
        self.unreported_at
    }

    /// Removes expired grants and returns the number of remaining ones.
    pub fn expire(&mut self, now: Instant) -> usize {
        let known = self.grants.len();
        self.grants.retain(|_, grant| grant.expires_at > now);
        if self.grants.len() < known {
            self.unreported_at = now;
        }
        self.grants.len()
    }
}
