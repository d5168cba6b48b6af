//! Writes the migrated file atomically.

use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use super::error::MigrationError;

/// Writes `text` to a temporary file beside `to` and moves it there.
pub(super) fn write(
    from: &Path,
    to: &Path,
    text: &str,
    replace: bool,
) -> Result<(), MigrationError> {
    if is_same_file(from, to) {
        return Err(MigrationError::SameFile(to.to_path_buf()));
    }
    let mut temporary = to.as_os_str().to_owned();
    temporary.push(format!(".{}", std::process::id()));
    try_write(&temporary, to, text, replace).map_err(|source| {
        let _ = fs::remove_file(&temporary);
        let path = to.to_path_buf();
        match source.kind() {
            io::ErrorKind::AlreadyExists => MigrationError::FileExists(path),
            _ => MigrationError::File { path, source },
        }
    })
}

fn is_same_file(one: &Path, other: &Path) -> bool {
    match (fs::canonicalize(one), fs::canonicalize(other)) {
        (Ok(one), Ok(other)) => one == other,
        _ => false,
    }
}

fn try_write(temporary: &OsString, to: &Path, text: &str, replace: bool) -> io::Result<()> {
    let mut file = File::create_new(temporary)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    if replace {
        return fs::rename(temporary, to);
    }
    // Unlike a rename, creating a hard link fails if the file exists, even if it was created just before.
    fs::hard_link(temporary, to)?;
    fs::remove_file(temporary)
}
