//! State of a control host for `/dump`.

use std::time::Instant;

use serde_json::{Value, json};

use crate::{host::Host, log::Log, machine::Config};

impl<L: Log> Host<L> {
    /// Returns the whole state for `/dump`.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Value {
        let state = self.state.borrow();
        json!({
            "name": self.identity.name,
            "zone": self.identity.zone,
            "run": self.run,
            "leader": self.leads(),
            "log": self.log.dump(),
            "config": config_json(&state.config),
            "history": state.history,
            "records": state.records,
            "record_version": state.version,
            "fenced": state.fenced,
            "applied": state.applied,
            "acks": self.acks_json(),
            "members": self.members_json(now),
            "entries": self.entries_json(now),
            "timings": *self.timings.borrow(),
        })
    }
}

/// The configuration without the operator's own text, which contains the keys of organisations.
fn config_json(config: &Config) -> Value {
    json!({
        "version": config.version,
        "digest": config.digest,
        "document": config.document,
        "author": config.author,
        "reason": config.reason,
        "time": config.time,
    })
}
