//! A crowd of sessions, spread over child processes of this program so that none needs many
//! descriptors.

use std::{
    net::SocketAddr,
    process::{Child, Command, ExitCode, Stdio},
    thread,
    time::Duration,
};

use crate::{client::Session, deployment::OWN_ROUTE};

/// Sessions of one child process.
const SESSIONS_PER_PROCESS: usize = 300;
/// Statements that a session sends before it reads their answers.
const BATCH: usize = 50;
/// Time between two looks at the sessions, and before a client connects again.
const PAUSE: Duration = Duration::from_millis(200);

/// Child processes that hold the sessions. Dropping it ends them.
pub struct Crowd {
    processes: Vec<Child>,
}

impl Crowd {
    /// Starts `count` clients, of which each sets so many `names` to short values, prepares as many, and
    /// rests. A client whose session is closed connects again.
    pub fn connect(to: SocketAddr, count: usize, names: usize) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|cause| cause.to_string())?;
        let mut crowd = Self {
            processes: Vec::new(),
        };
        let mut left = count;
        while left > 0 {
            let part = left.min(SESSIONS_PER_PROCESS);
            let child = Command::new(&program)
                .args([
                    "crowd",
                    &to.to_string(),
                    &part.to_string(),
                    &names.to_string(),
                ])
                .stdin(Stdio::piped())
                .spawn();
            crowd
                .processes
                .push(child.map_err(|cause| cause.to_string())?);
            left -= part;
        }
        Ok(crowd)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for child in &mut self.processes {
            let _ended_already = child.kill();
            let _reaped = child.wait();
        }
    }
}

/// Runs one child process of a crowd until its input ends.
pub fn run_child(words: &[&str]) -> ExitCode {
    let [to, count, names] = words else {
        return ExitCode::from(2);
    };
    let (Ok(to), Ok(count), Ok(names)) = (to.parse(), count.parse::<usize>(), names.parse()) else {
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        let mut rest = String::new();
        let _ended = std::io::stdin().read_line(&mut rest);
        std::process::exit(0);
    });
    let mut sessions: Vec<Option<Session>> = (0..count).map(|_| None).collect();
    loop {
        for session in &mut sessions {
            if session.as_ref().is_none_or(Session::is_closed) {
                *session = open(to, names);
            }
            if session.is_none() {
                thread::sleep(PAUSE);
            }
        }
        thread::sleep(PAUSE);
    }
}

/// A session with short names; `None` if it was refused or closed.
fn open(to: SocketAddr, names: usize) -> Option<Session> {
    let mut session = Session::connect(to, OWN_ROUTE).ok()?;
    let texts =
        (0..names).flat_map(|i| [format!("SET {i:x} 1"), format!("PREPARE {i:x} FETCH {i:x}")]);
    let texts: Vec<_> = texts.collect();
    for batch in texts.chunks(BATCH) {
        let lines = batch.iter().map(|text| format!("QUERY n {text}\r\n"));
        session.send(&lines.collect::<String>()).ok()?;
        for _ in batch {
            if !session.read_answer().ok()?.starts_with("COMPLETE") {
                return None;
            }
        }
    }
    Some(session)
}
