//! What a request needs of a server.

use crocushold_base::Millis;
use crocushold_routing::Lane;
use crocushold_routing::RegionKey;
use serde::Deserialize;
use serde::Serialize;

/// The prompt from which on a request is heavy, in tokens. Reading it takes most of the pause that a live stream allows.
const HEAVY_PROMPT_TOKENS: u32 = 4096;

/// How long an engine takes for a step in which each request that it runs makes a token, in milliseconds.
const STEP_MS: f64 = 8.0;

/// The part of shared tokens that is read again all the same: kept parts yield to others.
const REREAD_RATIO: f64 = 0.2;

/// What a request needs of a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// The service.
    pub service: String,
    /// The model.
    pub model: Option<String>,
    /// A hash of the part of the prompt that other requests share.
    pub prefix: Option<u32>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Running it twice does no harm.
    pub idempotent: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that no other request shares.
    pub unique_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub expected_output_tokens: u32,
    /// The longest pause that its answer may make, where it is a live stream.
    pub max_pause: Option<Millis>,
    /// The longest wait at a server with which the answer is of use; `None` for any.
    pub wait_limit: Option<Millis>,
    /// The regions in which it may run; `None` for any.
    pub regions: Option<Vec<RegionKey>>,
}

impl Need {
    /// Tokens of the prompt that other requests share.
    pub(super) fn shared_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.unique_tokens)
    }

    /// The lane that suits it.
    pub(super) fn lane(&self) -> Lane {
        if self.max_pause.is_some() {
            Lane::Live
        } else if self.prompt_tokens >= HEAVY_PROMPT_TOKENS {
            Lane::Heavy
        } else {
            Lane::Light
        }
    }

    /// How long it keeps an engine busy that reads `speed` tokens a millisecond and makes the tokens of
    /// `slots` requests in a step, in milliseconds.
    pub(super) fn work_ms(&self, speed: f64, slots: u32) -> f64 {
        let shared_tokens = f64::from(self.shared_tokens());
        let read = f64::from(self.unique_tokens) + shared_tokens * REREAD_RATIO;
        let expected_output_tokens = self.expected_output_tokens.min(self.max_output_tokens);
        read / speed + f64::from(expected_output_tokens) * STEP_MS / f64::from(slots.max(1))
    }
}
