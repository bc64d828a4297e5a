//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A record that all threads write to. Clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record can be written"),
            )),
            begun: Instant::now(),
        }
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>6} {text}", self.now());
    }
}
