//! Runs the daemon as three processes with data directories on disk, and stops them with signals.

mod common;

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use base::document;
use common::{
    Group,
    caller::Caller,
    http::{self, Reply},
};
use compio::time::{sleep, timeout};
use control::sighting::Health;
use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A control host in a process of its own.
struct Daemon {
    settings: PathBuf,
    data: PathBuf,
    http: SocketAddr,
    child: Option<Child>,
}

impl Daemon {
    fn start(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_control"))
            .arg("--settings")
            .arg(&self.settings)
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.unwrap());
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    async fn get(&self, path: &str) -> Option<Reply> {
        http::send(self.http, "GET", path, &[], "").await.ok()
    }

    async fn configure(&self, change: &str, base: u64, text: &str) -> Option<Reply> {
        let body = json!({ "change": change, "base": base, "document": text, "reason": "r" });
        let token = [("Authorization", "Bearer secret")];
        http::send(self.http, "POST", "/v1/config", &token, &body.to_string())
            .await
            .ok()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Three formatted hosts on loopback addresses that are derived from the process id, so that
/// parallel test processes do not collide.
struct Deployment {
    daemons: Vec<Daemon>,
    _directory: TempDir,
}

impl Deployment {
    fn new(number: u8) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let pid = std::process::id();
        let ip = |i: usize| {
            format!(
                "127.{}.{}.{}",
                64 + pid % 128,
                pid / 128 % 256,
                usize::from(number) * 10 + i
            )
        };
        let peer = |i: usize| format!("[[peer]]\nname = \"c{i}\"\naddress = \"{}:7000\"\n", ip(i));
        let peers = [peer(1), peer(2), peer(3)].concat();
        let daemon = |i: usize| {
            let data = directory.path().join(format!("data-{i}"));
            let settings = directory.path().join(format!("c{i}.toml"));
            let content = format!(
                "name = \"c{i}\"\nzone = \"z{i}\"\nregion = \"r\"\nhost = \"{ip}\"\n\
                 address = \"{ip}:7000\"\nhttp = \"{ip}:8000\"\ndata = '{data}'\n{peers}\
                 [admin]\n[[admin.operator]]\nname = \"anna\"\ntoken = \"{token}\"\n",
                ip = ip(i),
                data = data.display(),
                token = document::digest("secret"),
            );
            fs::write(&settings, content).unwrap();
            let http = format!("{}:8000", ip(i)).parse().unwrap();
            Daemon {
                settings,
                data,
                http,
                child: None,
            }
        };
        let daemons: Vec<_> = (1..=3).map(daemon).collect();
        for daemon in &daemons {
            assert_eq!(run_program(&daemon.settings, true), Some(0));
        }
        Self {
            daemons,
            _directory: directory,
        }
    }

    async fn start_with_leader(number: u8) -> Self {
        let mut deployment = Self::new(number);
        deployment.start();
        deployment.leader().await;
        deployment
    }

    fn start(&mut self) {
        for daemon in &mut self.daemons {
            daemon.start();
        }
    }

    /// Waits until a majority reports the same leader, and returns the index of its host.
    async fn leader(&self) -> usize {
        let start = Instant::now();
        loop {
            let mut known = Vec::new();
            for daemon in self.daemons.iter().filter(|daemon| daemon.child.is_some()) {
                let status = daemon.get("/v1/status").await.map(|reply| reply.json());
                known.extend(status.and_then(|s| s["leader"].as_str().map(str::to_owned)));
            }
            if known.len() >= 2 && known.iter().all(|name| *name == known[0]) {
                return known[0][1..].parse::<usize>().unwrap() - 1;
            }
            assert!(start.elapsed() < TIMEOUT, "no leader: {known:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a change to a host, again and again until it is answered with 200.
    async fn submit(&self, i: usize, change: &str, base: u64, text: &str) -> Value {
        let start = Instant::now();
        loop {
            let reply = self.daemons[i].configure(change, base, text).await;
            match reply {
                Some(reply) if reply.status == 200 => return reply.json(),
                other => assert!(start.elapsed() < TIMEOUT, "{other:?}"),
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until a host serves a configuration version, and returns the configuration.
    async fn wait_for_config(&self, i: usize, version: u64) -> Value {
        let start = Instant::now();
        loop {
            if let Some(reply) = self.daemons[i].get("/v1/config").await {
                let config = reply.json();
                if config["version"] == version {
                    return config;
                }
            }
            assert!(
                start.elapsed() < TIMEOUT,
                "version {version} is not shown by host {i}"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}

fn run_program(settings: &Path, format: bool) -> Option<i32> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_control"));
    command
        .arg("--settings")
        .arg(settings)
        .stderr(Stdio::null());
    if format {
        command.arg("--format");
    }
    command.status().unwrap().code()
}

fn document_text(i: u64) -> String {
    format!("# change {i}\n[[service]]\nname = \"s\"\ngroup = \"g\"\n")
}

/// Guards against an old configuration that is in force again after all hosts restart, and against
/// applying a change twice when it is sent again after the restart.
#[compio::test]
async fn restart_after_hundreds_of_changes_keeps_last() {
    let mut deployment = Deployment::start_with_leader(1).await;
    for i in 0..300 {
        let host = usize::try_from(i % 3).unwrap();
        deployment
            .submit(host, &format!("c{i}"), i, &document_text(i))
            .await;
    }
    for daemon in &mut deployment.daemons {
        daemon.kill();
    }

    deployment.start();
    deployment.leader().await;

    for i in 0..3 {
        let config = deployment.wait_for_config(i, 300).await;
        assert_eq!(config["document"], document_text(299));
        assert_eq!(config["digest"], document::digest(&document_text(299)));
    }
    let resent = deployment.submit(2, "c299", 299, &document_text(299)).await;
    assert_eq!(resent["version"], 300);
    let history = deployment.daemons[0]
        .get("/v1/config/history")
        .await
        .unwrap()
        .json();
    assert_eq!(history.as_array().unwrap().len(), 300);
}

/// Guards against losing changes, or refusing new ones, after the leader was killed.
#[compio::test]
async fn changes_continue_after_leader_is_killed() {
    let mut deployment = Deployment::start_with_leader(2).await;
    deployment.submit(0, "before", 0, &document_text(0)).await;
    let leader = deployment.leader().await;
    deployment.daemons[leader].kill();

    let other = (leader + 1) % 3;
    let after = deployment
        .submit(other, "after", 1, &document_text(1))
        .await;
    deployment.daemons[leader].start();
    let config = deployment.wait_for_config(leader, 2).await;

    assert_eq!(after["version"], 2);
    assert_eq!(config["document"], document_text(1));
}

/// Guards against a host with an empty data directory that never gets the configuration.
#[compio::test]
async fn host_with_empty_disk_recovers_state() {
    let mut deployment = Deployment::start_with_leader(3).await;
    deployment.submit(0, "one", 0, &document_text(0)).await;
    deployment.daemons[1].kill();
    fs::remove_dir_all(&deployment.daemons[1].data).unwrap();

    deployment.daemons[1].start();
    let config = deployment.wait_for_config(1, 1).await;
    let start = Instant::now();
    loop {
        let dump = deployment.daemons[1].get("/dump").await.unwrap().json();
        if dump["log"]["learner"] == false {
            break;
        }
        assert!(start.elapsed() < TIMEOUT, "not readmitted: {}", dump["log"]);
        sleep(Duration::from_millis(50)).await;
    }

    assert_eq!(config["document"], document_text(0));
}

/// Guards against a graceful stop that interrupts a change or exits with a failure.
#[compio::test]
async fn sigterm_stops_gracefully() {
    let mut deployment = Deployment::start_with_leader(4).await;
    let leader = deployment.leader().await;
    let child = deployment.daemons[leader].child.as_ref().unwrap().id();

    let document = document_text(0);
    let change = deployment.daemons[leader].configure("one", 0, &document);
    let (reply, ()) = futures_util::join!(change, async {
        sleep(Duration::from_millis(2)).await;
        let sent = Command::new("kill")
            .arg("-TERM")
            .arg(child.to_string())
            .status()
            .unwrap();
        assert!(sent.success());
    });
    let start = Instant::now();
    let exit = loop {
        let child = deployment.daemons[leader].child.as_mut().unwrap();
        if let Some(exit) = child.try_wait().unwrap() {
            break exit;
        }
        assert!(start.elapsed() < TIMEOUT, "still running");
        sleep(Duration::from_millis(20)).await;
    };
    deployment.daemons[leader].child = None;

    assert_eq!(exit.code(), Some(0), "{exit}");
    // The change was either accepted, or refused because the host was already stopping.
    let reply = reply.expect("the change is answered");
    assert!(
        reply.status == 200 || reply.body.contains("not made"),
        "{reply:?}"
    );
    let other = (leader + 1) % 3;
    let again = deployment.submit(other, "one", 0, &document).await;
    assert_eq!(again["version"], 1);
}

/// Guards against a graceful stop of the leader without a transfer of leadership, after which the
/// other hosts would wait for an election timeout of at least 600 ms.
#[compio::test]
async fn sigterm_hands_leadership_over() {
    let mut deployment = Deployment::start_with_leader(5).await;
    let leader = deployment.leader().await;
    let child = deployment.daemons[leader].child.as_mut().unwrap();
    let sent = Command::new("kill")
        .arg("-TERM")
        .arg(child.id().to_string())
        .status()
        .unwrap();
    assert!(sent.success());
    let start = Instant::now();
    while child.try_wait().unwrap().is_none() {
        assert!(start.elapsed() < TIMEOUT, "still running");
        sleep(Duration::from_millis(5)).await;
    }
    deployment.daemons[leader].child = None;

    let stopped = Instant::now();
    let next = deployment.leader().await;

    let took = stopped.elapsed();
    assert_ne!(next, leader);
    assert!(took < Duration::from_millis(400), "took {took:?}");
}

/// Sends the renewals of three entry processes to every host until `done` holds for a status, and
/// returns that status.
async fn observe(
    deployment: &Deployment,
    group: &Group,
    records: &mut u64,
    done: impl Fn(&Value) -> bool,
) -> Value {
    let start = Instant::now();
    loop {
        for daemon in &deployment.daemons {
            let address = SocketAddr::new(daemon.http.ip(), 7_000);
            let Some(caller) = Caller::connect(address).await else {
                continue;
            };
            for i in 0..3 {
                let renewal = group.renewal(i, *records, Group::actual_health);
                let renewed = timeout(Duration::from_millis(500), caller.renew(&renewal)).await;
                // The answer tells the entry process the newest record version.
                if let Ok(Ok(version)) = renewed {
                    *records = version.max(*records);
                }
            }
            let status = daemon.get("/v1/status").await.map(|reply| reply.json());
            if let Some(status) = status.filter(&done) {
                return status;
            }
        }
        assert!(start.elapsed() < TIMEOUT, "not done within {TIMEOUT:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a promotion that never finishes when the control host that runs it is killed, and
/// against two members promoted in one term.
#[rstest]
#[case::at_once(6, 0)]
#[case::during_detection(7, 30)]
#[case::during_election(8, 120)]
#[case::after_order(9, 400)]
#[compio::test]
async fn promotion_outlives_control_leader(#[case] number: u8, #[case] delay: u64) {
    let mut deployment = Deployment::start_with_leader(number).await;
    let group = Group::start().await;
    deployment.submit(0, "one", 0, &document_text(0)).await;
    let mut records = 0;
    let stable = |status: &Value, term: u64| {
        let group = &status["groups"][0];
        group["state"] == "stable" && group["term"].as_u64() >= Some(term)
    };
    observe(&deployment, &group, &mut records, |status| {
        stable(status, 1)
    })
    .await;
    let leader = deployment.leader().await;

    group.members[0].state.borrow_mut().fault = Some(Health::Refused);
    let until = Instant::now() + Duration::from_millis(delay);
    observe(&deployment, &group, &mut records, |_| {
        Instant::now() >= until
    })
    .await;
    deployment.daemons[leader].kill();
    let failed = Instant::now();
    let status = observe(&deployment, &group, &mut records, |status| {
        status["leader"] != format!("c{}", leader + 1) && stable(status, 2)
    })
    .await;

    assert!(
        failed.elapsed() < Duration::from_secs(17),
        "took {:?}",
        failed.elapsed()
    );
    assert_ne!(status["groups"][0]["primary"], "a");
    let mut orders: Vec<_> = group
        .members
        .iter()
        .flat_map(common::FakeMember::promote_statements)
        .collect();
    orders.sort();
    let count = orders.len();
    orders.dedup();
    let distinct_members = group.members.iter().map(|member| {
        let mut own = member.promote_statements();
        own.dedup();
        own.len()
    });
    assert_eq!(
        orders.len(),
        distinct_members.sum::<usize>(),
        "{count} orders: {orders:?}"
    );
}

/// Guards against a process that starts with invalid settings.
#[rstest]
#[case::unknown_key("speed = 1\n")]
#[case::no_settings("")]
#[case::two_hosts(
    "name = \"a\"\nzone = \"z\"\nregion = \"r\"\nhost = \"127.0.0.1\"\naddress = \"127.0.0.1:7000\"\n\
     http = \"127.0.0.1:8000\"\ndata = \"x\"\n[[peer]]\nname = \"a\"\naddress = \"127.0.0.1:7000\"\n\
     [[peer]]\nname = \"b\"\naddress = \"127.0.0.1:7001\"\n"
)]
#[case::token_in_clear(
    "name = \"a\"\nzone = \"z\"\nregion = \"r\"\nhost = \"127.0.0.1\"\naddress = \"127.0.0.1:7000\"\n\
     http = \"127.0.0.1:8000\"\ndata = \"x\"\n[[peer]]\nname = \"a\"\naddress = \"127.0.0.1:7000\"\n\
     [admin]\n[[admin.operator]]\nname = \"anna\"\ntoken = \"secret\"\n"
)]
fn wrong_settings_exit_with_usage(#[case] text: &str) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("control.toml");
    fs::write(&path, text).unwrap();

    assert_eq!(run_program(&path, false), Some(2));
}

/// Guards against `--format` erasing an existing data directory.
#[test]
fn second_format_is_refused() {
    let deployment = Deployment::new(5);

    assert_eq!(run_program(&deployment.daemons[0].settings, true), Some(1));
}
