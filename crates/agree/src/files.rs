//! Data directory on a real disk.

use std::{
    cell::RefCell,
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
    hard::HardState,
};

/// Data directory of one host, locked against other processes.
#[derive(Debug)]
pub struct DataDirectory {
    path: PathBuf,
    lock: fs::File,
    /// File that was last appended to, its handle and its size. Calls never overlap.
    append_file: RefCell<Option<(File, Handle, u64)>>,
}

impl DataDirectory {
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
                lock,
                append_file: RefCell::default(),
            }),
            Err(fs::TryLockError::WouldBlock) => Err(StartError::Locked(path.to_owned())),
            Err(fs::TryLockError::Error(cause)) => Err(disk(cause)),
        }
    }

    fn file_path(&self, file: File) -> PathBuf {
        self.path.join(file.name())
    }

    /// Writes and syncs bytes at an offset.
    async fn write(handle: &mut Handle, at: u64, bytes: Vec<u8>) -> io::Result<()> {
        fault_point("agree::write")?;
        let BufResult(written, _bytes) = handle.write_all_at(bytes, at).await;
        written?;
        fault_point("agree::sync")?;
        handle.sync_data().await?;
        fault_point("agree::synced")
    }

    /// Syncs the directory, which makes a created or renamed file durable.
    async fn sync_directory(&self) -> io::Result<()> {
        let handle = Handle::open(&self.path).await?;
        handle.sync_all().await?;
        handle.close().await
    }
}

/// Fault point: the action `return` makes the operation fail as on a disk error, and `return(full)` as
/// on a full disk.
#[cfg(feature = "failpoints")]
fn fault_point(point: &str) -> io::Result<()> {
    fail::fail_point!(point, |kind| Err(match kind.as_deref() {
        Some("full") => io::Error::from(ErrorKind::StorageFull),
        _ => io::Error::other("fault point"),
    }));
    Ok(())
}

#[cfg(not(feature = "failpoints"))]
#[expect(
    clippy::unnecessary_wraps,
    reason = "same signature as with fault points"
)]
const fn fault_point(_point: &str) -> io::Result<()> {
    Ok(())
}

impl Disk for DataDirectory {
    fn read(&self, file: File) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.file_path(file)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(cause) if cause.kind() == ErrorKind::NotFound => Ok(None),
            Err(cause) => Err(cause),
        }
    }

    async fn append(&self, file: File, bytes: Vec<u8>) -> io::Result<()> {
        let cached = self
            .append_file
            .borrow_mut()
            .take()
            .filter(|(name, ..)| *name == file);
        let (mut handle, size) = if let Some((_, handle, size)) = cached {
            (handle, size)
        } else {
            let path = self.file_path(file);
            let mut options = OpenOptions::new();
            let handle = options.write(true).create(true).open(&path).await?;
            // The file may have been created just now.
            self.sync_directory().await?;
            let size = handle.metadata().await?.len();
            (handle, size)
        };
        let length = bytes.len() as u64;
        let written = Self::write(&mut handle, size, bytes).await;
        // After an error the next write starts at the same offset, over what was written of this one.
        let size = size + if written.is_ok() { length } else { 0 };
        *self.append_file.borrow_mut() = Some((file, handle, size));
        written
    }

    async fn replace(&self, file: File, bytes: Vec<u8>) -> io::Result<()> {
        if self
            .append_file
            .borrow()
            .as_ref()
            .is_some_and(|(name, ..)| *name == file)
        {
            self.append_file.borrow_mut().take();
        }
        let path = self.file_path(file);
        let temporary = path.with_extension("new");
        let mut options = OpenOptions::new();
        let mut handle = options
            .write(true)
            .create(true)
            .truncate(true)
            .open(&temporary)
            .await?;
        if let Err(cause) = Self::write(&mut handle, 0, bytes).await {
            // Its part may take the last room on a full disk.
            let _removed = fs::remove_file(&temporary);
            return Err(cause);
        }
        handle.close().await?;
        compio::fs::rename(&temporary, &path).await?;
        fault_point("agree::renamed")?;
        self.sync_directory().await
    }

    fn release(&self) {
        // If this fails, the lock is released when the process ends.
        let _released = self.lock.unlock();
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
    let directory = DataDirectory::open(data)?;
    for file in [File::State, File::Snapshot, File::Log] {
        if directory.file_path(file).exists() {
            return Err(StartError::NotEmpty(data.to_owned()));
        }
    }
    let path = directory.file_path(File::State);
    let written = base::files::replace(&path, HardState::new(name.to_owned(), 0).encode());
    written.map_err(|cause| StartError::Disk { path, cause })
}
