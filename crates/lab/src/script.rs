//! Small scenarios that are played against fakes in virtual time.

use std::{fs, io, path::Path};

use serde::Deserialize;

use crate::{LabError, error::Context as _};

/// What happens to the target of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No message passes in either direction.
    Cut,
    /// Its messages are lost; it still receives.
    Mute,
    /// It receives nothing; its messages arrive.
    Deaf,
    /// Only databases and its own zone reach it: control hosts and entry processes of other zones
    /// don't.
    Part,
    /// The process stands still and handles what it received when it goes on.
    Freeze,
    /// The target stands still as soon as it has found a write confirmed.
    FreezeConfirmed,
    /// The messages of the target are lost from the moment it obeys an order to be primary.
    MutePromoted,
    /// The process ends and starts again with its disk.
    Kill,
    /// The process ends and starts again with an empty disk.
    Wipe,
    /// A control host ends and starts again with an old copy of its disk.
    Rewind,
}

/// Who a step concerns, found when it begins.
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

/// A fault of a scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Earliest beginning, in milliseconds.
    pub at: u64,
    /// The beginning is drawn up to this many milliseconds later.
    #[serde(default)]
    pub spread: u64,
    /// What happens.
    pub fault: Fault,
    /// To whom.
    pub target: Target,
    /// Shortest and longest duration, in milliseconds.
    pub lasts: (u64, u64),
}

/// A scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Which failure it guards against.
    pub guards: String,
    /// First seed; each run adds one.
    pub seed: u64,
    /// Length, in milliseconds.
    pub ms: u64,
    /// Longest delay before a replica applies what it received, in milliseconds.
    #[serde(default)]
    pub lag: u64,
    /// Pause between two changes of an operator, in milliseconds; 0: no operators.
    #[serde(default)]
    pub pause: u64,
    /// Part of the answers to operators that is lost, in percent.
    #[serde(default)]
    pub lost: u32,
    /// Patterns of links that fail again and again during the whole run.
    #[serde(default)]
    pub links: Vec<crate::reachability::Pattern>,
    /// Faults.
    #[serde(default)]
    pub step: Vec<Step>,
}

/// Reads a scenario file.
///
/// # Errors
/// It can't be read, or a key or value of it is wrong.
pub fn read(path: &Path) -> Result<Script, LabError> {
    let text = fs::read_to_string(path).context(path.display())?;
    let invalid = |cause| io::Error::new(io::ErrorKind::InvalidData, cause);
    toml::from_str(&text)
        .map_err(invalid)
        .context(path.display())
}
