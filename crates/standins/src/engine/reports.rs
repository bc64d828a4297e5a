//! Load reports that lag behind the truth.

use std::collections::VecDeque;

use crocushold_base::Millis;

/// Reports are recorded at this interval, at most.
const SAMPLE_INTERVAL: Millis = Millis(10);

/// The load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadSample {
    pub(crate) at: Millis,
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) token_rate: f64,
    pub(crate) kv_free: f64,
}

/// The loads of the last while, oldest first.
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

    /// Records the present load; loads within one interval overwrite each other.
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

    /// The newest load that is as old as the lag, or else the oldest there is.
    pub(crate) fn view(&self, now: Millis) -> LoadSample {
        let visible = |load: &&LoadSample| load.at + self.lag <= now;
        let sample = self.samples.iter().rev().find(visible);
        let mut load = sample.or(self.samples.front()).copied().unwrap_or_default();
        // Nothing has changed since, so the report is as fresh as the lag allows, not as old as the
        // last change: an idle engine must not look like one that stopped reporting.
        load.at = load.at.max(now.since(self.lag));
        load
    }
}
