//! Attained and missed counts over sliding windows, in bounded memory.

use std::fmt;
use std::str::FromStr;

use crocushold_base::Millis;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// Width of a slot of the fine ring.
const FINE_WIDTH: Millis = Millis::from_secs(10);
/// The fine ring reaches one hour back.
const FINE_SLOTS: usize = 360;
/// Width of a slot of the coarse ring.
const COARSE_WIDTH: Millis = Millis::from_secs(300);
/// The coarse ring reaches six hours back.
const COARSE_SLOTS: usize = 72;

quick_error! {
    /// The text names no window that instances expose.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum WindowError {
        /// Not one of the exposed windows.
        Unknown(text: String) {
            display("no window `{text}`: instances expose 5m, 30m, 1h and 6h")
        }
    }
}

/// A window that every instance exposes.
///
/// The set is fixed, because a reader of several instances can only add up what all of them expose.
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
    /// All windows, shortest first.
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

/// Requests that attained and missed their targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Answered whole and within every target.
    pub attained: u64,
    /// Late, cut, lost, or refused for want of capacity.
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

    /// All requests that count for the service level.
    pub const fn total(self) -> u64 {
        self.attained.saturating_add(self.missed)
    }

    /// The share that attained; `None` without requests.
    pub fn attainment(self) -> Option<f64> {
        (self.total() > 0).then(|| self.attained as f64 / self.total() as f64)
    }
}

/// The counts of one class over every [`Window`], about 7 KB however many requests come.
#[derive(Clone, Debug)]
pub struct Windows {
    fine: Ring,
    coarse: Ring,
}

impl Windows {
    /// Empty rings.
    pub fn new() -> Windows {
        Windows {
            fine: Ring::new(FINE_WIDTH, FINE_SLOTS),
            coarse: Ring::new(COARSE_WIDTH, COARSE_SLOTS),
        }
    }

    /// Adds `counts` at `now`.
    pub fn add(&mut self, now: Millis, counts: Counts) {
        self.fine.add(now, counts);
        self.coarse.add(now, counts);
    }

    /// The sum over the window that ends at `now`, exact to one slot: 10 s, or 5 min for six hours.
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

/// Slots of equal width; the newest holds the present.
#[derive(Clone, Debug)]
struct Ring {
    width: Millis,
    slots: Box<[Counts]>,
    /// Number of the newest slot since the start of the clock.
    newest: u64,
}

impl Ring {
    fn new(width: Millis, len: usize) -> Ring {
        Ring {
            width,
            slots: vec![Counts::default(); len].into_boxed_slice(),
            newest: 0,
        }
    }

    fn add(&mut self, now: Millis, counts: Counts) {
        self.advance(now);
        let index = self.index(self.newest);
        self.slots[index].add(counts);
    }

    /// Clears the slots between the newest and that of `now`.
    ///
    /// A process that slept longer than the ring reaches would otherwise show counts of hours ago
    /// as recent: every slot that the clock passed is cleared, at most the whole ring.
    fn advance(&mut self, now: Millis) {
        let target = now.0 / self.width.0;
        let passed = target.saturating_sub(self.newest);
        let cleared = passed.min(self.slots.len() as u64);
        for step in 0..cleared {
            let index = self.index(target - step);
            self.slots[index] = Counts::default();
        }
        self.newest = self.newest.max(target);
    }

    fn sum(&self, now: Millis, span: Millis) -> Counts {
        let target = (now.0 / self.width.0).max(self.newest);
        let first = (target + 1).saturating_sub(span.0 / self.width.0);
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
