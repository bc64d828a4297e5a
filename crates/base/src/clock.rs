//! Time in milliseconds.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

/// A point on a monotonic clock or the duration between two such points, in milliseconds.
///
/// Arithmetic saturates: a clock that steps back yields a duration of zero and never panics.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the clock, or an empty duration.
    pub const ZERO: Millis = Millis(0);

    /// A point in time that is never reached; stands for "no deadline".
    pub const MAX: Millis = Millis(u64::MAX);

    /// Milliseconds per second.
    pub const PER_SECOND: u64 = 1000;

    /// A duration of whole seconds.
    pub const fn from_secs(secs: u64) -> Millis {
        Millis(secs.saturating_mul(1000))
    }

    /// The duration since `earlier`; zero if `earlier` is in the future.
    pub const fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Seconds, rounded up, as the `Retry-After` header requires.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1000)
    }

    /// Seconds as a floating-point number, as Prometheus requires.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, duration: Millis) -> Millis {
        Millis(self.0.saturating_add(duration.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, duration: Millis) {
        *self = *self + duration;
    }
}

impl From<Millis> for Duration {
    fn from(duration: Millis) -> Duration {
        Duration::from_millis(duration.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A monotonic clock that starts at zero when it is created.
///
/// It keeps counting while the process is stopped by a signal and while the machine is suspended,
/// so a process that resumes sees the jump. The clock of the standard library doesn't count the
/// time of a suspension: a request held across one would be forwarded with more time than its
/// caller has left.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Millis,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock {
            start: since_boot(),
        }
    }

    /// The time since the clock was started.
    pub fn now(&self) -> Millis {
        since_boot().since(self.start)
    }
}

/// The time since boot, including the time spent suspended.
fn since_boot() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    // The seconds are never negative, and the nanoseconds are less than one second.
    Millis(time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000)
}
