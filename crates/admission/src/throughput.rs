//! Estimates of the rate at which the service drains its queue.

use crocushold_base::Millis;

use crate::class::Class;
use crate::decay::DecayingSum;
use crate::decay::EwmaRatio;
use crate::spec::MAX_TIERS;

/// Half-life of the dispatched tokens counted for each tier.
const TIER_HALF_LIFE: Millis = Millis::from_secs(10);

/// Minimum share of the drain rate that a lower tier is assumed to have.
const MIN_DRAIN_SHARE: f64 = 0.01;

/// Tokens that become due per millisecond, scaled to an integer so that sums don't drift.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DemandRate(u64);

impl DemandRate {
    const SCALE: u64 = 1024;

    /// Demand rate of a request of `charge` tokens that is due `target` after its arrival.
    pub(crate) fn new(charge: u64, target: Millis) -> DemandRate {
        DemandRate(charge.saturating_mul(Self::SCALE) / target.0.max(1))
    }

    pub(crate) fn add(&mut self, other: DemandRate) {
        self.0 += other.0;
    }

    pub(crate) fn remove(&mut self, other: DemandRate) {
        self.0 -= other.0;
    }

    /// Tokens that become due in `span`.
    fn due_within(self, span: Millis) -> u64 {
        self.0.saturating_mul(span.0) / Self::SCALE
    }
}

/// Throughput of the service, learned from finished requests, and the share of it that each tier
/// uses.
#[derive(Debug)]
pub(crate) struct Throughput {
    /// Tokens per millisecond of one occupied slot.
    slot_rate: EwmaRatio,
    /// Milliseconds that a request occupies its slot.
    service_time: EwmaRatio,
    /// Dispatched tokens by tier.
    dispatched_tokens: [DecayingSum; MAX_TIERS],
    /// Estimated cost of the queued requests by tier.
    backlogs: [u64; MAX_TIERS],
    demands: [DemandRate; MAX_TIERS],
}

impl Throughput {
    pub(crate) fn new() -> Throughput {
        Throughput {
            slot_rate: EwmaRatio::default(),
            service_time: EwmaRatio::default(),
            dispatched_tokens: [DecayingSum::new(TIER_HALF_LIFE); MAX_TIERS],
            backlogs: [0; MAX_TIERS],
            demands: [DemandRate::default(); MAX_TIERS],
        }
    }

    pub(crate) fn enqueued(&mut self, tier: usize, tokens: u64, demand: DemandRate) {
        self.backlogs[tier] += tokens;
        self.demands[tier].add(demand);
    }

    pub(crate) fn dequeued(&mut self, tier: usize, tokens: u64, demand: DemandRate) {
        self.backlogs[tier] -= tokens;
        self.demands[tier].remove(demand);
    }

    /// Counts dispatched tokens; a negative number undoes a dispatch.
    pub(crate) fn dispatched(&mut self, tier: usize, tokens: f64, now: Millis) {
        self.dispatched_tokens[tier].add(tokens, now);
    }

    pub(crate) fn finished(&mut self, tokens: u64, service_time: Millis) {
        let service_time = service_time.0.max(1) as f64;
        self.slot_rate.record(tokens as f64, service_time);
        self.service_time.record(service_time, 1.0);
    }

    /// Tokens per millisecond available to `tier` out of `slots` slots, after what higher-priority
    /// tiers use; `None` until a request has finished.
    pub(crate) fn drain_rate(
        &self,
        tier: usize,
        slots: u32,
        floor: f64,
        now: Millis,
    ) -> Option<f64> {
        let total = self.slot_rate.value()? * f64::from(slots.max(1));
        let higher: f64 = self.dispatched_tokens[..tier]
            .iter()
            .map(|sum| sum.rate(now))
            .sum();
        let least = total * floor.max(MIN_DRAIN_SHARE);
        Some((total - higher).max(least))
    }

    /// Cost of the requests queued in tiers of higher priority than `tier`.
    pub(crate) fn backlog_above(&self, tier: usize) -> u64 {
        self.backlogs[..tier].iter().sum()
    }

    /// Cost of the queued requests of other classes of `tier` that become due within `span`. Each
    /// queue is assumed to be spread evenly over its target.
    pub(crate) fn due_from_other_classes(&self, tier: usize, span: Millis, class: &Class) -> u64 {
        let mut demand = self.demands[tier];
        demand.remove(class.demand);
        let backlog = self.backlogs[tier] - class.backlog;
        demand.due_within(span).min(backlog)
    }

    /// Tokens per millisecond of `slots` occupied slots; zero until a request has finished.
    pub(crate) fn rate(&self, slots: u32) -> f64 {
        self.slot_rate.value().unwrap_or(0.0) * f64::from(slots)
    }

    /// Number of slots released in `span` when all of `slots` are occupied.
    pub(crate) fn expected_releases(&self, slots: u32, span: Millis) -> f64 {
        let Some(service_time) = self.service_time.value() else {
            return 0.0;
        };
        f64::from(slots) * span.0 as f64 / service_time.max(1.0)
    }
}
