//! The clock.

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

/// A machine is suspended for seconds while it holds a request, and wakes. The caller's time has gone on, so
/// ours must have, too. A test can't suspend its machine; it shows that the clock goes with the one of the
/// system that counts such times.
#[test]
fn it_goes_with_the_clock_that_counts_suspension() {
    let clock = Clock::start();
    let start = boot_time();
    thread::sleep(Duration::from_millis(50));
    let (own, boot) = (clock.now(), boot_time().since(start));
    assert!(own >= Millis(50), "{own}");
    assert!(own.0.abs_diff(boot.0) <= 5, "{own} {boot}");
}
