//! The project's own programs as separate processes, and sessions of clients.

use std::{
    fs::{self, File},
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::net::{METRICS_PORT, Network, http_call, read_line};

/// Program of the deploy file.
const PROGRAM: &str = "target/release/platform";
/// Time limit on the start of the deployment.
const START_LIMIT: Duration = Duration::from_secs(40);

/// Limits of an entry host, as `DEPLOY.md` shows them.
pub const MEMORY_MB: u64 = 260;
const DESCRIPTORS: u32 = 4_200;

/// A route of the desired state.
#[derive(Debug, Clone, Copy)]
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
}

/// Three control hosts and some entry hosts.
pub struct Deployment {
    network: Network,
    folder: PathBuf,
    children: Arc<Mutex<Vec<(String, Child)>>>,
    entries: u8,
}

impl Deployment {
    /// Starts the processes in a new temporary folder. They end with this value, or after `limit`.
    pub fn start(network: Network, entries: u8, limit: Duration) -> io::Result<Self> {
        let name = format!("review-2-{}-{}", std::process::id(), crate::net::unix_ms());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let deployment = Self {
            network,
            folder,
            children: Arc::default(),
            entries,
        };
        for host in 2..=4 {
            let control = deployment.control(host);
            let data = deployment.folder.join(format!("data-{host}"));
            let role = format!("control = \"{control}\"\ndata = \"{}\"\n", data.display());
            deployment.launch(
                &format!("control-{host}"),
                "control",
                host,
                &role,
                256,
                4_096,
            )?;
        }
        for number in 1..=entries {
            let host = entry_host(number);
            let (callers, ready) = (deployment.callers(number), deployment.ready(number));
            let role = format!("callers = \"{callers}\"\nready = \"{ready}\"\n");
            let memory = u32::try_from(MEMORY_MB).unwrap_or(u32::MAX);
            deployment.launch(
                &entry_name(number),
                "entry",
                host,
                &role,
                memory,
                DESCRIPTORS,
            )?;
        }
        let children = Arc::clone(&deployment.children);
        let folder = deployment.folder.clone();
        thread::spawn(move || {
            thread::sleep(limit);
            end_all(&children, &folder);
            std::process::exit(2);
        });
        Ok(deployment)
    }

