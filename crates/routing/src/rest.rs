//! Servers that asked this instance to send nothing for a while.
//!
//! A server that rejects a request may name a time in which it wants no more from the instance that
//! sent it. The server decides that for each instance, so other instances may go on sending. A rest
//! ends at its time and not before: an answer that says otherwise may be older.
//!
//! A rest isn't a failure of the server. It doesn't count for an ejection, and a limit on the number
//! of ejected servers doesn't end it.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

/// Longest rest. It bounds the damage of a wrong value.
const MAX_REST: Millis = Millis::from_secs(3600);

/// Maximum extension of a rest, as a fraction of it. Where a server asks many instances for the same
/// rest at once, they don't return at once.
const SPREAD: f64 = 0.2;

/// Maximum extension of a rest.
const MAX_SPREAD: Millis = Millis::from_secs(1);

/// A server that must get nothing until a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    /// The server.
    pub server: ServerKey,
    /// The end of the rest.
    pub until: Millis,
}

/// The rests that servers asked this instance for.
#[derive(Clone, Debug)]
pub struct Rests {
    /// In no order. Servers rarely ask for rest, and few at a time.
    active: Vec<Rest>,
    rng: Xoshiro256PlusPlus,
}

impl Rests {
    /// No rests. The seed should differ between instances.
    pub fn new(seed: u64) -> Rests {
        Rests {
            active: Vec::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Records that a rejection received at `now` asks for a rest of `span`. Returns whether the
    /// server wasn't resting.
    pub fn record(&mut self, server: ServerKey, span: Millis, now: Millis) -> bool {
        if span == Millis::ZERO {
            return false;
        }
        let span = span.min(MAX_REST);
        let spread = (span.0 as f64 * SPREAD).min(MAX_SPREAD.0 as f64);
        let until = now + span + Millis((spread * self.rng.random::<f64>()) as u64);
        let mut active = self.active.iter_mut();
        if let Some(rest) = active.find(|rest| rest.server == server) {
            rest.until = rest.until.max(until);
            return false;
        }
        self.active.push(Rest { server, until });
        true
    }

    /// The rests that haven't been taken by [`Rests::take_ended`] or removed.
    pub fn active(&self) -> &[Rest] {
        &self.active
    }

    /// Whether the server is resting.
    pub fn contains(&self, server: ServerKey) -> bool {
        self.active.iter().any(|rest| rest.server == server)
    }

    /// Removes the rest of a server, and returns its end.
    pub fn remove(&mut self, server: ServerKey) -> Option<Millis> {
        let mut active = self.active.iter();
        let at = active.position(|rest| rest.server == server)?;
        Some(self.active.swap_remove(at).until)
    }

    /// Adds a rest that was removed, under another key of the server.
    pub fn restore(&mut self, rest: Rest) {
        self.active.push(rest);
    }

    /// Takes the servers whose rest has ended.
    pub fn take_ended(&mut self, now: Millis) -> Vec<ServerKey> {
        let ended = self.active.extract_if(.., |rest| rest.until <= now);
        ended.map(|rest| rest.server).collect()
    }
}
