//! Crash-safe file writes.

use std::{fs, io, path::Path};

/// Replaces the content of a file atomically and durably.
///
/// After a crash the file has either its previous content or all of `content`.
///
/// ```
/// let folder = std::env::temp_dir().join(format!("replace-{}", std::process::id()));
/// std::fs::create_dir_all(&folder)?;
/// base::files::replace(&folder.join("seating"), "new")?;
/// assert_eq!(std::fs::read_to_string(folder.join("seating"))?, "new");
/// # std::fs::remove_dir_all(&folder)?;
/// # std::io::Result::Ok(())
/// ```
///
/// # Errors
/// The directory of the file can't be written.
pub fn replace(path: &Path, content: impl AsRef<[u8]>) -> io::Result<()> {
    let temporary = path.with_extension("new");
    fs::write(&temporary, content)?;
    fs::File::open(&temporary)?.sync_all()?;
    fs::rename(&temporary, path)?;
    // The rename is durable only after the directory is synced.
    let parent = path.parent().unwrap_or_else(|| Path::new("."));
    fs::File::open(parent)?.sync_all()
}
