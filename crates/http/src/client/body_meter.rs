//! What bounds the body of an answer besides the silence of its server.

use crocushold_base::Millis;

use super::observer::CutCause;
use crate::event_size::EventSize;
use crate::turn::Turn;

#[cfg(test)]
mod tests;

/// Bytes that are relayed after the deadline if they can be read without waiting: about what a receive
/// buffer holds. An answer that has arrived by its deadline is delivered, also by a process that was
/// suspended.
const MAX_LATE_BYTES: u64 = 256 * 1024;

/// Counts the bytes of a body against its limits.
#[derive(Debug)]
pub(super) struct BodyMeter {
    max_bytes: u64,
    max_event_bytes: u64,
    bytes: u64,
    late_bytes: u64,
    turn: Turn,
    deadline: Option<Millis>,
    /// `Some` for a stream of events.
    event: Option<EventSize>,
}

impl BodyMeter {
    pub(super) fn new(max_bytes: u64, max_event_bytes: u64) -> BodyMeter {
        BodyMeter {
            max_bytes,
            max_event_bytes,
            bytes: 0,
            late_bytes: 0,
            turn: Turn::default(),
            deadline: None,
            event: None,
        }
    }

    /// Bytes read so far.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Sets the time from which on only bytes at hand are relayed.
    pub(super) fn set_deadline(&mut self, deadline: Millis) {
        self.deadline = Some(deadline);
    }

    /// Takes the body for a stream of events. Only its events are bounded in bytes then: a stream may go on
    /// for as long as its request.
    pub(super) fn expect_events(&mut self) {
        self.event = Some(EventSize::default());
    }

    /// Counts the next bytes.
    ///
    /// # Errors
    ///
    /// Returns the limit that they exceed.
    pub(super) fn record(&mut self, bytes: &[u8], now: Millis) -> Result<(), CutCause> {
        let count = bytes.len() as u64;
        if self.deadline.is_some_and(|deadline| now >= deadline) {
            self.late_bytes += count;
            if self.late_bytes > MAX_LATE_BYTES {
                return Err(CutCause::Overdue);
            }
        }
        let (size, limit) = match &mut self.event {
            Some(event) => (event.push(bytes), self.max_event_bytes),
            None => (self.bytes + count, self.max_bytes),
        };
        if size > limit {
            return Err(CutCause::TooLarge);
        }
        self.bytes += count;
        self.turn.record(bytes.len());
        Ok(())
    }

    /// Begins a new turn of the task.
    pub(super) fn begin_turn(&mut self) {
        self.turn.begin();
    }

    /// Whether the task should let others run before it reads on.
    pub(super) fn is_turn_over(&self) -> bool {
        self.turn.is_over()
    }
}
