//! What an entry instance adds to a request.

use std::path::Path;

use crate::Outcome;

/// Runs the measurement and writes its page.
///
/// # Errors
///
/// Fails when a process can't be started.
pub async fn run(_out: &Path) -> Outcome<()> {
    Err("not yet".into())
}
