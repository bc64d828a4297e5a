//! Slots that lower tiers leave free, so that a burst of the live tier starts soon.
//!
//! Started work is never preempted. A burst of the live tier therefore waits for slots to be
//! released, which at steady load is soon: with many slots several are released every second. Only
//! the part of a burst that the releases of one window don't absorb needs free slots beforehand.
//!
//! Free slots cost goodput all the time and help only in the first moments of a burst, so their
//! share is bounded: goodput can't fall by more than that share.

use crocushold_base::Millis;

use crate::settings::HeadroomSettings;

/// Follows the bursts of the live tier.
#[derive(Debug)]
pub(crate) struct Headroom {
    settings: HeadroomSettings,
    window_end: Millis,
    arrivals: u32,
    /// Largest number of arrivals in one window, fading.
    peak: f64,
    reserved: u32,
}

impl Headroom {
    pub(crate) fn new(settings: HeadroomSettings) -> Headroom {
        Headroom {
            settings,
            window_end: Millis::ZERO,
            arrivals: 0,
            peak: 0.0,
            reserved: 0,
        }
    }

    pub(crate) fn window(&self) -> Millis {
        self.settings.window
    }

    /// Slots that are kept at present.
    pub(crate) fn reserved(&self) -> u32 {
        self.reserved
    }

    /// Counts an arrival of the live tier.
    pub(crate) fn record_arrival(&mut self, now: Millis) {
        self.roll_window(now);
        self.arrivals += 1;
        self.peak = self.peak.max(f64::from(self.arrivals));
    }

    /// Works out how many of `slots` to keep, where `absorbed` arrivals a window find a slot that
    /// was just released.
    pub(crate) fn update(&mut self, slots: u32, absorbed: f64, now: Millis) {
        self.roll_window(now);
        let total = f64::from(slots);
        let wanted = (self.peak - absorbed).max(0.0);
        let most = total * self.settings.max_share.clamp(0.0, 1.0);
        // Rounded up: a share of a few slots would be none, and the last one is what counts.
        let least = (total * self.settings.min_share.clamp(0.0, 1.0)).ceil();
        let reserved = wanted.min(most).max(least) as u32;
        // With all slots kept, the lower tiers would never start anything.
        self.reserved = reserved.min(slots.saturating_sub(1));
    }

    fn roll_window(&mut self, now: Millis) {
        if now < self.window_end {
            return;
        }
        let window = self.settings.window.0.max(1);
        let passed = now.since(self.window_end).0 / window + 1;
        let halves = (passed * window) as f64 / self.settings.half_life.0.max(1) as f64;
        self.peak *= (-halves).exp2();
        self.arrivals = 0;
        self.window_end = now + Millis(window);
    }
}
