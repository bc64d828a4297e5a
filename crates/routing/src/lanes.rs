//! How the engines of a service are divided between live streams, other short requests and long prompts.
//!
//! The load it answers: live streams beside bursts of prompts. An engine reads a prompt in pieces between
//! the tokens of all others that it runs, and what comes behind a long one waits until it was read. Kept
//! apart, short requests wait for short prompts only.
//!
//! Beside prompts that are read, a stream's events come with a pause of as many pieces as an event has tokens.
//! On some deployments that is more than live streams bear, however the prompts are divided; then they get
//! engines of their own, where they wait only for each other's short prompts. Whether it is so is seen from
//! the streams of long prompts, which always run beside others: where more than a part of them paused for
//! longer than a live stream may. It isn't seen from the live streams, which are well as soon as they are
//! alone.
//!
//! Each instance divides the engines by itself, in the same order on all of them, by what the whole fleet
//! sees: its own work and pauses, and what the others tell. Their borders lie a server or two apart.

use crocushold_base::Millis;

/// Which engines a request prefers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Those that run streams whose pauses must be short.
    Live,
    /// Those that read no long prompts.
    Light,
    /// Those that read long prompts.
    Heavy,
}

/// How many lanes there are.
pub const LANES: usize = 3;

/// A part below this is none: what is left of work that ended a minute ago.
const LEAST_PART: f64 = 1e-6;

/// What one instance or several saw of late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LaneStats {
    /// The work that came, by lane, in milliseconds of an engine.
    pub work: [f64; LANES],
    /// Streams of long prompts that ended.
    pub streams: f64,
    /// Those of them that paused for longer than a live stream may.
    pub slow_streams: f64,
}

impl LaneStats {
    /// Adds what others saw, with a weight.
    pub fn add(&mut self, other: &LaneStats, weight: f64) {
        for (sum, work) in self.work.iter_mut().zip(other.work) {
            *sum = (*sum + work * weight).max(0.0);
        }
        self.streams = (self.streams + other.streams * weight).max(0.0);
        self.slow_streams = (self.slow_streams + other.slow_streams * weight).max(0.0);
    }

    /// Forgets all but a part of the work, and of the streams.
    fn fade(&mut self, work: f64, streams: f64) {
        self.work = self.work.map(|held| held * work);
        self.streams *= streams;
        self.slow_streams *= streams;
    }
}

/// Settings of [`Lanes`].
#[derive(Clone, Debug)]
pub struct LaneSettings {
    /// The time in which the memory of past work fades to half. Shorter than a burst, so that the
    /// borders follow it, and long enough to even out the fleet's arrivals.
    pub half_life: Millis,
    /// The same for the streams whose pauses were seen. What a pause beside prompts takes is a matter of the
    /// engines and hardly changes.
    pub stream_half_life: Millis,
    /// How much room live and light work get for their part of the work. Their tokens are made in the same
    /// steps in which prompts are read, so that they take less than they count.
    pub light_room: f64,
    /// The part of an engine's time that live streams may fill where they have engines of their own.
    pub full: f64,
    /// The part of the engines that long prompts keep in any case.
    pub least_heavy: f64,
    /// The part of the streams of long prompts that must pause for too long before live streams get engines
    /// of their own; below half of it they lose them.
    pub strained: f64,
    /// Streams that must have ended before that is said.
    pub least_streams: f64,
    /// The least change of a lane's part for which the borders move. Each move takes the home of some
    /// prompts elsewhere, where they are read anew.
    pub least_move: f64,
}

impl Default for LaneSettings {
    fn default() -> LaneSettings {
        LaneSettings {
            half_life: Millis::from_secs(1),
            stream_half_life: Millis::from_secs(10),
            light_room: 0.5,
            full: 0.8,
            least_heavy: 0.4,
            strained: 0.3,
            least_streams: 10.0,
            least_move: 0.05,
        }
    }
}

/// Divides the engines of one service.
#[derive(Clone, Debug)]
pub struct Lanes {
    settings: LaneSettings,
    own: LaneStats,
    others: LaneStats,
    faded: Millis,
    /// Whether live streams have engines of their own.
    apart: bool,
    /// The parts of the live and of the light lane.
    parts: [f64; 2],
}

impl Lanes {
    /// No work was seen yet: all engines are light.
    pub fn new(settings: LaneSettings) -> Lanes {
        Lanes {
            settings,
            own: LaneStats::default(),
            others: LaneStats::default(),
            faded: Millis::ZERO,
            apart: false,
            parts: [0.0, 1.0],
        }
    }

