//! Errors of the public interface.

use std::{error::Error, fmt, io, path::PathBuf};

use base::HostName;

/// Why a node cannot start.
#[derive(Debug)]
pub enum StartError {
    /// The options contradict each other.
    Options(String),
    /// Another process uses the data directory.
    Locked(PathBuf),
    /// A file of the data directory is damaged or inconsistent.
    Corrupt {
        /// The damaged file.
        file: String,
        /// What is wrong with it.
        cause: String,
    },
    /// The data directory cannot be read or written.
    Disk {
        /// The file or directory.
        path: PathBuf,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// `format` was called for a data directory that is already formatted.
    NotEmpty(PathBuf),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Options(cause) => f.write_str(cause),
            Self::Locked(path) => write!(
                f,
                "data directory {} is in use by another process; stop that process or set another \
                 `data` directory",
                path.display()
            ),
            Self::Corrupt { file, cause } => write!(
                f,
                "{file} in the data directory is corrupt: {cause}; replace the host: stop it, move \
                 the data directory away, and start it with an empty one without `--format`, so \
                 that the other hosts send it their log and readmit it"
            ),
            Self::Disk { path, cause } => {
                write!(
                    f,
                    "cannot access {}: {cause}; check the disk and its permissions",
                    path.display()
                )
            }
            Self::NotEmpty(path) => write!(
                f,
                "data directory {} is already formatted; `--format` is for the first start of a \
                 founding host only; to replace a host, start it with an empty directory without \
                 `--format`",
                path.display()
            ),
        }
    }
}

impl Error for StartError {}

/// Why a proposal failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposeError {
    /// Nothing was proposed because this host is not the leader. Has the name of the leader if
    /// known.
    NotLeader(Option<HostName>),
    /// The payload will certainly not be applied.
    Dropped,
    /// The payload may be applied, now or later.
    Unknown,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(Some(name)) => {
                write!(f, "not proposed: this host is not the leader; ask {name}")
            }
            Self::NotLeader(None) => {
                f.write_str("not proposed: no leader is known; retry when a majority is reachable")
            }
            Self::Dropped => {
                f.write_str("not applied: another leader replaced the proposal; retry")
            }
            Self::Unknown => f.write_str(
                "outcome unknown: no majority confirmed the proposal in time; it may be applied",
            ),
        }
    }
}

impl Error for ProposeError {}

/// Why no read point for linearizable reads could be established.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadIndexError {
    /// This host is not the leader. Has the name of the leader if known.
    NotLeader(Option<HostName>),
    /// No majority replied in time.
    NoMajority,
}

impl fmt::Display for ReadIndexError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(Some(name)) => write!(f, "this host is not the leader; ask {name}"),
            Self::NotLeader(None) => f.write_str("no leader is known; retry later"),
            Self::NoMajority => f.write_str("no majority of control hosts answered; retry later"),
        }
    }
}

impl Error for ReadIndexError {}
