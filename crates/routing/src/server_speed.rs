//! The speed of one server: as a rule, and at this moment.
//!
//! Decisions ask this module for durations instead of using one rate for all servers of a service.
//! It answers two loads. Engines of one service read prompts and write answers at unlike speeds:
//! with one rate for all, a prompt waits on a slow engine while a fast one is idle, and its wait is
//! longer than the limit allows. And servers share their machines: for parts of a second, work
//! takes a multiple of its usual time on some of them, longer than the target of a short call or
//! the pause that a live stream tolerates.
//!
//! Servers may report how long work takes at this moment, relative to what is usual for the
//! service. The mean of a server's reports is its usual pace, and the last report says how far it is
//! from that now, for as long as a report says anything. What the reports don't explain is learned
//! from answers, with the reported pace taken out of each sample: of servers that report nothing,
//! all of the usual speed, and of one whose reports are wrong, by how much they are.

use crocushold_base::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::queue_delay::PrefillRate;
use crate::stats::Ewma;
use crate::stats::Median;

/// Number of samples at which a server's own speed counts as much as what is assumed without them.
const ASSUMED_SAMPLES: f64 = 4.0;

/// Learned deviations from other servers up to this logarithm, a factor of 1.5, count as none, and
/// those of twice as much in full. The samples of equal servers differ by nearly as much under load,
/// as requests overtake each other, and prompts would wander between them.
const DEAD_BAND: f64 = 0.4;

/// Maximum deviation from the usual speed, as a logarithm: a factor of 2.7. A server that is slower
/// still is handled by ejection.
const MAX_DEVIATION: f64 = 1.0;

/// Number of samples after which a server's slowness is taken to be its usual speed.
const USUAL_SAMPLES: u32 = 32;

/// The fraction of the straggler ratio, as a logarithm, up to which a server may usually be slower
/// than its peers. One that is always slower than that is a straggler.
const USUAL_SLOWNESS: f64 = 0.8;

/// Time without samples in which a deviation halves. A server that is avoided for being slow can't
/// show that it isn't any more.
const HALF_LIFE: Millis = Millis::from_secs(30);

/// Minimum time between two steps in which a deviation fades.
pub(crate) const FADE_INTERVAL: Millis = Millis::from_secs(1);

/// Maximum prefill ahead of a sample of one server, as a fraction of its own. What is ahead is known
/// less well, and what is wrong with it would appear as a difference between servers.
const MAX_AHEAD: f64 = 0.25;

/// Minimum time that a prompt takes at the usual speed for a sample of one server, in milliseconds.
/// The steps and the network beside it take about ten milliseconds more or less than assumed.
const MIN_SAMPLE_MS: f64 = 40.0;

/// Accepted reports of how long work takes, in percent of the usual time. One outside counts as the
/// nearest inside.
const WORK_PERCENT: (u16, u16) = (25, 1000);

/// Time in which a report loses all its weight, in milliseconds. A machine is shared for parts of a
/// second, and after this time an old report says no more about it than the server's mean.
const REPORT_SPAN_MS: f64 = 600.0;

/// Time over which the mean of a server's reports is taken, in milliseconds: many times as long as a
/// machine is shared at a time.
const MEAN_SPAN_MS: f64 = 20_000.0;

/// Number of reports at which the server's mean counts as much as the usual time.
const ASSUMED_REPORTS: f64 = 2.0;

/// The usual pace of a server by its reports, as one instance tells it to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsualPace {
    /// Mean of the reports, in percent of what is usual for the service.
    pub percent: u16,
    /// Number of reports; [`u8::MAX`] also stands for more.
    pub reports: u8,
}

impl UsualPace {
    /// What is assumed of a server without reports.
    pub const PUBLISHED: UsualPace = UsualPace {
        percent: 100,
        reports: 0,
    };
}

/// How long work takes on a server by its own reports, relative to what is usual for its service.
#[derive(Clone, Copy, Debug)]
struct Pace {
    mean: Ewma,
    /// The weight of the mean, from 0 to 1: less the fewer reports there are, and the longer ago.
    weight: f64,
    /// As a rule, by the mean and its weight.
    usual: f64,
    /// The last report.
    last: f64,
    measured_at: Millis,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            mean: Ewma::default(),
            weight: 0.0,
            usual: 1.0,
            last: 1.0,
            measured_at: Millis::ZERO,
        }
    }
}

