//! A whole deployment of the product as plain processes on loopback.

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
    process::{Plan, Process},
    site::{Host, Role, Site},
    usage::{Usage, usage},
};

/// How long a process may take to be ready.
const READY: Duration = Duration::from_secs(20);
/// How long a planned stop may take.
const STOP: Duration = Duration::from_secs(35);

/// Choices for one run.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Folder with the programs.
    pub programs: PathBuf,
    /// Folder for settings, data and logs; it is emptied first.
    pub folder: PathBuf,
    /// Whether traffic goes through the relay.
    pub relayed: bool,
    /// Delay before a replica applies what it received, in milliseconds.
    pub lag_ms: u64,
    /// Execution time of a statement at the stand-in, in microseconds.
    pub statement_us: u64,
}

/// A started deployment; all its processes end when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// What is deployed.
    pub site: Site,
    choice: Choice,
    processes: Map<Host, Process>,
}

impl Deployment {
    /// Starts all processes, submits the configuration and waits for a primary in every group.
    ///
    /// # Errors
    /// A process can't be started or isn't ready in time.
    pub fn start(site: Site, choice: Choice) -> Result<Self, LabError> {
        if choice.folder.exists() {
            fs::remove_dir_all(&choice.folder).context(choice.folder.display())?;
        }
        fs::create_dir_all(&choice.folder).context(choice.folder.display())?;
        let mut deployment = Self {
            site,
            choice,
            processes: Map::default(),
        };
        for host in deployment.hosts() {
            deployment.write_settings(host)?;
        }
        for host in deployment.site.controls() {
            deployment.format(host)?;
        }
        for host in deployment.hosts() {
            let process = Process::start(deployment.plan(host))?;
            deployment.processes.insert(host, process);
        }
        for host in deployment.hosts() {
            deployment.wait_alive(host)?;
        }
        deployment
            .admin()
            .submit(&deployment.site.document(), READY)?;
        deployment.wait_primaries(READY)?;
        for host in deployment.site.entries() {
            deployment.wait_ready(host)?;
        }
        Ok(deployment)
    }

    /// All hosts: control, entries, upstreams.
    #[must_use]
    pub fn hosts(&self) -> Vec<Host> {
        let mut hosts = self.site.controls();
        hosts.extend(self.site.entries());
        hosts.extend(self.site.upstreams());
        hosts
    }

    /// Client of the administration API.
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

    /// Process of a host.
    ///
    /// # Panics
    /// The host is not one of this deployment.
    pub fn process(&mut self, host: Host) -> &mut Process {
        self.processes
            .get_mut(&host)
            .expect("host of this deployment")
    }

    /// Processor time and memory of a host's process.
    ///
    /// # Errors
    /// The process doesn't run.
    pub fn usage(&self, host: Host) -> Result<Usage, LabError> {
        let id = self.processes.get(&host).and_then(Process::id);
        usage(id.ok_or_else(|| LabError::NotReady(self.site.process_name(host)))?)
    }

    /// Data folder of a host.
    #[must_use]
    pub fn data(&self, host: Host) -> PathBuf {
        self.choice.folder.join(self.site.process_name(host))
    }

    /// Kills a host's process and deletes its data.
    ///
    /// # Errors
    /// The data can't be deleted.
    pub fn lose_disk(&mut self, host: Host) -> Result<(), LabError> {
        self.process(host).kill();
        let data = self.data(host);
        if data.exists() {
            fs::remove_dir_all(&data).context(data.display())?;
        }
        fs::create_dir_all(&data).context(data.display())
    }

