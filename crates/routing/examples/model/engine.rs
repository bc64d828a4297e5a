//! An engine of the model.

use std::collections::VecDeque;

/// Requests that an engine runs at a time.
pub(crate) const BATCH: usize = 16;

/// Prefixes that it caches.
const CACHE: usize = 24;

/// Milliseconds for each token with an empty batch, and what each further request adds.
const PACE: f64 = 10.0;
const PACE_PER_REQUEST: f64 = 0.5;

/// Milliseconds of prefill with the prefix cached, and without.
const PREFILL_HIT: f64 = 40.0;
const PREFILL_MISS: f64 = 250.0;

/// Mean time that a request of `tokens` holds a slot in a full engine.
pub(crate) fn full_span(tokens: f64) -> f64 {
    PREFILL_MISS + tokens * (PACE + PACE_PER_REQUEST * BATCH as f64)
}

/// One engine.
#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) running: Vec<usize>,
    pub(crate) waiting: VecDeque<usize>,
    pub(crate) slow: f64,
    pub(crate) crashed: bool,
    cached: VecDeque<u64>,
}

/// When a started request has its first token and its end, from now, and whether its prefix was
/// cached.
pub(crate) struct Started {
    pub(crate) first: f64,
    pub(crate) end: f64,
    pub(crate) hit: bool,
}

impl Engine {
    pub(crate) fn new() -> Engine {
        Engine {
            slow: 1.0,
            ..Engine::default()
        }
    }

    pub(crate) fn has_room(&self) -> bool {
        self.running.len() < BATCH
    }

    pub(crate) fn start(&mut self, request: usize, prefix: u64, tokens: f64) -> Started {
        self.running.push(request);
        let hit = self.touch(prefix);
        let prefill = if hit { PREFILL_HIT } else { PREFILL_MISS };
        let pace = PACE + PACE_PER_REQUEST * self.running.len() as f64;
        let first = (prefill + pace) * self.slow;
        Started {
            first,
            end: first + tokens * pace * self.slow,
            hit,
        }
    }

    /// Least recently used goes first.
    fn touch(&mut self, prefix: u64) -> bool {
        let found = self.cached.iter().position(|&cached| cached == prefix);
        if let Some(at) = found {
            self.cached.remove(at);
        } else if self.cached.len() == CACHE {
            self.cached.pop_front();
        }
        self.cached.push_back(prefix);
        found.is_some()
    }
}
