//! Scenario files: scripted faults against real processes, and the expected results.

use std::{
    fs,
    path::{Path, PathBuf},
};

use base::Exit;
use serde::Deserialize;

use crate::{
    arguments::{arguments, relayed_options},
    error::{Context, LabError},
    scenario_run::run_scenario,
    site::Site,
};

/// One scenario file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Failure against which the scenario guards.
    pub guards: String,
    /// Deployment: `teichwert` or `watchrolls`.
    pub site: String,
    /// Seed of the load.
    pub seed: u64,
    /// Callers per service and zone.
    #[serde(default = "default_callers")]
    pub callers: u32,
    /// Writers per service and zone that measure the failover gap.
    #[serde(default = "default_probers")]
    pub probers: u32,
    /// Length of the load after the last step, in milliseconds.
    #[serde(default = "default_settle_ms")]
    pub settle_ms: u64,
    /// Faults and pauses, in order.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
    /// Expected results in addition to the invariants.
    #[serde(default)]
    pub expect: Expect,
}

const fn default_callers() -> u32 {
    4
}

const fn default_probers() -> u32 {
    1
}

const fn default_settle_ms() -> u64 {
    2_000
}

/// One step of a scenario.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Step {
    /// Waits while the load continues.
    Wait {
        /// Length in milliseconds.
        ms: u64,
    },
    /// Kills a process.
    Kill {
        /// Process concerned.
        target: Target,
    },
    /// Freezes a process.
    Freeze {
        /// Process concerned.
        target: Target,
    },
    /// Resumes every frozen process.
    Resume,
    /// Kills a process and deletes its data.
    LoseDisk {
        /// Process concerned.
        target: Target,
    },
    /// Asks a process to stop and waits until it has exited.
    Stop {
        /// Process concerned.
        target: Target,
    },
    /// Restarts every process that was killed or stopped.
    Restart,
    /// Cuts off a zone from all others.
    Cut {
        /// Zone number from 1.
        zone: u8,
        /// Whether connections are reset rather than silently blocked.
        #[serde(default)]
        reset: bool,
    },
    /// Cuts off the zone of a primary.
    CutPrimary {
        /// Service number from 0.
        service: u8,
    },
    /// Cuts off the zone of a process.
    Isolate {
        /// Process concerned.
        target: Target,
        /// Whether connections are reset rather than silently blocked.
        #[serde(default)]
        reset: bool,
    },
    /// Waits until all control hosts report the same configuration version.
    Agree,
    /// Waits until control has another primary for a service than when the scenario began.
    Replaced {
        /// Service number from 0.
        service: u8,
    },
    /// Removes every cut between zones.
    Heal,
    /// Permanently blocks every open connection between zones; new ones work.
    Silence,
    /// Sets the replication lag of a database.
    Lag {
        /// Process concerned.
        target: Target,
        /// Lag in milliseconds.
        ms: u64,
    },
    /// Orders a planned change of primary.
    ChangePrimary {
        /// Service number from 0.
        service: u8,
    },
    /// Submits the configuration repeatedly, each time as a new version.
    Configure {
        /// Number of changes.
        times: u32,
    },
    /// Submits two different documents against the same version; exactly one must be accepted.
    Race,
    /// Sends a change twice with the same change id; it must be applied once.
    Resend,
    /// Submits a change in the background, so that the next steps run while it is in progress.
    Submit,
    /// Waits until every change submitted in the background is accepted.
    Accepted,
    /// Sets a fault point in a running process of a test build.
    Arm {
        /// Process concerned.
        target: Target,
        /// Name of the fault point.
        point: String,
        /// Actions, as in the variable `FAILPOINTS`.
        actions: String,
    },
    /// Waits until the process with the last set fault point stops answering, as the action `pause`
    /// makes it.
    Stall,
    /// Asks a process to stop without waiting until it exits.
    Terminate {
        /// Process concerned.
        target: Target,
    },
    /// Waits until the process that `Terminate` asked to stop has exited.
    Ended,
    /// Restarts every process that was killed or stopped, and waits until each is ready.
    Rejoin,
    /// Writes once in a zone, as a caller that the load does not use.
    WriteIn {
        /// Process in whose zone the write is sent.
        target: Target,
    },
    /// Reads once in a zone as the caller of `WriteIn`, in a new session without its session token.
    ReadIn {
        /// Process in whose zone the read is sent.
        target: Target,
        /// Whether the next step starts without waiting for the read.
        #[serde(default)]
        begin: bool,
    },
    /// Removes every cut between zones after a delay, without waiting for it.
    HealAfter {
        /// Delay in milliseconds.
        ms: u64,
    },
}

/// Selects a process by its role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Target {
    /// The primary of a service, numbered from 0.
    Primary(u8),
    /// The first replica of a service.
    Replica(u8),
    /// The member that was the primary of a service when the scenario began.
    Former(u8),
    /// The second replica of a service.
    Second(u8),
    /// The leader of the control hosts.
    Leader,
    /// The first control host that is not the leader.
    Follower,
    /// The process whose fault point was set last.
    Armed,
    /// The first entry host in the zone of the member that was the primary of a service when the
    /// scenario began.
    EntryOf(u8),
    /// The control host of a zone, numbered from 1.
    Control(u8),
    /// The first entry host of a zone.
    Entry(u8),
}

/// Expected results of a scenario in addition to the invariants.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Longest failover gap of any service in milliseconds.
    pub gap_ms: u64,
    /// Minimum number of acknowledged writes.
    pub acknowledged: u64,
}

impl Default for Expect {
    fn default() -> Self {
        Self {
            gap_ms: 17_000,
            acknowledged: 1,
        }
    }
}

arguments! {
    /// Command line of the scenario runner.
    folder = "run/scenario",
    #[options(free, help = "scenario files")]
    files: Vec<PathBuf>,
    #[options(help = "use this seed in place of the one in the file")]
    seed: Option<u64>,
}

/// Reads a scenario file.
///
/// # Errors
/// The file can't be read or is not a valid scenario; the message names the line.
pub fn read(path: &Path) -> Result<Scenario, LabError> {
    let text = fs::read_to_string(path).context(path.display())?;
    toml::from_str(&text).map_err(|cause| LabError::Admin(format!("{}: {cause}", path.display())))
}

/// Runs the scenario files in order and prints the result of each.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    if arguments.files.is_empty() {
        eprintln!("scenario: name at least one scenario file");
        return Exit::Usage;
    }
    let mut failed = 0;
    for file in &arguments.files {
        match run_file(file, arguments) {
            Ok(failures) if failures.is_empty() => println!("{}: passed", file.display()),
            Ok(failures) => {
                failed += 1;
                println!("{}: FAILED: {}", file.display(), failures.join("; "));
            }
            Err(cause) => {
                failed += 1;
                println!("{}: FAILED: {cause}", file.display());
            }
        }
    }
    println!("{} passed, {failed} failed", arguments.files.len() - failed);
    if failed == 0 {
        Exit::Done
    } else {
        Exit::Failed
    }
}

fn run_file(file: &Path, arguments: &Arguments) -> Result<Vec<String>, LabError> {
    let mut scenario = read(file)?;
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    let site = Site::named(&scenario.site)
        .ok_or_else(|| LabError::Admin(format!("unknown deployment {}", scenario.site)))?;
    println!(
        "{}: seed {}; guards against {}",
        file.display(),
        scenario.seed,
        scenario.guards
    );
    let choice = relayed_options(&arguments.programs, &arguments.folder);
    crate::runtime()?.block_on(run_scenario(site, &scenario, choice))
}
