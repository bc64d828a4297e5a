//! Waiting for a condition.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How long a condition may take before the test fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// Between two looks.
const PAUSE: Duration = Duration::from_millis(10);

/// Waits until a condition holds.
///
/// # Panics
///
/// When it doesn't within 20 s.
pub fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "never happened: {what}");
        thread::sleep(PAUSE);
    }
}
