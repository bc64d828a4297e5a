//! Load reports, delayed by a configured lag.

use std::collections::VecDeque;

use crocushold_base::Millis;

/// Minimum interval between recorded samples.
const SAMPLE_INTERVAL: Millis = Millis(10);

/// The load at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadSample {
    pub(crate) at: Millis,
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) token_rate: f64,
    pub(crate) kv_free: f64,
}

/// The recent load samples, oldest first.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Millis,
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    pub(crate) fn new(lag: Millis) -> LoadHistory {
        let idle = LoadSample {
            kv_free: 1.0,
            ..LoadSample::default()
        };
        LoadHistory {
            lag,
            samples: VecDeque::from([idle]),
        }
    }

    pub(crate) fn set_lag(&mut self, lag: Millis) {
        self.lag = lag;
    }

    /// Records the current load; samples within one interval overwrite each other.
    pub(crate) fn record(&mut self, load: LoadSample) {
        let slot = load.at.0 / SAMPLE_INTERVAL.0;
        match self.samples.back_mut() {
            Some(last) if last.at.0 / SAMPLE_INTERVAL.0 == slot => *last = load,
            _ => self.samples.push_back(load),
        }
        while self.samples.len() > 1 && self.samples[1].at + self.lag <= load.at {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample that is at least as old as the lag, or else the oldest sample.
    pub(crate) fn view(&self, now: Millis) -> LoadSample {
        let visible = |load: &&LoadSample| load.at + self.lag <= now;
        let sample = self.samples.iter().rev().find(visible);
        let mut load = sample.or(self.samples.front()).copied().unwrap_or_default();
        // The load hasn't changed since this sample, so the report is as recent as the lag allows.
        // With the time of the last change, an idle engine would look like one that stopped
        // reporting.
        load.at = load.at.max(now.since(self.lag));
        load
    }
}
