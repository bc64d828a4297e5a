//! Divides the engines of a service between live streams, other short requests and long prompts.
//!
//! An engine prefills a prompt in chunks between the decode steps of all other requests that it
//! runs, and a request behind a long prompt waits until that prompt is prefilled. With separate
//! engines, short requests wait for short prompts only. This matters where live streams run along
//! with bursts of prompts.
//!
//! While prompts are prefilled, the gap between two events of a stream is as many chunks as an
//! event has tokens. On some deployments that exceeds the pause that live streams tolerate, however
//! the prompts are divided. Live streams then get engines of their own, where they wait only for
//! each other's short prompts. The streams of long prompts, which always run along with others,
//! decide this: more than a given share of them must have paused for longer than a live stream may.
//! The live streams can't decide it, because their pauses are short again as soon as they are
//! isolated.
//!
//! Each instance divides the engines on its own, in the same order on all of them, from fleet-wide
//! statistics: its own work and pauses and those that the others report. The resulting boundaries
//! differ by a server or two.

use crocushold_base::Millis;

use crate::stats::Ewma;

/// The group of engines that a request prefers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Engines that run streams with a limit on their pauses.
    Live,
    /// Engines that prefill no long prompts.
    Light,
    /// Engines that prefill long prompts.
    Heavy,
}

/// The number of lanes.
pub const LANES: usize = 3;

/// Shares below this count as zero. They are the remainder of work that ended a minute ago.
const MIN_SHARE: f64 = 1e-6;

/// Weight of one live stream in their mean span. An instance of a large fleet sees a few per second.
const LIVE_SPAN_ALPHA: f64 = 0.05;

/// What published figures say about live streams that run beside prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DelayForecast {
    /// Nothing is published about it.
    #[default]
    Unknown,
    /// Their pauses are short enough.
    Tolerable,
    /// Their pauses are too long.
    TooLong,
}

/// Recent statistics of one or several instances, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LaneStats {
    /// The work that arrived for each lane, in milliseconds of an engine.
    pub work: [f64; LANES],
    /// Streams of long prompts that ended.
    pub streams: f64,
    /// Those of them that paused for longer than a live stream may.
    pub slow_streams: f64,
}

impl LaneStats {
    /// Adds the statistics of another instance, multiplied by `weight`.
    pub fn add(&mut self, other: &LaneStats, weight: f64) {
        for (sum, work) in self.work.iter_mut().zip(other.work) {
            *sum = (*sum + work * weight).max(0.0);
        }
        self.streams = (self.streams + other.streams * weight).max(0.0);
        self.slow_streams = (self.slow_streams + other.slow_streams * weight).max(0.0);
    }

    /// Multiplies the work and the stream counts by the given factors.
    fn decay(&mut self, work: f64, streams: f64) {
        self.work = self.work.map(|current| current * work);
        self.streams *= streams;
        self.slow_streams *= streams;
    }
}

/// Settings of [`Lanes`].
#[derive(Clone, Debug)]
pub struct LaneSettings {
    /// The half-life of past work. It is shorter than a burst, so that the boundaries follow it,
    /// and long enough to even out the fleet's arrivals.
    pub half_life: Millis,
    /// The half-life of the stream counts. The pauses during prefills depend on the engines and
    /// hardly change.
    pub stream_half_life: Millis,
    /// The weight of live and light work relative to heavy work. Their tokens are decoded in the
    /// same steps as prefill chunks, so they take less time than they count for.
    pub light_weight: f64,
    /// The fraction of an engine's time that live streams may fill where they have engines of their
    /// own.
    pub max_live_utilization: f64,
    /// The fraction of an engine's time that other short requests may fill. Above it, some of them
    /// wait behind several others at each moment, which takes most of their target.
    pub max_light_utilization: f64,
    /// The part of the engines of both kinds of short requests that live streams may take where
    /// there are too few. The others are urgent, too.
    pub max_live_part: f64,
    /// The fraction of the engines that long prompts always keep.
    pub min_heavy_share: f64,
    /// The fraction of long prompts' streams with too long a pause above which live streams get
    /// engines of their own. They lose them below half of it.
    pub slow_stream_share: f64,
    /// The number of ended streams required for that decision.
    pub min_streams: f64,
    /// The fraction that replaces `slow_stream_share` where published figures say that prompts
    /// delay live streams for too long. Callers want 95 of 100 live streams in time, which have fewer
    /// events than the streams of long prompts and pause less often.
    pub expected_slow_share: f64,
    /// The number of ended streams that outweigh published figures.
    pub expected_min_streams: f64,
    /// The smallest change of a lane's share that moves the boundaries. Each move changes the home
    /// of some prompts, which must be prefilled again.
    pub min_share_change: f64,
}

