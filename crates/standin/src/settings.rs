//! Settings of a stand-in process.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use base::settings::Check;
use serde::Deserialize;

/// Settings file of `standin`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this database within its group.
    pub member: String,
    /// Name of its group, which is also the database name of data connections.
    pub group: String,
    /// Availability zone, as announced.
    pub zone: String,
    /// Region, as announced.
    pub region: String,
    /// Source address of outgoing connections.
    pub host: IpAddr,
    /// Listen address for the PostgreSQL protocol.
    pub address: SocketAddr,
    /// Address announced to entry hosts.
    pub advertise: SocketAddr,
    /// Listen address for HTTP.
    pub http: SocketAddr,
    /// Folder of the log file.
    pub data: PathBuf,
    /// Maximum number of data connections.
    pub connections: u32,
    /// Maximum number of concurrent statements.
    pub slots: u32,
    /// Simulated duration of a login, in milliseconds.
    #[serde(default)]
    pub connect_ms: u64,
    /// Simulated execution time of a statement, in microseconds.
    #[serde(default)]
    pub statement_us: u64,
    /// Simulated replication lag, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// HTTP addresses of entry hosts, announced to in turn.
    #[serde(default)]
    pub announce: Vec<SocketAddr>,
}

impl Check for Settings {
    fn check(&self) -> Result<(), (String, String)> {
        let wrong = |cause: &str, fix: &str| Err((cause.to_owned(), fix.to_owned()));
        if self.member.is_empty() || self.group.is_empty() {
            return wrong("member or group is empty", "name both");
        }
        if self.connections == 0 {
            return wrong("connections is 0", "accept at least one connection");
        }
        if self.slots == 0 {
            return wrong("slots is 0", "run at least one statement at once");
        }
        if self.address == self.http && self.address.port() != 0 {
            return wrong("address and http are the same", "use another port for http");
        }
        Ok(())
    }
}
