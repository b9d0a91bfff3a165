//! The configuration document: services, routes and limits as set by the operators.

use std::fmt::{self, Write as _};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{GroupName, RouteName, ServiceName, Set, name::is_word, organisation::Organisation};

/// Whole configuration, written as TOML.
///
/// ```
/// use base::document::Document;
///
/// let text = "[entries]\nmax = 9\n[[service]]\nname = \"orders\"\ngroup = \"orders\"\n";
/// let document = Document::parse(text).unwrap();
/// assert_eq!(document.service("orders").unwrap().confirmations, 2);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Limits on the number of entry processes.
    #[serde(default)]
    pub entries: Entries,
    /// Services that callers can reach.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Further database names of a service, each with its own consistency, deadlines and priority.
    #[serde(default, rename = "route")]
    pub routes: Vec<Route>,
    /// Organisations that callers belong to. Without any, callers need no key; with an empty list,
    /// only public routes are served.
    #[serde(
        default,
        rename = "organisation",
        skip_serializing_if = "Option::is_none"
    )]
    pub organisations: Option<Vec<Organisation>>,
}

/// A database name that leads to a service, with the consistency, deadline and priority of the
/// requests that use it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name that callers give as the database name.
    pub name: RouteName,
    /// Service that runs the requests.
    pub service: ServiceName,
    /// Consistency of reads.
    #[serde(default)]
    pub reads: ReadConsistency,
    /// Maximum staleness of a read, in milliseconds; used by `bounded` and `session`.
    #[serde(default)]
    pub age_ms: u64,
    /// Deadline of one statement, in milliseconds.
    pub deadline_ms: u64,
    /// Latency objective of an operation, in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Whether callers need no key although there are organisations.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// Consistency of the reads of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReadConsistency {
    /// A read sees every write that was acknowledged before it.
    #[default]
    Latest,
    /// A read sees every write that was acknowledged more than `age_ms` before it.
    Bounded,
    /// As `Bounded`; a read also sees every earlier write of its own session.
    Session,
}

/// Limits on the number of entry processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Entries {
    /// Maximum number of entry processes that run at once. The connection limit of each database
    /// is divided by it into base shares.
    pub max: u32,
}

impl Default for Entries {
    fn default() -> Self {
        Self { max: 9 }
    }
}

/// A service: a named group of databases with its replication settings and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name that callers give as the database name.
    pub name: ServiceName,
    /// Group that serves it.
    pub group: GroupName,
    /// Number of databases in the group. It is 0 when they join and leave by announcing themselves,
    /// and when the group has a primary before it is configured.
    #[serde(default = "three")]
    pub databases: u32,
    /// Number of members, including the primary, that must store a write before it is acknowledged.
    #[serde(default = "two")]
    pub confirmations: u32,
    /// Whether the primary itself acknowledges a commit only after `confirmations` members stored
    /// it.
    #[serde(default)]
    pub synchronous: bool,
    /// Maximum number of connections to one database.
    #[serde(default = "sixteen")]
    pub connections: u32,
    /// Maximum number of statements that one database runs concurrently.
    #[serde(default = "two")]
    pub slots: u32,
    /// Limits on the staleness of replica reads.
    #[serde(default)]
    pub freshness: Freshness,
    /// Queue and deadline limits.
    #[serde(default)]
    pub limits: Limits,
    /// Rules that mark requests which must not run twice.
    #[serde(default)]
    pub non_idempotent: Vec<Rule>,
}

const fn two() -> u32 {
    2
}

const fn three() -> u32 {
    3
}

const fn sixteen() -> u32 {
    16
}

/// Limits on the staleness of replica reads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Freshness {
    /// Maximum `goldcrestrail.max_age` that a caller may set, in milliseconds.
    pub max_age_ms: u64,
    /// How long a read waits for a replica to catch up before it tries the next one, in
    /// milliseconds.
    pub wait_ms: u64,
}

impl Default for Freshness {
    fn default() -> Self {
        Self {
            max_age_ms: 60_000,
            wait_ms: 500,
        }
    }
}

/// Queue and deadline limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of requests that wait for one database in one entry process.
    pub queue: u32,
    /// Deadline of a request whose caller sets none, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum size of a message from a caller, in bytes.
    pub message_bytes: u32,
    /// How long the record of an idempotency key is kept, in hours.
    pub key_hours: u32,
    /// Time after which a transaction that waits for its caller is ended, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue: 1_000,
            deadline_ms: 30_000,
            message_bytes: 16 << 20,
            key_hours: 24,
            idle_ms: 60_000,
        }
    }
}

/// Rule that marks statements on a table as non-idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Table name without schema.
    pub table: String,
    /// Kinds of statement that the rule covers.
    pub verbs: Vec<Verb>,
    /// Whether the caller must give an idempotency key.
    #[serde(default)]
    pub key: KeyRule,
}

/// Kind of a statement that changes rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verb {
    /// INSERT.
    Insert,
    /// UPDATE.
    Update,
    /// DELETE.
    Delete,
}

/// Whether a non-idempotent request needs an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyRule {
    /// A key is used when given.
    #[default]
    Optional,
    /// A request without a key is rejected without being run.
    Required,
}

/// Validation error of one field of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InvalidField {
    /// Path of the field, for example `service[1].slots`; `document` if the text can't be parsed.
    pub field: String,
    /// What is wrong.
    pub cause: String,
    /// How to fix it.
    #[serde(rename = "mend")]
    pub fix: String,
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.field, self.cause, self.fix)
    }
}

