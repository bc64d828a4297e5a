//! Waiting for a condition.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How long a condition may take before the test fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// The same for a condition that takes half a minute by design.
const LONG_PATIENCE: Duration = Duration::from_secs(45);

/// Between two looks.
const PAUSE: Duration = Duration::from_millis(10);

/// Waits until a condition holds.
///
/// # Panics
///
/// When it doesn't within 20 s.
pub fn wait(what: &str, condition: impl FnMut() -> bool) {
    wait_within(PATIENCE, what, condition);
}

/// Waits for a condition that takes half a minute by design.
///
/// # Panics
///
/// When it doesn't hold within 45 s.
pub fn wait_long(what: &str, condition: impl FnMut() -> bool) {
    wait_within(LONG_PATIENCE, what, condition);
}

fn wait_within(patience: Duration, what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < patience, "never happened: {what}");
        thread::sleep(PAUSE);
    }
}
