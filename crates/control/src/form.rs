//! Service form of the console, and its conversion from and to the configuration document.

use base::document::{Document, Freshness, KeyRule, Limits, Rule, Service, Verb};
use serde::Deserialize;

use crate::problem::Problem;

/// Fields of the service form as the browser sends them.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct ServiceForm {
    /// Name of the service that is changed; empty for a new one.
    pub original: String,
    /// Name of the service.
    pub name: String,
    /// Group of databases that serves it.
    pub group: String,
    /// Databases of the group.
    pub databases: String,
    /// Members that must hold a write.
    pub confirmations: String,
    /// Connections that one database accepts.
    pub connections: String,
    /// Statements that one database runs at once.
    pub slots: String,
    /// Maximum age of a read, in milliseconds.
    pub max_age_ms: String,
    /// Maximum wait for a fresh replica, in milliseconds.
    pub wait_ms: String,
    /// Maximum number of queued requests.
    pub queue: String,
    /// Default deadline, in milliseconds.
    pub deadline_ms: String,
    /// Maximum message size, in bytes.
    pub message_bytes: String,
    /// Lifetime of a key, in hours.
    pub key_hours: String,
    /// Rules for non-idempotent statements, one per line: table, verbs, `required` or `optional`.
    pub rules: String,
    /// Configuration version that the form shows.
    pub base: String,
    /// Change id, created with the form, so that submitting it twice makes one change.
    pub change: String,
    /// Reason for the change.
    pub reason: String,
    /// CSRF token of the session.
    pub form: String,
}

impl ServiceForm {
    /// Creates the form of an existing service.
    #[must_use]
    pub fn from_service(service: &Service) -> Self {
        let rules = service
            .non_idempotent
            .iter()
            .map(|rule| format!("{}\n", format_rule(rule)));
        Self {
            original: service.name.clone(),
            name: service.name.clone(),
            group: service.group.clone(),
            databases: service.databases.to_string(),
            confirmations: service.confirmations.to_string(),
            connections: service.connections.to_string(),
            slots: service.slots.to_string(),
            max_age_ms: service.freshness.max_age_ms.to_string(),
            wait_ms: service.freshness.wait_ms.to_string(),
            queue: service.limits.queue.to_string(),
            deadline_ms: service.limits.deadline_ms.to_string(),
            message_bytes: service.limits.message_bytes.to_string(),
            key_hours: service.limits.key_hours.to_string(),
            rules: rules.collect(),
            ..Self::default()
        }
    }

    /// Creates the form of a new service with the default values.
    #[must_use]
    pub fn with_defaults() -> Self {
        let (freshness, limits) = (Freshness::default(), Limits::default());
        Self {
            databases: "3".into(),
            confirmations: "2".into(),
            connections: "16".into(),
            slots: "2".into(),
            max_age_ms: freshness.max_age_ms.to_string(),
            wait_ms: freshness.wait_ms.to_string(),
            queue: limits.queue.to_string(),
            deadline_ms: limits.deadline_ms.to_string(),
            message_bytes: limits.message_bytes.to_string(),
            key_hours: limits.key_hours.to_string(),
            ..Self::default()
        }
    }

    /// Returns the text of `document` with this service added or replaced.
    ///
    /// The text is serialized again, so comments of the old text are lost.
    ///
    /// # Errors
    /// A field can't be parsed, or the resulting document is invalid.
    pub fn apply_to(&self, document: &Document) -> Result<String, Problem> {
        let mut document = document.clone();
        if self.original.is_empty() {
            document.services.push(self.service(None)?);
        } else {
            let mut services = document.services.iter_mut();
            let old = services
                .find(|service| service.name == self.original)
                .ok_or_else(|| {
                    Problem::for_field("original", "there is no such service", "reload the page")
                })?;
            *old = self.service(Some(old))?;
        }
        document.check()?;
        toml::to_string(&document).map_err(|cause| {
            Problem::for_field("document", &cause.to_string(), "report this as a fault")
        })
    }

    /// Builds the service from the fields; settings that the form does not show come from `old`.
    fn service(&self, old: Option<&Service>) -> Result<Service, Problem> {
        Ok(Service {
            name: self.name.trim().to_owned(),
            group: self.group.trim().to_owned(),
            databases: parse_number("databases", &self.databases)?,
            confirmations: parse_number("confirmations", &self.confirmations)?,
            synchronous: old.is_some_and(|old| old.synchronous),
            connections: parse_number("connections", &self.connections)?,
            slots: parse_number("slots", &self.slots)?,
            freshness: Freshness {
                max_age_ms: parse_number("freshness.max_age_ms", &self.max_age_ms)?,
                wait_ms: parse_number("freshness.wait_ms", &self.wait_ms)?,
            },
            limits: Limits {
                queue: parse_number("limits.queue", &self.queue)?,
                deadline_ms: parse_number("limits.deadline_ms", &self.deadline_ms)?,
                message_bytes: parse_number("limits.message_bytes", &self.message_bytes)?,
                key_hours: parse_number("limits.key_hours", &self.key_hours)?,
                idle_ms: old.map_or_else(|| Limits::default().idle_ms, |old| old.limits.idle_ms),
            },
            non_idempotent: parse_rules(&self.rules)?,
        })
    }
}

fn parse_number<T: std::str::FromStr>(field: &str, text: &str) -> Result<T, Problem> {
    text.trim().parse().map_err(|_cause| {
        Problem::for_field(field, "is no whole number in range", "use digits only")
    })
}

const fn verb_name(verb: Verb) -> &'static str {
    match verb {
        Verb::Insert => "insert",
        Verb::Update => "update",
        Verb::Delete => "delete",
    }
}

fn format_rule(rule: &Rule) -> String {
    let verbs: Vec<_> = rule.verbs.iter().map(|verb| verb_name(*verb)).collect();
    let key = match rule.key {
        KeyRule::Optional => "optional",
        KeyRule::Required => "required",
    };
    format!("{} {} {key}", rule.table, verbs.join(","))
}

fn parse_rules(text: &str) -> Result<Vec<Rule>, Problem> {
    let lines = (1..)
        .zip(text.lines())
        .filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(number, line)| {
            parse_rule(line).ok_or_else(|| {
                Problem::for_field(
                    &format!("non_idempotent line {number}"),
                    "is not: table, verbs, optional or required",
                    "write for example: orders insert,update required",
                )
            })
        })
        .collect()
}

fn parse_rule(line: &str) -> Option<Rule> {
    let mut words = line.split_whitespace();
    let table = words.next()?.to_owned();
    let verbs = words.next()?.split(',').map(|name| {
        [Verb::Insert, Verb::Update, Verb::Delete]
            .into_iter()
            .find(|verb| verb_name(*verb) == name)
    });
    let verbs = verbs.collect::<Option<_>>()?;
    let key = match words.next() {
        None | Some("optional") => KeyRule::Optional,
        Some("required") => KeyRule::Required,
        Some(_) => return None,
    };
    words.next().is_none().then_some(Rule { table, verbs, key })
}