    /// The lane that a request is sent to: where live streams have no engines of their own, they go with
    /// the other short requests.
    pub fn lane(&self, wanted: Lane) -> Lane {
        match wanted {
            Lane::Live if !self.apart => Lane::Light,
            wanted => wanted,
        }
    }

    /// Notes a request and the work that it brings, in milliseconds of an engine.
    pub fn record_work(&mut self, lane: Lane, work: f64, now: Millis) {
        self.fade(now);
        self.own.work[lane as usize] += work;
    }

    /// Notes the stream of a long prompt, and whether it paused for longer than a live stream may.
    pub fn record_stream(&mut self, strained: bool, now: Millis) {
        self.fade(now);
        self.own.streams += 1.0;
        self.own.slow_streams += f64::from(u8::from(strained));
    }

    /// What this instance saw of late, to tell the others.
    pub fn local_stats(&mut self, now: Millis) -> LaneStats {
        self.fade(now);
        self.own
    }

    /// Takes in what all other instances saw, from now on until the next call.
    pub fn set_remote_stats(&mut self, others: LaneStats) {
        self.others = others;
    }

    /// What all instances saw of late.
    pub fn fleet_stats(&self) -> LaneStats {
        let mut all = self.own;
        all.add(&self.others, 1.0);
        all
    }

    /// Whether the borders between `engines` should move, and moves them.
    pub fn rebalance(&mut self, engines: usize) -> bool {
        let fleet = self.fleet_stats();
        self.apart = self.keeps_apart(&fleet);
        let parts = self.wanted(&fleet, engines);
        let pairs = parts.iter().zip(&self.parts);
        let moves = pairs.into_iter().any(|(part, held)| {
            let bounds = [0.0, 1.0];
            let emptied = bounds
                .iter()
                .any(|bound| (part == bound) != (held == bound));
            emptied || (part - held).abs() >= self.settings.least_move
        });
        if moves {
            self.parts = parts;
        }
        moves
    }

    /// How many of `engines` each lane has. Where a lane has work, it has an engine at least, as far as
    /// there are enough.
    pub fn counts(&self, engines: usize) -> [usize; LANES] {
        let [live, light] = self.parts;
        let heavy = 1.0 - live - light;
        let wanted = [live, light, heavy].map(|part| part > LEAST_PART);
        let lanes = wanted.iter().filter(|wanted| **wanted).count();
        if engines < lanes {
            // Too few to keep anything apart but long prompts.
            let heavy = usize::from(wanted[Lane::Heavy as usize] && engines > 1);
            return [0, engines - heavy, heavy];
        }
        let mut left = engines;
        let mut rest = lanes;
        let mut counts = [0; LANES];
        for (lane, part) in [live, light].into_iter().enumerate() {
            if !wanted[lane] {
                continue;
            }
            rest -= 1;
            let share = (engines as f64 * part).round() as usize;
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

    fn fade(&mut self, now: Millis) {
        let span = now.since(self.faded).0 as f64;
        let left = |half_life: Millis| 0.5_f64.powf(span / half_life.0.max(1) as f64);
        let settings = &self.settings;
        let work = left(settings.half_life);
        let streams = left(settings.stream_half_life);
        self.faded = self.faded.max(now);
        self.own.fade(work, streams);
    }

    /// Whether live streams should have engines of their own.
    fn keeps_apart(&self, fleet: &LaneStats) -> bool {
        let settings = &self.settings;
        if fleet.streams < settings.least_streams {
            return self.apart;
        }
        let part = fleet.slow_streams / fleet.streams;
        part > settings.strained || (self.apart && part * 2.0 > settings.strained)
    }

    fn wanted(&self, fleet: &LaneStats, engines: usize) -> [f64; 2] {
        let settings = &self.settings;
        let [mut live, mut light, heavy] = fleet.work;
        if !self.apart {
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
        let all = (live + light) * settings.light_room + heavy;
        let mut parts = [live, light].map(|work| work * settings.light_room / all);
        if self.apart {
            // Work that fades with a half-life adds up to its rate times this span.
            let span = settings.half_life.0 as f64 / std::f64::consts::LN_2;
            let engine = span * engines.max(1) as f64;
            parts[0] = parts[0].max(live / engine / settings.full);
        }
        let most = 1.0 - settings.least_heavy.min(heavy / all);
        let taken = parts[0] + parts[1];
        if taken > most {
            parts = parts.map(|part| part * most / taken);
        }
        parts
    }
}
