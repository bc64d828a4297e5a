//! A temporary directory for a test's files.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A temporary directory, unique to each test and removed on drop.
pub struct TempDir {
    path: PathBuf,
}

impl TempDir {
    /// Creates an empty directory.
    pub fn new() -> TempDir {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("crocushold-{}-{number}", process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        TempDir { path }
    }

    /// Returns the directory's path.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // Files left behind in the system's temporary directory are harmless.
        let _ = fs::remove_dir_all(&self.path);
    }
}