    fn launch(
        &self,
        name: &str,
        role: &str,
        host: u8,
        role_settings: &str,
        memory: u32,
        descriptors: u32,
    ) -> io::Result<()> {
        let seeds: Vec<_> = self
            .controls()
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let zone = 1 + host % 3;
        let text = format!(
            "name = \"{name}\"\nzone = \"z{zone}\"\nregion = \"r1\"\nhost = \"{}\"\n{role_settings}\
             seeds = [{}]\nports = [7100, 7110]\nmetrics = {METRICS_PORT}\nbootstrap = true\n\
             losses = 1\nauthority = \"{}\"\ngrace_s = 6\nmemory_mb = {memory}\n\
             descriptors = {descriptors}\n[zones]\nz1 = \"r1\"\nz2 = \"r1\"\nz3 = \"r1\"\n",
            self.network.ip(host),
            seeds.join(", "),
            self.network.platform(),
        );
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, text)?;
        let output = File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("GOLDCRESTRAIL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()?;
        self.lock().push((name.to_owned(), child));
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(String, Child)>> {
        self.children
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn control(&self, host: u8) -> SocketAddr {
        self.network.address(host, 7_001)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (2..=4).map(|host| self.control(host)).collect()
    }

    pub fn callers(&self, number: u8) -> SocketAddr {
        self.network.address(entry_host(number), 7_002)
    }

    fn ready(&self, number: u8) -> SocketAddr {
        self.network.address(entry_host(number), 7_003)
    }

    /// Sends a desired state with these routes until it is acknowledged.
    pub fn configure(&self, version: u64, service: &str, routes: &[Route<'_>]) -> bool {
        let routes: Vec<_> = routes
            .iter()
            .map(|route| {
                format!(
                    "{{\"Name\":\"r-{0}\",\"Host\":\"{0}\",\"PathPrefix\":\"/\",\"Type\":\"{1}\",\
                     \"TimeoutMs\":{2},\"SloMs\":800,\"Priority\":1,\"Service\":\"{service}\",\
                     \"Attempts\":2,\"MaxStalenessMs\":1500}}",
                    route.name, route.kind, route.timeout_ms
                )
            })
            .collect();
        let body = format!(
            "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{service}\",\
             \"HealthPath\":\"/health\",\"MaxConns\":16,\"Protocol\":\"h1\",\"Tls\":false,\
             \"SyncReplicas\":1}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
             \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000,\"TxIdleMs\":3000}}}}",
            routes.join(",")
        );
        wait_until(START_LIMIT, || {
            self.controls().iter().any(|to| {
                http_call(*to, "PUT", "/-/config", &body).is_ok_and(|(status, _)| status == 200)
            })
        })
    }

    /// Waits until all entry hosts are ready and serve a write on `route`.
    pub fn serves(&self, route: &str) -> bool {
        (1..=self.entries).all(|number| {
            wait_until(START_LIMIT, || {
                let ready = http_call(self.ready(number), "GET", "/-/ready", "");
                let callers = self.callers(number);
                ready.is_ok_and(|(status, _)| status == 200)
                    && Client::connect(callers, route).is_some_and(|mut client| {
                        let answer = client.execute("probe", "STORE probe 1");
                        answer.is_some_and(|answer| answer.outcome.starts_with("COMPLETE"))
                    })
            })
        })
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: &str) {
        let id = self
            .lock()
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, child)| child.id());
        if let Some(id) = id {
            let _sent = Command::new("kill")
                .args([signal, &id.to_string()])
                .status();
        }
    }

    /// Whether a process runs.
    pub fn is_running(&self, name: &str) -> bool {
        let mut children = self.lock();
        let child = children.iter_mut().find(|(n, _)| n == name);
        child.is_some_and(|(_, child)| matches!(child.try_wait(), Ok(None)))
    }

    /// Memory of a process, in MB: now, and at its peak.
    pub fn memory_mb(&self, name: &str) -> Option<(u64, u64)> {
        let id = self
            .lock()
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, child)| child.id())?;
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        Some((field("VmRSS:")? >> 10, field("VmHWM:")? >> 10))
    }

    /// Lines with `text` in the logs of the control hosts.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let logs = (2..=4).map(|host| self.folder.join(format!("control-{host}.log")));
        let logs = logs.filter_map(|file| fs::read_to_string(file).ok());
        let lines = logs.flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>());
        lines.filter(|line| line.contains(text)).collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        end_all(&self.children, &self.folder);
    }
}

fn end_all(children: &Mutex<Vec<(String, Child)>>, folder: &Path) {
    let mut children = children
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    for (_, child) in children.iter_mut() {
        let _ended_before = child.kill();
        let _reaped = child.wait();
    }
    if std::env::var_os("KEEP").is_none() {
        let _left = fs::remove_dir_all(folder);
    }
}

const fn entry_host(number: u8) -> u8 {
    if number == 1 { 1 } else { number + 8 }
}

pub fn entry_name(number: u8) -> String {
    format!("entry-{number}")
}

/// Repeats `condition` until it holds; false if it does not within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// A session of a client.
pub struct Client {
    lines: BufReader<TcpStream>,
}

/// Answer to a query.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The `COMPLETE` or `ERROR` line.
    pub outcome: String,
}

impl Client {
    /// Opens a session; `None` if it is refused.
    pub fn connect(to: SocketAddr, route: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .ok()?;
        let mut client = Self {
            lines: BufReader::new(stream),
        };
        client.send(&format!("CONNECT {route} u1\r\n"))?;
        client.read()?.starts_with("READY").then_some(client)
    }

    pub fn send(&mut self, text: &str) -> Option<()> {
        self.lines.get_mut().write_all(text.as_bytes()).ok()
    }

    fn read(&mut self) -> Option<String> {
        read_line(&mut self.lines).ok().flatten()
    }

    /// Runs a query; `None` if the connection ends without a complete answer.
    pub fn execute(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(&format!("QUERY {id} {text}\r\n"))?;
        self.answer()
    }

    /// Reads the answer to a query that was sent.
    pub fn answer(&mut self) -> Option<Answer> {
        let outcome = loop {
            let line = self.read()?;
            if !line.starts_with("ROW ") {
                break line;
            }
        };
        // Only with the `READY` line the answer is complete.
        self.read().map(|_ready| Answer { outcome })
    }
}