impl Default for LaneSettings {
    fn default() -> LaneSettings {
        LaneSettings {
            half_life: Millis::from_secs(1),
            stream_half_life: Millis::from_secs(10),
            light_weight: 0.5,
            max_live_utilization: 0.8,
            max_light_utilization: 0.7,
            max_live_part: 0.75,
            min_heavy_share: 0.4,
            slow_stream_share: 0.3,
            min_streams: 10.0,
            expected_slow_share: 0.2,
            expected_min_streams: 30.0,
            min_share_change: 0.05,
        }
    }
}

/// Divides the engines of one service into lanes.
#[derive(Clone, Debug)]
pub struct Lanes {
    settings: LaneSettings,
    local: LaneStats,
    remote: LaneStats,
    decayed_at: Millis,
    /// Whether live streams have engines of their own.
    live_isolated: bool,
    forecast: DelayForecast,
    /// Whether enough streams have ended to outweigh the forecast.
    is_measured: bool,
    /// Mean time from the first event of a live stream to its last one, in milliseconds.
    live_span: Ewma,
    /// The shares of the live and the light lane.
    shares: [f64; 2],
}

impl Lanes {
    /// Creates a division in which all engines are light, as no work has arrived yet.
    pub fn new(settings: LaneSettings) -> Lanes {
        Lanes {
            settings,
            local: LaneStats::default(),
            remote: LaneStats::default(),
            decayed_at: Millis::ZERO,
            live_isolated: false,
            forecast: DelayForecast::default(),
            is_measured: false,
            live_span: Ewma::default(),
            shares: [0.0, 1.0],
        }
    }

    /// Returns the lane that a request is sent to. Where live streams have no engines of their own,
    /// they share those of the other short requests.
    pub fn lane(&self, wanted: Lane) -> Lane {
        match wanted {
            Lane::Live if !self.live_isolated => Lane::Light,
            wanted => wanted,
        }
    }

    /// Records the work of a request, in milliseconds of an engine.
    pub fn record_work(&mut self, lane: Lane, work: f64, now: Millis) {
        self.decay(now);
        self.local.work[lane as usize] += work;
    }

    /// Records the end of a long prompt's stream, and whether it paused for longer than a live
    /// stream may.
    pub fn record_stream(&mut self, slow: bool, now: Millis) {
        self.decay(now);
        self.local.streams += 1.0;
        self.local.slow_streams += f64::from(u8::from(slow));
    }

    /// Sets what published figures say. They decide until enough streams of long prompts have
    /// ended.
    pub fn set_forecast(&mut self, forecast: DelayForecast) {
        let unknown = DelayForecast::Unknown;
        if (forecast == unknown) != (self.forecast == unknown) {
            self.is_measured = false;
        }
        self.forecast = forecast;
    }

    /// What published figures say, as last set.
    pub fn forecast(&self) -> DelayForecast {
        self.forecast
    }

    /// Whether live streams have engines of their own, by published figures as well as by measured
    /// pauses.
    pub fn isolates_live(&self) -> bool {
        self.live_isolated && self.forecast != DelayForecast::Unknown
    }

    /// Records the time from the first event of a live stream to its last one. Streams that were
    /// delayed by prompts must not be recorded: they take several times as long as they will on
    /// engines of their own.
    pub fn record_live_span(&mut self, span: Millis) {
        self.live_span.add(span.0 as f64, LIVE_SPAN_ALPHA);
    }

    /// Returns the mean of these times in milliseconds; zero before the first one.
    pub fn live_span(&self) -> f64 {
        self.live_span.mean()
    }

    /// Returns this instance's recent statistics, for the other instances.
    pub fn local_stats(&mut self, now: Millis) -> LaneStats {
        self.decay(now);
        self.local
    }

    /// Sets the combined statistics of all other instances until the next call.
    pub fn set_remote_stats(&mut self, remote: LaneStats) {
        self.remote = remote;
    }

    /// Returns the recent statistics of all instances.
    pub fn fleet_stats(&self) -> LaneStats {
        let mut all = self.local;
        all.add(&self.remote, 1.0);
        all
    }

    /// Moves the boundaries between `engines` if their shares changed enough. Returns whether it
    /// did.
    pub fn rebalance(&mut self, engines: usize) -> bool {
        let fleet = self.fleet_stats();
        self.live_isolated = self.should_isolate_live(&fleet);
        let shares = self.target_shares(&fleet, engines);
        let pairs = shares.into_iter().zip(self.shares);
        let changed = pairs.into_iter().any(|(share, current)| {
            let bounds = [0.0, 1.0];
            let emptied = bounds
                .iter()
                .any(|bound| (share == *bound) != (current == *bound));
            emptied
                || (share - current).abs() >= self.settings.min_share_change
                || self.is_too_small(share, current, engines)
        });
        if changed {
            self.shares = shares;
        }
        changed
    }

