//! A crowd of sessions, spread over child processes of this program so that none needs many
//! descriptors.

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    process::{Child, Command, ExitCode, Stdio},
};

use crate::{client::Session, deployment::OWN_ROUTE};

/// Sessions of one child process.
const SESSIONS_PER_PROCESS: usize = 500;
/// Statements that a session sends before it reads their answers.
const BATCH: usize = 50;

/// Child processes that hold the sessions. Dropping it ends them.
pub struct Crowd {
    processes: Vec<Child>,
    /// Number of sessions that were logged in and got all answers.
    pub sessions: usize,
}

impl Crowd {
    /// Connects `count` sessions, of which each sets so many `names` to short values and prepares as
    /// many. Waits until all have done so.
    pub fn connect(to: SocketAddr, count: usize, names: usize) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|cause| cause.to_string())?;
        let mut crowd = Self {
            processes: Vec::new(),
            sessions: 0,
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
                .stdout(Stdio::piped())
                .spawn();
            crowd
                .processes
                .push(child.map_err(|cause| cause.to_string())?);
            left -= part;
        }
        for child in &mut crowd.processes {
            // A child tells the number of its sessions, then holds them until its input ends.
            let mut line = String::new();
            if let Some(output) = &mut child.stdout {
                let _read = BufReader::new(output).read_line(&mut line);
            }
            crowd.sessions += line.trim().parse::<usize>().unwrap_or(0);
        }
        Ok(crowd)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for child in &mut self.processes {
            drop(child.stdin.take());
            let _ended_already = child.kill();
            let _reaped = child.wait();
        }
    }
}

/// Runs one child process of a crowd.
pub fn run_child(words: &[&str]) -> ExitCode {
    let [to, count, names] = words else {
        return ExitCode::from(2);
    };
    let (Ok(to), Ok(count), Ok(names)) = (to.parse(), count.parse::<usize>(), names.parse()) else {
        return ExitCode::from(2);
    };
    let sessions: Vec<_> = (0..count).filter_map(|_| open(to, names)).collect();
    println!("{}", sessions.len());
    let mut rest = String::new();
    let _ended = std::io::stdin().read_line(&mut rest);
    drop(sessions);
    ExitCode::SUCCESS
}

/// A session with short names; `None` if it was refused or closed.
fn open(to: SocketAddr, names: usize) -> Option<Session> {
    let mut session = Session::connect(to, OWN_ROUTE).ok()?;
    let texts =
        (0..names).flat_map(|i| [format!("SET {i:x} 1"), format!("PREPARE {i:x} FETCH {i:x}")]);
    let texts: Vec<_> = texts.collect();
    for batch in texts.chunks(BATCH) {
        run_all(&mut session, batch)?;
    }
    Some(session)
}

/// Sends statements together, and reads their answers.
fn run_all(session: &mut Session, texts: &[String]) -> Option<()> {
    let lines = texts.iter().map(|text| format!("QUERY n {text}\r\n"));
    session.send(&lines.collect::<String>()).ok()?;
    for _ in texts {
        let answer = session.read_answer().ok()?;
        if !answer.starts_with("COMPLETE") {
            return None;
        }
    }
    Some(())
}
