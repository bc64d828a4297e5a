//! How long callers hold streams.

use crocushold_base::Millis;

/// Time after which a period ends. The longest time of the last two periods counts.
const PERIOD: Millis = Millis::from_secs(3600);

/// The longest time for which callers have been found to hold streams of late, an hour at most.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LongestSpan {
    started: Millis,
    current: Millis,
    previous: Millis,
}

impl LongestSpan {
    pub(super) fn record(&mut self, span: Millis, now: Millis) {
        self.begin_period(now);
        self.current = self.current.max(span.min(PERIOD));
    }

    pub(super) fn longest(&mut self, now: Millis) -> Millis {
        self.begin_period(now);
        self.current.max(self.previous)
    }

    fn begin_period(&mut self, now: Millis) {
        let age = now.since(self.started);
        if age < PERIOD {
            return;
        }
        let is_next = age < PERIOD + PERIOD;
        self.previous = if is_next { self.current } else { Millis::ZERO };
        self.current = Millis::ZERO;
        self.started = now;
    }
}