    /// Returns the number of engines of each lane. A lane with work has at least one engine if
    /// there are enough engines.
    pub fn counts(&self, engines: usize) -> [usize; LANES] {
        let [live, light] = self.shares;
        let heavy = 1.0 - live - light;
        let wanted = [live, light, heavy].map(|share| share > MIN_SHARE);
        let lanes = wanted.iter().filter(|wanted| **wanted).count();
        if engines < lanes {
            // There are too few engines to isolate anything but long prompts.
            let heavy = usize::from(wanted[Lane::Heavy as usize] && engines > 1);
            return [0, engines - heavy, heavy];
        }
        let mut left = engines;
        let mut rest = lanes;
        let mut counts = [0; LANES];
        for (lane, share) in [live, light].into_iter().enumerate() {
            if !wanted[lane] {
                continue;
            }
            rest -= 1;
            let share = (engines as f64 * share).round() as usize;
            counts[lane] = if rest == 0 {
                left
            } else {
                share.clamp(1, left - rest)
            };
            left -= counts[lane];
        }
        counts[Lane::Heavy as usize] = left;
        counts
    }

    fn decay(&mut self, now: Millis) {
        let span = now.since(self.decayed_at).0 as f64;
        let left = |half_life: Millis| 0.5_f64.powf(span / half_life.0.max(1) as f64);
        let settings = &self.settings;
        let work = left(settings.half_life);
        let streams = left(settings.stream_half_life);
        self.decayed_at = self.decayed_at.max(now);
        self.local.decay(work, streams);
    }

    /// Whether live streams should have engines of their own.
    fn should_isolate_live(&mut self, fleet: &LaneStats) -> bool {
        if self.forecast == DelayForecast::TooLong {
            return self.should_isolate_expected(fleet);
        }
        let settings = &self.settings;
        if fleet.streams < settings.min_streams {
            return self.live_isolated;
        }
        self.exceeds(fleet, settings.slow_stream_share)
    }

    /// As [`Lanes::should_isolate_live`], where published figures say that they should.
    ///
    /// The first streams to end are short and say little about the others, so that more of them are
    /// required against the figures than for them.
    fn should_isolate_expected(&mut self, fleet: &LaneStats) -> bool {
        if fleet.work[Lane::Live as usize] <= MIN_SHARE {
            self.is_measured = false;
            return false;
        }
        let settings = &self.settings;
        let exceeds = self.exceeds(fleet, settings.expected_slow_share);
        if fleet.streams < settings.expected_min_streams {
            let is_slow = exceeds && fleet.streams >= settings.min_streams;
            return self.live_isolated || !self.is_measured || is_slow;
        }
        self.is_measured = true;
        exceeds
    }

    /// Whether more than the fraction `limit` of the streams are slow. Where live streams have
    /// engines of their own, half of it is enough to keep them.
    fn exceeds(&self, fleet: &LaneStats, limit: f64) -> bool {
        let factor = if self.live_isolated { 2.0 } else { 1.0 };
        fleet.slow_streams * factor > limit * fleet.streams
    }

    /// Whether a lane of short requests with the share `current` lacks at least one engine and a
    /// tenth of those that it has. In a large fleet the smallest change that moves boundaries is
    /// several engines, and a lane that lacks them makes all of its requests late.
    fn is_too_small(&self, share: f64, current: f64, engines: usize) -> bool {
        let missing = share - current;
        self.isolates_live() && missing * engines as f64 >= 1.0 && missing * 10.0 >= current
    }

    fn target_shares(&self, fleet: &LaneStats, engines: usize) -> [f64; 2] {
        let settings = &self.settings;
        let [mut live, mut light, heavy] = fleet.work;
        if !self.live_isolated {
            light += live;
            live = 0.0;
        }
        if heavy <= 0.0 {
            let all = live + light;
            return if all > 0.0 {
                [live / all, light / all]
            } else {
                [0.0, 1.0]
            };
        }
        let all = (live + light) * settings.light_weight + heavy;
        let mut shares = [live, light].map(|work| work * settings.light_weight / all);
        if self.live_isolated {
            // The sum of work that decays with a half-life is its rate times this span.
            let span = settings.half_life.0 as f64 / std::f64::consts::LN_2;
            let engine = span * engines.max(1) as f64;
            shares[0] = shares[0].max(live / engine / settings.max_live_utilization);
            if self.isolates_live() {
                shares[1] = shares[1].max(light / engine / settings.max_light_utilization);
            }
        }
        let max = 1.0 - settings.min_heavy_share.min(heavy / all);
        let used = shares[0] + shares[1];
        if used > max {
            shares = if self.isolates_live() {
                // Live streams are the most urgent. The others keep what they need of their part.
                let light = shares[1].min(max * (1.0 - settings.max_live_part));
                let live = shares[0].min(max - light);
                [live, max - live]
            } else {
                shares.map(|share| share * max / used)
            };
        }
        shares
    }
}
