//! A deployment of the project's programs: control hosts and entry hosts as separate processes, with
//! stand-ins of the databases, the operator and the platform.

use std::{
    collections::BTreeMap,
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Session,
    database::{Database, Group},
    http,
    record::Record,
};

/// Name of the service of the databases.
pub const SERVICE: &str = "huvo11a";
/// Route of the type `primary`.
pub const PRIMARY_ROUTE: &str = "lepu270";
/// Route of the type `own`.
pub const OWN_ROUTE: &str = "fiti832ti23";
/// Time between two announcements of a database.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time limit of each step of the start.
const START: Duration = Duration::from_secs(30);
/// Zones of the hosts and databases, in turn.
const ZONES: [&str; 3] = ["wien-nord", "graz-sued", "linz-mitte"];
/// Delay before the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const CONTROL_PORT: u16 = 8_782;
const FRONT_PORT: u16 = 8_784;
const READY_PORT: u16 = 8_785;

/// Sizes of a deployment.
pub struct Sizes {
    /// Memory of an entry host, in MB.
    pub memory_mb: u32,
    /// Descriptors of an entry host.
    pub descriptors: u32,
    /// Connections that a database accepts.
    pub connections: usize,
    /// `TimeoutMs` of the routes.
    pub timeout_ms: u32,
    /// `TxIdleMs`.
    pub idle_ms: u32,
    /// Number of entry hosts.
    pub entries: u8,
}

/// Databases of the service.
pub type Databases = Arc<Mutex<Vec<Arc<Database>>>>;

/// Three control hosts, some entry hosts and three databases.
pub struct Deployment {
    /// Address of the first entry host for clients.
    pub front: SocketAddr,
    /// Addresses of all entry hosts for clients.
    pub fronts: Vec<SocketAddr>,
    /// Databases that were started, in this order; the first is the first primary.
    pub databases: Databases,
    group: Arc<Group>,
    database_host: Ipv4Addr,
    processes: Vec<(String, Child)>,
    folder: PathBuf,
    memory_mb: u32,
    /// Kills of each process by the platform.
    kills: BTreeMap<String, usize>,
}

