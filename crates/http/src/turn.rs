//! The work that a task does before it lets others run.

/// Work in one turn of a task, in bytes. A peer that sends as fast as it is read would otherwise keep the
/// executor from all other tasks.
const TURN_BYTES: usize = 64 * 1024;

/// Work that a piece of a body costs besides its bytes, expressed in bytes.
const PIECE_BYTES: usize = 256;

/// Counts the work of a task in its present turn.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    bytes: usize,
}

impl Turn {
    /// Counts a piece of `bytes`.
    pub(crate) fn record(&mut self, bytes: usize) {
        self.bytes += bytes + PIECE_BYTES;
    }

    /// Begins a new turn.
    pub(crate) fn begin(&mut self) {
        self.bytes = 0;
    }

    /// Whether the task should let others run before it goes on.
    pub(crate) fn is_over(&self) -> bool {
        self.bytes >= TURN_BYTES
    }
}
