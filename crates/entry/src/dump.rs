//! Dump of the state of an entry process.

use std::time::Instant;

use base::Map;
use serde_json::{Value, json};

use crate::{dialect::Dialect, network::Network};

impl<D: Dialect> Network<D> {
    /// Returns the complete state for the dump.
    #[must_use]
    pub fn dump(&self) -> Value {
        let (now, lease_now) = (Instant::now(), base::clock::now());
        let ago = |at: Instant| now.saturating_duration_since(at).as_millis();
        let lease = self.lease.borrow();
        let until = |version| {
            lease.expires_at(version).map_or(0, |until| {
                until.saturating_duration_since(lease_now).as_millis()
            })
        };
        let hosts: Map<_, _> = self
            .hosts
            .borrow()
            .iter()
            .map(|(address, host)| {
                let state = json!({
                    "name": host.name,
                    "leader": host.leader,
                    "heard_ms": host.last_answer.map(ago),
                    "age_ms": host.state_age.as_millis(),
                });
                (address.to_string(), state)
            })
            .collect();
        let groups: Map<_, _> = self
            .groups
            .borrow()
            .values()
            .map(|group| {
                let record = group.current();
                let state = json!({
                    "term": record.as_ref().map(|record| record.term),
                    "phase": record.as_ref().map(|record| format!("{:?}", record.phase)),
                    "primary": record.as_ref().map(|record| record.primary.clone()),
                    "version": record.as_ref().map(|record| record.version),
                    "lease_ms": record.as_ref().map(|record| until(record.version)),
                    "confirmed": group.confirmed(),
                    "pending": group.pending(),
                });
                (group.name.clone(), state)
            })
            .collect();
        let members: Map<_, _> = self
            .members
            .borrow()
            .values()
            .map(|member| {
                let status = member.status();
                let (health, since) = member.health(now);
                let state = json!({
                    "group": member.group.name,
                    "address": member.address,
                    "zone": member.place.zone,
                    "region": member.place.region,
                    "health": format!("{health:?}"),
                    "since_ms": since.as_millis(),
                    "store": status.as_ref().map(|(status, _)| status.store.clone()),
                    "primary": status.as_ref().map(|(status, _)| status.primary),
                    "position": status.as_ref().map(|(status, _)| status.position),
                    "usable": self.directory.borrow().is_usable(&member.name, now),
                    "pool": member.pool.dump(now),
                });
                (member.name.clone(), state)
            })
            .collect();
        let directory: Map<_, _> = self
            .directory
            .borrow()
            .iter()
            .map(|received| {
                let state = json!({
                    "announcement": received.announcement,
                    "heard_ms": ago(received.sent_at),
                });
                (received.announcement.member.clone(), state)
            })
            .collect();
        let services: Map<_, _> = self
            .config
            .borrow()
            .services
            .iter()
            .map(|(name, service)| (name.clone(), json!(**service)))
            .collect();
        json!({
            "name": self.settings.name,
            "zone": self.settings.zone,
            "region": self.settings.region,
            "run": self.run,
            "stopping": self.is_stopped(),
            "config_version": self.config_version(),
            "record_version": self.record_version(),
            "control": hosts,
            "services": services,
            "rates": self.rates_json(),
            "groups": groups,
            "members": members,
            "directory": directory,
        })
    }
}
