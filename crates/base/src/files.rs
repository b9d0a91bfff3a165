//! Files that a loss of power leaves whole.

use std::{fs, io, path::Path};

/// Replaces a file with `content`, durably: afterwards it holds either all of it or what it held.
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
    let fresh = path.with_extension("new");
    fs::write(&fresh, content)?;
    fs::File::open(&fresh)?.sync_all()?;
    fs::rename(&fresh, path)?;
    // The new name is durable only once its directory is.
    let parent = path.parent().unwrap_or_else(|| Path::new("."));
    fs::File::open(parent)?.sync_all()
}