    /// Host of the present primary of a service, as control sees it.
    ///
    /// # Errors
    /// No control host answers.
    pub fn primary(&self, service: u8) -> Result<Option<Host>, LabError> {
        let status = self.admin().status()?;
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
    /// One has none at the end of `limit`.
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

    /// Stops every process as planned: entries, then upstreams, then control.
    ///
    /// Returns the names of processes that had to be killed or that failed.
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
                if process.id().is_some() && process.wait(STOP) != Some(0) {
                    failed.push(process.name().to_owned());
                    process.kill();
                }
            }
        }
        failed
    }

    /// Waits until a process answers on its HTTP address.
    ///
    /// # Errors
    /// It doesn't within the limit.
    pub fn wait_alive(&self, host: Host) -> Result<(), LabError> {
        self.poll(host, "/metrics")
    }

    /// Waits until a process says that it is ready.
    ///
    /// # Errors
    /// It doesn't within the limit.
    pub fn wait_ready(&self, host: Host) -> Result<(), LabError> {
        self.poll(host, "/ready")
    }

    fn poll(&self, host: Host, path: &str) -> Result<(), LabError> {
        let end = Instant::now() + READY;
        while get_status(host.http(), path) != Some(200) {
            if Instant::now() > end {
                return Err(LabError::NotReady(self.site.process_name(host)));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn settings_path(&self, host: Host) -> PathBuf {
        self.choice
            .folder
            .join(format!("{}.toml", self.site.process_name(host)))
    }

    fn plan(&self, host: Host) -> Plan {
        let program = match host.role {
            Role::Entry(_) => "entry",
            Role::Control => "control",
            Role::Upstream(_) => "standin",
        };
        let name = self.site.process_name(host);
        Plan {
            program: self.choice.programs.join(program),
            arguments: vec!["--settings".into(), display(&self.settings_path(host))],
            log: self.choice.folder.join(format!("{name}.log")),
            name,
        }
    }

    fn format(&self, host: Host) -> Result<(), LabError> {
        let mut plan = self.plan(host);
        plan.arguments.push("--format".into());
        let mut process = Process::start(plan)?;
        match process.wait(READY) {
            Some(0) => Ok(()),
            _ => Err(LabError::NotReady(format!("{} --format", process.name()))),
        }
    }

    /// Address at which other hosts reach this one.
    #[must_use]
    pub fn reached(&self, host: Host) -> SocketAddr {
        if self.choice.relayed {
            host.relayed()
        } else {
            host.address()
        }
    }

    fn reached_http(&self, host: Host) -> SocketAddr {
        if self.choice.relayed {
            host.relayed_http()
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
        fs::create_dir_all(self.data(host)).context(path.display())?;
        fs::write(&path, text).context(path.display())
    }

    fn place(&self, host: Host) -> String {
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
            .map(|control| format!("\"{}\"", self.reached(control)))
            .collect();
        format!(
            "name = \"{}\"\n{}control = [{}]\n[auth]\nmethod = \"trust\"\n",
            self.site.process_name(host),
            self.place(host),
            control.join(", ")
        )
    }

    fn control_settings(&self, host: Host) -> String {
        let mut text = format!(
            "name = \"{}\"\n{}data = \"{}\"\n",
            self.site.process_name(host),
            self.place(host),
            display(&self.data(host))
        );
        for peer in self.site.controls() {
            let address = if peer == host {
                host.address()
            } else {
                self.reached(peer)
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
        // A balancer would send the announcements of a zone to the entry hosts of that zone, and
        // to others when there are none.
        let (near, far): (Vec<Host>, Vec<Host>) = self
            .site
            .entries()
            .into_iter()
            .partition(|entry| entry.zone == host.zone);
        let entries = if near.is_empty() { far } else { near };
        let entries: Vec<String> = entries
            .iter()
            .map(|&entry| format!("\"{}\"", self.reached_http(entry)))
            .collect();
        format!(
            "member = \"{}\"\ngroup = \"{}\"\n{}advertise = \"{}\"\ndata = \"{}\"\n\
             connections = {}\nslots = {}\nconnect_ms = 12\nstatement_us = {}\nlag_ms = {}\n\
             announce = [{}]\n",
            self.site.process_name(host),
            self.site.services[usize::from(service)],
            self.place(host),
            self.reached(host),
            display(&self.data(host)),
            self.site.connections,
            self.site.slots,
            self.choice.statement_us,
            self.choice.lag_ms,
            entries.join(", ")
        )
    }
}

fn display(path: &Path) -> String {
    path.display().to_string()
}
