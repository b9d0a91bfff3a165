//! Settings of an entry process.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use base::{EntryName, Map, RegionName, Set, ZoneName, settings::Check};
use identity::Validity;
use serde::Deserialize;

/// Settings file of an entry process.
///
/// ```
/// use std::path::Path;
/// use entry::settings::Settings;
///
/// let text = r#"
/// name = "entry-1"
/// zone = "wien-nord"
/// region = "ostalpen"
/// host = "127.0.1.1"
/// address = "127.0.1.1:6432"
/// http = "127.0.1.1:8001"
/// control = ["127.0.1.31:7000"]
/// "#;
/// let settings: Settings = base::settings::parse(Path::new("entry.toml"), text).unwrap();
/// assert_eq!(settings.name, "entry-1");
/// ```
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this process, unique in the deployment.
    pub name: EntryName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region of the host.
    pub region: RegionName,
    /// Source address of outgoing connections.
    pub host: IpAddr,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for metrics, dump, readiness and announcements.
    pub http: SocketAddr,
    /// Address for sessions that other entry processes forward. Without it no sessions are forwarded
    /// in either direction.
    #[serde(default)]
    pub forwarding: Option<SocketAddr>,
    /// RPC addresses of all control hosts, or of some of them with `discover`.
    pub control: Vec<SocketAddr>,
    /// Whether the addresses of all control hosts are learned from those in `control`.
    #[serde(default)]
    pub discover: bool,
    /// Authentication of callers.
    #[serde(default)]
    pub auth: Auth,
    /// Memory of the host, in MB. Without it, the memory that the operating system reports.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Number of file descriptors that the process may have open. Without it, the limit of the
    /// operating system.
    #[serde(default)]
    pub descriptors: Option<u32>,
    /// Validity of the keys of organisations while no control host is reachable.
    #[serde(default)]
    pub keys: Keys,
}

/// Validity of the keys of organisations while no control host is reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Keys {
    /// Whether keys count only while a control host with a recent state was heard within
    /// `bound_ms`. Otherwise a process that is cut off keeps the keys that it knows.
    pub strict: bool,
    /// Time within which a key that was taken away stops working, in milliseconds.
    pub bound_ms: u64,
}

impl Default for Keys {
    fn default() -> Self {
        Self {
            strict: false,
            bound_ms: 5_000,
        }
    }
}

impl Keys {
    /// Shortest `bound_ms` of strict keys. Control hosts must be able to answer several times within
    /// it.
    const MIN_BOUND_MS: u64 = 1_000;

    /// For how long keys count while no control host is heard.
    #[must_use]
    pub const fn validity(&self) -> Validity {
        if self.strict {
            Validity::Within(Duration::from_millis(self.bound_ms))
        } else {
            Validity::Unbounded
        }
    }

    /// Longest time that a control host may take to answer although nothing changed, so that
    /// [`Self::validity`] holds as long as it is reachable.
    #[must_use]
    pub const fn max_watch(&self) -> Duration {
        match self.validity() {
            Validity::Unbounded => Duration::MAX,
            Validity::Within(_) => Duration::from_millis(self.bound_ms / 4),
        }
    }

    /// Checks the values. The cause of an invalid one is one sentence, and so is the fix.
    ///
    /// ```
    /// use entry::settings::Keys;
    ///
    /// assert!(Keys { strict: true, bound_ms: 5_000 }.check().is_ok());
    /// assert!(Keys { strict: true, bound_ms: 0 }.check().is_err());
    /// assert!(Keys { strict: false, bound_ms: 0 }.check().is_ok());
    /// ```
    ///
    /// # Errors
    /// Keys are strict, and the bound is too short.
    pub const fn check(&self) -> Result<(), (&'static str, &'static str)> {
        if self.strict && self.bound_ms < Self::MIN_BOUND_MS {
            return Err((
                "keys.bound_ms is too short for strict keys",
                "set it to 1000 or more, or set keys.strict = false",
            ));
        }
        Ok(())
    }
}

/// Authentication of callers.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Auth {
    /// Authentication method.
    pub method: Method,
    /// SHA-256 of the password of each user, in lower-case hexadecimal, for [`Method::Password`].
    pub users: Map<String, String>,
}

/// Authentication method.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Method {
    /// Every caller is accepted.
    #[default]
    Trust,
    /// The caller sends a password.
    Password,
}

impl Check for Settings {
    fn check(&self) -> Result<(), (String, String)> {
        let invalid = |cause: &str, fix: &str| Err((cause.to_owned(), fix.to_owned()));
        for (field, value) in [
            ("name", &self.name),
            ("zone", &self.zone),
            ("region", &self.region),
        ] {
            if value.is_empty() || value.len() > 63 {
                return invalid(
                    &format!("{field} is not 1 to 63 characters long"),
                    &format!("set {field}, for example {field} = \"a-1\""),
                );
            }
        }
        if self.address == self.http {
            return invalid(
                "address and http are the same",
                "give callers and HTTP a port each",
            );
        }
        if self.host.is_unspecified() {
            return invalid(
                "host is not the address of a host",
                "set host to the IP number from which connections start",
            );
        }
        if self.control.is_empty() || (!self.discover && self.control.len().is_multiple_of(2)) {
            return invalid(
                "control does not hold an odd number of addresses",
                "name all control hosts, 3 or 5 of them",
            );
        }
        let distinct: Set<_> = self.control.iter().collect();
        if distinct.len() != self.control.len() {
            return invalid(
                "control holds an address twice",
                "name each control host once",
            );
        }
        if self.auth.method == Method::Password && self.auth.users.is_empty() {
            return invalid(
                "auth.method is \"password\" and auth.users is empty",
                "add a user to [auth.users] or set method = \"trust\"",
            );
        }
        if self.auth.method == Method::Trust && !self.auth.users.is_empty() {
            return invalid(
                "auth.users is set and auth.method is \"trust\", so that passwords are not checked",
                "set method = \"password\" or remove [auth.users]",
            );
        }
        if let Err((cause, fix)) = self.keys.check() {
            return invalid(cause, fix);
        }
        let is_digest = |hex: &String| {
            hex.len() == 64 && hex.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
        };
        if let Some((user, _)) = self.auth.users.iter().find(|(_, hex)| !is_digest(hex)) {
            return invalid(
                &format!("auth.users.{user} is not a lower-case SHA-256"),
                "write the 64 hexadecimal digits of the password's SHA-256",
            );
        }
        Ok(())
    }
}
