//! Settings files: one TOML file per process, checked in full at start.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;

/// Validation of settings after parsing.
pub trait Check {
    /// Checks combinations of values.
    ///
    /// # Errors
    /// Returns the first invalid combination as (cause, fix), each one sentence.
    fn check(&self) -> Result<(), (String, String)>;
}

/// Why a settings file was rejected.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Read(PathBuf, io::Error),
    /// The file is not the TOML that this process expects; the text names line and key.
    Parse(PathBuf, String),
    /// The combination of values is invalid: cause and fix.
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
/// `T` should have `#[serde(deny_unknown_fields)]`, so that a misspelt key is rejected.
///
/// # Errors
/// The file is missing, is not valid TOML for `T`, or contains an invalid combination of values.
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