impl Pace {
    fn record(&mut self, percent: u16, measured_at: Millis) {
        let percent = percent.clamp(WORK_PERCENT.0, WORK_PERCENT.1);
        self.last = f64::from(percent) / 100.0;
        let span = measured_at.since(self.measured_at).0 as f64;
        self.mean.add(self.last, (span / MEAN_SPAN_MS).min(1.0));
        self.measured_at = measured_at;
        let reports = f64::from(self.mean.count());
        self.set_weight(reports / (reports + ASSUMED_REPORTS));
    }

    /// Takes over the mean of another instance, unless the reports to this one say as much. Without any
    /// to this one, nothing is known of this moment.
    fn adopt(&mut self, told: UsualPace, now: Millis) {
        if self.mean.count() >= u32::from(told.reports) {
            return;
        }
        let percent = told.percent.clamp(WORK_PERCENT.0, WORK_PERCENT.1);
        let has_reports = self.mean.count() > 0;
        self.mean = Ewma::of(f64::from(percent) / 100.0, told.reports.into());
        let reports = f64::from(told.reports);
        self.set_weight(reports / (reports + ASSUMED_REPORTS));
        if !has_reports {
            self.last = self.usual;
            self.measured_at = now;
        }
    }

    fn set_weight(&mut self, weight: f64) {
        self.weight = weight;
        self.usual = 1.0 + weight * (self.mean.mean() - 1.0);
    }

    /// Returns how long work takes now, relative to what is usual for the server, on average over
    /// `span` milliseconds that begin or end now.
    fn momentary(&self, span: f64, now: Millis) -> f64 {
        let age = now.since(self.measured_at).0 as f64;
        let factor = self.last / self.usual;
        1.0 + (factor - 1.0) * report_weight(age, span)
    }
}

/// Returns the weight of a report, on average from `age` to `age + span`, in milliseconds.
fn report_weight(age: f64, span: f64) -> f64 {
    let weight = |age: f64| (1.0 - age / REPORT_SPAN_MS).max(0.0);
    if span < 1.0 {
        return weight(age);
    }
    // The integral of a weight that falls linearly to zero.
    let area = |age: f64| weight(age) * weight(age) * REPORT_SPAN_MS / 2.0;
    (area(age) - area(age + span)) / span
}

/// One part of the usual speed, as learned from samples with the reported pace taken out.
#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    /// `None` without samples.
    median: Option<Median>,
    /// The time of work relative to that of other servers by the samples, as a logarithm.
    log: f64,
    /// The weight of the samples, from 0 to 1.
    weight: f64,
}

impl Learned {
    /// Adds a sample: a time in any unit, where a usual server takes `usual`.
    fn add(&mut self, sample: f64, usual: f64) {
        let median = self.median.get_or_insert(Median::with_initial(usual));
        median.add(sample);
        let samples = f64::from(median.samples());
        self.weight = samples / (samples + ASSUMED_SAMPLES);
        let log = (median.value() / usual).ln();
        self.log = log.clamp(-MAX_DEVIATION, MAX_DEVIATION);
    }

    /// Returns the deviation from other servers as a logarithm. As far as there are few samples, it
    /// is that of the `other` part.
    fn deviation(&self, other: &Learned) -> f64 {
        let assumed = other.weight * other.log;
        let log = self.weight * self.log + (1.0 - self.weight) * assumed;
        let beyond = (log.abs() - DEAD_BAND) / DEAD_BAND;
        log * beyond.clamp(0.0, 1.0)
    }
}

/// The speed of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerSpeed {
    pace: Pace,
    prefill: Learned,
    step: Learned,
    /// The deviations by which decisions go, as logarithms.
    prefill_log: f64,
    step_log: f64,
    /// When the last sample was added, or the weights last faded.
    sampled_at: Millis,
}

impl ServerSpeed {
    /// Returns how long the server usually takes to prefill `tokens`, in milliseconds. `fleet` is
    /// the rate of a usual server of the service.
    pub(crate) fn prefill_ms(&self, tokens: f64, fleet: &PrefillRate) -> f64 {
        fleet.prefill_ms(tokens) * self.prefill_factor()
    }

    /// Returns how long prefill takes as a rule, relative to a usual server; 1 while nothing is
    /// known.
    pub(crate) fn prefill_factor(&self) -> f64 {
        self.pace.usual * self.prefill_log.exp()
    }

    /// Returns how long a decoding step takes as a rule, relative to a usual server; 1 while nothing
    /// is known.
    pub(crate) fn step_factor(&self) -> f64 {
        self.pace.usual * self.step_log.exp()
    }

