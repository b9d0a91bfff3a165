//! Deployment layouts: zones, hosts and addresses.

use std::{
    fmt::Write as _,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use base::Exit;

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// Name, unique in the deployment.
    pub name: &'static str,
    /// Region that the zone belongs to.
    pub region: &'static str,
    /// Number of entry hosts in the zone.
    pub entries: u8,
}

/// Layout of the deployment of one organisation.
#[derive(Debug, Clone)]
pub struct Site {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of the first zone: the third octet of its loopback addresses.
    pub first_zone: u8,
    /// Zones; their numbers count up from `first_zone`.
    pub zones: Vec<Zone>,
    /// Services, each with one group of three databases, one in each zone.
    pub services: Vec<String>,
    /// Maximum number of connections to one database.
    pub connections: u32,
    /// Maximum number of statements that one database runs concurrently.
    pub slots: u32,
    /// One-way latency between zones of a region.
    pub zone_latency: Duration,
    /// One-way latency between regions.
    pub region_latency: Duration,
    /// Bandwidth between regions in each direction, in bits per second.
    pub bandwidth: u64,
    /// Table whose inserts the configuration marks as non-idempotent.
    pub non_idempotent_table: &'static str,
}

/// PostgreSQL port of upstream hosts.
pub const UPSTREAM_PORT: u16 = 5432;
/// PostgreSQL port of entry hosts.
pub const CALLER_PORT: u16 = 6432;
/// RPC port of control hosts.
pub const CONTROL_PORT: u16 = 7000;
/// HTTP port of every process.
pub const HTTP_PORT: u16 = 8000;

/// The one process that a host runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// An entry process, numbered within its zone.
    Entry(u8),
    /// The control process of the zone.
    Control,
    /// The database of the service with this number.
    Upstream(u8),
}

/// A host of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Host {
    /// Number of its zone.
    pub zone: u8,
    /// Process that it runs.
    pub role: Role,
}

impl Host {
    const fn address_octet(self) -> u8 {
        match self.role {
            Role::Entry(i) => i,
            Role::Control => 31,
            Role::Upstream(i) => 61 + i,
        }
    }

    /// IP address of the host.
    #[must_use]
    pub const fn ip(self) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 0, self.zone, self.address_octet()))
    }

    /// Port on which the process serves its main protocol.
    #[must_use]
    pub const fn port(self) -> u16 {
        match self.role {
            Role::Entry(_) => CALLER_PORT,
            Role::Control => CONTROL_PORT,
            Role::Upstream(_) => UPSTREAM_PORT,
        }
    }

    /// Address on which the process listens.
    #[must_use]
    pub const fn address(self) -> SocketAddr {
        SocketAddr::new(self.ip(), self.port())
    }

    /// Address on which the relay listens for connections to this host.
    #[must_use]
    pub const fn relay_address(self) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 0, 100 + self.zone, self.address_octet());
        SocketAddr::new(IpAddr::V4(ip), self.port())
    }

    /// Address on which the process serves HTTP.
    #[must_use]
    pub const fn http(self) -> SocketAddr {
        SocketAddr::new(self.ip(), HTTP_PORT)
    }

    /// Address on which the relay listens for HTTP connections to this host.
    #[must_use]
    pub const fn relay_http_address(self) -> SocketAddr {
        SocketAddr::new(self.relay_address().ip(), HTTP_PORT)
    }
}

