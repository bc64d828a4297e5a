//! Load reports that lag behind the truth.

use std::collections::VecDeque;

use crocushold_base::Millis;

/// Reports are recorded at this interval, at most.
const INTERVAL: Millis = Millis(10);

/// The load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Load {
    pub(crate) at: Millis,
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) token_rate: f64,
    pub(crate) kv_free: f64,
}

/// The loads of the last while, oldest first.
#[derive(Debug)]
pub(crate) struct Reports {
    lag: Millis,
    past: VecDeque<Load>,
}

impl Reports {
    pub(crate) fn new(lag: Millis) -> Reports {
        let idle = Load {
            kv_free: 1.0,
            ..Load::default()
        };
        Reports {
            lag,
            past: VecDeque::from([idle]),
        }
    }

    pub(crate) fn set_lag(&mut self, lag: Millis) {
        self.lag = lag;
    }

    /// Records the present load; loads within one interval overwrite each other.
    pub(crate) fn record(&mut self, load: Load) {
        let slot = load.at.0 / INTERVAL.0;
        match self.past.back_mut() {
            Some(last) if last.at.0 / INTERVAL.0 == slot => *last = load,
            _ => self.past.push_back(load),
        }
        while self.past.len() > 1 && self.past[1].at + self.lag <= load.at {
            self.past.pop_front();
        }
    }

    /// The newest load that is as old as the lag, or else the oldest there is.
    pub(crate) fn view(&self, now: Millis) -> Load {
        let old = |load: &&Load| load.at + self.lag <= now;
        let seen = self.past.iter().rev().find(old);
        let mut load = seen.or(self.past.front()).copied().unwrap_or_default();
        // Nothing has changed since, so the report is as fresh as the lag allows, not as old as the
        // last change: an idle engine must not look like one that stopped reporting.
        load.at = load.at.max(now.since(self.lag));
        load
    }
}