    /// Returns how long work takes by the server's reports, relative to a usual server: as a rule, and
    /// now. `None` without reports.
    pub(crate) fn reported(&self, now: Millis) -> Option<[f64; 2]> {
        let has_reports = self.pace.mean.count() > 0;
        has_reports.then(|| [self.pace.usual, self.reported_pace_over(0.0, now)])
    }

    /// Returns how long work takes now, relative to what is usual for this server, on average over
    /// `span` milliseconds that begin or end now.
    pub(crate) fn momentary_pace_over(&self, span: f64, now: Millis) -> f64 {
        self.pace.momentary(span, now)
    }

    /// Returns how long work of `span` milliseconds that ends now has taken, relative to a usual
    /// server, by the server's reports.
    pub(crate) fn reported_pace_over(&self, span: f64, now: Millis) -> f64 {
        self.pace.usual * self.pace.momentary(span, now)
    }

    /// Returns the logarithm of the learned time of a step relative to other servers, which the
    /// server's reports don't explain.
    pub(crate) fn unreported_slowness(&self) -> f64 {
        self.step_log
    }

    /// Returns the learned time of prefill relative to other servers, which the server's reports don't
    /// explain.
    pub(crate) fn unreported_prefill(&self) -> f64 {
        self.prefill_log.exp()
    }

    /// Returns the mean of the server's reports; `None` without reports.
    pub(crate) fn usual_pace(&self) -> Option<UsualPace> {
        let mean = &self.pace.mean;
        (mean.count() > 0).then(|| UsualPace {
            percent: (mean.mean() * 100.0).round() as u16,
            reports: u8::try_from(mean.count()).unwrap_or(u8::MAX),
        })
    }

    /// Takes over the usual pace that another instance knows, if more reports told it that.
    pub(crate) fn adopt_pace(&mut self, told: UsualPace, now: Millis) {
        self.pace.adopt(told, now);
    }

    /// Records how long work takes, in percent of the usual time.
    pub(crate) fn record_pace(&mut self, percent: u16, measured_at: Millis) {
        self.pace.record(percent, measured_at);
    }

    /// Adds a sample of prefill: `tokens` behind `ahead` others took `span` milliseconds, with the
    /// reported pace taken out.
    pub(crate) fn add_prefill(
        &mut self,
        [tokens, ahead]: [f64; 2],
        span: f64,
        fleet: &PrefillRate,
        now: Millis,
    ) {
        if fleet.prefill_ms(tokens) < MIN_SAMPLE_MS || ahead > tokens * MAX_AHEAD {
            return;
        }
        let tokens = tokens + ahead;
        let usual = fleet.prefill_ms(tokens);
        self.prefill.add(span.max(1.0) / tokens, usual / tokens);
        self.update(now);
    }

    /// Adds a sample of decoding steps, or of whole answers: the time relative to other servers, as
    /// a logarithm, with the reported pace taken out.
    pub(crate) fn add_step(&mut self, log_ratio: f64, now: Millis) {
        self.step.add(log_ratio.exp(), 1.0);
        self.update(now);
    }

    /// Returns the part of a slow sample that is usual for this server, as a logarithm, so that it
    /// isn't held against it. A straggler is `straggler_ratio` times slower than others.
    pub(crate) fn excused(&self, straggler_ratio: f64) -> f64 {
        let samples = self.step.median.map_or(0, |median| median.samples());
        let limit = straggler_ratio.ln() * USUAL_SLOWNESS;
        let is_usual = samples >= USUAL_SAMPLES && self.step_log < limit;
        if is_usual {
            self.step_log.max(0.0)
        } else {
            0.0
        }
    }

    /// Lets what was learned fade while there are no samples, and what was reported while there are
    /// no reports.
    pub(crate) fn fade(&mut self, now: Millis) {
        let factor = |span: Millis| 0.5_f64.powf(span.as_secs_f64() / HALF_LIFE.as_secs_f64());
        if now.since(self.pace.measured_at) >= FADE_INTERVAL {
            self.pace
                .set_weight(self.pace.weight * factor(FADE_INTERVAL));
        }
        let span = now.since(self.sampled_at);
        if span < FADE_INTERVAL {
            return;
        }
        let factor = factor(span);
        self.prefill.weight *= factor;
        self.step.weight *= factor;
        self.update(now);
    }

    fn update(&mut self, now: Millis) {
        self.sampled_at = now;
        self.prefill_log = self.prefill.deviation(&self.step);
        self.step_log = self.step.deviation(&self.prefill);
    }
}
