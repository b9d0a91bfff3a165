//! Settings file of the daemon.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use base::{HostName, RegionName, Set, ZoneName, rates::Rates, settings::Check};
use serde::Deserialize;

/// Settings of one control host.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name; must be that of one of the peers.
    pub name: HostName,
    /// Availability zone that the host runs in.
    pub zone: ZoneName,
    /// Region that the host runs in.
    pub region: RegionName,
    /// Source address of outgoing connections.
    pub host: IpAddr,
    /// RPC address for entry processes and other control hosts.
    pub address: SocketAddr,
    /// HTTP address of metrics, dump, readiness check, administration API and console.
    pub http: SocketAddr,
    /// Directory that holds the replicated log.
    pub data: PathBuf,
    /// All control hosts, including this one.
    #[serde(rename = "peer")]
    pub peers: Vec<Peer>,
    /// Administration settings.
    #[serde(default)]
    pub admin: Admin,
    /// Enforcement of the organisations' rate limits; as in the settings of the entry processes.
    #[serde(default)]
    pub rates: Rates,
    /// Memory of the host, in MB. Without it, the memory that the operating system reports.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Number of file descriptors that the process may have open. Without it, the limit of the
    /// operating system.
    #[serde(default)]
    pub descriptors: Option<u32>,
}

/// Name and address of a control host.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the control host.
    pub name: HostName,
    /// RPC address.
    pub address: SocketAddr,
}

/// Administration settings.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Operators that are allowed to make changes.
    #[serde(default, rename = "operator")]
    pub operators: Vec<Operator>,
}

/// An operator and its token.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name that the operator's changes are recorded under.
    pub name: String,
    /// SHA-256 of the token in lower-case hexadecimal.
    pub token: String,
}

fn invalid(cause: impl Into<String>, fix: &str) -> Result<(), (String, String)> {
    Err((cause.into(), fix.to_owned()))
}

impl Check for Settings {
    fn check(&self) -> Result<(), (String, String)> {
        for (key, value) in [
            ("name", &self.name),
            ("zone", &self.zone),
            ("region", &self.region),
        ] {
            if value.is_empty() {
                return invalid(format!("{key} is empty"), "set it to a name");
            }
        }
        let names: Set<_> = self.peers.iter().map(|peer| &peer.name).collect();
        let addresses: Set<_> = self.peers.iter().map(|peer| peer.address).collect();
        if names.len() < self.peers.len() || addresses.len() < self.peers.len() {
            return invalid(
                "two peers have the same name or address",
                "list each host once",
            );
        }
        if self.peers.len().is_multiple_of(2) {
            return invalid(
                format!("there are {} peers", self.peers.len()),
                "use 3 or 5 control hosts; an even number tolerates no more failures",
            );
        }
        let me = self.peers.iter().find(|peer| peer.name == self.name);
        if me.is_none_or(|me| me.address != self.address) {
            return invalid(
                "no peer has the name and address of this host",
                "add a peer with this host's name and address",
            );
        }
        if self.http == self.address {
            return invalid("http and address are the same", "use two ports");
        }
        if self.address.ip().is_unspecified() || self.host.is_unspecified() {
            return invalid("address or host is 0.0.0.0", "use the address of this host");
        }
        if let Err((cause, fix)) = self.rates.check() {
            return invalid(cause, fix);
        }
        self.admin.check()
    }
}

impl Admin {
    fn check(&self) -> Result<(), (String, String)> {
        let names: Set<_> = self
            .operators
            .iter()
            .map(|operator| &operator.name)
            .collect();
        if names.len() < self.operators.len() {
            return invalid(
                "two operators have the same name",
                "give each operator a unique name",
            );
        }
        for operator in &self.operators {
            let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
            if operator.name.is_empty() {
                return invalid("an operator has no name", "give each operator a name");
            }
            if operator.token.len() != 64 || !operator.token.bytes().all(hex) {
                return invalid(
                    format!(
                        "the token of operator {} is not a lower-case hexadecimal SHA-256",
                        operator.name
                    ),
                    "write the output of: printf %s TOKEN | sha256sum",
                );
            }
        }
        Ok(())
    }
}
