//! Control of a process of the product under test.

use std::{
    fs::{File, OpenOptions},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

use crate::error::{Context, LabError};

/// Command line and log file of a process.
#[derive(Debug, Clone)]
pub struct ProcessSpec {
    /// Name of the process, used in messages.
    pub name: String,
    /// Path of the executable.
    pub program: PathBuf,
    /// Command line arguments.
    pub arguments: Vec<String>,
    /// File to which standard output and standard error are appended.
    pub log: PathBuf,
}

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    spec: ProcessSpec,
    child: Option<Child>,
}

impl Process {
    /// Starts the process.
    ///
    /// # Errors
    /// The log file can't be opened or the program can't be started.
    pub fn start(spec: ProcessSpec) -> Result<Self, LabError> {
        let mut process = Self { spec, child: None };
        process.restart()?;
        Ok(process)
    }

    /// Starts the process again, killing it first if it is still running.
    ///
    /// # Errors
    /// As [`Process::start`].
    pub fn restart(&mut self) -> Result<(), LabError> {
        self.kill();
        let log = self.open_log()?;
        let log_for_stderr = log.try_clone().context(self.spec.log.display())?;
        let child = Command::new(&self.spec.program)
            .args(&self.spec.arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(log_for_stderr)
            .spawn()
            .context(self.spec.program.display())?;
        self.child = Some(child);
        Ok(())
    }

    fn open_log(&self) -> Result<File, LabError> {
        OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.spec.log)
            .context(self.spec.log.display())
    }

    /// Name of the process.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// Process ID, or `None` when the process isn't running.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _already_exited = child.kill();
            let _status = child.wait();
        }
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the process to exit and returns its exit code, -1 if a signal ended it.
    ///
    /// Returns `None` when it is still running after `limit`, or was not running.
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
            let _already_exited = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
