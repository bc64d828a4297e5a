//! A folder for a test's files, removed with the test.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A folder of its own for each test.
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Makes an empty folder.
    pub fn new() -> Folder {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("crocushold-{}-{number}", process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Folder { path }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A file that is left behind in the temporary folder harms nothing.
        let _ = fs::remove_dir_all(&self.path);
    }
}