impl Site {
    /// Finds a deployment by name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "teichwert" => Some(Self::teichwert()),
            "watchrolls" => Some(Self::watchrolls()),
            _ => None,
        }
    }

    /// Returns the deployment named on the command line of `program`, by default `teichwert`.
    ///
    /// # Errors
    /// The name is unknown; a message is printed to standard error.
    pub fn from_argument(program: &str, name: Option<&str>) -> Result<Self, Exit> {
        let name = name.unwrap_or("teichwert");
        Self::named(name).ok_or_else(|| {
            eprintln!("{program}: unknown deployment {name}; use teichwert or watchrolls");
            Exit::Usage
        })
    }

    /// Teichwert Gruppe Österreich: 7 entry hosts, 3 services for valuation records.
    #[must_use]
    pub fn teichwert() -> Self {
        Self {
            name: "teichwert",
            first_zone: 1,
            zones: vec![
                Zone {
                    name: "wien-nord",
                    region: "ostalpen",
                    entries: 3,
                },
                Zone {
                    name: "graz-sued",
                    region: "ostalpen",
                    entries: 2,
                },
                Zone {
                    name: "innsbruck-ost",
                    region: "westalpen",
                    entries: 2,
                },
            ],
            services: (1..=3).map(|i| format!("valuation-{i}")).collect(),
            connections: 16,
            slots: 2,
            zone_latency: Duration::from_micros(500),
            region_latency: Duration::from_millis(30),
            bandwidth: 30_000_000,
            non_idempotent_table: "appraisals",
        }
    }

    /// Ikenna & Adaeze Watch Rolls Ltd: 9 entry hosts, 3 services for order books.
    #[must_use]
    pub fn watchrolls() -> Self {
        Self {
            name: "watchrolls",
            first_zone: 1,
            zones: vec![
                Zone {
                    name: "onitsha-yard",
                    region: "south-east",
                    entries: 3,
                },
                Zone {
                    name: "aba-depot",
                    region: "south-east",
                    entries: 3,
                },
                Zone {
                    name: "ikeja-rack",
                    region: "south-west",
                    entries: 3,
                },
            ],
            services: (1..=3).map(|i| format!("orders-{i}")).collect(),
            connections: 30,
            slots: 2,
            zone_latency: Duration::from_millis(1),
            region_latency: Duration::from_millis(30),
            bandwidth: 30_000_000,
            non_idempotent_table: "orders",
        }
    }

    /// Three zones in two regions with one entry and one control host each, and one service, on
    /// loopback networks that the other deployments do not use.
    #[must_use]
    pub fn small() -> Self {
        let zone = |name, region| Zone {
            name,
            region,
            entries: 1,
        };
        Self {
            name: "small",
            first_zone: 41,
            zones: vec![
                zone("north", "east"),
                zone("south", "east"),
                zone("west", "west"),
            ],
            services: vec!["filing".into()],
            region_latency: Duration::from_millis(5),
            ..Self::teichwert()
        }
    }

    /// Returns the zone with a number, counted from [`Site::first_zone`].
    ///
    /// # Panics
    /// There is no such zone.
    #[must_use]
    pub fn zone(&self, number: u8) -> &Zone {
        &self.zones[usize::from(number - self.first_zone)]
    }

    /// Number of zones.
    #[must_use]
    pub fn zone_count(&self) -> u8 {
        u8::try_from(self.zones.len()).unwrap_or(u8::MAX)
    }

    /// Number of services.
    #[must_use]
    pub fn service_count(&self) -> u8 {
        u8::try_from(self.services.len()).unwrap_or(u8::MAX)
    }

    /// Numbers of all zones.
    pub fn zone_numbers(&self) -> impl Iterator<Item = u8> + use<> {
        self.first_zone..self.first_zone + self.zone_count()
    }

    /// Database hosts of a service, in the order of zones.
    pub fn members(&self, service: u8) -> impl Iterator<Item = Host> + use<> {
        self.zone_numbers().map(move |zone| Host {
            zone,
            role: Role::Upstream(service),
        })
    }

    /// Number of the zone that an address belongs to, or `None` outside this deployment.
    #[must_use]
    pub fn zone_of(&self, ip: IpAddr) -> Option<u8> {
        match ip {
            IpAddr::V4(ip) => {
                let zone = ip.octets()[2];
                self.zone_numbers()
                    .any(|number| number == zone)
                    .then_some(zone)
            }
            IpAddr::V6(_) => None,
        }
    }

    /// One-way latency between two zones, and whether traffic uses the bandwidth-limited link
    /// between regions.
    #[must_use]
    pub fn path(&self, a: u8, b: u8) -> (Duration, bool) {
        if a == b {
            (Duration::ZERO, false)
        } else if self.zone(a).region == self.zone(b).region {
            (self.zone_latency, false)
        } else {
            (self.region_latency, true)
        }
    }

    /// All entry hosts.
    #[must_use]
    pub fn entries(&self) -> Vec<Host> {
        self.zone_numbers()
            .flat_map(|zone| {
                (1..=self.zone(zone).entries).map(move |i| Host {
                    zone,
                    role: Role::Entry(i),
                })
            })
            .collect()
    }

    /// All control hosts, one in each zone.
    #[must_use]
    pub fn controls(&self) -> Vec<Host> {
        self.zone_numbers()
            .map(|zone| Host {
                zone,
                role: Role::Control,
            })
            .collect()
    }

    /// All upstream hosts, ordered by service.
    #[must_use]
    pub fn upstreams(&self) -> Vec<Host> {
        (0..self.service_count())
            .flat_map(|service| self.members(service))
            .collect()
    }

    /// Name of a process, unique in the deployment.
    #[must_use]
    pub fn process_name(&self, host: Host) -> String {
        let zone = self.zone(host.zone).name;
        match host.role {
            Role::Entry(i) => format!("entry-{zone}-{i}"),
            Role::Control => format!("control-{zone}"),
            Role::Upstream(i) => format!("{}-{zone}", self.services[usize::from(i)]),
        }
    }

    /// Generates the configuration document of the deployment.
    #[must_use]
    pub fn document(&self) -> String {
        let mut text = String::from("[entries]\nmax = 9\n");
        for service in &self.services {
            let _infallible = write!(
                text,
                "\n[[service]]\nname = \"{service}\"\ngroup = \"{service}\"\ndatabases = 3\n\
                 confirmations = 2\nconnections = {}\nslots = {}\n\n\
                 [[service.non_idempotent]]\ntable = \"{}\"\nverbs = [\"insert\"]\n\
                 key = \"required\"\n",
                self.connections, self.slots, self.non_idempotent_table
            );
        }
        text
    }
}
