//! Counts of attained and missed requests over sliding windows, in bounded memory.

use std::fmt;
use std::str::FromStr;

use crocushold_base::Millis;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// The duration of a slot of the fine ring.
const FINE_SLOT_DURATION: Millis = Millis::from_secs(10);
/// The number of slots of the fine ring, which covers one hour.
const FINE_SLOTS: usize = 360;
/// The duration of a slot of the coarse ring.
const COARSE_SLOT_DURATION: Millis = Millis::from_secs(300);
/// The number of slots of the coarse ring, which covers six hours.
const COARSE_SLOTS: usize = 72;

quick_error! {
    /// Why a text couldn't be parsed as a window.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum WindowError {
        /// The text names none of the exposed windows.
        Unknown(text: String) {
            display("no window `{text}`: instances expose 5m, 30m, 1h and 6h")
        }
    }
}

/// A sliding window that every instance exposes.
///
/// The set is fixed, because only windows that all instances expose can be summed over instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Window {
    /// Five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// Thirty minutes.
    #[serde(rename = "30m")]
    HalfHour,
    /// One hour.
    #[serde(rename = "1h")]
    Hour,
    /// Six hours.
    #[serde(rename = "6h")]
    SixHours,
}

impl Window {
    /// All windows, from the shortest to the longest.
    pub const ALL: [Window; 4] = [
        Window::FiveMinutes,
        Window::HalfHour,
        Window::Hour,
        Window::SixHours,
    ];

    /// The length of the window.
    pub const fn span(self) -> Millis {
        match self {
            Window::FiveMinutes => Millis::from_secs(5 * 60),
            Window::HalfHour => Millis::from_secs(30 * 60),
            Window::Hour => Millis::from_secs(60 * 60),
            Window::SixHours => Millis::from_secs(6 * 60 * 60),
        }
    }

    /// The value of the `window` label.
    pub const fn label(self) -> &'static str {
        match self {
            Window::FiveMinutes => "5m",
            Window::HalfHour => "30m",
            Window::Hour => "1h",
            Window::SixHours => "6h",
        }
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.label())
    }
}

impl FromStr for Window {
    type Err = WindowError;

    fn from_str(text: &str) -> Result<Window, WindowError> {
        Window::ALL
            .into_iter()
            .find(|w| w.label() == text)
            .ok_or_else(|| WindowError::Unknown(text.to_owned()))
    }
}

/// The numbers of requests that attained and missed their targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests answered completely and within every target.
    pub attained: u64,
    /// Requests that were late, cut off, lost, or refused for lack of capacity.
    pub missed: u64,
}

impl Counts {
    /// One attained request.
    pub const ATTAINED: Counts = Counts {
        attained: 1,
        missed: 0,
    };

    /// One missed request.
    pub const MISSED: Counts = Counts {
        attained: 0,
        missed: 1,
    };

    /// Adds `other`, saturating.
    pub fn add(&mut self, other: Counts) {
        self.attained = self.attained.saturating_add(other.attained);
        self.missed = self.missed.saturating_add(other.missed);
    }

    /// The number of requests that count for the service level.
    pub const fn total(self) -> u64 {
        self.attained.saturating_add(self.missed)
    }

    /// The share of attained requests; `None` without requests.
    pub fn attainment(self) -> Option<f64> {
        (self.total() > 0).then(|| self.attained as f64 / self.total() as f64)
    }
}

/// The counts of a class over every [`Window`]. They take about 7 KB, whatever the number of
/// requests.
#[derive(Clone, Debug)]
pub struct Windows {
    fine: Ring,
    coarse: Ring,
}

impl Windows {
    /// Creates empty windows.
    pub fn new() -> Windows {
        Windows {
            fine: Ring::new(FINE_SLOT_DURATION, FINE_SLOTS),
            coarse: Ring::new(COARSE_SLOT_DURATION, COARSE_SLOTS),
        }
    }

    /// Adds `counts` at `now`.
    pub fn add(&mut self, now: Millis, counts: Counts) {
        self.fine.add(now, counts);
        self.coarse.add(now, counts);
    }

    /// The sum over the window that ends at `now`, with a resolution of one slot: 10 s, or 5 min
    /// for the window of six hours.
    pub fn sum(&self, now: Millis, window: Window) -> Counts {
        match window {
            Window::SixHours => self.coarse.sum(now, window.span()),
            _ => self.fine.sum(now, window.span()),
        }
    }
}

impl Default for Windows {
    fn default() -> Windows {
        Windows::new()
    }
}

/// A ring of slots of equal duration; the newest slot covers the current time.
#[derive(Clone, Debug)]
struct Ring {
    slot_duration: Millis,
    slots: Box<[Counts]>,
    /// The number of the newest slot, counted from the start of the clock.
    newest: u64,
}

impl Ring {
    fn new(slot_duration: Millis, len: usize) -> Ring {
        Ring {
            slot_duration,
            slots: vec![Counts::default(); len].into_boxed_slice(),
            newest: 0,
        }
    }

    fn add(&mut self, now: Millis, counts: Counts) {
        self.advance(now);
        let index = self.index(self.newest);
        self.slots[index].add(counts);
    }

    /// Moves the newest slot to that of `now` and clears the slots in between.
    ///
    /// Every slot that the clock has passed is cleared, at most the whole ring. Otherwise a process
    /// that was suspended for longer than the ring covers would report counts from hours ago as
    /// recent.
    fn advance(&mut self, now: Millis) {
        let current = now.0 / self.slot_duration.0;
        let passed = current.saturating_sub(self.newest);
        let cleared = passed.min(self.slots.len() as u64);
        for step in 0..cleared {
            let index = self.index(current - step);
            self.slots[index] = Counts::default();
        }
        self.newest = self.newest.max(current);
    }

    fn sum(&self, now: Millis, span: Millis) -> Counts {
        let current = (now.0 / self.slot_duration.0).max(self.newest);
        let first = (current + 1).saturating_sub(span.0 / self.slot_duration.0);
        let oldest = (self.newest + 1).saturating_sub(self.slots.len() as u64);
        let mut sum = Counts::default();
        for slot in first.max(oldest)..=self.newest {
            sum.add(self.slots[self.index(slot)]);
        }
        sum
    }

    fn index(&self, slot: u64) -> usize {
        (slot % self.slots.len() as u64) as usize
    }
}
