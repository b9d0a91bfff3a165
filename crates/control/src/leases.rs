//! Write lease grants of this host to entry processes.

use std::time::{Duration, Instant};

use base::{EntryName, Map, Version};

/// Duration of a grant, counted from the receipt of the request.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);

/// One run of an entry process; a restarted one counts as another holder.
pub type Holder = (EntryName, u64);

/// Record versions of this host that decide about a grant.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogState {
    /// Log index of the last applied record change that ended a term.
    pub fenced: Version,
    /// Log index applied last.
    pub applied: u64,
    /// Log index stored last.
    pub stored: u64,
    /// Whether this host lost its disk and may have forgotten a fencing change.
    pub learner: bool,
    /// Whether this host has applied everything that was committed before its start.
    pub current: bool,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    version: Version,
    until: Instant,
}

/// Grants in memory.
#[derive(Debug)]
pub struct Leases {
    start: Instant,
    floor: Version,
    grants: Map<Holder, Grant>,
}

impl Leases {
    /// Makes an empty table for a process that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            floor: 0,
            grants: Map::default(),
        }
    }

    /// Grants the lease at record version `version` for [`LEASE_DURATION`] from `now`, or refuses.
    ///
    /// A log entry that is stored but not applied may be a fencing change, so nothing is granted
    /// until it is applied. Nothing is granted during the first [`LEASE_DURATION`] after the start either:
    /// a request from before the restart that arrives late must not renew what this host already
    /// reported as ended. It may grant earlier once it knows every change from before its start.
    pub fn renew(
        &mut self,
        now: Instant,
        holder: Holder,
        version: Version,
        known: LogState,
    ) -> bool {
        let old = self.grants.get(&holder).map_or(0, |grant| grant.version);
        if (now < self.start + LEASE_DURATION && !known.current)
            || version < known.fenced.max(self.floor).max(old)
            || known.stored > known.applied
            || known.learner
        {
            return false;
        }
        self.grants.insert(
            holder,
            Grant {
                version,
                until: now + LEASE_DURATION,
            },
        );
        true
    }

    /// Notes that a holder has applied `version`, which ends its grant at an older one even when
    /// no new grant can be given.
    pub fn release(&mut self, holder: &Holder, version: Version) {
        if self
            .grants
            .get(holder)
            .is_some_and(|grant| grant.version < version)
        {
            self.grants.remove(holder);
        }
    }

    /// Whether no unexpired grant is older than `version`, or `None` when this host started too
    /// recently to know.
    ///
    /// From now on nothing older than `version` is granted: a host that has not received the
    /// fencing change yet would otherwise grant an old lease after it reported none.
    pub fn fence(&mut self, now: Instant, version: Version) -> Option<bool> {
        self.floor = self.floor.max(version);
        self.grants.retain(|_, grant| grant.until > now);
        (now >= self.start + LEASE_DURATION)
            .then(|| self.grants.values().all(|grant| grant.version >= version))
    }

    /// Drops expired grants and returns the number of those left.
    pub fn expire(&mut self, now: Instant) -> usize {
        self.grants.retain(|_, grant| grant.until > now);
        self.grants.len()
    }
}
