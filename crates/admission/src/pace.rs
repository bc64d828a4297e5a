//! How fast the service works off its queue.

use crocushold_base::Millis;

use crate::class::Class;
use crate::decay::DecayingSum;
use crate::decay::SampledRatio;
use crate::spec::MAX_TIERS;

/// Time in which the memory of a tier's dispatched tokens fades to half.
const TIER_HALF_LIFE: Millis = Millis::from_secs(10);

/// Smallest share of the drain rate that a lower tier is taken to have.
const LEAST_SHARE: f64 = 0.01;

/// Tokens that fall due a millisecond, scaled to an integer so that sums don't drift.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Pressure(u64);

impl Pressure {
    const SCALE: u64 = 1024;

    /// Pressure of a request of `charge` tokens that is due `target` after its arrival.
    pub(crate) fn new(charge: u64, target: Millis) -> Pressure {
        Pressure(charge.saturating_mul(Self::SCALE) / target.0.max(1))
    }

    pub(crate) fn add(&mut self, other: Pressure) {
        self.0 += other.0;
    }

    pub(crate) fn remove(&mut self, other: Pressure) {
        self.0 -= other.0;
    }

    /// Tokens that fall due in `span`.
    fn within(self, span: Millis) -> u64 {
        self.0.saturating_mul(span.0) / Self::SCALE
    }
}

/// Speed of the service, learned from finished requests, and the use that each tier makes of it.
#[derive(Debug)]
pub(crate) struct Pace {
    /// Tokens a millisecond of one occupied slot.
    speed: SampledRatio,
    /// Milliseconds that a request holds its slot.
    hold: SampledRatio,
    /// Tokens dispatched by tier.
    tiers: [DecayingSum; MAX_TIERS],
    /// Cost of what is queued by tier.
    backlogs: [u64; MAX_TIERS],
    pressures: [Pressure; MAX_TIERS],
}

impl Pace {
    pub(crate) fn new() -> Pace {
        Pace {
            speed: SampledRatio::default(),
            hold: SampledRatio::default(),
            tiers: [DecayingSum::new(TIER_HALF_LIFE); MAX_TIERS],
            backlogs: [0; MAX_TIERS],
            pressures: [Pressure::default(); MAX_TIERS],
        }
    }

    pub(crate) fn queued(&mut self, tier: usize, tokens: u64, pressure: Pressure) {
        self.backlogs[tier] += tokens;
        self.pressures[tier].add(pressure);
    }

    pub(crate) fn unqueued(&mut self, tier: usize, tokens: u64, pressure: Pressure) {
        self.backlogs[tier] -= tokens;
        self.pressures[tier].remove(pressure);
    }

    /// Counts dispatched tokens; a negative number takes back.
    pub(crate) fn dispatched(&mut self, tier: usize, tokens: f64, now: Millis) {
        self.tiers[tier].add(tokens, now);
    }

    pub(crate) fn finished(&mut self, tokens: u64, held: Millis) {
        let held = held.0.max(1) as f64;
        self.speed.record(tokens as f64, held);
        self.hold.record(held, 1.0);
    }

    /// Tokens a millisecond that `tier` can expect of `slots` slots, what higher tiers take being
    /// off; `None` before anything finished.
    pub(crate) fn drain(&self, tier: usize, slots: u32, floor: f64, now: Millis) -> Option<f64> {
        let total = self.speed.value()? * f64::from(slots.max(1));
        let higher: f64 = self.tiers[..tier].iter().map(|sum| sum.rate(now)).sum();
        let least = total * floor.max(LEAST_SHARE);
        Some((total - higher).max(least))
    }

    /// Cost of what is queued in tiers above `tier`.
    pub(crate) fn ahead(&self, tier: usize) -> u64 {
        self.backlogs[..tier].iter().sum()
    }

    /// Cost of what other classes of `tier` have queued and falls due within `span`, taking each
    /// queue to be spread evenly over its target.
    pub(crate) fn due_within(&self, tier: usize, span: Millis, class: &Class) -> u64 {
        let mut pressure = self.pressures[tier];
        pressure.remove(class.pressure);
        let backlog = self.backlogs[tier] - class.backlog;
        pressure.within(span).min(backlog)
    }

    /// Tokens a millisecond of `slots` occupied slots; zero before anything finished.
    pub(crate) fn speed(&self, slots: u32) -> f64 {
        self.speed.value().unwrap_or(0.0) * f64::from(slots)
    }

    /// Slots that are released in `span` when all of `slots` are taken.
    pub(crate) fn releases(&self, slots: u32, span: Millis) -> f64 {
        let Some(hold) = self.hold.value() else {
            return 0.0;
        };
        f64::from(slots) * span.0 as f64 / hold.max(1.0)
    }
}
