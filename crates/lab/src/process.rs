//! One process of the product under test.

use std::{
    fs::{File, OpenOptions},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

use crate::error::{Context, LabError};

/// How to start a process.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Name, also of its log file.
    pub name: String,
    /// Program file.
    pub program: PathBuf,
    /// Arguments.
    pub arguments: Vec<String>,
    /// File that receives standard error and standard output.
    pub log: PathBuf,
}

/// A started process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    plan: Plan,
    child: Option<Child>,
}

impl Process {
    /// Starts the process.
    ///
    /// # Errors
    /// The log can't be opened or the program can't be started.
    pub fn start(plan: Plan) -> Result<Self, LabError> {
        let mut process = Self { plan, child: None };
        process.restart()?;
        Ok(process)
    }

    /// Starts the process again after it ended.
    ///
    /// # Errors
    /// As [`Process::start`].
    pub fn restart(&mut self) -> Result<(), LabError> {
        self.kill();
        let log = self.open_log()?;
        let errors = log.try_clone().context(self.plan.log.display())?;
        let child = Command::new(&self.plan.program)
            .args(&self.plan.arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .context(self.plan.program.display())?;
        self.child = Some(child);
        Ok(())
    }

    fn open_log(&self) -> Result<File, LabError> {
        OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.plan.log)
            .context(self.plan.log.display())
    }

    /// Name of the process.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.plan.name
    }

    /// Process id while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process at once and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _already_ended = child.kill();
            let _status = child.wait();
        }
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the end of the process; `None` when it still runs at the end of `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        let child = self.child.as_mut()?;
        while Instant::now() < end {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return Some(status.code().unwrap_or(-1));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            let _already_ended = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
