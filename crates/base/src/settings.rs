//! Settings files: one TOML file per process, checked in full at start.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;

/// Settings that can check combinations of values.
pub trait Check {
    /// Returns the first impossible combination as (cause, fix).
    ///
    /// # Errors
    /// The cause and the fix, each one sentence.
    fn check(&self) -> Result<(), (String, String)>;
}

/// Why a settings file was refused.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Read(PathBuf, io::Error),
    /// The file is not the TOML that this process expects; the text names line and key.
    Parse(PathBuf, String),
    /// The values can't stand together: cause and fix.
    Combination(PathBuf, String, String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, cause) => write!(
                f,
                "{}: can't be read: {cause}; give the right path with --settings",
                path.display()
            ),
            Self::Parse(path, cause) => write!(f, "{}: {cause}", path.display()),
            Self::Combination(path, cause, fix) => {
                write!(f, "{}: {cause}; {fix}", path.display())
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads and checks a settings file.
///
/// The type should carry `#[serde(deny_unknown_fields)]`, so that a misspelt key is refused.
///
/// # Errors
/// The file is missing, is not valid TOML for `T`, or holds an impossible combination.
pub fn load<T: DeserializeOwned + Check>(path: &Path) -> Result<T, SettingsError> {
    let text =
        fs::read_to_string(path).map_err(|cause| SettingsError::Read(path.to_owned(), cause))?;
    parse(path, &text)
}

/// Reads and checks settings from a text; `path` is used in messages only.
///
/// # Errors
/// As [`load`].
pub fn parse<T: DeserializeOwned + Check>(path: &Path, text: &str) -> Result<T, SettingsError> {
    let settings: T = toml::from_str(text)
        .map_err(|cause| SettingsError::Parse(path.to_owned(), cause.to_string()))?;
    match settings.check() {
        Ok(()) => Ok(settings),
        Err((cause, fix)) => Err(SettingsError::Combination(path.to_owned(), cause, fix)),
    }
}
