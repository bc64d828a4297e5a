//! Polling for a condition.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How long a condition may take before the test fails.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of conditions that take half a minute by design.
const LONG_TIMEOUT: Duration = Duration::from_secs(45);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it doesn't hold within 20 s.
pub fn wait(what: &str, condition: impl FnMut() -> bool) {
    wait_within(TIMEOUT, what, condition);
}

/// Waits for a condition that takes half a minute by design.
///
/// # Panics
///
/// Panics if it doesn't hold within 45 s.
pub fn wait_long(what: &str, condition: impl FnMut() -> bool) {
    wait_within(LONG_TIMEOUT, what, condition);
}

fn wait_within(timeout: Duration, what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < timeout, "timed out waiting for: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
