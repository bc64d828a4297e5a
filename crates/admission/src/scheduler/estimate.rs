//! Estimates of cost, wait and retry-after time.

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;
use crocushold_base::ModelKey;
use twox_hash::XxHash64;

use super::Scheduler;
use super::submit::Estimate;
use crate::class::Class;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::request::Arrival;
use crate::spec::MAX_TIERS;
use crate::throughput::DemandRate;

/// Target assumed for a class without one when the classes of a tier are ordered.
const IMPLICIT_TARGET: Millis = Millis::from_secs(3600);

/// At most the target divided by this is set aside for the time to first token. If more were set
/// aside, a period of slow engines could make every request appear late, and none would be started
/// that could correct the estimate.
const FIRST_TOKEN_DIVISOR: u64 = 2;

/// Maximum jitter as a fraction of the retry-after time.
const MAX_JITTER: f64 = 0.5;

impl Scheduler {
    /// Estimates cost and deadlines of an arrival.
    pub(super) fn estimate(&mut self, arrival: &Arrival, now: Millis) -> Result<Estimate, Refusal> {
        let Some(class) = self.classes.get(arrival.class) else {
            return Err(self.refusal(Reason::UnknownClass, Millis::ZERO));
        };
        let Some(account) = self.accounts.get(arrival.account) else {
            return Err(self.refusal(Reason::UnknownAccount, Millis::ZERO));
        };
        let typical = typical_output(class, arrival.model);
        let expected_output = typical
            .unwrap_or(self.settings.default_output)
            .min(arrival.max_tokens);
        let output = account
            .scale_output(expected_output)
            .min(arrival.max_tokens)
            .max(1);
        let prompt = arrival.prompt_tokens;
        let spec = &class.spec;
        let start = first_token_allowance(class);
        let max_wait = spec.max_wait.max(spec.target);
        let expires_at = saturating_before((now + max_wait).min(arrival.deadline), start);
        let charge = self.cost(prompt, output);
        let target = scaled_target(class);
        let latest_start = saturating_before(now + spec.target, start).min(expires_at);
        Ok(Estimate {
            expected_output,
            charge,
            demand: DemandRate::new(charge, target),
            billed_tokens: u64::from(prompt) + u64::from(output),
            latest_start,
            expires_at,
            scaled_deadline: now + target,
        })
    }

    /// Cost in output tokens.
    pub(crate) fn cost(&self, prompt: u32, output: u32) -> u64 {
        u64::from(prompt / self.settings.prompt_ratio.max(1)) + u64::from(output)
    }

    /// Predicts the wait of a request of cost `charge` that is queued now.
    ///
    /// Counted as ahead of it are all requests of higher-priority tiers, the requests of other
    /// classes of its tier that become due first, and of its own class no more than fair queuing
    /// serves before it. One account's long queue therefore doesn't cause requests of other
    /// accounts to be refused.
    pub(super) fn predict_wait(
        &self,
        key: ClassKey,
        account: AccountKey,
        charge: u64,
        now: Millis,
    ) -> Millis {
        let Some(class) = self.classes.get(key) else {
            return Millis::ZERO;
        };
        let ahead = self.work_ahead(key, account, charge);
        let tier = class.spec.tier_index();
        let drain = self
            .throughput
            .drain_rate(tier, self.slots(), class.spec.floor, now);
        match drain {
            Some(drain) if ahead > 0 => Millis((ahead as f64 / drain) as u64),
            _ => Millis::ZERO,
        }
    }

    /// Cost of the queued requests that are served before one of cost `charge` that is queued now,
    /// in output tokens.
    pub(crate) fn work_ahead(&self, key: ClassKey, account: AccountKey, charge: u64) -> u64 {
        let flow = self.classes.get(key).and_then(|class| class.flow(account));
        self.work_ahead_of(key, flow.map_or(0, |flow| flow.backlog), charge)
    }

    /// Like `work_ahead`, for a request that goes before all others of its account.
    pub(crate) fn work_ahead_of_first(&self, key: ClassKey, charge: u64) -> u64 {
        self.work_ahead_of(key, 0, charge)
    }

    fn work_ahead_of(&self, key: ClassKey, own: u64, charge: u64) -> u64 {
        let Some(class) = self.classes.get(key) else {
            return 0;
        };
        let tier = class.spec.tier_index();
        let fair = own
            .saturating_add(charge)
            .saturating_mul(class.active_accounts().max(1));
        let peers = self
            .throughput
            .due_from_other_classes(tier, scaled_target(class), class);
        self.throughput.backlog_above(tier) + peers + class.backlog.min(fair)
    }

    /// Number of queued requests of a class.
    pub(crate) fn queued(&self, key: ClassKey) -> u32 {
        self.classes.get(key).map_or(0, |class| class.queued)
    }

    /// Builds a refusal with the retry-after time `wait`, clamped to the configured bounds and
    /// jittered.
    pub(super) fn refusal(&mut self, reason: Reason, wait: Millis) -> Refusal {
        let settings = &self.settings;
        let base = wait.min(settings.retry_max).max(settings.retry_min);
        self.jitter_draws = self.jitter_draws.wrapping_add(1);
        let hash = XxHash64::oneshot(settings.seed, &self.jitter_draws.to_le_bytes());
        let part = hash as f64 / u64::MAX as f64;
        let jitter = (base.0 as f64 * MAX_JITTER * part) as u64;
        Refusal {
            reason,
            retry_after: base + Millis(jitter),
        }
    }

    pub(super) fn tier(&self, key: ClassKey) -> usize {
        self.classes
            .get(key)
            .map_or(MAX_TIERS - 1, |class| class.spec.tier_index())
    }
}

fn typical_output(class: &Class, model: Option<ModelKey>) -> Option<u32> {
    let of_model = model
        .and_then(|model| class.model_output_lengths.get(model))
        .and_then(|lengths| lengths.quantile());
    of_model.or_else(|| class.output_lengths.quantile())
}

/// Time set aside for the first token, from the start of the request.
fn first_token_allowance(class: &Class) -> Millis {
    let seen = class.first_token_times.quantile().unwrap_or(0);
    Millis(u64::from(seen).min(class.spec.target.0 / FIRST_TOKEN_DIVISOR))
}

fn scaled_target(class: &Class) -> Millis {
    let target = class.spec.target.min(IMPLICIT_TARGET).0 as f64;
    Millis((target / class.spec.weight.max(f64::MIN_POSITIVE)) as u64)
}

/// The time `span` before `at`; `Millis::MAX` (no deadline) is returned unchanged.
fn saturating_before(at: Millis, span: Millis) -> Millis {
    if at == Millis::MAX {
        return at;
    }
    Millis(at.0.saturating_sub(span.0))
}