impl Deployment {
    /// Starts everything and waits until a write is served.
    pub fn start(record: &Record, sizes: &Sizes) -> Result<Self, String> {
        let net = free_net()?;
        let host = |number: u8| Ipv4Addr::new(127, net.0, net.1, number);
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|cause| cause.to_string())?;
        let ids = ["i-7f3a91c2", "i-2b90e1c4", "i-5c0e7a21"];
        let group = Group::new(SERVICE, ids[0], sizes.connections, record);
        let databases: Databases = Arc::default();
        for (id, zone) in ids.iter().zip(ZONES) {
            let database = group
                .start(host(9), id, zone)
                .map_err(|cause| cause.to_string())?;
            databases.lock().expect("no holder panics").push(database);
        }
        let platform = start_platform(host(9), Arc::clone(&group), Arc::clone(&databases), record)?;
        let control: Vec<_> = (2..5)
            .map(|i| SocketAddr::from((host(i), CONTROL_PORT)))
            .collect();
        let fronts = (0..sizes.entries).map(|i| SocketAddr::from((host(20 + i), FRONT_PORT)));
        let fronts: Vec<_> = fronts.collect();
        let mut deployment = Self {
            front: fronts[0],
            fronts: fronts.clone(),
            databases: Arc::clone(&databases),
            group,
            database_host: host(9),
            processes: Vec::new(),
            folder,
            memory_mb: sizes.memory_mb,
            kills: BTreeMap::new(),
        };
        let common = |ip: Ipv4Addr| {
            let seeds: Vec<_> = control.iter().map(|seed| format!("\"{seed}\"")).collect();
            format!(
                "host = \"{ip}\"\nregion = \"ostalpen\"\nseeds = [{}]\nports = [7440,7455]\n\
                 metrics = 9464\nbootstrap = true\nlosses = 1\nauthority = \"{platform}\"\n\
                 grace_s = 6\n",
                seeds.join(",")
            )
        };
        let zones = "[zones]\n\"wien-nord\" = \"ostalpen\"\n\"graz-sued\" = \"ostalpen\"\n\
                     \"linz-mitte\" = \"ostalpen\"\n";
        for ((i, address), zone) in (2..).zip(&control).zip(ZONES) {
            let name = format!("core-{zone}-1");
            let data = deployment.folder.join(&name);
            let text = format!(
                "name = \"{name}\"\nzone = \"{zone}\"\ncontrol = \"{address}\"\ndata = \"{}\"\n\
                 memory_mb = 256\ndescriptors = 4096\n{}{zones}",
                data.display(),
                common(host(i))
            );
            deployment.launch(&name, "control", &text)?;
        }
        for ((i, front), zone) in (20..).zip(&fronts).zip(ZONES.iter().cycle()) {
            let name = format!("front-{zone}-{i}");
            let text = format!(
                "name = \"{name}\"\nzone = \"{zone}\"\ncallers = \"{front}\"\nready = \"{}\"\n\
                 memory_mb = {}\ndescriptors = {}\n{}{zones}",
                SocketAddr::from((host(i), READY_PORT)),
                sizes.memory_mb,
                sizes.descriptors,
                common(host(i))
            );
            deployment.launch(&name, "entry", &text)?;
        }
        announce(Arc::clone(&databases), control.clone());
        let config = config(sizes);
        wait("the desired state is accepted", || {
            let mut answers = control
                .iter()
                .map(|to| http::call(*to, "PUT", "/-/config", &config));
            answers.any(|answer| answer.is_ok_and(|(status, _)| status == 200))
        })?;
        for front in &fronts {
            let ready = SocketAddr::new(front.ip(), READY_PORT);
            wait("the entry host is ready", || {
                http::call(ready, "GET", "/-/ready", "").is_ok_and(|(status, _)| status == 200)
            })?;
            wait("a write is served", || serves_write(*front, "warm").is_ok())?;
        }
        record.line("the deployment serves");
        Ok(deployment)
    }

    fn launch(&mut self, name: &str, role: &str, settings: &str) -> Result<(), String> {
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings).map_err(|cause| cause.to_string())?;
        self.spawn(name, role)
    }

    fn spawn(&mut self, name: &str, role: &str) -> Result<(), String> {
        let file = self.folder.join(format!("{name}.toml"));
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::File::options().create(true).append(true).open(log);
        let log = log.map_err(|cause| cause.to_string())?;
        let child = Command::new("target/release/platform")
            .arg(role)
            .env("GOLDCRESTRAIL_NODE_FILE", &file)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn();
        let child = child.map_err(|cause| format!("target/release/platform: {cause}"))?;
        self.processes.push((name.to_owned(), child));
        Ok(())
    }

    /// Starts a further database, which announces itself from now on.
    pub fn add_database(&self, id: &str, zone: &str) -> Result<(), String> {
        let started = self.group.start(self.database_host, id, zone);
        let database = started.map_err(|cause| cause.to_string())?;
        self.databases
            .lock()
            .expect("no holder panics")
            .push(database);
        Ok(())
    }

    /// Database with this id.
    pub fn database(&self, id: &str) -> Result<Arc<Database>, String> {
        let databases = self.databases.lock().expect("no holder panics");
        let found = databases.iter().find(|database| database.id == id);
        found
            .cloned()
            .ok_or_else(|| format!("there is no database {id}"))
    }

    /// Kills all control hosts and entry hosts, and starts them again after `down`.
    pub fn kill_all(&mut self, down: Duration) -> Result<(), String> {
        for (_, child) in &mut self.processes {
            let _ended_already = child.kill();
            let _reaped = child.wait();
        }
        thread::sleep(down);
        for (name, _) in std::mem::take(&mut self.processes) {
            let role = if name.starts_with("core") {
                "control"
            } else {
                "entry"
            };
            self.spawn(&name, role)?;
        }
        Ok(())
    }

    /// Does what the platform does with processes: kills an entry host's process that uses more than
    /// the memory of its machine, and starts each that has ended again after a short delay.
    pub fn supervise(&mut self, record: &Record) -> Result<(), String> {
        let mut ended = Vec::new();
        for (name, child) in &mut self.processes {
            if name.starts_with("core") {
                continue;
            }
            let used = memory_mb(child.id()).unwrap_or(0);
            if used > u64::from(self.memory_mb) {
                record.line(&format!(
                    "platform kills {name}, which uses {used} MB of {}",
                    self.memory_mb
                ));
                let _ended_already = child.kill();
            }
            if used > u64::from(self.memory_mb) || !matches!(child.try_wait(), Ok(None)) {
                let _reaped = child.wait();
                ended.push(name.clone());
            }
        }
        for name in ended {
            *self.kills.entry(name.clone()).or_default() += 1;
            thread::sleep(RESTART_DELAY);
            self.processes.retain(|(known, _)| *known != name);
            self.spawn(&name, "entry")?;
            record.line(&format!("platform starts {name} again"));
        }
        Ok(())
    }

    /// Number of entry hosts whose process has ended at least `times` times.
    pub fn ended_often(&self, times: usize) -> usize {
        self.kills.values().filter(|count| **count >= times).count()
    }

    /// Memory that the entry hosts use, in MB.
    pub fn entry_memory_mb(&self) -> Vec<u64> {
        let entries = self
            .processes
            .iter()
            .filter(|(name, _)| name.starts_with("front"));
        entries
            .filter_map(|(_, child)| memory_mb(child.id()))
            .collect()
    }
}

