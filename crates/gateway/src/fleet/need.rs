//! The requirements of a request.

use crocushold_base::Millis;
use crocushold_routing::Lane;
use crocushold_routing::RegionKey;
use crocushold_routing::STEP_MS;
use crocushold_routing::SoftwareKey;
use serde::Deserialize;
use serde::Serialize;

/// Minimum prompt length of a heavy request, in tokens. The prefill of such a prompt takes most of
/// the pause that a live stream tolerates.
const HEAVY_PROMPT_TOKENS: u32 = 4096;

/// Part of the shared tokens that is prefilled again because cached prefixes were evicted.
const REPEATED_PREFILL_RATIO: f64 = 0.2;

/// The requirements of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// The service.
    pub service: String,
    /// The model.
    pub model: Option<String>,
    /// Hash of the part of the prompt that is shared with other requests.
    pub prefix: Option<u32>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request may run more than once without harm.
    pub idempotent: bool,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens that aren't shared with other requests.
    pub unique_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_output_tokens: u32,
    /// Expected length of the answer, in tokens.
    pub expected_output_tokens: u32,
    /// Longest tolerable pause of the answer, if it is a live stream.
    pub max_pause: Option<Millis>,
    /// Longest wait at a server with which the answer is useful; `None` for any.
    pub wait_limit: Option<Millis>,
    /// The regions in which it may run; `None` for any.
    pub regions: Option<Vec<RegionKey>>,
    /// The software version of the servers at which it may run; `None` for any.
    pub software: Option<SoftwareKey>,
}

impl Need {
    /// Prompt tokens that are shared with other requests.
    pub(super) fn shared_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.unique_tokens)
    }

    /// The preferred lane.
    pub(super) fn lane(&self) -> Lane {
        if self.max_pause.is_some() {
            Lane::Live
        } else if self.prompt_tokens >= HEAVY_PROMPT_TOKENS {
            Lane::Heavy
        } else {
            Lane::Light
        }
    }

    /// Engine time that the request takes, in milliseconds, if the engine prefills `speed` tokens
    /// per millisecond and decodes `slots` requests in a step. `min_span` is the least time that its
    /// answer is expected to take.
    pub(super) fn work_ms(&self, speed: f64, slots: u32, min_span: f64) -> f64 {
        let shared_tokens = f64::from(self.shared_tokens());
        let prefill_tokens = f64::from(self.unique_tokens) + shared_tokens * REPEATED_PREFILL_RATIO;
        let expected_output_tokens = self.expected_output_tokens.min(self.max_output_tokens);
        let span = (f64::from(expected_output_tokens) * STEP_MS).max(min_span);
        prefill_tokens / speed + span / f64::from(slots.max(1))
    }
}
