//! Tests of the clock.

use std::thread;
use std::time::Duration;

use crocushold_base::Clock;
use crocushold_base::Millis;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

fn boot_time() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    Millis(time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000)
}

/// The deadline of a request passes while the machine that holds it is suspended, so the clock must
/// count the time of a suspension. A test can't suspend its machine; this one compares the clock
/// with the system clock that counts suspensions.
#[test]
fn the_clock_counts_the_time_of_a_suspension() {
    let clock = Clock::start();
    let start = boot_time();
    thread::sleep(Duration::from_millis(50));
    let (own, boot) = (clock.now(), boot_time().since(start));
    assert!(own >= Millis(50), "{own}");
    assert!(own.0.abs_diff(boot.0) <= 5, "{own} {boot}");
}