impl std::error::Error for InvalidField {}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    /// Returns the first invalid field.
    pub fn parse(text: &str) -> Result<Self, InvalidField> {
        let document: Self = toml::from_str(text).map_err(|cause| InvalidField {
            field: "document".into(),
            cause: cause.to_string(),
            fix: "correct the line named above".into(),
        })?;
        document.check()?;
        Ok(document)
    }

    /// Validates all values and their combinations.
    ///
    /// # Errors
    /// Returns the first invalid field.
    pub fn check(&self) -> Result<(), InvalidField> {
        if self.entries.max == 0 {
            return Err(invalid(
                "entries.max",
                "is 0",
                "set the number of entry hosts",
            ));
        }
        let mut names = Set::default();
        let mut groups = Set::default();
        for (i, service) in self.services.iter().enumerate() {
            service.check(i, self.entries.max)?;
            if !names.insert(&service.name) {
                return Err(invalid(
                    &format!("service[{i}].name"),
                    "is used twice",
                    "give each service its own name",
                ));
            }
            if !groups.insert(&service.group) {
                return Err(invalid(
                    &format!("service[{i}].group"),
                    "belongs to another service already",
                    "give each service its own group",
                ));
            }
        }
        self.check_routes()?;
        self.check_organisations()
    }

    fn check_organisations(&self) -> Result<(), InvalidField> {
        let mut names = Set::default();
        let mut keys = Set::default();
        for (i, organisation) in self.organisations.iter().flatten().enumerate() {
            let field = |name: &str| format!("organisation[{i}].{name}");
            let name = &organisation.name;
            if !is_word(name, usize::MAX) {
                return Err(invalid(
                    &field("name"),
                    "is empty or has blanks or control characters, which no database accepts",
                    "give the organisation a name of one word",
                ));
            }
            if !names.insert(name) {
                return Err(invalid(
                    &field("name"),
                    "is used twice",
                    "give each organisation its own name",
                ));
            }
            for key in organisation.keys.iter().collect::<Set<_>>() {
                if !keys.insert(key) {
                    return Err(invalid(
                        &field("keys"),
                        "has a key of another organisation",
                        "give each organisation its own keys",
                    ));
                }
            }
        }
        Ok(())
    }

    fn check_routes(&self) -> Result<(), InvalidField> {
        let services: Set<_> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut names = Set::default();
        for (i, route) in self.routes.iter().enumerate() {
            let field = |name: &str| format!("route[{i}].{name}");
            if route.name.is_empty() || !names.insert(&route.name) {
                return Err(invalid(
                    &field("name"),
                    "is empty or used twice",
                    "give each route its own name",
                ));
            }
            if !services.contains(route.service.as_str()) {
                return Err(invalid(
                    &field("service"),
                    "is no service",
                    "name a service of this document",
                ));
            }
            if route.deadline_ms == 0 {
                return Err(invalid(
                    &field("deadline_ms"),
                    "is 0",
                    "allow the time of a statement",
                ));
            }
        }
        Ok(())
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Service {
    fn check(&self, i: usize, max_entries: u32) -> Result<(), InvalidField> {
        let field = |name: &str| format!("service[{i}].{name}");
        if !is_valid_name(&self.name) {
            return Err(invalid(&field("name"), NAME_CAUSE, NAME_FIX));
        }
        if !is_valid_name(&self.group) {
            return Err(invalid(&field("group"), NAME_CAUSE, NAME_FIX));
        }
        let databases = match self.databases {
            0 => u32::MAX,
            databases => databases,
        };
        if self.confirmations == 0 || self.confirmations > databases {
            return Err(invalid(
                &field("confirmations"),
                "is not between 1 and databases",
                "use a majority of databases, for example 2 of 3",
            ));
        }
        if self.databases > 1 && self.confirmations < 2 && !self.synchronous {
            return Err(invalid(
                &field("confirmations"),
                "is 1 with several databases, so that the loss of one host loses writes",
                "use at least 2",
            ));
        }
        if self.connections < max_entries {
            return Err(invalid(
                &field("connections"),
                "is less than entries.max, so that some entry process could hold none",
                "raise connections or lower entries.max",
            ));
        }
        if self.slots == 0 {
            return Err(invalid(&field("slots"), "is 0", "use at least 1"));
        }
        if self.limits.queue == 0 {
            return Err(invalid(&field("limits.queue"), "is 0", "use at least 1"));
        }
        if self.limits.deadline_ms < 100 {
            return Err(invalid(
                &field("limits.deadline_ms"),
                "is under 100 ms, less than one round trip between regions with its work",
                "use at least 100",
            ));
        }
        if self.limits.key_hours == 0 {
            return Err(invalid(
                &field("limits.key_hours"),
                "is 0",
                "use at least 1",
            ));
        }
        Ok(())
    }
}

const NAME_CAUSE: &str = "is not a name of 1 to 63 lower-case letters, digits, - or _";
const NAME_FIX: &str = "use for example orders-1";

fn is_valid_name(text: &str) -> bool {
    (1..=63).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_')
}

fn invalid(field: &str, cause: &str, fix: &str) -> InvalidField {
    InvalidField {
        field: field.into(),
        cause: cause.into(),
        fix: fix.into(),
    }
}

/// SHA-256 of a document's bytes in lower-case hexadecimal.
///
/// ```
/// assert!(base::document::digest("").starts_with("e3b0c44298fc1c14"));
/// ```
#[must_use]
pub fn digest(text: &str) -> String {
    digest_bytes(text.as_bytes())
}

/// SHA-256 of bytes in lower-case hexadecimal.
///
/// ```
/// assert!(base::document::digest_bytes(b"").starts_with("e3b0c44298fc1c14"));
/// ```
#[must_use]
pub fn digest_bytes(bytes: &[u8]) -> String {
    Sha256::digest(bytes)
        .iter()
        .fold(String::new(), |mut hex, byte| {
            let _infallible = write!(hex, "{byte:02x}");
            hex
        })
}
