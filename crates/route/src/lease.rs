//! Write lease of an entry process, granted by a majority of the control hosts.

use std::time::{Duration, Instant};

use base::{HostName, Map, Version};

/// Duration of a grant on the grantor's clock.
pub const GRANT_DURATION: Duration = Duration::from_secs(2);
/// Duration of a grant on the holder's clock: 1% shorter, which is the bound on the drift between
/// two clocks during a grant.
pub const HOLDER_GRANT_DURATION: Duration = Duration::from_millis(1_980);

#[derive(Debug, Clone, Copy)]
struct Grant {
    requested: Instant,
    version: Version,
}

/// Grants of the control hosts to this process.
///
/// A grant starts when it was requested, so that a reply read after the process was frozen does not
/// extend the lease.
///
/// ```
/// use std::time::{Duration, Instant};
/// use route::WriteLease;
///
/// let now = Instant::now();
/// let mut lease = WriteLease::new(3);
/// lease.record_grant("a", now, 7);
/// assert!(!lease.is_valid(7, now));
/// lease.record_grant("b", now, 7);
/// assert!(lease.is_valid(7, now));
/// assert!(!lease.is_valid(8, now));
/// assert!(!lease.is_valid(7, now + Duration::from_secs(2)));
/// ```
#[derive(Debug, Clone)]
pub struct WriteLease {
    hosts: usize,
    grants: Map<HostName, Grant>,
}

impl WriteLease {
    /// Starts without grants; `hosts` is the total number of control hosts.
    #[must_use]
    pub fn new(hosts: usize) -> Self {
        Self {
            hosts,
            grants: Map::default(),
        }
    }

    /// Sets the total number of control hosts.
    pub const fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts;
    }

    /// Removes the grant of a control host that was replaced.
    pub fn revoke(&mut self, host: &str) {
        self.grants.remove(host);
    }

    /// Records a grant of `host` that was requested at `requested` for records up to `version`. A
    /// grant that was requested before the known one is ignored.
    pub fn record_grant(&mut self, host: &str, requested: Instant, version: Version) {
        let grant = Grant { requested, version };
        self.grants
            .entry(host.to_owned())
            .and_modify(|known| {
                if known.requested < requested {
                    *known = grant;
                }
            })
            .or_insert(grant);
    }

    /// Time at which the lease for records up to `version` expires; `None` when no majority granted
    /// it.
    #[must_use]
    pub fn expires_at(&self, version: Version) -> Option<Instant> {
        let mut times: Vec<Instant> = self
            .grants
            .values()
            .filter(|grant| grant.version >= version)
            .map(|grant| grant.requested + HOLDER_GRANT_DURATION)
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.hosts / 2).copied()
    }

    /// Whether the lease for records up to `version` is valid at `now`.
    #[must_use]
    pub fn is_valid(&self, version: Version, now: Instant) -> bool {
        self.expires_at(version).is_some_and(|expiry| now < expiry)
    }
}
