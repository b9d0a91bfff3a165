//! A complete deployment of the product, as local processes on loopback addresses.

use std::{
    fmt::Write as _,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use base::Map;

use crate::{
    admin::{Admin, TOKEN, get_status},
    error::{Context, LabError},
    process::{Process, ProcessSpec},
    site::{Host, Role, Site},
    usage::{Usage, usage},
};

/// Timeout for a process or group to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(35);

/// Options of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentOptions {
    /// Folder that contains the programs.
    pub programs: PathBuf,
    /// Folder for settings, data and logs; emptied on start.
    pub folder: PathBuf,
    /// Whether traffic between hosts passes through the relay.
    pub relayed: bool,
    /// Delay before a replica applies received changes, in milliseconds.
    pub lag_ms: u64,
    /// Execution time of a statement at the stand-in database, in microseconds.
    pub statement_us: u64,
}

/// A running deployment; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// Layout of the deployment.
    pub site: Site,
    options: DeploymentOptions,
    processes: Map<Host, Process>,
}

impl Deployment {
    /// Starts all processes, submits the configuration and waits for a primary in every group.
    ///
    /// # Errors
    /// A process can't be started or isn't ready in time.
    pub fn start(site: Site, options: DeploymentOptions) -> Result<Self, LabError> {
        if options.folder.exists() {
            fs::remove_dir_all(&options.folder).context(options.folder.display())?;
        }
        fs::create_dir_all(&options.folder).context(options.folder.display())?;
        let mut deployment = Self {
            site,
            options,
            processes: Map::default(),
        };
        for host in deployment.hosts() {
            deployment.write_settings(host)?;
        }
        for host in deployment.site.controls() {
            deployment.format(host)?;
        }
        for host in deployment.hosts() {
            let process = Process::start(deployment.process_spec(host))?;
            deployment.processes.insert(host, process);
        }
        for host in deployment.hosts() {
            deployment.wait_alive(host)?;
        }
        deployment
            .admin()
            .submit(&deployment.site.document(), READY_TIMEOUT)?;
        deployment.wait_primaries(READY_TIMEOUT)?;
        for host in deployment.site.entries() {
            deployment.wait_ready(host)?;
        }
        Ok(deployment)
    }

    /// All hosts: control, then entry, then upstream hosts.
    #[must_use]
    pub fn hosts(&self) -> Vec<Host> {
        let mut hosts = self.site.controls();
        hosts.extend(self.site.entries());
        hosts.extend(self.site.upstreams());
        hosts
    }

    /// Returns a client of the administration API.
    #[must_use]
    pub fn admin(&self) -> Admin {
        Admin::new(
            self.site
                .controls()
                .iter()
                .map(|host| host.http())
                .collect(),
        )
    }

    /// Returns the process of a host.
    ///
    /// # Panics
    /// The host is not part of this deployment.
    pub fn process(&mut self, host: Host) -> &mut Process {
        self.processes
            .get_mut(&host)
            .expect("the host is part of this deployment")
    }

    /// Processor time and memory of a host's process.
    ///
    /// # Errors
    /// The process isn't running.
    pub fn usage(&self, host: Host) -> Result<Usage, LabError> {
        let id = self.processes.get(&host).and_then(Process::id);
        usage(id.ok_or_else(|| LabError::NotReady(self.site.process_name(host)))?)
    }

    /// Data folder of a host.
    #[must_use]
    pub fn data_folder(&self, host: Host) -> PathBuf {
        self.options.folder.join(self.site.process_name(host))
    }

    /// Kills a host's process and deletes its data.
    ///
    /// # Errors
    /// The data can't be deleted.
    pub fn lose_disk(&mut self, host: Host) -> Result<(), LabError> {
        self.process(host).kill();
        let data = self.data_folder(host);
        if data.exists() {
            fs::remove_dir_all(&data).context(data.display())?;
        }
        fs::create_dir_all(&data).context(data.display())
    }

