//! A simulated engine.

use std::collections::VecDeque;

/// Concurrent requests of an engine.
pub(crate) const BATCH: usize = 16;

/// Number of cached prefixes.
const CACHED_PREFIXES: usize = 24;

/// Milliseconds per token with an empty batch, and the increase per additional request.
const TOKEN_MS: f64 = 10.0;
const TOKEN_MS_PER_REQUEST: f64 = 0.5;

/// Duration of the prefill with and without the prefix cached, in milliseconds.
const PREFILL_HIT: f64 = 40.0;
const PREFILL_MISS: f64 = 250.0;

/// Mean time that a request of `tokens` tokens holds a slot of a full engine, in milliseconds.
pub(crate) fn full_duration(tokens: f64) -> f64 {
    PREFILL_MISS + tokens * (TOKEN_MS + TOKEN_MS_PER_REQUEST * BATCH as f64)
}

/// An engine.
#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) running: Vec<usize>,
    pub(crate) waiting: VecDeque<usize>,
    pub(crate) slowdown: f64,
    pub(crate) crashed: bool,
    cached: VecDeque<u64>,
}

/// The times from now to the first token and the end of a started request, and whether its prefix
/// was cached.
pub(crate) struct Started {
    pub(crate) first: f64,
    pub(crate) end: f64,
    pub(crate) hit: bool,
}

impl Engine {
    pub(crate) fn new() -> Engine {
        Engine {
            slowdown: 1.0,
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
        let token_ms = TOKEN_MS + TOKEN_MS_PER_REQUEST * self.running.len() as f64;
        let first = (prefill + token_ms) * self.slowdown;
        Started {
            first,
            end: first + tokens * token_ms * self.slowdown,
            hit,
        }
    }

    /// Looks up and caches `prefix`. The least recently used prefix is evicted first.
    fn touch(&mut self, prefix: u64) -> bool {
        let found = self.cached.iter().position(|&cached| cached == prefix);
        if let Some(at) = found {
            self.cached.remove(at);
        } else if self.cached.len() == CACHED_PREFIXES {
            self.cached.pop_front();
        }
        self.cached.push_back(prefix);
        found.is_some()
    }
}
