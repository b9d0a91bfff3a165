//! Scenario files for the simulation with fakes in virtual time.

use std::{fs, io, path::Path};

use serde::Deserialize;

use crate::{LabError, error::Context as _};

/// Fault that a step injects into its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Messages are lost in both directions.
    Cut,
    /// Messages from the target are lost; messages to it arrive.
    Mute,
    /// Messages to the target are lost; messages from it arrive.
    Deaf,
    /// Messages between the target and the control hosts and entry processes of other zones are
    /// lost; its own zone and all databases still reach it.
    Part,
    /// The process is suspended; it handles the messages that arrived meanwhile when it resumes.
    Freeze,
    /// The process is suspended as soon as it finds a write confirmed.
    FreezeConfirmed,
    /// Messages from the target are lost from the moment it accepts a promotion.
    MutePromoted,
    /// The process is killed and restarts with its disk.
    Kill,
    /// The process is killed and restarts with an empty disk.
    Wipe,
    /// A control host is killed and restarts with an old copy of its disk, its last snapshot.
    Rewind,
}

/// Processes that a step concerns, determined when the step begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// The recorded primary.
    Primary,
    /// A member that is not the recorded primary.
    Replica,
    /// The leading control host.
    Leader,
    /// A control host that does not lead.
    Control,
    /// Both control hosts that do not lead.
    Others,
    /// An entry process.
    Entry,
    /// All hosts of the zone of the recorded primary.
    Zone,
    /// The target of the step before.
    Last,
}

/// One fault of a script.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Earliest start, in milliseconds since the start of the run.
    pub at: u64,
    /// The start is chosen at random up to this many milliseconds later.
    #[serde(default)]
    pub spread: u64,
    /// Fault to inject.
    pub fault: Fault,
    /// Processes concerned.
    pub target: Target,
    /// Shortest and longest duration, in milliseconds.
    pub lasts: (u64, u64),
}

/// A scenario for the simulation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Failure against which the scenario guards.
    pub guards: String,
    /// Seed of the first run; each further run adds 1.
    pub seed: u64,
    /// Length of the run, in milliseconds.
    pub ms: u64,
    /// Longest additional replication delay, in milliseconds.
    #[serde(default)]
    pub lag: u64,
    /// Pause between two changes of an operator, in milliseconds; 0 disables the operators.
    #[serde(default)]
    pub pause: u64,
    /// Percentage of the answers to operators that are lost.
    #[serde(default)]
    pub lost: u32,
    /// Patterns of link failures that recur during the run.
    #[serde(default)]
    pub links: Vec<crate::reachability::Pattern>,
    /// Faults, in order.
    #[serde(default)]
    pub step: Vec<Step>,
}

/// Reads a scenario file.
///
/// # Errors
/// The file can't be read, or a key or value is invalid.
pub fn read(path: &Path) -> Result<Script, LabError> {
    let text = fs::read_to_string(path).context(path.display())?;
    let invalid = |cause| io::Error::new(io::ErrorKind::InvalidData, cause);
    toml::from_str(&text)
        .map_err(invalid)
        .context(path.display())
}