    /// Host of the current primary of a service, according to control; `None` unless the group is
    /// stable.
    ///
    /// # Errors
    /// No control host answers.
    pub fn primary(&self, service: u8) -> Result<Option<Host>, LabError> {
        self.primary_known_to(&self.admin(), service)
    }

    /// Like [`Deployment::primary`], according to the control hosts of `admin`.
    ///
    /// # Errors
    /// None of them answers.
    pub fn primary_known_to(&self, admin: &Admin, service: u8) -> Result<Option<Host>, LabError> {
        let status = admin.status()?;
        let name = &self.site.services[usize::from(service)];
        let group = status["groups"]
            .as_array()
            .and_then(|groups| groups.iter().find(|group| group["group"] == name.as_str()));
        let Some(group) = group else { return Ok(None) };
        if group["state"].as_str() != Some("stable") {
            return Ok(None);
        }
        let primary = group["primary"].as_str().unwrap_or_default();
        Ok(self
            .site
            .zone_numbers()
            .map(|zone| Host {
                zone,
                role: Role::Upstream(service),
            })
            .find(|&host| self.site.process_name(host) == primary))
    }

    /// Waits until every service has a stable primary.
    ///
    /// # Errors
    /// A service has none after `limit`.
    pub fn wait_primaries(&self, limit: Duration) -> Result<(), LabError> {
        let end = Instant::now() + limit;
        for service in 0..self.site.service_count() {
            while !matches!(self.primary(service), Ok(Some(_))) {
                if Instant::now() > end {
                    let name = &self.site.services[usize::from(service)];
                    return Err(LabError::NotReady(format!("primary of {name}")));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Shuts every process down gracefully: entries, then upstreams, then control.
    ///
    /// Returns the names of processes that failed or had to be killed after a timeout.
    pub fn stop(&mut self) -> Vec<String> {
        let mut failed = Vec::new();
        let stages = [
            self.site.entries(),
            self.site.upstreams(),
            self.site.controls(),
        ];
        for stage in stages {
            for &host in &stage {
                self.process(host).terminate();
            }
            for &host in &stage {
                let process = self.process(host);
                if process.id().is_some() && process.wait(SHUTDOWN_TIMEOUT) != Some(0) {
                    failed.push(process.name().to_owned());
                    process.kill();
                }
            }
        }
        failed
    }

    /// Waits until a process answers HTTP requests.
    ///
    /// # Errors
    /// It doesn't before the timeout.
    pub fn wait_alive(&self, host: Host) -> Result<(), LabError> {
        self.wait_http_ok(host, "/metrics")
    }

    /// Waits until a process reports that it is ready.
    ///
    /// # Errors
    /// It doesn't before the timeout.
    pub fn wait_ready(&self, host: Host) -> Result<(), LabError> {
        self.wait_http_ok(host, "/ready")
    }

    fn wait_http_ok(&self, host: Host, path: &str) -> Result<(), LabError> {
        let end = Instant::now() + READY_TIMEOUT;
        while get_status(host.http(), path) != Some(200) {
            if Instant::now() > end {
                return Err(LabError::NotReady(self.site.process_name(host)));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn settings_path(&self, host: Host) -> PathBuf {
        self.options
            .folder
            .join(format!("{}.toml", self.site.process_name(host)))
    }

    fn process_spec(&self, host: Host) -> ProcessSpec {
        let program = match host.role {
            Role::Entry(_) => "entry",
            Role::Control => "control",
            Role::Upstream(_) => "standin",
        };
        let name = self.site.process_name(host);
        ProcessSpec {
            program: self.options.programs.join(program),
            arguments: vec!["--settings".into(), path_text(&self.settings_path(host))],
            log: self.options.folder.join(format!("{name}.log")),
            name,
        }
    }

    fn format(&self, host: Host) -> Result<(), LabError> {
        let mut spec = self.process_spec(host);
        spec.arguments.push("--format".into());
        let mut process = Process::start(spec)?;
        match process.wait(READY_TIMEOUT) {
            Some(0) => Ok(()),
            _ => Err(LabError::NotReady(format!("{} --format", process.name()))),
        }
    }

    /// Address at which other hosts reach this one: directly or through the relay.
    #[must_use]
    pub fn advertised_address(&self, host: Host) -> SocketAddr {
        if self.options.relayed {
            host.relay_address()
        } else {
            host.address()
        }
    }

    fn advertised_http_address(&self, host: Host) -> SocketAddr {
        if self.options.relayed {
            host.relay_http_address()
        } else {
            host.http()
        }
    }

    fn write_settings(&self, host: Host) -> Result<(), LabError> {
        let text = match host.role {
            Role::Entry(_) => self.entry_settings(host),
            Role::Control => self.control_settings(host),
            Role::Upstream(service) => self.upstream_settings(host, service),
        };
        let path = self.settings_path(host);
        fs::create_dir_all(self.data_folder(host)).context(path.display())?;
        fs::write(&path, text).context(path.display())
    }

    fn location_settings(&self, host: Host) -> String {
        let zone = self.site.zone(host.zone);
        format!(
            "zone = \"{}\"\nregion = \"{}\"\nhost = \"{}\"\naddress = \"{}\"\nhttp = \"{}\"\n",
            zone.name,
            zone.region,
            host.ip(),
            host.address(),
            host.http()
        )
    }

    fn entry_settings(&self, host: Host) -> String {
        let control: Vec<String> = self
            .site
            .controls()
            .into_iter()
            .map(|control| format!("\"{}\"", self.advertised_address(control)))
            .collect();
        format!(
            "name = \"{}\"\n{}control = [{}]\n[auth]\nmethod = \"trust\"\n",
            self.site.process_name(host),
            self.location_settings(host),
            control.join(", ")
        )
    }

    fn control_settings(&self, host: Host) -> String {
        let mut text = format!(
            "name = \"{}\"\n{}data = \"{}\"\n",
            self.site.process_name(host),
            self.location_settings(host),
            path_text(&self.data_folder(host))
        );
        for peer in self.site.controls() {
            let address = if peer == host {
                host.address()
            } else {
                self.advertised_address(peer)
            };
            let _infallible = write!(
                text,
                "[[peer]]\nname = \"{}\"\naddress = \"{address}\"\n",
                self.site.process_name(peer),
            );
        }
        let token = base::document::digest(TOKEN);
        text + &format!("[admin]\n[[admin.operator]]\nname = \"lab\"\ntoken = \"{token}\"\n")
    }

    fn upstream_settings(&self, host: Host, service: u8) -> String {
        // Announcements go to the entry hosts of the database's own zone, or to all others if the
        // zone has none, as a load balancer would route them.
        let (near, far): (Vec<Host>, Vec<Host>) = self
            .site
            .entries()
            .into_iter()
            .partition(|entry| entry.zone == host.zone);
        let entries = if near.is_empty() { far } else { near };
        let entries: Vec<String> = entries
            .iter()
            .map(|&entry| format!("\"{}\"", self.advertised_http_address(entry)))
            .collect();
        format!(
            "member = \"{}\"\ngroup = \"{}\"\n{}advertise = \"{}\"\ndata = \"{}\"\n\
             connections = {}\nslots = {}\nconnect_ms = 12\nstatement_us = {}\nlag_ms = {}\n\
             announce = [{}]\n",
            self.site.process_name(host),
            self.site.services[usize::from(service)],
            self.location_settings(host),
            self.advertised_address(host),
            path_text(&self.data_folder(host)),
            self.site.connections,
            self.site.slots,
            self.options.statement_us,
            self.options.lag_ms,
            entries.join(", ")
        )
    }
}

fn path_text(path: &Path) -> String {
    path.display().to_string()
}
