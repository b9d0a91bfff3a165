//! Stops of a daemon that can't stop gracefully.

#![cfg(feature = "failpoints")]

mod common;

use std::{
    fs,
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use base::document;
use common::http;
use compio::time::{sleep, timeout};
use control::run::STOP_LIMIT;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tempfile::TempDir;

/// The only control host of a deployment, started with the fault points `points`.
struct Daemon {
    http: SocketAddr,
    child: Child,
    _directory: TempDir,
}

impl Daemon {
    async fn start(points: &str) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let pid = std::process::id();
        let ip = format!("127.{}.{}.77", 64 + pid % 128, pid / 128 % 256);
        let settings = directory.path().join("c1.toml");
        let content = format!(
            "name = \"c1\"\nzone = \"z\"\nregion = \"r\"\nhost = \"{ip}\"\naddress = \"{ip}:7000\"\n\
             http = \"{ip}:8000\"\ndata = '{data}'\n[[peer]]\nname = \"c1\"\naddress = \"{ip}:7000\"\n\
             [admin]\n[[admin.operator]]\nname = \"anna\"\ntoken = \"{token}\"\n",
            data = directory.path().join("data").display(),
            token = document::digest("secret"),
        );
        fs::write(&settings, content).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_control"));
        command.arg("--settings").arg(&settings);
        command.stderr(Stdio::null()).env("FAILPOINTS", points);
        let http = format!("{ip}:8000").parse().unwrap();
        let child = command.spawn().unwrap();
        let daemon = Self {
            http,
            child,
            _directory: directory,
        };
        while http::send(http, "GET", "/ready", &[], "").await.is_err() {
            sleep(Duration::from_millis(20)).await;
        }
        daemon
    }

    /// Submits a configuration and returns whether it was answered within half a second.
    async fn answers_change(&self) -> bool {
        let text = "[[service]]\nname = \"s\"\ngroup = \"g\"\n";
        let body = json!({ "change": "c", "base": 0, "document": text, "reason": "r" }).to_string();
        let token = [("Authorization", "Bearer secret")];
        let answer = http::send(self.http, "POST", "/v1/config", &token, &body);
        timeout(Duration::from_millis(500), answer).await.is_ok()
    }

    fn terminate(&self) {
        kill_process(Pid::from_child(&self.child), Signal::TERM).unwrap();
    }

    /// Returns whether the process ends within `limit`.
    async fn ends(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.child.try_wait().unwrap().is_some() {
                return true;
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _already_ended = self.child.kill();
        self.child.wait().unwrap();
    }
}

/// Guards against a host that runs on after SIGTERM, and keeps its addresses, because a call blocks
/// its event loop.
#[compio::test]
async fn host_with_blocked_event_loop_ends_at_stop_signal() {
    let mut daemon = Daemon::start("change-forward=pause").await;
    let answered = daemon.answers_change().await;

    daemon.terminate();

    assert!(!answered, "the event loop is not blocked");
    assert!(daemon.ends(STOP_LIMIT + Duration::from_secs(5)).await);
}
