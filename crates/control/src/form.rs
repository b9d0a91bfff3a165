//! The service form of the console and its place in the document.

use base::document::{Document, Freshness, KeyRule, Limits, Rule, Service, Verb};
use serde::Deserialize;

use crate::problem::Problem;

/// Fields of the service form as the browser sends them.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct ServiceForm {
    /// Name of the service that is changed; empty for a new one.
    pub original: String,
    /// Name.
    pub name: String,
    /// Group.
    pub group: String,
    /// Databases of the group.
    pub databases: String,
    /// Members that must hold a write.
    pub confirmations: String,
    /// Connections that one database accepts.
    pub connections: String,
    /// Statements that one database runs at once.
    pub slots: String,
    /// Greatest age of a read, in milliseconds.
    pub max_age_ms: String,
    /// Wait for a replica, in milliseconds.
    pub wait_ms: String,
    /// Requests that may wait.
    pub queue: String,
    /// Default deadline, in milliseconds.
    pub deadline_ms: String,
    /// Longest message, in bytes.
    pub message_bytes: String,
    /// Life of a key, in hours.
    pub key_hours: String,
    /// Non-idempotent rules, one a line: table, verbs, `required` or `optional`.
    pub rules: String,
    /// Version that the form shows.
    pub base: String,
    /// Change id, made with the form, so that sending it twice changes once.
    pub change: String,
    /// Why.
    pub reason: String,
    /// Token of the session.
    pub form: String,
}

impl ServiceForm {
    /// Form of an existing service.
    #[must_use]
    pub fn from_service(service: &Service) -> Self {
        let rules = service
            .non_idempotent
            .iter()
            .map(|rule| format!("{}\n", line(rule)));
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

    /// Form of a new service with the defaults of the document.
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

    /// Text of `document` with this service put into it.
    ///
    /// The text is written anew, so that comments of the old one are not kept.
    ///
    /// # Errors
    /// A field is no number or no rule, or the document is invalid with it.
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

    /// Service of the fields; what the form does not show stays as it was.
    fn service(&self, old: Option<&Service>) -> Result<Service, Problem> {
        Ok(Service {
            name: self.name.trim().to_owned(),
            group: self.group.trim().to_owned(),
            databases: number("databases", &self.databases)?,
            confirmations: number("confirmations", &self.confirmations)?,
            synchronous: old.is_some_and(|old| old.synchronous),
            connections: number("connections", &self.connections)?,
            slots: number("slots", &self.slots)?,
            freshness: Freshness {
                max_age_ms: number("freshness.max_age_ms", &self.max_age_ms)?,
                wait_ms: number("freshness.wait_ms", &self.wait_ms)?,
            },
            limits: Limits {
                queue: number("limits.queue", &self.queue)?,
                deadline_ms: number("limits.deadline_ms", &self.deadline_ms)?,
                message_bytes: number("limits.message_bytes", &self.message_bytes)?,
                key_hours: number("limits.key_hours", &self.key_hours)?,
                idle_ms: old.map_or_else(|| Limits::default().idle_ms, |old| old.limits.idle_ms),
            },
            non_idempotent: rules(&self.rules)?,
        })
    }
}

fn number<T: std::str::FromStr>(field: &str, text: &str) -> Result<T, Problem> {
    text.trim().parse().map_err(|_cause| {
        Problem::for_field(field, "is no whole number in range", "use digits only")
    })
}

const fn word(verb: Verb) -> &'static str {
    match verb {
        Verb::Insert => "insert",
        Verb::Update => "update",
        Verb::Delete => "delete",
    }
}

fn line(rule: &Rule) -> String {
    let verbs: Vec<_> = rule.verbs.iter().map(|verb| word(*verb)).collect();
    let key = match rule.key {
        KeyRule::Optional => "optional",
        KeyRule::Required => "required",
    };
    format!("{} {} {key}", rule.table, verbs.join(","))
}

fn rules(text: &str) -> Result<Vec<Rule>, Problem> {
    let lines = (1..)
        .zip(text.lines())
        .filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(number, line)| {
            rule(line).ok_or_else(|| {
                Problem::for_field(
                    &format!("non_idempotent line {number}"),
                    "is not: table, verbs, optional or required",
                    "write for example: orders insert,update required",
                )
            })
        })
        .collect()
}

fn rule(line: &str) -> Option<Rule> {
    let mut words = line.split_whitespace();
    let table = words.next()?.to_owned();
    let verbs = words.next()?.split(',').map(|name| {
        [Verb::Insert, Verb::Update, Verb::Delete]
            .into_iter()
            .find(|verb| word(*verb) == name)
    });
    let verbs = verbs.collect::<Option<_>>()?;
    let key = match words.next() {
        None | Some("optional") => KeyRule::Optional,
        Some("required") => KeyRule::Required,
        Some(_) => return None,
    };
    words.next().is_none().then_some(Rule { table, verbs, key })
}
