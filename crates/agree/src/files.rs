//! Data directory on a real disk.

use std::{
    fs, io,
    io::ErrorKind,
    path::{Path, PathBuf},
};

use compio::{
    buf::BufResult,
    fs::{File as Handle, OpenOptions},
    io::AsyncWriteAtExt as _,
};

use crate::{
    environment::{Disk, File},
    error::StartError,
    hard::Hard,
};

/// Data directory of one host, locked against other processes.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    /// Holds the lock until it is dropped.
    _lock: fs::File,
}

impl Directory {
    /// Creates the directory if needed and locks it.
    ///
    /// # Errors
    /// Another process holds the lock, or the directory cannot be used.
    pub fn open(path: &Path) -> Result<Self, StartError> {
        let disk = |cause| StartError::Disk {
            path: path.to_owned(),
            cause,
        };
        fs::create_dir_all(path).map_err(disk)?;
        let lock = fs::File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join("lock"))
            .map_err(disk)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                path: path.to_owned(),
                _lock: lock,
            }),
            Err(fs::TryLockError::WouldBlock) => Err(StartError::Locked(path.to_owned())),
            Err(fs::TryLockError::Error(cause)) => Err(disk(cause)),
        }
    }

    fn file(&self, file: File) -> PathBuf {
        self.path.join(file.name())
    }

    async fn write(path: &Path, at: Option<u64>, bytes: Vec<u8>) -> io::Result<()> {
        let mut options = OpenOptions::new();
        options.write(true).create(true);
        if at.is_none() {
            options.truncate(true);
        }
        let mut handle = options.open(path).await?;
        fault("agree::write")?;
        let BufResult(written, _bytes) = handle.write_all_at(bytes, at.unwrap_or(0)).await;
        written?;
        fault("agree::sync")?;
        handle.sync_all().await?;
        fault("agree::synced")?;
        handle.close().await
    }

    /// Makes a new or renamed file durable.
    async fn sync_directory(&self) -> io::Result<()> {
        let handle = Handle::open(&self.path).await?;
        handle.sync_all().await?;
        handle.close().await
    }
}

/// Fault point; `return` makes the operation fail as a broken disk would.
#[cfg_attr(
    not(feature = "failpoints"),
    expect(
        clippy::missing_const_for_fn,
        clippy::unnecessary_wraps,
        reason = "empty without fault points"
    )
)]
fn fault(_point: &str) -> io::Result<()> {
    fail::fail_point!(_point, |_| Err(io::Error::other("fault point")));
    Ok(())
}

impl Disk for Directory {
    fn read(&self, file: File) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.file(file)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(cause) if cause.kind() == ErrorKind::NotFound => Ok(None),
            Err(cause) => Err(cause),
        }
    }

    async fn append(&self, file: File, bytes: Vec<u8>) -> io::Result<()> {
        let path = self.file(file);
        let size = match compio::fs::metadata(&path).await {
            Ok(found) => Some(found.len()),
            Err(cause) if cause.kind() == ErrorKind::NotFound => None,
            Err(cause) => return Err(cause),
        };
        Self::write(&path, Some(size.unwrap_or(0)), bytes).await?;
        if size.is_none() {
            self.sync_directory().await?;
        }
        Ok(())
    }

    async fn replace(&self, file: File, bytes: Vec<u8>) -> io::Result<()> {
        let path = self.file(file);
        let fresh = path.with_extension("new");
        Self::write(&fresh, None, bytes).await?;
        compio::fs::rename(&fresh, &path).await?;
        fault("agree::renamed")?;
        self.sync_directory().await
    }
}

/// Creates the data directory of a founding host, once at installation.
///
/// # Errors
/// The directory is formatted already, in use, or cannot be written.
///
/// ```
/// let parent = tempfile::tempdir().unwrap();
/// let data = parent.path().join("data");
/// agree::format(&data, "control-1").unwrap();
/// assert!(agree::format(&data, "control-1").is_err());
/// ```
pub fn format(data: &Path, name: &str) -> Result<(), StartError> {
    let directory = Directory::open(data)?;
    for file in [File::State, File::Snapshot, File::Log] {
        if directory.file(file).exists() {
            return Err(StartError::NotEmpty(data.to_owned()));
        }
    }
    let path = directory.file(File::State);
    let fresh = path.with_extension("new");
    let write = || {
        fs::write(&fresh, Hard::new(name.to_owned(), 0).encode())?;
        fs::File::open(&fresh)?.sync_all()?;
        fs::rename(&fresh, &path)?;
        fs::File::open(data)?.sync_all()
    };
    write().map_err(|cause| StartError::Disk {
        path: path.clone(),
        cause,
    })
}
