//! Slots that lower tiers leave free, so that bursts in tier 0 start without delay.
//!
//! Running requests are never preempted, so a burst in tier 0 waits for slots to be released. At
//! steady load that is soon: with many slots, several are released every second. Only the part of a
//! burst that exceeds the releases of one window needs slots that are already free.
//!
//! Free slots cost goodput all the time and help only at the beginning of a burst. Their share is
//! therefore bounded, and goodput can't fall by more than that share.

use crocushold_base::Millis;

use crate::settings::HeadroomSettings;

/// Tracks bursts of arrivals in tier 0 and sizes the headroom.
#[derive(Debug)]
pub(crate) struct Headroom {
    settings: HeadroomSettings,
    window_end: Millis,
    arrivals: u32,
    /// Largest number of arrivals in one window, decaying over time.
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

    /// Slots reserved at present.
    pub(crate) fn reserved(&self) -> u32 {
        self.reserved
    }

    /// Counts an arrival in tier 0.
    pub(crate) fn record_arrival(&mut self, now: Millis) {
        self.roll_window(now);
        self.arrivals += 1;
        self.peak = self.peak.max(f64::from(self.arrivals));
    }

    /// Computes how many of `slots` to reserve. `absorbed` is the number of arrivals per window
    /// that can use slots released in that window.
    pub(crate) fn update(&mut self, slots: u32, absorbed: f64, now: Millis) {
        self.roll_window(now);
        let total = f64::from(slots);
        let wanted = (self.peak - absorbed).max(0.0);
        let most = total * self.settings.max_share.clamp(0.0, 1.0);
        // Rounded up: with few slots, a small share would round to none, and a single free slot is
        // what matters there.
        let least = (total * self.settings.min_share.clamp(0.0, 1.0)).ceil();
        let reserved = wanted.min(most).max(least) as u32;
        // With all slots reserved, lower tiers could never start a request.
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
