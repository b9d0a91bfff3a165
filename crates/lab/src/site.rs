//! The two deployments of today: their zones, hosts and addresses.

use std::{
    fmt::Write as _,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use base::Exit;

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// Name of the zone.
    pub name: &'static str,
    /// Region of the zone.
    pub region: &'static str,
    /// Entry hosts in the zone.
    pub entries: u8,
}

/// A deployment of one user.
#[derive(Debug, Clone)]
pub struct Site {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of the first zone, and of its loopback network.
    pub first: u8,
    /// Zones, in the order of their loopback networks.
    pub zones: Vec<Zone>,
    /// Services, each with one group of three databases, one in each zone.
    pub services: Vec<String>,
    /// Connections that one database accepts.
    pub connections: u32,
    /// Statements that one database runs at once.
    pub slots: u32,
    /// One-way latency between zones of a region.
    pub near: Duration,
    /// One-way latency between regions.
    pub far: Duration,
    /// Capacity of the link between regions in each direction, in bits per second.
    pub bandwidth: u64,
    /// Table and verb that the configuration marks as non-idempotent.
    pub table: &'static str,
}

/// Port of the PostgreSQL protocol on upstream hosts.
pub const UPSTREAM_PORT: u16 = 5432;
/// Port of the PostgreSQL protocol on entry hosts.
pub const CALLER_PORT: u16 = 6432;
/// Port of RPC on control hosts.
pub const CONTROL_PORT: u16 = 7000;
/// HTTP port of every process.
pub const HTTP_PORT: u16 = 8000;

/// What runs on a host; each host runs one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// An entry process, numbered within its zone.
    Entry(u8),
    /// A control process.
    Control,
    /// The database of the service with this number.
    Upstream(u8),
}

/// A host of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Host {
    /// Zone number.
    pub zone: u8,
    /// What it runs.
    pub role: Role,
}

impl Host {
    const fn number(self) -> u8 {
        match self.role {
            Role::Entry(i) => i,
            Role::Control => 31,
            Role::Upstream(i) => 61 + i,
        }
    }

    /// The host's own address.
    #[must_use]
    pub const fn ip(self) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 0, self.zone, self.number()))
    }

    /// Main port of the process.
    #[must_use]
    pub const fn port(self) -> u16 {
        match self.role {
            Role::Entry(_) => CALLER_PORT,
            Role::Control => CONTROL_PORT,
            Role::Upstream(_) => UPSTREAM_PORT,
        }
    }

    /// Address where the process listens.
    #[must_use]
    pub const fn address(self) -> SocketAddr {
        SocketAddr::new(self.ip(), self.port())
    }

    /// Address where the relay listens for connections to this host.
    #[must_use]
    pub const fn relayed(self) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 0, 100 + self.zone, self.number());
        SocketAddr::new(IpAddr::V4(ip), self.port())
    }

    /// HTTP address.
    #[must_use]
    pub const fn http(self) -> SocketAddr {
        SocketAddr::new(self.ip(), HTTP_PORT)
    }

    /// HTTP address behind the relay.
    #[must_use]
    pub const fn relayed_http(self) -> SocketAddr {
        SocketAddr::new(self.relayed().ip(), HTTP_PORT)
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

    /// Finds the deployment named on the command line of `program`, Teichwert by default.
    ///
    /// # Errors
    /// There is none of that name; the message is printed.
    pub fn chosen(program: &str, name: Option<&str>) -> Result<Self, Exit> {
        let name = name.unwrap_or("teichwert");
        Self::named(name).ok_or_else(|| {
            eprintln!("{program}: no deployment {name}; use teichwert or watchrolls");
            Exit::Usage
        })
    }

    /// Teichwert Gruppe Österreich: 7 entry hosts, 3 valuation-records services.
    #[must_use]
    pub fn teichwert() -> Self {
        Self {
            name: "teichwert",
            first: 1,
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
            near: Duration::from_micros(500),
            far: Duration::from_millis(30),
            bandwidth: 30_000_000,
            table: "appraisals",
        }
    }

    /// Ikenna & Adaeze Watch Rolls Ltd: 9 entry hosts, 3 order-books services.
    #[must_use]
    pub fn watchrolls() -> Self {
        Self {
            name: "watchrolls",
            first: 1,
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
            near: Duration::from_millis(1),
            far: Duration::from_millis(30),
            bandwidth: 30_000_000,
            table: "orders",
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
            first: 41,
            zones: vec![
                zone("north", "east"),
                zone("south", "east"),
                zone("west", "west"),
            ],
            services: vec!["filing".into()],
            far: Duration::from_millis(5),
            ..Self::teichwert()
        }
    }

    /// Zone with a number, counted from [`Site::first`].
    ///
    /// # Panics
    /// There is no such zone.
    #[must_use]
    pub fn zone(&self, number: u8) -> &Zone {
        &self.zones[usize::from(number - self.first)]
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
        self.first..self.first + self.zone_count()
    }

    /// Hosts of the databases of a service, in the order of zones.
    pub fn members(&self, service: u8) -> impl Iterator<Item = Host> + use<> {
        self.zone_numbers().map(move |zone| Host {
            zone,
            role: Role::Upstream(service),
        })
    }

    /// Zone number of a source address of this deployment.
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

    /// One-way latency and whether the narrow link is crossed, between two zones.
    #[must_use]
    pub fn path(&self, a: u8, b: u8) -> (Duration, bool) {
        if a == b {
            (Duration::ZERO, false)
        } else if self.zone(a).region == self.zone(b).region {
            (self.near, false)
        } else {
            (self.far, true)
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

    /// All upstream hosts, service by service.
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

    /// The configuration document of the deployment.
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
                self.connections, self.slots, self.table
            );
        }
        text
    }
}