/// Memory that a process uses, in MB.
fn memory_mb(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kib / 1_024)
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ended_already = child.kill();
            let _reaped = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _left = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Writes once on a new session.
pub fn serves_write(front: SocketAddr, id: &str) -> Result<String, String> {
    run_once(front, PRIMARY_ROUTE, id, "STORE 1a4 xkqpwnzd")
}

/// Runs a statement on a new session. The error is the answer if it is none of success.
pub fn run_once(front: SocketAddr, route: &str, id: &str, text: &str) -> Result<String, String> {
    let mut session = Session::connect(front, route)?;
    let answer = session.run(id, text)?;
    if answer.starts_with("COMPLETE") {
        Ok(answer)
    } else {
        Err(answer)
    }
}

/// A loopback network whose addresses are not in use.
fn free_net() -> Result<(u8, u8), String> {
    let start = std::process::id();
    for i in 0..200_u32 {
        let number = start.wrapping_mul(31).wrapping_add(i * 7) % 60_000;
        let (a, b) = (
            10 + u8::try_from(number / 300).unwrap_or(0),
            u8::try_from(number % 250).unwrap_or(0),
        );
        let ports = [CONTROL_PORT, FRONT_PORT, READY_PORT, 9_464, 7_440];
        let free = [2, 3, 4, 20, 21, 22].iter().all(|host| {
            ports
                .iter()
                .all(|port| TcpListener::bind((Ipv4Addr::new(127, a, b, *host), *port)).is_ok())
        });
        if free {
            return Ok((a, b));
        }
    }
    Err("no free loopback network".to_owned())
}

fn start_platform(
    host: Ipv4Addr,
    group: Arc<Group>,
    databases: Databases,
    record: &Record,
) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((host, 0)).map_err(|cause| cause.to_string())?;
    let address = listener.local_addr().map_err(|cause| cause.to_string())?;
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ended = http::serve_one(&stream, |first, body| {
                record.line(&format!("platform gets {first} {body}"));
                let runs = |id: &str| {
                    let databases = databases.lock().expect("no holder panics");
                    databases.iter().any(|d| d.id == id && !d.has_crashed())
                };
                match http::json_text(body, "Id") {
                    Some(id) if !runs(id) => 409,
                    Some(id) if first.starts_with("POST /promote ") => {
                        group.promote(id);
                        200
                    }
                    _ => 404,
                }
            });
        }
    });
    Ok(address)
}

/// Announces the databases until the program ends, each call to a control host that answers.
fn announce(databases: Databases, control: Vec<SocketAddr>) {
    thread::spawn(move || {
        loop {
            let running: Vec<_> = databases.lock().expect("no holder panics").clone();
            for database in running.iter().filter(|database| !database.has_crashed()) {
                let path = format!("/-/instances/{}", database.id);
                let body = database.announcement();
                let _told = control.iter().any(|to| {
                    http::call(*to, "PUT", &path, &body).is_ok_and(|(status, _)| status == 200)
                });
            }
            thread::sleep(HEARTBEAT);
        }
    });
}

fn config(sizes: &Sizes) -> String {
    let route = |name: &str, host: &str, kind: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{host}\",\"PathPrefix\":\"/\",\"Type\":\"{kind}\",\
             \"TimeoutMs\":{},\"SloMs\":800,\"Priority\":1,\"Service\":\"{SERVICE}\",\"Attempts\":2,\
             \"MaxStalenessMs\":2500}}",
            sizes.timeout_ms
        )
    };
    format!(
        "{{\"Version\":7,\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"{SERVICE}\",\
         \"HealthPath\":\"/health\",\"MaxConns\":{},\"Protocol\":\"h1\",\"Tls\":false,\
         \"SyncReplicas\":1}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000,\"TxIdleMs\":{}}}}}",
        route("r-n2ctnfz", PRIMARY_ROUTE, "primary"),
        route("r-68k7b2e", OWN_ROUTE, "own"),
        sizes.connections,
        sizes.idle_ms
    )
}

/// Waits until a condition holds.
pub fn wait(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > START {
            return Err(format!("{what}: not within {START:?}"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}
