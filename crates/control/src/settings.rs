//! Settings file of the daemon.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use base::{HostName, RegionName, Set, ZoneName, settings::Check};
use serde::Deserialize;

/// Settings of one control host.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name; one of the peers.
    pub name: HostName,
    /// Zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Source address of outgoing connections.
    pub host: IpAddr,
    /// RPC address for entries and control peers.
    pub address: SocketAddr,
    /// Address of metrics, dump, readiness, administration API and console.
    pub http: SocketAddr,
    /// Data directory.
    pub data: PathBuf,
    /// Every control host, this one included.
    #[serde(rename = "peer")]
    pub peers: Vec<Peer>,
    /// Administration.
    #[serde(default)]
    pub admin: Admin,
}

/// A control host.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name.
    pub name: HostName,
    /// RPC address.
    pub address: SocketAddr,
}

/// Administration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Operators that may change something.
    #[serde(default, rename = "operator")]
    pub operators: Vec<Operator>,
}

/// An operator.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name.
    pub name: String,
    /// Lower-case SHA-256 of the token.
    pub token: String,
}

fn refuse(cause: impl Into<String>, fix: &str) -> Result<(), (String, String)> {
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
                return refuse(format!("{key} is empty"), "give it a name");
            }
        }
        let names: Set<_> = self.peers.iter().map(|peer| &peer.name).collect();
        let addresses: Set<_> = self.peers.iter().map(|peer| peer.address).collect();
        if names.len() < self.peers.len() || addresses.len() < self.peers.len() {
            return refuse(
                "two peers have the same name or address",
                "list each host once",
            );
        }
        if self.peers.len().is_multiple_of(2) {
            return refuse(
                format!("there are {} peers", self.peers.len()),
                "use 3 or 5 control hosts; an even number survives no more losses",
            );
        }
        let me = self.peers.iter().find(|peer| peer.name == self.name);
        if me.is_none_or(|me| me.address != self.address) {
            return refuse(
                "this host is missing in peer, or stands there with another address",
                "add a peer with this host's name and address",
            );
        }
        if self.http == self.address {
            return refuse("http and address are the same", "use two ports");
        }
        if self.address.ip().is_unspecified() || self.host.is_unspecified() {
            return refuse("address or host is 0.0.0.0", "use the address of this host");
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
            return refuse(
                "two operators have the same name",
                "give each person an own name",
            );
        }
        for operator in &self.operators {
            let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
            if operator.name.is_empty() {
                return refuse("an operator has no name", "give each operator a name");
            }
            if operator.token.len() != 64 || !operator.token.bytes().all(hex) {
                return refuse(
                    format!(
                        "the token of operator {} is no lower-case SHA-256",
                        operator.name
                    ),
                    "write the output of: printf %s TOKEN | sha256sum",
                );
            }
        }
        Ok(())
    }
}
