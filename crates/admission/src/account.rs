//! Rate limits, concurrency limit and learned output bias of one client account.

use crocushold_base::ClassKey;
use crocushold_base::Millis;

use crate::bucket::TokenBucket;
use crate::refusal::Reason;
use crate::spec::AccountSpec;

/// Weight of a new answer in the exponentially weighted bias.
const BIAS_GAIN: f64 = 0.25;

/// Bounds of the bias, so that a single unusual answer can't make the account's next requests
/// prohibitively expensive.
const BIAS_MIN: f64 = 0.25;
const BIAS_MAX: f64 = 64.0;

#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) spec: AccountSpec,
    pub(crate) queued: u32,
    pub(crate) running: u32,
    /// Classes in which the account has queued requests that wait for its concurrency limit.
    pub(crate) blocked_classes: Vec<ClassKey>,
    /// Ratio of the account's output lengths to those expected of its classes.
    bias: f64,
    share: f64,
    requests: TokenBucket,
    tokens: TokenBucket,
    grant: Grant,
}

/// Tokens lent by another instance, valid until `until`.
#[derive(Clone, Copy, Debug, Default)]
struct Grant {
    tokens: f64,
    until: Millis,
}

/// A limit that rejects a request, and the time until it would admit it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitHit {
    pub(crate) reason: Reason,
    pub(crate) wait: Millis,
}

impl Account {
    pub(crate) fn new(spec: AccountSpec, now: Millis) -> Account {
        let requests = TokenBucket::new(spec.request_rate, spec.burst, now);
        let tokens = TokenBucket::new(spec.token_rate, spec.burst, now);
        Account {
            spec,
            queued: 0,
            running: 0,
            blocked_classes: Vec::new(),
            bias: 1.0,
            share: 1.0,
            requests,
            tokens,
            grant: Grant::default(),
        }
    }

    pub(crate) fn configure(&mut self, spec: AccountSpec, now: Millis) {
        if self.spec != spec {
            self.spec = spec;
            self.apply_rates(now);
        }
    }

    pub(crate) fn set_share(&mut self, share: f64, now: Millis) {
        self.share = share.clamp(0.0, 1.0);
        self.apply_rates(now);
    }

    /// Concurrency limit on this instance: the instance's share of the account's limit, rounded up
    /// and at least 1. A limit of zero would starve an account whose few requests happen to arrive
    /// here.
    pub(crate) fn concurrency(&self) -> u32 {
        if self.spec.concurrency == u32::MAX {
            return u32::MAX;
        }
        let limit = f64::from(self.spec.concurrency) * self.share;
        (limit.ceil() as u32).max(1)
    }

    /// Whether it has requests that are queued or in flight.
    pub(crate) fn is_active(&self) -> bool {
        self.queued > 0 || self.running > 0
    }

    pub(crate) fn at_limit(&self) -> bool {
        self.running >= self.concurrency()
    }

    /// Output tokens expected of this account where its class expects `output`.
    pub(crate) fn scale_output(&self, output: u32) -> u32 {
        (f64::from(output) * self.bias) as u32
    }

    /// Updates the bias from an answer of `actual` tokens where the class expected `output`.
    pub(crate) fn learn(&mut self, output: u32, actual: u32) {
        let ratio = f64::from(actual.max(1)) / f64::from(output.max(1));
        let bias = self.bias + (ratio - self.bias) * BIAS_GAIN;
        self.bias = bias.clamp(BIAS_MIN, BIAS_MAX);
    }

    /// Checks the limits without consuming them.
    pub(crate) fn check(&mut self, tokens: u64, now: Millis) -> Result<(), LimitHit> {
        let wait = self.requests.wait(1.0, now);
        if wait > Millis::ZERO {
            return Err(LimitHit {
                reason: Reason::RequestRate,
                wait,
            });
        }
        let needed = tokens as f64 - self.granted_tokens(now);
        let wait = self.tokens.wait(needed, now);
        if needed > 0.0 && wait > Millis::ZERO {
            return Err(LimitHit {
                reason: Reason::TokenRate,
                wait,
            });
        }
        if self.queued >= self.spec.max_queued {
            return Err(LimitHit {
                reason: Reason::AccountQueue,
                wait: Millis::ZERO,
            });
        }
        Ok(())
    }

    /// Consumes the limits for an admitted request. Granted tokens are used first because they
    /// expire.
    pub(crate) fn take(&mut self, tokens: u64, now: Millis) {
        self.requests.take(1.0);
        let from_grant = self.granted_tokens(now).min(tokens as f64);
        self.grant.tokens -= from_grant;
        self.tokens.take(tokens as f64 - from_grant);
    }

    /// Replaces the tokens billed at admission by the actual count.
    pub(crate) fn settle(&mut self, billed: u64, actual: u64) {
        self.tokens.take(actual as f64 - billed as f64);
    }

    /// Returns what a request consumed that did not run.
    pub(crate) fn refund(&mut self, tokens: u64) {
        self.requests.take(-1.0);
        self.tokens.take(-(tokens as f64));
    }

    /// Records that the account's queue in `class` waits for the concurrency limit.
    pub(crate) fn block(&mut self, class: ClassKey) {
        if !self.blocked_classes.contains(&class) {
            self.blocked_classes.push(class);
        }
    }

    pub(crate) fn add_grant(&mut self, tokens: u64, until: Millis, now: Millis) {
        self.grant.tokens = self.granted_tokens(now) + tokens as f64;
        self.grant.until = until;
    }

    fn granted_tokens(&self, now: Millis) -> f64 {
        if now < self.grant.until {
            self.grant.tokens
        } else {
            0.0
        }
    }

    fn apply_rates(&mut self, now: Millis) {
        let burst = self.spec.burst;
        let requests = self.spec.request_rate * self.share;
        let tokens = self.spec.token_rate * self.share;
        self.requests
            .set_rate(unlimited_if_nan(requests), burst, now);
        self.tokens.set_rate(unlimited_if_nan(tokens), burst, now);
    }
}

/// An infinite rate times a share of zero is NaN; such a rate stays unlimited.
fn unlimited_if_nan(rate: f64) -> f64 {
    if rate.is_nan() { f64::INFINITY } else { rate }
}
