//! Scenario files: scripted faults against real processes, with what must hold after them.

use std::{
    fs,
    path::{Path, PathBuf},
};

use base::Exit;
use serde::Deserialize;

use crate::{
    arguments::{arguments, relayed_options},
    error::{Context, LabError},
    site::Site,
    stage::play,
};

/// One scenario file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Failure that the scenario guards against.
    pub guards: String,
    /// Deployment: `teichwert` or `watchrolls`.
    pub site: String,
    /// Seed of the load.
    pub seed: u64,
    /// Callers per service and zone.
    #[serde(default = "callers")]
    pub callers: u32,
    /// Writers without pause per service and zone.
    #[serde(default = "probers")]
    pub probers: u32,
    /// Length of the load after the last step, in milliseconds.
    #[serde(default = "settle")]
    pub settle_ms: u64,
    /// Faults and pauses, in order.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
    /// What must hold beside the invariants.
    #[serde(default)]
    pub expect: Expect,
}

const fn callers() -> u32 {
    4
}

const fn probers() -> u32 {
    1
}

const fn settle() -> u64 {
    2_000
}

/// One step of a scenario.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Step {
    /// Lets the load go on.
    Wait {
        /// Length in milliseconds.
        ms: u64,
    },
    /// Kills a process.
    Kill {
        /// Which one.
        target: Target,
    },
    /// Freezes a process.
    Freeze {
        /// Which one.
        target: Target,
    },
    /// Lets every frozen process go on.
    Resume,
    /// Kills a process and deletes its data.
    LoseDisk {
        /// Which one.
        target: Target,
    },
    /// Asks a process to stop and waits until it ended by itself.
    Stop {
        /// Which one.
        target: Target,
    },
    /// Starts every process again that was killed or stopped.
    Restart,
    /// Cuts a zone off from all others.
    Cut {
        /// Zone number from 1.
        zone: u8,
        /// Whether connections are reset in place of going silent.
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
        /// Which one.
        target: Target,
        /// Whether connections are reset in place of going silent.
        #[serde(default)]
        reset: bool,
    },
    /// Waits until all control hosts report one configuration version.
    Agree,
    /// Lets all traffic pass again.
    Heal,
    /// Makes every open connection between zones silent for good.
    Silence,
    /// Sets the replication lag of a database.
    Lag {
        /// Which one.
        target: Target,
        /// Lag in milliseconds.
        ms: u64,
    },
    /// Orders a planned change of primary.
    ChangePrimary {
        /// Service number from 0.
        service: u8,
    },
    /// Submits the configuration again under a new version, so many times.
    Configure {
        /// Number of changes.
        times: u32,
    },
    /// Two operators submit different documents on the same version; exactly one must win.
    Race,
    /// A change is sent twice under one change id; it must count once.
    Resend,
    /// Submits a change in the background, so that the next steps meet it.
    Submit,
    /// Waits until every change submitted in the background is accepted.
    Accepted,
    /// Sets a fault point of a running test build.
    Arm {
        /// Which process.
        target: Target,
        /// Name of the point.
        point: String,
        /// Actions, as in the variable `FAILPOINTS`.
        actions: String,
    },
    /// Waits until the process armed last answers no more, as it does at the action `pause`.
    Stall,
    /// Asks a process to stop, without waiting for its end.
    Terminate {
        /// Which one.
        target: Target,
    },
    /// Waits until the process asked last to stop ended by itself.
    Ended,
    /// Starts every process again and waits until each is ready.
    Rejoin,
    /// A caller of its own writes once in a zone.
    WriteIn {
        /// Process whose zone takes the write.
        target: Target,
    },
    /// The same caller reads once in a zone, in a new session that has lost its token.
    ReadIn {
        /// Process whose zone takes the read.
        target: Target,
        /// Whether the next step begins while the read still runs.
        #[serde(default)]
        begin: bool,
    },
    /// Lets all traffic pass again after a while, without waiting for it.
    HealAfter {
        /// Time until then in milliseconds.
        ms: u64,
    },
}

/// A process, by its place.
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
    /// The process armed last.
    Armed,
    /// The entry host in the zone of the member that was the primary of a service.
    EntryOf(u8),
    /// The control host of a zone, numbered from 1.
    Control(u8),
    /// The first entry host of a zone.
    Entry(u8),
}

/// What must hold beside the invariants.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Longest failover gap of any service in milliseconds.
    pub gap_ms: u64,
    /// Least number of acknowledged writes.
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
/// The file can't be read or is not a scenario; the text names the line.
pub fn read(path: &Path) -> Result<Scenario, LabError> {
    let text = fs::read_to_string(path).context(path.display())?;
    toml::from_str(&text).map_err(|cause| LabError::Admin(format!("{}: {cause}", path.display())))
}

/// Plays the scenarios one after the other.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    if arguments.files.is_empty() {
        eprintln!("scenario: name at least one scenario file");
        return Exit::Usage;
    }
    let mut failed = 0;
    for file in &arguments.files {
        match play_file(file, arguments) {
            Ok(faults) if faults.is_empty() => println!("{}: passed", file.display()),
            Ok(faults) => {
                failed += 1;
                println!("{}: FAILED: {}", file.display(), faults.join("; "));
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

fn play_file(file: &Path, arguments: &Arguments) -> Result<Vec<String>, LabError> {
    let mut scenario = read(file)?;
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    let site = Site::named(&scenario.site)
        .ok_or_else(|| LabError::Admin(format!("no deployment {}", scenario.site)))?;
    println!(
        "{}: seed {}; guards against {}",
        file.display(),
        scenario.seed,
        scenario.guards
    );
    let choice = relayed_options(&arguments.programs, &arguments.folder);
    crate::runtime()?.block_on(play(site, &scenario, choice))
}
